"""Decide on change tickets: acceptance, order of application, being in force.

Load: 7,400 tickets a day, and bursts of several operators at once. The harm to
prevent is a fleet in which two nodes hold different states, or in which a
withdrawn key comes back, because tickets were skipped, reordered or rewritten.
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

KEPT_HASHES: Final = 8_192
"""Applied tickets whose content can still be compared: a day's at 7,400."""

MAX_PENDING: Final = 1_024
"""Tickets held behind a gap: 10,000 entries each would not fit a node otherwise;
what is dropped here is asked for again by ``missing``."""

MAX_ASKED: Final = 256
"""Numbers named by one ``missing`` call, so that a long gap is read in pages."""


class DirectoryView(Protocol):
    """Show what is configured after the ticket before the checked one."""

    def has_customer(self, customer: CustomerId) -> bool:
        """Return True if the customer is configured."""

    def has_service(self, service: ServiceId) -> bool:
        """Return True if the service is configured."""

    def key_customer(self, digest: KeyDigest) -> CustomerId | None:
        """Return the customer that a key is bound to, withdrawn or not."""

    def route_prefixes(self, service: ServiceId) -> Collection[str]:
        """Return the prefixes that lead to a service."""


def references_check(
    ticket: Ticket, directory: DirectoryView, source: str = "ticket"
) -> tuple[Finding, ...]:
    """Return a finding for each reference to something that would not exist."""
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
            message = f"key is bound to customer {bound!r} for good"
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
    ticket: Ticket, directory: DirectoryView, source: str
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
        left = sorted(set(directory.route_prefixes(service)) - moved)
        if left:
            message = f"routes {', '.join(left)} still lead to it"
            found.append(Finding(source, path, message))
    return found


def _unknown(source: str, path: str, kind: str, name: str) -> Finding:
    return Finding(source, path, f"{kind} {name!r} is not configured")


class TicketLog:
    """Hold what this node has applied, and give out what to apply next.

    Stale snapshots, late gossip and repeated reads all end in ``offer`` and
    ``install``; neither ever moves backwards or over a gap.
    """

    def __init__(self) -> None:
        self.applied = TicketNumber(0)
        self.head_seen = TicketNumber(0)
        self._hashes: OrderedDict[TicketNumber, bytes] = OrderedDict()
        self._pending: dict[TicketNumber, Ticket] = {}

    @property
    def next_number(self) -> TicketNumber:
        """Return the number that the next ticket has to carry."""
        return TicketNumber(self.head_seen + 1)

    def saw_head(self, number: TicketNumber) -> None:
        """Note that the platform or a peer holds tickets up to a number."""
        self.head_seen = max(self.head_seen, number)

    def offer(self, ticket: Ticket) -> list[Ticket]:
        """Take a ticket in and return those to apply now, in order.

        Raises ``TicketConflictError`` when the number is known with other content:
        the table never rewrites a row, so one of the two was never accepted. A
        pending one is then dropped and read again; an applied one is a fault that
        an operator has to see.
        """
        self.saw_head(ticket.number)
        if ticket.number <= self.applied:
            self._check_applied(ticket)
            return []
        pending = self._pending.get(ticket.number)
        if pending is not None and pending != ticket:
            del self._pending[ticket.number]
            raise TicketConflictError(_conflict(ticket.number, "waiting"))
        self._pending[ticket.number] = ticket
        ready = self._drain()
        self._bound_pending()
        return ready

    def install(self, number: TicketNumber) -> list[Ticket] | None:
        """Adopt a snapshot of the state after a ticket.

        Returns None when the snapshot is older than what is applied and must not be
        loaded, else the waiting tickets to apply after it.
        """
        if number <= self.applied:
            return None
        self.applied = number
        self.saw_head(number)
        self._hashes.clear()
        for waiting in [kept for kept in self._pending if kept <= number]:
            del self._pending[waiting]
        return self._drain()

    def missing(self) -> list[TicketNumber]:
        """Return the lowest numbers to ask for, at most ``MAX_ASKED``."""
        found: list[TicketNumber] = []
        number = TicketNumber(self.applied + 1)
        while number <= self.head_seen and len(found) < MAX_ASKED:
            if number not in self._pending:
                found.append(number)
            number = TicketNumber(number + 1)
        return found

    def applied_hash(self, number: TicketNumber) -> bytes | None:
        """Return the content hash of an applied ticket while it is kept."""
        return self._hashes.get(number)

    def _check_applied(self, ticket: Ticket) -> None:
        known = self._hashes.get(ticket.number)
        if known is not None and known != content_hash(ticket):
            raise TicketConflictError(_conflict(ticket.number, "applied"))

    def _drain(self) -> list[Ticket]:
        ready = []
        while ticket := self._pending.pop(TicketNumber(self.applied + 1), None):
            self.applied = ticket.number
            self._hashes[ticket.number] = content_hash(ticket)
            ready.append(ticket)
        while len(self._hashes) > KEPT_HASHES:
            self._hashes.popitem(last=False)
        return ready

    def _bound_pending(self) -> None:
        while len(self._pending) > MAX_PENDING:
            del self._pending[max(self._pending)]


