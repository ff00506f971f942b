"""Name the results of spending and the messages between share holders."""

from dataclasses import dataclass
from typing import Final, TypeAlias

from crocusspindle.ids import CustomerId, MemberId

MIN_GRACE_MS: Final = 10.0
"""Room of a loan is kept at least so long: three round trips between domains.

A full bucket forgoes this much refill for each loan, 0.5 % of a token at 0.5/s.
"""

MAX_GRACE_MS: Final = 25.0
"""Room of a loan is kept at most so long: ten round trips between domains.

Later loans lose by their lender's refill. Longer is worse for small customers: an
idle token that comes back meanwhile finds no room.
"""


MAX_WAIT_MS: Final = 20.0
"""A request whose token is due so soon waits for it, up to `MAX_TRIES` times.

Made for small customers close to their rate: levelling two shares costs some 18 ms
of refill, and a request that comes within them would be refused though it is within
the rate. Longer gives the tokens of requests within the rate to earlier ones over it.
"""

MAX_TRIES: Final = 3
"""Tries of one request, the first included: holders of large customers name times a
few milliseconds ahead for every request over the rate."""


MAX_GATHERS: Final = 4
"""Questions that a holder asks others for one question with ``gather``.

Made for a burst that drains all shares: holders would else take tokens from each
other for as long as any are left.
"""


@dataclass(frozen=True, slots=True)
class Spent:
    """Admit the request: one token was taken at ``spent_at_ms``."""

    spent_at_ms: float


@dataclass(frozen=True, slots=True)
class Borrow:
    """Ask the first of ``holders`` for ``missing`` tokens, then report back.

    With ``gather`` that one first collects what it lacks from the others.
    """

    holders: tuple[MemberId, ...]
    missing: float
    gather: bool = False


@dataclass(frozen=True, slots=True)
class OverRate:
    """Refuse the request as not run; a token may be there at ``retry_at_ms``."""

    retry_at_ms: float

    def waits(self, begun_ms: float, tries: int) -> bool:
        """Return True if a request had better wait and spend again at that time."""
        return tries < MAX_TRIES and self.retry_at_ms - begun_ms <= MAX_WAIT_MS


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
