"""Test health evaluation with failures of targets in virtual time."""

from random import Random

import pytest

from benchmarks.health_simulation import (
    Behaviour,
    HealthSimulation,
    failing,
    flapping,
    healthy,
    silent,
    since,
    slow,
)
from crocusspindle.core.health_state import (
    Ejected,
    GroupSuspect,
    HealthState,
    Outcome,
    ProbationBegan,
    Restored,
    Sample,
    SecondOpinionWanted,
)

BEGIN_MS = 20_000.0


def run_trial(
    bad: Behaviour, bad_targets: int = 1, seed: int = 1, reached: bool = False
) -> HealthSimulation:
    trial = HealthSimulation.from_config(count=8, slots=2, seed=seed)
    trial.reached_elsewhere = reached
    for target in trial.targets[:bad_targets]:
        trial.behaviours[target.target] = bad
    trial.run_until(BEGIN_MS + 30_000.0)
    return trial


@pytest.mark.parametrize(
    ("bad", "bound_ms"),
    [
        (failing(0.1), 12_000.0),
        (failing(0.3), 2_000.0),
        (failing(1.0), 500.0),
        (slow(5.0), 4_000.0),
        (silent, 1_000.0),
    ],
    ids=["10 %", "30 %", "100 %", "slow x5", "silent"],
)
@pytest.mark.parametrize("seed", range(2))
def test_gray_target_is_ejected(bad: Behaviour, bound_ms: float, seed: int) -> None:
    # A target passes health checks but fails some of its real work, becomes slow or
    # stops answering, and it alone is at fault.
    trial = run_trial(since(BEGIN_MS, bad), seed=seed)
    gray = trial.targets[0].target
    at_ms = trial.first(Ejected, gray)
    assert at_ms is not None
    assert 0.0 <= at_ms - BEGIN_MS <= bound_ms
    assert trial.times(Ejected) == trial.times(Ejected, gray)


@pytest.mark.parametrize(
    ("bad", "suspects_group"),
    [(failing(0.5), False), (slow(5.0), True), (silent, True)],
    ids=["errors", "slow", "silent"],
)
def test_shared_fault_ejects_no_target(bad: Behaviour, suspects_group: bool) -> None:
    # A shared dependency fails, or this coordinator loses its path to all targets. All
    # look bad at once, and ejecting some would only move their work to the others.
    trial = run_trial(since(BEGIN_MS, bad), bad_targets=8)
    assert trial.times(Ejected) == []
    assert bool(trial.times(GroupSuspect)) == suspects_group


def test_caller_errors_eject_no_target() -> None:
    # A customer sends only invalid requests and all happen to reach one target, which
    # answers 4xx and is healthy.
    trial = run_trial(healthy)
    target = trial.targets[0].target
    for outcome in [Outcome.CALLER_ERROR, Outcome.SHED] * 500:
        assert (
            trial.group_health.observe(Sample(target, outcome, 5.0), trial.now_ms) == []
        )


def test_target_reached_from_elsewhere_makes_the_group_suspect() -> None:
    # The path from this coordinator to one target is cut in one direction. The target
    # looks silent from here, but a node in another failure domain reaches it.
    trial = run_trial(since(BEGIN_MS, silent), reached=True)
    requested_ms = trial.first(SecondOpinionWanted, trial.targets[0].target)
    assert requested_ms is not None
    assert trial.first(GroupSuspect) is not None


@pytest.mark.parametrize("seed", range(3))
def test_long_work_is_not_silence(seed: int) -> None:
    # A few requests are uploads, a hundred times as long as the lookups. At times they
    # hold all slots of a target, which looks silent, and an ejection would lose them.
    def mixed(rng: Random, now_ms: float) -> tuple[Outcome, float]:
        mean_ms = 2_000.0 if rng.random() < 0.015 else 20.0
        return healthy(rng, now_ms)[0], rng.expovariate(1.0 / mean_ms)

    trial = run_trial(mixed, bad_targets=8, seed=seed)
    assert trial.times(Ejected) == []