def _conflict(number: TicketNumber, state: str) -> str:
    return f"ticket {number} differs from the one {state} under its number"


class SubmissionStep(Enum):
    """Tell the driver of a submission what to do next."""

    READ_PREDECESSOR = "read predecessor"
    PUT = "put"
    READ_BACK = "read back"
    DONE = "done"


class SubmissionOutcome(Enum):
    """Tell the operator what became of a ticket."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    GAP = "gap"
    NOT_WRITTEN = "not written"
    UNKNOWN = "unknown"


class Submission:
    """Lead one ticket into the table through lost answers and rivals.

    Fault: the answer of the insertion is lost after the row was written. An
    operator who then gets an error repeats the ticket and must not be told that
    somebody else took the number. Reading the row back and comparing content
    hashes tells the two apart.
    """

    MAX_CALLS: Final = 6
    """Platform calls that may fail in one submission: with a second each, an
    operator waits no longer than the 17 s in which a change should be in force."""

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
        """Note whether the row before exists; rows are never deleted."""
        if not present:
            self._end(SubmissionOutcome.GAP)
            return
        self.step = SubmissionStep.PUT

    def put_applied(self) -> None:
        """Note that the row was inserted by this call."""
        self._end(SubmissionOutcome.ACCEPTED)

    def row_found(self, found_hash: bytes) -> None:
        """Note the content of the row that a put met or a read returned."""
        same = found_hash == self._hash
        self._end(SubmissionOutcome.ACCEPTED if same else SubmissionOutcome.CONFLICT)

    def row_absent(self) -> None:
        """Note that a read back found no row; the write may still be on its way."""
        self.step = SubmissionStep.PUT

    def call_unavailable(self, now_ms: float) -> None:
        """Note that the present step's call certainly had no effect."""
        self._failed(now_ms)

    def call_unknown(self, now_ms: float) -> None:
        """Note that the present step's call may have had its effect."""
        if self.step is SubmissionStep.PUT:
            self._maybe_written = True
            self.step = SubmissionStep.READ_BACK
        self._failed(now_ms)

    def _failed(self, now_ms: float) -> None:
        self._failures += 1
        if self._failures < self.MAX_CALLS and now_ms < self._deadline_ms:
            return
        # A write whose answer was lost can land after any number of reads that did
        # not show it, so a later certain failure never turns this back.
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
    unfit: Collection[MemberId],
) -> bool:
    """Return True if no member of the view serves by an older state.

    ``confirmations`` gives the last ticket that each member says it has applied;
    ``unfit`` names those known to refuse new work, by their own word or because
    their last stamp has run out on the clock of the node that asks.
    """
    return all(
        confirmations.get(member.member, 0) >= number or member.member in unfit
        for member in view.members
    )
