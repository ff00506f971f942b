"""Decide which work a leaving node may still start."""

from dataclasses import replace

import pytest

from crocusspindle.core.configuration import RequestKind, RouteRule, WeightedService
from crocusspindle.core.departure import (
    FEW_ATTEMPTS,
    GUESS_MS,
    KNOWN_ATTEMPTS,
    WINDOW_MS,
    Departure,
    WorkDurations,
    give_up_after_ms,
)
from crocusspindle.ids import ServiceId

AIM_MS = 800.0
ROUTE = RouteRule(
    name="orders",
    host="hall.example",
    prefix="/",
    kind=RequestKind.UNSAFE,
    weighted_services=(WeightedService(ServiceId("books"), 1.0),),
    timeout_ms=6_000.0,
    aim_ms=AIM_MS,
    attempts=1,
)
FAR_MS = 1e9


def durations_after(attempts: int, duration_ms: float, at_ms: float = 0.0):
    durations = WorkDurations()
    for _ in range(attempts):
        durations.record(ROUTE, duration_ms, at_ms)
    return durations


@pytest.mark.parametrize(
    ("attempts", "duration_ms", "least_ms", "most_ms"),
    [
        (0, 0.0, 1.4 * AIM_MS, 2 * AIM_MS),
        (1, 50.0, 1.4 * AIM_MS, 2 * AIM_MS),
        (FEW_ATTEMPTS, 50.0, AIM_MS, AIM_MS),
        (FEW_ATTEMPTS, 2_000.0, 2_500.0, 3_500.0),
        (1, 2_000.0, 2_500.0, 3_500.0),
        (KNOWN_ATTEMPTS, 50.0, 50.0, 100.0),
        (KNOWN_ATTEMPTS, 2_000.0, 2_000.0, 3_000.0),
    ],
)
def test_work_is_expected_to_take_as_long_as_it_did(
    attempts, duration_ms, least_ms, most_ms
):
    """Guards against work that is started and dropped, or refused without need."""
    durations = durations_after(attempts, duration_ms)
    assert least_ms <= durations.expected_ms(ROUTE, 1.0) <= most_ms


def test_attempts_of_another_route_say_nothing():
    durations = durations_after(KNOWN_ATTEMPTS, 50.0)
    assert durations.expected_ms(replace(ROUTE, name="pages"), 1.0) >= AIM_MS


@pytest.mark.parametrize(
    ("at_ms", "is_known"),
    [(0.9 * WINDOW_MS, True), (1.5 * WINDOW_MS, True), (2.5 * WINDOW_MS, False)],
)
def test_durations_are_forgotten_after_two_windows(at_ms, is_known):
    """Guards against a slow spell of a target that counts for good."""
    durations = durations_after(KNOWN_ATTEMPTS, 5_000.0)
    assert (durations.expected_ms(ROUTE, at_ms) > 2 * AIM_MS) is is_known


def test_a_node_that_stays_starts_everything():
    departure = Departure()
    assert departure.allows(ROUTE, FAR_MS, 1e12) and not departure.is_leaving


@pytest.mark.parametrize(
    ("now_ms", "deadline_ms", "allowed"),
    [
        (0.0, FAR_MS, True),
        (700.0, FAR_MS, True),
        (900.0, FAR_MS, False),
        (900.0, 1_900.0, True),
        (1_960.0, 1_990.0, False),
    ],
)
def test_a_leaving_node_starts_what_ends_in_time(now_ms, deadline_ms, allowed):
    """Guards against work that is cut off when the node gives up."""
    departure = Departure()
    departure.give_up_ms = 2_000.0
    assert departure.allows(ROUTE, deadline_ms, now_ms) is allowed


GRACE_MS = 6_000.0


@pytest.mark.parametrize(
    ("grace_ms", "after_ms", "left_ms", "allowed"),
    [
        (GRACE_MS, GUESS_MS - 1, FAR_MS, True),
        (GRACE_MS, GUESS_MS, FAR_MS, False),
        (GRACE_MS, 3_000.0, 2_600.0, True),
        (GRACE_MS, 3_000.0, 2_700.0, False),
        (GRACE_MS, 5_600.0, 90.0, False),
        (2 * GRACE_MS, GUESS_MS, FAR_MS, False),
        (2 * GRACE_MS, GUESS_MS, 9_000.0, True),
        (GRACE_MS / 2, 1_400.0, FAR_MS, False),
        (GRACE_MS / 2, 1_400.0, 1_200.0, True),
    ],
)
def test_late_work_starts_only_if_its_deadline_passes_in_time(
    grace_ms, after_ms, left_ms, allowed
):
    """Guards against late work that a hung target keeps past the grace period."""
    departure = Departure()
    departure.durations = durations_after(KNOWN_ATTEMPTS, 50.0)
    departure.begin(0.0, grace_ms)
    assert departure.allows(ROUTE, after_ms + left_ms, after_ms) is allowed


def test_a_hedge_may_start_late_if_it_is_expected_to_end():
    """Guards against a running request whose only other way to end is refused."""
    departure = Departure()
    departure.durations = durations_after(KNOWN_ATTEMPTS, 50.0)
    departure.begin(0.0, GRACE_MS)
    assert departure.expects_end(ROUTE, FAR_MS, 5_000.0)
    assert not departure.expects_end(ROUTE, FAR_MS, give_up_after_ms(GRACE_MS))
