"""Tests of a placer some of whose senders lose their paths to targets.

All time is virtual. The load is that of a booking service: 24 entries and 14 targets of
4 slots, a third of them busy. A seed draws which entries are cut off, and which targets
crash meanwhile.
"""

import random
from dataclasses import dataclass

import pytest

from benchmarks.placing_simulation import (
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
)
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.path_watch import PathWatch
from crocusspindle.core.placement_request import PlacementRefused
from crocusspindle.core.target_tracker import EjectionState
from crocusspindle.ids import ServiceId

LOOKUP = RouteLoad("lookup", True, 30.0, 300.0, 0.5, 1_000.0, 4_000.0, priority=2)
ORDER = RouteLoad("order", False, 40.0, 250.0, 0.5, 1_000.0, 4_000.0)
ENTRIES = 24
TARGETS = 14
BOOKINGS = ServiceScenario(
    TARGETS, 4, (LOOKUP, ORDER), entries=ENTRIES, length_ms=20_000.0
)
CUT_MS = 5_000.0
HEALED_MS = 15_000.0
LEARNT_MS = 1_000.0
"""Time after a cut or crash in which the placer learns of it."""

SEEDS = range(6)
SERVICE = ServiceId("service")
PROBE_MS = 1_000.0
CONNECT_MS = 300.0
SPANS_MS = {
    AttemptOutcome.CLOSED: 4.0,
    AttemptOutcome.BROKEN: 4.0,
    AttemptOutcome.CRASHED: 5.0,
    AttemptOutcome.UNREACHED: CONNECT_MS,
    AttemptOutcome.DISCONNECTED: 5.0,
}


@dataclass(frozen=True)
class Cut:
    """Cut some entries off from some targets; crash other targets."""

    entries: frozenset[str]
    targets: frozenset[int]
    outcome: AttemptOutcome
    crashed: frozenset[int] = frozenset()

    @classmethod
    def draw(cls, seed, entry_share, outcome, target_share=1.0, crash_share=0.0):
        """Draw which entries are cut off, and which targets crash."""
        rng = random.Random(f"{seed} {outcome}")
        entries = rng.sample(range(ENTRIES), round(ENTRIES * entry_share))
        targets = rng.sample(range(TARGETS), round(TARGETS * target_share))
        crashed = rng.sample(range(TARGETS), round(TARGETS * crash_share))
        return cls(
            frozenset(map(str, entries)),
            frozenset(targets),
            outcome,
            frozenset(crashed),
        )


class CutSimulation(PlacingSimulation):
    """Count what the placer makes of a cut."""

    def __init__(self, cut: Cut, seed: int) -> None:
        super().__init__(BOOKINGS, seed)
        self._cut = cut
        self.sound_ejected = self.samples = 0
        self.refused_with_path = self.asked_with_path = 0
        self.sent_to_crashed = 0
        self._watches: dict[str, PathWatch] = {}
        self._probes_ms: dict[str, float] = {}

    def _request_placement(self, request, retry, now_ms, hedge=False):
        # An entry without paths sends nothing but a probe a second.
        watch = self._watches.setdefault(request.entry, PathWatch(random.Random(1)))
        if watch.is_lost(SERVICE):
            if now_ms < self._probes_ms.get(request.entry, 0.0):
                return
            self._probes_ms[request.entry] = now_ms + PROBE_MS
        super()._request_placement(request, retry, now_ms, hedge)

    def _ended(self, request, placed, outcome, began_ms, now_ms):
        watch, target = self._watches[request.entry], placed.target.identity
        if outcome.shows_path:
            watch.record_reached(SERVICE, began_ms, now_ms)
        else:
            watch.record(SERVICE, target, outcome, TARGETS, now_ms)
        super()._ended(request, placed, outcome, began_ms, now_ms)

    def _attempt_result(self, request, target, now_ms):
        if CUT_MS <= now_ms < HEALED_MS:
            if target in self._cut.crashed:
                is_late = now_ms >= CUT_MS + LEARNT_MS
                self.sent_to_crashed += is_late and not self._is_cut(request)
                return AttemptOutcome.CLOSED, SPANS_MS[AttemptOutcome.CLOSED]
            if self._is_cut(request) and target in self._cut.targets:
                return self._cut.outcome, SPANS_MS[self._cut.outcome]
        return super()._attempt_result(request, target, now_ms)

    def _is_cut(self, request):
        return request.entry in self._cut.entries

    def _tick(self, now_ms):
        super()._tick(now_ms)
        if CUT_MS + LEARNT_MS <= now_ms < HEALED_MS:
            for identity, tracker in self.placer.trackers().items():
                if int(identity) not in self._cut.crashed:
                    self.samples += 1
                    ejected = tracker.ejection_state is EjectionState.EJECTED
                    self.sound_ejected += ejected

    def _apply_answer(self, request, answer, now_ms):
        if CUT_MS + LEARNT_MS <= now_ms < HEALED_MS and not self._is_cut(request):
            self.asked_with_path += 1
            self.refused_with_path += isinstance(answer, PlacementRefused)
        super()._apply_answer(request, answer, now_ms)

    @property
    def sound_ejected_fraction(self) -> float:
        """Return the mean fraction of the sound targets that were ejected."""
        return self.sound_ejected / self.samples

    @property
    def refused_fraction(self) -> float:
        """Return the fraction of placements refused to entries with paths."""
        return self.refused_with_path / self.asked_with_path


def run(seed, *cut, **options) -> CutSimulation:
    simulation = CutSimulation(Cut.draw(seed, *cut, **options), seed)
    simulation.run()
    return simulation


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entry_share", [0.1, 0.5, 0.8])
@pytest.mark.parametrize("outcome", list(SPANS_MS))
def test_senders_without_paths_eject_no_target(outcome, entry_share, seed):
    """Guards against a failed path taken for a failed target."""
    simulation = run(seed, entry_share, outcome)
    assert simulation.sound_ejected_fraction < 0.1
    assert simulation.refused_fraction < 0.01


def assert_partial_cut_ejects_few(outcome, seed):
    simulation = run(seed, 0.5, outcome, target_share=0.35)
    assert simulation.sound_ejected_fraction < 0.2
    assert simulation.refused_fraction < 0.01


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "outcome", [outcome for outcome in SPANS_MS if outcome is not AttemptOutcome.BROKEN]
)
def test_paths_to_some_targets_lost_by_some_senders_eject_few(outcome, seed):
    """Guards against a cut of one failure domain taken for its targets' failure."""
    assert_partial_cut_ejects_few(outcome, seed)


@pytest.mark.parametrize("seed", SEEDS)
def test_paths_to_some_targets_broken_by_some_senders_eject_few(seed):
    """Guards against paths that break connections taken for gray targets."""
    assert_partial_cut_ejects_few(AttemptOutcome.BROKEN, seed)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entry_share", [0.0, 0.5])
def test_targets_that_crash_together_are_still_ejected(entry_share, seed):
    """Guards against a crash of many targets taken for failed paths."""
    simulation = run(seed, entry_share, AttemptOutcome.CLOSED, crash_share=0.5)
    assert simulation.refused_fraction < 0.05
    # One trial for each target and each two seconds, and as much again.
    assert simulation.sent_to_crashed < 7 * 5 * 2
    assert simulation.sound_ejected_fraction < 0.1
