"""Pace the work of a target that says how much it takes."""

import math
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity

BURST_S: Final = 0.5
"""A target's pause of this length is made up for, or a rate would be lost where
requests come unevenly."""

LEAST_PER_S: Final = 0.1
"""A target that takes nothing is asked this often whether that still holds."""

ANSWERS_WITHOUT_LIMIT: Final = 2
"""Answers without a limit that end it."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Tell what a target's answer names as its limit, None if it named none.

    `asked_ms` is when the request was sent: answers overtake one another.
    """

    target: TargetIdentity
    limit_per_s: float | None
    asked_ms: float


class RateLimit:
    """Hold the limit of one target and count the work that it gets.

    The load is a target in need that tells how many requests a second it takes from
    all hosts together. What is sent beyond that makes its need worse.
    """

    def __init__(self) -> None:
        self._per_ms = math.inf
        self._named_asked_ms = -math.inf
        self._named_ms = -math.inf
        self._plain = 0
        self._tokens = 0.0
        self._at_ms = -math.inf

    @property
    def holds(self) -> bool:
        """Return True while there is a limit."""
        return self._per_ms < math.inf

    @property
    def limit_per_s(self) -> float | None:
        """Return the limit that holds, None without one."""
        return self._per_ms * 1e3 if self.holds else None

    @property
    def asked_ms(self) -> float:
        """Return when the request was sent whose answer named the limit."""
        return self._named_asked_ms

    def take(self, report: LimitReport, now_ms: float) -> bool:
        """Take over what an answer named; return True if the limit changed."""
        if report.limit_per_s is None:
            return self._take_none(report)
        if report.asked_ms < self._named_asked_ms:
            return False
        per_ms = max(LEAST_PER_S, report.limit_per_s) / 1e3
        self._named_asked_ms = report.asked_ms
        self._named_ms = now_ms
        self._plain = 0
        if per_ms == self._per_ms:
            return False
        if self.holds:
            self._fill(now_ms)
        else:
            # What others sent just before is not known here.
            self._tokens, self._at_ms = 0.0, now_ms
        self._per_ms = per_ms
        self._tokens = min(self._tokens, self._burst)
        return True

    def _take_none(self, report: LimitReport) -> bool:
        if not self.holds or report.asked_ms <= self._named_ms:
            return False
        self._plain += 1
        if self._plain < ANSWERS_WITHOUT_LIMIT:
            return False
        self._per_ms = math.inf
        return True

    def allows(self, now_ms: float) -> bool:
        """Return True if the target takes one more request now."""
        if not self.holds:
            return True
        self._fill(now_ms)
        return self._tokens >= 1.0

    def sent(self, now_ms: float) -> None:
        """Count one request, of this host's or of another that places there."""
        if self.holds:
            self._fill(now_ms)
            self._tokens -= 1.0

    def carries(self, usual_ms: float) -> float:
        """Return how many requests of a usual length the limit keeps running."""
        return self._per_ms * usual_ms

    @property
    def _burst(self) -> float:
        return max(1.0, self._per_ms * 1e3 * BURST_S)

    def _fill(self, now_ms: float) -> None:
        earned = max(0.0, now_ms - self._at_ms) * self._per_ms
        self._tokens = min(self._burst, self._tokens + earned)
        self._at_ms = max(self._at_ms, now_ms)
