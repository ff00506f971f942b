"""Keep the tokens of one share, and tokens on loan.

The admission bound follows from one invariant. For each share of size ``cap`` let the
stock be the tokens in its bucket plus the value of every loan made from it that may
still be spent. The stock never exceeds ``cap``, it grows by at most the share's rate,
and each admitted request takes one token out of a stock. So over any window of t
seconds all holders and borrowers of a customer together admit at most the sum of
``cap + rate x t`` over its shares, which is ``burst + rate x t``.
"""

import math
from dataclasses import dataclass
from typing import Final

MAX_RESERVATIONS: Final = 16
"""Loans with a reservation of their own; further ones extend the last reservation.

A share of 64/s lends this many in a quarter of a second, longer than a grace period.
"""


class ShareBucket:
    """Hold the tokens of one share.

    A loan that may still be spent elsewhere reserves its capacity here (`reserve`).
    Otherwise the bucket would fill up again while the loan is in flight, bucket and
    loan together would exceed the share's burst, and one window could admit two bursts.
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
        """Return this share's fraction of the burst."""
        return self._cap

    @property
    def rate_per_ms(self) -> float:
        """Return the refill of this share."""
        return self._rate_per_ms

    @property
    def raise_at_ms(self) -> float | None:
        """Return when a pending larger cap and rate take effect, or None."""
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
        """Start to refill at this time."""
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
        """Return the capacity that is not reserved for loans."""
        return max(0.0, self._cap - sum(amount for _, amount in self._reserved))

    def take(self, amount: float) -> None:
        """Take tokens; `tokens` must have just returned at least this amount."""
        self._tokens -= amount

    def free_capacity(self, now_ms: float) -> float:
        """Return how many borrowed tokens fit."""
        return max(0.0, self.room() - self.tokens(now_ms))

    def put(self, amount: float, now_ms: float) -> None:
        """Add borrowed tokens, up to the capacity that is not reserved."""
        self._tokens = self.tokens(now_ms) + amount
        self._clip(now_ms)

    def put_back(self, spent_at_ms: float, now_ms: float) -> None:
        """Put back the token of a request that did not run.

        If the bucket has been full since the token was taken, its refill has already
        replaced that token, and putting it back would count it twice: the tokens of a
        burst that is refused late, put back into a bucket that has filled up since,
        would admit two bursts at once.
        """
        self.tokens(now_ms)
        if spent_at_ms >= self._clipped_at_ms:
            self.put(1.0, now_ms)

    def _clip(self, now_ms: float) -> None:
        room = self.room()
        if self._tokens > room:
            self._tokens = room
            # Just after now, so that a token taken at this very time is not put back.
            self._clipped_at_ms = math.nextafter(now_ms, math.inf)

    def reserve(self, amount: float, until_ms: float) -> None:
        """Reserve the capacity for a loan until a time or longer."""
        if not self._reserved or (
            until_ms > self._reserved[-1][0] and len(self._reserved) < MAX_RESERVATIONS
        ):
            self._reserved.append((until_ms, amount))
            return
        last_ms, last_amount = self._reserved[-1]
        self._reserved[-1] = (max(last_ms, until_ms), last_amount + amount)

    def resize(
        self, cap: float, rate_per_ms: float, now_ms: float, raise_at_ms: float
    ) -> None:
        """Apply a lower cap and rate at once and higher ones at ``raise_at_ms``."""
        self.tokens(now_ms)
        self._raise = None
        if raise_at_ms > now_ms and (cap > self._cap or rate_per_ms > self.rate_per_ms):
            self._raise = (raise_at_ms, cap, rate_per_ms)
            cap = min(cap, self._cap)
            rate_per_ms = min(rate_per_ms, self._rate_per_ms)
        self._cap = cap
        self._rate_per_ms = rate_per_ms
        self._clip(now_ms)


@dataclass(slots=True)
class _LenderTokens:
    value: float
    decay_per_ms: float
    decays_from_ms: float

    def apply_decay(self, from_ms: float, to_ms: float) -> None:
        decaying_ms = to_ms - max(from_ms, self.decays_from_ms)
        if decaying_ms > 0:
            self.value = max(0.0, self.value - self.decay_per_ms * decaying_ms)


class LoanPool:
    """Hold tokens borrowed by a node that holds no share of the customer.

    The lenders refill while these tokens are kept here, so each loan loses, after its
    grace period, as much as its lender may have refilled. The tokens are meant to be
    spent at once; the rest decays to zero.
    """

    __slots__ = ("_at_ms", "_by_lender")

    def __init__(self) -> None:
        self._by_lender: dict[str, _LenderTokens] = {}
        self._at_ms = -math.inf

    def tokens(self, now_ms: float) -> float:
        """Return how many tokens may still be spent."""
        if now_ms > self._at_ms:
            for borrowed in self._by_lender.values():
                borrowed.apply_decay(self._at_ms, now_ms)
            self._at_ms = now_ms
        return sum(borrowed.value for borrowed in self._by_lender.values())

    def max_decay(self, ahead_ms: float) -> float:
        """Return how many tokens decay at most over a time."""
        return ahead_ms * sum(
            borrowed.decay_per_ms for borrowed in self._by_lender.values()
        )

    def put(
        self,
        lender: str,
        amount: float,
        decay_per_ms: float,
        decays_from_ms: float,
        now_ms: float,
    ) -> None:
        """Add a lender's tokens, which decay at the given rate from a time on."""
        self.tokens(now_ms)
        existing = self._by_lender.get(lender)
        if existing is not None and existing.value > 0.0:
            amount += existing.value
            decay_per_ms = max(decay_per_ms, existing.decay_per_ms)
            decays_from_ms = min(decays_from_ms, existing.decays_from_ms)
        self._by_lender[lender] = _LenderTokens(amount, decay_per_ms, decays_from_ms)

    def take(self, amount: float) -> None:
        """Take tokens; `tokens` must have just returned at least this amount."""
        for borrowed in self._by_lender.values():
            taken = min(borrowed.value, amount)
            borrowed.value -= taken
            amount -= taken
        self._by_lender = {
            lender: borrowed
            for lender, borrowed in self._by_lender.items()
            if borrowed.value > 0.0
        }
