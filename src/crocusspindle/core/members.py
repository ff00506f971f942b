"""Agree on the member view: a numbered list of the fleet's members.

The view is one row of the platform's table, updated by conditional writes. Peers only
provide evidence. Views change with restarts (20,000 a day at 5,400 nodes, one every
4 s); changes are batched, so the table gets well below one write per second.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

import msgpack

from crocusspindle.ids import DomainId, MemberId, ViewNumber

MAX_PREVIOUS_VIEWS: Final = 16
"""Unconfirmed previous views that a view may carry. Without a bound, a fleet that
restarts as a whole would store all its member lists in one row."""


@dataclass(frozen=True, slots=True)
class ViewMember:
    """Describe one member: its location and its addresses for callers and peers."""

    member: MemberId
    domain: DomainId
    region: str
    caller_address: str
    peer_address: str
    joined_unix_ms: int


@dataclass(frozen=True, slots=True)
class Outage:
    """Record a platform outage during which members acted under an unchanged view."""

    view: ViewNumber
    ended_unix_ms: int
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class PreviousView:
    """Hold the members of an earlier view."""

    view: ViewNumber
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class MemberView:
    """Hold one agreed list of members.

    ``formers`` are the previous views that may still have a majority that does not know
    this one. ``gone`` are members of those views that have certainly stopped: they
    announced it, or a process started later uses their address.
    """

    number: ViewNumber
    members: tuple[ViewMember, ...]
    formers: tuple[PreviousView, ...] = ()
    gone: frozenset[MemberId] = frozenset()
    outages: tuple[Outage, ...] = ()

    @property
    def names(self) -> tuple[MemberId, ...]:
        """Return the members' ids in the order of the view."""
        return tuple(member.member for member in self.members)

    @property
    def majority(self) -> int:
        """Return the number of members that form a majority."""
        return majority(len(self.members))

    @property
    def outage_ended_unix_ms(self) -> int | None:
        """Return when the last recorded outage ended, or None."""
        return max((outage.ended_unix_ms for outage in self.outages), default=None)

    @property
    def oldest_previous_view(self) -> ViewNumber:
        """Return the oldest view by which members may still act.

        The writer of this view knew of the outages under older views, and the view
        lists them as long as they matter.
        """
        numbers = (previous.view for previous in self.formers)
        return min(numbers, default=self.number)

    def find(self, member: MemberId) -> ViewMember | None:
        """Return a member by its id, or None."""
        return next(
            (candidate for candidate in self.members if candidate.member == member),
            None,
        )


def majority(size: int) -> int:
    """Return the smallest count that two disjoint groups cannot both reach."""
    return size // 2 + 1


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Hold the changes from one view to a later one."""

    base: ViewNumber
    number: ViewNumber
    joined: tuple[ViewMember, ...]
    left: tuple[MemberId, ...]


def diff(earlier: MemberView, later: MemberView) -> ViewDelta:
    """Return the members that joined and left between two views."""
    before = set(earlier.members)
    after = set(later.names)
    return ViewDelta(
        earlier.number,
        later.number,
        tuple(member for member in later.members if member not in before),
        tuple(name for name in earlier.names if name not in after),
    )


def encode_view(view: MemberView) -> bytes:
    """Encode a view for the platform's row and for peers."""
    content = {
        "number": view.number,
        "members": [
            [
                member.member,
                member.domain,
                member.region,
                member.caller_address,
                member.peer_address,
                member.joined_unix_ms,
            ]
            for member in view.members
        ],
        "formers": [[previous.view, previous.members] for previous in view.formers],
        "gone": sorted(view.gone),
        "outages": [
            [outage.view, outage.ended_unix_ms, outage.members]
            for outage in view.outages
        ],
    }
    return bytes(msgpack.packb(content))


def decode_view(content: bytes) -> MemberView:
    """Decode a view; raise ``ValueError`` if the bytes are not a valid view."""
    try:
        raw: Mapping[str, Any] = msgpack.unpackb(content)
        return MemberView(
            ViewNumber(raw["number"]),
            tuple(ViewMember(*fields) for fields in raw["members"]),
            tuple(
                PreviousView(view, tuple(members)) for view, members in raw["formers"]
            ),
            frozenset(raw["gone"]),
            tuple(
                Outage(view, ended, tuple(members))
                for view, ended, members in raw["outages"]
            ),
        )
    except (TypeError, KeyError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"not a member view: {error!r}") from error


@dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Hold the times of the member view.

    ``silence_ms`` must exceed an ordinary pause (garbage collection, a busy host) and
    the freshness limit, so that a member is ineligible by rule 1 (see `eligibility`)
    before it is removed. ``witness_ms`` is how long a report of its silence counts,
    ``batch_ms`` the minimum time from adopting a view to proposing the next one.
    ``outage_kept_ms`` is the retention of operation keys plus a margin.
    """

    silence_ms: float = 10_000.0
    witness_ms: float = 5_000.0
    batch_ms: float = 1_000.0
    outage_kept_ms: float = 2 * 3_600_000.0

    def __post_init__(self) -> None:
        if self.witness_ms >= self.silence_ms:
            raise ValueError("witness_ms must be below silence_ms")


class NoProposalReason(Enum):
    """Name the reason why a node proposes no view."""

    INELIGIBLE = "unfit"
    NOTHING_TO_CHANGE = "nothing to change"
    BATCHING = "batching"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True)
class ProposerState:
    """Hold the state of a node that proposes a view.

    ``eligible`` means rule 1 (a fresh timestamp), ``in_majority`` two-way contact with
    a majority of the current view, ``confirmed`` the result of
    ``Eligibility.confirmed``.
    """

    eligible: bool
    in_majority: bool
    confirmed: bool


@dataclass(slots=True)
class _LivenessEvidence:
    last_received_ms: float
    witnesses: dict[MemberId, float] = field(default_factory=dict)


class Membership:
    """Collect evidence about members and propose the next view.

    A crashed node stays in the view, and in every hash order, until it is removed. A
    node that receives nothing because one direction of its link fails would consider
    all others failed. So a silent member is removed only if a node in another failure
    domain (if there is one) confirms the silence, and only by a proposer in two-way
    contact with a majority.
    """

    def __init__(
        self, own_member: ViewMember, limits: MembershipLimits | None = None
    ) -> None:
        self.own_member = own_member
        self.view: MemberView | None = None
        self._limits = limits or MembershipLimits()
        self._evidence: dict[MemberId, _LivenessEvidence] = {}
        self._joining: dict[MemberId, ViewMember] = {}
        self._leaving: set[MemberId] = set()
        self._adopted_at_ms = 0.0

    def adopt(self, view: MemberView, now_ms: float) -> ViewDelta | None:
        """Adopt a view if it is newer than the present one, else return None."""
        if self.view is not None and view.number <= self.view.number:
            return None
        base = self.view or MemberView(ViewNumber(0), ())
        self.view = view
        self._adopted_at_ms = now_ms
        names = set(view.names)
        kept = {name: seen for name, seen in self._evidence.items() if name in names}
        self._evidence = kept
        for name in names:
            self._evidence.setdefault(name, _LivenessEvidence(now_ms))
        self._leaving &= names
        for name in names:
            self._joining.pop(name, None)
        return diff(base, view)

    def record_message(self, member: MemberId, at_ms: float) -> None:
        """Record a message from a member, which clears all reports of its silence."""
        evidence = self._evidence.get(member)
        if evidence is None or at_ms < evidence.last_received_ms:
            return
        evidence.last_received_ms = at_ms
        evidence.witnesses.clear()

    def record_silence_report(
        self, member: MemberId, witness: MemberId, at_ms: float
    ) -> None:
        """Record another node's report of a member silent for ``silence_ms``."""
        evidence = self._evidence.get(member)
        if evidence is not None and witness != member:
            evidence.witnesses[witness] = at_ms

    def record_join_request(self, member: ViewMember) -> None:
        """Record that a newly started node requests to join the view."""
        if self.view is None or self.view.find(member.member) is None:
            self._joining[member.member] = member

    def record_leave(self, member: MemberId) -> None:
        """Record a member's announcement that it takes no new work and stops."""
        self._leaving.add(member)

    def list_silent_members(self, now_ms: float) -> tuple[MemberId, ...]:
        """Return the members that are silent here, to be reported to other nodes."""
        limit_ms = now_ms - self._limits.silence_ms
        return tuple(
            name
            for name, evidence in self._evidence.items()
            if name != self.own_member.member and evidence.last_received_ms <= limit_ms
        )

    def propose(
        self,
        state: ProposerState,
        now_ms: float,
        now_unix_ms: int,
        outages: Collection[Outage] = (),
    ) -> MemberView | NoProposalReason:
        """Return the next view for a conditional write, or why there is none.

        A join, or a leave announced by the member, needs only a fresh timestamp: no
        majority can form without members that know it. Removing silent members needs
        two-way contact with a majority and a confirmed view, or the two sides of a
        network partition could remove each other.
        """
        if not state.eligible:
            return NoProposalReason.INELIGIBLE
        current = self.view or MemberView(ViewNumber(0), ())
        joining = self._members_to_join(current)
        gone = self._stopped(current, joining)
        removed = set(gone)
        if state.in_majority and state.confirmed:
            removed |= self._confirmed_silent(current, now_ms)
        if not joining and not removed and not self._has_new_outages(current, outages):
            return NoProposalReason.NOTHING_TO_CHANGE
        if now_ms < self._adopted_at_ms + self._limits.batch_ms and self.view:
            return NoProposalReason.BATCHING
        formers = self._previous_views(current, state.confirmed)
        if len(formers) > MAX_PREVIOUS_VIEWS:
            return NoProposalReason.UNCONFIRMED
        carried = frozenset[MemberId]() if state.confirmed else current.gone
        return MemberView(
            ViewNumber(current.number + 1),
            self._members(current, joining, removed),
            formers,
            carried | gone,
            self._outages(current, outages, now_unix_ms),
        )

    def _members_to_join(self, current: MemberView) -> list[ViewMember]:
        present = set(current.names)
        candidates = {**self._joining}
        if self.own_member.member not in self._leaving:
            candidates[self.own_member.member] = self.own_member
        return [
            candidate for name, candidate in candidates.items() if name not in present
        ]

    def _stopped(
        self, current: MemberView, joining: list[ViewMember]
    ) -> frozenset[MemberId]:
        # A process owns its address, so a later start there proves that the previous
        # one stopped. Without this no view could follow after a majority lost power.
        reused_addresses = {member.peer_address for member in joining}
        replaced = {
            member.member
            for member in current.members
            if member.peer_address in reused_addresses
        }
        return frozenset(replaced | (self._leaving & set(current.names)))

    def _confirmed_silent(self, current: MemberView, now_ms: float) -> set[MemberId]:
        domains = {member.member: member.domain for member in current.members}
        multiple_domains = len(set(domains.values())) > 1
        witness_since_ms = now_ms - self._limits.witness_ms
        silent_members: set[MemberId] = set()
        for name in self.list_silent_members(now_ms):
            witnesses = {
                witness
                for witness, at_ms in self._evidence[name].witnesses.items()
                if at_ms > witness_since_ms and witness in domains
            }
            if any(
                not multiple_domains or domains[witness] != self.own_member.domain
                for witness in witnesses
                if witness != self.own_member.member
            ):
                silent_members.add(name)
        # Removing more than a minority would leave no majority of this view to
        # confirm the next one; the next view removes the rest.
        limit = len(current.members) - current.majority
        return set(sorted(silent_members)[:limit])

    def _previous_views(
        self, current: MemberView, confirmed: bool
    ) -> tuple[PreviousView, ...]:
        if not current.members:
            return ()
        carried = () if confirmed else current.formers
        return (*carried, PreviousView(current.number, current.names))

    def _members(
        self, current: MemberView, joining: list[ViewMember], removed: set[MemberId]
    ) -> tuple[ViewMember, ...]:
        kept = [
            view_member
            for view_member in current.members
            if view_member.member not in removed
        ]
        return tuple(
            sorted([*kept, *joining], key=lambda view_member: view_member.member)
        )

    def _has_new_outages(
        self, current: MemberView, outages: Collection[Outage]
    ) -> bool:
        known = {outage.view for outage in current.outages}
        relevant = (
            candidate
            for candidate in outages
            if candidate.view >= current.oldest_previous_view
        )
        return any(outage.view not in known for outage in relevant)

    def _outages(
        self, current: MemberView, outages: Collection[Outage], now_unix_ms: int
    ) -> tuple[Outage, ...]:
        kept_since_unix_ms = now_unix_ms - self._limits.outage_kept_ms
        relevant = [
            candidate
            for candidate in outages
            if candidate.view >= current.oldest_previous_view
        ]
        merged = {outage.view: outage for outage in (*relevant, *current.outages)}
        kept = (
            candidate
            for candidate in merged.values()
            if candidate.ended_unix_ms > kept_since_unix_ms
        )
        return tuple(sorted(kept, key=lambda outage: outage.view))
