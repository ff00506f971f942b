"""Bound the retries to one service over a sliding window; hedges count as retries."""

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from crocusspindle.core.configuration import LOWEST_PRIORITY
from crocusspindle.core.retry_record import RetryRecord, TimeSlice

EXTRA_FRACTIONS: Final = (0.7, 0.12, 0.05)
"""Fractions of the fixed allowance that placers use, by rank for the service. Nodes
that get no response from the first placer use the next: the sum must not exceed 1."""

UNKNOWN_EXTRA_FRACTION: Final = 0.1
"""Fraction that a placer uses until it has its predecessors' counts: added to theirs,
it must stay within the allowance."""

RATIO_FRACTION: Final = 0.9
"""Fraction of the ratio in use. The rest covers retries whose request was counted at
the edge of another window, and is all that a placer uses of the ratio until it has its
predecessors' counts."""

SLICES_PER_WINDOW: Final = 20
"""Time slices of a window in the counts that placers publish to one another."""

MAX_RECORD_AGE_MS: Final = 1_500.0
"""Maximum age of the last records received for them to still cover the retries of the
predecessor."""

PUBLISH_INTERVAL_MS: Final = 250.0
UNPUBLISHED_FRACTION: Final = 0.02
"""Fraction of the bound that a placer uses before it publishes its counts: when a
placer is lost, its successor uses the unpublished retries once more."""

FREE_FRACTION: Final = 0.5
"""Fraction of the bound that all priorities may use. The rest may be reserved for
higher priorities that retry."""

PRIORITY_MEMORY_MS: Final = 1_000.0
"""Time after a retry of a priority in which a reserve is kept for it."""


