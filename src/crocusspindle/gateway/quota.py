"""Ask a customer's keeper for leave, and keep the customers that fall to this node."""

import asyncio
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.quota_keeper import (
    Admitted,
    NotKept,
    OverRate,
    QuotaKeeper,
)
from crocusspindle.core.quota_reserve import QuotaReserve
from crocusspindle.core.view import NodeAddress, ViewEntry, ViewEntryKey
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.gateway.messages import (
    NotMineAnswer,
    RefusedAnswer,
    ReleaseAnswer,
    ReleaseAsk,
    SpendAnswer,
    SpendAsk,
)
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.ids import CustomerId, HostId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

SILENT_S: Final = 0.09
CLEAR_S: Final = 0.1
AGAIN_S: Final = 0.06
"""A keeper that has just come up, or a view that is on its way, is there after this."""

TRIES: Final = 2

SETTLING_MS: Final = 1_500.0
"""For this long after its start a node may meet keepers that the view does not name
yet: after the loss of a whole fleet the view with the new processes takes 0.7 s."""

GAP_RETRY_MS: Final = 600.0


class Quota(Service):
    """Spend customers' tokens, wherever they are kept."""

    name: ClassVar[str] = "quota"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge", "membership")

    def __init__(
        self,
        node: NodeAddress,
        bounds: LiveBounds,
        exchange: Exchange,
        knowledge: Knowledge,
        began_ms: float,
    ) -> None:
        self._node = node
        self._bounds = bounds
        self._exchange = exchange
        self._knowledge = knowledge
        self._keeper = QuotaKeeper(
            node.host,
            node.incarnation,
            bounds.now.view_fence_ms,
            bounds.now.quota_window_ms,
            began_ms,
        )
        self._reserve = QuotaReserve(node.host, bounds.now.quota_window_ms, now_ms())
        self._configuration_version = -1
        self._clearing: dict[CustomerId, asyncio.Task[None]] = {}
        self._keepers: dict[CustomerId, HostId] = {}
        self._keepers_view = -1
        self._log = Logger("quota")

    async def start(self) -> None:
        """Begin to answer."""
        self._exchange.handle(SpendAsk, self._spend_ask)
        self._exchange.handle(ReleaseAsk, self._release_ask)
        self._knowledge.listen(self._learn)

    def expired_keys(self) -> set[ViewEntryKey]:
        """Return the stays of former members whose proofs have run out."""
        return self._keeper.expired_keys(now_ms())

    def _learn(self) -> None:
        view = self._knowledge.view
        if view.content is not None:
            self._keeper.set_view(view.content, view.confirmed_at_ms, now_ms())
        if self._knowledge.configuration.version != self._configuration_version:
            configuration = self._knowledge.configuration.content
            assert configuration is not None
            self._configuration_version = configuration.version
            self._keeper.set_rules(configuration.customers)
        if view.version != self._keepers_view:
            self._keepers_view = view.version
            self._keepers.clear()

    async def _spend_ask(
        self, ask: SpendAsk, sender: Address
    ) -> SpendAnswer | RefusedAnswer | NotMineAnswer:
        customer = CustomerId(ask.customer)
        answer = self._keeper.spend(customer, ask.wait_limit_ms, now_ms())
        if isinstance(answer, NotKept) and self._keeper.ranks_first(customer):
            await self._clear(customer)
            answer = self._keeper.spend(customer, ask.wait_limit_ms, now_ms())
        if isinstance(answer, Admitted):
            return SpendAnswer(round(answer.wait_ms, 1))
        if isinstance(answer, OverRate):
            return RefusedAnswer("rate", round(answer.retry_after_ms, 1))
        return NotMineAnswer()

    async def _clear(self, customer: CustomerId) -> None:
        # One round of asks serves all requests that wait for it.
        task = self._clearing.get(customer)
        if task is None:
            task = self.spawn(self._ask_releases(customer))
            self._clearing[customer] = task
            task.add_done_callback(lambda _: self._clearing.pop(customer, None))
        await asyncio.wait((task,))

    async def _ask_releases(self, customer: CustomerId) -> None:
        view = self._knowledge.view.content
        if view is None:
            return
        waiting = self._keeper.pending_releases(customer, now_ms())
        await asyncio.gather(
            *(self._ask_release(customer, seat, view.number) for seat in waiting)
        )

    async def _ask_release(
        self, customer: CustomerId, seat: ViewEntry, view_number: int
    ) -> None:
        to = (seat.node.ip, seat.node.peer_port)
        answer = await self._exchange.ask(
            to, ReleaseAsk(customer, view_number), CLEAR_S, CLEAR_S
        )
        if not isinstance(answer, ReleaseAnswer):
            return
        self._keeper.record_release(customer, seat.key, answer.tokens, now_ms())
        log_state_change(
            self._log,
            "quota handed over",
            customer=customer,
            by=seat.node.host,
            tokens=round(answer.tokens, 1),
        )

    async def _release_ask(self, ask: ReleaseAsk, sender: Address) -> ReleaseAnswer:
        tokens = self._keeper.release(
            CustomerId(ask.customer), ask.view_number, now_ms()
        )
        return ReleaseAnswer(tokens)

    async def spend(
        self, rule: CustomerRule, wait_limit_ms: float, patient_until_ms: float
    ) -> Admitted | OverRate | NotKept:
        """Take a token of a customer from its keeper, or from the reserve.

        While this node has just started, its callers wait for a keeper and for its
        tokens up to a time.
        """
        if rule.rate_per_s <= 0:
            return Admitted(0.0)
        settled_ms = self._knowledge.born_ms + SETTLING_MS
        patient_until_ms = min(patient_until_ms, settled_ms)
        attempt = 0
        while attempt < TRIES or now_ms() < patient_until_ms:
            if attempt:
                await asyncio.sleep(AGAIN_S)
            attempt += 1
            to = self._keeper_address(rule)
            if to is None:
                continue
            # Keepers that have just opened hold no tokens yet, and all callers of a
            # fleet that was away come at once.
            limit_ms = max(wait_limit_ms, patient_until_ms - now_ms())
            ask = SpendAsk(rule.customer, round(limit_ms))
            answer = await self._exchange.ask(to, ask, SILENT_S, 2 * SILENT_S)
            if isinstance(answer, SpendAnswer):
                return Admitted(answer.wait_ms)
            if isinstance(answer, RefusedAnswer):
                return OverRate(answer.retry_after_ms)
        return self._spend_reserve(rule)

    def _spend_reserve(self, rule: CustomerRule) -> Admitted | NotKept:
        bounds = self._bounds.now
        window_s = bounds.quota_window_ms / 1e3
        slack = (
            rule.rate_per_s * window_s + rule.burst
        ) * bounds.quota_overshoot + bounds.quota_slack
        view = self._knowledge.view.content
        if self._reserve.spend(rule.customer, slack, view, now_ms()):
            return Admitted(0.0)
        return NotKept()

    def keeper_of(self, rule: CustomerRule) -> HostId | None:
        """Return the member that keeps a customer in the view in force."""
        view = self._knowledge.view.content
        if view is None:
            return None
        host = self._keepers.get(rule.customer)
        if host is None:
            host = view.ranked(rule.customer)[0]
            self._keepers[rule.customer] = host
        return host

    def _keeper_address(self, rule: CustomerRule) -> Address | None:
        view, host = self._knowledge.view.content, self.keeper_of(rule)
        if view is None or host is None:
            return None
        node = view.by_host[host].node
        return (node.ip, node.peer_port)
