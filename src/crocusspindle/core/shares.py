"""Decide whether a customer's request is within its rate over the whole fleet.

A customer's rate and burst are cut into equal shares, each held by one member
(`holders`). A share admits from its own bucket; what is missing is borrowed from
the other holders, which subtract before they send. `bucket` gives the sum that
bounds what all admit together. Each event keeps that sum:

- Loan: taken from the lender's bucket, and its room stays reserved for the grace;
  later its value shrinks by the lender's refill over the whole round trip. A lost
  loan or answer loses tokens and makes none.
- Refund: only while the bucket has not been full since the token was taken.
- Change of view: a new holder opens empty, one lease after a majority has moved on,
  when the former holder cannot be fit any more. Its loans have died by then.
- Change of rate: lower takes effect at once. With an equal number of holders the
  shares in transit add up to at most the larger of old and new. With another number
  of holders a larger share waits one lease, for the holders that it replaces.
- Restart: a new member, so a new holder. Pause past the lease: the stamp is checked
  when a token is taken, so a woken holder takes none.
- Two holders in dispute: the older one is not fit, or the newer one is not open.

All times are the own monotonic clock. Clocks may drift by a fraction ``drift``:
refills are slowed and waits lengthened by it.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Final

from crocusspindle.core.bucket import ShareBucket
from crocusspindle.core.held import HeldShares, ShareSettings
from crocusspindle.core.holders import ViewMember
from crocusspindle.core.lenders import Lenders, Peers
from crocusspindle.core.loans import (
    MAX_GRACE_MS,
    MIN_GRACE_MS,
    Borrow,
    LedgerStatus,
    Loan,
    OverRate,
    ShareStatus,
    SpendResult,
    Spent,
    Unfit,
)
from crocusspindle.core.model import Customer
from crocusspindle.ids import CustomerId, MemberId, ViewNumber

BATCH_MS: Final = 100.0
"""A holder that runs dry borrows for so much of its share's rate at once.

Made for a large customer whose callers all use one entry: at 64/s a share, six
requests go with one message. Small customers never borrow more than they miss.
"""

TOP_UP_MS: Final = 12.0
"""Shortest time between two questions for idle tokens of one customer.

Longer than the room of a loan is kept at a full lender, so that idle tokens fit in,
and than a round trip; it bounds them to 50 questions a second and holder.
"""

TOP_UP_FRACTION: Final = 0.25
"""Difference, as a part of a share's burst, that is worth a message."""

MAX_BORROWERS: Final = 4_096
"""Customers whose lenders are remembered; forgetting one loses no token owed."""

LISTED_SHARES: Final = 20
"""Shares that the status shows one by one, the emptiest first."""


