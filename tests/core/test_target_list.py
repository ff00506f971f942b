"""Follow targets and evacuations through outages and restores of the store."""

from dataclasses import replace

import pytest

from crocusspindle.core.departed_targets import RETENTION_MS, DepartedTargets
from crocusspindle.core.evacuated_domains import (
    HELD_BACK_MS,
    KEPT_MS,
    EvacuatedDomains,
)
from crocusspindle.core.leaving_targets import LeavingTargets
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.target_list import (
    RENEWAL_GRACE_MS,
    SILENT_ENTRY_MS,
    KnownBefore,
    NoEntry,
    TargetList,
    keep_leaving,
)
from crocusspindle.ids import DomainId, ServiceId

READY = ListedTarget(
    TargetIdentity("t1"),
    ServiceId("books"),
    "127.0.0.1:9000",
    DomainId("a"),
    2,
    Readiness.READY,
    started_ms=1_000,
)
DRAINING = replace(READY, readiness=Readiness.DRAINING)
OLDER = replace(READY, started_ms=500)
NEWER = replace(READY, started_ms=2_000)
OLD_ERA, NEW_ERA = 1, 2
A, B = DomainId("a"), DomainId("b")


@pytest.mark.parametrize(
    ("entry", "known", "expected"),
    [
        (READY, None, READY),
        (READY, READY, READY),
        (DRAINING, READY, DRAINING),
        (READY, DRAINING, DRAINING),
        (NEWER, DRAINING, NEWER),
        (OLDER, DRAINING, replace(OLDER, readiness=Readiness.DRAINING)),
        (replace(READY, started_ms=0), DRAINING, replace(READY, started_ms=0)),
    ],
)
def test_a_start_that_is_leaving_stays_so(entry, known, expected):
    """Guards against an old entry that gives a leaving target work again."""
    assert keep_leaving(entry, known) == expected


def left_in(era: int) -> DepartedTargets:
    departed = DepartedTargets()
    departed.update([READY], [], era, now_ms=0.0)
    return departed


def known_before(in_force=(), departed=None, **times) -> KnownBefore:
    restored = {"store_regained_ms": 0.0, "era_began_ms": 0.0}
    return KnownBefore(in_force, departed or DepartedTargets(), **restored | times)


@pytest.mark.parametrize(
    ("entry", "in_force", "departed", "is_held_back"),
    [
        (READY, [], DepartedTargets(), False),
        (READY, [], left_in(OLD_ERA), True),
        (OLDER, [], left_in(OLD_ERA), True),
        (NEWER, [], left_in(OLD_ERA), False),
        (READY, [], left_in(NEW_ERA), False),
        (READY, [READY], left_in(OLD_ERA), False),
        (OLDER, [READY], DepartedTargets(), True),
        (NEWER, [READY], DepartedTargets(), False),
    ],
)
def test_a_target_that_left_gets_nothing_when_the_copy_lists_it(
    entry, in_force, departed, is_held_back
):
    """Guards against work for a target that ended before the store was restored."""
    known = known_before(in_force, departed)
    targets = TargetList()
    targets.reset(in_force)
    targets.replace_all({entry.identity: entry}, NEW_ERA, known, now_ms=0.0)
    assert (entry in targets.targets) is not is_held_back
    targets.update({}, known, now_ms=SILENT_ENTRY_MS - 1)
    assert (entry in targets.targets) is not is_held_back
    targets.update({}, known, now_ms=SILENT_ENTRY_MS)
    assert entry in targets.targets


def test_a_target_that_writes_after_the_restore_is_listed_at_once():
    targets, known = TargetList(), known_before(departed=left_in(OLD_ERA))
    targets.replace_all({READY.identity: READY}, NEW_ERA, known, now_ms=0.0)
    assert not targets.targets
    targets.update({READY.identity: READY}, known, now_ms=1.0)
    assert targets.targets == [READY]


