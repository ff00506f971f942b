"""Decide whether a customer's request is within its rate over the whole fleet.

A customer's rate and burst are split into equal shares, each held by one member
(`holders`). A share admits from its own token bucket; missing tokens are borrowed
from the other holders, which subtract before they send. `bucket` defines the sum that
bounds the admissions of all holders together. Each event preserves that sum:

- Loan: taken from the lender's bucket, whose capacity for it stays reserved for a grace
  period; after that its value decays by the lender's refill. The time counts from when
  the request was sent. A lost loan or response loses tokens and creates none.
- Refund: only while the bucket has not been full since the token was taken.
- View change: a new holder starts empty, one lease after a majority has adopted the
  view, when the previous holder cannot be eligible any more and its loans have expired.
- Rate change: a decrease takes effect at once. With the same number of holders the
  shares in transition add up to at most the larger of old and new. With another number
  of holders a larger share takes effect one lease later, when the holders that it
  replaces cannot spend any more.
- Restart: a restarted node is a new member, and so a new holder.
- Pause beyond the lease: eligibility is checked when a token is taken, so a resumed
  holder takes none.
- Two members that both hold a share: the older one is not eligible, or the share of the
  newer one is not open yet.

All times are this node's monotonic clock. Clocks may drift by a fraction ``drift``:
refills are slowed and waits are lengthened by it.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from crocusspindle.core.bucket import ShareBucket
from crocusspindle.core.holders import HolderCandidate
from crocusspindle.core.lenders import Lenders, OtherHolders
from crocusspindle.core.loans import (
    MAX_GRACE_MS,
    MIN_GRACE_MS,
    Borrow,
    Ineligible,
    Loan,
    OverRate,
    ShareLedgerStatus,
    ShareStatus,
    SpendResult,
    Spent,
)
from crocusspindle.core.local_shares import LocalShares, ShareSettings
from crocusspindle.core.model import Customer
from crocusspindle.ids import CustomerId, MemberId, ViewNumber

BATCH_MS: Final = 100.0
"""An empty holder borrows what its share refills in this time.

If all callers of a large customer use one entry, one message then covers six requests
at 64/s per share. Small customers never borrow more than they lack.
"""

TOP_UP_MS: Final = 12.0
"""Minimum time between two requests for idle tokens of one customer.

Longer than a full lender reserves capacity for a loan, so that idle tokens fit in, and
longer than a round trip. Limits a holder to 83 of these requests per second for one
customer.
"""

TOP_UP_FRACTION: Final = 0.25
"""Minimum imbalance that is worth a message, as a fraction of a share's burst."""

MAX_TRACKED_CUSTOMERS: Final = 4_096
"""Customers whose lenders are remembered; beyond it the oldest one is evicted.

A loan that arrives after the eviction is still credited, but tokens left in the evicted
loan pool are lost.
"""

MAX_LISTED_SHARES: Final = 20
"""Shares that the status lists individually, the emptiest first."""


