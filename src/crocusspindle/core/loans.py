"""Name the results of spending and the messages between share holders."""

from dataclasses import dataclass
from typing import Final, TypeAlias

from crocusspindle.ids import CustomerId, MemberId

MIN_GRACE_MS: Final = 10.0
"""Room of a loan is kept at least so long: three round trips between domains.

A full bucket forgoes this much refill for each loan, 0.5 % of a token at 0.5/s.
"""

MAX_GRACE_MS: Final = 100.0
"""Room of a loan is kept at most so long, so that reservations stay few."""

FIRST_SILENCE_MS: Final = 500.0
"""How long a lender that did not answer is left alone; doubled each time.

Made for a holder lost under load: without it each request of the customer would
wait out the time limit of a question to a dead node.
"""

MAX_SILENCE_MS: Final = 4_000.0
"""Longest time for which a silent lender is left alone: about one lease."""


@dataclass(frozen=True, slots=True)
class Spent:
    """Admit the request: one token was taken at ``spent_at_ms``."""

    spent_at_ms: float


@dataclass(frozen=True, slots=True)
class Borrow:
    """Ask the first of ``holders`` for ``missing`` tokens, then report back."""

    holders: tuple[MemberId, ...]
    missing: float


@dataclass(frozen=True, slots=True)
class OverRate:
    """Refuse the request as not run; a token may be there at ``retry_at_ms``."""

    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class Unfit:
    """Refuse the request as not run: this node may be cut off."""


SpendResult: TypeAlias = Spent | Borrow | OverRate | Unfit


@dataclass(frozen=True, slots=True)
class Loan:
    """Hand over tokens that the lender has already subtracted.

    ``available`` is what the lender has left. The lender keeps the loan's room
    free for ``grace_ms`` from lending, then refills it at ``refill_per_s``. No
    field is a point in time, since the two clocks have nothing in common.
    """

    amount: float
    refill_per_s: float
    retry_after_ms: float
    available: float = 0.0
    grace_ms: float = 0.0


@dataclass(slots=True)
class LenderNote:
    """Remember what a lender said it had left, and whether it was silent."""

    quoted: float
    at_ms: float
    silent_until_ms: float = 0.0
    silence_ms: float = 0.0

    def estimate(self, cap: float, rate_per_ms: float, now_ms: float) -> float:
        """Return what the lender may have by now."""
        if now_ms < self.silent_until_ms:
            return 0.0
        refilled = max(0.0, now_ms - self.at_ms) * rate_per_ms
        return min(cap, self.quoted + refilled)

    def quote(self, available: float, now_ms: float) -> None:
        """Note an answer."""
        self.quoted = available
        self.at_ms = now_ms
        self.silence_ms = 0.0

    def silent(self, now_ms: float) -> None:
        """Note a question without an answer."""
        self.silence_ms = min(
            MAX_SILENCE_MS, max(FIRST_SILENCE_MS, 2 * self.silence_ms)
        )
        self.silent_until_ms = now_ms + self.silence_ms
        self.at_ms = now_ms


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """Show one held share."""

    customer: CustomerId
    tokens: float
    cap: float
    opens_at_ms: float


@dataclass(frozen=True, slots=True)
class LedgerStatus:
    """Show the ledger: counts, and the emptiest shares only."""

    view_number: int
    held: int
    waiting: int
    borrowing: int
    emptiest: tuple[ShareStatus, ...]
