"""Define the interface between the operator port and its node."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from crocusspindle.ids import ServiceId, TicketNumber
from crocusspindle.settings_schema import Principal


class TouchKind(Enum):
    """Classify a change of a ticket, as far as permissions depend on it."""

    APPROVAL_GIVEN = "approval-given"
    APPROVAL_WITHDRAWN = "approval-withdrawn"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class Touch:
    """Describe one change of a ticket and its place in the document.

    ``service`` is set for approvals, ``approved_by`` for those that are given.
    """

    kind: TouchKind
    path: str
    service: ServiceId | None = None
    line: int = 0
    approved_by: str | None = None


@dataclass(frozen=True, slots=True)
class TicketSummary:
    """Summarize what a well-formed ticket would change."""

    number: TicketNumber
    sha256: str
    touches: tuple[Touch, ...]


@dataclass(frozen=True, slots=True)
class SubmitResult:
    """Confirm that a ticket is recorded; ``repeated`` if it already was."""

    number: TicketNumber
    sha256: str
    repeated: bool


@dataclass(frozen=True, slots=True)
class TicketRecord:
    """Describe a recorded ticket and its rollout.

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
    """Describe one change: author, time, changed paths, state before and after.

    An entry has the number of its ticket, and holds digests, never keys. None stands
    for values lost with the node that accepted the ticket.
    """

    number: TicketNumber
    who: str
    when_unix_ms: float | None
    touched: tuple[str, ...]
    before: Mapping[str, Any] | None
    after: Mapping[str, Any] | None
    in_force: bool


class OperatorBackend(Protocol):
    """Execute the calls of the operator port.

    Calls raise ``TicketError`` for documents that cannot be accepted,
    ``TicketConflictError`` for a number that holds other content,
    ``NodeIneligibleError`` on a node that may not decide now, and ``PlatformError``.
    """

    async def validate(self, document: bytes) -> TicketSummary:
        """Check a ticket against the state before it; return what it would change.

        Permissions are checked on this result. So a node that may lack that state
        raises ``NodeIneligibleError``: otherwise a ticket could restore an approval
        that its owner has just withdrawn.
        """

    async def submit(self, document: bytes, principal: Principal) -> SubmitResult:
        """Record a ticket; submitting the same content again succeeds."""

    async def ticket(self, number: TicketNumber) -> TicketRecord | None:
        """Return one ticket, or None if its number is unused."""

    async def tickets(self, after: TicketNumber, limit: int) -> Sequence[TicketRecord]:
        """Return tickets with numbers above ``after``, in order."""

    async def audit(self, after: TicketNumber, limit: int) -> Sequence[AuditEntry]:
        """Return audit entries of tickets above ``after``, in order."""

    async def status(self) -> Mapping[str, Any]:
        """Return the node's knowledge of the fleet, ready for JSON."""
