"""Test the order in which the requests of a customer over its rate get tokens."""

import math
import random

import pytest

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.spend_result import Admitted, NotKept, OverRate
from crocusspindle.core.token_queue import WaitingSpend
from crocusspindle.core.view import next_view
from tests.core.quota_fixtures import (
    CLUB,
    FENCE_MS,
    WINDOW_MS,
    admitted,
    by_rank,
    keeper,
    present,
)
from tests.core.token_order_simulation import (
    OrderSimulation,
    Route,
    arrivals,
    first_come,
)

RATE = 60.0
RULE = CustomerRule(CLUB, rate_per_s=RATE, burst=RATE)
FOR_S = 12.0
URGENT = Route(0, 0.6 * RATE, 100.0)
LOOSE = Route(5, 4.4 * RATE, 750.0)


def sent_by(*routes):
    return arrivals(routes, FOR_S, random.Random(7))


def max_in_window(times_ms):
    return max(
        sum(since_ms <= at < since_ms + WINDOW_MS for at in times_ms)
        for since_ms in times_ms[::20]
    )


def test_urgent_route_is_served_while_its_customer_sends_five_times_its_rate():
    """Guards against tokens that go to loose requests while urgent ones are refused."""
    sent = sent_by(URGENT, LOOSE)
    before = first_come(RULE, sent)
    simulation = OrderSimulation(RULE)
    counts = simulation.run(sent)
    assert before[URGENT].share < 0.3
    assert counts[URGENT].share > 0.95
    assert max(counts[URGENT].waits_ms) <= 100.0 + 1.0
    assert counts[LOOSE].served > 0.25 * RATE * FOR_S
    used = counts[URGENT].served + counts[LOOSE].served
    assert used >= 0.97 * RATE * FOR_S
    assert max_in_window(simulation.run_at_ms) <= RATE * WINDOW_MS / 1e3 + RATE + 1


@pytest.mark.parametrize("loose_wait_ms", [100.0, 750.0])
def test_no_priority_starves_and_none_is_preferred_to_a_higher_one(loose_wait_ms):
    """Guards against a long excess of urgent requests that shuts out all others."""
    urgent = Route(0, 3.0 * RATE, 100.0)
    loose = Route(5, 2.0 * RATE, loose_wait_ms)
    sent = sent_by(urgent, loose)
    counts = OrderSimulation(RULE).run(sent)
    strict = OrderSimulation(RULE, math.inf).run(sent)
    assert counts[loose].served > strict[loose].served
    assert counts[loose].served >= 0.02 * RATE * FOR_S
    assert counts[loose].share < counts[urgent].share


def test_few_requests_wait_and_are_refused_then():
    """Guards against late refusals, which cost callers more than immediate ones."""
    counts = OrderSimulation(RULE).run(sent_by(URGENT, LOOSE))
    late = [after for after in counts[LOOSE].refused_after_ms if after > 1.0]
    assert len(late) < 0.08 * counts[LOOSE].sent
    assert not [after for after in counts[URGENT].refused_after_ms if after > 1.0]


def test_limit_that_falls_to_a_third_refuses_what_no_longer_fits():
    """Guards against requests that wait in vain after their limit was lowered."""
    lowered = CustomerRule(CLUB, rate_per_s=RATE / 3, burst=RATE / 3)
    routes = [Route(3, RATE, 200.0), Route(3, RATE, 700.0)]
    simulation = OrderSimulation(RULE)
    counts = simulation.run(sent_by(*routes), [(6_000.0, lowered)])
    for route in routes:
        assert max(counts[route].waits_ms) <= route.wait_limit_ms + 1.0
        assert max(counts[route].refused_after_ms) <= route.wait_limit_ms + 20.0
    after = [at for at in simulation.run_at_ms if at >= 6_000.0]
    assert max_in_window(after) <= RATE / 3 * (WINDOW_MS / 1e3 + 1) + 1
    # What was spent before the change still counts by the old limit's admissions.
    assert not [at for at in after if at < 6_900.0]


def test_earliest_deadline_goes_first_within_a_priority():
    """Guards against a request that expires while one with more time is served."""
    owner = keeper("a", next_view(None, present("a")), 0.0)
    admitted(owner, 0.0, 5)
    relaxed = owner.spend(CLUB, 900.0, 0.0, 3)
    hurried = owner.spend(CLUB, 150.0, 0.0, 3)
    urgent = owner.spend(CLUB, 950.0, 0.0, 1)
    owner.serve_waiting(CLUB, 100.0)
    assert isinstance(urgent.settled, Admitted)
    owner.serve_waiting(CLUB, 200.0)
    # The urgent request took the token that the hurried one was promised.
    assert isinstance(hurried.settled, OverRate)
    assert isinstance(relaxed.settled, Admitted)


