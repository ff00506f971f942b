"""Count what a group of targets does with its requests."""

from dataclasses import dataclass

from crocusspindle import instruments
from crocusspindle.core.decisions import AttemptEnd
from crocusspindle.ids import AttemptId, RequestId, ServiceId
from crocusspindle.metrics import Metrics


@dataclass
class _Attempts:
    arrived_ms: float
    begun: int = 0
    running: int = 0


class GroupMeter:
    """Follow the requests of one group from arrival to end."""

    def __init__(self, service: ServiceId, metrics: Metrics) -> None:
        self._service = service
        self._metrics = metrics
        self._requests: dict[RequestId, _Attempts] = {}
        self._began_ms: dict[AttemptId, float] = {}

    def arrived(self, request: RequestId, now_ms: float) -> None:
        """Note a request that is queued or dispatched next."""
        self._requests[request] = _Attempts(now_ms)

    def forget(self, request: RequestId) -> None:
        """Drop a request that is over."""
        self._requests.pop(request, None)

    def began(self, request: RequestId, attempt: AttemptId, now_ms: float) -> None:
        """Note an attempt: the first, a retry, or a hedge beside a running one."""
        self._began_ms[attempt] = now_ms
        known = self._requests.get(request)
        if known is None:
            return
        if known.begun == 0:
            waited_ms = now_ms - known.arrived_ms
            self._metrics.record(
                instruments.QUEUE_WAIT_MS, waited_ms, service=self._service
            )
        else:
            again = instruments.HEDGES if known.running else instruments.RETRIES
            self._metrics.add(again, service=self._service)
        known.begun += 1
        known.running += 1

    def ended(
        self, request: RequestId, attempt: AttemptId, end: AttemptEnd, now_ms: float
    ) -> None:
        """Note how an attempt ended."""
        began_ms = self._began_ms.pop(attempt, now_ms)
        known = self._requests.get(request)
        if known is not None:
            known.running -= 1
        service, result = self._service, end.value.replace("_", "-")
        self._metrics.add(instruments.ATTEMPTS, service=service, result=result)
        self._metrics.record(instruments.ATTEMPT_MS, now_ms - began_ms, service=service)
