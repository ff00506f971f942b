"""Decide which two members hold an operation's record, and what they can know."""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_records import OperationName
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import MemberId, ViewNumber

HOLDERS: Final = 2
"""Members that hold a record: one may be lost in an outage, and its operations
are refused then; a third would cost every operation another hop."""

ROSTERS: Final = 16
"""Member lists kept of former views, to know the holders of an outage reported
late; at 5,400 members they take 0.7 MB."""

PAIRS: Final = 1_024
"""Keys whose holders are kept for the present view: each question asks for them some
four times, and ranking 5,400 members takes several ms."""

Pair = tuple[MemberId, ...]


def holders(name: OperationName, members: Iterable[MemberId]) -> Pair:
    """Return the two members that hold the record of an operation, in order."""
    key = name.row_key.encode()
    ranked = nlargest(HOLDERS, ((score(key, one), one) for one in members))
    return tuple(member for _, member in ranked)


class Places:
    """Remember long enough who held which records.

    Fault: the pair of a key changes while members come and go. A new holder whose
    memory does not reach back over the retention window would take a retried key
    for a new one while the platform's table cannot be asked.
    """

    def __init__(self, member: MemberId, window_ms: float) -> None:
        self.member = member
        self.view: MemberView | None = None
        self._window_ms = window_ms
        self._since_ms: dict[MemberId, float] = {}
        self._departed: dict[MemberId, float] = {}
        self._continuous_since_ms = 0.0
        self._outages: dict[ViewNumber, frozenset[MemberId] | None] = {}
        self._flushed: dict[ViewNumber, set[MemberId]] = {}
        self._rosters: dict[ViewNumber, Pair] = {}
        self._decided_since_ms: dict[ViewNumber, float] = {}
        self._pairs: dict[OperationName, Pair] = {}

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        former = self.view
        if former is not None and view.number <= former.number:
            return False
        names = set(view.names)
        if former is None or not self._follows(former, view):
            self._since_ms = {}
            # Nothing can have begun before the first view of all.
            start_ms = float("-inf") if view.number == 1 else now_ms
            self._continuous_since_ms = start_ms
        else:
            start_ms = now_ms
        for name in self._known_before(former, view) - names:
            self._departed[name] = now_ms
            self._since_ms.pop(name, None)
        for name in names:
            self._since_ms.setdefault(name, start_ms)
        self._note_outages(view)
        self.view = view
        self._pairs.clear()
        self._prune(now_ms)
        return True

    def pair(self, name: OperationName) -> Pair:
        """Return the holders under the present view."""
        known = self._pairs.get(name)
        if known is None:
            known = holders(name, self.view.names) if self.view else ()
            if len(self._pairs) >= PAIRS:
                self._pairs.clear()
            self._pairs[name] = known
        return known

    def second(self, name: OperationName) -> MemberId | None:
        """Return the other holder, None when there is no other member."""
        others = [one for one in self.pair(name) if one != self.member]
        return others[0] if others else None

    def holds(self, name: OperationName) -> bool:
        """Return True if this member is a holder under the present view."""
        return self.member in self.pair(name)

    def complete(self, name: OperationName, now_ms: float) -> bool:
        """Return True if this member was a holder all through the window.

        Ranking everyone seen in the window at once stands for ranking each view:
        whoever outranks this member now did so while present.
        """
        start_ms = now_ms - self._window_ms
        if self._continuous_since_ms > start_ms:
            return False
        if self._since_ms.get(self.member, now_ms) > start_ms:
            return False
        return self.member in holders(name, {*self._since_ms, *self._departed})

    def whole(self, now_ms: float) -> bool:
        """Return True if memory reaches back over the window for every key."""
        start_ms = now_ms - self._window_ms
        since = max(self._since_ms.values(), default=now_ms)
        reaches = max(since, self._continuous_since_ms) <= start_ms
        return reaches and not self._departed

    def loaded(self, view_number: ViewNumber) -> bool:
        """Note that all rows of the table were read under a settled view.

        Fault: after a start or a change of members no holder's memory reaches back,
        and orders would be refused through an outage that begins in the next hour.
        Rows are written before anything is sent, and no right by an earlier view is
        left once a view is settled, so that whoever has read them all since knows
        every operation of its keys. Records of an outage that its members have not
        written yet are the exception; one holder's word is enough, so one member of
        each outage may be missing.
        """
        if self.view is None or self.view.number != view_number:
            return False
        for number, members in self._outages.items():
            if members is None or number >= view_number:
                return False
            if len(members - self._flushed.get(number, set())) > 1:
                return False
        self._since_ms = dict.fromkeys(self._since_ms, float("-inf"))
        self._departed = {}
        self._continuous_since_ms = float("-inf")
        return True

    def outage(
        self, view: ViewNumber, members: Iterable[MemberId] | None = None
    ) -> None:
        """Note an outage under a view; its members may be known from the rosters."""
        late = self.view is None or view >= self.view.oldest_former
        if self._outages.get(view) is not None or not (late or members is not None):
            return
        known = self._rosters.get(view) if members is None else members
        self._outages[view] = None if known is None else frozenset(known)

    def outage_flushed(self, view: ViewNumber, member: MemberId) -> None:
        """Note that a member wrote its records of an outage into the table."""
        self._flushed.setdefault(view, set()).add(member)

    def outages(self) -> tuple[ViewNumber, ...]:
        """Return the former views whose records have to be in the table."""
        return tuple(at for at in self._outages if at < self._view_number)

    def unflushed(self, name: OperationName, now_ms: float) -> bool:
        """Return True if an outage's record of the key may miss in the table.

        Both holders of the time had every record before anything ran, so that the
        word of one of them is enough. When both died without a word, the window of
        the keys has to pass. It is counted from the first decision by table after
        the outage: a right to those proves that no peers decide any more.
        """
        for view in self.outages():
            since_ms = self._decided_since_ms.setdefault(view, now_ms)
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

    def _follows(self, former: MemberView, view: MemberView) -> bool:
        """Return True if no view between the two is unknown to this member."""
        if view.number == former.number + 1:
            return True
        between = {one.view for one in view.formers}
        return between >= set(range(former.number + 1, view.number))

    def _known_before(
        self, former: MemberView | None, view: MemberView
    ) -> set[MemberId]:
        names = set(former.names) if former else set()
        for one in view.formers:
            if former is None or one.view > former.number:
                names |= set(one.members)
        return names

    def _note_outages(self, view: MemberView) -> None:
        self._rosters.update({one.view: one.members for one in view.formers})
        self._rosters[view.number] = view.names
        for number in sorted(self._rosters)[:-ROSTERS]:
            del self._rosters[number]
        for outage in view.outages:
            self.outage(outage.view, outage.members)
        for number in self._outages:
            self.outage(number)
        # An older one that the view does not carry is past every key's window.
        kept = {one.view for one in view.outages}
        kept.update(at for at in self._outages if at >= view.oldest_former)
        self._outages = {at: who for at, who in self._outages.items() if at in kept}
        self._flushed = {at: who for at, who in self._flushed.items() if at in kept}

    def _prune(self, now_ms: float) -> None:
        start_ms = now_ms - self._window_ms
        self._departed = {
            name: at_ms
            for name, at_ms in self._departed.items()
            if at_ms > start_ms and name not in self._since_ms
        }