def test_request_that_waited_gets_the_token_at_the_end_of_its_limit():
    """Guards against rounding that refuses a request as its token arrives."""
    owner = keeper("a", next_view(None, present("a")), 0.0)
    admitted(owner, 0.0, 5)
    waiting = [owner.spend(CLUB, limit, 0.0) for limit in (100.0, 200.0, 300.0)]
    now_ms = 0.0
    while (next_ms := owner.serve_waiting(CLUB, now_ms)) is not None:
        now_ms += max(1.0, min(20.0, next_ms))
        owner.set_view(owner._view, now_ms, now_ms)
    assert all(isinstance(entry.settled, Admitted) for entry in waiting)


def test_refused_caller_that_returns_when_told_gets_a_token():
    """Guards against a Retry-After after which there is still no token, or too late."""
    owner = keeper("a", next_view(None, present("a")), 1_000.0)
    admitted(owner, 1_000.0, 5)
    waiting = [owner.spend(CLUB, 320.0, 1_000.0, 0) for _ in range(3)]
    refused = owner.spend(CLUB, 320.0, 1_000.0, 0)
    assert isinstance(refused, OverRate) and refused.retry_after_ms == 400.0
    for now_ms in (1_100.0, 1_200.0, 1_300.0, 1_399.0):
        owner.serve_waiting(CLUB, now_ms)
    assert all(isinstance(entry.settled, Admitted) for entry in waiting)
    assert isinstance(owner.spend(CLUB, 0.0, 1_399.0, 0), OverRate)
    assert isinstance(owner.spend(CLUB, 0.0, 1_400.0, 0), Admitted)


def test_refused_caller_of_a_low_priority_is_told_a_later_time():
    """Guards against a Retry-After at which higher priorities take the token."""
    sent = sent_by(Route(0, 2.0 * RATE, 50.0), Route(5, 2.0 * RATE, 50.0))
    simulation = OrderSimulation(RULE)
    simulation.run([arrival for arrival in sent if arrival.at_ms < 4_000.0])
    told = {
        priority: simulation.owner.spend(CLUB, 0.0, 4_000.0, priority)
        for priority in (0, 5)
    }
    assert all(isinstance(result, OverRate) for result in told.values())
    assert told[5].retry_after_ms > 2.0 * told[0].retry_after_ms


def test_refused_callers_get_different_times():
    """Guards against refused callers that all return in the same moment."""
    simulation = OrderSimulation(RULE)
    simulation.run(sent_by(Route(3, 5.0 * RATE, 20.0)))
    told = [at_ms + retry_ms for at_ms, _, retry_ms in simulation.refusals[:100]]
    busiest = max(sum(at <= other < at + 1_000.0 for other in told) for at in told)
    assert busiest <= 1.5 * RATE


def test_waiting_requests_leave_a_keeper_that_hands_over():
    """Guards against requests that wait at a node that keeps their customer no more."""
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    previous = keeper(second, view, 0.0)
    admitted(previous, 0.0, 5)
    waiting = previous.spend(CLUB, 400.0, 0.0)
    assert isinstance(waiting, WaitingSpend)
    later = next_view(view, present("a", "b"))
    assert first in later.by_host
    previous.release(CLUB, later.number, 50.0)
    assert waiting.settled == NotKept() and previous.settled() == [waiting]
    assert previous.serve_waiting(CLUB, 60.0) is None


def test_waiting_requests_leave_a_keeper_without_confirmation():
    """Guards against a cut-off keeper that admits beside its successor."""
    owner = keeper("a", next_view(None, present("a")), 0.0)
    admitted(owner, FENCE_MS - 50.0, 5)
    waiting = owner.spend(CLUB, 400.0, FENCE_MS - 50.0)
    assert isinstance(waiting, WaitingSpend)
    assert owner.serve_waiting(CLUB, FENCE_MS + 60.0) is None
    assert waiting.settled == NotKept()


def test_abandoned_request_costs_no_token():
    """Guards against tokens spent on callers that have left."""
    owner = keeper("a", next_view(None, present("a")), 0.0)
    admitted(owner, 0.0, 5)
    gone, next_one = (owner.spend(CLUB, 250.0, 0.0) for _ in range(2))
    owner.abandon(CLUB, gone, 50.0)
    owner.serve_waiting(CLUB, 100.0)
    assert gone.settled is None and isinstance(next_one.settled, Admitted)
    owner.abandon(CLUB, next_one, 100.0)
    assert isinstance(owner.spend(CLUB, 0.0, 100.0), Admitted)


def test_customer_without_a_limit_any_more_is_admitted():
    """Guards against a division by a rate of 0 while nodes differ in configuration."""
    owner = keeper("a", next_view(None, present("a")), 0.0)
    admitted(owner, 0.0, 5)
    waiting = owner.spend(CLUB, 150.0, 0.0)
    owner.set_rules({CLUB: CustomerRule(CLUB)})
    assert owner.serve_waiting(CLUB, 10.0) is None
    assert waiting.settled == NotKept()
    assert owner.spend(CLUB, 0.0, 10.0) == Admitted()
