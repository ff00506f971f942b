"""Open and hand over the buckets of customers that nobody has asked for yet."""

from crocusspindle.core.view import next_view
from crocusspindle.ids import HostId
from tests.core.quota_world import (
    CLUB,
    RULE,
    admitted,
    by_rank,
    keeper,
    new_keeper,
    node,
    present,
)


def test_a_restarted_keeper_opens_with_what_was_earned_since_it_began():
    """Guards against refusing most callers right after a whole fleet lost power."""
    view = next_view(None, present("a", "b"))
    (first, _) = by_rank("a", "b")
    again = {HostId(name): node(name, "2") for name in ("a", "b")}
    club = new_keeper(again[HostId(first)], 100.0)
    club.set_view(view, 1_900.0, 1_900.0)
    club.set_view(next_view(view, again), 2_000.0, 2_000.0)
    assert admitted(club, 2_100.0, 30) == 5


def test_a_restarted_process_has_earned_nothing_while_another_kept_its_customers():
    """Guards against quota earned twice over a host that was away for a view."""
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    away = next_view(view, present(second))
    again = {HostId(first): node(first, "2"), HostId(second): node(second, "2")}
    club = new_keeper(again[HostId(first)], 100.0)
    club.set_view(view, 1_900.0, 1_900.0)
    club.set_view(next_view(away, again), 2_000.0, 2_000.0)
    assert admitted(club, 2_100.0, 30) == 1


def test_a_keeper_that_nobody_asked_opens_with_what_it_earned():
    """Guards against refusing the first requests of a fleet that has just started."""
    first, second = by_rank("a", "b")
    view = next_view(next_view(None, present(second)), present("a", "b"))
    club = keeper(first, view, 0.0)
    for now_ms in (2_000.0, 4_000.0, 6_000.0, 8_000.0):
        club.set_view(view, now_ms, now_ms)
    assert not club.to_clear(CLUB, 8_000.0)
    assert admitted(club, 8_000.0, 9) == 5


def test_what_a_former_member_may_have_spent_is_not_earned_twice():
    """Guards against an heir that counts time in which a cut-off keeper still acts."""
    _, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    heir = keeper(second, view, 0.0)
    out = next_view(view, present(second))
    heir.set_view(out, 100.0, 100.0)
    over = next_view(out, present(second), {seat.key for seat in out.fenced})
    assert not over.fenced
    heir.set_view(over, 3_150.0, 3_150.0)
    assert admitted(heir, 3_350.0, 9) == 2


def test_a_keeper_that_nobody_asked_hands_over_what_it_earned():
    """Guards against an empty bucket for a customer that has sent nothing."""
    _, second = by_rank("a", "b")
    former = keeper(second, next_view(None, present(second)), 0.0)
    later = next_view(former._view, present("a", "b"))
    former.set_view(later, 1_000.0, 1_000.0)
    assert former.release(CLUB, later.number, 1_010.0) == RULE.burst
    assert former.release(CLUB, later.number, 1_020.0) == 0.0


def test_an_empty_bucket_that_was_lost_is_handed_over_empty():
    """Guards against a burst that is handed over after it was spent."""
    _, second = by_rank("a", "b")
    former = keeper(second, next_view(None, present(second)), 0.0)
    assert admitted(former, 0.0, 9) == 5
    later = next_view(former._view, present("a", "b"))
    former.set_view(later, 0.0, 0.0)
    assert former.release(CLUB, later.number, 10.0) == 0.0
