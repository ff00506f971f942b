"""Tests of the measures against memory that fills with bodies of slow callers."""

import math
import random

import pytest

from crocusspindle.core.memory_bound import (
    LARGE_BODY_BYTES,
    MIN_BOUND_BYTES,
    HeldKind,
    Holding,
    Measure,
    MemoryBound,
    bound_bytes,
)

UNIT = 10_000
BOUND = 1_000 * UNIT
LARGE = LARGE_BODY_BYTES + 1


@pytest.fixture
def bound():
    return MemoryBound(BOUND)


def hold(bound, customer, units, kind=HeldKind.RESPONSE):
    """Hold a body."""
    holding = Holding(customer, kind)
    bound.add(holding)
    bound.resize(holding, units * UNIT)
    return holding


@pytest.mark.parametrize("memory_mb", [152, 200, 552])
def test_the_bound_leaves_room_for_the_process(memory_mb):
    """Guards against a bound that a host reaches only after its memory is used up."""
    assert MIN_BOUND_BYTES < bound_bytes(memory_mb) < (memory_mb - 75) * 1e6


def test_a_tiny_host_still_serves_small_bodies():
    """Guards against a negative bound, which would refuse and drop everything."""
    assert bound_bytes(60) == MIN_BOUND_BYTES


def test_without_a_bound_there_are_no_measures():
    """Guards against measures where a deployment's settings ask for none."""
    unbounded = MemoryBound()
    hold(unbounded, "club", 10**9)
    upload = hold(unbounded, "club", 10**9, HeldKind.REQUEST)
    assert not unbounded.is_bounded and unbounded.held_bytes == 2 * 10**9 * UNIT
    assert unbounded.may_read_body(upload) and unbounded.may_read_ahead("club")
    assert not unbounded.refuses_body(10**12) and unbounded.response_to_drop() is None
    assert unbounded.changes() == []


@pytest.mark.parametrize(
    ("held", "reads_bodies", "refuses", "reads_ahead", "drops"),
    [
        (30, True, False, True, False),
        (499, True, False, True, False),
        (500, False, False, True, False),
        (749, False, False, True, False),
        (750, False, True, False, False),
        (999, False, True, False, False),
        (1_000, False, True, False, True),
    ],
)
def test_measures_follow_in_order(
    bound, held, reads_bodies, refuses, reads_ahead, drops
):
    """Guards against requests that are lost while a gentler measure would do."""
    older = hold(bound, "club", 10, HeldKind.REQUEST)
    upload = hold(bound, "club", 10, HeldKind.REQUEST)
    response = hold(bound, "club", 0)
    bound.resize(response, (held - 20) * UNIT)
    assert bound.may_read_body(upload) is reads_bodies
    assert bound.may_read_body(older) is (held < 1_000)
    assert bound.refuses_body(LARGE) is refuses
    assert not bound.refuses_body(LARGE_BODY_BYTES)
    assert bound.may_read_ahead("club") is reads_ahead
    assert (bound.response_to_drop() is not None) is drops


def test_bodies_are_read_as_older_ones_end(bound):
    """Guards against uploads that wait for ever above half of the bound."""
    uploads = [hold(bound, "club", 200, HeldKind.REQUEST) for _ in range(3)]
    assert [bound.may_read_body(upload) for upload in uploads] == [True, False, False]
    bound.remove(uploads[0])
    assert bound.may_read_body(uploads[1]) and bound.may_read_body(uploads[2])
    hold(bound, "club", 200)
    assert [bound.may_read_body(upload) for upload in uploads[1:]] == [True, False]


def test_a_whole_body_holds_up_others_only_near_the_bound(bound):
    """Guards against uploads that go one by one through slow targets."""
    uploads = [hold(bound, "club", 300, HeldKind.REQUEST) for _ in range(2)]
    uploads[0].is_whole = True
    assert bound.may_read_body(uploads[1])
    bound.resize(uploads[0], 500 * UNIT)
    assert not bound.may_read_body(uploads[1])
    bound.remove(uploads[0])
    assert bound.may_read_body(uploads[1])


