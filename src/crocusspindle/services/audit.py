"""Store the audit trail of changes in the platform's table."""

import json
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.ticket_schema import Ticket, decode_ticket, encode_ticket
from crocusspindle.errors import PlatformError
from crocusspindle.ids import TicketNumber
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform.adapter import ABSENT, Platform
from crocusspindle.services.follower import TICKETS, ticket_key
from crocusspindle.services.operator_api import AuditEntry
from crocusspindle.settings_schema import Principal

AUDIT_TABLE: Final = "audit"
CHANGED_KINDS: Final = ("customers", "keys", "services", "routes", "approvals")


class AuditTrail:
    """Write and read audit entries: who changed what, and when."""

    def __init__(self, platform: Platform, timeout_ms: float) -> None:
        self._platform = platform
        self._timeout_ms = timeout_ms
        self._logger = Logger("audit")

    async def write(
        self,
        ticket: Ticket,
        principal: Principal,
        before: Mapping[str, Any],
        when_unix_ms: float,
    ) -> None:
        """Write the audit entry of an accepted ticket.

        The ticket stays valid if this fails, so the failure is logged and not reported
        to the operator; ``read`` then derives the entry from the ticket.
        """
        fields = {
            "who": principal.name,
            "when_unix_ms": when_unix_ms,
            "touched": touched(ticket),
            "before": before,
            "after": _after(ticket),
        }
        key, value = ticket_key(ticket.number), json.dumps(fields).encode()
        try:
            await self._platform.put(
                AUDIT_TABLE, key, value, ABSENT, self._deadline_ms()
            )
        except PlatformError as error:
            log_state_change(
                self._logger, "audit missing", number=ticket.number, error=str(error)
            )

    async def read(
        self, after: TicketNumber, limit: int, in_force: Callable[[TicketNumber], bool]
    ) -> Sequence[AuditEntry]:
        """Return the entries of all tickets above ``after``, in order.

        The node that accepted a ticket may crash before it writes the entry. The
        author and the changes then come from the ticket, so no change is missing from
        the trail; the time of the change and the state before it are unknown.
        """
        start = ticket_key(after)
        tickets = await self._platform.read_range(
            TICKETS, start, limit, self._deadline_ms()
        )
        rows = await self._platform.read_range(
            AUDIT_TABLE, start, limit, self._deadline_ms()
        )
        written = {row.key: json.loads(row.value) for row in rows}
        entries = []
        for row in tickets:
            ticket = decode_ticket(row.value)
            fields = written.get(row.key) or _from_ticket(ticket)
            number = ticket.number
            entries.append(
                AuditEntry(number=number, in_force=in_force(number), **fields)
            )
        return entries

    def _deadline_ms(self) -> float:
        return now_ms() + self._timeout_ms


def touched(ticket: Ticket) -> tuple[str, ...]:
    """Return the names of everything that a ticket sets or removes."""
    names = []
    for kind, entries in _after(ticket).items():
        if kind != "approvals":
            names += [f"{kind}.{name}" for name in entries]
            continue
        for service, customers in entries.items():
            names += [f"approvals.{service}.{customer}" for customer in customers]
    return tuple(names)


def _after(ticket: Ticket) -> dict[str, Any]:
    content = json.loads(encode_ticket(ticket))
    return {kind: content[kind] for kind in CHANGED_KINDS}


def _from_ticket(ticket: Ticket) -> dict[str, Any]:
    return {
        "who": ticket.author,
        "when_unix_ms": None,
        "touched": touched(ticket),
        "before": None,
        "after": _after(ticket),
    }
