"""Decide acceptance, application order and completion of change tickets.

Handles 7,400 tickets a day and bursts from several operators at once. Skipped,
reordered or rewritten tickets would let two nodes hold different states, or
reactivate a withdrawn key.
"""

from collections import OrderedDict
from collections.abc import Collection, Mapping
from enum import Enum
from typing import Final, Protocol

from crocusspindle.core.members import MemberView
from crocusspindle.core.ticket_schema import Ticket, content_hash
from crocusspindle.errors import Finding, TicketConflictError
from crocusspindle.ids import (
    CustomerId,
    KeyDigest,
    MemberId,
    ServiceId,
    TicketNumber,
)

MAX_HASHES: Final = 8_192
"""Applied tickets whose content hash is kept: a day's at 7,400 tickets a day."""

MAX_PENDING: Final = 1_024
"""Tickets kept behind a gap. With 10,000 entries each, more would exceed a node's
memory; a dropped ticket is read again after those before it are applied."""

MAX_MISSING: Final = 256
"""Numbers returned by one ``missing`` call, so that a long gap is read in pages."""


class ReferenceLookup(Protocol):
    """Query the configuration that the checked ticket will be applied to."""

    def has_customer(self, customer: CustomerId) -> bool:
        """Return True if the customer is configured."""

    def has_service(self, service: ServiceId) -> bool:
        """Return True if the service is configured."""

    def key_customer(self, digest: KeyDigest) -> CustomerId | None:
        """Return the customer that an active or withdrawn key is bound to."""

    def route_prefixes(self, service: ServiceId) -> Collection[str]:
        """Return the route prefixes that point to a service."""


def check_references(
    ticket: Ticket, directory: ReferenceLookup, source: str = "ticket"
) -> tuple[Finding, ...]:
    """Return a finding for each reference that the ticket would leave dangling."""
    customers = {customer.customer for customer in ticket.set.customers}
    services = {service.service for service in ticket.set.services}

    def lacks_customer(customer: CustomerId) -> bool:
        if customer in customers:
            return False
        removed = customer in ticket.remove.customers
        return removed or not directory.has_customer(customer)

    def lacks_service(service: ServiceId) -> bool:
        if service in services:
            return False
        removed = service in ticket.remove.services
        return removed or not directory.has_service(service)

    found: list[Finding] = []
    for key in ticket.set.keys:
        path = f"keys.{key.digest.hex()}"
        if lacks_customer(key.customer):
            found.append(_unknown(source, path, "customer", key.customer))
        bound = directory.key_customer(key.digest)
        if bound not in (None, key.customer):
            message = f"key is bound to customer {bound!r} and cannot be rebound"
            found.append(Finding(source, path, message))
    for route in ticket.set.routes:
        if lacks_service(route.service):
            path = f"routes.{route.prefix}"
            found.append(_unknown(source, path, "service", route.service))
    for approval in ticket.set.approvals:
        path = f"approvals.{approval.service}.{approval.customer}"
        if lacks_service(approval.service):
            found.append(_unknown(source, path, "service", approval.service))
        if lacks_customer(approval.customer):
            found.append(_unknown(source, path, "customer", approval.customer))
    found.extend(_removal_findings(ticket, directory, source))
    return tuple(found)


def _removal_findings(
    ticket: Ticket, directory: ReferenceLookup, source: str
) -> list[Finding]:
    found = [
        _unknown(source, f"customers.{customer}", "customer", customer)
        for customer in ticket.remove.customers
        if not directory.has_customer(customer)
    ]
    moved = {route.prefix for route in ticket.set.routes}
    moved.update(ticket.remove.routes)
    for service in ticket.remove.services:
        path = f"services.{service}"
        if not directory.has_service(service):
            found.append(_unknown(source, path, "service", service))
        remaining = sorted(set(directory.route_prefixes(service)) - moved)
        if remaining:
            message = f"routes {', '.join(remaining)} still point to it"
            found.append(Finding(source, path, message))
    return found


def _unknown(source: str, path: str, kind: str, name: str) -> Finding:
    return Finding(source, path, f"{kind} {name!r} is not configured")


