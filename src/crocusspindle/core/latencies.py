"""Remember the recent latencies of a group."""

from collections import deque
from typing import Final

_WINDOW: Final = 512
"""Samples kept: the 95th percentile then rests on 25 samples above it, and at 130
requests a second it follows a change within 4 s."""

_SORT_EVERY: Final = 32
"""Samples between two sortings, so that a sample costs about 1 us."""

_ENOUGH: Final = 32
"""Samples before a quantile is told; fewer would guess the tail."""

_MEAN_GAIN: Final = 1.0 / 64.0
"""The mean follows a change within about 64 samples, half a second today."""


class LatencyWindow:
    """Estimate the mean and quantiles of recent latencies."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=_WINDOW)
        self._sorted: list[float] = []
        self._unsorted = 0
        self.mean_ms: float | None = None

    def add(self, latency_ms: float) -> None:
        """Take a sample in."""
        self._samples.append(latency_ms)
        self._unsorted += 1
        if self.mean_ms is None:
            self.mean_ms = latency_ms
        gain = max(_MEAN_GAIN, 1.0 / len(self._samples))
        self.mean_ms += gain * (latency_ms - self.mean_ms)
        if self._unsorted >= _SORT_EVERY:
            self._sorted = sorted(self._samples)
            self._unsorted = 0

    def quantile_ms(self, fraction: float) -> float | None:
        """Return a quantile, or None before there are enough samples."""
        if len(self._sorted) < _ENOUGH:
            return None
        index = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]
