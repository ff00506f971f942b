"""Tests of a node that stops to reach the targets of a service."""

import random

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.path_watch import (
    FAILING_MS,
    PROBE_MAX_MS,
    PROBE_MS,
    RELAPSE_MS,
    PathWatch,
)
from crocusspindle.ids import ServiceId

BOOKS = ServiceId("books")
READY = 8
FAILED = AttemptOutcome.CLOSED


def record(watch, target, outcome, now_ms, ready=READY, service=BOOKS):
    if outcome.shows_path:
        return watch.record_reached(service, now_ms, now_ms)
    return watch.record(service, TargetIdentity(target), outcome, ready, now_ms)


@pytest.mark.parametrize(
    "outcome", [outcome for outcome in AttemptOutcome if outcome.fails_path]
)
def test_paths_are_lost_after_two_targets_fail_in_a_row(outcome):
    watch = PathWatch(random.Random(1))
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
    watch = PathWatch(random.Random(1))
    for number in range(5):
        record(watch, f"t{number}", FAILED, number * 20.0)
        record(watch, "t9", outcome, number * 20.0 + 10.0)
    assert not watch.is_lost(BOOKS)


@pytest.mark.parametrize("outcome", [AttemptOutcome.SILENT, AttemptOutcome.ABANDONED])
def test_an_attempt_without_an_end_says_nothing_of_the_path(outcome):
    watch = PathWatch(random.Random(1))
    for number in range(5):
        assert not record(watch, f"t{number}", outcome, float(number))
    assert not watch.is_lost(BOOKS)


def test_failures_long_apart_do_not_count_together():
    watch = PathWatch(random.Random(1))
    record(watch, "t0", FAILED, 0.0)
    assert not record(watch, "t1", FAILED, FAILING_MS + 1.0)


def test_a_service_of_one_target_is_lost_with_it():
    assert record(PathWatch(random.Random(1)), "t0", FAILED, 0.0, ready=1)


def test_the_time_of_the_loss_is_known_when_the_path_returns():
    """Guards against an old connection that lives on taken for a path that works."""
    watch = PathWatch(random.Random(1))
    record(watch, "t0", FAILED, 1.0)
    record(watch, "t1", FAILED, 2.0)
    assert watch.failing(BOOKS) == ["t0", "t1"] and watch.lost_services() == [BOOKS]
    assert watch.record_reached(BOOKS, 1.5, 2.5) is None and watch.is_lost(BOOKS)
    assert watch.record_reached(BOOKS, 3.0, 3.1) == 2.0
    assert watch.record_reached(BOOKS, 3.0, 3.1) is None and not watch.lost_services()


def lose(watch, now_ms):
    record(watch, "t0", FAILED, now_ms)
    record(watch, "t1", FAILED, now_ms)


def first_probe_ms(watch, from_ms):
    """Return how long the first probe of lost paths waits."""
    wait_ms = 0.0
    while not watch.due_probes(from_ms + wait_ms):
        wait_ms += 10.0
    return wait_ms


def test_lost_paths_are_probed_at_a_bounded_rate():
    """Guards against a storm of probes while a path is lost."""
    watch = PathWatch(random.Random(1))
    lose(watch, 0.0)
    probes = sum(len(watch.due_probes(now_ms)) for now_ms in range(0, 10_000, 10))
    assert 0.75 * 10_000 / PROBE_MS <= probes <= 1.34 * 10_000 / PROBE_MS


def test_paths_that_are_lost_again_and_again_are_probed_less_often():
    """Guards against a path that flaps, and requests that fail each time."""
    watch = PathWatch(random.Random(1))
    now_ms, waits_ms = 0.0, []
    for _ in range(6):
        lose(watch, now_ms)
        waits_ms.append(first_probe_ms(watch, now_ms))
        now_ms += waits_ms[-1] + 10.0
        assert watch.record_reached(BOOKS, now_ms, now_ms) is not None
        now_ms += 100.0
    assert waits_ms[0] < 1.26 * PROBE_MS and waits_ms[-1] > 0.7 * PROBE_MAX_MS
    now_ms += RELAPSE_MS
    lose(watch, now_ms)
    assert first_probe_ms(watch, now_ms) < 1.26 * PROBE_MS


def test_a_service_without_targets_is_forgotten():
    watch = PathWatch(random.Random(1))
    record(watch, "t0", FAILED, 1.0, ready=1)
    watch.forget(BOOKS)
    assert not watch.lost_services() and not watch.due_probes(1e9)
