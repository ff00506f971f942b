"""Remember recent views, and for how long this node held a role in them."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.view import View, ViewEntry
from crocusspindle.ids import HostId, Incarnation

VIEWS_KEPT: Final = 16


@dataclass(frozen=True, slots=True)
class AssignmentRank:
    """Hold which members may have had a node's role before it.

    The node is ``first`` if all members ranked before it are fenced.
    ``removed_members`` are fenced members that may act on an older view, and, unless
    the node is ``first``, all members ranked before it;
    ``previous_holder`` is the member that had the role until this node joined.
    """

    first: bool
    removed_members: tuple[ViewEntry, ...]
    previous_holder: ViewEntry | None


@dataclass(frozen=True, slots=True)
class SeenView:
    """Hold a view and when this node received it."""

    view: View
    seen_ms: float


@dataclass(frozen=True, slots=True)
class Tenure:
    """Hold the consecutive views in which a node was first for a role.

    ``ended_ms`` is when it received the view that ended the tenure, None before.
    ``continues_own_tenure`` states that the previous process of its host had the role
    until the first of these views, and no other member can have had it in between.
    """

    views: tuple[SeenView, ...]
    ended_ms: float | None
    continues_own_tenure: bool

    @property
    def since_ms(self) -> float:
        """Return when the node received the first of the views."""
        return self.views[0].seen_ms


class AssignmentHistory:
    """Determine a node's rank for roles in the view in force and in earlier ones."""

    def __init__(self, host: HostId, incarnation: Incarnation) -> None:
        self._host = host
        self._incarnation = incarnation
        self._views: deque[SeenView] = deque(maxlen=VIEWS_KEPT)
        self._ranks: dict[str, AssignmentRank | None] = {}
        self._received = 0

    @property
    def is_complete(self) -> bool:
        """Return True if all views that this process has received are kept."""
        return self._received == len(self._views)

    def update_view(self, view: View, now_ms: float) -> None:
        """Add a newer view."""
        self._received += 1
        self._views.append(SeenView(view, now_ms))
        self._ranks.clear()

    def forget(self) -> None:
        """Drop all views: other members may have had the roles meanwhile."""
        self._views.clear()
        self._ranks.clear()

    def rank(self, role: str) -> AssignmentRank | None:
        """Return the rank by the view in force, None if this process is no member."""
        if role not in self._ranks and self._views:
            self._ranks[role] = self.rank_in(self._views[-1].view, role)
        return self._ranks.get(role)

    def last_tenure(self, role: str, after_view: int) -> Tenure | None:
        """Return the last tenure as first for a role, by views after a number."""
        views: list[SeenView] = []
        before: SeenView | None = None
        ended_ms: float | None = None
        for seen in reversed(self._views):
            if seen.view.number > after_view and self._holds(seen.view, role):
                views.append(seen)
            elif views:
                before = seen
                break
            else:
                ended_ms = seen.seen_ms
        if not views:
            return None
        views.reverse()
        continues = before is not None and self._continues(before, views[0], role)
        return Tenure(tuple(views), ended_ms, continues)

    def _continues(self, before: SeenView, first: SeenView, role: str) -> bool:
        if first.view.number != before.view.number + 1:
            return False
        own = before.view.by_host.get(self._host)
        if own is None or own.node.incarnation == self._incarnation:
            return False
        rank = _rank_of(own, before.view, role)
        if not rank.first:
            return False
        # The previous holder may have acted until it received that view. While it runs,
        # its release is requested; what a process that has ended did is unknown.
        previous_holder = rank.previous_holder
        return previous_holder is None or previous_holder in first.view.entries

    def _holds(self, view: View, role: str) -> bool:
        rank = self.rank_in(view, role)
        return rank is not None and rank.first

    def rank_in(self, view: View, role: str) -> AssignmentRank | None:
        """Return the rank by a view, None if this process is no member of it."""
        own = view.by_host.get(self._host)
        if own is None or own.node.incarnation != self._incarnation:
            # The view still names this host's previous process, or none.
            return None
        return _rank_of(own, view, role)


def _rank_of(own: ViewEntry, view: View, role: str) -> AssignmentRank:
    fenced = {entry.key for entry in view.fenced}
    all_entries = (*view.entries, *view.fenced)
    entry_by_host = {entry.node.host: entry for entry in all_entries}
    ranked = View(view.number, all_entries).ranked(role)
    position = ranked.index(own.node.host)
    higher = [entry_by_host[host] for host in ranked[:position]]
    # Members ranked lower had the role only if they joined before this member.
    lower = [entry_by_host[host] for host in ranked[position + 1 :]]
    older = [entry for entry in lower if entry.joined < own.joined]
    fenced_lower = [entry for entry in older if entry.key in fenced]
    previous_holder = next((entry for entry in older if entry.key not in fenced), None)
    first = all(entry.key in fenced for entry in higher)
    return AssignmentRank(first, (*higher, *fenced_lower), previous_holder)
