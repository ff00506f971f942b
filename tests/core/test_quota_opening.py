"""Test opening and handing over buckets of customers that sent no request yet."""

from crocusspindle.core.view import next_view
from crocusspindle.ids import HostId
from tests.core.quota_fixtures import (
    CLUB,
    RULE,
    admitted,
    by_rank,
    keeper,
    new_keeper,
    node,
    present,
)


def test_a_restarted_keeper_opens_with_the_tokens_earned_since_its_start():
    """Guards against refusing most callers right after a power loss of the fleet."""
    view = next_view(None, present("a", "b"))
    (first, _) = by_rank("a", "b")
    restarted = {HostId(name): node(name, "2") for name in ("a", "b")}
    club_keeper = new_keeper(restarted[HostId(first)], 100.0)
    club_keeper.set_view(view, 1_900.0, 1_900.0)
    club_keeper.set_view(next_view(view, restarted), 2_000.0, 2_000.0)
    assert admitted(club_keeper, 2_100.0, 30) == 5


def test_a_restarted_process_has_earned_nothing_while_another_kept_its_customers():
    """Guards against earning quota twice while a host is absent for one view."""
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    without_first = next_view(view, present(second))
    restarted = {HostId(first): node(first, "2"), HostId(second): node(second, "2")}
    club_keeper = new_keeper(restarted[HostId(first)], 100.0)
    club_keeper.set_view(view, 1_900.0, 1_900.0)
    club_keeper.set_view(next_view(without_first, restarted), 2_000.0, 2_000.0)
    assert admitted(club_keeper, 2_100.0, 30) == 1


def test_a_keeper_without_requests_opens_with_the_tokens_it_earned():
    """Guards against refusing the first requests to a fleet that has just started."""
    first, second = by_rank("a", "b")
    view = next_view(next_view(None, present(second)), present("a", "b"))
    club_keeper = keeper(first, view, 0.0)
    for now_ms in (2_000.0, 4_000.0, 6_000.0, 8_000.0):
        club_keeper.set_view(view, now_ms, now_ms)
    assert not club_keeper.pending_releases(CLUB, 8_000.0)
    assert admitted(club_keeper, 8_000.0, 9) == 5


def test_tokens_that_a_previous_member_may_have_spent_are_not_earned_twice():
    """Guards against refilling for the time in which a cut-off keeper still admits."""
    _, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    successor = keeper(second, view, 0.0)
    removed = next_view(view, present(second))
    successor.set_view(removed, 100.0, 100.0)
    unfenced = next_view(
        removed, present(second), {entry.key for entry in removed.fenced}
    )
    assert not unfenced.fenced
    successor.set_view(unfenced, 3_150.0, 3_150.0)
    assert admitted(successor, 3_350.0, 9) == 2


def test_a_keeper_without_requests_hands_over_the_tokens_it_earned():
    """Guards against an empty bucket for a customer that has sent no request."""
    _, second = by_rank("a", "b")
    previous_keeper = keeper(second, next_view(None, present(second)), 0.0)
    later = next_view(previous_keeper._view, present("a", "b"))
    previous_keeper.set_view(later, 1_000.0, 1_000.0)
    assert previous_keeper.release(CLUB, later.number, 1_010.0) == RULE.burst
    assert previous_keeper.release(CLUB, later.number, 1_020.0) == 0.0


def test_an_empty_bucket_that_was_reassigned_is_handed_over_empty():
    """Guards against handing over a burst after it was spent."""
    _, second = by_rank("a", "b")
    previous_keeper = keeper(second, next_view(None, present(second)), 0.0)
    assert admitted(previous_keeper, 0.0, 9) == 5
    later = next_view(previous_keeper._view, present("a", "b"))
    previous_keeper.set_view(later, 0.0, 0.0)
    assert previous_keeper.release(CLUB, later.number, 10.0) == 0.0