class ShareLedger:
    """Hold this member's shares and what it knows about the other holders."""

    def __init__(
        self,
        settings: ShareSettings,
        me: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> None:
        self._settings = settings
        self._me = me
        self._shares = HeldShares(settings, me, limit_of)
        self._accounts: OrderedDict[CustomerId, Lenders] = OrderedDict()
        self._fit_until_ms = -float("inf")

    @classmethod
    def from_config(
        cls,
        settings: ShareSettings,
        me: MemberId,
        limit_of: Callable[[CustomerId], Customer | None] | None = None,
    ) -> "ShareLedger":
        """Make the ledger of a member.

        ``limit_of`` looks a customer up where all are kept; without it the ledger
        keeps what `set_limit` gives.
        """
        return cls(settings, me, limit_of)

    def set_limit(
        self,
        customer: Customer,
        now_ms: float,
        former: Customer | None = None,
        is_new: bool = False,
    ) -> None:
        """Apply a ticket's rate and burst; see `HeldShares.set_limit`."""
        self._shares.set_limit(customer, now_ms, former, is_new)

    def remove_limit(self, customer: CustomerId, now_ms: float) -> None:
        """Apply a ticket that removes a customer."""
        self._accounts.pop(customer, None)
        self._shares.remove_limit(customer, now_ms)

    def set_view(
        self, view_number: ViewNumber, members: Sequence[ViewMember], now_ms: float
    ) -> None:
        """Take the next member view; see `HeldShares.set_view`."""
        self._shares.set_view(view_number, members, now_ms)

    def activate(self, view_number: ViewNumber, now_ms: float) -> None:
        """Note that no former holder can renew its fitness; see `HeldShares`."""
        self._shares.activate(view_number, now_ms)

    def gone(self, member: MemberId, now_ms: float) -> None:
        """Take over from a lost member in an outage; see `HeldShares.gone`."""
        self._shares.gone(member, now_ms)

    def lapse(self, now_ms: float) -> None:
        """Start anew after having been unfit; see `HeldShares.lapse`."""
        self._shares.lapse(now_ms)

    def holders(self, customer: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer, for entry answers."""
        return self._shares.holders(customer)

    def spend(
        self, customer: CustomerId, fit_until_ms: float, now_ms: float
    ) -> SpendResult:
        """Take one token for a request, or tell whom to ask for what is missing."""
        self._fit_until_ms = fit_until_ms
        return self._spend(customer, now_ms)

    def _spend(self, customer: CustomerId, now_ms: float) -> SpendResult:
        # The process may have been paused since the stamp was looked at: it counts
        # at the moment at which the token is taken.
        if now_ms > self._fit_until_ms:
            return Unfit()
        limit = self._shares.limit_of(customer)
        if limit is None or limit.rate_per_s <= 0 or self._shares.view_number is None:
            return OverRate(now_ms + self._settings.lease_ms)
        bucket = self._shares.open_bucket(limit, now_ms)
        lenders = self._account(customer)
        from_pot = lenders.pot.tokens(now_ms)
        own = from_pot + (bucket.tokens(now_ms) if bucket else 0.0)
        if own >= 1.0:
            lenders.pot.take(min(1.0, from_pot))
            if bucket is not None:
                bucket.take(max(0.0, 1.0 - from_pot))
            lenders.collects_until_ms = now_ms
            return Spent(now_ms)
        peers = self._peers(limit)
        if bucket is None:
            answer = lenders.for_outsider(self._me, peers, 1.0 - own, now_ms)
            return answer if isinstance(answer, Borrow) else OverRate(answer)
        batch = self._batch(bucket)
        borrow = lenders.for_holder(peers, 1.0 - own, batch, now_ms)
        if borrow is not None:
            return borrow
        return OverRate(now_ms + self._retry_after_ms(limit, own, now_ms))

    def _peers(self, limit: Customer) -> Peers:
        holders = self._shares.holders(limit)
        cap, rate_per_ms = self._shares.share(limit, len(holders))
        others = [holder for holder in holders if holder != self._me]
        return Peers(others, cap, rate_per_ms)

    @staticmethod
    def _batch(bucket: ShareBucket) -> float:
        batch = bucket.rate_per_ms * BATCH_MS
        return max(0.0, min(batch, bucket.room() - 1.0)) if batch >= 1.0 else 0.0

    def _retry_after_ms(self, limit: Customer, own: float, now_ms: float) -> float:
        """Return when a whole token can be there, by what the others have said."""
        peers = self._peers(limit)
        lenders = self._account(limit.customer)
        if not lenders.knows_all(peers):
            return max(1.0, (1.0 - own) / peers.rate_per_ms)
        total = own + sum(lenders.estimates(peers, now_ms).values())
        rate_per_ms = peers.rate_per_ms * (1 + len(peers.holders))
        return max(1.0, (1.0 - total) / rate_per_ms)

    def gather(
        self, customer: CustomerId, missing: float, now_ms: float
    ) -> Borrow | None:
        """Tell a holder whom to ask so that it can lend what it lacked.

        To be called when a question with ``gather`` found too little here. Each
        answer goes to `topped_up` (or `unanswered`), then this is asked again; when
        it names no one, `lend` decides.
        """
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if limit is None or bucket is None or now_ms > self._fit_until_ms:
            return None
        need = min(missing, 1.0) - bucket.tokens(now_ms)
        if not 0.0 < need <= bucket.free(now_ms):
            return None
        batch = self._batch(bucket)
        lenders = self._account(customer)
        return lenders.for_holder(self._peers(limit), need, batch, now_ms)

    def lend(
        self, customer: CustomerId, missing: float, fit_until_ms: float, now_ms: float
    ) -> Loan:
        """Subtract tokens for another member and return them as a loan.

        A loan covers what one request misses or is nothing: fractions handed to a
        node that cannot complete them would be lost, and a customer that retries
        often would starve below its rate. Above that at most half is lent.
        """
        self._fit_until_ms = fit_until_ms
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if now_ms > fit_until_ms or limit is None or bucket is None:
            return Loan(0.0, 0.0, self._settings.lease_ms)
        has = bucket.tokens(now_ms)
        nominal_per_s = bucket.rate_per_ms * 1000.0 / (1 - self._settings.drift)
        retry_after_ms = self._retry_after_ms(limit, has, now_ms)
        need = min(missing, 1.0)
        if has < need or (need < 1.0 and self._keeps_fractions(limit, now_ms)):
            return Loan(0.0, nominal_per_s, retry_after_ms, has)
        amount = max(need, min(missing, has / 2))
        grace_ms = self._grace_ms(bucket, has)
        bucket.take(amount)
        bucket.reserve(amount, now_ms + grace_ms * (1 + self._settings.drift))
        return Loan(amount, nominal_per_s, retry_after_ms, has - amount, grace_ms)

    def _keeps_fractions(self, limit: Customer, now_ms: float) -> bool:
        """Return True if the first holder is collecting for a request of its own."""
        if self._me != self._shares.holders(limit)[0]:
            return False
        return now_ms < self._account(limit.customer).collects_until_ms

    def _grace_ms(self, bucket: ShareBucket, has: float) -> float:
        """Return how long a loan's room stays reserved.

        As long as the bucket would not be full anyway, the reservation costs
        nothing; a full one forgoes the shortest grace.
        """
        free_ms = (bucket.room() - has) / bucket.rate_per_ms
        return min(MAX_GRACE_MS, max(MIN_GRACE_MS, free_ms))

    def borrowed(
        self,
        customer: CustomerId,
        loan: Loan,
        lender: MemberId,
        asked_at_ms: float,
        now_ms: float,
    ) -> SpendResult:
        """Credit a loan and try again to take a token.

        The loan is worth what its lender cannot have refilled meanwhile. The time
        counts from the question: the loan was made after it.
        """
        self.topped_up(customer, loan, lender, asked_at_ms, now_ms)
        return self._spend(customer, now_ms)

    def top_up(self, customer: CustomerId, now_ms: float) -> Borrow | None:
        """Tell whom to ask for idle tokens, after own ones were spent or lent.

        To be called after own spending, and `TOP_UP_MS` after a loan to a question
        with ``gather``, when its room is free again. Not after other loans: those
        went to a holder that had less.

        Made for small customers: of a burst of two in two shares one is soon full
        while the other is empty, and what the full one would refill is lost. Seen
        as refusals within rate, one in nine at 80 % of a rate of 1/s. Levelled
        shares fill up together, and no request waits for it.
        """
        limit = self._shares.limit_of(customer)
        bucket = self._shares.open_bucket(limit, now_ms) if limit else None
        if limit is None or bucket is None or now_ms > self._fit_until_ms:
            return None
        account = self._account(customer)
        if now_ms < account.top_up_at_ms:
            return None
        has = account.estimates(self._peers(limit), now_ms)
        own = bucket.tokens(now_ms)
        lender = max(has, key=lambda holder: has[holder], default=None)
        if lender is None or has[lender] - own < bucket.cap * TOP_UP_FRACTION:
            return None
        account.top_up_at_ms = now_ms + TOP_UP_MS
        amount = min((has[lender] - own) / 2, bucket.free(now_ms))
        return Borrow((lender,), amount) if amount > 0.0 else None

    def topped_up(
        self,
        customer: CustomerId,
        loan: Loan,
        lender: MemberId,
        asked_at_ms: float,
        now_ms: float,
    ) -> None:
        """Credit a loan without spending from it."""
        drift = self._settings.drift
        grace_ms = loan.grace_ms * (1 - drift)
        late_ms = (now_ms - asked_at_ms) * (1 + drift) - grace_ms
        decay_per_ms = loan.refill_per_s / 1000.0 * (1 + drift)
        value = loan.amount - decay_per_ms * max(0.0, late_ms)
        limit = self._shares.limit_of(customer)
        if limit is None:
            return
        refused_ms = 0.0 if loan.amount > 0.0 else loan.retry_after_ms
        lenders = self._account(customer)
        lenders.answered(lender, loan.available, refused_ms, now_ms)
        if value <= 0.0:
            return
        bucket = self._shares.open_bucket(limit, now_ms)
        if bucket is not None:
            fitting = min(value, bucket.free(now_ms))
            bucket.put(fitting, now_ms)
            value -= fitting
        if value > 0.0:
            # Beside a loan that is under way from here there may be no room.
            until_ms = asked_at_ms + grace_ms
            lenders.pot.put(lender, value, decay_per_ms, until_ms, now_ms)

    def lost(
        self, customer: CustomerId, lender: MemberId, asked_at_ms: float, now_ms: float
    ) -> SpendResult:
        """Note a question without an answer and try the other lenders."""
        self.unanswered(customer, lender, now_ms)
        return self._spend(customer, now_ms)

    def unanswered(self, customer: CustomerId, lender: MemberId, now_ms: float) -> None:
        """Note a question without an answer that no request waits for."""
        self._account(customer).silent(lender, now_ms)

    def refund(self, customer: CustomerId, spent_at_ms: float, now_ms: float) -> None:
        """Put back the token of a request that was refused later as not run."""
        limit = self._shares.limit_of(customer)
        if limit is None:
            return
        bucket = self._shares.open_bucket(limit, now_ms)
        if bucket is not None:
            bucket.put_back(spent_at_ms, now_ms)
            return
        # Borrowed from holders that refill at the whole rate together at most.
        rate_per_ms = limit.rate_per_s / 1000.0
        value = 1.0 - rate_per_ms * (now_ms - spent_at_ms) * (1 + self._settings.drift)
        if value > 0.0:
            decay_per_ms = rate_per_ms * (1 + self._settings.drift)
            self._account(customer).pot.put("", value, decay_per_ms, now_ms, now_ms)

    def _account(self, customer: CustomerId) -> Lenders:
        account = self._accounts.get(customer)
        if account is None:
            account = self._accounts[customer] = Lenders()
            if len(self._accounts) > MAX_BORROWERS:
                self._accounts.popitem(last=False)
        return account

    def snapshot(self, now_ms: float) -> LedgerStatus:
        """Return counts and the emptiest shares."""
        shares = [
            ShareStatus(
                name, held.bucket.tokens(now_ms), held.bucket.cap, held.opens_at_ms
            )
            for name, held in self._shares.shares().items()
        ]
        shares.sort(key=lambda share: share.tokens / (share.cap or 1.0))
        return LedgerStatus(
            view_number=self._shares.view_number or 0,
            held=len(shares),
            waiting=sum(share.opens_at_ms > now_ms for share in shares),
            borrowing=len(self._accounts),
            emptiest=tuple(shares[:LISTED_SHARES]),
        )
