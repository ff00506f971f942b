"""Learn concurrency limits of targets from simulated work, in virtual time.

Six targets of four slots and work of 150 ms, unless a test says otherwise. A loaded
service gets a fraction of what its targets carry, counted with one slot fewer if they
slow down when all are taken.
"""

import math
import random
from dataclasses import replace

import pytest

from benchmarks.placing_simulation import (
    Gray,
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
    Slowdown,
)
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.concurrency_limit import (
    MIN_PROBE_INTERVAL,
    RECEIVED_MS,
    ConcurrencyLimit,
    ConcurrencyLimits,
    HoldBacks,
    LimitChange,
)
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementGranted, PlacementRequest
from crocusspindle.core.policies import ALL_POLICIES, Policies
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_tracker import TargetTracker
from crocusspindle.ids import DomainId, HostId, ServiceId

WITHOUT_LIMITS = Policies.without(["learned-limits"])
THREEFOLD = Slowdown(3.0, 6)
HEAVY_SPREAD = math.sqrt(math.exp(0.8**2) - 1.0)
"""Spread of a log-normal distribution with sigma 0.8."""


def loaded(
    load: float, carried_slots: int, spread: float = 0.5, **fields
) -> ServiceScenario:
    """Return a service of two routes that gets a fraction of what its slots carry."""
    scenario = ServiceScenario(6, 4, (), length_ms=60_000.0)
    scenario = replace(scenario, **fields)
    speed = sum(scenario.speeds) / len(scenario.speeds)
    per_s = load * scenario.targets * carried_slots / (0.15 * speed)
    routes = (
        RouteLoad("lookup", True, 0.6 * per_s, 120.0, spread, 1_000.0, 4_000.0),
        RouteLoad("confirm", False, 0.4 * per_s, 195.0, spread, 1_000.0, 4_000.0),
    )
    return replace(scenario, route_loads=routes)


def run(
    scenario: ServiceScenario, seed: int, policies: Policies = ALL_POLICIES
) -> tuple[float, list[tuple[float, LimitChange]], PlacingSimulation]:
    """Return the fraction on time, the changes of limits and the simulation."""
    simulation = PlacingSimulation(scenario, seed, policies=policies)
    changes = []
    process_due = simulation.placer.process_due

    def record(now_ms: float) -> None:
        process_due(now_ms)
        changes.extend((now_ms, change) for change in simulation.placer.limit_changes())

    simulation.placer.process_due = record
    tallies = simulation.run().values()
    on_time = sum(tally.on_time for tally in tallies)
    return on_time / sum(tally.request_count for tally in tallies), changes, simulation


def lowerings(changes: list[tuple[float, LimitChange]]) -> int:
    """Return how many changes leave a target with fewer than its listed slots."""
    return sum(change.limit < change.slots for _, change in changes)


@pytest.mark.parametrize("seed", range(2))
def test_targets_that_slow_down_when_full_get_one_request_fewer(seed):
    """Guards against a collapse: the last slot makes each target answer half as much.

    At 0.85 of what three slots carry, all four fill and answer less than that.
    """
    scenario = loaded(0.85, 3, slowdown=THREEFOLD, length_ms=120_000.0)
    on_time, _, simulation = run(scenario, seed)
    assert on_time >= 0.97
    assert set(simulation.placer.lowered_limits().values()) == {3}


@pytest.mark.parametrize("seed", range(2))
def test_targets_that_slow_down_all_running_work_when_full_are_limited(seed):
    """Guards against a collapse where a request meets several levels during its run."""
    slowdown = replace(THREEFOLD, shared=True)
    scenario = loaded(0.85, 3, slowdown=slowdown, length_ms=120_000.0)
    on_time, _, _ = run(scenario, seed)
    without, _, _ = run(scenario, seed, WITHOUT_LIMITS)
    assert on_time >= 0.97
    assert on_time >= without + 0.3


@pytest.mark.parametrize("load", [0.3, 0.6, 0.9, 1.3])
def test_healthy_targets_keep_their_slots_at_any_load(load):
    """Guards against capacity lost to the spread of latencies.

    Targets of speeds 1, 2 and 4; log-normal work of sigma 0.8, one request in twenty
    five times as long. A false lowering must be rarer than one in 100 target-minutes.
    """
    scenario = loaded(
        load, 4, HEAVY_SPREAD, speeds=(1.0, 2.0, 4.0), rare_long_fraction=0.05
    )
    count = 0
    for seed in range(17):
        _, changes, _ = run(scenario, seed)
        count += lowerings(changes)
    assert count == 0


