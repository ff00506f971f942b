"""Hold what one placer counted of a service's requests and repeats."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Slot:
    """Count what was sent in a part of the window that ended at a time."""

    ended_ms: float
    requests: int
    repeats: int


@dataclass(frozen=True, slots=True)
class RepeatRecord:
    """Hold the counts of one process; a higher number is newer."""

    origin: str
    number: int
    slots: Sequence[Slot]

    @property
    def newest_ms(self) -> float:
        """Return the end of the newest slot."""
        return max((slot.ended_ms for slot in self.slots), default=-math.inf)

    def requests_since(self, since_ms: float) -> int:
        """Return how many requests were sent for the first time since then."""
        return sum(slot.requests for slot in self.slots if slot.ended_ms > since_ms)

    def repeats_since(self, since_ms: float) -> int:
        """Return how many sendings were repeats since then."""
        return sum(slot.repeats for slot in self.slots if slot.ended_ms > since_ms)
