"""Decide on the member view: who belongs to the fleet, by numbered agreement.

The view is one row of the platform's table, written on condition of its version.
Peers only give evidence. Views change with restarts (20,000 a day at 5,400 nodes,
one every 4 s); changes are batched, so the table sees well under a write a second.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

import msgpack

from crocusspindle.ids import DomainId, MemberId, ViewNumber

MAX_FORMERS: Final = 16
"""Unconfirmed former views that a view may carry. Without a bound, a fleet that
restarts as a whole would store all its member lists in one row."""


@dataclass(frozen=True, slots=True)
class ViewMember:
    """Describe one member: where it is and where callers and peers reach it."""

    member: MemberId
    domain: DomainId
    region: str
    caller_address: str
    peer_address: str
    joined_unix_ms: int


@dataclass(frozen=True, slots=True)
class Outage:
    """Record that members acted without the platform under a frozen view."""

    view: ViewNumber
    ended_unix_ms: int
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class Former:
    """Hold the members of an earlier view."""

    view: ViewNumber
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class MemberView:
    """Hold one agreed list of members.

    ``formers`` are the views before it which may still have a majority that does
    not know of this one. ``gone`` names members of those lists
    that have certainly stopped: they said so, or a later start has their address.
    """

    number: ViewNumber
    members: tuple[ViewMember, ...]
    formers: tuple[Former, ...] = ()
    gone: frozenset[MemberId] = frozenset()
    outages: tuple[Outage, ...] = ()

    @property
    def names(self) -> tuple[MemberId, ...]:
        """Return the members' names in the order of the view."""
        return tuple(member.member for member in self.members)

    @property
    def majority(self) -> int:
        """Return how many members make a majority."""
        return majority(len(self.members))

    @property
    def outage_ended_unix_ms(self) -> int | None:
        """Return when the last recorded outage ended, None without one."""
        return max((outage.ended_unix_ms for outage in self.outages), default=None)

    @property
    def oldest_former(self) -> ViewNumber:
        """Return the oldest view that members may still act by.

        Outages under older ones were known to whoever wrote this view, and stand in
        it as long as they matter.
        """
        numbers = (former.view for former in self.formers)
        return min(numbers, default=self.number)

    def find(self, member: MemberId) -> ViewMember | None:
        """Return a member by its name, or None."""
        return next((one for one in self.members if one.member == member), None)


def majority(size: int) -> int:
    """Return the smallest count that two disjoint groups cannot both reach."""
    return size // 2 + 1


@dataclass(frozen=True, slots=True)
class ViewDelta:
    """Hold what changes from one view to a later one."""

    base: ViewNumber
    number: ViewNumber
    joined: tuple[ViewMember, ...]
    left: tuple[MemberId, ...]


def diff(former: MemberView, latter: MemberView) -> ViewDelta:
    """Return the members that joined and left between two views."""
    before = set(former.members)
    after = set(latter.names)
    return ViewDelta(
        former.number,
        latter.number,
        tuple(member for member in latter.members if member not in before),
        tuple(name for name in former.names if name not in after),
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
        "formers": [[former.view, former.members] for former in view.formers],
        "gone": sorted(view.gone),
        "outages": [
            [outage.view, outage.ended_unix_ms, outage.members]
            for outage in view.outages
        ],
    }
    return bytes(msgpack.packb(content))


