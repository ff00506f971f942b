"""Search for orders of events that break the floor of healthy capacity."""

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from benchmarks.health_trial import HealthTrial, failing, make_targets, since
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

OUT = (HealthState.EJECTED, HealthState.PROBATION)
FLOOR = 0.5
HOMES = 2


def out_of_service(judge: GroupHealth, now_ms: float) -> set[TargetId]:
    return {row.target for row in judge.snapshot(now_ms) if row.state in OUT}


def given_trials_only(
    judge: GroupHealth, targets: list[Target], now_ms: float
) -> set[TargetId]:
    least = HealthSettings().probation_weight
    return {t.target for t in targets if judge.weight(t.target, now_ms) <= least}


def serving_fraction(targets: list[Target], out: set[TargetId]) -> float:
    live = [t for t in targets if t.state is TargetState.LIVE]
    serving = sum(t.slots for t in live if t.target not in out)
    return serving / sum(t.slots for t in live)


class TwoHomes(RuleBasedStateMachine):
    """Let two homes judge the same group, each on evidence of its own."""

    homes_at_once = HOMES

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0.0
        self.targets = make_targets(8, 2)
        config = HealthSettings(
            least_threshold_nats=6.0,
            most_threshold_nats=6.0,
            homes_at_once=self.homes_at_once,
        )
        self.homes = [GroupHealth.from_config(config, FLOOR) for _ in range(HOMES)]
        self.list_targets()

    def list_targets(self) -> None:
        for home in self.homes:
            home.set_targets(self.targets, self.now_ms)

    @rule(home=st.integers(0, HOMES - 1), bad=st.sets(st.integers(0, 9), max_size=5))
    def cut(self, home: int, bad: set[int]) -> None:
        for _ in range(8):
            self.now_ms += 50.0
            for i, target in enumerate(self.targets):
                outcome = Outcome.TIMEOUT if i in bad else Outcome.OK
                sample = Sample(target.target, outcome, 50.0)
                self.homes[home].observe(sample, self.now_ms)

    @rule(
        home=st.integers(0, HOMES - 1),
        number=st.integers(0, 9),
        outcome=st.sampled_from(Outcome),
        count=st.integers(1, 12),
    )
    def work(self, home: int, number: int, outcome: Outcome, count: int) -> None:
        name = self.targets[number % len(self.targets)].target
        for _ in range(count):
            self.now_ms += 5.0
            self.homes[home].observe(Sample(name, outcome, 50.0), self.now_ms)

    @rule(
        home=st.integers(0, HOMES - 1),
        number=st.integers(0, 9),
        seen=st.booleans(),
    )
    def look(self, home: int, number: int, seen: bool) -> None:
        name = self.targets[number % len(self.targets)].target
        judge = self.homes[home]
        judge.second_opinion(name, seen, self.now_ms)
        judge.probe(name, seen, self.now_ms)
        judge.outstanding(name, [60_000.0 * seen] * 2, self.now_ms)

    @rule(step_ms=st.sampled_from([100.0, 1_000.0, 20_000.0]))
    def tick(self, step_ms: float) -> None:
        self.now_ms += step_ms
        for home in self.homes:
            home.tick(self.now_ms)

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
    def floor_holds_for_both_homes_together(self) -> None:
        out: set[TargetId] = set()
        for home in self.homes:
            out |= out_of_service(home, self.now_ms)
            out |= given_trials_only(home, self.targets, self.now_ms)
        assert serving_fraction(self.targets, out) >= FLOOR


class TwoNaiveHomes(TwoHomes):
    """Let each home eject all that the floor allows to one."""

    homes_at_once = 1


SEARCH = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)


def test_no_order_of_events_breaks_the_floor() -> None:
    run_state_machine_as_test(TwoHomes, settings=SEARCH)


def test_search_finds_the_fault_of_the_naive_rule() -> None:
    # Two homes that each keep the floor by their own view leave fewer targets in
    # the service of both; the search has to see it, or its silence means nothing.
    first_find = settings(SEARCH, phases=[Phase.generate], report_multiple_bugs=False)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(TwoNaiveHomes, settings=first_find)


def two_cut_homes(homes_at_once: int) -> tuple[float, list[HealthTrial]]:
    trials = []
    out: set[TargetId] = set()
    for seed, bad in enumerate([slice(0, 4), slice(4, 8)]):
        config = HealthSettings(homes_at_once=homes_at_once)
        trial = HealthTrial.from_config(8, 2, seed=seed, settings=config)
        for target in trial.targets[bad]:
            trial.behaviours[target.target] = since(5_000.0, failing(1.0))
        trial.run_until(9_000.0)
        out |= out_of_service(trial.judge, trial.now_ms)
        trials.append(trial)
    return serving_fraction(trials[0].targets, out), trials


def test_two_homes_with_different_evidence_keep_the_floor() -> None:
    # A cut between failure domains leaves two homes for one group. Each sees the
    # half of the targets beyond the cut fail and would eject it, and no target
    # would be left in the service of both. The naive rule, with the whole cap for
    # each home, is put to the same test first.
    naive, _ = two_cut_homes(homes_at_once=1)
    assert naive < FLOOR
    shared, trials = two_cut_homes(homes_at_once=2)
    assert shared >= FLOOR
    for trial in trials:
        assert trial.times(EjectionWithheld)
        out = out_of_service(trial.judge, trial.now_ms)
        assert given_trials_only(trial.judge, trial.targets, trial.now_ms) == out


@pytest.mark.parametrize("rates", [[1.0] * 8, [0.4] * 5 + [1.0] * 2 + [0.01]])
def test_panic_keeps_the_least_bad(rates: list[float]) -> None:
    # Nearly all targets of a group go bad, by different degrees. Those that do some
    # work must keep serving, and those that do none are the first to go.
    trial = HealthTrial.from_config(count=8, slots=2, seed=1)
    for target, rate in zip(trial.targets, rates, strict=True):
        trial.behaviours[target.target] = since(5_000.0, failing(rate))
    trial.run_until(9_900.0)
    out = out_of_service(trial.judge, trial.now_ms)
    worst = {t.target for t, r in zip(trial.targets, rates, strict=True) if r == 1.0}
    assert out <= worst
    assert serving_fraction(trial.targets, out) >= FLOOR


def test_worse_targets_take_the_place_of_less_bad_ones() -> None:
    # Two targets fail some of their work and fill all that the floor lets go. Then
    # two others fail everything, and callers would meet them at every turn while
    # two that do most of their work stand idle.
    trial = HealthTrial.from_config(count=8, slots=2, seed=3)
    names = [target.target for target in trial.targets]
    for name, begin_ms, rate in zip(
        names, (5_000.0, 5_000.0, 8_000.0, 8_000.0), (0.3, 0.3, 1.0, 1.0), strict=False
    ):
        trial.behaviours[name] = since(begin_ms, failing(rate))
    trial.run_until(8_000.0)
    assert out_of_service(trial.judge, trial.now_ms) == set(names[:2])
    trial.run_until(9_500.0)
    assert out_of_service(trial.judge, trial.now_ms) == set(names[2:4])
