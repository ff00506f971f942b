"""Spend tokens at customers' quota keepers, and serve as the keeper of some quotas."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any, ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import LOWEST_PRIORITY, CustomerRule
from crocusspindle.core.quota_keeper import QuotaKeeper
from crocusspindle.core.quota_reserve import QuotaReserve
from crocusspindle.core.spend_result import (
    NOT_RETURNABLE,
    Admitted,
    NotKept,
    OverRate,
    SpendResult,
)
from crocusspindle.core.token_queue import WaitingSpend
from crocusspindle.core.view import NodeAddress, ViewEntry, ViewEntryKey
from crocusspindle.gateway import instruments
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.messages import (
    Done,
    NotMineAnswer,
    RefusedAnswer,
    ReleaseAnswer,
    ReleaseAsk,
    ReturnAsk,
    SpendAnswer,
    SpendAsk,
)
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.ids import CustomerId, HostId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

PEER_SILENT_S: Final = 0.09
RELEASE_TIMEOUT_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.06
"""Delay between attempts to spend at a keeper. After it, a starting keeper or a view in
transit is available."""

MIN_ATTEMPTS: Final = 2

STARTUP_PERIOD_MS: Final = 1_500.0
"""Time after its start in which a node waits for keepers that the view doesn't name
yet: after the loss of a whole fleet, the view with the new processes takes 0.7 s."""

NO_KEEPER_RETRY_MS: Final = 600.0

MIN_SERVE_INTERVAL_S: Final = 0.001
MAX_SERVE_INTERVAL_S: Final = 0.02
"""Bounds of the interval at which waiting requests are served. In between, the keeper
waits for the customer's next token."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpentToken(Admitted):
    """Admit a request by a token that ``keeper`` takes back if it was not used."""

    customer: CustomerId
    keeper: Address


