"""Tests of targets whose responses say that they are leaving."""

from dataclasses import replace

from crocusspindle.core.leaving_targets import RETENTION_MS, LeavingTargets
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.ids import DomainId, ServiceId

TARGET = ListedTarget(
    TargetIdentity("t0"),
    ServiceId("books"),
    "10.9.0.1:80",
    DomainId("a"),
    2,
    Readiness.READY,
    started_ms=1_000,
)


def readiness(leaving: LeavingTargets, target: ListedTarget, now_ms: float = 0.0):
    """Return the readiness with which a listed target is marked."""
    (marked,) = leaving.mark([target], now_ms)
    return marked.readiness


def test_a_leaving_target_accepts_no_work_though_it_is_listed_as_ready():
    leaving = LeavingTargets()
    assert readiness(leaving, TARGET) is Readiness.READY
    assert leaving.record(TARGET.identity, TARGET.started_ms, 0.0)
    assert not leaving.record(TARGET.identity, TARGET.started_ms, 1.0)
    assert readiness(leaving, TARGET) is Readiness.DRAINING


def test_a_target_that_has_started_again_is_ready():
    """Guards against a mark that outlives the process that was leaving."""
    leaving = LeavingTargets()
    leaving.record(TARGET.identity, TARGET.started_ms, 0.0)
    assert readiness(leaving, replace(TARGET, started_ms=2_000)) is Readiness.READY
    assert not leaving.record(TARGET.identity, 500, 1.0)


def test_a_target_whose_start_is_not_listed_is_marked():
    """Guards against a mark that depends on an optional field of the entry."""
    leaving = LeavingTargets()
    untold = replace(TARGET, started_ms=0)
    leaving.record(untold.identity, untold.started_ms, 0.0)
    assert readiness(leaving, untold) is Readiness.DRAINING


def test_an_evacuated_target_stays_evacuated():
    leaving = LeavingTargets()
    leaving.record(TARGET.identity, TARGET.started_ms, 0.0)
    evacuated = replace(TARGET, readiness=Readiness.EVACUATED)
    assert readiness(leaving, evacuated) is Readiness.EVACUATED


def test_a_mark_lasts_while_its_target_is_listed_and_for_some_time_after():
    """Guards against a mark that ends while the entry says ready."""
    leaving = LeavingTargets()
    leaving.record(TARGET.identity, TARGET.started_ms, 0.0)
    late_ms = 0.9 * RETENTION_MS
    assert readiness(leaving, TARGET, late_ms) is Readiness.DRAINING
    assert readiness(leaving, TARGET, 2.0 * late_ms) is Readiness.DRAINING
    leaving.mark([], 4.0 * late_ms)
    assert readiness(leaving, TARGET, 4.0 * late_ms) is Readiness.READY
