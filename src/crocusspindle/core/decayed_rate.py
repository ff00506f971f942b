"""Estimate the recent rate of events."""

import math
from typing import Final

RATE_DECAY_MS: Final = 1_000.0
"""Decay time: a burst is noticed within its first second, and its end as soon."""


class DecayedRate:
    """Count events with weights that decay exponentially over `RATE_DECAY_MS`.

    ``min_observed_ms`` is the shortest time that counts as observed: in less, a few
    events would look like a high rate.
    """

    def __init__(self, now_ms: float, min_observed_ms: float = RATE_DECAY_MS) -> None:
        self._min_observed_ms = min_observed_ms
        self._per_ms = 0.0
        self._updated_ms = now_ms
        self._began_ms = now_ms

    def record(self, now_ms: float) -> None:
        """Count one event."""
        self._per_ms = self._decayed(now_ms) + 1.0 / RATE_DECAY_MS
        self._updated_ms = now_ms

    def per_ms(self, now_ms: float) -> float:
        """Return the recent rate."""
        # After a start only a fraction of the decay time has been observed.
        observed_ms = max(self._min_observed_ms, now_ms - self._began_ms)
        return self._decayed(now_ms) / (1.0 - math.exp(-observed_ms / RATE_DECAY_MS))

    def _decayed(self, now_ms: float) -> float:
        passed_ms = max(0.0, now_ms - self._updated_ms)
        return self._per_ms * math.exp(-passed_ms / RATE_DECAY_MS)
