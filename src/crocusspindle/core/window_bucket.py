"""Hold a customer's token bucket over a sliding window.

In any span of s seconds, up to a window, a customer may send rate times s requests plus
the burst. A plain token bucket never forgets an admission: a customer that stays over
its rate gets the burst once and then only the rate, though its bound allows the burst
again after a window. A customer over its rate for many seconds, as after its limit was
lowered, would be refused requests within its bound: a sixth of the bound for a burst of
one second's rate and a window of five seconds.

Admissions older than the window are therefore ignored. The bound holds within any
window, also across two keepers: the requests that one keeper admits and the tokens that
the next one, which opens empty, refills in the rest of the window add up to the bound.
"""

from collections import deque
from typing import Final

from crocusspindle.core.configuration import CustomerRule

STEPS_PER_WINDOW: Final = 100
"""Time steps of a window. Admissions of one step count together, at the time of the
last: that is on the safe side, and bounds the work per request at any rate."""


class WindowBucket:
    """Count admissions within the window, and compute the tokens left."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        # Time steps: time of the first and of the last admission (ms), tokens spent.
        self._admissions: deque[tuple[float, float, float]] = deque()

    def open(self, tokens: float, rule: CustomerRule, now_ms: float) -> None:
        """Start with these tokens, as if the rest of the burst had just been spent."""
        self._admissions.clear()
        spent = _burst(rule) - tokens
        if spent > 0.0:
            self._admissions.append((now_ms, now_ms, spent))

    def tokens(self, rule: CustomerRule, now_ms: float) -> float:
        """Return the tokens available now; negative if tokens were spent in advance."""
        self._forget(now_ms)
        per_ms = rule.rate_per_s / 1e3
        available = _burst(rule)
        spent = 0.0
        for _, last_ms, count in reversed(self._admissions):
            spent += count
            available = min(
                available, _burst(rule) + per_ms * (now_ms - last_ms) - spent
            )
        return available

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        while self._admissions and self._admissions[0][1] <= since_ms:
            self._admissions.popleft()

    def record_admission(self, now_ms: float) -> None:
        """Count one admission."""
        if self._admissions:
            first_ms, _, count = self._admissions[-1]
            if now_ms - first_ms < self._window_ms / STEPS_PER_WINDOW:
                self._admissions[-1] = (first_ms, now_ms, count + 1.0)
                return
        self._admissions.append((now_ms, now_ms, 1.0))


def _burst(rule: CustomerRule) -> float:
    # A customer without a burst still gets its rate, one request at a time.
    return max(1.0, rule.burst)
