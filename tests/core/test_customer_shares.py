"""Put a full service through the loads of several customers, in virtual time.

The service is 6 targets of 4 slots; work takes 200 ms, so that it carries 120 requests
a second, and the latency objective is 0.8 s where nothing else is said.
"""

import math
import random
import sys
import tracemalloc
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from benchmarks.placing_simulation import (
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
    Tally,
)
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.overload_watch import CustomerUse, OverloadWatch
from crocusspindle.core.placement_queue import Capacity, PlacementQueue
from crocusspindle.core.placement_request import (
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import ALL_POLICIES
from crocusspindle.core.priority_shares import PriorityShares
from crocusspindle.core.retry_times import RetryTimes
from crocusspindle.core.wait_queue import queue_weight
from crocusspindle.ids import CustomerId, DomainId, HostId

SMALL = RouteLoad("small", True, 4.0, 200.0, 0.3, 800.0, 3_000.0)


def customers(count: int, load: RouteLoad, weight: float) -> list[RouteLoad]:
    """Return the loads of customers that send alike."""
    return [
        replace(
            load,
            name=f"{load.name}-{number}",
            customer=CustomerId(f"{load.name}-{number}"),
            weight=weight,
        )
        for number in range(count)
    ]


def play(
    loads: list[RouteLoad], seed: int = 1, length_ms: float = 12_000.0, **fields
) -> dict[str, Tally]:
    """Return the results by load."""
    scenario = ServiceScenario(
        **{
            "targets": 6,
            "slots": 4,
            "route_loads": loads,
            "length_ms": length_ms,
            **fields,
        }
    )
    return PlacingSimulation(scenario, seed).run()


@pytest.mark.parametrize("seed", range(3))
def test_small_customers_are_served_beside_one_that_fills_the_service(seed):
    """Guards against a large customer that gets room in proportion to what it sends."""
    large = replace(
        SMALL,
        name="large",
        rate_per_s=204.0,
        customer=CustomerId("large"),
        weight=250.0,
    )
    small = customers(10, SMALL, 8.0)
    tallies = play([*small, large], seed)
    for load in small:
        assert tallies[load.name].on_time_fraction >= 0.95
    # The large customer gets the rest, less what the targets' own errors take.
    assert tallies["large"].on_time > 0.8 * (120.0 - 40.0) * 12.0


def test_a_share_that_is_not_used_is_lent_and_comes_back_at_once():
    """Guards against a customer that waits for its share behind one that uses it."""
    lent_to = replace(
        SMALL, name="lent to", rate_per_s=200.0, customer=CustomerId("a"), weight=100.0
    )
    owner = replace(
        lent_to, name="owner", rate_per_s=50.0, customer=CustomerId("b"), from_ms=6e3
    )
    before = play([lent_to], length_ms=6_000.0)
    assert before["lent to"].on_time > 0.85 * 120.0 * 6.0
    both = play([lent_to, owner])
    assert both["owner"].on_time_fraction >= 0.95


def test_a_burst_waits_for_slots_within_a_loose_objective():
    """Guards against refusals as full while the backlog can be served in time."""
    usual = RouteLoad("usual", True, 45.0, 990.0, 0.5, 6_000.0, 12_000.0)
    burst = replace(
        usual, name="burst", rate_per_s=83.0, from_ms=5_000.0, until_ms=10_000.0
    )
    tallies = play(
        [usual, burst], length_ms=20_000.0, targets=25, slots=3, domains=4
    ).values()
    requests = sum(tally.request_count for tally in tallies)
    on_time = sum(tally.on_time for tally in tallies)
    # The targets' own errors are retried once.
    assert on_time >= 0.98 * requests


def test_above_its_capacity_a_service_refuses_at_once():
    """Guards against callers that wait for long only to be refused."""
    load = replace(SMALL, name="load", rate_per_s=156.0, from_ms=2e3, until_ms=8e3)
    (tally,) = play([load]).values()
    waits_ms = sorted(tally.refused_after_ms)
    assert waits_ms[int(0.9 * len(waits_ms))] < 100.0
    assert waits_ms[-1] <= 800.0
    assert tally.on_time + tally.late >= 0.95 * 120.0 * 6.0


def test_a_long_overload_by_urgent_requests_starves_no_other():
    """Guards against strict priority, and against serving the loose ones better."""
    urgent = replace(SMALL, name="urgent", rate_per_s=160.0, customer=CustomerId("a"))
    loose = replace(urgent, name="loose", rate_per_s=30.0, priority=2)
    for rate_per_s in (30.0, 5.0):
        tallies = play([urgent, replace(loose, rate_per_s=rate_per_s)], length_ms=2e4)
        requests = sum(tally.request_count for tally in tallies.values())
        served = sum(tally.on_time + tally.late for tally in tallies.values())
        assert tallies["loose"].served >= 0.25 * served / requests
        assert tallies["loose"].served <= tallies["urgent"].served


def test_urgent_requests_within_the_capacity_are_served_before_loose_ones():
    """Guards against a loose route that takes the slots of an urgent one."""
    urgent = replace(SMALL, name="urgent", rate_per_s=60.0, customer=CustomerId("a"))
    loose = replace(urgent, name="loose", rate_per_s=130.0, priority=2)
    tallies = play([urgent, loose])
    assert tallies["urgent"].on_time_fraction >= 0.98
    assert tallies["loose"].on_time > 0.8 * (120.0 - 60.0) * 12.0


def waiting_request(customer: str, priority: int = 1, **fields) -> PlacementRequest:
    return PlacementRequest(
        **{
            "sender": HostId("entry"),
            "domain": DomainId("a"),
            "route": "r",
            "idempotent": True,
            "priority": priority,
            "aim_ms": 2_000.0,
            "deadline_ms": 4_000.0,
            "customer": CustomerId(customer),
            "weight": 1.0,
            **fields,
        }
    )


def full_queue(capacity: Capacity) -> tuple[PlacementQueue, list[QueuedRequest]]:
    """Return a queue that holds as many requests of one customer as it takes."""
    queue = PlacementQueue(ALL_POLICIES, 0.0)
    entries = []
    while True:
        entry = queue.enqueue(
            waiting_request("large"), LatencySample(200.0), capacity, 0.0
        )
        if isinstance(entry, PlacementRefused):
            return queue, entries
        entries.append(entry)


@pytest.mark.parametrize(("customer", "priority"), [("small", 1), ("large", 0)])
def test_a_request_that_goes_first_displaces_the_last_at_once(customer, priority):
    """Guards against a request that waits in vain until its objective has passed."""
    capacity = Capacity.of_slots(4.0, 200.0)
    queue, entries = full_queue(capacity)
    sample = LatencySample(200.0)
    newer = [
        queue.enqueue(waiting_request(customer, priority), sample, capacity, 0.0)
        for _ in range(12)
    ]
    assert isinstance(newer[0], QueuedRequest)
    queue.refuse_hopeless(capacity, 20.0)
    assert isinstance(entries[-1].settled, PlacementRefused)
    assert entries[0].settled is None
    assert newer[0].settled is None


def test_refused_callers_return_spread_over_the_capacity():
    """Guards against callers that are all told to return at the same moment."""
    capacity = Capacity.of_slots(4.0, 200.0)
    queue, _ = full_queue(capacity)
    sample = LatencySample(200.0)
    refusals = [
        queue.enqueue(waiting_request("large"), sample, capacity, 0.0)
        for _ in range(20)
    ]
    delays_ms = [refused.retry_after_ms for refused in refusals]
    assert delays_ms == sorted(delays_ms)
    # 20 requests at 20 a second.
    assert 500.0 < delays_ms[-1] - delays_ms[0] < 2_000.0


def test_callers_that_higher_priorities_displace_return_spread_within_seconds():
    """Guards against one retry time for all, the longest, after an urgent burst."""
    capacity = Capacity.of_slots(4.0, 200.0)
    queue = PlacementQueue(ALL_POLICIES, -2_000.0)
    for step in range(200):
        queue.record_arrival(waiting_request("urgent", 0), 5.0 * step - 1_000.0)
    refusals = [
        queue.enqueue(waiting_request("a", 2), LatencySample(200.0), capacity, 0.0)
        for _ in range(10)
    ]
    delays_ms = [refused.retry_after_ms for refused in refusals]
    assert delays_ms == sorted(set(delays_ms))
    # Ten requests at an eighth of 20 a second.
    assert delays_ms[0] < 2_000.0 and delays_ms[-1] < 8_000.0


def test_a_customer_with_an_infinite_rate_counts_as_unlimited():
    """Guards against a weight with which no order can be computed."""
    assert queue_weight(math.inf) == queue_weight(math.nan) == queue_weight(0.0) == 1.0


def test_at_most_one_grant_in_eight_goes_to_a_starved_priority():
    """Guards against a lower priority that takes what a higher one needs."""
    shares = PriorityShares()
    rng = random.Random(1)
    granted = {0: 0, 2: 0}
    for step in range(800):
        now_ms = step * 10.0
        for priority in granted:
            shares.record_arrival(priority, now_ms)
        if rng.random() < 0.5:
            priority = shares.next_priority(granted, 0, now_ms)
            granted[priority] += 1
            shares.record_grant(priority, now_ms, waited=True)
    assert 0.0 < granted[2] <= sum(granted.values()) / 8
    assert granted[2] / 800 == pytest.approx(0.3 * 0.25, rel=0.2)


def test_an_overload_names_the_customers_that_used_the_room():
    """Guards against refusals of which an operator can't tell who caused them."""
    watch = OverloadWatch()
    large, small = waiting_request("large"), waiting_request("small")
    watch.record_refusal(small, 0.0)
    for _ in range(3):
        watch.record_request(large)
        watch.record_grant(large)
    watch.end_if_over(1_000.0)
    watch.record_refusal(small, 1_500.0)
    watch.end_if_over(3_600.0)
    began, ended = watch.changes()
    assert began.overloaded and not ended.overloaded
    assert (ended.lasted_ms, ended.granted, ended.refused) == (1_500.0, 3, 2)
    assert ended.largest[0].customer == "large"
    assert not watch.is_overloaded and not watch.changes()


def test_a_long_overload_by_many_customers_takes_bounded_memory():
    """Guards against counts of each customer for as long as an overload lasts."""
    watch = OverloadWatch()
    large = waiting_request("large")
    watch.record_refusal(large, 0.0)
    tracemalloc.start()
    for number in range(20_000):
        small = waiting_request(str(number))
        for request in (small, large):
            watch.record_request(request)
            watch.record_grant(request)
        watch.record_refusal(small, float(number))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    watch.end_if_over(30_000.0)
    _, ended = watch.changes()
    assert held_bytes < 1_000_000
    assert (ended.requests, ended.granted, ended.refused) == (40_001, 40_000, 20_001)
    assert ended.largest[0] == CustomerUse(CustomerId("large"), 20_001, 20_000, 1)


def test_retry_times_of_many_customers_cost_little():
    """Guards against a pass over all customers for each refusal."""
    times = RetryTimes(random.Random(1))
    calls = 0

    def count(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event == "call"

    sys.setprofile(count)
    try:
        for number in range(12_000):
            times.next_for(CustomerId(str(number)), number * 1.6, 30_000.0, 0.0)
    finally:
        sys.setprofile(None)
    # The method itself, a random number and few passes, which are one call each.
    assert calls <= 2 * 12_000 + 10
