"""Keep timers of requests and attempts, earliest first."""

from collections.abc import Callable
from enum import Enum
from heapq import heapify, heappop, heappush
from typing import Final

_MIN_SWEEP_SIZE: Final = 1_024
_STALE_FACTOR: Final = 8
"""Most timers outlive their request. Stale ones are swept when the number of timers
reaches this multiple of those left by the last sweep, which bounds the memory and
amortises a sweep over many additions."""


class TimerKind(Enum):
    """Name the purpose of a timer."""

    DEADLINE = "deadline"
    HEDGE = "hedge"
    LOST_REPORT = "lost_report"


Timer = tuple[float, int, TimerKind, int]


class Timers:
    """Hold timers; a stale one, whose subject has ended, stays until due or swept."""

    def __init__(self, is_live: Callable[[TimerKind, int], bool]) -> None:
        self._heap: list[Timer] = []
        self._sequence = 0
        self._sweep_at = _MIN_SWEEP_SIZE
        self._is_live = is_live

    def add(self, due_ms: float, kind: TimerKind, subject: int) -> None:
        """Add a timer for a request or an attempt."""
        self._sequence += 1
        heappush(self._heap, (due_ms, self._sequence, kind, subject))
        if len(self._heap) >= self._sweep_at:
            self._heap = [timer for timer in self._heap if self._is_live(*timer[2:])]
            heapify(self._heap)
            self._sweep_at = max(_MIN_SWEEP_SIZE, _STALE_FACTOR * len(self._heap))

    def pop_due(self, now_ms: float) -> tuple[TimerKind, int] | None:
        """Remove and return the earliest live timer that is due, or None."""
        while self._heap and self._heap[0][0] <= now_ms:
            _, _, kind, subject = heappop(self._heap)
            if self._is_live(kind, subject):
                return kind, subject
        return None

    def next_ms(self) -> float | None:
        """Return when the earliest live timer is due, or None."""
        while self._heap and not self._is_live(*self._heap[0][2:]):
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None
