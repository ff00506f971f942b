"""Estimate how much work comes to a service, and how much it carries."""

import math
from typing import Final

MEMORY_MS: Final = 1_000.0
"""A burst is noticed within its first second, and its end as soon."""

LEAST_SEEN_MS: Final = 200.0
"""Before that a few requests would pass for a rate."""

STEP: Final = 0.05
"""Weight of the newest answer in the mean work: the last twenty or so count."""


class Flow:
    """Follow the rate of first sendings and the mean time that an answer takes."""

    def __init__(self, now_ms: float) -> None:
        self._per_ms = 0.0
        self._at_ms = now_ms
        self._began_ms = now_ms
        self.work_ms = math.nan

    def arrived(self, now_ms: float) -> None:
        """Count one request."""
        self._per_ms = self._faded(now_ms) + 1.0 / MEMORY_MS
        self._at_ms = now_ms

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the recent rate of requests."""
        # A placer that has just taken over has seen only a part of the memory's time.
        seen_ms = max(LEAST_SEEN_MS, now_ms - self._began_ms)
        return self._faded(now_ms) / (1.0 - math.exp(-seen_ms / MEMORY_MS))

    def _faded(self, now_ms: float) -> float:
        return self._per_ms * math.exp(-max(0.0, now_ms - self._at_ms) / MEMORY_MS)

    def answered(self, latency_ms: float) -> None:
        """Take the time of one answer into account."""
        if math.isnan(self.work_ms):
            self.work_ms = latency_ms
        self.work_ms += STEP * (latency_ms - self.work_ms)

    def spare_per_ms(self, slots: float, now_ms: float) -> float:
        """Return how many requests the slots carry beyond those that arrive."""
        if math.isnan(self.work_ms):
            return 0.0
        return slots / max(1.0, self.work_ms) - self.rate_per_ms(now_ms)
