"""Test one bucket per customer while members join, leave, restart and are cut off."""

import random

import pytest

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.quota_reserve import QuotaReserve
from crocusspindle.core.spend_result import Admitted, NotKept, OverRate
from crocusspindle.core.token_queue import WaitingSpend
from crocusspindle.core.view import next_view
from crocusspindle.ids import HostId
from tests.core.quota_fixtures import (
    CLUB,
    FENCE_MS,
    RULE,
    WINDOW_MS,
    admitted,
    by_rank,
    keeper,
    new_keeper,
    node,
    present,
)
from tests.core.quota_simulation import QuotaSimulation, assert_within_bound


def test_the_first_keeper_admits_the_burst_and_then_the_rate():
    view = next_view(None, present("a"))
    club_keeper = keeper("a", view, 0.0)
    assert admitted(club_keeper, 0.0, 10) == 5
    assert isinstance(club_keeper.spend(CLUB, 0.0, 0.0), OverRate)
    club_keeper.set_view(view, 1_000.0, 1_000.0)
    assert admitted(club_keeper, 1_000.0, 10) == 5


def test_a_short_wait_gets_the_next_token():
    """Guards against a refusal of a request that a token arrives for in time."""
    club_keeper = keeper("a", next_view(None, present("a")), 0.0)
    admitted(club_keeper, 0.0, 5)
    waiting = club_keeper.spend(CLUB, 150.0, 0.0)
    assert isinstance(waiting, WaitingSpend)
    assert isinstance(club_keeper.spend(CLUB, 150.0, 0.0), OverRate)
    assert club_keeper.serve_waiting(CLUB, 0.0) == 100.0
    club_keeper.serve_waiting(CLUB, 99.0)
    assert waiting.settled is None
    club_keeper.serve_waiting(CLUB, 100.0)
    assert isinstance(waiting.settled, Admitted)


def test_a_keeper_with_an_expired_confirmation_stops():
    """A keeper cut off from the platform stops once the length of the fence has passed.

    Its successor opens after the fence: both at once would admit the customer at
    twice its rate.
    """
    club_keeper = keeper("a", next_view(None, present("a")), 0.0)
    assert admitted(club_keeper, FENCE_MS - 1, 1) == 1
    assert isinstance(club_keeper.spend(CLUB, 0.0, FENCE_MS), NotKept)


def test_the_successor_of_a_silent_keeper_waits_for_the_fence_and_opens_empty():
    """A keeper loses power, and the view removes it.

    It might still admit requests on the other side of a partition, and a second bucket
    would give the customer two bursts within a second.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    successor = keeper(second, view, 0.0)
    assert isinstance(successor.spend(CLUB, 0.0, 0.0), NotKept)
    later = next_view(view, present(second))
    assert [entry.node.host for entry in later.fenced] == [first]
    successor.set_view(later, 1_000.0, 1_000.0)
    assert [entry.node.host for entry in successor.pending_releases(CLUB, 1_000.0)] == [
        first
    ]
    successor.set_view(later, 3_900.0, 3_900.0)
    assert isinstance(successor.spend(CLUB, 0.0, 3_900.0), NotKept)
    successor.set_view(later, 4_001.0, 4_001.0)
    assert admitted(successor, 4_001.0, 9) == 0
    successor.set_view(later, 4_201.0, 4_201.0)
    assert admitted(successor, 4_201.0, 9) == 2


def test_the_successor_of_a_restarted_keeper_opens_at_once_and_empty():
    """A keeper's process is killed and restarts before its failure is detected.

    The new process has no record of what the old one admitted. If it opened with a
    full burst, each kill would give the customer a burst.
    """
    view = next_view(None, present("a"))
    restarted = {HostId("a"): node("a", "2")}
    later = next_view(view, restarted)
    assert later.fenced == ()
    club_keeper = keeper("a", later, 0.0)
    assert admitted(club_keeper, 0.0, 9) == 0
    club_keeper.set_view(later, 300.0, 300.0)
    assert admitted(club_keeper, 300.0, 9) == 3


def test_a_joining_keeper_takes_the_bucket_over():
    """A host joins that ranks above the keeper of a customer.

    The previous keeper may not have received the new view. On request it stops and
    hands its tokens over: a planned change neither costs nor gives any quota.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    previous_keeper = keeper(second, view, 0.0)
    assert admitted(previous_keeper, 0.0, 2) == 2
    later = next_view(view, present("a", "b"))
    successor = keeper(first, later, 0.0)
    assert isinstance(successor.spend(CLUB, 0.0, 0.0), NotKept)
    (pending,) = successor.pending_releases(CLUB, 0.0)
    assert pending.node.host == second
    tokens = previous_keeper.release(CLUB, later.number, 0.0)
    assert isinstance(previous_keeper.spend(CLUB, 0.0, 0.0), NotKept)
    successor.record_release(CLUB, pending.key, tokens, 0.0)
    assert admitted(successor, 0.0, 9) == 3


