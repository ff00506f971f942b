"""Select the two members that hold an operation's record, and track past holders."""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_records import OperationName
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import MemberId, ViewNumber

HOLDER_COUNT: Final = 2
"""Members that hold each record. One may be lost in an outage, and its operations are
then refused; a third holder would cost every operation another hop."""

MAX_MEMBER_LISTS: Final = 16
"""Member lists kept of previous views, to find the holders during an outage that is
reported late. At 5,400 members they take 0.7 MB."""

MAX_CACHED_KEYS: Final = 1_024
"""Keys whose holders are cached for the current view. Each operation looks them up
about four times, and ranking 5,400 members takes several milliseconds."""

MemberIds = tuple[MemberId, ...]


def holders(name: OperationName, members: Iterable[MemberId]) -> MemberIds:
    """Return the two members that hold an operation's record, by descending rank."""
    key = name.row_key.encode()
    ranked = nlargest(
        HOLDER_COUNT, ((score(key, candidate), candidate) for candidate in members)
    )
    return tuple(member for _, member in ranked)


class HolderHistory:
    """Track which members held which records over the retention window.

    The holders of a key change as members join and leave. While the platform's table
    is unreachable, a new holder whose records do not cover the retention window would
    treat a retried key as a new one.
    """

    def __init__(self, member: MemberId, window_ms: float) -> None:
        self.member = member
        self.view: MemberView | None = None
        self._window_ms = window_ms
        self._since_ms: dict[MemberId, float] = {}
        self._departed_at_ms: dict[MemberId, float] = {}
        self._continuous_since_ms = 0.0
        self._outages: dict[ViewNumber, frozenset[MemberId] | None] = {}
        self._flushed: dict[ViewNumber, set[MemberId]] = {}
        self._member_lists: dict[ViewNumber, MemberIds] = {}
        self._table_decisions_since_ms: dict[ViewNumber, float] = {}
        self._holders_cache: dict[OperationName, MemberIds] = {}

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        previous = self.view
        if previous is not None and view.number <= previous.number:
            return False
        names = set(view.names)
        if previous is None or not self._follows(previous, view):
            self._since_ms = {}
            # No operation can have begun before the very first view.
            start_ms = float("-inf") if view.number == 1 else now_ms
            self._continuous_since_ms = start_ms
        else:
            start_ms = now_ms
        for name in self._known_before(previous, view) - names:
            self._departed_at_ms[name] = now_ms
            self._since_ms.pop(name, None)
        for name in names:
            self._since_ms.setdefault(name, start_ms)
        self._record_outages(view)
        self.view = view
        self._holders_cache.clear()
        self._prune(now_ms)
        return True

    def current_holders(self, name: OperationName) -> MemberIds:
        """Return the holders under the current view."""
        known = self._holders_cache.get(name)
        if known is None:
            known = holders(name, self.view.names) if self.view else ()
            if len(self._holders_cache) >= MAX_CACHED_KEYS:
                self._holders_cache.clear()
            self._holders_cache[name] = known
        return known

    def second_holder(self, name: OperationName) -> MemberId | None:
        """Return the other holder, or None if there is no other member."""
        others = [
            holder for holder in self.current_holders(name) if holder != self.member
        ]
        return others[0] if others else None

    def holds(self, name: OperationName) -> bool:
        """Return True if this member is a holder under the current view."""
        return self.member in self.current_holders(name)

    def covers_window(self, name: OperationName, now_ms: float) -> bool:
        """Return True if this member was a holder throughout the window.

        Ranking all members seen in the window at once replaces ranking each view: a
        member that outranks this one now also did so while it was present.
        """
        start_ms = now_ms - self._window_ms
        if self._continuous_since_ms > start_ms:
            return False
        if self._since_ms.get(self.member, now_ms) > start_ms:
            return False
        return self.member in holders(name, {*self._since_ms, *self._departed_at_ms})

    def covers_window_for_all_keys(self, now_ms: float) -> bool:
        """Return True if local records cover the window for every key."""
        start_ms = now_ms - self._window_ms
        latest_join_ms = max(self._since_ms.values(), default=now_ms)
        reaches_back = max(latest_join_ms, self._continuous_since_ms) <= start_ms
        return reaches_back and not self._departed_at_ms

    def mark_table_loaded(self, view_number: ViewNumber) -> bool:
        """Record that all table rows were read under a settled view.

        After a start or a membership change no holder's records cover the window, so
        an outage within the next hour would cause operations to be refused. Rows are
        written before requests are sent, and a settled view leaves no authority under
        earlier views, so a member that then read all rows knows every operation of its
        keys, except outage records that are not yet flushed. One of the two holders
        is enough for these, so one member of each outage may still be missing.
        """
        if self.view is None or self.view.number != view_number:
            return False
        for number, members in self._outages.items():
            if members is None or number >= view_number:
                return False
            if len(members - self._flushed.get(number, set())) > 1:
                return False
        self._since_ms = dict.fromkeys(self._since_ms, float("-inf"))
        self._departed_at_ms = {}
        self._continuous_since_ms = float("-inf")
        return True

    def record_outage(
        self, view: ViewNumber, members: Iterable[MemberId] | None = None
    ) -> None:
        """Record an outage under a view; members default to the stored member list."""
        within_history = self.view is None or view >= self.view.oldest_previous_view
        if self._outages.get(view) is not None or not (
            within_history or members is not None
        ):
            return
        known = self._member_lists.get(view) if members is None else members
        self._outages[view] = None if known is None else frozenset(known)

    def record_outage_flush(self, view: ViewNumber, member: MemberId) -> None:
        """Record that a member wrote its records of an outage to the table."""
        self._flushed.setdefault(view, set()).add(member)

    def outages(self) -> tuple[ViewNumber, ...]:
        """Return the previous views whose records must be in the table."""
        return tuple(number for number in self._outages if number < self._view_number)

    def unflushed(self, name: OperationName, now_ms: float) -> bool:
        """Return True if the table may lack an outage's record of the key.

        Both holders at that time recorded each operation before it ran, so a flush by
        one of them is enough. If both stopped without a flush, the retention window
        must pass, counted from the first decision in table mode after the outage:
        authority for table mode implies that peers no longer decide.
        """
        for view in self.outages():
            since_ms = self._table_decisions_since_ms.setdefault(view, now_ms)
            if now_ms >= since_ms + self._window_ms:
                continue
            members = self._outages[view]
            if members is None:
                return True
            if not self._flushed.get(view, set()) & set(holders(name, members)):
                return True
        return False

    @property
    def _view_number(self) -> ViewNumber:
        return ViewNumber(0) if self.view is None else self.view.number

    def _follows(self, previous: MemberView, view: MemberView) -> bool:
        """Return True if every view between the two is known to this member."""
        if view.number == previous.number + 1:
            return True
        between = {skipped.view for skipped in view.formers}
        return between >= set(range(previous.number + 1, view.number))

    def _known_before(
        self, previous: MemberView | None, view: MemberView
    ) -> set[MemberId]:
        names = set(previous.names) if previous else set()
        for skipped in view.formers:
            if previous is None or skipped.view > previous.number:
                names |= set(skipped.members)
        return names

    def _record_outages(self, view: MemberView) -> None:
        self._member_lists.update({past.view: past.members for past in view.formers})
        self._member_lists[view.number] = view.names
        for number in sorted(self._member_lists)[:-MAX_MEMBER_LISTS]:
            del self._member_lists[number]
        for outage in view.outages:
            self.record_outage(outage.view, outage.members)
        for number in self._outages:
            self.record_outage(number)
        # An older outage that the view does not list is past every key's window.
        kept = {past.view for past in view.outages}
        kept.update(
            view_number
            for view_number in self._outages
            if view_number >= view.oldest_previous_view
        )
        self._outages = {
            view_number: members
            for view_number, members in self._outages.items()
            if view_number in kept
        }
        self._flushed = {
            view_number: members
            for view_number, members in self._flushed.items()
            if view_number in kept
        }

    def _prune(self, now_ms: float) -> None:
        start_ms = now_ms - self._window_ms
        self._departed_at_ms = {
            name: at_ms
            for name, at_ms in self._departed_at_ms.items()
            if at_ms > start_ms and name not in self._since_ms
        }
