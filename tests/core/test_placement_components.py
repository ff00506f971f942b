"""Check the components of placing one by one."""

import math
import sys
import tracemalloc
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from crocusspindle.core.gray_onset_rate import GrayOnsetRate
from crocusspindle.core.hedge_time import hedge_after_ms
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.placement_request import PlacementRequest, QueuedRequest
from crocusspindle.core.policies import ALL_POLICIES, Policies, Policy
from crocusspindle.core.route_latencies import ROUTES_MAX, RouteLatencies
from crocusspindle.core.service_load import ServiceLoad
from crocusspindle.core.unreached_share import UnreachedShare
from crocusspindle.core.wait_queue import WaitQueue
from crocusspindle.errors import InvalidInputError
from crocusspindle.ids import CustomerId, DomainId, HostId


def sample_of(latencies_ms: list[float]) -> LatencySample:
    result = LatencySample(200.0)
    for latency_ms in latencies_ms:
        result.add(latency_ms)
    return result


def queued(priority: int, on_time_until_ms: float) -> QueuedRequest:
    request = PlacementRequest(
        HostId("e"), DomainId("a"), "r", False, priority, 600.0, 4_000.0
    )
    return QueuedRequest(request, 0.0, on_time_until_ms, 3_000.0)


def test_no_request_on_time_waits_behind_a_late_one():
    """Some queued requests can no longer be answered on time.

    Served by priority alone, an urgent late one would make the next one late as well.
    """
    queue = WaitQueue()
    late, on_time, urgent = queued(0, 100.0), queued(2, 300.0), queued(1, 300.0)
    for entry in (late, on_time, urgent):
        queue.add(entry)
    assert list(queue.in_order(200.0)) == [urgent, on_time, late]
    next_one = queued(1, 400.0)
    queue.add(next_one)
    assert queue.ahead_of(next_one, 200.0) == 1


def test_a_queue_that_is_never_empty_keeps_no_more_than_it_holds():
    """Guards against memory and time for each customer that ever had one request."""
    queue = WaitQueue()
    lasting = queued(9, math.inf)
    queue.add(lasting)
    tracemalloc.start()
    for number in range(20_000):
        entry = queued(9, 6_000.0 + number)
        entry.request = replace(entry.request, customer=CustomerId(str(number)))
        queue.add(entry)
        # Half are refused.
        if number % 2:
            queue.remove(entry)
        else:
            queue.take(entry, float(number))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert list(queue.in_order(20_000.0)) == [lasting]
    assert held_bytes < 1_000_000


def test_the_rates_of_many_customers_are_bounded_in_memory_and_time():
    """Guards against a pass over all customers for each request of a new one."""
    load = ServiceLoad(0.0)
    calls = 0

    def count(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        for number in range(6_000):
            load.record_arrival(number * 1.6, 1, CustomerId(str(number)))
    finally:
        sys.setprofile(None)
    assert calls <= 60 * 6_000


def test_a_hedge_starts_while_it_can_still_be_in_time():
    work = sample_of([100.0 + step for step in range(100)])
    assert hedge_after_ms(work, 600.0) == pytest.approx(195.0, abs=2.0)
    assert hedge_after_ms(work, 370.0) == pytest.approx(180.0, abs=2.0)
    assert hedge_after_ms(work, 200.0) == pytest.approx(175.0, abs=2.0)


def test_a_hedge_of_unknown_work_waits_for_half_of_the_objective():
    assert hedge_after_ms(LatencySample(150.0), 600.0) == 300.0


def test_routes_are_remembered_separately_and_up_to_a_bound():
    """Guards against thousands of routes, each used once, that displace one in use."""
    latencies = RouteLatencies()
    assert latencies.sample_for("kept", 400.0).typical_ms == 100.0
    for number in range(2 * ROUTES_MAX):
        latencies.add(f"r{number}", 400.0, 500.0)
        latencies.add("kept", 400.0, 20.0)
    assert latencies.sample_for("kept", 400.0).typical_ms == 20.0
    assert latencies.sample_for("r3", 400.0).typical_ms == pytest.approx(260.0)


def test_short_work_that_waited_for_long_work_is_not_suspicious():
    """Answers of a few milliseconds and of half a second come from the same targets.

    A short request may find all slots of its target taken. By the latencies of its own
    route alone, a wait of a tenth of a second would look like a target that hangs.
    """
    latencies = RouteLatencies()
    for _ in range(100):
        latencies.add("short", 400.0, 5.0)
        latencies.add("long", 2_000.0, 500.0)
    short = latencies.sample_for("short", 400.0)
    assert short.suspicion_nats(100.0, latencies.min_suspicious_ms) == 0.0
    assert short.suspicion_nats(700.0, latencies.min_suspicious_ms) > 4.0


def test_gray_probability_grows_with_success_age_and_onset_rate():
    calm, failing = GrayOnsetRate(0.0), GrayOnsetRate(0.0)
    for step in range(1, 30):
        calm.record_time(20, 0, step * 1_000.0)
        failing.record_time(20, 3, step * 1_000.0)
        failing.record_onset(was_healthy=True)
    assert (
        calm.probability(500.0)
        < calm.probability(5_000.0)
        < failing.probability(5_000.0)
    )
    # One onset a second among 20 targets.
    assert failing.probability(1_000.0) == pytest.approx(0.04, abs=0.01)
    assert failing.probability(600_000.0) < 0.2


def test_agreeing_senders_are_weaker_evidence_while_many_paths_are_bad():
    share = UnreachedShare()
    assert 2 * share.unreached_nats >= 6.0
    for step in range(200):
        share.record(step % 8 == 0)
    assert 2 * share.unreached_nats < 6.0 <= 4 * share.unreached_nats


def test_spare_capacity_falls_as_requests_arrive():
    load = ServiceLoad(0.0)
    load.record_answer(200.0)
    assert load.spare_per_ms(10, 0.0) == pytest.approx(0.05)
    for step in range(2_000):
        load.record_arrival(step * 20.0)
    assert load.spare_per_ms(10, 40_000.0) == pytest.approx(0.0, abs=0.002)


def test_policies_are_switched_off_by_name_and_unknown_names_rejected():
    policies = Policies.from_names("hedging, proof-age")
    assert not policies.has(Policy.HEDGING)
    assert policies.has(Policy.QUEUEING)
    assert Policies.from_names("") == ALL_POLICIES
    with pytest.raises(InvalidInputError, match="hedgin: not a policy"):
        Policies.from_names("hedgin")
