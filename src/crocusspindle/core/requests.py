"""Record what a home knows of its requests and attempts."""

from dataclasses import dataclass, field

from crocusspindle.core.decisions import Arrival, Outcome
from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import AttemptId, RequestId, TargetId


@dataclass(slots=True, eq=False)
class Attempt:
    """Follow one sending of a request to one target."""

    attempt: AttemptId
    request: RequestId
    slots: TargetSlots
    dispatched_ms: float
    started_ms: float | None = None
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Follow one request until its final answer.

    ``may_have_run`` is set by every end that does not prove the contrary; it
    makes "not run" true by construction and keeps a non-idempotent request from
    being sent again.
    """

    arrival: Arrival
    latest_start_ms: float
    attempts: int = 0
    hedged: bool = False
    may_have_run: bool = False
    stopped: bool = False
    running: list[Attempt] = field(default_factory=list)
    tried: set[TargetId] = field(default_factory=set)

    @property
    def started(self) -> bool:
        """Return True if an answer is being handed to the caller."""
        return any(attempt.started_ms is not None for attempt in self.running)

    @property
    def outcome(self) -> Outcome:
        """Return what may be said if the request is given up now."""
        if self.running or self.may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
