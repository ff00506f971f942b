"""Define the state that a group coordinator keeps of its requests and attempts."""

from dataclasses import dataclass, field

from crocusspindle.core.decisions import Arrival, Outcome
from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import AttemptId, RequestId, TargetId


@dataclass(slots=True, eq=False)
class Attempt:
    """Hold the state of one attempt of a request on one target."""

    attempt: AttemptId
    request: RequestId
    slots: TargetSlots
    dispatched_ms: float
    started_ms: float | None = None
    cancelled: bool = False


@dataclass(slots=True, eq=False)
class PendingRequest:
    """Hold the state of one request until its final response.

    ``may_have_run`` is set when an attempt ends or is preempted without proof that the
    request did not run. So the outcome "not run" is always true, and a non-idempotent
    request never runs twice.
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
        """Return True if a response is being passed on to the caller."""
        return any(attempt.started_ms is not None for attempt in self.running)

    @property
    def outcome(self) -> Outcome:
        """Return the outcome to report if the request is given up now."""
        if self.running or self.may_have_run:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN
