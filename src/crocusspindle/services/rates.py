"""Spend customers' tokens from local shares, or borrow them from other holders."""

import asyncio
from typing import Final

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.holders import HolderCandidate, HolderSelector, holder_count
from crocusspindle.core.lenders import MIN_REFUSAL_BACKOFF_MS
from crocusspindle.core.loans import (
    MAX_GATHERS,
    Borrow,
    Ineligible,
    Loan,
    OverRate,
    ShareLedgerStatus,
    SpendResult,
    Spent,
)
from crocusspindle.core.local_shares import ShareSettings
from crocusspindle.core.members import MemberView
from crocusspindle.core.model import Customer
from crocusspindle.core.shares import TOP_UP_MS, ShareLedger
from crocusspindle.ids import CustomerId, MemberId
from crocusspindle.kernel import Service
from crocusspindle.metrics import Metrics
from crocusspindle.services.control import AppliedTicket, ControlService
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

LEND_TIMEOUT_S: Final = 0.1
"""A loan takes a round trip of 3 ms between failure domains. A holder that needs 30
times that is paused or lost, and another one gets the loan request."""

MAX_LOAN_REQUESTS: Final = 16
"""Loan requests of one try: two for each holder of the largest customer."""

ACTIVATION_INTERVAL_S: Final = 0.25