class RetryBudget:
    """Count a service's requests and retries, including those of its other placers.

    When most targets of a service refuse or fail, each request would be sent several
    times: the service would get several times its load when its capacity is lowest.
    Above the bound a retry is refused, and the refusal names the reason.

    First come, first served, the retries of a large route of a low priority would leave
    none for a small one of a high priority. A priority therefore leaves what the higher
    ones still need in a window if they go on as in the last second, up to half of the
    bound.
    A successor continues with the counts, and learns of the priorities from its own
    retries.

    The role of the placer moves to another host when a host joins, leaves or is silent.
    With its own counts only, the new placer would allow a fraction of its own requests
    in addition to the retries of its predecessor in the same window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._since_ms = math.nan
        self._received_ms = -math.inf
        self._window_ms = window_ms
        self._rank = 0
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        # The priorities of these retries, in the same order.
        self._retry_priorities: deque[int] = deque()
        self._number = 0
        self._published_ms = -math.inf
        self._unpublished = 0
        self._others: dict[str, RetryRecord] = {}
        self._recent: deque[tuple[float, int]] = deque()

    def set_known_since(self, since_ms: float) -> None:
        """Record that all placements since a time were made or received here."""
        if math.isnan(self._since_ms) or since_ms < self._since_ms:
            self._since_ms = since_ms

    def set_rank(self, rank: int, now_ms: float) -> None:
        """Set this placer's rank, 0 for the first.

        A placer that moves up may lack the counts of its predecessor's retries, unless
        it has received them just before.
        """
        if rank < self._rank and now_ms - self._received_ms > MAX_RECORD_AGE_MS:
            self._since_ms = now_ms
        self._rank = rank

    def request(self, now_ms: float) -> None:
        """Count a request's first attempt."""
        if math.isnan(self._since_ms):
            self._since_ms = now_ms
        self._requests.append(now_ms)

    def retry(self, now_ms: float, priority: int = LOWEST_PRIORITY) -> bool:
        """Count one retry; return False if the window allows its priority no more."""
        self._forget(now_ms)
        # A refused one counts too: its priority still has requests to retry.
        self._recent.append((now_ms, priority))
        allowed = self._allowed(now_ms)
        if self._used(now_ms) + 1 > allowed - self._reserved(priority, now_ms):
            return False
        self._retries.append(now_ms)
        self._retry_priorities.append(priority)
        self._unpublished += 1
        return True

    def _reserved(self, priority: int, now_ms: float) -> float:
        """Return how many retries are kept for priorities above one."""
        while self._recent and self._recent[0][0] <= now_ms - PRIORITY_MEMORY_MS:
            self._recent.popleft()
        higher = sum(other < priority for _, other in self._recent)
        if not higher:
            return 0.0
        needed = higher * self._window_ms / PRIORITY_MEMORY_MS
        used = sum(other < priority for other in self._retry_priorities)
        return min(
            max(0.0, needed - used), (1.0 - FREE_FRACTION) * self._allowed(now_ms)
        )

    def highest_priority(self, now_ms: float) -> int:
        """Return the highest priority that retried just before."""
        since_ms = now_ms - PRIORITY_MEMORY_MS
        recent = (priority for at_ms, priority in self._recent if at_ms > since_ms)
        return min(recent, default=LOWEST_PRIORITY)

    def is_publish_due(self, now_ms: float) -> bool:
        """Return True if this placer should publish its counts to the others."""
        if (
            self._unpublished
            and self._unpublished > UNPUBLISHED_FRACTION * self._allowed(now_ms)
        ):
            return True
        return now_ms - self._published_ms >= PUBLISH_INTERVAL_MS and bool(
            self._requests
        )

    def _used(self, now_ms: float) -> int:
        since_ms = now_ms - self._window_ms
        counts_of_others = (
            record.retries_since(since_ms) for record in self._others.values()
        )
        return len(self._retries) + sum(counts_of_others)

    def _allowed(self, now_ms: float) -> float:
        since_ms = now_ms - self._window_ms
        fraction = EXTRA_FRACTIONS[min(self._rank, len(EXTRA_FRACTIONS) - 1)]
        if not self._since_ms <= since_ms:
            spare = self._ratio * (1.0 - RATIO_FRACTION) * len(self._requests)
            return spare + self._extra * min(fraction, UNKNOWN_EXTRA_FRACTION)
        counts_of_others = (
            record.requests_since(since_ms) for record in self._others.values()
        )
        requests = len(self._requests) + sum(counts_of_others)
        return self._ratio * RATIO_FRACTION * requests + self._extra * fraction

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        while self._requests and self._requests[0] <= since_ms:
            self._requests.popleft()
        while self._retries and self._retries[0] <= since_ms:
            self._retries.popleft()
            self._retry_priorities.popleft()
        expired = [
            origin
            for origin, record in self._others.items()
            if record.newest_ms <= since_ms
        ]
        for origin in expired:
            del self._others[origin]

    def give_back(self) -> None:
        """Uncount the newest retry, which was not sent because no slot was free."""
        if self._retries:
            self._retries.pop()
            self._retry_priorities.pop()

    def state(self, now_ms: float) -> tuple[int, float]:
        """Return the retries used in the window, and the number that it allows."""
        return self._used(now_ms), self._allowed(now_ms)

    def known_ms(self, now_ms: float) -> float:
        """Return for how long back all placements are known here."""
        if math.isnan(self._since_ms):
            return 0.0
        return min(self._window_ms, now_ms - self._since_ms)

    def records(self, own_origin: str, now_ms: float) -> list[RetryRecord]:
        """Return the counts of this placer, under its origin, and of the others."""
        self._forget(now_ms)
        self._published_ms = now_ms
        self._unpublished = 0
        self._number += 1
        slices = _time_slices(
            self._requests, self._retries, self._window_ms / SLICES_PER_WINDOW, now_ms
        )
        own_records = [RetryRecord(own_origin, self._number, slices)] if slices else []
        return own_records + list(self._others.values())

    def receive(
        self,
        own_origin: str,
        records: Iterable[RetryRecord],
        known_ms: float,
        now_ms: float,
    ) -> None:
        """Merge another placer's records, complete for the last ``known_ms``."""
        for record in records:
            current = self._others.get(record.origin)
            if record.origin != own_origin and (
                current is None or current.number < record.number
            ):
                self._others[record.origin] = record
        self._received_ms = now_ms
        if known_ms > 0.0:
            self.set_known_since(now_ms - known_ms)


def _time_slices(
    requests: Iterable[float],
    retries: Iterable[float],
    length_ms: float,
    now_ms: float,
) -> tuple[TimeSlice, ...]:
    counts: dict[int, list[int]] = {}
    for column, times in enumerate((requests, retries)):
        for time_ms in times:
            number = int((now_ms - time_ms) / length_ms)
            counts.setdefault(number, [0, 0])[column] += 1
    return tuple(
        # A slice counts as of its end, and so expires too late rather than too early.
        TimeSlice(now_ms - number * length_ms, *counts[number])
        for number in sorted(counts)
    )
