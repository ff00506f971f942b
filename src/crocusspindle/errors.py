"""Define the exception hierarchy and the findings that checks collect."""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Finding:
    """Describe one fault of an input and its location.

    ``line`` counts from 1; 0 means that the location has no line.
    """

    source: str
    path: str
    message: str
    line: int = 0

    def __str__(self) -> str:
        location = f"{self.source}:{self.line}" if self.line else self.source
        return f"{location}: {self.path}: {self.message}"


class CrocusspindleError(Exception):
    """Base class of all errors that this package raises on purpose."""


class InvalidInputError(CrocusspindleError):
    """Report all findings of a rejected input together."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class MalformedError(CrocusspindleError, ValueError):
    """Report a value of another program that can't be read or isn't usable."""


class SettingsError(InvalidInputError):
    """Report settings that cannot be used."""


class TicketError(InvalidInputError):
    """Report a change ticket that cannot be accepted."""


class TicketConflictError(CrocusspindleError):
    """Report a ticket number that already holds different content."""


class PlatformError(CrocusspindleError):
    """Base class of the errors of platform calls."""


class PlatformUnavailableError(PlatformError):
    """Report a call that certainly had no effect."""


class PlatformUnknownError(PlatformError):
    """Report a call whose effect is unknown, as after a lost response."""


class PeerError(CrocusspindleError):
    """Report a peer that did not respond in time or sent an invalid response."""


class NodeIneligibleError(CrocusspindleError):
    """Report a node that is not eligible for this work now, and when to retry."""

    def __init__(self, reason: str, retry_after_ms: float = 1_000.0) -> None:
        super().__init__(reason)
        self.retry_after_ms = retry_after_ms


class KernelError(CrocusspindleError):
    """Report services that are missing, misconfigured or failed."""
