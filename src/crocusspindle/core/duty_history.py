"""Remember the views of the last while, and how long a node headed a duty in them."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.view import Seat, View
from crocusspindle.ids import HostId, Incarnation

VIEWS_KEPT: Final = 16


@dataclass(frozen=True, slots=True)
class DutyRank:
    """Hold who may have had a node's duty before it.

    ``put_out`` are former members that may act on an older view; ``former`` is the
    member that had the duty until this node joined.
    """

    first: bool
    put_out: tuple[Seat, ...]
    former: Seat | None


@dataclass(frozen=True, slots=True)
class SeenView:
    """Hold a view and when this node learnt of it."""

    view: View
    seen_ms: float


@dataclass(frozen=True, slots=True)
class Term:
    """Hold the views one after the other in which a node headed a duty.

    ``ended_ms`` is when it learnt of the view that ended the term, None before.
    ``succeeds_itself`` tells that the former process of its host had the duty until
    the first of these views, and nobody else can have had it in between.
    """

    views: tuple[SeenView, ...]
    ended_ms: float | None
    succeeds_itself: bool

    @property
    def since_ms(self) -> float:
        """Return when the node learnt that the duty is its own."""
        return self.views[0].seen_ms


class DutyHistory:
    """Tell a node's rank for duties in the view in force and in those before it."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        self._host = host
        self._incarnation = incarnation
        self._views: deque[SeenView] = deque(maxlen=VIEWS_KEPT)
        self._ranks: dict[str, DutyRank | None] = {}

    def take_view(self, view: View, now_ms: float) -> None:
        """Take a newer view."""
        self._views.append(SeenView(view, now_ms))
        self._ranks.clear()

    def forget(self) -> None:
        """Drop all views: others may have had the duties meanwhile."""
        self._views.clear()
        self._ranks.clear()

    def rank(self, duty: str) -> DutyRank | None:
        """Return the rank by the view in force, None if this process is no member."""
        if duty not in self._ranks and self._views:
            self._ranks[duty] = self.rank_in(self._views[-1].view, duty)
        return self._ranks.get(duty)

    def last_term(self, duty: str, after_view: int) -> Term | None:
        """Return the last term as the first for a duty, by views after a number."""
        views: list[SeenView] = []
        before: SeenView | None = None
        ended_ms: float | None = None
        for seen in reversed(self._views):
            if seen.view.number > after_view and self._heads(seen.view, duty):
                views.append(seen)
            elif views:
                before = seen
                break
            else:
                ended_ms = seen.seen_ms
        if not views:
            return None
        views.reverse()
        itself = before is not None and self._succeeds(before, views[0], duty)
        return Term(tuple(views), ended_ms, itself)

    def _succeeds(self, before: SeenView, first: SeenView, duty: str) -> bool:
        if first.view.number != before.view.number + 1:
            return False
        own = before.view.by_host.get(self._host)
        if own is None or own.node.incarnation == self._incarnation:
            return False
        rank = _rank_of(own, before.view, duty)
        if not rank.first:
            return False
        # Who had the duty before may not have known of it, and have acted for longer.
        # A member that still runs is asked; what a process that ended did is unknown.
        former = rank.former
        return former is None or former in first.view.seats

    def _heads(self, view: View, duty: str) -> bool:
        rank = self.rank_in(view, duty)
        return rank is not None and rank.first

    def rank_in(self, view: View, duty: str) -> DutyRank | None:
        """Return the rank by a view, None if this process is no member of it."""
        own = view.by_host.get(self._host)
        if own is None or own.node.incarnation != self._incarnation:
            # The view still means this host's former process, or none.
            return None
        return _rank_of(own, view, duty)


def _rank_of(own: Seat, view: View, duty: str) -> DutyRank:
    fenced = {seat.key for seat in view.fenced}
    everyone = (*view.seats, *view.fenced)
    seats = {seat.node.host: seat for seat in everyone}
    ranked = View(view.number, everyone).ranked(duty)
    place = ranked.index(own.node.host)
    above = [seats[host] for host in ranked[:place]]
    # Those below had the duty only if they were there before this member.
    below = [seats[host] for host in ranked[place + 1 :]]
    older = [seat for seat in below if seat.joined < own.joined]
    out = [seat for seat in older if seat.key in fenced]
    former = next((seat for seat in older if seat.key not in fenced), None)
    first = all(seat.key in fenced for seat in above)
    return DutyRank(first, (*above, *out), former)
