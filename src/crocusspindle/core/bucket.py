"""Keep the tokens of one share, and tokens that are on their way.

The bound rests on one sum. For each share of size ``cap`` let the stock be the
tokens in its bucket plus the value of every loan made from it that may still be
spent. The stock never passes ``cap``, it grows by at most the share's rate, and
each admitted request takes one token out of a stock. So over any window of t
seconds all holders and borrowers of a customer together admit at most the sum of
``cap + rate x t`` over its shares, which is ``burst + rate x t``.
"""

import math
from typing import Final

RESERVATION_STEP_MS: Final = 10.0
"""Reservations are rounded up to this, so that their number stays bounded."""


class ShareBucket:
    """Hold the tokens of one share.

    A loan that may still be spent elsewhere reserves its room here (`reserve`).
    Without that the bucket would fill up again while the loan travels, and bucket
    and loan together would hold more than the share's burst: one would notice two
    bursts within one window.
    """

    __slots__ = (
        "_at_ms",
        "_cap",
        "_clipped_at_ms",
        "_raise",
        "_rate_per_ms",
        "_reserved",
        "_tokens",
    )

    def __init__(
        self, cap: float, rate_per_ms: float, opens_at_ms: float, tokens: float = 0.0
    ) -> None:
        self._cap = cap
        self._rate_per_ms = rate_per_ms
        self._at_ms = opens_at_ms
        self._tokens = tokens
        self._clipped_at_ms = -math.inf
        self._reserved: list[tuple[float, float]] = []
        self._raise: tuple[float, float, float] | None = None

    @property
    def cap(self) -> float:
        """Return the share of the burst."""
        return self._cap

    @property
    def rate_per_ms(self) -> float:
        """Return the refill of this share."""
        return self._rate_per_ms

    @property
    def raise_at_ms(self) -> float | None:
        """Return when a larger share comes into force, if one waits."""
        return self._raise[0] if self._raise else None

    def tokens(self, now_ms: float) -> float:
        """Refill up to now and return the tokens that may be taken."""
        while self._reserved and self._reserved[0][0] <= now_ms:
            until_ms = self._reserved[0][0]
            self._refill(until_ms)
            del self._reserved[0]
        if self._raise and self._raise[0] <= now_ms:
            self._refill(self._raise[0])
            _, self._cap, self._rate_per_ms = self._raise
            self._raise = None
        self._refill(now_ms)
        return self._tokens

    def open_at(self, opens_at_ms: float) -> None:
        """Refill from this time on."""
        self._at_ms = opens_at_ms

    def _refill(self, to_ms: float) -> None:
        if to_ms <= self._at_ms:
            return
        self._tokens += self._rate_per_ms * (to_ms - self._at_ms)
        self._at_ms = to_ms
        room = self.room()
        if self._tokens >= room:
            self._tokens = room
            self._clipped_at_ms = to_ms

    def room(self) -> float:
        """Return the most tokens that fit beside the reserved loans."""
        return max(0.0, self._cap - sum(amount for _, amount in self._reserved))

    def take(self, amount: float) -> None:
        """Take tokens that `tokens` has just shown to be there."""
        self._tokens -= amount

    def put(self, amount: float, now_ms: float) -> None:
        """Add borrowed tokens, up to this share's own room."""
        self._tokens = self.tokens(now_ms) + amount
        self._clip(now_ms)

    def put_back(self, spent_at_ms: float, now_ms: float) -> None:
        """Return the token of a request that was not run.

        If the bucket has been full since the token was taken, it would have been
        full without that spending too, and has made up for it already. A token
        put back then would count twice: a burst of requests, refused late and put
        back into a bucket filled meanwhile, would let two bursts pass at once.
        """
        self.tokens(now_ms)
        if spent_at_ms >= self._clipped_at_ms:
            self.put(1.0, now_ms)

    def _clip(self, now_ms: float) -> None:
        room = self.room()
        if self._tokens > room:
            self._tokens = room
            # Just after any spending of this very instant.
            self._clipped_at_ms = math.nextafter(now_ms, math.inf)

    def reserve(self, amount: float, until_ms: float) -> None:
        """Keep the room of a loan free until the time, rounded up."""
        steps = math.ceil(until_ms / RESERVATION_STEP_MS)
        until_ms = max(until_ms, steps * RESERVATION_STEP_MS)
        if self._reserved and self._reserved[-1][0] >= until_ms:
            last_ms, held = self._reserved[-1]
            self._reserved[-1] = (last_ms, held + amount)
            return
        self._reserved.append((until_ms, amount))

    def resize(
        self, cap: float, rate_per_ms: float, now_ms: float, raise_at_ms: float
    ) -> None:
        """Take a lower cap and rate at once and higher ones at the time."""
        self.tokens(now_ms)
        self._raise = None
        if raise_at_ms > now_ms and (cap > self._cap or rate_per_ms > self.rate_per_ms):
            self._raise = (raise_at_ms, cap, rate_per_ms)
            cap = min(cap, self._cap)
            rate_per_ms = min(rate_per_ms, self._rate_per_ms)
        self._cap = cap
        self._rate_per_ms = rate_per_ms
        self._clip(now_ms)


class LoanPot:
    """Hold tokens borrowed by a node that holds no share of the customer.

    The lenders refill while these tokens lie here, so what came from a lender
    loses as much as that lender may have gained. The tokens are meant to be spent
    at once; what is left dies away.
    """

    __slots__ = ("_at_ms", "_parts")

    def __init__(self) -> None:
        self._parts: dict[str, tuple[float, float]] = {}
        self._at_ms = -math.inf

    def tokens(self, now_ms: float) -> float:
        """Return what may still be spent."""
        if now_ms > self._at_ms:
            self._decay(now_ms - self._at_ms)
            self._at_ms = now_ms
        return sum(value for value, _ in self._parts.values())

    def _decay(self, elapsed_ms: float) -> None:
        if self._parts:
            self._parts = {
                source: (value - rate_per_ms * elapsed_ms, rate_per_ms)
                for source, (value, rate_per_ms) in self._parts.items()
                if value > rate_per_ms * elapsed_ms
            }

    def put(
        self, source: str, amount: float, decay_per_ms: float, now_ms: float
    ) -> None:
        """Add tokens of a lender that refills at the given rate."""
        self.tokens(now_ms)
        left, old_per_ms = self._parts.get(source, (0.0, 0.0))
        self._parts[source] = (left + amount, max(old_per_ms, decay_per_ms))

    def take(self, amount: float) -> None:
        """Take tokens that `tokens` has just shown to be there."""
        for source, (value, rate_per_ms) in list(self._parts.items()):
            part = min(value, amount)
            amount -= part
            self._parts[source] = (value - part, rate_per_ms)
