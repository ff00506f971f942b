"""Count the requests and retries of one host for one service."""

from collections import deque
from dataclasses import dataclass
from typing import Final

RATIO_FRACTION: Final = 0.9
"""Fraction of the ratio in use. The rest covers retries whose request was counted at
the edge of another window."""

EXTRA_FRACTION: Final = 0.8
"""Fraction of the fixed allowance in use. The rest covers accounts that two placers
hold for a moment, and hosts whose views have different numbers of members."""

START_FRACTION: Final = 0.25
"""Fraction of the fixed allowance in use from the start of a process."""


@dataclass(frozen=True, slots=True)
class RetryReport:
    """Hold how many retries one host has in a window, and how many it has used.

    ``of_requests`` is the part of ``allowed`` that its requests give. ``process``
    differs for each process of a host.
    """

    allowed: float
    used: int
    of_requests: float = 0.0
    process: int = 0


class RetryAccount:
    """Hold one host's part of a service's retry budget over a sliding window.

    A host knows for certain what it has sent, whatever other hosts know or can reach.
    The parts of all hosts make up the budget, so that it holds without agreement on who
    places.

    After a restart, when the previous process may just have used the fixed part, this
    grows over a window: from ``began_ms``, or from the first request.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: float,
        began_ms: float | None = None,
        process: int = 0,
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self.window_ms = window_ms
        self._began_ms = began_ms
        self._process = process
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._pending = 0

    def request(self, now_ms: float) -> None:
        """Count a caller's request."""
        if self._began_ms is None:
            self._began_ms = now_ms
        self._forget(now_ms)
        self._requests.append(now_ms)

    def begin_retry(self) -> None:
        """Count a retry for which a target is requested."""
        self._pending += 1

    def end_retry(self, granted: bool, now_ms: float) -> None:
        """Count it as sent now, or no longer.

        It may have waited for seconds: counted as of its request, it would leave the
        window before it reaches a target.
        """
        self._pending -= 1
        if granted:
            self._retries.append(now_ms)

    def take_back(self) -> None:
        """Uncount the newest retry, which was not sent."""
        if self._retries:
            self._retries.pop()

    def report(self, hosts: int, now_ms: float) -> RetryReport:
        """Return the part of one of so many hosts, with the retries that wait."""
        self._forget(now_ms)
        if self._began_ms is None:
            self._began_ms = now_ms
        age = (now_ms - self._began_ms) / self.window_ms
        grown = min(1.0, max(START_FRACTION, age))
        extra = EXTRA_FRACTION * self._extra * grown / max(1, hosts)
        of_requests = RATIO_FRACTION * self._ratio * len(self._requests)
        used = len(self._retries) + self._pending
        return RetryReport(of_requests + extra, used, of_requests, self._process)

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self.window_ms
        for times in (self._requests, self._retries):
            while times and times[0] <= since_ms:
                times.popleft()
