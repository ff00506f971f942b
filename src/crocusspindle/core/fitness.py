"""Decide whether this node may take new work: the fleet's one rule of evidence.

Load and faults: a node that hears nobody, is cut one way or was paused would go on
serving withdrawn keys and spending shares that others hold now. A node is fit by
rule 1 with a fresh stamp (a read of the platform's ticket log, by itself or relayed)
or by rule 2 when the platform is away and it is in two-way contact with a majority
of the agreed member view. Everything below is a deadline on this node's monotonic
clock, checked again at the moment of use.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Final

from crocusspindle.core.members import MemberView, majority
from crocusspindle.ids import MemberId, TicketNumber, ViewNumber

NEVER: Final = -inf

MAX_CHANGES: Final = 16
"""Views that may wait at once for members to learn of them; with one view in 10 s
and a few seconds each, two are usual."""


@dataclass(frozen=True, slots=True)
class FitnessLimits:
    """Hold the times of the rule.

    ``freshness_ms`` bounds how long a withdrawn key may work on a node that is cut
    off, and must cover a poll, a relay and one lost round of each at a heartbeat of
    1 s. ``contact_ms`` covers two lost heartbeats. ``failing_ms`` is how long one
    failed read counts as the platform being away: as long as a stamp counts.
    ``refresh_ms`` spares sorting 5,400 contacts for each request. ``lapse_ms`` is
    how long a right by a former view may outlast the news of the next one: the
    contact time of whoever counted on a member before it moved on, and 5 % for
    clocks that run at different speeds.
    """

    freshness_ms: float = 4_000.0
    contact_ms: float = 3_000.0
    failing_ms: float = 4_000.0
    refresh_ms: float = 250.0

    @property
    def lapse_ms(self) -> float:
        """Return the wait after a confirmed view before its rights begin."""
        return self.contact_ms * 1.05


class FitnessReason(Enum):
    """Tell by which rule a node is fit, or what it lacks."""

    STAMP = "fresh stamp"
    MAJORITY = "platform away, in contact with a majority"
    NO_VIEW = "platform away, not in an agreed member view"
    UNCONFIRMED_VIEW = "platform away, too few members know the view"
    NO_MAJORITY = "platform away, no contact with a majority"
    NO_STAMP = "no fresh stamp, no sign that the platform is away"


@dataclass(slots=True)
class _Contact:
    view: ViewNumber
    at_ms: float
    applied: TicketNumber
    away: bool


@dataclass(slots=True)
class _Change:
    """Hold a view whose members may still have to learn of it."""

    view: MemberView
    confirmed_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _Deadlines:
    """Hold until when a majority counts: all, those away, those not away."""

    contact_ms: float = NEVER
    away_ms: float = NEVER
    attached_ms: float = NEVER


class Fitness:
    """Hold one node's evidence of not being cut off."""

    def __init__(self, member: MemberId, limits: FitnessLimits | None = None) -> None:
        self.member = member
        self.applied = TicketNumber(0)
        self._limits = limits or FitnessLimits()
        self._view: MemberView | None = None
        self._names: frozenset[MemberId] = frozenset()
        self._known: set[MemberId] = set()
        self._stamp_ms = NEVER
        self._failing_ms = NEVER
        self._contacts: dict[MemberId, _Contact] = {}
        self._seen: dict[MemberId, ViewNumber] = {}
        self._changes: list[_Change] = []
        self._settled = ViewNumber(0)
        self._away = False
        self._own_away: deque[ViewNumber] = deque(maxlen=MAX_CHANGES)
        self._away_views: set[ViewNumber] = set()
        self._deadlines = _Deadlines()
        self._refresh_at_ms = NEVER

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        if self._view is not None and view.number <= self._view.number:
            return False
        self._view = view
        self._changes = [*self._changes, _Change(view)][-MAX_CHANGES:]
        self._known = self._electors() | set(view.names)
        kept_seen = {n: at for n, at in self._seen.items() if n in self._known}
        self._seen = kept_seen
        self._names = frozenset(view.names)
        kept = {n: one for n, one in self._contacts.items() if n in self._names}
        self._contacts = kept
        self._away = False
        # Its own outages a member tells for long: whoever asks may be views behind.
        heard = {at for at in self._away_views if at >= view.oldest_former}
        self._away_views = heard | set(self._own_away)
        self._refresh_at_ms = NEVER
        return True

    def stamp(self, read_began_ms: float) -> None:
        """Note a read of the whole ticket log's tail that began at a time.

        Call it only once the tickets of that read are applied.
        """
        self._stamp_ms = max(self._stamp_ms, read_began_ms)

    def relayed(self, asked_at_ms: float, age_ms: float) -> None:
        """Note a peer's stamp: its age when the peer answered.

        Counting back from our own question can only err on the old side, so clocks
        need not agree and a delayed answer gains nothing.
        """
        self.stamp(asked_at_ms - max(age_ms, 0.0))

    def stamp_age_ms(self, now_ms: float) -> float | None:
        """Return the age to tell a peer that asks, None without any stamp."""
        return None if self._stamp_ms == NEVER else now_ms - self._stamp_ms

    def platform_failing(self, at_ms: float) -> None:
        """Note a read of the platform that began at a time and failed.

        A peer's report counts from our own question, like a relayed stamp.
        """
        self._failing_ms = max(self._failing_ms, at_ms)

    def echo(
        self,
        member: MemberId,
        view_number: ViewNumber,
        at_ms: float,
        *,
        applied: TicketNumber | int = 0,
        away: bool = False,
        away_views: Collection[ViewNumber] = (),
    ) -> None:
        """Note that a member answered our message sent at ``at_ms``.

        ``view_number``, ``applied``, ``away`` and ``away_views`` are the member's
        state as of its answer. A member at a later view never counts for an earlier
        one, nor one that has applied tickets which we have not: a majority that
        contains it would let us serve by what it knows to be withdrawn.
        """
        if member == self.member or member not in self._known:
            return
        self._note_seen(member, view_number)
        if self._view is not None:
            oldest = self._view.oldest_former
            self._away_views.update(at for at in away_views if at >= oldest)
        if member not in self._names:
            return
        known = self._contacts.get(member)
        if known is not None and at_ms < known.at_ms and view_number <= known.view:
            return
        news = _Contact(view_number, at_ms, TicketNumber(applied), away)
        self._contacts[member] = news
        if known is None or self._lowers(known, news):
            self._refresh_at_ms = NEVER

    def fit_until_ms(self, now_ms: float) -> float:
        """Return the deadline up to which this node is fit, -inf when it is not."""
        return max(self.stamp_until_ms(), self.majority_until_ms(now_ms))

    def is_fit(self, now_ms: float) -> bool:
        """Return True if this node may take new work now."""
        return now_ms < self.fit_until_ms(now_ms)

    def stamp_until_ms(self) -> float:
        """Return the deadline of rule 1."""
        return self._stamp_ms + self._limits.freshness_ms

    def majority_until_ms(self, now_ms: float) -> float:
        """Return the deadline of rule 2, -inf when it does not hold."""
        if not self._current_settled(now_ms):
            return NEVER
        return min(self._failing_until_ms, self._majorities(now_ms).contact_ms)

    def contact_until_ms(self, now_ms: float) -> float:
        """Return until when two-way contact with a majority of the view counts."""
        return self._majorities(now_ms).contact_ms

    def changes_until_ms(self, now_ms: float) -> float:
        """Return until when this node may accept operator calls.

        The platform alone is not enough: a ticket written by a node that no majority
        can hear would stay unknown to nodes fit by rule 2.
        """
        return min(self.stamp_until_ms(), self.contact_until_ms(now_ms))

    def table_until_ms(self, now_ms: float) -> float:
        """Return until when operations may be decided by the platform's table.

        Needs a fresh stamp and a majority of the view that has not been without the
        platform under this view: such a majority and the one of ``peer_until_ms``
        share a member, so both rights never hold in one view but for a handover of
        ``contact_ms``.
        """
        attached_ms = self._majorities(now_ms).attached_ms
        if not self.confirmed(now_ms):
            return NEVER
        return min(self.stamp_until_ms(), attached_ms)

    def peer_until_ms(self, now_ms: float) -> float:
        """Return until when operations may be decided by the memory of two peers.

        Needs a majority of the view that lost the platform under this very view. It
        lasts over the platform's return until a new view is written.
        """
        if not self._current_settled(now_ms):
            return NEVER
        return min(self.fit_until_ms(now_ms), self._majorities(now_ms).away_ms)

    def away(self, now_ms: float) -> bool:
        """Return True if this node lost the platform under this view.

        Tell it in every echo. It ends only with the next view: a return in between
        would let operations be decided by table and by memory side by side. A node
        without a stamp that saw no failing read (it just started, or was paused) is
        not away; it merely is not fit.
        """
        lost = not self._stamped(now_ms) and now_ms < self._failing_until_ms
        if lost and not self._away and self._view is not None:
            self._away = True
            self._own_away.append(self._view.number)
            self._away_views.add(self._view.number)
        return self._away

    def away_views(self, now_ms: float) -> frozenset[ViewNumber]:
        """Return the views under which this node or one that it heard was away.

        Tell them in every echo, hand them to ``Membership.propose``, and to the
        ledger before each decision by table: the row of an operation that peers let
        run may still be missing.
        """
        self.away(now_ms)
        return frozenset(self._away_views)

    def confirmed(self, now_ms: float) -> bool:
        """Return True if a majority of each former view knows the present one."""
        self._refresh(now_ms)
        view = self._view
        if view is None:
            return False
        return view.number <= self._settled or any(
            change.view.number == view.number and change.confirmed_ms is not None
            for change in self._changes
        )

    def majority_at(self, view_number: ViewNumber, now_ms: float) -> bool:
        """Return True if no right by a view before this one can still be in use.

        Whoever takes something over by a view (rate shares, operation records)
        waits for this: a majority of each former view was seen at this one or later,
        and whoever had counted on that majority before has lapsed since.
        """
        self._refresh(now_ms)
        return view_number <= self._settled

    def reason(self, now_ms: float) -> FitnessReason:
        """Return by which rule this node is fit, or what it lacks."""
        if self._stamped(now_ms):
            return FitnessReason.STAMP
        if self.is_fit(now_ms):
            return FitnessReason.MAJORITY
        if now_ms >= self._failing_until_ms:
            return FitnessReason.NO_STAMP
        if self._view is None or self.member not in self._names:
            return FitnessReason.NO_VIEW
        if not self._current_settled(now_ms):
            return FitnessReason.UNCONFIRMED_VIEW
        return FitnessReason.NO_MAJORITY

    @property
    def _failing_until_ms(self) -> float:
        return self._failing_ms + self._limits.failing_ms

    def _stamped(self, now_ms: float) -> bool:
        return now_ms < self.stamp_until_ms()

    def _note_seen(self, member: MemberId, view_number: ViewNumber) -> None:
        if view_number > self._seen.get(member, 0):
            self._seen[member] = view_number

    def _lowers(self, known: _Contact, news: _Contact) -> bool:
        return (
            known.view != news.view
            or known.away != news.away
            or news.applied > self.applied
        )

    def _current_settled(self, now_ms: float) -> bool:
        return self._view is not None and self.majority_at(self._view.number, now_ms)

    def _electors(self) -> set[MemberId]:
        formers = (one for change in self._changes for one in change.view.formers)
        return {member for former in formers for member in former.members}

    def _note_changes(self, now_ms: float) -> None:
        for change in self._changes:
            formers = change.view.formers
            if change.confirmed_ms is None and all(
                self._moved(one.members, change.view) >= majority(len(one.members))
                for one in formers
            ):
                # With no former view there is nobody whose right has to lapse.
                change.confirmed_ms = now_ms if formers else NEVER
            lapsed_ms = now_ms - self._limits.lapse_ms
            if change.confirmed_ms is not None and change.confirmed_ms <= lapsed_ms:
                self._settled = max(self._settled, change.view.number)
        self._changes = [
            change for change in self._changes if change.view.number > self._settled
        ]

    def _moved(self, members: tuple[MemberId, ...], view: MemberView) -> int:
        return sum(
            name == self.member
            or name in view.gone
            or self._seen.get(name, 0) >= view.number
            for name in members
        )

    def _majorities(self, now_ms: float) -> _Deadlines:
        self._refresh(now_ms)
        return self._deadlines

    def _refresh(self, now_ms: float) -> None:
        if now_ms < self._refresh_at_ms:
            return
        self._refresh_at_ms = now_ms + self._limits.refresh_ms
        self._note_changes(now_ms)
        self._deadlines = self._count(now_ms)

    def _count(self, now_ms: float) -> _Deadlines:
        view = self._view
        if view is None or self.member not in self._names:
            return _Deadlines()
        away = self.away(now_ms)
        counted = [
            contact
            for contact in self._contacts.values()
            if contact.view == view.number and contact.applied <= self.applied
        ]
        needed = view.majority
        return _Deadlines(
            self._until((one.at_ms for one in counted), True, needed, now_ms),
            self._until(
                (one.at_ms for one in counted if one.away), away, needed, now_ms
            ),
            self._until(
                (one.at_ms for one in counted if not one.away), not away, needed, now_ms
            ),
        )

    def _until(
        self, echoes: Iterable[float], with_me: bool, needed: int, now_ms: float
    ) -> float:
        latest = sorted(echoes, reverse=True)
        others = needed - with_me
        if others <= 0:
            return now_ms + self._limits.contact_ms
        if len(latest) < others:
            return NEVER
        return latest[others - 1] + self._limits.contact_ms