def test_a_customer_of_slow_readers_does_not_hold_up_another(bound):
    """Guards against back-pressure on the customers that hold little."""
    hold(bound, "slow", 900)
    uploads = [hold(bound, "club", 10, HeldKind.REQUEST) for _ in range(2)]
    assert all(bound.may_read_body(upload) for upload in uploads)
    assert bound.may_read_ahead("club") and not bound.may_read_ahead("slow")


def test_a_slow_upload_of_one_customer_does_not_stop_those_of_another(bound):
    """Guards against an upload at 2 KB/s behind which all others wait."""
    hold(bound, "slow", 300, HeldKind.REQUEST)
    hold(bound, "club", 300, HeldKind.REQUEST)
    waiting = hold(bound, "club", 10, HeldKind.REQUEST)
    assert not bound.may_read_body(waiting)
    bound.resize(next(iter(bound._holdings["club"])), 230 * UNIT)
    assert bound.may_read_body(waiting)


def test_a_short_body_does_not_wait(bound):
    """Guards against small requests behind slow readers of the same customer."""
    hold(bound, "club", 990)
    hold(bound, "club", 10, HeldKind.REQUEST)
    short = hold(bound, "club", 0, HeldKind.REQUEST)
    bound.resize(short, LARGE_BODY_BYTES)
    assert bound.may_read_body(short) and not bound.refuses_body(short.size)
    bound.resize(short, LARGE)
    assert not bound.may_read_body(short)


def test_the_largest_response_of_the_largest_holder_is_dropped(bound):
    """Guards against a drop that hits a customer that holds little."""
    hold(bound, "club", 300)
    hold(bound, "slow", 100)
    largest = hold(bound, "slow", 250)
    hold(bound, "slow", 350, HeldKind.REQUEST)
    assert bound.response_to_drop() is largest
    bound.remove(largest)
    assert bound.response_to_drop() is None


def test_requests_are_never_dropped(bound):
    """Guards against a dropped request: it may have run, and its caller can't know."""
    hold(bound, "slow", 1_200, HeldKind.REQUEST)
    assert bound.response_to_drop() is None
    response = hold(bound, "club", 1)
    assert bound.response_to_drop() is response


def test_what_is_released_twice_counts_once(bound):
    """Guards against a counter that falls below what is held."""
    response = hold(bound, "slow", 100)
    for _ in range(2):
        bound.remove(response)
    bound.resize(response, 50 * UNIT)
    assert bound.held_bytes == 0 and bound.held_by("slow") == 0
    assert not bound._by_customer and not bound._holdings


def test_a_level_near_a_threshold_changes_no_measure_back_and_forth(bound):
    """Guards against a log line for each body near a threshold."""
    response = hold(bound, "club", 500)
    assert bound.changes() == [(Measure.BACK_PRESSURE, True)]
    for units in (499, 501, 451):
        bound.resize(response, units * UNIT)
        assert bound.changes() == []
    bound.resize(response, 1_000 * UNIT)
    assert bound.changes() == [(Measure.REFUSAL, True), (Measure.DROP, True)]
    bound.remove(response)
    assert {began for _, began in bound.changes()} == {False}
    assert bound.in_force == frozenset()


@pytest.mark.parametrize("seed", range(5))
def test_dropping_keeps_what_is_held_below_the_bound(seed):
    """Guards against a sum above the bound while there are responses to drop."""
    rng = random.Random(seed)
    bound, open_holdings = MemoryBound(BOUND), []
    for _ in range(2_000):
        if open_holdings and rng.random() < 0.4:
            bound.remove(open_holdings.pop(rng.randrange(len(open_holdings))))
        else:
            customer = rng.choice(["a", "b", "c", None])
            open_holdings.append(hold(bound, customer, rng.randrange(200)))
        while (dropped := bound.response_to_drop()) is not None:
            open_holdings.remove(dropped)
            bound.remove(dropped)
        assert bound.held_bytes < BOUND
        assert bound.held_bytes == sum(held.size for held in open_holdings)
    for held in open_holdings:
        bound.remove(held)
    assert bound.held_bytes == 0 and math.isfinite(bound.bound)
