"""Bound the extra load of retries and hedges."""

from typing import Final

_BURST_TOKENS: Final = 10.0
"""Ten retries at once cover the 2 to 6 requests that run on a target when it dies,
and one more; more would let a long calm pay for a storm."""


class Budget:
    """Allow extra attempts as a fraction of first attempts.

    Load: many requests failing at once. Harm prevented: retries that multiply the
    load of targets that already fail. The floor lets a group with almost no
    traffic retry at all.
    """

    def __init__(self, fraction: float, floor_per_s: float) -> None:
        self._fraction = fraction
        self._floor_per_ms = floor_per_s / 1_000.0
        self._filled_at_ms: float | None = None
        self.tokens = _BURST_TOKENS if fraction > 0 else 0.0

    def deposit(self) -> None:
        """Earn the part of a token that a first attempt is worth."""
        if self._fraction > 0:
            self.tokens = min(_BURST_TOKENS, self.tokens + self._fraction)

    def take(self, now_ms: float) -> bool:
        """Return True and spend a token if an extra attempt may be sent."""
        if self._fraction <= 0:
            return False
        if self._filled_at_ms is not None:
            earned = (now_ms - self._filled_at_ms) * self._floor_per_ms
            self.tokens = min(_BURST_TOKENS, self.tokens + max(0.0, earned))
        self._filled_at_ms = now_ms
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of an extra attempt that was taken back."""
        self.tokens = min(_BURST_TOKENS, self.tokens + 1.0)
