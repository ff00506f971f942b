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
    """A whole fleet loses power, and callers are back as soon as its hosts are.

    A process needs two seconds until it serves, in which nobody can have admitted its
    customers: its host's former process had ended. Opened empty, most callers of the
    first seconds would be refused.
    """
    view = next_view(None, present("a", "b"))
    (first, _) = by_rank("a", "b")
    again = {HostId(name): node(name, "2") for name in ("a", "b")}
    club = new_keeper(again[HostId(first)], 100.0)
    club.set_view(view, 1_900.0, 1_900.0)
    club.set_view(next_view(view, again), 2_000.0, 2_000.0)
    assert admitted(club, 2_100.0, 30) == 5


def test_a_restarted_process_has_earned_nothing_while_another_kept_its_customers():
    """A keeper's host is away for a view, in which its heir may have spent the rate."""
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    away = next_view(view, present(second))
    again = {HostId(first): node(first, "2"), HostId(second): node(second, "2")}
    club = new_keeper(again[HostId(first)], 100.0)
    club.set_view(view, 1_900.0, 1_900.0)
    club.set_view(next_view(away, again), 2_000.0, 2_000.0)
    assert admitted(club, 2_100.0, 30) == 1


def test_a_keeper_that_nobody_asked_opens_with_what_it_earned():
    """A fleet starts and takes a few views for it; callers come seconds later.

    Its customers have not sent anything yet, and what they may send at once has been
    there for long. Opened empty, each customer's first requests would be refused.
    """
    first, second = by_rank("a", "b")
    view = next_view(next_view(None, present(second)), present("a", "b"))
    club = keeper(first, view, 0.0)
    for now_ms in (2_000.0, 4_000.0, 6_000.0, 8_000.0):
        club.set_view(view, now_ms, now_ms)
    assert not club.to_clear(CLUB, 8_000.0)
    assert admitted(club, 8_000.0, 9) == 5


def test_what_a_former_member_may_have_spent_is_not_earned_twice():
    """A keeper loses power, and its heir is asked for the first time a while later.

    Until the former keeper's proof had run out, it may have admitted requests on the
    far side of a cut: only the time since then counts for the heir.
    """
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
    """A host joins above a keeper that nobody has asked yet.

    The customer has sent nothing. If the keeper handed over an empty bucket, the
    customer's first requests would be refused.
    """
    _, second = by_rank("a", "b")
    former = keeper(second, next_view(None, present(second)), 0.0)
    later = next_view(former._view, present("a", "b"))
    former.set_view(later, 1_000.0, 1_000.0)
    assert former.release(CLUB, later.number, 1_010.0) == RULE.burst
    assert former.release(CLUB, later.number, 1_020.0) == 0.0


def test_an_empty_bucket_that_was_lost_is_handed_over_empty():
    """A keeper has spent the burst when a host joins above it.

    It learns of the view before it is asked to release. Taken for one that nobody had
    asked, it would hand the burst over a second time.
    """
    _, second = by_rank("a", "b")
    former = keeper(second, next_view(None, present(second)), 0.0)
    assert admitted(former, 0.0, 9) == 5
    later = next_view(former._view, present("a", "b"))
    former.set_view(later, 0.0, 0.0)
    assert former.release(CLUB, later.number, 10.0) == 0.0
