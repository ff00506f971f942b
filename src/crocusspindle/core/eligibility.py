"""Decide whether this node may take new work, by the evidence that it has.

A node that is isolated in one or both directions, or was paused, would continue to
serve withdrawn keys and to spend shares that others hold now. A node is eligible by
rule 1 with a fresh timestamp (of a read of the platform's ticket log, its own or
relayed), or by rule 2 if the platform is unreachable and the node is in two-way contact
with a majority of the agreed member view. All results are deadlines on this node's
monotonic clock, checked again at the moment of use.
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

MAX_PENDING_VIEWS: Final = 16
"""Maximum number of views that are not settled yet; with one view in 10 s and a few
seconds each, two are typical."""


@dataclass(frozen=True, slots=True)
class EligibilityLimits:
    """Hold the time limits of the two rules.

    ``freshness_ms`` bounds how long a withdrawn key may work on an isolated node, and
    must cover a poll, a relay and one lost round of each at a heartbeat of 1 s.
    ``contact_ms`` covers two lost heartbeats. ``failing_ms`` is how long the platform
    counts as unreachable after a failed read: as long as a timestamp is fresh.
    ``refresh_ms`` avoids sorting 5,400 contacts for each request. ``expiry_ms`` is how
    long authority under a previous view may outlast the confirmation of the next one:
    the contact time of a node that counted a member before this member adopted the next
    view, plus 5 % for clocks that run at different speeds.
    """

    freshness_ms: float = 4_000.0
    contact_ms: float = 3_000.0
    failing_ms: float = 4_000.0
    refresh_ms: float = 250.0

    @property
    def expiry_ms(self) -> float:
        """Return the wait from confirming a view until authority under it begins."""
        return self.contact_ms * 1.05


class EligibilityReason(Enum):
    """Name the rule by which a node is eligible, or what it lacks."""

    FRESH_TIMESTAMP = "fresh stamp"
    MAJORITY = "platform away, in contact with a majority"
    NO_VIEW = "platform away, not in an agreed member view"
    UNCONFIRMED_VIEW = "platform away, too few members know the view"
    NO_MAJORITY = "platform away, no contact with a majority"
    NO_FRESH_TIMESTAMP = "no fresh stamp, no sign that the platform is away"


@dataclass(slots=True)
class _Contact:
    view: ViewNumber
    at_ms: float
    applied: TicketNumber
    away: bool


@dataclass(slots=True)
class _PendingView:
    """Hold a view that is not settled yet, and when it was confirmed."""

    view: MemberView
    confirmed_ms: float | None = None


@dataclass(frozen=True, slots=True)
class _Deadlines:
    """Hold deadlines of two-way contact with a majority.

    They count all contacts, those that lost the platform, and those that did not.
    """

    contact_ms: float = NEVER
    unreachable_ms: float = NEVER
    reachable_ms: float = NEVER


class Eligibility:
    """Hold one node's evidence that it is not isolated."""

    def __init__(
        self, member: MemberId, limits: EligibilityLimits | None = None
    ) -> None:
        self.member = member
        self.applied = TicketNumber(0)
        self._limits = limits or EligibilityLimits()
        self._view: MemberView | None = None
        self._member_ids: frozenset[MemberId] = frozenset()
        self._relevant_members: set[MemberId] = set()
        self._timestamp_ms = NEVER
        self._platform_failed_ms = NEVER
        self._contacts: dict[MemberId, _Contact] = {}
        self._seen_views: dict[MemberId, ViewNumber] = {}
        self._pending_views: list[_PendingView] = []
        self._settled_view = ViewNumber(0)
        self._is_unreachable = False
        self._own_outage_views: deque[ViewNumber] = deque(maxlen=MAX_PENDING_VIEWS)
        self._outage_views: set[ViewNumber] = set()
        self._deadlines = _Deadlines()
        self._refresh_at_ms = NEVER

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        if self._view is not None and view.number <= self._view.number:
            return False
        self._view = view
        self._pending_views = [*self._pending_views, _PendingView(view)][
            -MAX_PENDING_VIEWS:
        ]
        self._relevant_members = self._previous_members() | set(view.names)
        kept_views = {
            name: number
            for name, number in self._seen_views.items()
            if name in self._relevant_members
        }
        self._seen_views = kept_views
        self._member_ids = frozenset(view.names)
        kept_contacts = {
            name: contact
            for name, contact in self._contacts.items()
            if name in self._member_ids
        }
        self._contacts = kept_contacts
        self._is_unreachable = False
        # Own outages are reported for longer: a peer's view may be several behind.
        still_relevant = {
            number
            for number in self._outage_views
            if number >= view.oldest_previous_view
        }
        self._outage_views = still_relevant | set(self._own_outage_views)
        self._refresh_at_ms = NEVER
        return True

    def record_read(self, read_began_ms: float) -> None:
        """Record a complete read of the ticket log's tail that began at a time.

        Call it only after the tickets of that read are applied.
        """
        self._timestamp_ms = max(self._timestamp_ms, read_began_ms)

    def record_relayed_read(self, requested_at_ms: float, age_ms: float) -> None:
        """Record a peer's freshness timestamp, given its age when the peer replied.

        The age counts back from when this node sent its request, which can only make
        the timestamp older, so clocks need not agree and a delayed reply gains nothing.
        """
        self.record_read(requested_at_ms - max(age_ms, 0.0))

    def timestamp_age_ms(self, now_ms: float) -> float | None:
        """Return the age of the freshness timestamp for peers, None without one."""
        return None if self._timestamp_ms == NEVER else now_ms - self._timestamp_ms

    def record_platform_failure(self, at_ms: float) -> None:
        """Record a read of the platform that began at a time and failed.

        A peer's report counts from when this node sent its request, like a relayed
        timestamp.
        """
        self._platform_failed_ms = max(self._platform_failed_ms, at_ms)

    def record_echo(
        self,
        member: MemberId,
        view_number: ViewNumber,
        at_ms: float,
        *,
        applied: TicketNumber | int = 0,
        away: bool = False,
        away_views: Collection[ViewNumber] = (),
    ) -> None:
        """Record a member's reply to this node's message sent at ``at_ms``.

        ``view_number``, ``applied``, ``away`` (the member has lost the platform) and
        ``away_views`` (its `outage_views`) are from its reply. A member at a later view
        never counts for an earlier one, nor does a member that has applied tickets
        which this node has not: with a majority that contains it, this node would still
        serve keys that those tickets withdraw.
        """
        if member == self.member or member not in self._relevant_members:
            return
        self._record_seen_view(member, view_number)
        if self._view is not None:
            oldest = self._view.oldest_previous_view
            self._outage_views.update(
                number for number in away_views if number >= oldest
            )
        if member not in self._member_ids:
            return
        old_contact = self._contacts.get(member)
        if (
            old_contact is not None
            and at_ms < old_contact.at_ms
            and view_number <= old_contact.view
        ):
            return
        new_contact = _Contact(view_number, at_ms, TicketNumber(applied), away)
        self._contacts[member] = new_contact
        if old_contact is None or self._may_shorten_deadlines(old_contact, new_contact):
            self._refresh_at_ms = NEVER

    def eligible_until_ms(self, now_ms: float) -> float:
        """Return the deadline until which this node is eligible, -inf if it is not."""
        return max(self.fresh_until_ms(), self.majority_until_ms(now_ms))

    def is_eligible(self, now_ms: float) -> bool:
        """Return True if this node may take new work now."""
        return now_ms < self.eligible_until_ms(now_ms)

    def fresh_until_ms(self) -> float:
        """Return the deadline of rule 1."""
        return self._timestamp_ms + self._limits.freshness_ms

    def majority_until_ms(self, now_ms: float) -> float:
        """Return the deadline of rule 2, -inf if it does not apply."""
        if not self._is_current_view_settled(now_ms):
            return NEVER
        return min(
            self._unreachable_until_ms, self._current_deadlines(now_ms).contact_ms
        )

    def contact_until_ms(self, now_ms: float) -> float:
        """Return the deadline of two-way contact with a majority of the view."""
        return self._current_deadlines(now_ms).contact_ms

    def changes_until_ms(self, now_ms: float) -> float:
        """Return the deadline until which this node may accept operator calls.

        Access to the platform is not enough: a ticket written by a node that is not in
        contact with a majority would stay unknown to nodes eligible by rule 2.
        """
        return min(self.fresh_until_ms(), self.contact_until_ms(now_ms))

    def table_until_ms(self, now_ms: float) -> float:
        """Return the deadline until which the platform's table may decide operations.

        Needs a fresh timestamp and a majority of the view that has not lost the
        platform under this view: such a majority and the one of ``peer_until_ms`` share
        a member, so within one view both can decide for at most ``contact_ms``.
        """
        reachable_ms = self._current_deadlines(now_ms).reachable_ms
        if not self.confirmed(now_ms):
            return NEVER
        return min(self.fresh_until_ms(), reachable_ms)

    def peer_until_ms(self, now_ms: float) -> float:
        """Return the deadline until which two peers' memory may decide operations.

        Needs a majority of the view that lost the platform under this same view. This
        continues after the platform is back, until a new view is written.
        """
        if not self._is_current_view_settled(now_ms):
            return NEVER
        return min(
            self.eligible_until_ms(now_ms),
            self._current_deadlines(now_ms).unreachable_ms,
        )

    def has_lost_platform(self, now_ms: float) -> bool:
        """Return True if this node lost the platform under this view.

        To be sent in every echo. It ends only with the next view: if it ended earlier,
        table and memory could decide operations at the same time. A node that has no
        fresh timestamp and saw no failed read (it has just started, or was paused) has
        not lost the platform; it is only not eligible.
        """
        lost_platform = (
            not self._has_fresh_timestamp(now_ms)
            and now_ms < self._unreachable_until_ms
        )
        if lost_platform and not self._is_unreachable and self._view is not None:
            self._is_unreachable = True
            self._own_outage_views.append(self._view.number)
            self._outage_views.add(self._view.number)
        return self._is_unreachable

    def outage_views(self, now_ms: float) -> frozenset[ViewNumber]:
        """Return the views under which this node or a peer lost the platform.

        To be sent in every echo, and passed to ``Membership.propose`` and, before each
        decision by table, to the ledger: the row of an operation that peers permitted
        may still be missing.
        """
        self.has_lost_platform(now_ms)
        return frozenset(self._outage_views)

    def confirmed(self, now_ms: float) -> bool:
        """Return True if a majority of each previous view knows the current view."""
        self._refresh(now_ms)
        view = self._view
        if view is None:
            return False
        return view.number <= self._settled_view or any(
            pending.view.number == view.number and pending.confirmed_ms is not None
            for pending in self._pending_views
        )

    def is_settled(self, view_number: ViewNumber, now_ms: float) -> bool:
        """Return True if no authority under an earlier view can still be in use.

        A takeover by a view (of rate shares or operation records) waits for this: a
        majority of each previous view was seen at this view or a later one, and the
        authority of nodes that had counted on that majority has expired since.
        """
        self._refresh(now_ms)
        return view_number <= self._settled_view

    def reason(self, now_ms: float) -> EligibilityReason:
        """Return the rule by which this node is eligible, or what it lacks."""
        if self._has_fresh_timestamp(now_ms):
            return EligibilityReason.FRESH_TIMESTAMP
        if self.is_eligible(now_ms):
            return EligibilityReason.MAJORITY
        if now_ms >= self._unreachable_until_ms:
            return EligibilityReason.NO_FRESH_TIMESTAMP
        if self._view is None or self.member not in self._member_ids:
            return EligibilityReason.NO_VIEW
        if not self._is_current_view_settled(now_ms):
            return EligibilityReason.UNCONFIRMED_VIEW
        return EligibilityReason.NO_MAJORITY

    @property
    def _unreachable_until_ms(self) -> float:
        return self._platform_failed_ms + self._limits.failing_ms

    def _has_fresh_timestamp(self, now_ms: float) -> bool:
        return now_ms < self.fresh_until_ms()

    def _record_seen_view(self, member: MemberId, view_number: ViewNumber) -> None:
        if view_number > self._seen_views.get(member, 0):
            self._seen_views[member] = view_number

    def _may_shorten_deadlines(
        self, old_contact: _Contact, new_contact: _Contact
    ) -> bool:
        return (
            old_contact.view != new_contact.view
            or old_contact.away != new_contact.away
            or new_contact.applied > self.applied
        )

    def _is_current_view_settled(self, now_ms: float) -> bool:
        return self._view is not None and self.is_settled(self._view.number, now_ms)

    def _previous_members(self) -> set[MemberId]:
        previous_views = (
            previous_view
            for pending in self._pending_views
            for previous_view in pending.view.formers
        )
        return {member for previous in previous_views for member in previous.members}

    def _update_pending_views(self, now_ms: float) -> None:
        for pending in self._pending_views:
            previous_views = pending.view.formers
            if pending.confirmed_ms is None and all(
                self._count_adopted(previous.members, pending.view)
                >= majority(len(previous.members))
                for previous in previous_views
            ):
                # Without a previous view no authority has to expire.
                pending.confirmed_ms = now_ms if previous_views else NEVER
            expired_ms = now_ms - self._limits.expiry_ms
            if pending.confirmed_ms is not None and pending.confirmed_ms <= expired_ms:
                self._settled_view = max(self._settled_view, pending.view.number)
        self._pending_views = [
            pending
            for pending in self._pending_views
            if pending.view.number > self._settled_view
        ]

    def _count_adopted(self, members: tuple[MemberId, ...], view: MemberView) -> int:
        return sum(
            name == self.member
            or name in view.gone
            or self._seen_views.get(name, 0) >= view.number
            for name in members
        )

    def _current_deadlines(self, now_ms: float) -> _Deadlines:
        self._refresh(now_ms)
        return self._deadlines

    def _refresh(self, now_ms: float) -> None:
        if now_ms < self._refresh_at_ms:
            return
        self._refresh_at_ms = now_ms + self._limits.refresh_ms
        self._update_pending_views(now_ms)
        self._deadlines = self._compute_deadlines(now_ms)

    def _compute_deadlines(self, now_ms: float) -> _Deadlines:
        view = self._view
        if view is None or self.member not in self._member_ids:
            return _Deadlines()
        away = self.has_lost_platform(now_ms)
        counted_contacts = [
            contact
            for contact in self._contacts.values()
            if contact.view == view.number and contact.applied <= self.applied
        ]
        needed_count = view.majority
        return _Deadlines(
            self._contact_deadline_ms(
                (counted.at_ms for counted in counted_contacts),
                True,
                needed_count,
                now_ms,
            ),
            self._contact_deadline_ms(
                (counted.at_ms for counted in counted_contacts if counted.away),
                away,
                needed_count,
                now_ms,
            ),
            self._contact_deadline_ms(
                (counted.at_ms for counted in counted_contacts if not counted.away),
                not away,
                needed_count,
                now_ms,
            ),
        )

    def _contact_deadline_ms(
        self,
        echo_times_ms: Iterable[float],
        includes_own: bool,
        needed_count: int,
        now_ms: float,
    ) -> float:
        latest = sorted(echo_times_ms, reverse=True)
        needed_others = needed_count - includes_own
        if needed_others <= 0:
            return now_ms + self._limits.contact_ms
        if len(latest) < needed_others:
            return NEVER
        return latest[needed_others - 1] + self._limits.contact_ms
