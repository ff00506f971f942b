"""Hold what this node knows of the fleet, and whether it may act on it."""

import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

import xxhash

from crocusspindle.clock import now_ms
from crocusspindle.core.directory import Directory
from crocusspindle.core.directory_dump import load
from crocusspindle.core.eligibility import Eligibility, EligibilityLimits
from crocusspindle.core.groups import Group, partition_targets
from crocusspindle.core.members import (
    Membership,
    MembershipLimits,
    MemberView,
    ViewMember,
    encode_view,
)
from crocusspindle.core.model import Customer, KeyState, Target
from crocusspindle.core.ticket_schema import Ticket, encode_ticket
from crocusspindle.core.tickets import TicketLog
from crocusspindle.ids import (
    CustomerId,
    DomainId,
    KeyDigest,
    MemberId,
    ServiceId,
    TicketNumber,
    ViewNumber,
)
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.services.ticket_apply import changes_of
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

TAIL_KEPT: Final = 1_000
"""Applied tickets kept for peers that lag: several hours of an ordinary day. Who
lags further starts from a snapshot."""
NO_TARGETS_MS: Final = 1e12
MISSED_CONTACTS: Final = 6


def unix_ms() -> int:
    """Return the wall clock, for records that people read and coarse ages."""
    return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class Change:
    """Tell what one applied ticket changed, for those who act on it."""

    ticket: Ticket
    withdrawn: tuple[KeyDigest, ...]
    former_limits: Mapping[CustomerId, Customer]
    """What the directory held of the ticket's customers before it."""


