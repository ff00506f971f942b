"""Test which priorities may retry when a service's retry budget runs short."""

import pytest

from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId

RATIO = 0.2
WINDOW_MS = 10_000.0
REQUESTS_PER_S = 100


def budget_in_use() -> RetryBudget:
    """Return the budget of a placer that knows a whole window of requests."""
    return RetryBudget(RATIO, 0.0, WINDOW_MS)


def shed_half(priorities: dict[int, int], for_s: float) -> dict[int, float]:
    """Return the share of retries allowed to each priority.

    Of every twenty requests, as many as given of each priority are shed and retried.
    """
    budget = budget_in_use()
    asked = dict.fromkeys(priorities, 0)
    allowed = dict.fromkeys(priorities, 0)
    total = round(for_s * REQUESTS_PER_S)
    for number in range(total):
        now_ms = number * 1e3 / REQUESTS_PER_S
        budget.request(now_ms)
        turn = number % 20
        # The low priority comes first in each turn.
        for priority, retries in sorted(priorities.items(), reverse=True):
            if turn < retries:
                asked[priority] += 1
                allowed[priority] += budget.retry(now_ms, priority)
            turn -= retries
            if turn < 0:
                break
    return {priority: allowed[priority] / asked[priority] for priority in priorities}


def test_high_priority_retries_while_all_targets_shed():
    """Guards against a large loose route that uses up all retries of a service."""
    shares = shed_half({5: 8, 0: 1}, 40.0)
    assert shares[0] > 0.99
    # What the high priority leaves of 18 retries a second, of 40 requested.
    assert shares[5] == pytest.approx((18 - 5) / 40, rel=0.15)


def test_a_high_priority_that_needs_much_gets_half_of_the_budget():
    """Guards against low priorities that use up what a large urgent route needs."""
    shares = shed_half({5: 4, 0: 12}, 40.0)
    assert shares[0] * 60 > 0.9 * 18 - 9
    assert shares[5] * 20 < 9


def test_one_priority_alone_has_the_whole_budget():
    """Guards against a reserve that is kept for nobody."""
    shares = shed_half({5: 10}, 40.0)
    assert shares[5] * 0.5 > 0.85 * RATIO * 0.9


@pytest.mark.parametrize(("after_ms", "allowed"), [(900.0, False), (1_100.0, True)])
def test_reserve_ends_when_the_high_priority_no_longer_retries(after_ms, allowed):
    """Guards against a reserve that outlasts the retries it was kept for."""
    budget = budget_in_use()
    for _ in range(100):
        budget.request(0.0)
    assert budget.retry(0.0, 0)
    used = 1 + sum(budget.retry(0.0, 5) for _ in range(30))
    assert used == 9
    assert budget.retry(after_ms, 5) is allowed


def test_refused_high_priority_keeps_its_reserve():
    """Guards against low priorities that use what the high one is still refused."""
    budget = budget_in_use()
    for _ in range(100):
        budget.request(0.0)
    for _ in range(30):
        budget.retry(0.0, 0)
    assert not budget.retry(900.0, 0)
    # The window's earlier retries expire, and the high priority still retries.
    for _ in range(100):
        budget.request(WINDOW_MS + 800.0)
    budget.retry(WINDOW_MS + 800.0, 0)
    low = sum(budget.retry(WINDOW_MS + 900.0, 5) for _ in range(30))
    assert low == 8


def test_placer_refuses_the_retry_of_a_lower_priority():
    """Guards against a placer that counts all retries alike."""
    budget = budget_in_use()
    placer = ServicePlacer(0.7, budget)

    def place(priority, retry):
        request = PlacementRequest(
            HostId("entry"),
            DomainId("a"),
            "r",
            True,
            priority,
            800.0,
            2_000.0,
            retry=retry,
        )
        return placer.request_placement(request, 0.0)

    for _ in range(100):
        place(5, False)
    place(0, True)
    refused = [place(5, True) for _ in range(12)]
    reasons = [r.reason for r in refused if isinstance(r, PlacementRefused)]
    assert reasons.count("repeats") == 4
    last = place(0, True)
    assert isinstance(last, PlacementRefused) and last.reason != "repeats"
