"""Wait longer after each failure in a row, and not in step with others."""

import random
from typing import Final

SPREAD: Final = 0.5
"""Part of a wait that is drawn: nodes that failed together must not try together."""


class Backoff:
    """Give the waits between the tries of one call.

    The load is a whole fleet whose calls exceed what the store takes: tried again at a
    fixed pace, they would exceed it for as long as the fleet is large.
    """

    def __init__(self, first_ms: float, longest_ms: float, draw: random.Random) -> None:
        self._next_ms = first_ms
        self._longest_ms = longest_ms
        self._draw = draw

    def next_ms(self) -> float:
        """Return how long to wait after one more failure."""
        wait_ms = self._next_ms
        self._next_ms = min(self._longest_ms, wait_ms * 2.0)
        return wait_ms * self._draw.uniform(1.0 - SPREAD, 1.0 + SPREAD)
