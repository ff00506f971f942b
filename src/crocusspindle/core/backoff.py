"""Wait longer after each consecutive failure, and not in step with other nodes."""

import random
from typing import Final

JITTER_FRACTION: Final = 0.5
"""Fraction by which a wait, also the longest one, is randomly shortened or lengthened:
nodes that failed together must not retry together."""


class Backoff:
    """Compute the waits between the tries of one call.

    Made for a whole fleet whose calls exceed what the store accepts: retried at a fixed
    interval, they would go on exceeding it.
    """

    def __init__(self, first_ms: float, max_ms: float, rng: random.Random) -> None:
        self._next_ms = first_ms
        self._max_ms = max_ms
        self._rng = rng

    def next_ms(self) -> float:
        """Return how long to wait after one more failure."""
        wait_ms = self._next_ms
        self._next_ms = min(self._max_ms, wait_ms * 2.0)
        return wait_ms * self._rng.uniform(1.0 - JITTER_FRACTION, 1.0 + JITTER_FRACTION)
