"""Hold this node's state of the fleet and its eligibility for new work."""

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

MAX_KEPT_TICKETS: Final = 1_000
"""Applied tickets kept for lagging peers: several hours of an ordinary day. A peer that
lags further reads the log from the platform."""
# Reported before the first host list is read, when its age is infinite.
MAX_TARGETS_AGE_MS: Final = 1e12
CONTACT_HEARTBEATS: Final = 6


def unix_ms() -> int:
    """Return the wall clock, for records read by people and for coarse ages."""
    return time.time_ns() // 1_000_000


@dataclass(frozen=True)
class AppliedTicket:
    """Describe what one applied ticket changed, for the callbacks of ``watch``."""

    ticket: Ticket
    withdrawn: tuple[KeyDigest, ...]
    previous_customers: Mapping[CustomerId, Customer]
    """The customers of the ticket as the directory held them before it."""


class ControlService(Service):
    """Apply views, tickets and host lists; track this node's eligibility."""

    name = "control"

    def __init__(self, own_member: ViewMember, timings: TimingSettings) -> None:
        self.own_member = own_member
        self.directory = Directory()
        self.log = TicketLog()
        limits = EligibilityLimits(
            freshness_ms=timings.freshness_ms,
            contact_ms=max(
                timings.heartbeat_ms * CONTACT_HEARTBEATS, timings.freshness_ms
            ),
            failing_ms=timings.freshness_ms,
        )
        self.node_eligibility = Eligibility(own_member.member, limits)
        self.membership = Membership(
            own_member,
            MembershipLimits(
                silence_ms=timings.silence_ms,
                witness_ms=timings.heartbeat_ms * CONTACT_HEARTBEATS,
            ),
        )
        self.draining = False
        self.heartbeat_bytes = 0
        self.targets: Mapping[ServiceId, tuple[Target, ...]] = {}
        self.groups: Mapping[ServiceId, tuple[Group, ...]] = {}
        self.targets_digest = 0
        self.targets_read_ms = float("-inf")
        self._tail: dict[TicketNumber, bytes] = {}
        self._was_eligible = False
        self._is_platform_failing = False
        self._on_change: list[Callable[[AppliedTicket], None]] = []
        self._on_view: list[Callable[[MemberView], None]] = []
        self._on_targets: list[Callable[[], None]] = []
        self._on_newer_peer: Callable[[MemberId], None] = lambda member: None
        self._on_newer_targets: Callable[[MemberId], None] = lambda member: None
        self._logger = Logger("control")

    def watch(
        self,
        change: Callable[[AppliedTicket], None] | None = None,
        view: Callable[[MemberView], None] | None = None,
        targets: Callable[[], None] | None = None,
        newer_peer: Callable[[MemberId], None] | None = None,
        newer_targets: Callable[[MemberId], None] | None = None,
    ) -> None:
        """Register callbacks for applied tickets, new views and new host lists.

        ``newer_peer`` is called with a peer that has applied later tickets or views
        than this node, ``newer_targets`` with one that holds a newer host list.
        """
        if change is not None:
            self._on_change.append(change)
        if view is not None:
            self._on_view.append(view)
        if targets is not None:
            self._on_targets.append(targets)
        if newer_peer is not None:
            self._on_newer_peer = newer_peer
        if newer_targets is not None:
            self._on_newer_targets = newer_targets

    @property
    def view(self) -> MemberView | None:
        """Return the agreed member view, or None before the first one."""
        return self.membership.view

    def eligible_until_ms(self) -> float:
        """Return the deadline until which this node may take new work."""
        return self.node_eligibility.eligible_until_ms(now_ms())

    def is_eligible(self) -> bool:
        """Return True if this node may begin new work now."""
        return now_ms() < self.eligible_until_ms()

    def key_active(self, credential: bytes) -> bool:
        """Return True if the key is known and not withdrawn."""
        key = self.directory.key(KeyDigest(credential))
        return key is not None and key.state is KeyState.ACTIVE

    def approved(self, service: ServiceId, customer: CustomerId) -> bool:
        """Return True if the service's owner approved the customer."""
        return self.directory.approved(service, customer)

    def adopt_view(self, view: MemberView) -> None:
        """Adopt a view unless it is older than the current one."""
        now = now_ms()
        if self.membership.adopt(view, now) is None:
            return
        self.node_eligibility.adopt(view, now)
        log_state_change(
            self._logger, "view adopted", view=view.number, members=len(view.members)
        )
        for call in self._on_view:
            call(view)

    def apply_tickets(self, tickets: Iterable[Ticket]) -> None:
        """Apply tickets in order.

        Raises ``TicketConflictError`` for a number that holds other content.
        """
        for offered in tickets:
            for ticket in self.log.offer(offered):
                self._apply(ticket)

    def update_targets(self, targets: Iterable[Target], read_began_ms: float) -> None:
        """Replace the host list unless the present one was read later."""
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
        self.targets = {service: tuple(listed) for service, listed in grouped.items()}
        self.groups = {
            service: partition_targets(service, (target.target for target in listed))
            for service, listed in grouped.items()
        }
        for call in self._on_targets:
            call()

    def record_platform_read(self, read_began_ms: float) -> None:
        """Record a complete read of the platform whose content is applied."""
        self.node_eligibility.record_read(read_began_ms)
        self._is_platform_failing = False
        self.log_eligibility_change()

    def record_platform_failure(self, at_ms: float) -> None:
        """Record that a read of the platform failed."""
        self.node_eligibility.record_platform_failure(at_ms)
        self._is_platform_failing = True
        self.log_eligibility_change()

    def log_eligibility_change(self) -> None:
        """Log a change of this node's eligibility."""
        is_eligible = self.is_eligible()
        if is_eligible == self._was_eligible:
            return
        self._was_eligible = is_eligible
        reason = self.node_eligibility.reason(now_ms()).value
        log_state_change(self._logger, "fit" if is_eligible else "unfit", reason=reason)

    def standing(self) -> wire.Standing:
        """Return the state that this node reports in a heartbeat."""
        now = now_ms()
        age_ms = self.node_eligibility.timestamp_age_ms(now)
        view = self.view
        is_eligible = now < self.node_eligibility.eligible_until_ms(now)
        return wire.Standing(
            view_number=0 if view is None else view.number,
            applied_ticket=self.log.applied,
            draining=self.draining,
            fit=is_eligible,
            unfit_reason="" if is_eligible else self.node_eligibility.reason(now).value,
            has_stamp=age_ms is not None,
            stamp_age_ms=age_ms or 0.0,
            silent=self.membership.list_silent_members(now),
            platform_failing=self._is_platform_failing,
            away=self.node_eligibility.has_lost_platform(now),
            away_views=sorted(self.node_eligibility.outage_views(now)),
            targets_digest=self.targets_digest,
            targets_age_ms=min(now - self.targets_read_ms, MAX_TARGETS_AGE_MS),
        )

    def joining(self) -> wire.Joining | None:
        """Return this node's request to join the view, or None if it makes none."""
        own_member, view = self.own_member, self.view
        if self.draining or view is None or view.find(own_member.member) is not None:
            return None
        return wire.Joining(
            domain=own_member.domain,
            region=own_member.region,
            caller_address=own_member.caller_address,
            peer_address=own_member.peer_address,
            joined_unix_ms=own_member.joined_unix_ms,
        )

    def receive_join_request(self, member: MemberId, joining: wire.Joining) -> None:
        """Record a new node's request; one view admits all nodes that start at once."""
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

    def receive_echo(
        self, member: MemberId, standing: wire.Standing, sent_ms: float
    ) -> None:
        """Record a peer's echo of this node's heartbeat of ``sent_ms``."""
        self.record_message(member, standing)
        self.node_eligibility.applied = self.log.applied
        self.node_eligibility.record_echo(
            member,
            ViewNumber(standing.view_number),
            sent_ms,
            applied=standing.applied_ticket,
            away=standing.away,
            away_views=[ViewNumber(view) for view in standing.away_views],
        )
        if standing.platform_failing:
            self.node_eligibility.record_platform_failure(sent_ms)
        if self._has_newer_targets(standing, sent_ms):
            self._on_newer_targets(member)
        if self._is_behind(standing):
            self._on_newer_peer(member)
        elif standing.has_stamp:
            self.node_eligibility.record_relayed_read(sent_ms, standing.stamp_age_ms)
        self.log_eligibility_change()

    def record_message(self, member: MemberId, standing: wire.Standing) -> None:
        """Record a peer's state from a message that does not prove two-way contact."""
        now = now_ms()
        self.membership.record_message(member, now)
        for silent in standing.silent:
            self.membership.record_silence_report(MemberId(silent), member, now)

    def tail(self, after: TicketNumber, limit: int) -> list[bytes] | None:
        """Return applied tickets after a number, or None if any is no longer kept."""
        if after >= self.log.applied:
            return []
        numbers = range(after + 1, min(self.log.applied, after + limit) + 1)
        contents = [self._tail.get(TicketNumber(number)) for number in numbers]
        present = [content for content in contents if content is not None]
        return present if len(present) == len(contents) else None

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

        Equal lists share the later read time. Another list that was read earlier is
        ignored.
        """
        if standing.targets_digest == self.targets_digest:
            read_ms = sent_ms - standing.targets_age_ms
            self.targets_read_ms = max(self.targets_read_ms, read_ms)
            return False
        return sent_ms - standing.targets_age_ms > self.targets_read_ms

    def _is_behind(self, standing: wire.Standing) -> bool:
        view_number = 0 if self.view is None else self.view.number
        return (
            standing.applied_ticket > self.log.applied
            or standing.view_number > view_number
        )

    def _apply(self, ticket: Ticket) -> None:
        previous = [
            self.directory.customer(customer.customer)
            for customer in ticket.set.customers
        ]
        change = AppliedTicket(
            ticket,
            withdrawn=tuple(
                key.digest for key in ticket.set.keys if key.state is KeyState.WITHDRAWN
            )
            + ticket.remove.keys,
            previous_customers={old.customer: old for old in previous if old},
        )
        self.directory.apply(changes_of(ticket))
        self._tail[ticket.number] = encode_ticket(ticket)
        self._tail.pop(TicketNumber(ticket.number - MAX_KEPT_TICKETS), None)
        for call in self._on_change:
            call(change)
