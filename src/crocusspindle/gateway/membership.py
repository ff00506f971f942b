"""Find a reader, keep beliefs fresh, and keep the view of the members."""

import asyncio
import math
import random
from collections.abc import Callable
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.reader_choice import ReaderChoice
from crocusspindle.core.rendezvous import order
from crocusspindle.core.view import NodeAddress, ViewEntryKey
from crocusspindle.errors import PlatformError
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.knowledge import (
    NOTHING_HELD,
    Held,
    Knowledge,
    packed_node,
    packed_record,
    unpacked_node,
)
from crocusspindle.gateway.messages import (
    CONTENTS_MAX_BYTES,
    CrashNote,
    Done,
    Hello,
    Peek,
    Ping,
    Probe,
    State,
)
from crocusspindle.gateway.reading import ASKED_MS, OWN_MS, Reading, ReadReason
from crocusspindle.gateway.registration import Registration
from crocusspindle.gateway.view_keeper import (
    OLD_PROOF_MS,
    PEER_LIMIT_S,
    PEER_SILENT_S,
    ViewKeeper,
)
from crocusspindle.ids import HostId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

PING_S: Final = 0.5
FIRST_PROOFS_MS: Final = 250.0
"""A reader that was resting has its first answers from the store within this."""

CONSULTED: Final = 6
"""Peers asked at once whether the store was there all along. With a third of the fleet
cut off, all six are one time in a thousand."""

TRIES: Final = 3
"""Silent readers tried before this node reads for itself."""

PRESENT_MS: Final = 1_200.0
"""A member that has not pinged for two periods is probed, and is away if it does not
answer that either."""

AGAIN_S: Final = 0.25
"""Who waits for whole lists asks again as soon as there may be room."""

CONTENTS_PATIENCE_MS: Final = 750.0
"""A reader with a wide link has given whole lists to hundreds of hosts by then."""

FIRST_START_S: Final = 0.5
"""All nodes start within 0.3 s of each other."""

VIEW_S: Final = 0.2


