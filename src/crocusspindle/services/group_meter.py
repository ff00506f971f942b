"""Record metrics of the requests and attempts of one group of targets."""

from dataclasses import dataclass

from crocusspindle import instruments
from crocusspindle.core.decisions import AttemptEnd
from crocusspindle.ids import AttemptId, RequestId, ServiceId
from crocusspindle.metrics import Metrics


@dataclass
class _RequestAttempts:
    arrived_ms: float
    started: int = 0
    running: int = 0


class GroupMeter:
    """Measure queueing, retries, hedges and attempts of one group."""

    def __init__(self, service: ServiceId, metrics: Metrics) -> None:
        self._service = service
        self._metrics = metrics
        self._requests: dict[RequestId, _RequestAttempts] = {}
        self._started_ms: dict[AttemptId, float] = {}

    def arrived(self, request: RequestId, now_ms: float) -> None:
        """Record the arrival of a request."""
        self._requests[request] = _RequestAttempts(now_ms)

    def forget(self, request: RequestId) -> None:
        """Drop a request whose entry awaits no result any more."""
        self._requests.pop(request, None)

    def began(self, request: RequestId, attempt: AttemptId, now_ms: float) -> None:
        """Record the start of an attempt: the first one, a retry or a hedge."""
        self._started_ms[attempt] = now_ms
        attempts = self._requests.get(request)
        if attempts is None:
            return
        if attempts.started == 0:
            waited_ms = now_ms - attempts.arrived_ms
            self._metrics.record(
                instruments.QUEUE_WAIT_MS, waited_ms, service=self._service
            )
        else:
            instrument = instruments.HEDGES if attempts.running else instruments.RETRIES
            self._metrics.add(instrument, service=self._service)
        attempts.started += 1
        attempts.running += 1

    def ended(
        self, request: RequestId, attempt: AttemptId, end: AttemptEnd, now_ms: float
    ) -> None:
        """Record the end of an attempt."""
        started_ms = self._started_ms.pop(attempt, now_ms)
        attempts = self._requests.get(request)
        if attempts is not None:
            attempts.running -= 1
        service, result = self._service, end.value.replace("_", "-")
        self._metrics.add(instruments.ATTEMPTS, service=service, result=result)
        self._metrics.record(
            instruments.ATTEMPT_MS, now_ms - started_ms, service=service
        )
