"""Hold recent latencies of one kind of work, and rate how unusual a longer one is."""

import bisect
import math
from collections import deque
from typing import Final

MAX_SAMPLES: Final = 200
"""Enough to resolve one in a hundred, and a few seconds of a service's work."""

MIN_SAMPLES: Final = 20


class LatencySample:
    """Keep the latest latencies in order of time and of length."""

    def __init__(self, initial_ms: float) -> None:
        self._initial_ms = initial_ms
        self._by_time: deque[float] = deque()
        self._sorted: list[float] = []
        self._sum_ms = 0.0

    def add(self, latency_ms: float) -> None:
        """Add the latency of work that succeeded."""
        self._by_time.append(latency_ms)
        bisect.insort(self._sorted, latency_ms)
        self._sum_ms += latency_ms
        if len(self._by_time) > MAX_SAMPLES:
            oldest_ms = self._by_time.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest_ms)]
            self._sum_ms -= oldest_ms

    @property
    def typical_ms(self) -> float:
        """Return the mean, or an initial estimate until there are enough samples."""
        if len(self._by_time) < MIN_SAMPLES:
            return self._initial_ms
        return self._sum_ms / len(self._by_time)

    @property
    def has_enough_samples(self) -> bool:
        """Return True if there are enough samples to compare with."""
        return len(self._by_time) >= MIN_SAMPLES

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the samples, of which there must be at least one."""
        return self._sorted[
            min(len(self._sorted) - 1, int(fraction * len(self._sorted)))
        ]

    def suspicion_nats(self, age_ms: float, min_age_ms: float = 0.0) -> float:
        """Return -ln of the probability that typical work lasts longer than an age.

        It is 0 up to `min_age_ms`, since short work may have waited for a slot, and
        while there are too few samples.

        Over typical work it is exponentially distributed with mean 1, whatever the work
        is, so the values of several requests at one target may be added.
        """
        count = len(self._sorted)
        if count < MIN_SAMPLES or age_ms <= min_age_ms:
            return 0.0
        longer_count = count - bisect.bisect_right(self._sorted, age_ms)
        return -math.log((longer_count + 1) / (count + 1))
