"""Define placement requests and the decisions of a service's placer on them."""

from dataclasses import dataclass
from enum import Enum

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.retry_account import RetryReport
from crocusspindle.core.target_tracker import EjectionState
from crocusspindle.ids import (
    NO_CONTENT,
    NO_CUSTOMER,
    ContentDigest,
    CustomerId,
    DomainId,
    GrantId,
    HostId,
)


class AttemptKind(Enum):
    """State why an attempt is made; the values are the names used in logs.

    - ``FIRST``: the first attempt of a request.
    - ``AGAIN``: the next one after attempts none of which reached a target.
    - ``RETRY``: the next one after an attempt that may have reached a target.
    - ``HEDGE``: a retry whose previous attempt still runs.
    """

    FIRST = "first"
    AGAIN = "again"
    RETRY = "retry"
    HEDGE = "hedge"

    @property
    def is_retry(self) -> bool:
        """Return True if an attempt counts against the retry budget."""
        return self in (AttemptKind.RETRY, AttemptKind.HEDGE)


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Request a target for one attempt.

    `sender` identifies the node that makes the attempt: at the node itself by its host,
    at the placer by its IP address, since messages do not name their sender.

    `aim_ms` is what is left of the route's latency objective. A `hedge` is a retry
    whose first attempt still runs. A `counted` request was placed before, or may have
    been: a placer that got it did not respond. A `trial` is a held request's next
    attempt. `weight` is the customer's weight in fair queueing: its rate, or 0 if it
    has none. `retries` is the sender's account of retries, which counts this one; None
    if its version has none.
    """

    sender: HostId
    domain: DomainId
    route: str
    idempotent: bool
    priority: int
    aim_ms: float
    deadline_ms: float
    retry: bool = False
    hedge: bool = False
    counted: bool = False
    body_bytes: int = 0
    content: ContentDigest = NO_CONTENT
    trial: bool = False
    excluded: frozenset[TargetIdentity] = frozenset()
    customer: CustomerId = NO_CUSTOMER
    weight: float = 0.0
    retries: RetryReport | None = None


@dataclass(frozen=True, slots=True)
class PlacementGranted:
    """Name the target of an attempt, and the time after which to hedge it."""

    grant: GrantId
    target: ListedTarget
    hedge_after_ms: float


@dataclass(frozen=True, slots=True)
class PlacementRefused:
    """State why no target is granted, and the time after which to retry.

    `placer` is the node that decided, None if the sender did so itself.
    """

    reason: str
    retry_after_ms: float
    placer: HostId | None = None


@dataclass(slots=True)
class QueuedRequest:
    """Hold a request that waits for a slot, until `settled` holds the decision.

    Up to `on_time_until_ms` it can still be served within its latency objective; up to
    `give_up_ms` within its deadline.
    """

    request: PlacementRequest
    queued_ms: float
    on_time_until_ms: float
    give_up_ms: float
    settled: PlacementGranted | PlacementRefused | None = None


@dataclass(frozen=True, slots=True)
class EjectionStateChange:
    """Report a target's new ejection state and the attempt outcome that caused it.

    An ejection is ``withdrawn`` if its senders' paths explain it. The fields `standing`
    and `ending` are named as in the log line.
    """

    target: TargetIdentity
    standing: EjectionState
    ending: AttemptOutcome | None
    sender: HostId | None
    until_ms: float
    withdrawn: bool = False
