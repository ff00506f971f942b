"""Learn the latency distribution of healthy work in a group of targets."""

from bisect import bisect_right
from math import exp, log
from typing import Final

MIN_LATENCY_MS: Final = 0.5
BUCKET_RATIO: Final = 1.25
BUCKETS: Final = 60  # up to 260 s
EDGES_MS: Final = tuple(MIN_LATENCY_MS * BUCKET_RATIO**i for i in range(BUCKETS))

MIN_SAMPLES: Final = 50.0
"""Fewer samples say nothing about the tail, so no target is evaluated by them."""

TAIL_INDEX: Final = 2.0
"""Pareto index assumed beyond the longest latency seen: a heavy tail."""

LONGEST_DECAY_MS: Final = 300_000.0
"""Decay time of the longest latency, so that work that arrives only every few minutes
still counts as typical after its samples have decayed."""


def bucket_of(latency_ms: float) -> int:
    """Return the index of the bucket that holds a latency."""
    return bisect_right(EDGES_MS, latency_ms)


class LatencyReference:
    """Estimate the probability that a healthy target exceeds a latency.

    ``hazard`` is -ln of that probability, the cumulative hazard. For healthy work it
    is exponentially distributed with mean 1 whatever the distribution of latencies, so
    no assumption about the callers' work is needed and uploads and lookups may be
    mixed.
    """

    def __init__(self, cap_nats: float, decay_ms: float) -> None:
        self._cap_nats = cap_nats
        self._decay_ms = decay_ms
        self._counts = [0.0] * (BUCKETS + 1)
        self._hazards = [0.0] * (BUCKETS + 1)
        self._longest_ms = 0.0
        self._learnt_ms = 0.0
        self.samples = 0.0

    def learn(self, fresh: list[int], elapsed_ms: float) -> None:
        """Decay the counts by age and add the new count of each bucket."""
        decay = exp(-elapsed_ms / self._decay_ms)
        counts = self._counts
        for i, count in enumerate(fresh):
            counts[i] = counts[i] * decay + count
        self._learnt_ms += elapsed_ms
        self._longest_ms *= exp(-elapsed_ms / LONGEST_DECAY_MS)
        self._rebuild()

    def _rebuild(self) -> None:
        self.samples = sum(self._counts)
        above = self.samples
        highest = 0
        for i, count in enumerate(self._counts):
            # Add-one smoothing: an empty tail does not mean that it has probability 0.
            self._hazards[i] = -log((above + 1.0) / (self.samples + 1.0))
            above -= count
            if count >= 0.5:  # noqa: PLR2004 - older samples have decayed
                highest = i
        seen_ms = EDGES_MS[min(highest, BUCKETS - 1)]
        self._longest_ms = max(self._longest_ms, seen_ms)

    def hazard(self, latency_ms: float) -> float:
        """Return -ln of the probability that healthy work takes longer, capped."""
        if self.samples < MIN_SAMPLES:
            return 0.0
        if latency_ms > self._longest_ms:
            max_hazard = log(self.samples + 1.0)
            if self._learnt_ms < self._decay_ms:
                # Rare long work, such as uploads, may not have been seen yet.
                return min(self._cap_nats, max_hazard)
            beyond = TAIL_INDEX * log(latency_ms / self._longest_ms)
            return min(self._cap_nats, max_hazard + beyond)
        i = bisect_right(EDGES_MS, latency_ms)
        low = self._hazards[i]
        if i + 1 > BUCKETS:
            return min(self._cap_nats, low)
        high = self._hazards[i + 1]
        start = EDGES_MS[i - 1] if i else 0.0
        fraction = (latency_ms - start) / (EDGES_MS[i] - start)
        return min(self._cap_nats, low + (high - low) * fraction)
