"""Keep a window of the recent latencies of a group."""

from collections import deque
from typing import Final

_WINDOW_SIZE: Final = 512
"""Number of samples kept. 25 of them lie above the 95th percentile, and at 130 requests
a second the window follows a change within 4 s."""

_SORT_INTERVAL: Final = 32
"""Number of samples between two sorts, so that a sample costs about 1 us."""

_MIN_SAMPLES: Final = 32
"""Number of samples needed for a quantile; fewer do not determine the tail."""

_MEAN_GAIN: Final = 1.0 / 64.0
"""The mean follows a change within about 64 samples, half a second at 130 requests a
second."""


class LatencyWindow:
    """Estimate the mean and quantiles of recent latencies."""

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=_WINDOW_SIZE)
        self._sorted: list[float] = []
        self._unsorted = 0
        self.mean_ms: float | None = None

    def add(self, latency_ms: float) -> None:
        """Add a sample."""
        self._samples.append(latency_ms)
        self._unsorted += 1
        if self.mean_ms is None:
            self.mean_ms = latency_ms
        gain = max(_MEAN_GAIN, 1.0 / len(self._samples))
        self.mean_ms += gain * (latency_ms - self.mean_ms)
        if self._unsorted >= _SORT_INTERVAL:
            self._sorted = sorted(self._samples)
            self._unsorted = 0

    def quantile_ms(self, fraction: float) -> float | None:
        """Return a quantile, or None while there are too few samples."""
        if len(self._sorted) < _MIN_SAMPLES:
            return None
        index = min(int(fraction * len(self._sorted)), len(self._sorted) - 1)
        return self._sorted[index]