class ShareLedger:
    """Keep this member's shares and its estimates of the other holders' tokens."""

    def __init__(
        self,
        settings: ShareSettings,
        own_member: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> None:
        self._settings = settings
        self._own_member = own_member
        self._shares = LocalShares(settings, own_member, limit_of)
        self._lenders: OrderedDict[CustomerId, Lenders] = OrderedDict()
        self._eligible_until_ms = -float("inf")

    @classmethod
    def from_config(
        cls,
        settings: ShareSettings,
        own_member: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> "ShareLedger":
        """Create the ledger of a member.

        ``limit_of`` looks a customer up in the directory; without it the ledger keeps
        the limits passed to `set_limit`.
        """
        return cls(settings, own_member, limit_of)

    def set_limit(
        self,
        customer: Customer,
        now_ms: float,
        previous: Customer | None = None,
        is_new: bool = False,
    ) -> None:
        """Apply a ticket's rate and burst; see `LocalShares.set_limit`."""
        self._shares.set_limit(customer, now_ms, previous, is_new)

    def remove_limit(self, customer: CustomerId, now_ms: float) -> None:
        """Apply a ticket that removes a customer."""
        self._lenders.pop(customer, None)
        self._shares.remove_limit(customer, now_ms)

    def set_view(
        self, view_number: ViewNumber, members: Sequence[HolderCandidate], now_ms: float
    ) -> None:
        """Apply the next member view; see `LocalShares.set_view`."""
        self._shares.set_view(view_number, members, now_ms)

    def activate(self, view_number: ViewNumber, now_ms: float) -> None:
        """Start the wait after which new shares open; see `LocalShares.activate`."""
        self._shares.activate(view_number, now_ms)

    def take_over_from(self, member: MemberId, now_ms: float) -> None:
        """Take over a lost member's shares in an outage of the platform.

        See `LocalShares.take_over_from`.
        """
        self._shares.take_over_from(member, now_ms)

    def expire_shares(self, now_ms: float) -> None:
        """Restart all shares empty; see `LocalShares.expire_shares`."""
        self._shares.expire_shares(now_ms)

    def holders(self, customer: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer in the newest view."""
        return self._shares.holders(customer)

    def spend(
        self, customer: CustomerId, eligible_until_ms: float, now_ms: float
    ) -> SpendResult:
        """Take one token for a request, or return which holders to borrow from."""
        self._eligible_until_ms = eligible_until_ms
        return self._spend(customer, now_ms)

    def _spend(self, customer: CustomerId, now_ms: float) -> SpendResult:
        # The process may have been paused since the deadline was computed, so it is
        # checked at the moment at which the token is taken.
        if now_ms > self._eligible_until_ms:
            return Ineligible()
        limit = self._shares.limit_of(customer)
        if limit is None or limit.rate_per_s <= 0 or self._shares.view_number is None:
            return OverRate(now_ms + self._settings.lease_ms)
        bucket = self._shares.open_bucket(limit, now_ms)
        lenders = self._lenders_of(customer)
        from_pool = lenders.loan_pool.tokens(now_ms)
        own_tokens = from_pool + (bucket.tokens(now_ms) if bucket else 0.0)
        if own_tokens >= 1.0:
            lenders.loan_pool.take(min(1.0, from_pool))
            if bucket is not None:
                bucket.take(max(0.0, 1.0 - from_pool))
            lenders.collects_until_ms = now_ms
            return Spent(now_ms)
        other_holders = self._other_holders(limit)
        if bucket is None:
            choice = lenders.choose_for_non_holder(
                self._own_member, other_holders, 1.0 - own_tokens, now_ms
            )
            return choice if isinstance(choice, Borrow) else OverRate(choice)
        batch = self._batch(bucket)
        borrow = lenders.choose_for_holder(
            other_holders, 1.0 - own_tokens, batch, now_ms
        )
        if borrow is not None:
            return borrow
        return OverRate(now_ms + self._retry_after_ms(limit, own_tokens, now_ms))

    def _other_holders(self, limit: Customer) -> OtherHolders:
        holders = self._shares.holders(limit)
        cap, rate_per_ms = self._shares.share(limit, len(holders))
        others = [holder for holder in holders if holder != self._own_member]
        return OtherHolders(others, cap, rate_per_ms)

    @staticmethod
    def _batch(bucket: ShareBucket) -> float:
        batch = bucket.rate_per_ms * BATCH_MS
        return max(0.0, min(batch, bucket.room() - 1.0)) if batch >= 1.0 else 0.0

    def _retry_after_ms(
        self, limit: Customer, own_tokens: float, now_ms: float
    ) -> float:
        """Return how long until a whole token may be available, by lenders' quotes."""
        other_holders = self._other_holders(limit)
        lenders = self._lenders_of(limit.customer)
        if not lenders.has_requested_all(other_holders):
            return max(1.0, (1.0 - own_tokens) / other_holders.rate_per_ms)
        total_tokens = own_tokens + sum(
            lenders.estimates(other_holders, now_ms).values()
        )
        rate_per_ms = other_holders.rate_per_ms * (1 + len(other_holders.holders))
        return max(1.0, (1.0 - total_tokens) / rate_per_ms)

    def gather(
        self, customer: CustomerId, missing: float, now_ms: float
    ) -> Borrow | None:
        """Return which holder to borrow from so that this one can lend a whole token.

        Call it when a node without a share requested a loan and this holder has too
        little. Pass each reply to `credit_loan` (or `record_timeout`), then call this
        again; when it returns None, `lend` decides.
        """
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if limit is None or bucket is None or now_ms > self._eligible_until_ms:
            return None
        lacking = min(missing, 1.0) - bucket.tokens(now_ms)
        if not 0.0 < lacking <= bucket.free_capacity(now_ms):
            return None
        batch = self._batch(bucket)
        lenders = self._lenders_of(customer)
        return lenders.choose_for_holder(
            self._other_holders(limit), lacking, batch, now_ms
        )

    def lend(
        self,
        customer: CustomerId,
        missing: float,
        eligible_until_ms: float,
        now_ms: float,
    ) -> Loan:
        """Subtract tokens for another member and return them as a loan.

        A loan covers all that one request lacks or nothing: fractions lent to a node
        that cannot complete them would be lost, and a customer that retries often
        would starve below its rate. Beyond that at most half is lent.
        """
        self._eligible_until_ms = eligible_until_ms
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if now_ms > eligible_until_ms or limit is None or bucket is None:
            return Loan(0.0, 0.0, self._settings.lease_ms)
        available = bucket.tokens(now_ms)
        nominal_per_s = bucket.rate_per_ms * 1000.0 / (1 - self._settings.drift)
        retry_after_ms = self._retry_after_ms(limit, available, now_ms)
        lacking = min(missing, 1.0)
        if available < lacking or (
            lacking < 1.0 and self._keeps_fractions(limit, now_ms)
        ):
            return Loan(0.0, nominal_per_s, retry_after_ms, available)
        amount = max(lacking, min(missing, available / 2))
        grace_ms = self._grace_ms(bucket, available)
        bucket.take(amount)
        bucket.reserve(amount, now_ms + grace_ms * (1 + self._settings.drift))
        return Loan(amount, nominal_per_s, retry_after_ms, available - amount, grace_ms)

    def _keeps_fractions(self, limit: Customer, now_ms: float) -> bool:
        """Return True if this is the first holder and collects for its own request."""
        if self._own_member != self._shares.holders(limit)[0]:
            return False
        return now_ms < self._lenders_of(limit.customer).collects_until_ms

    def _grace_ms(self, bucket: ShareBucket, tokens: float) -> float:
        """Return how long the capacity for a loan stays reserved.

        The reservation costs nothing until the bucket would be full; a full bucket
        forgoes the refill of the minimum grace period.
        """
        until_full_ms = (bucket.room() - tokens) / bucket.rate_per_ms
        return min(MAX_GRACE_MS, max(MIN_GRACE_MS, until_full_ms))

    def credit_and_spend(
        self,
        customer: CustomerId,
        loan: Loan,
        lender: MemberId,
        requested_at_ms: float,
        now_ms: float,
    ) -> SpendResult:
        """Credit a loan and try again to take a token.

        The loan is worth what its lender cannot have refilled since. The time counts
        from when the request was sent, because the loan was made after that.
        """
        self.credit_loan(customer, loan, lender, requested_at_ms, now_ms)
        return self._spend(customer, now_ms)

    def top_up(self, customer: CustomerId, now_ms: float) -> Borrow | None:
        """Return which holder to borrow idle tokens from, after this one spent its own.

        Call it after this holder spent a token, and `TOP_UP_MS` after it replied to a
        node without a share, when the capacity reserved for the loan is free again.
        Do not call it after a loan to a holder, which had less.

        With a burst of two in two shares, one share is soon full while the other is
        empty, and the refill of the full one is lost: one request in nine was refused
        within the rate, at 80 % of 1/s. Balanced shares fill up together, and no
        request waits for the balancing.
        """
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if limit is None or bucket is None or now_ms > self._eligible_until_ms:
            return None
        lenders = self._lenders_of(customer)
        if now_ms < lenders.top_up_at_ms:
            return None
        estimates = lenders.estimates(self._other_holders(limit), now_ms)
        own_tokens = bucket.tokens(now_ms)
        lender = max(estimates, key=lambda holder: estimates[holder], default=None)
        if (
            lender is None
            or estimates[lender] - own_tokens < bucket.cap * TOP_UP_FRACTION
        ):
            return None
        lenders.top_up_at_ms = now_ms + TOP_UP_MS
        amount = min((estimates[lender] - own_tokens) / 2, bucket.free_capacity(now_ms))
        return Borrow((lender,), amount) if amount > 0.0 else None

    def credit_loan(
        self,
        customer: CustomerId,
        loan: Loan,
        lender: MemberId,
        requested_at_ms: float,
        now_ms: float,
    ) -> None:
        """Credit a loan without spending from it."""
        drift = self._settings.drift
        grace_ms = loan.grace_ms * (1 - drift)
        decaying_ms = (now_ms - requested_at_ms) * (1 + drift) - grace_ms
        decay_per_ms = loan.refill_per_s / 1000.0 * (1 + drift)
        value = loan.amount - decay_per_ms * max(0.0, decaying_ms)
        limit = self._shares.limit_of(customer)
        if limit is None:
            return
        refused_ms = 0.0 if loan.amount > 0.0 else loan.retry_after_ms
        lenders = self._lenders_of(customer)
        lenders.record_reply(lender, loan.available, refused_ms, now_ms)
        if value <= 0.0:
            return
        bucket = self._shares.open_bucket(limit, now_ms)
        if bucket is not None:
            fitting_tokens = min(value, bucket.free_capacity(now_ms))
            bucket.put(fitting_tokens, now_ms)
            value -= fitting_tokens
        if value > 0.0:
            # A loan that this bucket has made may still reserve the capacity.
            until_ms = requested_at_ms + grace_ms
            lenders.loan_pool.put(lender, value, decay_per_ms, until_ms, now_ms)

    def record_timeout_and_spend(
        self,
        customer: CustomerId,
        lender: MemberId,
        requested_at_ms: float,
        now_ms: float,
    ) -> SpendResult:
        """Record a loan request without a reply and try the other lenders."""
        self.record_timeout(customer, lender, now_ms)
        return self._spend(customer, now_ms)

    def record_timeout(
        self, customer: CustomerId, lender: MemberId, now_ms: float
    ) -> None:
        """Record a loan request without a reply that no caller's request waits for."""
        self._lenders_of(customer).record_no_reply(lender, now_ms)

    def refund(self, customer: CustomerId, spent_at_ms: float, now_ms: float) -> None:
        """Put back the token of a request that was refused later and did not run."""
        limit = self._shares.limit_of(customer)
        if limit is None:
            return
        bucket = self._shares.open_bucket(limit, now_ms)
        if bucket is not None:
            bucket.put_back(spent_at_ms, now_ms)
            return
        # The token was borrowed, from a lender that was not recorded; all holders
        # together refill at most at the whole rate.
        rate_per_ms = limit.rate_per_s / 1000.0
        value = 1.0 - rate_per_ms * (now_ms - spent_at_ms) * (1 + self._settings.drift)
        if value > 0.0:
            decay_per_ms = rate_per_ms * (1 + self._settings.drift)
            self._lenders_of(customer).loan_pool.put(
                "", value, decay_per_ms, now_ms, now_ms
            )

    def _lenders_of(self, customer: CustomerId) -> Lenders:
        lenders = self._lenders.get(customer)
        if lenders is None:
            lenders = self._lenders[customer] = Lenders()
            if len(self._lenders) > MAX_TRACKED_CUSTOMERS:
                self._lenders.popitem(last=False)
        return lenders

    def snapshot(self, now_ms: float) -> ShareLedgerStatus:
        """Return counts and the emptiest shares."""
        shares = [
            ShareStatus(
                name,
                local_share.bucket.tokens(now_ms),
                local_share.bucket.cap,
                local_share.opens_at_ms,
            )
            for name, local_share in self._shares.shares().items()
        ]
        shares.sort(key=lambda share: share.tokens / (share.cap or 1.0))
        return ShareLedgerStatus(
            view_number=self._shares.view_number or 0,
            held=len(shares),
            waiting=sum(share.opens_at_ms > now_ms for share in shares),
            borrowing=len(self._lenders),
            emptiest=tuple(shares[:MAX_LISTED_SHARES]),
        )
