"""State how an attempt on a target ended, as its sender saw it."""

from enum import Enum
from typing import Final


class AttemptOutcome(Enum):
    """State how one attempt ended, as its sender saw it.

    The values are the names used in logs, metrics and refusals.

    - ``ANSWERED``: a response that is no server error and, if a success, is valid.
    - ``ERROR``: a server error, a status that says "not run" without the target's
      header that guarantees it, or a body that is too long.
    - ``BROKEN``: the connection broke, or the response was invalid.
    - ``SILENT``: no response before the deadline, or none whose body ended.
    - ``UNREACHED``: no connection before the timeout.
    - ``CLOSED``: the connection failed, as when the port refused it.
    - ``SHED``: the target refused the request and guarantees that it did not run it.
    - ``MISDIRECTED``: another target runs at this address.
    - ``ABANDONED``: the sender ended the attempt before its outcome was known.
    - ``CRASHED``: the connection broke, and the port refused the next one.
    - ``DISCONNECTED``: the connection broke, and neither this target nor another one
      that responded before accepts a connection from this sender.
    - ``WITHHELD``: while the connection opened, the sender learned that the target
      gets no more work. Nothing was sent.
    """

    ANSWERED = "answered"
    ERROR = "error"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHED = "unreached"
    CLOSED = "closed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    ABANDONED = "abandoned"
    CRASHED = "crashed"
    DISCONNECTED = "disconnected"
    WITHHELD = "withheld"

    @property
    def shows_path(self) -> bool:
        """Return True if the sender got a response, so that its path works."""
        return self in SHOWING_PATH

    @property
    def fails_path(self) -> bool:
        """Return True if the sender's path may have failed instead of the target."""
        return self in FAILING_PATH

    @property
    def arrived(self) -> bool:
        """Return True if the request may have reached the target."""
        return self not in (
            AttemptOutcome.UNREACHED,
            AttemptOutcome.CLOSED,
            AttemptOutcome.WITHHELD,
        )

    @property
    def may_have_run(self) -> bool:
        """Return True unless the target certainly did not run the request."""
        return self.arrived and self not in (
            AttemptOutcome.SHED,
            AttemptOutcome.MISDIRECTED,
        )


SHOWING_PATH: Final = frozenset(
    {
        AttemptOutcome.ANSWERED,
        AttemptOutcome.ERROR,
        AttemptOutcome.SHED,
        AttemptOutcome.MISDIRECTED,
    }
)
FAILING_PATH: Final = frozenset(
    {
        AttemptOutcome.BROKEN,
        AttemptOutcome.CLOSED,
        AttemptOutcome.CRASHED,
        AttemptOutcome.DISCONNECTED,
        AttemptOutcome.UNREACHED,
    }
)

EJECTING_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.BROKEN,
        AttemptOutcome.CRASHED,
        AttemptOutcome.CLOSED,
        AttemptOutcome.MISDIRECTED,
    }
)
"""Outcomes that a healthy target hardly ever causes."""
