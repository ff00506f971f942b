"""Tests of a node that stops to reach the targets of a service."""

import pytest

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.path_watch import FAILING_MS, PathWatch
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.ids import ServiceId

BOOKS = ServiceId("books")
READY = 8
FAILED = AttemptOutcome.CLOSED


def record(watch, target, outcome, now_ms, ready=READY, service=BOOKS):
    if outcome.shows_path:
        return watch.record_reached(service, now_ms)
    return watch.record(service, TargetIdentity(target), outcome, ready, now_ms)


@pytest.mark.parametrize(
    "outcome", [outcome for outcome in AttemptOutcome if outcome.fails_path]
)
def test_paths_are_lost_after_two_targets_fail_in_a_row(outcome):
    watch = PathWatch()
    if outcome is not AttemptOutcome.DISCONNECTED:
        assert not record(watch, "t0", outcome, 0.0)
        assert not record(watch, "t0", outcome, 5.0)
        assert not watch.is_lost(BOOKS)
    assert record(watch, "t1", outcome, 10.0)
    assert watch.is_lost(BOOKS) and not watch.is_lost(ServiceId("other"))


@pytest.mark.parametrize(
    "outcome", [outcome for outcome in AttemptOutcome if outcome.shows_path]
)
def test_a_response_shows_that_the_path_works(outcome):
    """Guards against targets that end one after the other taken for a lost path."""
    watch = PathWatch()
    for number in range(5):
        record(watch, f"t{number}", FAILED, number * 20.0)
        record(watch, "t9", outcome, number * 20.0 + 10.0)
    assert not watch.is_lost(BOOKS)


@pytest.mark.parametrize("outcome", [AttemptOutcome.SILENT, AttemptOutcome.ABANDONED])
def test_an_attempt_without_an_end_says_nothing_of_the_path(outcome):
    watch = PathWatch()
    for number in range(5):
        assert not record(watch, f"t{number}", outcome, float(number))
    assert not watch.is_lost(BOOKS)


def test_failures_long_apart_do_not_count_together():
    watch = PathWatch()
    record(watch, "t0", FAILED, 0.0)
    assert not record(watch, "t1", FAILED, FAILING_MS + 1.0)


def test_a_service_of_one_target_is_lost_with_it():
    assert record(PathWatch(), "t0", FAILED, 0.0, ready=1)


def test_the_time_of_the_loss_is_known_when_the_path_returns():
    """Guards against an old connection that lives on taken for a path that works."""
    watch = PathWatch()
    record(watch, "t0", FAILED, 1.0)
    record(watch, "t1", FAILED, 2.0)
    assert watch.failing(BOOKS) == ["t0", "t1"] and watch.lost_services() == [BOOKS]
    assert watch.record_reached(BOOKS, 1.5) is None and watch.is_lost(BOOKS)
    assert watch.record_reached(BOOKS, 3.0) == 2.0
    assert watch.record_reached(BOOKS, 3.0) is None and not watch.lost_services()


def test_a_service_without_targets_is_forgotten():
    watch = PathWatch()
    record(watch, "t0", FAILED, 1.0, ready=1)
    watch.keep([])
    assert not watch.lost_services()