def test_the_successor_of_a_removed_keeper_fills_since_its_host_restarted():
    """Guards against a refusal within the quota after a keeper's restart.

    The store was away when the keeper stopped, so that the view removes it only after
    its host runs a new process, which knows nothing of the customer.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    successor = keeper(second, view, 0.0)
    restarted = new_keeper(node(first, "2"), began_ms=1_000.0)
    restarted.set_view(view, 1_100.0, 1_100.0)
    later = next_view(view, present(second))
    successor.set_view(later, 1_500.0, 1_500.0)
    (pending,) = successor.pending_releases(CLUB, 1_500.0)
    unspent_ms = restarted.unspent_ms(CLUB, 1_800.0)
    assert unspent_ms == 800.0
    tokens = restarted.release(CLUB, later.number, 1_800.0)
    successor.record_release(CLUB, pending.key, tokens, 1_800.0, unspent_ms)
    assert admitted(successor, 1_800.0, 9) == 3


def test_a_process_that_has_kept_a_customer_hands_over_tokens_only():
    """Guards against tokens that are handed over and counted once more as unspent."""
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    previous_keeper = new_keeper(node(second), began_ms=0.0)
    previous_keeper.set_view(view, 100.0, 100.0)
    assert previous_keeper.unspent_ms(CLUB, 600.0) == 0.0
    assert admitted(previous_keeper, 600.0, 9) == 5
    later = next_view(view, present(first, second))
    previous_keeper.release(CLUB, later.number, 700.0)
    assert previous_keeper.unspent_ms(CLUB, 900.0) == 0.0


def test_a_release_counts_for_one_membership_period_only():
    """A keeper is removed, releases, joins again, and is removed again when cut off.

    Its successor must wait again: the keeper has had the bucket since its release.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    successor = keeper(second, next_view(view, present(second)), 0.0)
    (entry,) = successor.pending_releases(CLUB, 0.0)
    successor.record_release(CLUB, entry.key, 0.0, 0.0)
    assert not successor.pending_releases(CLUB, 0.0)
    back = next_view(successor._view, present("a", "b"))
    removed_again = next_view(back, present(second))
    successor.set_view(removed_again, 100.0, 100.0)
    assert [entry.node.host for entry in successor.pending_releases(CLUB, 100.0)] == [
        first
    ]


def test_a_node_that_joins_above_a_silent_keeper_waits_for_it():
    """A keeper is cut off and removed, and a host that ranks above it joins.

    The keeper acts for the fence on its side of the partition, though it ranks lower.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    successor = keeper(first, next_view(view, present(first)), 0.0)
    assert [entry.node.host for entry in successor.pending_releases(CLUB, 0.0)] == [
        second
    ]


def test_a_confirmation_that_expired_while_views_changed_empties_the_bucket():
    """A keeper is cut off, another one takes over and leaves, the partition heals.

    The other keeper has spent the same tokens that are left at the first one.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(first))
    club_keeper = keeper(first, view, 0.0)
    assert admitted(club_keeper, 0.0, 1) == 1
    without_first = next_view(view, present(second))
    back = next_view(without_first, present(first, second))
    club_keeper.set_view(back, 9_000.0, 9_000.0)
    assert admitted(club_keeper, 9_000.0, 9) == 0


