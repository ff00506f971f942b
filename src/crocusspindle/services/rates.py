"""Take tokens for requests from the fleet's shares, here or at other holders."""

import asyncio
from typing import Final

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.holders import HolderSelector, holder_count
from crocusspindle.core.holders import ViewMember as Holder
from crocusspindle.core.lenders import MIN_REFUSAL_BACKOFF_MS
from crocusspindle.core.loans import (
    MAX_GATHERS,
    Borrow,
    Ineligible,
    LedgerStatus,
    Loan,
    OverRate,
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
from crocusspindle.services.control import Change, ControlService
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

LEND_TIMEOUT_S: Final = 0.1
"""A loan takes a round trip of 3 ms between failure domains; a holder that needs
30 times that is paused or gone, and another one is asked."""

MAX_QUESTIONS: Final = 16
"""Questions for tokens of one try: twice each holder of the largest customer."""

ACTIVATION_S: Final = 0.25


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
            control.me.member,
            self._limit_of,
        )
        self._placement = HolderSelector(())
        self._gathering: set[CustomerId] = set()
        control.watch(change=self._change, view=self._take_view)

    async def start(self) -> None:
        """Begin to watch for views that a majority knows."""
        self.spawn(self._activate())

    async def spend(self, customer: CustomerId) -> Spent | OverRate | Ineligible:
        """Take one token, borrowing what is missing from other holders."""
        begun_ms = now_ms()
        result = await self._try(customer)
        tries = 1
        while isinstance(result, OverRate) and result.waits(begun_ms, tries):
            await asyncio.sleep(max(0.0, result.retry_at_ms - now_ms()) / 1000.0)
            result = await self._try(customer)
            tries += 1
        if isinstance(result, Spent):
            self._level(customer)
        return result

    async def _try(self, customer: CustomerId) -> Spent | OverRate | Ineligible:
        result = self._ledger.spend(
            customer, self._control.eligible_until_ms(), now_ms()
        )
        for _ in range(MAX_QUESTIONS):
            if not isinstance(result, Borrow):
                return result
            result = await self._borrow(customer, result)
        if isinstance(result, Borrow):
            return OverRate(now_ms() + MIN_REFUSAL_BACKOFF_MS)
        return result

    def refund(self, customer: CustomerId, spent: Spent) -> None:
        """Put back the token of a request that certainly was not run."""
        self._ledger.refund(customer, spent.spent_at_ms, now_ms())

    def lend(self, customer: CustomerId, missing: float) -> Loan:
        """Lend tokens to another member."""
        self._metrics.add(instruments.SHARE_LOANS)
        eligible_until_ms = self._control.eligible_until_ms()
        return self._ledger.lend(customer, missing, eligible_until_ms, now_ms())

    async def lend_whole(self, customer: CustomerId, missing: float) -> Loan:
        """Lend tokens, gathering a whole one from other holders if need be.

        Two holders never gather from each other: one that is gathering answers with
        what it has.
        """
        loan = self.lend(customer, missing)
        if missing < 1.0 or customer in self._gathering:
            return loan
        self._gathering.add(customer)
        try:
            for _ in range(MAX_GATHERS):
                asked = self._ledger.gather(customer, missing, now_ms())
                if loan.amount > 0.0 or asked is None:
                    break
                await self._collect(customer, asked)
                loan = self.lend(customer, missing)
        finally:
            self._gathering.discard(customer)
        loop = asyncio.get_running_loop()
        loop.call_later(TOP_UP_MS / 1000.0, self._level, customer)
        return loan

    def _level(self, customer: CustomerId) -> None:
        """Ask for idle tokens where own ones were used, besides the request."""
        asked = self._ledger.top_up(customer, now_ms())
        if asked is not None:
            self.spawn(self._collect(customer, asked))

    async def _collect(self, customer: CustomerId, asked: Borrow) -> None:
        lender, asked_ms = asked.holders[0], now_ms()
        loan = await self._ask(customer, lender, asked.missing)
        if loan is None:
            self._ledger.record_timeout(customer, lender, now_ms())
        else:
            self._ledger.credit_loan(customer, loan, lender, asked_ms, now_ms())

    def holders(self, customer: Customer) -> tuple[MemberId, ...]:
        """Return the members that hold a customer's shares."""
        count = holder_count(customer.rate_per_s, customer.burst)
        return self._placement.holders(customer.customer, count)

    def status(self) -> LedgerStatus:
        """Return what operators see of the shares held here."""
        return self._ledger.snapshot(now_ms())

    def _limit_of(self, customer: CustomerId) -> Customer | None:
        return self._control.directory.customer(customer)

    async def _borrow(self, customer: CustomerId, asked: Borrow) -> SpendResult:
        lender, asked_ms = asked.holders[0], now_ms()
        loan = await self._ask(customer, lender, asked.missing)
        if loan is None:
            return self._ledger.lost(customer, lender, asked_ms, now_ms())
        return self._ledger.credit_and_spend(customer, loan, lender, asked_ms, now_ms())

    async def _ask(
        self, customer: CustomerId, lender: MemberId, missing: float
    ) -> Loan | None:
        """Return a loan, or nothing where no answer came.

        Without one the lender may have subtracted all the same: those tokens are
        lost, not made.
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

    def _change(self, change: Change) -> None:
        now = now_ms()
        for customer in change.ticket.set.customers:
            former = change.former_limits.get(customer.customer)
            self._ledger.set_limit(customer, now, former, is_new=former is None)
        for removed in change.ticket.remove.customers:
            self._ledger.remove_limit(removed, now)

    def _take_view(self, view: MemberView) -> None:
        holders = [Holder(one.member, one.domain) for one in view.members]
        self._placement = HolderSelector(holders)
        self._ledger.set_view(view.number, holders, now_ms())

    async def _activate(self) -> None:
        # A new holder may spend once no majority can carry its forerunner.
        while True:
            view = self._control.view
            if view is not None and self._control.fitness.confirmed(now_ms()):
                self._ledger.activate(view.number, now_ms())
            await asyncio.sleep(ACTIVATION_S)
