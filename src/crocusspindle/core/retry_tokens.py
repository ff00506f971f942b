"""Bound the extra load of retries and hedges by a token bucket."""

from typing import Final

_BURST_TOKENS: Final = 10.0
"""Ten retries at once cover the 2 to 6 requests running on a target that crashes, with
some to spare. A larger burst would allow a retry storm after a long quiet period."""


class RetryTokens:
    """Allow extra attempts as a fraction of first attempts.

    When many requests fail at once, retries must not multiply the load of the
    failing targets. The floor lets a group with almost no traffic retry at all.
    """

    def __init__(self, fraction: float, floor_per_s: float) -> None:
        self._fraction = fraction
        self._floor_per_ms = floor_per_s / 1_000.0
        self._filled_at_ms: float | None = None
        self.available = _BURST_TOKENS if fraction > 0 else 0.0

    def deposit(self) -> None:
        """Add the fraction of a token that a first attempt earns."""
        if self._fraction > 0:
            self.available = min(_BURST_TOKENS, self.available + self._fraction)

    def try_spend(self, now_ms: float) -> bool:
        """Spend a token and return True if an extra attempt may be sent."""
        if self._fraction <= 0:
            return False
        if self._filled_at_ms is not None:
            earned = (now_ms - self._filled_at_ms) * self._floor_per_ms
            self.available = min(_BURST_TOKENS, self.available + max(0.0, earned))
        self._filled_at_ms = now_ms
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True

    def refund(self) -> None:
        """Refund the token of an extra attempt that was preempted."""
        self.available = min(_BURST_TOKENS, self.available + 1.0)
