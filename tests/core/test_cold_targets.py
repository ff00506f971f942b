"""Place load on cold targets: just started, restarted, or taken back."""

import random
from dataclasses import replace

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.cold_targets import ColdTargets
from crocusspindle.core.configuration import ServiceRule
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementGranted, PlacementRequest
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId, ServiceId

RULE = ServiceRule(warm_up_ms=3_000.0, cold_per_s=7.5)
MAX_REQUESTS_IN_A_SECOND = 1.5 * 7.5 + 8.0
TARGET = ListedTarget(
    TargetIdentity("t0"),
    ServiceId("books"),
    "10.0.0.1:80",
    DomainId("a"),
    6,
    Readiness.READY,
)


def listed(*targets):
    return {target.identity: target for target in targets}


def named(name, **changes):
    return replace(TARGET, identity=TargetIdentity(name), **changes)


EVACUATED = replace(TARGET, readiness=Readiness.EVACUATED)


@pytest.mark.parametrize(
    ("lists", "becomes_cold"),
    [
        pytest.param([listed(TARGET)], False, id="first list of a node"),
        pytest.param(
            [listed(replace(TARGET, cold=True))], True, id="its entry says so"
        ),
        pytest.param(
            [listed(named("t1")), listed(named("t1"), TARGET)], True, id="new"
        ),
        pytest.param(
            [listed(TARGET), listed(), listed(TARGET)], True, id="back after a cut"
        ),
        pytest.param(
            [listed(TARGET), listed(replace(TARGET, started_ms=7))],
            True,
            id="started again under its identity",
        ),
        pytest.param([listed(EVACUATED), listed(TARGET)], True, id="taken back"),
        pytest.param([listed(TARGET), listed(EVACUATED)], False, id="evacuated"),
        pytest.param(
            [listed(TARGET), listed(replace(TARGET, cold=True))], True, id="cold again"
        ),
        pytest.param([listed(TARGET), listed(TARGET)], False, id="unchanged"),
    ],
)
def test_targets_that_may_be_cold_are_known(lists, becomes_cold):
    """Guards against full load on a target whose entry does not show it is cold."""
    cold_targets = ColdTargets()
    for number, targets in enumerate(lists):
        cold_targets.update(targets, float(number))
    since_ms = cold_targets.since_ms(TARGET.identity)
    assert (since_ms == len(lists) - 1.0) is becomes_cold


def cold_placer(now_ms=0.0):
    """Return a placer whose only target has just appeared."""
    placer = ServicePlacer(0.7, RetryBudget(0.2, 172.0, 10_000.0), now_ms=now_ms)
    placer.set_targets([TARGET], now_ms)
    cold_targets = ColdTargets()
    cold_targets.update({}, now_ms)
    cold_targets.update(listed(TARGET), now_ms)
    assert placer.limits.update_cold(RULE, cold_targets, now_ms) == [TARGET.identity]
    return placer


def request_at(at_ms):
    return PlacementRequest(
        HostId("n0"), DomainId("a"), "pages", True, 0, 800.0, at_ms + 2_000.0
    )


class Load:
    """Send 100 requests a second, each through a placer drawn at random."""

    def __init__(self, placers):
        self.placers = placers
        self.rng = random.Random(3)
        self.running, self.queued = [], []

    def run(self, from_ms, to_ms, outcome, work_ms=5):
        """Return the times at which the target got requests."""
        times = []
        for at_ms in range(from_ms, to_ms):
            self._end_due(float(at_ms), outcome, work_ms)
            if self.rng.random() < 0.1:
                placer = self.rng.choice(self.placers)
                decision = placer.request_placement(request_at(at_ms), float(at_ms))
                self.queued.append((placer, decision))
            granted = self._granted()
            times += [at_ms] * len(granted)
            self.running += [(at_ms + work_ms, *entry) for entry in granted]
            self._share_attempts(float(at_ms))
        return times

    def _end_due(self, at_ms, outcome, work_ms):
        ended = [entry for entry in self.running if entry[0] <= at_ms]
        self.running = [entry for entry in self.running if entry[0] > at_ms]
        for _, placer, grant in ended:
            placer.ended(TARGET.identity, grant, outcome, HostId("n0"), work_ms, at_ms)
        for placer in self.placers:
            placer.process_due(at_ms)

    def _granted(self):
        granted, queued = [], []
        for placer, decision in self.queued:
            settled = getattr(decision, "settled", decision)
            if settled is None:
                queued.append((placer, decision))
            elif isinstance(settled, PlacementGranted):
                granted.append((placer, settled.grant))
        self.queued = queued
        return granted

    def _share_attempts(self, at_ms):
        for placer in self.placers:
            for report in placer.limits.attempts():
                for other in self.placers:
                    if other is not placer:
                        other.limits.count_attempt(report, at_ms)


