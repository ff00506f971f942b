"""Define the results of spending a token and the messages between share holders."""

from dataclasses import dataclass
from typing import Final, TypeAlias

from crocusspindle.ids import CustomerId, MemberId

MIN_GRACE_MS: Final = 10.0
"""Minimum time for which a lender reserves the capacity for a loan: three round trips
between failure domains.

A full bucket forgoes this much refill for each loan, 0.5 % of a token at 0.5/s.
"""

MAX_GRACE_MS: Final = 25.0
"""Maximum time for which a lender reserves the capacity for a loan: eight round trips
between failure domains.

A loan received later loses value by its lender's refill. A longer time is worse for
small customers: an idle token that is returned meanwhile does not fit.
"""


MAX_WAIT_MS: Final = 20.0
"""Maximum total wait of a request for tokens, over at most `MAX_TRIES` tries.

Balancing two shares costs a small customer some 18 ms of refill, and near its rate a
request within that time would be refused though it is within the rate. A longer wait
would give tokens of requests within the rate to earlier requests over it.
"""

MAX_TRIES: Final = 3
"""Maximum tries of one request, including the first. Holders of a large customer return
retry times only a few milliseconds ahead, also for requests over the rate."""


MAX_GATHERS: Final = 4
"""Loan requests that a holder sends to others to gather a token for one requester.

Otherwise, in a burst that drains all shares, the holders would borrow from each other
for as long as tokens are left.
"""


@dataclass(frozen=True, slots=True)
class Spent:
    """Admit the request: one token was taken at ``spent_at_ms``."""

    spent_at_ms: float


@dataclass(frozen=True, slots=True)
class Borrow:
    """Request ``missing`` tokens from the first of ``holders`` and credit the loan.

    With ``gather`` this node holds no share, and that holder first borrows from the
    others what it lacks.
    """

    holders: tuple[MemberId, ...]
    missing: float
    gather: bool = False


@dataclass(frozen=True, slots=True)
class OverRate:
    """Refuse the request as not run; a token may be available at ``retry_at_ms``."""

    retry_at_ms: float

    def waits(self, begun_ms: float, tries: int) -> bool:
        """Return True if the request should wait and spend again at that time."""
        return tries < MAX_TRIES and self.retry_at_ms - begun_ms <= MAX_WAIT_MS


@dataclass(frozen=True, slots=True)
class Ineligible:
    """Refuse the request as not run: this node may be isolated."""


SpendResult: TypeAlias = Spent | Borrow | OverRate | Ineligible


@dataclass(frozen=True, slots=True)
class Loan:
    """Transfer tokens that the lender has already subtracted.

    ``available`` is what the lender has left. The lender reserves the capacity for the
    loan for ``grace_ms`` after lending, then refills it at ``refill_per_s``. No field
    is a point in time, since the two clocks are unrelated.
    """

    amount: float
    refill_per_s: float
    retry_after_ms: float
    available: float = 0.0
    grace_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """Describe one share of this node."""

    customer: CustomerId
    tokens: float
    cap: float
    opens_at_ms: float


@dataclass(frozen=True, slots=True)
class ShareLedgerStatus:
    """Describe the ledger: counts, and only the emptiest shares."""

    view_number: int
    held: int
    waiting: int
    borrowing: int
    emptiest: tuple[ShareStatus, ...]
