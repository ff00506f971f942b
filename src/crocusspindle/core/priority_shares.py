"""Reserve a part of a scarce resource for a priority that would be starved.

Made for an overload of many seconds by requests of a high priority. By strict priority
the lower ones would get nothing for as long as it lasts.
"""

import math
from collections.abc import Iterable
from typing import Final

RESERVED_EVERY: Final = 8
"""At most one in this many grants goes to a starved priority."""

STARVED_FRACTION: Final = 0.3
"""A priority is starved if the fraction of its requests that is served is below this
part of that of all requests. The users' bound is a quarter."""

DECAY_MS: Final = 5_000.0
"""Decay time of the counts: the fractions served are those of the last seconds."""


class _DecayedCount:
    __slots__ = ("_updated_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_ms = 0.0

    def add(self, now_ms: float) -> None:
        self._value = self.value(now_ms) + 1.0
        self._updated_ms = now_ms

    def value(self, now_ms: float) -> float:
        return self._value * math.exp(-(now_ms - self._updated_ms) / DECAY_MS)


class PriorityShares:
    """Choose the priority that gets the next grant among those that wait."""

    def __init__(self) -> None:
        self._arrived: dict[int, _DecayedCount] = {}
        self._granted: dict[int, _DecayedCount] = {}
        self._grants = 0

    def record_arrival(self, priority: int, now_ms: float) -> None:
        """Count a request."""
        self._arrived.setdefault(priority, _DecayedCount()).add(now_ms)

    def record_grant(self, priority: int, now_ms: float, waited: bool) -> None:
        """Count a grant; ``waited`` if its request had to wait for it."""
        self._granted.setdefault(priority, _DecayedCount()).add(now_ms)
        self._grants += waited

    def owed_grants(self, priority: int, now_ms: float) -> float:
        """Return how many grants a starved priority lacks; none if not positive."""
        arrived = self._arrived.get(priority)
        if arrived is None:
            return 0.0
        granted = self._granted.get(priority)
        least = STARVED_FRACTION * self._served_of_all(now_ms) * arrived.value(now_ms)
        return least - (0.0 if granted is None else granted.value(now_ms))

    def _served_of_all(self, now_ms: float) -> float:
        arrived = sum(count.value(now_ms) for count in self._arrived.values())
        granted = sum(count.value(now_ms) for count in self._granted.values())
        return min(1.0, granted / arrived) if arrived > 0.0 else 1.0

    def next_priority(
        self, waiting: Iterable[int], grants_ahead: int, now_ms: float
    ) -> int:
        """Return the priority of the grant that follows ``grants_ahead`` others.

        ``waiting`` are the priorities with waiting requests, of which there must be
        one.
        """
        priorities = sorted(waiting)
        position = self._grants + grants_ahead
        if len(priorities) == 1 or position % RESERVED_EVERY != RESERVED_EVERY - 1:
            return priorities[0]
        owed, most_owed = max(
            (self.owed_grants(priority, now_ms), -priority) for priority in priorities
        )
        return -most_owed if owed > 0.0 else priorities[0]