class TicketLog:
    """Track the applied tickets and return those to apply next.

    Stale snapshots, delayed gossip and repeated reads all arrive through ``offer`` and
    ``install``; neither ever moves backwards or skips a gap.
    """

    def __init__(self) -> None:
        self.applied = TicketNumber(0)
        self.head_seen = TicketNumber(0)
        self._hashes: OrderedDict[TicketNumber, bytes] = OrderedDict()
        self._pending: dict[TicketNumber, Ticket] = {}

    @property
    def next_number(self) -> TicketNumber:
        """Return the number that the next submitted ticket must have."""
        return TicketNumber(self.head_seen + 1)

    def record_head(self, number: TicketNumber) -> None:
        """Record that the platform or a peer has tickets up to a number."""
        self.head_seen = max(self.head_seen, number)

    def offer(self, ticket: Ticket) -> list[Ticket]:
        """Accept a ticket and return the tickets to apply now, in order.

        Raises ``TicketConflictError`` if the number is known with different content:
        table rows are never rewritten, so one of the two was never accepted. A pending
        ticket is then dropped and read again; a conflict with an applied one is a fault
        that an operator must see.
        """
        self.record_head(ticket.number)
        if ticket.number <= self.applied:
            self._check_applied(ticket)
            return []
        pending = self._pending.get(ticket.number)
        if pending is not None and pending != ticket:
            del self._pending[ticket.number]
            raise TicketConflictError(_conflict_message(ticket.number, "waiting"))
        self._pending[ticket.number] = ticket
        ready = self._pop_ready()
        self._trim_pending()
        return ready

    def install(self, number: TicketNumber) -> list[Ticket] | None:
        """Install a snapshot of the state after a ticket.

        Returns None if the snapshot is not newer than the applied state and must not be
        loaded, otherwise the pending tickets to apply after it.
        """
        if number <= self.applied:
            return None
        self.applied = number
        self.record_head(number)
        self._hashes.clear()
        for waiting in [
            pending_number
            for pending_number in self._pending
            if pending_number <= number
        ]:
            del self._pending[waiting]
        return self._pop_ready()

    def missing(self) -> list[TicketNumber]:
        """Return the lowest missing numbers, at most ``MAX_MISSING``."""
        found: list[TicketNumber] = []
        number = TicketNumber(self.applied + 1)
        while number <= self.head_seen and len(found) < MAX_MISSING:
            if number not in self._pending:
                found.append(number)
            number = TicketNumber(number + 1)
        return found

    def applied_hash(self, number: TicketNumber) -> bytes | None:
        """Return the content hash of an applied ticket, or None once discarded."""
        return self._hashes.get(number)

    def _check_applied(self, ticket: Ticket) -> None:
        known = self._hashes.get(ticket.number)
        if known is not None and known != content_hash(ticket):
            raise TicketConflictError(_conflict_message(ticket.number, "applied"))

    def _pop_ready(self) -> list[Ticket]:
        ready = []
        while ticket := self._pending.pop(TicketNumber(self.applied + 1), None):
            self.applied = ticket.number
            self._hashes[ticket.number] = content_hash(ticket)
            ready.append(ticket)
        while len(self._hashes) > MAX_HASHES:
            self._hashes.popitem(last=False)
        return ready

    def _trim_pending(self) -> None:
        while len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]


def _conflict_message(number: TicketNumber, state: str) -> str:
    return f"ticket {number} differs from the one {state} under its number"


class SubmissionStep(Enum):
    """Name the next step of a submission."""

    READ_PREDECESSOR = "read predecessor"
    PUT = "put"
    READ_BACK = "read back"
    DONE = "done"


class SubmissionOutcome(Enum):
    """Name the result of a submission, as reported to the operator."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    GAP = "gap"
    NOT_WRITTEN = "not written"
    UNKNOWN = "unknown"


class Submission:
    """Write one ticket to the table despite lost responses and concurrent writers.

    If the response to the insertion is lost after the row was written, the operator
    gets an error and resubmits the ticket, which must not be reported as a conflict.
    Reading the row back and comparing content hashes tells the two cases apart.
    """

    MAX_CALLS: Final = 6
    """Failed platform calls per submission. At a second each, an operator waits less
    than the 17 s within which a change should be in force."""

    def __init__(self, ticket: Ticket, deadline_ms: float) -> None:
        self.ticket = ticket
        self.step = SubmissionStep.READ_PREDECESSOR
        self.outcome: SubmissionOutcome | None = None
        self._hash = content_hash(ticket)
        self._deadline_ms = deadline_ms
        self._failures = 0
        self._maybe_written = False
        if ticket.number == 1:
            self.step = SubmissionStep.PUT

    def predecessor_read(self, present: bool) -> None:
        """Record whether the previous row exists; rows are never deleted."""
        if not present:
            self._end(SubmissionOutcome.GAP)
            return
        self.step = SubmissionStep.PUT

    def put_applied(self) -> None:
        """Record that this call inserted the row."""
        self._end(SubmissionOutcome.ACCEPTED)

    def row_found(self, found_hash: bytes) -> None:
        """Record the content hash of the row that a put or a read found."""
        same = found_hash == self._hash
        self._end(SubmissionOutcome.ACCEPTED if same else SubmissionOutcome.CONFLICT)

    def row_absent(self) -> None:
        """Record that reading back found no row; the write may still be in flight."""
        self.step = SubmissionStep.PUT

    def call_unavailable(self, now_ms: float) -> None:
        """Record that the current step's call certainly had no effect."""
        self._failed(now_ms)

    def call_unknown(self, now_ms: float) -> None:
        """Record that the current step's call may have taken effect."""
        if self.step is SubmissionStep.PUT:
            self._maybe_written = True
            self.step = SubmissionStep.READ_BACK
        self._failed(now_ms)

    def _failed(self, now_ms: float) -> None:
        self._failures += 1
        if self._failures < self.MAX_CALLS and now_ms < self._deadline_ms:
            return
        # A write whose response was lost can take effect after any number of reads
        # that missed it, so a later definite failure does not clear this flag.
        unknown = self._maybe_written
        self._end(
            SubmissionOutcome.UNKNOWN if unknown else SubmissionOutcome.NOT_WRITTEN
        )

    def _end(self, outcome: SubmissionOutcome) -> None:
        self.outcome = outcome
        self.step = SubmissionStep.DONE


def in_force(
    number: TicketNumber,
    confirmations: Mapping[MemberId, TicketNumber],
    view: MemberView,
    ineligible: Collection[MemberId],
) -> bool:
    """Return True if no member of the view serves from an older state.

    ``confirmations`` has the last ticket that each member reports as applied.
    ``ineligible`` has the members that the calling node assumes to refuse new work,
    since their last freshness timestamp has expired by its clock.
    """
    return all(
        confirmations.get(member.member, 0) >= number or member.member in ineligible
        for member in view.members
    )