@pytest.mark.parametrize("load", [0.6, 0.9, 1.3])
def test_gray_and_slow_targets_are_not_limited(load):
    """Guards against a lower limit for a target that is slow at every concurrency."""
    gray = Gray(0.3, 9_000.0, 1_500.0, 3_500.0, 0.75, AttemptOutcome.ANSWERED)
    scenario = loaded(load, 4, HEAVY_SPREAD, targets=9, gray=gray)
    for seed in range(2):
        _, changes, _ = run(scenario, seed)
        assert lowerings(changes) == 0


def test_targets_that_stop_slowing_down_get_their_slots_back():
    """Guards against slots lost for good after a passing slowdown.

    A round of four probes takes 128 requests of a target, some 7 s here, and several
    rounds are needed against the spread of latencies.
    """
    slowdown = replace(THREEFOLD, until_ms=40_000.0)
    scenario = loaded(0.85, 3, slowdown=slowdown, length_ms=100_000.0)
    _, changes, simulation = run(scenario, 0)
    limited = {change.target for at_ms, change in changes if at_ms < 40_000.0}
    raised_ms = [
        at_ms for at_ms, change in changes if change.limit == 4 and at_ms >= 40_000.0
    ]
    assert len(limited) == 6
    assert sorted(raised_ms)[2] <= 60_000.0
    assert len(simulation.placer.lowered_limits()) <= 1


def test_a_successor_starts_with_the_limits():
    """Guards against a second collapse when the placer of a service is lost."""
    scenario = loaded(0.85, 3, slowdown=THREEFOLD, length_ms=20_000.0)
    _, _, simulation = run(scenario, 0)
    learned = simulation.placer.lowered_limits()
    assert len(learned) == 6
    successor = PlacingSimulation(scenario, 1)
    successor.placer.receive_limits(learned.items(), 0.0)
    assert all(
        tracker.capacity == 3 for tracker in successor.placer.trackers().values()
    )
    tallies = successor.run().values()
    on_time = sum(tally.on_time for tally in tallies)
    count = sum(tally.request_count for tally in tallies)
    assert on_time >= 0.97 * count


def test_a_received_limit_expires_unless_answers_confirm_it():
    """Guards against limits that outlive what they were learned from."""
    scenario = loaded(0.6, 4, length_ms=20_000.0)
    successor = PlacingSimulation(scenario, 1)
    identities = list(successor.placer.trackers())
    successor.placer.receive_limits([(target, 3) for target in identities], 0.0)
    successor.placer.process_due(RECEIVED_MS - 1.0)
    assert {t.capacity for t in successor.placer.trackers().values()} == {3}
    successor.placer.process_due(RECEIVED_MS + 1_000.0)
    assert {t.capacity for t in successor.placer.trackers().values()} == {4}


def listed(name: str, slots: int = 4, started_ms: int = 1) -> ListedTarget:
    """Return an entry of the list of targets."""
    return ListedTarget(
        TargetIdentity(name),
        ServiceId("service"),
        "127.0.0.1:80",
        DomainId("a"),
        slots,
        Readiness.READY,
        started_ms=started_ms,
    )


class Answers:
    """Give trackers answers by level, in blocks of a second."""

    def __init__(self, count: int) -> None:
        self.limits = ConcurrencyLimits(0.0)
        self.trackers = [TargetTracker(listed(str(n)), 0.0, 0.0) for n in range(count)]
        self._rng = random.Random(1)
        self._holds = HoldBacks()
        self.now_ms = 0.0

    def add_block(self, target: int, means: dict[int, float], count: int) -> None:
        """Add answers of exponential latency at each level."""
        learned = self.trackers[target].learned
        for level, mean in means.items():
            for _ in range(count):
                learned.record_start(level, self._holds, self.now_ms)
                ratio = mean * self._rng.expovariate(1.0)
                learned.record_answer(level, ratio, self.now_ms)

    def end_block(self) -> None:
        """End the second."""
        self.now_ms += 1_000.0
        self.limits.evaluate_if_due(self.trackers, self.now_ms)

    def limit_of(self, target: int) -> int:
        """Return a target's limit."""
        return self.trackers[target].capacity


SLOW_WHEN_FULL = {3: 1.0, 4: 3.0}
HEALTHY = {3: 1.0, 4: 1.0}


