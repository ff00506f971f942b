"""Learn how long healthy work takes in a group of targets."""

from bisect import bisect_right
from math import exp, log
from typing import Final

SHORTEST_MS: Final = 0.5
BUCKET_RATIO: Final = 1.25
BUCKETS: Final = 60  # up to 260 s
EDGES_MS: Final = tuple(SHORTEST_MS * BUCKET_RATIO**i for i in range(BUCKETS))

LEAST_SAMPLES: Final = 50.0
"""Fewer samples say nothing of a tail, so they judge nobody."""

TAIL_INDEX: Final = 2.0
"""Beyond all seen, survival is taken to fall as slowly as a square: a heavy tail."""

LONGEST_MEMORY_MS: Final = 300_000.0
"""Work that comes once in minutes is usual, too, though its samples have faded."""


def bucket_of(latency_ms: float) -> int:
    """Return the index of the bucket that holds a latency."""
    return bisect_right(EDGES_MS, latency_ms)


class LatencyReference:
    """Tell how unlikely a healthy target is to take longer than a latency.

    ``hazard`` is -ln of that probability. Of healthy work it is distributed
    exponentially with mean 1 whatever the latencies' own distribution, so no shape
    of the callers' work needs to be assumed: uploads and look-ups may mix.
    """

    def __init__(self, cap_nats: float, memory_ms: float) -> None:
        self._cap_nats = cap_nats
        self._memory_ms = memory_ms
        self._counts = [0.0] * (BUCKETS + 1)
        self._hazards = [0.0] * (BUCKETS + 1)
        self._longest_ms = 0.0
        self._learnt_ms = 0.0
        self.samples = 0.0

    def learn(self, fresh: list[int], elapsed_ms: float) -> None:
        """Forget by age and add the fresh counts of each bucket."""
        keep = exp(-elapsed_ms / self._memory_ms)
        counts = self._counts
        for i, count in enumerate(fresh):
            counts[i] = counts[i] * keep + count
        self._learnt_ms += elapsed_ms
        self._longest_ms *= exp(-elapsed_ms / LONGEST_MEMORY_MS)
        self._rebuild()

    def _rebuild(self) -> None:
        self.samples = sum(self._counts)
        above = self.samples
        highest = 0
        for i, count in enumerate(self._counts):
            # One sample more than seen: a tail not seen is not a tail without any.
            self._hazards[i] = -log((above + 1.0) / (self.samples + 1.0))
            above -= count
            if count >= 0.5:  # noqa: PLR2004 - older samples have faded
                highest = i
        seen_ms = EDGES_MS[min(highest, BUCKETS - 1)]
        self._longest_ms = max(self._longest_ms, seen_ms)

    def hazard(self, latency_ms: float) -> float:
        """Return -ln of the healthy chance to take longer, at most the cap."""
        if self.samples < LEAST_SAMPLES:
            return 0.0
        if latency_ms > self._longest_ms:
            top = log(self.samples + 1.0)
            if self._learnt_ms < self._memory_ms:
                # Rare long work, as uploads are, may not have been seen yet.
                return min(self._cap_nats, top)
            beyond = TAIL_INDEX * log(latency_ms / self._longest_ms)
            return min(self._cap_nats, top + beyond)
        i = bisect_right(EDGES_MS, latency_ms)
        low = self._hazards[i]
        if i + 1 > BUCKETS:
            return min(self._cap_nats, low)
        high = self._hazards[i + 1]
        start = EDGES_MS[i - 1] if i else 0.0
        part = (latency_ms - start) / (EDGES_MS[i] - start)
        return min(self._cap_nats, low + (high - low) * part)