def test_one_silent_connection_ejects_no_target() -> None:
    # The network between coordinator and target loses the state of one connection. Its
    # request hangs forever while the target answers all others.
    trial = run_trial(healthy)
    target = trial.targets[0].target
    for step in range(100):
        now_ms = trial.now_ms + 100.0 * step
        assert (
            trial.group_health.record_outstanding(target, [100.0 * step], now_ms) == []
        )
        assert (
            trial.group_health.observe(Sample(target, Outcome.OK, 40.0), now_ms) == []
        )


def test_evidence_of_requests_no_longer_outstanding_expires() -> None:
    # Callers give up, their requests are cancelled, and nothing more is sent to the
    # target for a while. The age of those requests must not count against it forever.
    trial = run_trial(healthy)
    target, now_ms = trial.targets[0].target, trial.now_ms + 5_000.0

    def evidence_nats(at_ms: float) -> float:
        assert trial.group_health.tick(at_ms) == []
        rows = {row.target: row for row in trial.group_health.snapshot(at_ms)}
        return rows[target].evidence_nats

    before_nats = evidence_nats(now_ms)
    trial.group_health.record_outstanding(target, [200.0, 220.0], now_ms)
    assert evidence_nats(now_ms) > before_nats + 2.0
    assert evidence_nats(now_ms + 1_000.0) == before_nats


def test_flapping_target_is_ejected_for_longer_each_time() -> None:
    # A target is alternately bad and healthy for 6 s each. After each return it fails
    # requests until it is detected again.
    trial = HealthSimulation.from_config(count=8, slots=2, seed=3)
    gray = trial.targets[0].target
    trial.behaviours[gray] = flapping(BEGIN_MS, 6_000.0, failing(1.0))
    trial.run_until(BEGIN_MS + 120_000.0)
    durations_ms = [
        change.until_ms - at_ms
        for at_ms, change in trial.changes
        if isinstance(change, Ejected)
    ]
    assert len(durations_ms) >= 3
    assert durations_ms == sorted(durations_ms)
    assert durations_ms[2] > 3.0 * durations_ms[0]
    ejected_fraction = sum(min(ms, 120_000.0) for ms in durations_ms) / 120_000.0
    assert ejected_fraction > 0.5


def test_recovered_target_returns_by_trials() -> None:
    # A target fails all work for 3 s and recovers. Its capacity must return to service
    # with few requests at risk.
    trial = HealthSimulation.from_config(count=8, slots=2, seed=4)
    gray = trial.targets[0].target
    trial.behaviours[gray] = lambda rng, now_ms: (
        failing(1.0) if BEGIN_MS <= now_ms < BEGIN_MS + 3_000.0 else healthy
    )(rng, now_ms)
    trial.run_until(BEGIN_MS + 30_000.0)
    kinds = [type(change) for _, change in trial.changes]
    assert kinds == [Ejected, ProbationBegan, Restored]
    assert trial.group_health.weight(gray, trial.now_ms) == 1.0


def test_wrong_health_check_keeps_no_target_in_service() -> None:
    # The target's health endpoint reports that it is healthy while real work fails.
    trial = HealthSimulation.from_config(count=8, slots=2, seed=5)
    gray = trial.targets[0].target
    trial.behaviours[gray] = since(BEGIN_MS, failing(0.3))
    for now_ms in range(0, 40_000, 250):
        trial.run_until(float(now_ms))
        assert trial.group_health.record_health_check(gray, True, trial.now_ms) == []
    health = {row.target: row for row in trial.group_health.snapshot(trial.now_ms)}
    assert health[gray].state in (HealthState.EJECTED, HealthState.PROBATION)


def test_health_check_ejects_no_target() -> None:
    # The health endpoint lags or fails while real work succeeds.
    trial = run_trial(healthy)
    target = trial.targets[0].target
    for step in range(1_000):
        assert (
            trial.group_health.record_health_check(target, False, trial.now_ms + step)
            == []
        )
    assert trial.group_health.weight(target, trial.now_ms + 1_000.0) == 1.0