class Quota(Service):
    """Spend customers' tokens at their keepers, and serve as a quota keeper."""

    name: ClassVar[str] = "quota"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge", "membership")

    def __init__(
        self,
        node: NodeAddress,
        bounds: LiveBounds,
        exchange: Exchange,
        fleet_state: FleetState,
        metrics: Metrics,
        rng: random.Random,
        began_ms: float,
    ) -> None:
        self._node = node
        self._bounds = bounds
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._keeper = QuotaKeeper(
            node.host,
            node.incarnation,
            bounds.current.view_fence_ms,
            bounds.current.quota_window_ms,
            rng,
            began_ms,
        )
        self._reserve = QuotaReserve(
            node.host, bounds.current.quota_window_ms, now_ms()
        )
        self._configuration_version = -1
        self._collecting: dict[CustomerId, asyncio.Task[None]] = {}
        self._keepers: dict[CustomerId, HostId] = {}
        self._keepers_view = -1
        self._metrics = metrics
        self._waiters: dict[int, asyncio.Event] = {}
        self._served: set[CustomerId] = set()
        self._log = Logger("quota")

    async def start(self) -> None:
        """Register the message handlers."""
        self._exchange.handle(SpendAsk, self._spend_ask)
        self._exchange.handle(ReturnAsk, self._return_ask)
        self._exchange.handle(ReleaseAsk, self._release_ask)
        self._fleet_state.add_listener(self._apply_fleet_state)

    def expired_entry_keys(self) -> set[ViewEntryKey]:
        """Return the keys of fenced view entries whose confirmations have expired."""
        return self._keeper.expired_entry_keys(now_ms())

    def _apply_fleet_state(self) -> None:
        view = self._fleet_state.view
        if view.content is not None:
            self._keeper.set_view(view.content, view.confirmed_at_ms, now_ms())
        if self._fleet_state.configuration.version != self._configuration_version:
            configuration = self._fleet_state.configuration.content
            assert configuration is not None
            self._configuration_version = configuration.version
            self._keeper.set_rules(configuration.customers)
        if view.version != self._keepers_view:
            self._keepers_view = view.version
            self._keepers.clear()
        self._wake_settled()

    async def _spend_ask(
        self, message: SpendAsk, sender: Address
    ) -> SpendAnswer | RefusedAnswer | NotMineAnswer:
        customer = CustomerId(message.customer)
        decision = self._spend_here(message)
        if isinstance(decision, NotKept) and self._keeper.ranks_first(customer):
            await self._collect_releases(customer)
            decision = self._spend_here(message)
        began_ms = now_ms()
        if isinstance(decision, WaitingSpend):
            decision = await self._wait_for_token(customer, decision)
        if isinstance(decision, Admitted):
            return SpendAnswer(0.0, decision.token)
        if isinstance(decision, OverRate):
            return RefusedAnswer("rate", round(decision.retry_after_ms, 1))
        return NotMineAnswer(round(now_ms() - began_ms))

    def _spend_here(self, message: SpendAsk) -> SpendResult | WaitingSpend:
        decision = self._keeper.spend(
            CustomerId(message.customer),
            message.wait_limit_ms,
            now_ms(),
            message.priority,
        )
        self._wake_settled()
        return decision

    async def _wait_for_token(
        self, customer: CustomerId, waiting: WaitingSpend
    ) -> SpendResult:
        settled = asyncio.Event()
        self._waiters[id(waiting)] = settled
        if customer not in self._served:
            self._served.add(customer)
            self.spawn(self._serve_waiting(customer))
        try:
            await settled.wait()
        except asyncio.CancelledError:
            self._keeper.abandon(customer, waiting, now_ms())
            self._wake_settled()
            raise
        finally:
            del self._waiters[id(waiting)]
        assert waiting.settled is not None
        return waiting.settled

    async def _serve_waiting(self, customer: CustomerId) -> None:
        try:
            while True:
                next_ms = self._keeper.serve_waiting(customer, now_ms())
                self._wake_settled()
                if next_ms is None:
                    return
                next_s = max(MIN_SERVE_INTERVAL_S, next_ms / 1e3)
                await asyncio.sleep(min(next_s, MAX_SERVE_INTERVAL_S))
        finally:
            self._served.discard(customer)

    def _wake_settled(self) -> None:
        for waiting in self._keeper.settled():
            waiter = self._waiters.get(id(waiting))
            if waiter is not None:
                waiter.set()

    async def _return_ask(self, message: ReturnAsk, sender: Address) -> Done:
        accepted = self._keeper.take_back(
            CustomerId(message.customer), message.token, now_ms()
        )
        self._wake_settled()
        self._count_returned("accepted" if accepted else "rejected")
        return Done()

    def _count_returned(self, outcome: str) -> None:
        self._metrics.add(instruments.TOKENS_RETURNED, outcome=outcome)

    async def _collect_releases(self, customer: CustomerId) -> None:
        # One round of release requests serves all spend requests that wait for it.
        task = self._collecting.get(customer)
        if task is None:
            task = self.spawn(self._request_releases(customer))
            self._collecting[customer] = task
            task.add_done_callback(lambda _: self._collecting.pop(customer, None))
        await asyncio.wait((task,))

    async def _request_releases(self, customer: CustomerId) -> None:
        view = self._fleet_state.view.content
        if view is None:
            return
        pending = self._keeper.pending_releases(customer, now_ms())
        await asyncio.gather(
            *(self._request_release(customer, entry, view.number) for entry in pending)
        )

    async def _request_release(
        self, customer: CustomerId, entry: ViewEntry, view_number: int
    ) -> None:
        to = (entry.node.ip, entry.node.peer_port)
        response = await self._exchange.request(
            to, ReleaseAsk(customer, view_number), RELEASE_TIMEOUT_S, RELEASE_TIMEOUT_S
        )
        if not isinstance(response, ReleaseAnswer):
            return
        self._keeper.record_release(
            customer, entry.key, response.tokens, now_ms(), response.unspent_ms
        )
        log_state_change(
            self._log,
            "quota handed over",
            customer=customer,
            by=entry.node.host,
            tokens=round(response.tokens, 1),
            unspent_ms=response.unspent_ms,
        )

    async def _release_ask(self, message: ReleaseAsk, sender: Address) -> ReleaseAnswer:
        customer, at_ms = CustomerId(message.customer), now_ms()
        unspent_ms = self._keeper.unspent_ms(customer, at_ms)
        tokens = self._keeper.release(customer, message.view_number, at_ms)
        self._wake_settled()
        return ReleaseAnswer(tokens, int(unspent_ms))

    async def spend(
        self,
        rule: CustomerRule,
        wait_limit_ms: float,
        wait_until_ms: float,
        priority: int = LOWEST_PRIORITY,
    ) -> SpendResult:
        """Spend a customer's token at its keeper, or from the local reserve.

        Return ``SpentToken`` if the token can be returned, and ``NotKept`` if no keeper
        decides and the reserve allows none. Shortly after this node's start, callers
        wait for a keeper and for its tokens until ``wait_until_ms`` at most.
        """
        if rule.rate_per_s <= 0:
            return Admitted()
        startup_end_ms = self._fleet_state.started_ms + STARTUP_PERIOD_MS
        wait_until_ms = min(wait_until_ms, startup_end_ms)
        attempt = 0
        while attempt < MIN_ATTEMPTS or now_ms() < wait_until_ms:
            if attempt:
                await asyncio.sleep(RETRY_INTERVAL_S)
            attempt += 1
            to = self._keeper_address(rule)
            if to is None:
                continue
            # Keepers that have just started hold no tokens yet, and all callers of a
            # fleet that was down retry at once.
            extended_wait_limit_ms = max(wait_limit_ms, wait_until_ms - now_ms())
            message = SpendAsk(rule.customer, round(extended_wait_limit_ms), priority)
            asked_ms = now_ms()
            response = await self._ask_keeper(to, message)
            if isinstance(response, SpendAnswer):
                if response.wait_ms > 0.0:
                    # A keeper of an older version grants tokens in advance.
                    await asyncio.sleep(response.wait_ms / 1e3)
                return _spent_token(message, response, to)
            if isinstance(response, RefusedAnswer):
                return OverRate(response.retry_after_ms)
            if isinstance(response, NotMineAnswer):
                # The keeper changed while the request waited there.
                waited_ms: float = response.waited_ms
                if waited_ms < 0:
                    waited_ms = now_ms() - asked_ms
                wait_limit_ms = max(0.0, wait_limit_ms - waited_ms)
        return self._spend_reserve(rule)

    async def _ask_keeper(self, to: Address, message: SpendAsk) -> Any | None:
        limit_s = message.wait_limit_ms / 1e3 + 2 * PEER_SILENT_S
        asking = self.spawn(self._exchange.request(to, message, PEER_SILENT_S, limit_s))

        def return_unused(done: asyncio.Task[Any | None]) -> None:
            response = None if done.cancelled() or done.exception() else done.result()
            if isinstance(response, SpendAnswer):
                self.return_token(_spent_token(message, response, to))

        try:
            # If the caller leaves, the answer is still received and its token returned.
            return await asyncio.shield(asking)
        except asyncio.CancelledError:
            asking.add_done_callback(return_unused)
            raise

    def return_token(self, spent: Admitted) -> bool:
        """Return the token of a request that certainly did not run.

        Return False if the token can't be returned.
        """
        if not isinstance(spent, SpentToken):
            return False
        self.spawn(self._return_to_keeper(spent))
        return True

    async def _return_to_keeper(self, spent: SpentToken) -> None:
        message = ReturnAsk(spent.customer, spent.token)
        response = await self._exchange.request(
            spent.keeper, message, PEER_SILENT_S, PEER_SILENT_S
        )
        if response is None:
            self._count_returned("unconfirmed")

    def _spend_reserve(self, rule: CustomerRule) -> Admitted | NotKept:
        bounds = self._bounds.current
        window_s = bounds.quota_window_ms / 1e3
        slack = (
            rule.rate_per_s * window_s + rule.burst
        ) * bounds.quota_overshoot + bounds.quota_slack
        view = self._fleet_state.view.content
        if self._reserve.spend(rule.customer, slack, view, now_ms()):
            return Admitted()
        return NotKept()

    def keeper_of(self, rule: CustomerRule) -> HostId | None:
        """Return the member that keeps a customer's quota in the view in force."""
        view = self._fleet_state.view.content
        if view is None:
            return None
        host = self._keepers.get(rule.customer)
        if host is None:
            host = view.ranked(rule.customer)[0]
            self._keepers[rule.customer] = host
        return host

    def _keeper_address(self, rule: CustomerRule) -> Address | None:
        view, host = self._fleet_state.view.content, self.keeper_of(rule)
        if view is None or host is None:
            return None
        node = view.by_host[host].node
        return (node.ip, node.peer_port)


def _spent_token(message: SpendAsk, answer: SpendAnswer, keeper: Address) -> Admitted:
    if answer.token == NOT_RETURNABLE:
        return Admitted()
    return SpentToken(
        answer.token, customer=CustomerId(message.customer), keeper=keeper
    )
