"""Define what the operator port asks of the node behind it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from crocusspindle.ids import ServiceId, TicketNumber
from crocusspindle.settings_schema import Principal


class TouchKind(Enum):
    """Tell what a part of a ticket changes, as far as rights depend on it."""

    APPROVAL_GIVEN = "approval-given"
    APPROVAL_WITHDRAWN = "approval-withdrawn"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Touch:
    """Name one thing that a ticket changes and its place in the document.

    ``service`` is set for approvals, ``approved_by`` for those that are given.
    """

    kind: TouchKind
    path: str
    service: ServiceId | None = None
    line: int = 0
    approved_by: str | None = None


@dataclass(frozen=True, slots=True)
class TicketSummary:
    """Tell what a well-formed ticket would change."""

    number: TicketNumber
    sha256: str
    touches: tuple[Touch, ...]


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Tell that a ticket is recorded; ``repeated`` if it already was."""

    number: TicketNumber
    sha256: str
    repeated: bool


@dataclass(frozen=True, slots=True)
class TicketRecord:
    """Describe a recorded ticket and how far it has come.

    ``waiting_for`` names live members that have not confirmed it yet.
    """

    number: TicketNumber
    sha256: str
    submitted_by: str
    in_force: bool
    waiting_for: tuple[str, ...]
    document: str


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Record one change: who, when, what it touched, before and after.

    Entries are numbered by their ticket; they hold digests, never keys. None stands
    for what was lost with the node that took the ticket.
    """

    number: TicketNumber
    who: str
    when_unix_ms: float | None
    touched: tuple[str, ...]
    before: Mapping[str, Any] | None
    after: Mapping[str, Any] | None
    in_force: bool


class OperatorBackend(Protocol):
    """Do the work of the operator port.

    Calls raise ``TicketError`` for documents that cannot be accepted,
    ``TicketConflictError`` for a number that holds other content, ``NotFitError``
    on a node that may not decide now, and ``PlatformError``.
    """

    async def validate(self, document: bytes) -> TicketSummary:
        """Return what a ticket would change against the state before its number.

        Rights are checked on this answer. So a node that does not know that state
        raises ``NotFitError``: else a ticket could give an approval again that its
        owner has just withdrawn.
        """

    async def submit(self, document: bytes, principal: Principal) -> SubmitResult:
        """Record a ticket; the same content again succeeds."""

    async def ticket(self, number: TicketNumber) -> TicketRecord | None:
        """Return one ticket, or None when the number is not taken."""

    async def tickets(self, after: TicketNumber, limit: int) -> Sequence[TicketRecord]:
        """Return tickets with numbers above ``after``, in order."""

    async def audit(self, after: TicketNumber, limit: int) -> Sequence[AuditEntry]:
        """Return audit entries of tickets above ``after``, in order."""

    async def status(self) -> Mapping[str, Any]:
        """Return what the node knows about the fleet, ready for JSON."""