def test_an_entry_that_is_removed_again_is_not_listed_later():
    targets, known = TargetList(), known_before(departed=left_in(OLD_ERA))
    targets.replace_all({READY.identity: READY}, NEW_ERA, known, now_ms=0.0)
    targets.update({READY.identity: NoEntry.REMOVED}, known, now_ms=1.0)
    targets.update({}, known, now_ms=SILENT_ENTRY_MS)
    assert not targets.targets


def test_a_missing_target_is_kept_for_the_grace_period_only():
    """Guards against a service that loses all targets when the store is restored."""
    targets, known = TargetList(), known_before([READY])
    targets.reset([READY])
    targets.replace_all({}, NEW_ERA, known, now_ms=0.0)
    targets.update({}, known, now_ms=RENEWAL_GRACE_MS - 1)
    assert targets.targets == [READY]
    targets.update({}, known, now_ms=RENEWAL_GRACE_MS)
    assert not targets.targets


def test_a_missing_target_that_another_reader_has_dropped_is_not_kept():
    """Guards against two readers between whose lists hosts switch to and fro."""
    targets = TargetList()
    targets.reset([READY])
    targets.replace_all({}, NEW_ERA, known_before([READY]), now_ms=0.0)
    targets.update({}, known_before([]), now_ms=1.0)
    assert not targets.targets


def test_an_unusable_entry_is_dropped_at_once():
    targets, known = TargetList(), known_before([READY])
    targets.reset([READY])
    targets.update({READY.identity: NoEntry.UNUSABLE}, known, now_ms=0.0)
    assert not targets.targets


def test_a_departure_is_forgotten_when_the_target_is_listed_again_or_after_a_time():
    departed = left_in(OLD_ERA)
    departed.update([], [READY], OLD_ERA, now_ms=1.0)
    assert not departed.had_left(READY, NEW_ERA)
    departed = left_in(OLD_ERA)
    departed.update([], [], OLD_ERA, now_ms=RETENTION_MS)
    assert not departed.had_left(READY, NEW_ERA)


def test_a_target_that_a_list_named_as_leaving_gets_no_work_by_another_list():
    """Guards against two readers, one of which has not read that a target leaves."""
    leaving = LeavingTargets()
    leaving.record_listed([DRAINING], now_ms=0.0)
    assert leaving.mark([READY], now_ms=1.0) == [DRAINING]
    assert leaving.mark([NEWER], now_ms=1.0) == [NEWER]


def test_a_target_that_tells_no_start_is_leaving_by_the_newest_list_only():
    leaving = LeavingTargets()
    leaving.record_listed([replace(DRAINING, started_ms=0)], now_ms=0.0)
    unknown_start = replace(READY, started_ms=0)
    assert leaving.mark([unknown_start], now_ms=1.0) == [unknown_start]


def test_an_evacuation_that_the_copy_lacks_is_kept_until_it_is_written_again():
    """Guards against work for an evacuated domain right after a restore."""
    evacuated = EvacuatedDomains({A})
    evacuated.replace([], [], restored_ms=0.0)
    assert evacuated.in_force(KEPT_MS - 1) == {A}
    assert evacuated.in_force(KEPT_MS) == frozenset()
    evacuated = EvacuatedDomains({A})
    evacuated.replace([], [], restored_ms=0.0)
    evacuated.update({A: True})
    assert evacuated.in_force(KEPT_MS) == {A}


def test_an_evacuation_that_had_ended_does_not_come_back_with_the_copy():
    """Guards against a domain that gets no work after it was taken back."""
    evacuated = EvacuatedDomains()
    evacuated.replace([A, B], [A], restored_ms=0.0)
    assert evacuated.in_force(HELD_BACK_MS - 1) == {B}
    assert evacuated.in_force(HELD_BACK_MS) == {A, B}
    evacuated.replace([A, B], [A], restored_ms=0.0)
    evacuated.update({A: False})
    assert evacuated.in_force(HELD_BACK_MS) == {B}


def test_without_a_restore_all_rows_count_at_once():
    evacuated = EvacuatedDomains({A})
    evacuated.replace([B], [B], restored_ms=float("-inf"))
    assert evacuated.in_force(0.0) == {B}