def most_in_a_second(times):
    return max(sum(at <= other < at + 1_000 for other in times) for at in times)


@pytest.mark.parametrize("outcome", [AttemptOutcome.ANSWERED, AttemptOutcome.ERROR])
@pytest.mark.parametrize("placers", [1, 2, 3])
def test_cold_target_gets_a_limited_rate_from_all_placers_together(outcome, placers):
    """Guards against short work or fast errors that crash a cold target by their rate.

    Its slots are free again at once, so that slots alone do not limit the rate.
    """
    times = Load([cold_placer() for _ in range(placers)]).run(0, 3_000, outcome)
    assert most_in_a_second(times) <= MAX_REQUESTS_IN_A_SECOND
    # An errant target may be ejected; one that answers gets what it tolerates.
    if outcome is AttemptOutcome.ANSWERED:
        assert len(times) >= 0.8 * 3.0 * RULE.cold_per_s


def test_warm_target_gets_full_load():
    """Guards against a limit that outlasts the warm-up."""
    times = Load([cold_placer()]).run(0, 6_000, AttemptOutcome.ANSWERED)
    assert sum(at >= 4_000 for at in times) >= 150


def test_target_that_was_down_is_limited_when_it_returns():
    """Guards against full load on a restarted target before its entry shows it."""
    load = Load([cold_placer()])
    load.run(0, 4_000, AttemptOutcome.ANSWERED)
    load.run(4_000, 4_200, AttemptOutcome.CLOSED)
    warm_ms = 4_200 + round(RULE.warm_up_ms)
    times = load.run(4_200, warm_ms, AttemptOutcome.ANSWERED)
    assert len(times) >= 10 and most_in_a_second(times) <= MAX_REQUESTS_IN_A_SECOND


def test_latencies_of_cold_targets_are_not_the_routes():
    """Guards against hedges that come late everywhere after targets were cold."""
    placer = cold_placer()
    before = placer.request_placement(request_at(500.0), 500.0)
    Load([placer]).run(600, 2_600, AttemptOutcome.ANSWERED, work_ms=400)
    # Those that still wait go first, and nobody ends their attempts.
    placer.process_due(5_000.0)
    after = placer.request_placement(request_at(5_000.0), 5_000.0)
    assert isinstance(before, PlacementGranted) and isinstance(after, PlacementGranted)
    assert after.hedge_after_ms == before.hedge_after_ms


def test_target_that_no_sender_reached_is_limited_when_it_returns():
    """Guards against full load on a service that restarted as a whole.

    Its senders fail at all of its targets, which looks like paths that are lost.
    """
    targets = [named(f"t{number}") for number in range(4)]
    placer = ServicePlacer(0.7, RetryBudget(0.2, 172.0, 10_000.0))
    placer.set_targets(targets, 0.0)
    placer.limits.update_cold(RULE, ColdTargets(), 0.0)
    for at_ms in (1_000.0, 1_010.0, 1_020.0, 1_030.0):
        granted = placer.request_placement(request_at(at_ms), at_ms)
        assert isinstance(granted, PlacementGranted)
        placer.ended(
            granted.target.identity,
            granted.grant,
            AttemptOutcome.CLOSED,
            HostId("n0"),
            2.0,
            at_ms + 2.0,
        )
    back = placer.request_placement(request_at(1_500.0), 1_500.0)
    assert isinstance(back, PlacementGranted)
    identity = back.target.identity
    answered = AttemptOutcome.ANSWERED
    placer.ended(identity, back.grant, answered, HostId("n0"), 20.0, 1_520.0)
    assert placer.trackers()[identity].limit.is_active
