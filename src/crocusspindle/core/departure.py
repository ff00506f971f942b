"""Decide whether work that starts on a leaving node can end before it gives up.

A caller that is refused at once repeats its request at another node. One whose request
is cut off must not repeat it unless it is idempotent.

How long recent work took says little about a target that hangs, or about rare long
work. A node can guarantee only that it responds at a request's deadline.
"""

import math
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.configuration import RouteRule

WINDOW_MS: Final = 60_000.0
"""Durations count for one to two of these windows."""

KNOWN_ATTEMPTS: Final = 50
"""Attempts whose longest shows how long a route's work may take."""

KNOWN_FACTOR: Final = 1.1
"""How much longer than the longest of them the next attempt may take."""

FEW_ATTEMPTS: Final = 10
"""Attempts that show little more than that a route's work keeps its objective."""

FEW_FACTOR: Final = 1.5
"""How much longer than the longest of fewer than `KNOWN_ATTEMPTS` the next may take,
and than the latency objective if there are less than `FEW_ATTEMPTS`."""

DELIVERY_MS: Final = 50.0
"""Time to pass a target's response on to its caller."""

EXIT_MS: Final = 300.0
"""How long before the end of the grace period running requests are given up. The
process exits by itself within this time on a busy host."""

EXIT_FRACTION: Final = 0.12
"""The same as a fraction of a short grace period."""

GUESS_MS: Final = 2_500.0
"""How long after its stop a node starts work that is expected to end in time. Most
callers have looked up another node by then, so that few are refused afterwards."""

GUESS_FRACTION: Final = 0.45
"""The same as a fraction of a short grace period."""


@dataclass(slots=True)
class _Durations:
    """Hold how many attempts a route had, and the longest of them."""

    attempts: int = 0
    longest_ms: float = 0.0

    def add(self, attempts: int, longest_ms: float) -> None:
        self.attempts += attempts
        self.longest_ms = max(self.longest_ms, longest_ms)


class WorkDurations:
    """Hold how long the recent attempts of each route took."""

    def __init__(self) -> None:
        self._current: dict[str, _Durations] = {}
        self._previous: dict[str, _Durations] = {}
        self._began_ms = -math.inf

    def record(self, route: RouteRule, duration_ms: float, now_ms: float) -> None:
        """Record an attempt that its target answered."""
        self._advance(now_ms)
        self._current.setdefault(route.name, _Durations()).add(1, duration_ms)

    def expected_ms(self, route: RouteRule, now_ms: float) -> float:
        """Return for how long an attempt may take that starts now."""
        self._advance(now_ms)
        known = _Durations()
        for window in (self._current, self._previous):
            durations = window.get(route.name, _Durations())
            known.add(durations.attempts, durations.longest_ms)
        if known.attempts >= KNOWN_ATTEMPTS:
            return known.longest_ms * KNOWN_FACTOR
        aim_factor = FEW_FACTOR if known.attempts < FEW_ATTEMPTS else 1.0
        return max(known.longest_ms * FEW_FACTOR, route.aim_ms * aim_factor)

    def _advance(self, now_ms: float) -> None:
        if now_ms < self._began_ms + WINDOW_MS:
            return
        is_recent = now_ms < self._began_ms + 2 * WINDOW_MS
        self._previous = self._current if is_recent else {}
        self._current = {}
        self._began_ms = now_ms


class Departure:
    """Hold when a node gives up its work, and decide what may still start.

    From ``certain_from_ms`` on only work starts whose deadline passes before
    ``give_up_ms``. All times are infinite while the node stays.
    """

    def __init__(self) -> None:
        self.began_ms = math.inf
        self.certain_from_ms = math.inf
        self.give_up_ms = math.inf
        self.durations = WorkDurations()

    def begin(self, now_ms: float, grace_ms: float) -> None:
        """Leave from now on; the process ends within a grace period."""
        self.began_ms = now_ms
        self.certain_from_ms = now_ms + min(GUESS_MS, grace_ms * GUESS_FRACTION)
        self.give_up_ms = now_ms + give_up_after_ms(grace_ms)

    @property
    def is_leaving(self) -> bool:
        """Return True if the node is leaving."""
        return self.give_up_ms < math.inf

    def allows(self, route: RouteRule, deadline_ms: float, now_ms: float) -> bool:
        """Return True if a request may begin its first attempt or a retry now.

        One that reaches its deadline in time counts as ended: its caller gets a
        response then.
        """
        if now_ms < self.certain_from_ms:
            return self.expects_end(route, deadline_ms, now_ms)
        return deadline_ms + DELIVERY_MS <= self.give_up_ms

    def expects_end(self, route: RouteRule, deadline_ms: float, now_ms: float) -> bool:
        """Return True if an attempt that starts now is expected to end in time."""
        if not self.is_leaving:
            return True
        end_ms = min(deadline_ms, now_ms + self.durations.expected_ms(route, now_ms))
        return end_ms + DELIVERY_MS <= self.give_up_ms

    def request_fields(self, began_ms: float) -> dict[str, object]:
        """Return when a request began, for its log line; nothing while the node stays.

        The time is negative if the node began to leave later.
        """
        if not self.is_leaving:
            return {}
        return {"after_stop_ms": round(began_ms - self.began_ms)}

    def attempt_fields(self, route: RouteRule, now_ms: float) -> dict[str, object]:
        """Return how long an attempt may take that starts now, for its log record."""
        if not self.is_leaving:
            return {}
        return {
            "expected_ms": round(self.durations.expected_ms(route, now_ms)),
            "until_give_up_ms": round(self.give_up_ms - now_ms),
        }


def give_up_after_ms(grace_ms: float) -> float:
    """Return how long after its stop a node gives up running requests."""
    return grace_ms - min(EXIT_MS, grace_ms * EXIT_FRACTION)