class RatesService(Service):
    """Spend, lend and borrow the tokens of customers."""

    name = "rates"
    needs = ("control", "peers")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        timings: TimingSettings,
        metrics: Metrics,
    ) -> None:
        self._control = control
        self._peers = peers
        self._metrics = metrics
        self._ledger = ShareLedger.from_config(
            ShareSettings(lease_ms=timings.freshness_ms),
            control.own_member.member,
            self._limit_of,
        )
        self._holder_selector = HolderSelector(())
        self._gathering_customers: set[CustomerId] = set()
        control.watch(change=self._apply_change, view=self._update_view)

    async def start(self) -> None:
        """Start activating shares in views that a majority has confirmed."""
        self.spawn(self._activate())

    async def spend(self, customer: CustomerId) -> Spent | OverRate | Ineligible:
        """Spend one token, borrowing a missing amount from other holders."""
        started_ms = now_ms()
        result = await self._try_spend(customer)
        tries = 1
        while isinstance(result, OverRate) and result.waits(started_ms, tries):
            await asyncio.sleep(max(0.0, result.retry_at_ms - now_ms()) / 1000.0)
            result = await self._try_spend(customer)
            tries += 1
        if isinstance(result, Spent):
            self._balance(customer)
        return result

    async def _try_spend(self, customer: CustomerId) -> Spent | OverRate | Ineligible:
        result = self._ledger.spend(
            customer, self._control.eligible_until_ms(), now_ms()
        )
        for _ in range(MAX_LOAN_REQUESTS):
            if not isinstance(result, Borrow):
                return result
            result = await self._borrow(customer, result)
        if isinstance(result, Borrow):
            return OverRate(now_ms() + MIN_REFUSAL_BACKOFF_MS)
        return result

    def refund(self, customer: CustomerId, spent: Spent) -> None:
        """Return the token of a request that certainly has not run."""
        self._ledger.refund(customer, spent.spent_at_ms, now_ms())

    def lend(self, customer: CustomerId, missing: float) -> Loan:
        """Lend tokens to another member."""
        self._metrics.add(instruments.SHARE_LOANS)
        eligible_until_ms = self._control.eligible_until_ms()
        return self._ledger.lend(customer, missing, eligible_until_ms, now_ms())

    async def lend_whole_token(self, customer: CustomerId, missing: float) -> Loan:
        """Lend tokens, gathering a whole one from other holders if necessary.

        A loan request does not say whether its sender holds a share, so one for a whole
        token or more counts as sent by a node without a share. Two holders never gather
        from each other: one that is gathering lends what it has.
        """
        loan = self.lend(customer, missing)
        if missing < 1.0 or customer in self._gathering_customers:
            return loan
        self._gathering_customers.add(customer)
        try:
            for _ in range(MAX_GATHERS):
                borrow = self._ledger.gather(customer, missing, now_ms())
                if loan.amount > 0.0 or borrow is None:
                    break
                await self._borrow_without_spending(customer, borrow)
                loan = self.lend(customer, missing)
        finally:
            self._gathering_customers.discard(customer)
        loop = asyncio.get_running_loop()
        loop.call_later(TOP_UP_MS / 1000.0, self._balance, customer)
        return loan

    def _balance(self, customer: CustomerId) -> None:
        """Request idle tokens in the background, in place of spent ones."""
        borrow = self._ledger.top_up(customer, now_ms())
        if borrow is not None:
            self.spawn(self._borrow_without_spending(customer, borrow))

    async def _borrow_without_spending(
        self, customer: CustomerId, borrow: Borrow
    ) -> None:
        lender, sent_ms = borrow.holders[0], now_ms()
        loan = await self._request_loan(customer, lender, borrow.missing)
        if loan is None:
            self._ledger.record_timeout(customer, lender, now_ms())
        else:
            self._ledger.credit_loan(customer, loan, lender, sent_ms, now_ms())

    def holders(self, customer: Customer) -> tuple[MemberId, ...]:
        """Return the members that hold a customer's shares."""
        count = holder_count(customer.rate_per_s, customer.burst)
        return self._holder_selector.holders(customer.customer, count)

    def status(self) -> ShareLedgerStatus:
        """Return the state of the shares held by this member."""
        return self._ledger.snapshot(now_ms())

    def _limit_of(self, customer: CustomerId) -> Customer | None:
        return self._control.directory.customer(customer)

    async def _borrow(self, customer: CustomerId, borrow: Borrow) -> SpendResult:
        lender, sent_ms = borrow.holders[0], now_ms()
        loan = await self._request_loan(customer, lender, borrow.missing)
        if loan is None:
            return self._ledger.record_timeout_and_spend(
                customer, lender, sent_ms, now_ms()
            )
        return self._ledger.credit_and_spend(customer, loan, lender, sent_ms, now_ms())

    async def _request_loan(
        self, customer: CustomerId, lender: MemberId, missing: float
    ) -> Loan | None:
        """Return a loan, or None without a reply.

        The lender may have subtracted the tokens even so: they are lost, and none are
        spent twice.
        """
        if not self._peers.connected(lender):
            return None
        try:
            async with asyncio.timeout(LEND_TIMEOUT_S):
                reply = await self._peers.stub(lender).Lend(
                    wire.LendRequest(customer=customer, missing=missing),
                    metadata=self._peers.metadata,
                )
        except PEER_FAILURES:
            return None
        return Loan(
            amount=reply.amount,
            refill_per_s=reply.refill_per_s,
            retry_after_ms=reply.retry_after_ms,
            available=reply.available,
            grace_ms=reply.grace_ms,
        )

    def _apply_change(self, change: AppliedTicket) -> None:
        now = now_ms()
        for customer in change.ticket.set.customers:
            previous_limit = change.previous_customers.get(customer.customer)
            self._ledger.set_limit(
                customer, now, previous_limit, is_new=previous_limit is None
            )
        for customer_id in change.ticket.remove.customers:
            self._ledger.remove_limit(customer_id, now)

    def _update_view(self, view: MemberView) -> None:
        candidates = [
            HolderCandidate(member.member, member.domain) for member in view.members
        ]
        self._holder_selector = HolderSelector(candidates)
        self._ledger.set_view(view.number, candidates, now_ms())

    async def _activate(self) -> None:
        # Once a majority of each earlier view has this one, no previous holder can
        # renew its eligibility, and the wait of the new holders begins.
        while True:
            view = self._control.view
            if view is not None and self._control.node_eligibility.confirmed(now_ms()):
                self._ledger.activate(view.number, now_ms())
            await asyncio.sleep(ACTIVATION_INTERVAL_S)
