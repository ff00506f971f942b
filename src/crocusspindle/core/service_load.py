"""Estimate how much work arrives at a service, and how much it can carry."""

import math
from typing import Final

RATE_DECAY_MS: Final = 1_000.0
"""Decay time of the arrival rate: a burst is noticed within its first second, and its
end as soon."""

MIN_OBSERVED_MS: Final = 200.0
"""Shortest observed time: in less, a few requests would look like a high rate."""

SAMPLE_WEIGHT: Final = 0.05
"""Weight of the newest answer in the mean latency: the last twenty or so count."""


class ServiceLoad:
    """Track the rate of first attempts and the mean latency of answers."""

    def __init__(self, now_ms: float) -> None:
        self._rate_per_ms = 0.0
        self._updated_ms = now_ms
        self._began_ms = now_ms
        self.mean_latency_ms = math.nan

    def record_arrival(self, now_ms: float) -> None:
        """Count one request."""
        self._rate_per_ms = self._decayed_rate(now_ms) + 1.0 / RATE_DECAY_MS
        self._updated_ms = now_ms

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the recent rate of requests."""
        # A placer that has just taken over has observed only a fraction of the decay
        # time.
        observed_ms = max(MIN_OBSERVED_MS, now_ms - self._began_ms)
        return self._decayed_rate(now_ms) / (
            1.0 - math.exp(-observed_ms / RATE_DECAY_MS)
        )

    def _decayed_rate(self, now_ms: float) -> float:
        return self._rate_per_ms * math.exp(
            -max(0.0, now_ms - self._updated_ms) / RATE_DECAY_MS
        )

    def record_answer(self, latency_ms: float) -> None:
        """Record the latency of one answer."""
        if math.isnan(self.mean_latency_ms):
            self.mean_latency_ms = latency_ms
        self.mean_latency_ms += SAMPLE_WEIGHT * (latency_ms - self.mean_latency_ms)

    def spare_per_ms(self, slots: float, now_ms: float) -> float:
        """Return the rate that the slots carry beyond the requests that arrive."""
        if math.isnan(self.mean_latency_ms):
            return 0.0
        return slots / max(1.0, self.mean_latency_ms) - self.rate_per_ms(now_ms)
