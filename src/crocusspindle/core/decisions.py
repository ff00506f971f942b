"""Define the events that a group coordinator receives and its decisions.

Every message is immutable, so that a driver may log, replay or compare it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from crocusspindle.ids import AttemptId, CustomerId, RequestId, TargetId


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a request that an entry hands to the group coordinator.

    ``weight`` is the customer's weight in fair queueing, normally its rate.
    ``credential`` identifies the key that the request came with, for ``revoke``.
    """

    request: RequestId
    customer: CustomerId
    weight: float
    deadline_ms: float
    idempotent: bool
    may_hedge: bool
    credential: bytes = b""


class AttemptEnd(Enum):
    """Classify the end of an attempt by what the target may have done."""

    ANSWERED = "answered"
    """A complete response of any status that is returned to the caller."""
    FAILED = "failed"
    """A 5xx, or broken before any byte reached the caller; it may have run."""
    SHED = "shed"
    """The target reported overload and did not run the request."""
    UNSENT = "unsent"
    """No byte was written: the target cannot have received the request."""
    SILENT = "silent"
    """Timed out or lost after sending; it may have run."""


class RefusalReason(Enum):
    """Give the reason why a request was refused without having run."""

    WAIT_TOO_LONG = "wait_too_long"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGET = "no_target"
    REVOKED = "revoked"


class Outcome(Enum):
    """Classify a request that was given up by whether it may have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to the target; end it as SILENT at the deadline."""

    request: RequestId
    attempt: AttemptId
    target: TargetId
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Cancel:
    """Abort an attempt; its end is reported as for any other and frees the slot."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Finish:
    """Return this attempt's response as the response to the request."""

    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Respond that the request has certainly not run, and when to retry it."""

    request: RequestId
    reason: RefusalReason
    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the request up and send its final response at once.

    The driver may return the complete response of ``last_attempt``, such as a 503,
    if it holds one.
    """

    request: RequestId
    outcome: Outcome
    retry_at_ms: float
    last_attempt: AttemptId | None = None


Decision: TypeAlias = Dispatch | Cancel | Finish | Refuse | Fail


@dataclass(frozen=True, slots=True)
class CoordinatorLoad:
    """Hold the load by which entries choose between groups."""

    queued: int
    running: int
    slots: float
    wait_ms_estimate: float


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Report the coordinator's state of one target."""

    target: TargetId
    running: int
    limit: int
    weight: float
    leaving: bool


@dataclass(frozen=True, slots=True)
class CoordinatorStatus:
    """Report a group coordinator's state to operators."""

    load: CoordinatorLoad
    targets: tuple[TargetStatus, ...]
    queued_by_customer: tuple[tuple[CustomerId, int], ...]
    retry_tokens: float
    hedge_tokens: float
    hedge_after_ms: float | None
