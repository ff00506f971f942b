"""Define what a home is told and what it decides.

Every message is frozen data, so that a driver may log, replay or compare it.
"""

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from crocusspindle.ids import AttemptId, CustomerId, RequestId, TargetId


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a request that an entry hands to the home.

    ``weight`` is the customer's part in fair queueing, normally its rate.
    ``credential`` tags the key that the request came with, for ``revoke``.
    """

    request: RequestId
    customer: CustomerId
    weight: float
    deadline_ms: float
    idempotent: bool
    may_hedge: bool
    credential: bytes = b""


class AttemptEnd(Enum):
    """Tell how an attempt ended, by what the target may have done."""

    ANSWERED = "answered"
    """A whole answer of any status that is handed to the caller."""
    FAILED = "failed"
    """A 5xx, or broken before anything was handed on; it may have run."""
    SHED = "shed"
    """The target said that it is overloaded and did not run the request."""
    UNSENT = "unsent"
    """Nothing was written: the target provably never saw the request."""
    SILENT = "silent"
    """Timed out or lost after sending; it may have run."""


class RefusalReason(Enum):
    """Tell why a request was refused without having run."""

    WAIT_TOO_LONG = "wait_too_long"
    QUEUE_FULL = "queue_full"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_TARGET = "no_target"
    REVOKED = "revoked"


class Outcome(Enum):
    """Tell what is known of a request that was given up."""

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
    """Abort an attempt; report its end as usual, which frees the slot."""

    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Finish:
    """Take this attempt's answer as the answer to the request."""

    request: RequestId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the request has certainly not run, and when to come back."""

    request: RequestId
    reason: RefusalReason
    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Give the request up with its final answer, at once.

    The driver may hand on the whole answer of ``last_attempt``, such as a 503,
    if it holds one.
    """

    request: RequestId
    outcome: Outcome
    retry_at_ms: float
    last_attempt: AttemptId | None = None


Decision: TypeAlias = Dispatch | Cancel | Finish | Refuse | Fail


@dataclass(frozen=True, slots=True)
class HomeLoad:
    """Hold the load that entries see when they choose between groups."""

    queued: int
    running: int
    slots: float
    wait_ms_estimate: float


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Show one target as the home sees it."""

    target: TargetId
    running: int
    limit: int
    weight: float
    leaving: bool


@dataclass(frozen=True, slots=True)
class HomeStatus:
    """Show a home to operators."""

    load: HomeLoad
    targets: tuple[TargetStatus, ...]
    queued_by_customer: tuple[tuple[CustomerId, int], ...]
    retry_tokens: float
    hedge_tokens: float
    hedge_after_ms: float | None