@pytest.mark.parametrize("pause_ms", [0.0, 4_000.0, 9_000.0])
def test_random_changes_never_admit_more_than_rate_and_burst(pause_ms):
    """Hosts are cut off, rejoin and restart while a customer sends, with pauses.

    Each node receives the views with its own delay. In any order, all of them together
    admit no more than the customer's burst and rate in any window.
    """
    for seed in range(40):
        _run_random_changes(random.Random(seed), pause_ms)


def _run_random_changes(rng: random.Random, pause_ms: float) -> None:
    admitted_at: list[float] = []
    simulation = QuotaSimulation(rng)
    for now_ms in simulation.steps():
        if now_ms % (pause_ms + 1_000.0) < pause_ms:
            continue
        for name in simulation.names:
            if isinstance(simulation.spend(name, now_ms), Admitted):
                admitted_at.append(now_ms)
    assert_within_bound(admitted_at)


def test_a_new_process_keeps_no_customer_until_the_view_names_it():
    """A process restarts, and the view does not show it yet.

    The view still names the previous process, which has spent the first burst. Opening
    the bucket again would grant a second one.
    """
    view = next_view(None, present("a"))
    restarted = new_keeper(node("a", "2"))
    restarted.set_view(view, 0.0, 0.0)
    assert isinstance(restarted.spend(CLUB, 0.0, 0.0), NotKept)


def test_the_reserve_keeps_within_half_of_the_slack():
    """A keeper is lost, and each node spends its own fraction of the slack."""
    names = [f"host-{n}" for n in range(36)]
    view = next_view(None, present(*names))
    spent = 0
    for name in names:
        reserve = QuotaReserve(HostId(name), 5_000.0, -5_000.0)
        spent += sum(reserve.spend(CLUB, 41.0, view, 10.0) for _ in range(9))
    assert spent == 20


def test_a_node_that_has_just_started_spends_no_reserve():
    """A process is killed and restarts without a record of what it has spent."""
    view = next_view(None, present("a"))
    reserve = QuotaReserve(HostId("a"), 5_000.0, 0.0)
    assert not reserve.spend(CLUB, 41.0, view, 4_999.0)
    assert reserve.spend(CLUB, 41.0, view, 5_000.0)


def test_a_customer_over_its_rate_gets_its_whole_bound_in_every_window():
    """A customer's limit is lowered, and it continues to send twice as much.

    Its bound is rate and burst in every window of five seconds. Served at the rate
    alone, it would be refused requests within its bound for as long as it sends.
    """
    club_keeper = keeper("a", next_view(None, present("a")), 0.0)
    admitted_at = []
    for step in range(4_000):
        now_ms = step * 10.0
        club_keeper.set_view(club_keeper._view, now_ms, now_ms)
        if step % 5 == 0 and admitted(club_keeper, now_ms, 1):
            admitted_at.append(now_ms)
    for span_s in (1, 2, 5):
        bound = RULE.rate_per_s * span_s + RULE.burst
        for since_ms in admitted_at:
            until_ms = since_ms + span_s * 1e3
            assert sum(since_ms <= at < until_ms for at in admitted_at) <= bound + 1
    windows = len(admitted_at) / (40_000.0 / WINDOW_MS)
    assert windows >= 0.95 * (RULE.rate_per_s * WINDOW_MS / 1e3 + RULE.burst)


def test_a_lowered_limit_holds_at_once_for_what_was_spent_before():
    club_keeper = keeper("a", next_view(None, present("a")), 0.0)
    assert admitted(club_keeper, 0.0, 5) == 5
    club_keeper.set_rules({CLUB: CustomerRule(CLUB, rate_per_s=1.0, burst=1.0)})
    club_keeper.set_view(club_keeper._view, 2_000.0, 2_000.0)
    assert admitted(club_keeper, 2_000.0, 5) == 0


def test_a_customer_without_a_burst_gets_its_rate():
    """An operator gives a customer a rate and no burst."""
    club_keeper = keeper("a", next_view(None, present("a")), 0.0)
    club_keeper.set_rules({CLUB: CustomerRule(CLUB, rate_per_s=10.0)})
    admitted_count = 0
    for step in range(500):
        club_keeper.set_view(club_keeper._view, step * 20.0, step * 20.0)
        admitted_count += admitted(club_keeper, step * 20.0, 1)
    assert 95 <= admitted_count <= 101