class Membership(Service):
    """Ping the reader; as the reader, answer, and have the view kept."""

    name: ClassVar[str] = "membership"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge", "reading")

    def __init__(
        self,
        node: NodeAddress,
        exchange: Exchange,
        knowledge: Knowledge,
        reading: Reading,
        expired_keys: Callable[[], set[ViewEntryKey]],
        choice: ReaderChoice,
        pace: ByteRateLimiter,
        draw: random.Random,
    ) -> None:
        self._node = node
        self._choice = choice
        self._pace = pace
        self._draw = draw
        self._exchange = exchange
        self._knowledge = knowledge
        self._reading = reading
        self._registration = Registration(node, knowledge, reading, draw, self.spawn)
        self._views = ViewKeeper(node, exchange, knowledge, reading, expired_keys)
        self._log = Logger("membership")
        self._met: dict[HostId, NodeAddress] = {node.host: node}
        self._stays: dict[tuple[Address, str], NodeAddress] = {}
        self._pinged_ms: dict[HostId, float] = {}
        self._ready: dict[HostId, bool] = {}
        self._pushed = NOTHING_HELD
        self._taking_push = False
        self._waits_since_ms = math.inf
        self._patience_ms = 0.0
        self._wake = asyncio.Event()
        self.is_ready: Callable[[], bool] = lambda: False
        self.ready = False
        self.leaving = False

    async def start(self) -> None:
        """Introduce this node and begin to ping."""
        self._exchange.handle(Hello, self._hello)
        self._exchange.handle(Ping, self._ping)
        self._exchange.handle(State, self._state)
        self._exchange.handle(Probe, self._answer_probe)
        self._exchange.handle(Peek, self._answer_peek)
        self._reading.consult = self._consult
        self._knowledge.listen(self._push)
        self.spawn(self._introduce())
        self.spawn(self._keep_view())

    def leave(self) -> None:
        """Tell the reader at once that this node takes no new callers."""
        self.leaving = True
        self._wake.set()

    def address(self, host: HostId) -> Address | None:
        """Return where a node's datagrams go."""
        view = self._knowledge.view.content
        seat = None if view is None else view.by_host.get(host)
        node = seat.node if seat is not None else self._met.get(host)
        return None if node is None else (node.ip, node.peer_port)

    async def _introduce(self) -> None:
        await self._registration.find_fleet()
        for node in self._reading.nodes.values():
            self._meet(node)
        # Whoever may be asked first knows this process by then. Told to all, the start
        # of a fleet would take as many messages as it has pairs of nodes.
        for host in self._candidates()[:TRIES]:
            to = self.address(host)
            if to is not None and host != self._node.host:
                self._exchange.tell(to, self._own_hello())
        if self._knowledge.view.content is None:
            # The whole fleet starts: who asks at once knows only itself yet, and each
            # node would read the platform for itself.
            self._patience_ms = CONTENTS_PATIENCE_MS
            await asyncio.sleep(FIRST_START_S)
        self.spawn(self._keep_fresh())

    def _own_hello(self) -> Hello:
        return Hello(packed_node(self._node))

    def _meet(self, node: NodeAddress) -> None:
        if node.host != self._node.host:
            self._met[node.host] = node
            stay = ((node.ip, node.peer_port), str(node.incarnation))
            self._stays[stay] = node

    async def _hello(self, hello: Hello, sender: Address) -> None:
        self._meet(unpacked_node(hello.node))

    async def _keep_fresh(self) -> None:
        while True:
            self._wake.clear()
            await self._freshen()
            self._look_ready()
            try:
                pause_s = PING_S if self._waits_since_ms == math.inf else AGAIN_S
                await asyncio.wait_for(self._wake.wait(), pause_s)
            except TimeoutError:
                continue

    def _look_ready(self) -> None:
        ready = self.is_ready()
        if ready != self.ready:
            self.ready = ready
            log_state_change(self._log, "readiness changed", ready=ready)
            self._wake.set()

    async def _freshen(self) -> None:
        if self._reading.lost:
            # Peers may reach the store, and a proof that was passed on is one too.
            self._suspect(self._node.host, "lost the store")
        for reader in self._candidates()[:TRIES]:
            if reader == self._node.host:
                break
            if await self._ping_reader(reader):
                return
        # Nobody else has fresh proofs: read for oneself.
        self._reading.want(OWN_MS, ReadReason.NO_READER)

    def _candidates(self) -> list[HostId]:
        return self._choice.candidates(self._known().values(), now_ms())

    def _known(self) -> dict[HostId, NodeAddress]:
        view = self._knowledge.view.content
        if view is None:
            return dict(self._met)
        # Only whom the view names may read for others: hosts that start know one
        # another by halves, and would agree on one reader for each half.
        return {
            host: self._met.get(host, seat.node) for host, seat in view.by_host.items()
        }

    async def _ping_reader(self, reader: HostId) -> bool:
        to = self.address(reader)
        if to is None:
            return False
        asked_ms = now_ms()
        state = await self._exchange.ask(
            to, self._own_ping(), PEER_SILENT_S, PEER_LIMIT_S
        )
        if not isinstance(state, State):
            self._suspect(reader, "silent")
            return False
        self._knowledge.take_state(state, asked_ms)
        if state.unknown:
            self._exchange.tell(to, self._own_hello())
        if state.crash_digest != self._knowledge.crash_digest:
            records = self._knowledge.crashes.shared()
            self._exchange.tell(to, CrashNote([packed_record(r) for r in records]))
        oldest_ms = max(state.configuration_age_ms, state.targets_age_ms)
        if not state.reads or oldest_ms > OLD_PROOF_MS:
            reason = "old proofs" if state.reads else "lost the store"
            self._suspect(reader, reason)
            self._choice.record_response(now_ms())
            return False
        self._choice.trust(reader, now_ms())
        await self._wait_for_contents(state.later)
        return True

    async def _wait_for_contents(self, later: bool) -> None:
        # Most hosts of a starting fleet get the contents when they ask again. Reading
        # at once would send all of them to the store.
        if not later:
            self._waits_since_ms = math.inf
            return
        self._waits_since_ms = min(self._waits_since_ms, now_ms())
        if now_ms() - self._waits_since_ms >= self._patience_ms:
            self._waits_since_ms = math.inf
            self._patience_ms = CONTENTS_PATIENCE_MS
            await self._reading.read_once(ReadReason.CONTENTS_LATER)

    def _suspect(self, reader: HostId, reason: str) -> None:
        node = self._known().get(reader, self._node)
        if self._choice.suspect(node, now_ms()):
            log_state_change(
                self._log, "reader passed over", host=reader, reason=reason
            )

    def _own_ping(self) -> Ping:
        return Ping(
            self._node.incarnation,
            self._knowledge.held(),
            self.ready,
            self.leaving,
        )

    async def _ping(self, ping: Ping, sender: Address) -> State:
        self._reading.want(ASKED_MS, ReadReason.ASKED)
        await self._first_proofs()
        node = self._stays.get((sender, ping.incarnation))
        if node is not None:
            host = node.host
            # A row of the process before may have been read after this one was met.
            self._met[host] = node
            self._pinged_ms[host] = -math.inf if ping.leaving else now_ms()
            self._ready[host] = ping.ready
            if ping.leaving:
                self._refresh_open()
        state = self._knowledge.state_for(
            Held(*ping.held),
            unknown=node is None,
            reads=not self._reading.lost,
        )
        return state if self._may_give(state) else state.without_contents()

    def _may_give(self, state: State) -> bool:
        # Contents leave at a part of the link only, or answers without any would wait
        # behind them until this node is taken for gone.
        length = state.contents_bytes
        if length > CONTENTS_MAX_BYTES:
            return False
        return length == 0 or self._pace.try_consume(length, now_ms())

    async def _consult(self) -> None:
        others = self._known().keys() - {self._node.host}
        asked = order(b"consulted " + self._node.host.encode(), others)[:CONSULTED]
        await asyncio.gather(*(self._peek(host) for host in asked))

    async def _peek(self, host: HostId) -> None:
        to = self.address(host)
        if to is None:
            return
        asked_ms, peek = now_ms(), Peek(self._knowledge.held())
        state = await self._exchange.ask(to, peek, PEER_SILENT_S, PEER_LIMIT_S)
        if isinstance(state, State):
            self._knowledge.take_state(state, asked_ms)

    async def _answer_peek(self, peek: Peek, sender: Address) -> State:
        return self._knowledge.state_for(Held(*peek.held))

    async def _first_proofs(self) -> None:
        # Who asks a reader that rested waits for its first answers from the store. All
        # do: those that came second went on to the next, which had rested as well.
        ends_ms = self._reading.since_ms + FIRST_PROOFS_MS
        while now_ms() < ends_ms:
            oldest = self._knowledge.configuration.age_ms(now_ms())
            if oldest < OLD_PROOF_MS:
                return
            await asyncio.sleep(0.01)

    async def _state(self, state: State, sender: Address) -> None:
        # Pushed, not asked for: contents count, but how long it was on its way is
        # not known, so it proves nothing.
        self._taking_push = True
        taken = self._knowledge.take_state(state, -math.inf)
        self._taking_push = False
        self._pushed = self._knowledge.keys()
        if not taken:
            # An earlier push was lost, and this one tells only what changed since.
            self._wake.set()

    def _push(self) -> None:
        self._views.note_view()
        # Two readers with different lists would swap them for ever, as fast as the
        # network carries it. Who asks this node learns what was pushed to it in time.
        if self._taking_push or not self._reading.active:
            return
        newest = self._knowledge.keys()
        if newest == self._pushed:
            return
        state = self._knowledge.state_for(self._pushed)
        self._pushed = newest
        since_ms = now_ms() - PRESENT_MS
        for host, pinged_ms in self._pinged_ms.items():
            to = self.address(host)
            if pinged_ms <= since_ms or to is None or host == self._node.host:
                continue
            if not self._may_give(state):
                # The others learn of it when they ask next.
                return
            self._exchange.tell(to, state)

    def _present(self) -> dict[HostId, NodeAddress]:
        since_ms = now_ms() - PRESENT_MS
        present = {
            host: node
            for host, node in self._met.items()
            if self._pinged_ms.get(host, -math.inf) > since_ms
        }
        if not self.leaving:
            present[self._node.host] = self._node
        return present

    def _refresh_open(self) -> None:
        open_nodes = sorted(
            (node.caller_address, node.domain)
            for host, node in self._present().items()
            if (self.ready if host == self._node.host else self._ready.get(host))
        )
        if open_nodes != self._knowledge.open_nodes:
            self._knowledge.take_open_nodes(open_nodes)
            self._push()

    async def _keep_view(self) -> None:
        while True:
            await self._reading.activity()
            await asyncio.sleep(VIEW_S)
            self._refresh_open()
            try:
                await self._views.renew(self._present())
                await self._reading.write_crashes()
            except PlatformError as error:
                log_state_change(self._log, "view not written", error=str(error))

    async def _answer_probe(self, probe: Probe, sender: Address) -> Done | None:
        stays = probe.incarnation == self._node.incarnation and not self.leaving
        return Done() if stays else None
