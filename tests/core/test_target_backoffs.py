"""Tests of the backoffs that targets ask a node for."""

from dataclasses import replace

from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.target_backoffs import TargetBackoffs
from crocusspindle.ids import DomainId, ServiceId

BOOKS = ServiceId("books")
TARGET = ListedTarget(
    TargetIdentity("t0"),
    BOOKS,
    "10.9.0.1:80",
    DomainId("a"),
    2,
    Readiness.READY,
    started_ms=1_000,
)
LISTED = {TARGET.identity: TARGET}


def test_a_backoff_lasts_from_the_refusal_to_its_end():
    backoffs = TargetBackoffs()
    backoffs.record(TARGET.identity, 3_000.0, 100.0)
    assert backoffs.active(LISTED, BOOKS, 100.0) == {TARGET.identity}
    assert backoffs.active(LISTED, BOOKS, 3_099.0) == {TARGET.identity}
    assert not backoffs.active(LISTED, BOOKS, 3_100.0)


def test_the_backoff_that_ends_last_counts():
    """Guards against a later refusal that cuts an earlier backoff short."""
    backoffs = TargetBackoffs()
    backoffs.record(TARGET.identity, 3_000.0, 0.0)
    backoffs.record(TARGET.identity, 500.0, 100.0)
    assert backoffs.until_ms(TARGET.identity) == 3_000.0
    backoffs.record(TARGET.identity, 4_000.0, 200.0)
    assert backoffs.until_ms(TARGET.identity) == 4_200.0


def test_a_backoff_outlasts_a_restart_of_its_target():
    """Guards against a backoff from a new process that the list does not show yet."""
    backoffs = TargetBackoffs()
    backoffs.record(TARGET.identity, 3_000.0, 0.0)
    restarted = replace(TARGET, started_ms=2_000)
    assert backoffs.active({TARGET.identity: restarted}, BOOKS, 100.0)


def test_backoffs_of_other_services_and_unlisted_targets_do_not_count():
    backoffs = TargetBackoffs()
    backoffs.record(TARGET.identity, 3_000.0, 0.0)
    assert not backoffs.active(LISTED, ServiceId("pages"), 100.0)
    assert not backoffs.active({}, BOOKS, 100.0)