def test_a_target_with_few_answers_is_judged_by_the_others():
    """Guards against a collapse of each target by itself before it is limited."""
    answers = Answers(4)
    for _ in range(10):
        for target in range(3):
            answers.add_block(target, SLOW_WHEN_FULL, 10)
        answers.end_block()
    assert [answers.limit_of(target) for target in range(4)] == [3, 3, 3, 3]


def test_a_target_that_differs_is_judged_by_its_own_answers():
    """Guards against slots of a sound target lost to the others of its service."""
    answers = Answers(4)
    for _ in range(10):
        for target in range(3):
            answers.add_block(target, HEALTHY, 10)
        answers.add_block(3, SLOW_WHEN_FULL, 10)
        answers.end_block()
    assert [answers.limit_of(target) for target in range(4)] == [4, 4, 4, 3]


def test_answers_that_become_slow_at_all_levels_lower_no_limit():
    """Guards against a lower limit for a target that turns gray while it is full."""
    answers = Answers(1)
    for factor in (1.0, 1.0, 1.0, 8.0, 8.0, 8.0):
        means = {4: factor} if factor > 1.0 else {2: 1.0, 3: 1.0, 4: 1.0}
        answers.add_block(0, means, 30)
        answers.end_block()
    assert answers.limit_of(0) == 4


def test_a_reference_that_rises_with_the_slow_answers_hides_nothing():
    """Guards against a slowdown that becomes the typical latency of its route."""
    answers = Answers(3)
    for second in range(12):
        scale = 1.0 / (1.0 + 0.2 * second)
        for target in range(3):
            answers.add_block(target, {3: scale, 4: 3.0 * scale}, 8)
        answers.end_block()
    assert {answers.limit_of(target) for target in range(3)} == {3}


def test_a_target_that_restarts_starts_anew():
    """Guards against the limit of a process that no longer runs."""
    answers = Answers(1)
    for _ in range(10):
        answers.add_block(0, SLOW_WHEN_FULL, 20)
        answers.end_block()
    tracker = answers.trackers[0]
    assert tracker.capacity == 3
    tracker.update_listed(listed("0", started_ms=2), answers.now_ms)
    assert tracker.capacity == 4
    assert not tracker.learned.steps
    tracker.learned.record_answer(4, 3.0, answers.now_ms - 1.0)
    answers.end_block()
    assert not tracker.learned.steps


def test_answers_within_less_than_a_millisecond_can_be_compared():
    """Guards against a division by zero: latencies arrive in whole milliseconds."""
    # The work runs longer here than its latency says, and so seems to hang.
    policies = Policies.without(["hung-ejection"])
    placer = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0), policies)
    placer.set_targets([listed("0")], 0.0)
    request = PlacementRequest(
        HostId("e"), DomainId("a"), "r", True, 1, 800.0, math.inf
    )
    running = []
    for step in range(1_500):
        now_ms = 4.0 * step
        # Three and four requests run by turns.
        while len(running) < 3 + step % 2:
            granted = placer.request_placement(request, now_ms)
            assert isinstance(granted, PlacementGranted)
            running.append(granted.grant)
        placer.ended(
            TargetIdentity("0"),
            running.pop(0),
            AttemptOutcome.ANSWERED,
            HostId("e"),
            0.0,
            now_ms,
        )
        placer.process_due(now_ms)
    assert placer.lowered_limits() == {}


def test_a_limit_ends_once_its_evidence_has_decayed():
    """Guards against a division by zero, and a limit that outlives its evidence.

    A service without requests gets no probes that would raise the limit.
    """
    answers = Answers(1)
    for _ in range(10):
        answers.add_block(0, SLOW_WHEN_FULL, 20)
        answers.end_block()
    assert answers.limit_of(0) == 3
    for _ in range(3 * 24 * 60):
        answers.now_ms += 59_000.0
        answers.end_block()
    assert answers.limit_of(0) == 4


def test_at_most_one_request_in_32_is_a_probe():
    """Guards against slow answers to probes of targets that stay slow."""
    limit = ConcurrencyLimit(listed("0"))
    limit.receive(3, 0.0)
    holds = HoldBacks()
    probes = 0
    for _ in range(100 * MIN_PROBE_INTERVAL):
        level = 4 if limit.probe_due else 2
        probes += level == 4
        limit.record_start(level, holds, 0.0)
    assert 90 <= probes <= 100


def test_a_service_without_any_loss_holds_back_one_slot_at_a_time():
    """Guards against a short service that tests all its targets at once."""
    holds = HoldBacks()
    holds.update([ConcurrencyLimit(listed(str(n))) for n in range(8)])
    assert holds.begin(0.0)
    assert not holds.begin(60_000.0)
