"""Search for event orders that violate the floor of capacity in service."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from benchmarks.health_simulation import HealthSimulation, failing, make_targets, since
from crocusspindle.core.health import GroupHealth
from crocusspindle.core.health_state import (
    EjectionWithheld,
    HealthSettings,
    HealthState,
    Outcome,
    Sample,
)
from crocusspindle.core.model import Target, TargetState
from crocusspindle.ids import TargetId

OUT_OF_SERVICE = (HealthState.EJECTED, HealthState.PROBATION)
FLOOR = 0.5
COORDINATORS = 2


def out_of_service(group_health: GroupHealth, now_ms: float) -> set[TargetId]:
    return {
        row.target
        for row in group_health.snapshot(now_ms)
        if row.state in OUT_OF_SERVICE
    }


def given_trials_only(
    group_health: GroupHealth, targets: list[Target], now_ms: float
) -> set[TargetId]:
    max_weight = HealthSettings().probation_weight
    return {
        t.target for t in targets if group_health.weight(t.target, now_ms) <= max_weight
    }


def serving_fraction(targets: list[Target], ejected: set[TargetId]) -> float:
    live = [t for t in targets if t.state is TargetState.LIVE]
    serving = sum(t.slots for t in live if t.target not in ejected)
    return serving / sum(t.slots for t in live)


class TwoCoordinators(RuleBasedStateMachine):
    """Let two coordinators evaluate the same group, each on its own evidence."""

    coordinators_at_once = COORDINATORS

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.targets = make_targets(8, 2)
        config = HealthSettings(
            min_threshold_nats=6.0,
            max_threshold_nats=6.0,
            coordinators_at_once=self.coordinators_at_once,
        )
        self.coordinators = [
            GroupHealth.from_config(config, FLOOR) for _ in range(COORDINATORS)
        ]
        self.list_targets()

    def list_targets(self) -> None:
        for coordinator in self.coordinators:
            coordinator.set_targets(self.targets, self.now_ms)

    @rule(
        coordinator=st.integers(0, COORDINATORS - 1),
        bad=st.sets(st.integers(0, 9), max_size=5),
    )
    def fail_targets(self, coordinator: int, bad: set[int]) -> None:
        for _ in range(8):
            self.now_ms += 50.0
            for i, target in enumerate(self.targets):
                outcome = Outcome.TIMEOUT if i in bad else Outcome.OK
                sample = Sample(target.target, outcome, 50.0)
                self.coordinators[coordinator].observe(sample, self.now_ms)

    @rule(
        coordinator=st.integers(0, COORDINATORS - 1),
        number=st.integers(0, 9),
        outcome=st.sampled_from(Outcome),
        count=st.integers(1, 12),
    )
    def work(self, coordinator: int, number: int, outcome: Outcome, count: int) -> None:
        name = self.targets[number % len(self.targets)].target
        for _ in range(count):
            self.now_ms += 5.0
            self.coordinators[coordinator].observe(
                Sample(name, outcome, 50.0), self.now_ms
            )

    @rule(
        coordinator=st.integers(0, COORDINATORS - 1),
        number=st.integers(0, 9),
        reached=st.booleans(),
    )
    def observe_elsewhere(self, coordinator: int, number: int, reached: bool) -> None:
        name = self.targets[number % len(self.targets)].target
        group_health = self.coordinators[coordinator]
        group_health.second_opinion(name, reached, self.now_ms)
        group_health.record_health_check(name, reached, self.now_ms)
        group_health.record_outstanding(name, [60_000.0 * reached] * 2, self.now_ms)

    @rule(step_ms=st.sampled_from([100.0, 1_000.0, 20_000.0]))
    def tick(self, step_ms: float) -> None:
        self.now_ms += step_ms
        for coordinator in self.coordinators:
            coordinator.tick(self.now_ms)

    @rule(count=st.integers(1, 10), slots=st.integers(1, 6), leaving=st.integers(0, 3))
    def change_targets(self, count: int, slots: int, leaving: int) -> None:
        self.targets = [
            Target(
                t.target,
                t.service,
                t.domain,
                t.slots,
                TargetState.LEAVING if i < min(leaving, count - 1) else t.state,
            )
            for i, t in enumerate(make_targets(count, slots))
        ]
        self.list_targets()

    @invariant()
    def floor_holds_for_both_coordinators_together(self) -> None:
        ejected: set[TargetId] = set()
        for coordinator in self.coordinators:
            ejected |= out_of_service(coordinator, self.now_ms)
            ejected |= given_trials_only(coordinator, self.targets, self.now_ms)
        assert serving_fraction(self.targets, ejected) >= FLOOR


class TwoNaiveCoordinators(TwoCoordinators):
    """Let each coordinator eject all that the floor allows to a single one."""

    coordinators_at_once = 1


SEARCH = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


def test_no_order_of_events_breaks_the_floor() -> None:
    run_state_machine_as_test(TwoCoordinators, settings=SEARCH)


def test_search_finds_the_fault_of_the_naive_rule() -> None:
    # Two coordinators that each keep the floor on their own violate it together. The
    # search must find this, or finding nothing above would prove nothing.
    first_find = settings(SEARCH, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(TwoNaiveCoordinators, settings=first_find)


def two_partitioned_coordinators(
    coordinators_at_once: int,
) -> tuple[float, list[HealthSimulation]]:
    trials = []
    ejected: set[TargetId] = set()
    for seed, bad in enumerate([slice(0, 4), slice(4, 8)]):
        config = HealthSettings(coordinators_at_once=coordinators_at_once)
        trial = HealthSimulation.from_config(8, 2, seed=seed, settings=config)
        for target in trial.targets[bad]:
            trial.behaviours[target.target] = since(5_000.0, failing(1.0))
        trial.run_until(9_000.0)
        ejected |= out_of_service(trial.group_health, trial.now_ms)
        trials.append(trial)
    return serving_fraction(trials[0].targets, ejected), trials


def test_two_coordinators_with_different_evidence_keep_the_floor() -> None:
    # In a partition each of two coordinators sees a different half of the targets fail.
    # If each ejected its half (the naive rule: the whole allowance for each), no target
    # would be in service at both.
    naive, _ = two_partitioned_coordinators(coordinators_at_once=1)
    assert naive < FLOOR
    shared, trials = two_partitioned_coordinators(coordinators_at_once=2)
    assert shared >= FLOOR
    for trial in trials:
        assert trial.times(EjectionWithheld)
        ejected = out_of_service(trial.group_health, trial.now_ms)
        assert (
            given_trials_only(trial.group_health, trial.targets, trial.now_ms)
            == ejected
        )


@pytest.mark.parametrize("rates", [[1.0] * 8, [0.4] * 5 + [1.0] * 2 + [0.01]])
def test_floor_keeps_the_least_bad_targets(rates: list[float]) -> None:
    # Nearly all targets of a group become bad to different degrees. Those that do some
    # work must keep serving, and those that do none are ejected first.
    trial = HealthSimulation.from_config(count=8, slots=2, seed=1)
    for target, rate in zip(trial.targets, rates, strict=True):
        trial.behaviours[target.target] = since(5_000.0, failing(rate))
    trial.run_until(9_900.0)
    ejected = out_of_service(trial.group_health, trial.now_ms)
    worst = {t.target for t, r in zip(trial.targets, rates, strict=True) if r == 1.0}
    assert ejected <= worst
    assert serving_fraction(trial.targets, ejected) >= FLOOR


def test_worse_targets_replace_less_bad_ejected_ones() -> None:
    # Two targets that fail some work are ejected, which uses up the floor's margin. Two
    # others then fail all work and would keep serving while the better two stay idle.
    trial = HealthSimulation.from_config(count=8, slots=2, seed=3)
    names = [target.target for target in trial.targets]
    for name, begin_ms, rate in zip(
        names, (5_000.0, 5_000.0, 8_000.0, 8_000.0), (0.3, 0.3, 1.0, 1.0), strict=False
    ):
        trial.behaviours[name] = since(begin_ms, failing(rate))
    trial.run_until(8_000.0)
    assert out_of_service(trial.group_health, trial.now_ms) == set(names[:2])
    trial.run_until(9_500.0)
    assert out_of_service(trial.group_health, trial.now_ms) == set(names[2:4])
