"""Bound the retries to one service over a sliding window; hedges count as retries."""

from collections import deque
from dataclasses import replace
from typing import Final

from crocusspindle.core.configuration import LOWEST_PRIORITY
from crocusspindle.core.retry_account import RetryAccount, RetryReport
from crocusspindle.ids import HostId

LENT_MS: Final = 700.0
"""Time after a host's report for which others may use what it has left. When it turns
to another placer, that one lends it too."""

LENT_FRACTION: Final = 0.5
"""Fraction of what a host has left that others may use. What it has lent it may still
use itself, through another placer."""

FREE_FRACTION: Final = 0.5
"""Fraction of the bound that all priorities may use. The rest may be reserved for
higher priorities that retry."""

PRIORITY_MEMORY_MS: Final = 1_000.0
"""Time after a retry of a priority in which a reserve is kept for it."""


Reporter = tuple[HostId, int]
"""A host, and a number that differs for each of its processes."""


class RetryBudget:
    """Pool the retry accounts of the hosts that ask one placer.

    When most targets of a service refuse or fail, each request would be sent several
    times: the service would get several times its load when its capacity is lowest.
    Above the bound a retry is refused, and the refusal names the reason.

    Each host reports its account with its requests. A retry is allowed while the hosts
    that have reported just before have any left together, so that those with many
    failures use what others don't need. What a host has used beyond its own part counts
    for a whole window. A new placer knows an account as soon as its host asks, and
    placers that don't know of each other pool different hosts.

    First come, first served, the retries of a large route of a low priority would leave
    none for a small one of a high priority. A priority therefore leaves what the higher
    ones still need in a window if they go on as in the last second, up to half of the
    bound. A successor learns of the priorities from its own retries.

    Hosts whose messages have no report share one account, which is kept here from
    ``began_ms`` on, or from its first request.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_ms: float,
        began_ms: float | None = None,
    ) -> None:
        self._window_ms = window_ms
        self._unreported = RetryAccount(ratio, extra, window_ms, began_ms)
        self._reports: dict[Reporter, tuple[float, RetryReport]] = {}
        # The priorities of the retries allowed here, with their times.
        self._retries: deque[tuple[float, int]] = deque()
        self._recent: deque[tuple[float, int]] = deque()

    def request(self, now_ms: float) -> None:
        """Count the first attempt of a request whose host reports nothing."""
        self._unreported.request(now_ms)

    def record_report(
        self, reporter: Reporter, report: RetryReport, now_ms: float
    ) -> None:
        """Record the account of a host, as of now."""
        self._forget(now_ms)
        self._reports.pop(reporter, None)
        self._reports[reporter] = (now_ms, report)

    def retry(
        self,
        now_ms: float,
        priority: int = LOWEST_PRIORITY,
        reporter: Reporter | None = None,
    ) -> bool:
        """Count one retry; return False if the pool allows its priority no more.

        The last report of ``reporter`` counts the retry. Without a reporter, it is
        counted here.
        """
        if reporter is None:
            self._unreported.begin_retry()
        self._forget(now_ms)
        # A refused one counts too: its priority still has requests to retry.
        self._recent.append((now_ms, priority))
        used, allowed = self._state_for(reporter, now_ms)
        is_allowed = used <= allowed - self._reserved(priority, allowed)
        if reporter is None:
            self._unreported.end_retry(is_allowed, now_ms)
        elif not is_allowed:
            self._uncount(reporter)
        if is_allowed:
            self._retries.append((now_ms, priority))
        return is_allowed

    def _uncount(self, reporter: Reporter) -> None:
        recorded = self._reports.get(reporter)
        if recorded is not None:
            reported_ms, report = recorded
            lower = replace(report, used=report.used - 1)
            self._reports[reporter] = (reported_ms, lower)

    def _reserved(self, priority: int, allowed: float) -> float:
        """Return how many retries are kept for priorities above one."""
        higher = sum(other < priority for _, other in self._recent)
        if not higher:
            return 0.0
        needed = higher * self._window_ms / PRIORITY_MEMORY_MS
        used = sum(other < priority for _, other in self._retries)
        return min(max(0.0, needed - used), (1.0 - FREE_FRACTION) * allowed)

    def highest_priority(self, now_ms: float) -> int:
        """Return the highest priority that retried just before."""
        since_ms = now_ms - PRIORITY_MEMORY_MS
        recent = (priority for at_ms, priority in self._recent if at_ms > since_ms)
        return min(recent, default=LOWEST_PRIORITY)

    def give_back(self, reporter: Reporter | None = None) -> None:
        """Uncount the newest retry, which was not sent because no slot was free."""
        if self._retries:
            self._retries.pop()
        if reporter is None:
            self._unreported.take_back()
        else:
            self._uncount(reporter)

    def state(self, now_ms: float) -> tuple[int, float]:
        """Return the retries used in the window, and the number that it allows."""
        return self._state_for(None, now_ms)

    def _state_for(self, reporter: Reporter | None, now_ms: float) -> tuple[int, float]:
        """Return the retries used, and those allowed to one process."""
        self._forget(now_ms)
        used, allowed = 0, 0.0
        for other, (reported_ms, report) in self._reports.items():
            used += report.used
            left = report.allowed - report.used
            if left > 0.0 and other != reporter:
                is_lent = reported_ms > now_ms - LENT_MS
                left *= LENT_FRACTION if is_lent else 0.0
            allowed += report.used + left
        unreported = self._unreported.report(1, now_ms)
        used += unreported.used
        # The fixed part belongs to the hosts that report.
        allowed += unreported.of_requests if self._reports else unreported.allowed
        return used, allowed

    @property
    def reporting_processes(self) -> int:
        """Return how many processes have reported within a window."""
        return len(self._reports)

    def _forget(self, now_ms: float) -> None:
        while self._reports:
            reporter, (reported_ms, _) = next(iter(self._reports.items()))
            if reported_ms > now_ms - self._window_ms:
                break
            del self._reports[reporter]
        while self._retries and self._retries[0][0] <= now_ms - self._window_ms:
            self._retries.popleft()
        while self._recent and self._recent[0][0] <= now_ms - PRIORITY_MEMORY_MS:
            self._recent.popleft()