def decode_view(content: bytes) -> MemberView:
    """Decode a view; raises ``ValueError`` when the bytes are not one."""
    try:
        raw: Mapping[str, Any] = msgpack.unpackb(content)
        return MemberView(
            ViewNumber(raw["number"]),
            tuple(ViewMember(*fields) for fields in raw["members"]),
            tuple(Former(view, tuple(members)) for view, members in raw["formers"]),
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

    ``silence_ms`` must exceed an ordinary pause (a collection, a busy host) and the
    freshness time, so that whoever is removed has been unfit by rule 1 before.
    ``outage_kept_ms`` is the retention of operation keys and a margin.
    """

    silence_ms: float = 10_000.0
    witness_ms: float = 5_000.0
    batch_ms: float = 1_000.0
    outage_kept_ms: float = 2 * 3_600_000.0

    def __post_init__(self) -> None:
        if self.witness_ms >= self.silence_ms:
            raise ValueError("witness_ms must be below silence_ms")


class ProposalBar(Enum):
    """Tell why a node proposes no view."""

    UNFIT = "unfit"
    NOTHING_TO_CHANGE = "nothing to change"
    BATCHING = "batching"
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True)
class Standing:
    """Hold what a node knows of itself when it proposes a view.

    ``fit`` is rule 1 (a fresh stamp), ``in_majority`` two-way contact with a
    majority of the current view, ``confirmed`` what ``Fitness.majority_at`` says.
    """

    fit: bool
    in_majority: bool
    confirmed: bool


@dataclass(slots=True)
class _Evidence:
    heard_ms: float
    witnesses: dict[MemberId, float] = field(default_factory=dict)


class Membership:
    """Collect evidence on members and propose the next view.

    Faults: a node that crashed stays in the view and keeps its part of every
    hash order; a node that is cut one way hears nobody and takes all others for
    dead. So a silent member goes only when a node in another failure domain agrees,
    and only by the word of a node that a majority can hear and be heard by.
    """

    def __init__(self, me: ViewMember, limits: MembershipLimits | None = None) -> None:
        self.me = me
        self.view: MemberView | None = None
        self._limits = limits or MembershipLimits()
        self._evidence: dict[MemberId, _Evidence] = {}
        self._joining: dict[MemberId, ViewMember] = {}
        self._leaving: set[MemberId] = set()
        self._adopted_ms = 0.0

    def adopt(self, view: MemberView, now_ms: float) -> ViewDelta | None:
        """Adopt a view unless it is older than or the same as the present one."""
        if self.view is not None and view.number <= self.view.number:
            return None
        base = self.view or MemberView(ViewNumber(0), ())
        self.view = view
        self._adopted_ms = now_ms
        names = set(view.names)
        kept = {name: seen for name, seen in self._evidence.items() if name in names}
        self._evidence = kept
        for name in names:
            self._evidence.setdefault(name, _Evidence(now_ms))
        self._leaving &= names
        for name in names:
            self._joining.pop(name, None)
        return diff(base, view)

    def heard(self, member: MemberId, at_ms: float) -> None:
        """Note a message from a member; it ends every suspicion."""
        evidence = self._evidence.get(member)
        if evidence is None or at_ms < evidence.heard_ms:
            return
        evidence.heard_ms = at_ms
        evidence.witnesses.clear()

    def silent_elsewhere(
        self, member: MemberId, witness: MemberId, at_ms: float
    ) -> None:
        """Note that another node reports a member silent for ``silence_ms``."""
        evidence = self._evidence.get(member)
        if evidence is not None and witness != member:
            evidence.witnesses[witness] = at_ms

    def asks_to_join(self, member: ViewMember) -> None:
        """Note that a new start asks to be put into the view."""
        if self.view is None or self.view.find(member.member) is None:
            self._joining[member.member] = member

    def leaves(self, member: MemberId) -> None:
        """Note a member's own word that it takes no new work and stops."""
        self._leaving.add(member)

    def silent(self, now_ms: float) -> tuple[MemberId, ...]:
        """Return the members that this node has not heard, to tell others."""
        limit_ms = now_ms - self._limits.silence_ms
        return tuple(
            name
            for name, evidence in self._evidence.items()
            if name != self.me.member and evidence.heard_ms <= limit_ms
        )

    def propose(
        self,
        standing: Standing,
        now_ms: float,
        now_unix_ms: int,
        outages: Collection[Outage] = (),
    ) -> MemberView | ProposalBar:
        """Return the next view to write on condition, or why there is none.

        A join, or a leave by the member's own word, needs only a fresh stamp: no
        majority can be formed against those who know it. Taking out silent members
        needs a two-way majority and a confirmed view, else two halves of a cut
        could throw each other out.
        """
        if not standing.fit:
            return ProposalBar.UNFIT
        current = self.view or MemberView(ViewNumber(0), ())
        joining = self._to_join(current)
        gone = self._gone(current, joining)
        removed = set(gone)
        if standing.in_majority and standing.confirmed:
            removed |= self._dead(current, now_ms)
        if not joining and not removed and not self._news(current, outages):
            return ProposalBar.NOTHING_TO_CHANGE
        if now_ms < self._adopted_ms + self._limits.batch_ms and self.view:
            return ProposalBar.BATCHING
        formers = self._formers(current, standing.confirmed)
        if len(formers) > MAX_FORMERS:
            return ProposalBar.UNCONFIRMED
        carried = frozenset[MemberId]() if standing.confirmed else current.gone
        return MemberView(
            ViewNumber(current.number + 1),
            self._members(current, joining, removed),
            formers,
            carried | gone,
            self._outages(current, outages, now_unix_ms),
        )

    def _to_join(self, current: MemberView) -> list[ViewMember]:
        present = set(current.names)
        candidates = {**self._joining}
        if self.me.member not in self._leaving:
            candidates[self.me.member] = self.me
        return [one for name, one in candidates.items() if name not in present]

    def _gone(
        self, current: MemberView, joining: list[ViewMember]
    ) -> frozenset[MemberId]:
        # One process owns an address: a later start there proves that the former
        # one is dead. Without this, a power cut that takes a majority down would
        # leave a view that nobody may change.
        taken = {member.peer_address for member in joining}
        succeeded = {
            member.member for member in current.members if member.peer_address in taken
        }
        return frozenset(succeeded | (self._leaving & set(current.names)))

    def _dead(self, current: MemberView, now_ms: float) -> set[MemberId]:
        domains = {member.member: member.domain for member in current.members}
        several = len(set(domains.values())) > 1
        since_ms = now_ms - self._limits.witness_ms
        dead: set[MemberId] = set()
        for name in self.silent(now_ms):
            witnesses = {
                witness
                for witness, at_ms in self._evidence[name].witnesses.items()
                if at_ms > since_ms and witness in domains
            }
            if any(
                not several or domains[witness] != self.me.domain
                for witness in witnesses
                if witness != self.me.member
            ):
                dead.add(name)
        # More than a minority at once would leave no majority of the present view
        # to confirm the next one; the rest goes with the view after it.
        limit = len(current.members) - current.majority
        return set(sorted(dead)[:limit])

    def _formers(self, current: MemberView, confirmed: bool) -> tuple[Former, ...]:
        if not current.members:
            return ()
        carried = () if confirmed else current.formers
        return (*carried, Former(current.number, current.names))

    def _members(
        self, current: MemberView, joining: list[ViewMember], removed: set[MemberId]
    ) -> tuple[ViewMember, ...]:
        kept = [one for one in current.members if one.member not in removed]
        return tuple(sorted([*kept, *joining], key=lambda one: one.member))

    def _news(self, current: MemberView, outages: Collection[Outage]) -> bool:
        known = {outage.view for outage in current.outages}
        late = (one for one in outages if one.view >= current.oldest_former)
        return any(outage.view not in known for outage in late)

    def _outages(
        self, current: MemberView, outages: Collection[Outage], now_unix_ms: int
    ) -> tuple[Outage, ...]:
        since = now_unix_ms - self._limits.outage_kept_ms
        late = [one for one in outages if one.view >= current.oldest_former]
        merged = {outage.view: outage for outage in (*late, *current.outages)}
        kept = (one for one in merged.values() if one.ended_unix_ms > since)
        return tuple(sorted(kept, key=lambda outage: outage.view))