class ControlService(Service):
    """Apply views, tickets and host lists, and judge this node's own fitness."""

    name = "control"

    def __init__(self, me: ViewMember, timings: TimingSettings) -> None:
        self.me = me
        self.directory = Directory()
        self.log = TicketLog()
        limits = EligibilityLimits(
            freshness_ms=timings.freshness_ms,
            contact_ms=max(
                timings.heartbeat_ms * MISSED_CONTACTS, timings.freshness_ms
            ),
            failing_ms=timings.freshness_ms,
        )
        self.fitness = Eligibility(me.member, limits)
        self.membership = Membership(
            me,
            MembershipLimits(
                silence_ms=timings.silence_ms,
                witness_ms=timings.heartbeat_ms * MISSED_CONTACTS,
            ),
        )
        self.draining = False
        self.heartbeat_bytes = 0
        self.targets: Mapping[ServiceId, tuple[Target, ...]] = {}
        self.groups: Mapping[ServiceId, tuple[Group, ...]] = {}
        self.targets_digest = 0
        self.targets_read_ms = float("-inf")
        self._tail: dict[TicketNumber, bytes] = {}
        self._was_fit = False
        self._failing = False
        self._on_change: list[Callable[[Change], None]] = []
        self._on_view: list[Callable[[MemberView], None]] = []
        self._on_targets: list[Callable[[], None]] = []
        self._on_behind: Callable[[MemberId], None] = lambda member: None
        self._on_old_targets: Callable[[MemberId], None] = lambda member: None
        self._logger = Logger("control")

    def watch(
        self,
        change: Callable[[Change], None] | None = None,
        view: Callable[[MemberView], None] | None = None,
        targets: Callable[[], None] | None = None,
        behind: Callable[[MemberId], None] | None = None,
        old_targets: Callable[[MemberId], None] | None = None,
    ) -> None:
        """Call back on applied tickets, new views and new host lists.

        ``behind`` is called with a peer that has applied more than this node,
        ``old_targets`` with one that holds a newer host list.
        """
        if change is not None:
            self._on_change.append(change)
        if view is not None:
            self._on_view.append(view)
        if targets is not None:
            self._on_targets.append(targets)
        if behind is not None:
            self._on_behind = behind
        if old_targets is not None:
            self._on_old_targets = old_targets

    @property
    def view(self) -> MemberView | None:
        """Return the agreed member view, or None before the first one."""
        return self.membership.view

    def eligible_until_ms(self) -> float:
        """Return the deadline up to which this node may take new work."""
        return self.fitness.eligible_until_ms(now_ms())

    def is_eligible(self) -> bool:
        """Return True if this node may begin new work now."""
        return now_ms() < self.eligible_until_ms()

    def key_active(self, credential: bytes) -> bool:
        """Return True if the key is still in use."""
        key = self.directory.key(KeyDigest(credential))
        return key is not None and key.state is KeyState.ACTIVE

    def approved(self, service: ServiceId, customer: CustomerId) -> bool:
        """Return True if the service's owner lets the customer call it."""
        return self.directory.approved(service, customer)

    def adopt_view(self, view: MemberView) -> None:
        """Adopt a view unless it is older than the present one."""
        now = now_ms()
        if self.membership.adopt(view, now) is None:
            return
        self.fitness.adopt(view, now)
        log_state_change(
            self._logger, "view adopted", view=view.number, members=len(view.members)
        )
        for call in self._on_view:
            call(view)

    def take_tickets(self, tickets: Iterable[Ticket]) -> None:
        """Apply tickets in order; raise ``TicketConflictError`` on rewritten ones."""
        for offered in tickets:
            for ticket in self.log.offer(offered):
                self._apply(ticket)

    def take_targets(self, targets: Iterable[Target], read_began_ms: float) -> None:
        """Take a host list of the platform, unless a later one is here."""
        if read_began_ms <= self.targets_read_ms:
            return
        self.targets_read_ms = read_began_ms
        targets = sorted(targets, key=lambda target: target.target)
        digest = xxhash.xxh3_64_intdigest(repr(targets).encode())
        if digest == self.targets_digest:
            return
        self.targets_digest = digest
        grouped: dict[ServiceId, list[Target]] = {}
        for target in targets:
            grouped.setdefault(target.service, []).append(target)
        self.targets = {service: tuple(members) for service, members in grouped.items()}
        self.groups = {
            service: partition_targets(service, (target.target for target in members))
            for service, members in grouped.items()
        }
        for call in self._on_targets:
            call()

    def stamped(self, read_began_ms: float) -> None:
        """Note a whole read of the platform whose content is applied."""
        self.fitness.record_read(read_began_ms)
        self._failing = False
        self.note_fitness()

    def platform_failed(self, at_ms: float) -> None:
        """Note that a read of the platform failed."""
        self.fitness.platform_failing(at_ms)
        self._failing = True
        self.note_fitness()

    def note_fitness(self) -> None:
        """Log when this node turns fit or unfit."""
        fit = self.is_eligible()
        if fit == self._was_fit:
            return
        self._was_fit = fit
        reason = self.fitness.reason(now_ms()).value
        log_state_change(self._logger, "fit" if fit else "unfit", reason=reason)

    def standing(self) -> wire.Standing:
        """Return what this node says of itself in a heartbeat."""
        now = now_ms()
        age_ms = self.fitness.stamp_age_ms(now)
        view = self.view
        fit = now < self.fitness.eligible_until_ms(now)
        return wire.Standing(
            view_number=0 if view is None else view.number,
            applied_ticket=self.log.applied,
            draining=self.draining,
            fit=fit,
            unfit_reason="" if fit else self.fitness.reason(now).value,
            has_stamp=age_ms is not None,
            stamp_age_ms=age_ms or 0.0,
            silent=self.membership.silent(now),
            platform_failing=self._failing,
            away=self.fitness.away(now),
            away_views=sorted(self.fitness.away_views(now)),
            targets_digest=self.targets_digest,
            targets_age_ms=min(now - self.targets_read_ms, NO_TARGETS_MS),
        )

    def joining(self) -> wire.Joining | None:
        """Return where this node is while it is not in the view."""
        me, view = self.me, self.view
        if self.draining or view is None or view.find(me.member) is not None:
            return None
        return wire.Joining(
            domain=me.domain,
            region=me.region,
            caller_address=me.caller_address,
            peer_address=me.peer_address,
            joined_unix_ms=me.joined_unix_ms,
        )

    def take_joining(self, member: MemberId, joining: wire.Joining) -> None:
        """Take a new node's wish: one view then takes in all that start at once."""
        self.membership.record_join_request(
            ViewMember(
                member,
                DomainId(joining.domain),
                joining.region,
                joining.caller_address,
                joining.peer_address,
                joining.joined_unix_ms,
            )
        )

    def echoed(self, member: MemberId, standing: wire.Standing, sent_ms: float) -> None:
        """Take a beat of ours that came back, sent at ``sent_ms``."""
        self.record_message(member, standing)
        self.fitness.applied = self.log.applied
        self.fitness.record_echo(
            member,
            ViewNumber(standing.view_number),
            sent_ms,
            applied=standing.applied_ticket,
            away=standing.away,
            away_views=[ViewNumber(view) for view in standing.away_views],
        )
        if standing.platform_failing:
            self.fitness.platform_failing(sent_ms)
        if self._has_newer_targets(standing, sent_ms):
            self._on_old_targets(member)
        if self._behind(standing):
            self._on_behind(member)
        elif standing.has_stamp:
            self.fitness.record_relayed_read(sent_ms, standing.stamp_age_ms)
        self.note_fitness()

    def record_message(self, member: MemberId, standing: wire.Standing) -> None:
        """Take the word of a peer, without proof that it hears us."""
        now = now_ms()
        self.membership.record_message(member, now)
        for silent in standing.silent:
            self.membership.record_silence_report(MemberId(silent), member, now)

    def tail(self, after: TicketNumber, limit: int) -> list[bytes] | None:
        """Return applied tickets after a number, None if no longer kept."""
        if after >= self.log.applied:
            return []
        wanted = range(after + 1, min(self.log.applied, after + limit) + 1)
        found = [self._tail.get(TicketNumber(number)) for number in wanted]
        present = [content for content in found if content is not None]
        return present if len(present) == len(found) else None

    def install(self, number: TicketNumber, content: bytes) -> bool:
        """Start from a snapshot; return False if it is not newer."""
        directory = load(content)
        ready = self.log.install(number)
        if ready is None:
            return False
        self.directory = directory
        for ticket in ready:
            self._apply(ticket)
        return True

    def view_bytes(self) -> bytes:
        """Return the encoded view, empty before the first one."""
        return b"" if self.view is None else encode_view(self.view)

    def _has_newer_targets(self, standing: wire.Standing, sent_ms: float) -> bool:
        """Return True if a peer read another host list later than this node did.

        A list read as old as that says that a peer cannot read it, either.
        """
        if standing.targets_digest == self.targets_digest:
            read_ms = sent_ms - standing.targets_age_ms
            self.targets_read_ms = max(self.targets_read_ms, read_ms)
            return False
        return sent_ms - standing.targets_age_ms > self.targets_read_ms

    def _behind(self, standing: wire.Standing) -> bool:
        view_number = 0 if self.view is None else self.view.number
        return (
            standing.applied_ticket > self.log.applied
            or standing.view_number > view_number
        )

    def _apply(self, ticket: Ticket) -> None:
        former = [
            self.directory.customer(customer.customer)
            for customer in ticket.set.customers
        ]
        change = Change(
            ticket,
            withdrawn=tuple(
                key.digest for key in ticket.set.keys if key.state is KeyState.WITHDRAWN
            )
            + ticket.remove.keys,
            former_limits={held.customer: held for held in former if held},
        )
        self.directory.apply(changes_of(ticket))
        self._tail[ticket.number] = encode_ticket(ticket)
        self._tail.pop(TicketNumber(ticket.number - TAIL_KEPT), None)
        for call in self._on_change:
            call(change)
