"""Ping a reader for the fleet's state; as the reader, respond and renew the view."""

import asyncio
import math
import random
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from enum import Enum
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.backoff import Backoff
from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.capacity_left import LEFT_MAX, CapacityLeft
from crocusspindle.core.open_nodes import PING_TIMEOUT_MS, OpenNodes
from crocusspindle.core.reader_choice import ReaderChoice
from crocusspindle.core.rendezvous import order
from crocusspindle.core.view import NodeAddress, ViewEntryKey
from crocusspindle.errors import MalformedError, PlatformError
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import (
    NO_DIGEST,
    NOTHING_HELD,
    FleetState,
    HeldKeys,
)
from crocusspindle.gateway.messages import (
    MAX_DOCUMENT_BYTES,
    CrashNote,
    Done,
    Hello,
    Peek,
    Ping,
    Probe,
    State,
)
from crocusspindle.gateway.packed_documents import (
    packed_node,
    packed_record,
    unpacked_node,
)
from crocusspindle.gateway.platform_reader import (
    OWN_READ_MS,
    READ_AFTER_PING_MS,
    PlatformReader,
    ReadReason,
)
from crocusspindle.gateway.registration import Registration
from crocusspindle.gateway.view_keeper import (
    PEER_LIMIT_S,
    PEER_SILENT_S,
    STALE_STATE_MS,
    ViewKeeper,
)
from crocusspindle.ids import HostId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

PING_INTERVAL_S: Final = 0.5
IDLE_READER_START_MS: Final = 250.0
"""A reader that was idle has its first responses from the store within this."""

QUERIED_PEERS: Final = 6
"""Peers queried in parallel to learn if they reached the store meanwhile. With a third
of the fleet cut off, all six are cut off with a probability of 0.001."""

MAX_READERS_TRIED: Final = 3
"""Readers tried before this node reads for itself."""

DEFERRED_PING_S: Final = 0.25
"""Ping interval while the reader defers documents. It sends them once its limit for
documents allows."""

DOCUMENTS_TIMEOUT_MS: Final = 750.0
"""Time for which a node waits for deferred documents before it reads the platform. A
reader with a wide link sends full documents to hundreds of hosts within this. A node
that joins a running fleet does not wait the first time."""

FLEET_START_DELAY_S: Final = 0.5
"""Delay before the first ping when a whole fleet starts; nodes start within 0.3 s."""

VIEW_INTERVAL_S: Final = 0.2

REGAINED_DELAY_S: Final = 0.2
"""Time for the common reader to reach the store after another node has announced that
it does; pinged earlier, it would be passed over again."""

LOST_PAUSE_MAX_MS: Final = 2_000.0


class ReaderResponse(Enum):
    """State how a reader responded to a ping."""

    FRESH = "fresh"
    OUTDATED = "outdated"
    LOST_STORE = "lost store"
    NONE = "none"


class Membership(Service):
    """Ping the reader; as the reader, respond and renew the view."""

    name: ClassVar[str] = "membership"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge", "reading")

    def __init__(
        self,
        node: NodeAddress,
        exchange: Exchange,
        fleet_state: FleetState,
        platform_reader: PlatformReader,
        expired_entry_keys: Callable[[], set[ViewEntryKey]],
        reader_choice: ReaderChoice,
        document_limiter: ByteRateLimiter,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._reader_choice = reader_choice
        self._document_limiter = document_limiter
        self._rng = rng
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._platform_reader = platform_reader
        self._registration = Registration(
            node, fleet_state, platform_reader, rng, self.spawn
        )
        self._view_keeper = ViewKeeper(
            node, exchange, fleet_state, platform_reader, expired_entry_keys
        )
        self._log = Logger("membership")
        self._known_nodes: dict[HostId, NodeAddress] = {node.host: node}
        self._node_by_sender: dict[tuple[Address, str], NodeAddress] = {}
        self._open_nodes = OpenNodes()
        self._capacity_left = CapacityLeft()
        self._pushed_keys = NOTHING_HELD
        self._applying_push = False
        self._deferred_since_ms = math.inf
        self._documents_timeout_ms = 0.0
        self._follows_reader = False
        self._lost_pauses: Backoff | None = None
        self._wake = asyncio.Event()
        self.is_ready: Callable[[], bool] = lambda: False
        self.load: Callable[[], int] = lambda: 0
        self.ready = False
        self.leaving = False

    async def start(self) -> None:
        """Announce this node and start to ping."""
        self._exchange.handle(Hello, self._hello)
        self._exchange.handle(Ping, self._ping)
        self._exchange.handle(State, self._state)
        self._exchange.handle(Probe, self._respond_to_probe)
        self._exchange.handle(Peek, self._respond_to_peek)
        self._platform_reader.query_peers = self._query_peers
        self._platform_reader.on_store_regained = self._announce_store
        self._fleet_state.add_listener(self._push)
        self._fleet_state.on_restored = self._registration.register_again
        self.spawn(self._join_fleet())
        self.spawn(self._view_loop())

    def leave(self) -> None:
        """Notify the reader at once that this node is leaving."""
        self.leaving = True
        self._wake.set()

    def introduce(self, to: Address) -> None:
        """Tell a node who this one is; its view may not name this node yet."""
        self._exchange.notify(to, self._own_hello())

    def has_introduced_itself(self, ip: str) -> bool:
        """Return True if a node with an IP address has told who it is."""
        return any(node.ip == ip for node in self._known_nodes.values())

    def address(self, host: HostId) -> Address | None:
        """Return the address for a node's datagrams; None if the node is unknown."""
        view = self._fleet_state.view.content
        entry = None if view is None else view.by_host.get(host)
        node = entry.node if entry is not None else self._known_nodes.get(host)
        return None if node is None else (node.ip, node.peer_port)

    async def _join_fleet(self) -> None:
        tells_all = await self._registration.find_fleet()
        for node in self._platform_reader.nodes.values():
            self._add_known_node(node)
        # Only the likely readers need this process's address. Notifying all nodes would
        # cost a message for each pair of nodes when a fleet starts. But if all have
        # waited for the store, the first one that reached it wakes the others.
        told = (
            self._candidates() if tells_all else self._candidates()[:MAX_READERS_TRIED]
        )
        for host in told:
            to = self.address(host)
            if to is not None and host != self._node.host:
                self.introduce(to)
        if self._fleet_state.view.content is None:
            # The whole fleet starts. A node that pings at once knows only itself, and
            # each node would read the platform for itself.
            self._documents_timeout_ms = DOCUMENTS_TIMEOUT_MS
            await asyncio.sleep(FLEET_START_DELAY_S)
        self.spawn(self._refresh_loop())

    def _own_hello(self) -> Hello:
        return Hello(packed_node(self._node))

    def _add_known_node(self, node: NodeAddress) -> None:
        if node.host != self._node.host:
            self._known_nodes[node.host] = node
            sender_key = ((node.ip, node.peer_port), str(node.incarnation))
            self._node_by_sender[sender_key] = node

    async def _hello(self, hello: Hello, sender: Address) -> None:
        self._add_known_node(unpacked_node(hello.node))
        self._registration.retry_soon()

    async def _refresh_loop(self) -> None:
        while True:
            self._wake.clear()
            await self._refresh_state()
            self._update_readiness()
            if self._follows_reader and not self.leaving:
                self._registration.register_if_left_out()
            try:
                await asyncio.wait_for(self._wake.wait(), self._pause_s())
            except TimeoutError:
                continue

    def _pause_s(self) -> float:
        if self._lost_pauses is not None:
            return self._lost_pauses.next_ms() / 1e3
        waits_for_documents = self._deferred_since_ms < math.inf
        return DEFERRED_PING_S if waits_for_documents else PING_INTERVAL_S

    def _update_readiness(self) -> None:
        ready = self.is_ready()
        if ready != self.ready:
            self.ready = ready
            log_state_change(self._log, "readiness changed", ready=ready)
            self._wake.set()

    async def _refresh_state(self) -> None:
        if self._platform_reader.is_store_lost:
            # Peers may reach the store, and a relayed confirmation counts as well.
            self._suspect(self._node.host, "lost the store")
        else:
            self._reader_choice.drop_suspicion(self._node.host)
        has_lost_store = False
        for reader in self._candidates()[:MAX_READERS_TRIED]:
            if reader == self._node.host:
                break
            response = await self._ping_reader(reader)
            if response is ReaderResponse.FRESH:
                self._follows_reader = True
                self._lost_pauses = None
                return
            has_lost_store |= response is ReaderResponse.LOST_STORE
        self._follows_reader = False
        if has_lost_store:
            # This node may not reach the store either. Others may: try them next, at
            # growing intervals, since each one that is pinged calls the store.
            self._lost_pauses = self._lost_pauses or self._new_pauses()
            return
        # No reader responds: read the platform from here.
        self._lost_pauses = None
        self._platform_reader.request_reads(OWN_READ_MS, ReadReason.NO_READER)

    def _new_pauses(self) -> Backoff:
        return Backoff(PING_INTERVAL_S * 1e3, LOST_PAUSE_MAX_MS, self._rng)

    def _candidates(self) -> list[HostId]:
        return self._reader_choice.candidates(
            self._possible_readers().values(), now_ms()
        )

    def _possible_readers(self) -> dict[HostId, NodeAddress]:
        view = self._fleet_state.view.content
        if view is None:
            return dict(self._known_nodes)
        # Only members of the view may read for others. Starting hosts each know a
        # different part of the fleet and would choose several readers.
        return {
            host: self._known_nodes.get(host, entry.node)
            for host, entry in view.by_host.items()
        }

    async def _ping_reader(self, reader: HostId) -> ReaderResponse:
        to = self.address(reader)
        if to is None:
            return ReaderResponse.NONE
        sent_ms = now_ms()
        state = await self._exchange.request(
            to, self._own_ping(), PEER_SILENT_S, PEER_LIMIT_S
        )
        if not isinstance(state, State):
            self._suspect(reader, "silent")
            return ReaderResponse.NONE
        try:
            self._fleet_state.apply_state(state, sent_ms)
        except MalformedError as error:
            self._suspect(reader, f"malformed state: {error}")
            return ReaderResponse.NONE
        if state.sender_unknown:
            self.introduce(to)
        if state.crash_digest != self._fleet_state.crash_digest:
            records = self._fleet_state.crashes.shared()
            self._exchange.notify(to, CrashNote([packed_record(r) for r in records]))
        oldest_ms = max(state.configuration_age_ms, state.targets_age_ms)
        if not state.reaches_store or oldest_ms > STALE_STATE_MS:
            reason = "old proofs" if state.reaches_store else "lost the store"
            self._suspect(reader, reason)
            self._reader_choice.record_response(now_ms())
            return (
                ReaderResponse.OUTDATED
                if state.reaches_store
                else ReaderResponse.LOST_STORE
            )
        self._reader_choice.trust(reader, now_ms())
        await self._wait_for_documents(state.documents_deferred)
        return ReaderResponse.FRESH

    def _announce_store(self) -> None:
        if self._lost_pauses is None:
            # Another node reached the store first, and has told the others.
            return
        self.spawn(self._return_to_common_reader())
        state = self._fleet_state.state_for(
            self._fleet_state.current_keys(), reaches_store=True
        )
        for host in self._possible_readers():
            to = self.address(host)
            if to is not None and host != self._node.host:
                self._exchange.notify(to, state)

    async def _use_announced_reader(self, sender: Address) -> None:
        self._platform_reader.probe_now()
        for host, node in self._possible_readers().items():
            if (node.ip, node.peer_port) == sender:
                if await self._ping_reader(host) is ReaderResponse.FRESH:
                    await self._return_to_common_reader()
                return

    async def _return_to_common_reader(self) -> None:
        self._lost_pauses = None
        await asyncio.sleep(REGAINED_DELAY_S)
        self._reader_choice.drop_suspicions()
        self._wake.set()

    async def _wait_for_documents(self, documents_deferred: bool) -> None:
        # Most hosts of a starting fleet get the documents on a later ping. Reading at
        # once would make all of them call the store.
        if not documents_deferred:
            self._deferred_since_ms = math.inf
            return
        self._deferred_since_ms = min(self._deferred_since_ms, now_ms())
        if now_ms() - self._deferred_since_ms >= self._documents_timeout_ms:
            self._deferred_since_ms = math.inf
            self._documents_timeout_ms = DOCUMENTS_TIMEOUT_MS
            await self._platform_reader.read_once(ReadReason.DOCUMENTS_DEFERRED)

    def _suspect(self, reader: HostId, reason: str) -> None:
        node = self._possible_readers().get(reader, self._node)
        if self._reader_choice.suspect(node, now_ms()):
            log_state_change(
                self._log, "reader passed over", host=reader, reason=reason
            )

    def _own_ping(self) -> Ping:
        return Ping(
            self._node.incarnation,
            self._fleet_state.held_keys(),
            self.ready,
            self.leaving,
            self.load(),
            self._fleet_state.capacity_digest,
        )

    async def _ping(self, ping: Ping, sender: Address) -> State:
        self._platform_reader.request_reads(READ_AFTER_PING_MS, ReadReason.PINGED)
        await self._wait_for_first_reads()
        node = self._node_by_sender.get((sender, ping.incarnation))
        if node is not None:
            host = node.host
            # A row of the host's previous process may have replaced this entry.
            self._known_nodes[host] = node
            self._open_nodes.record_ping(host, ping.ready, ping.leaving, now_ms())
            self._capacity_left.record(host, _reported_load(ping), now_ms())
            if ping.leaving:
                self._update_open_nodes()
        state = self._fleet_state.state_for(
            HeldKeys(*ping.held),
            sender_unknown=node is None,
            reaches_store=not self._platform_reader.is_store_lost,
            held_capacity_digest=ping.capacity_digest,
        )
        return state if self._may_send(state) else state.without_documents()

    def _may_send(self, state: State) -> bool:
        # Documents get only a fraction of the link; otherwise short responses queue
        # behind them until peers consider this node silent.
        length = state.document_bytes
        if length > MAX_DOCUMENT_BYTES:
            return False
        return length == 0 or self._document_limiter.try_consume(length, now_ms())

    async def _query_peers(self) -> None:
        others = self._possible_readers().keys() - {self._node.host}
        queried_hosts = order(b"consulted " + self._node.host.encode(), others)[
            :QUERIED_PEERS
        ]
        await asyncio.gather(*(self._peek(host) for host in queried_hosts))

    async def _peek(self, host: HostId) -> None:
        to = self.address(host)
        if to is None:
            return
        sent_ms, peek = now_ms(), Peek(self._fleet_state.held_keys())
        state = await self._exchange.request(to, peek, PEER_SILENT_S, PEER_LIMIT_S)
        if isinstance(state, State):
            with suppress(MalformedError):
                self._fleet_state.apply_state(state, sent_ms)

    async def _respond_to_peek(self, peek: Peek, sender: Address) -> State:
        return self._fleet_state.state_for(HeldKeys(*peek.held))

    async def _wait_for_first_reads(self) -> None:
        # After an idle period, all pings wait for the first responses of the store.
        # Otherwise nodes would move on to the next reader, which was idle as well.
        deadline_ms = self._platform_reader.active_since_ms + IDLE_READER_START_MS
        while now_ms() < deadline_ms:
            age_ms = self._fleet_state.configuration.age_ms(now_ms())
            if age_ms < STALE_STATE_MS:
                return
            await asyncio.sleep(0.01)

    async def _state(self, state: State, sender: Address) -> None:
        # The transit time of a pushed state is unknown, so its documents are applied
        # but it confirms nothing.
        self._applying_push = True
        try:
            applied = self._fleet_state.apply_state(state, -math.inf)
        finally:
            self._applying_push = False
        if state.reaches_store:
            self._registration.retry_soon()
            if self._lost_pauses is not None:
                self.spawn(self._use_announced_reader(sender))
        self._pushed_keys = self._fleet_state.current_keys()
        if not applied:
            # An earlier push was lost, and this one holds only a delta to it.
            self._wake.set()

    def _push(self) -> None:
        self._view_keeper.record_view_change()
        # Don't relay a push: two readers with different lists would swap them without
        # end at network speed. Nodes that ping this one get them with their next ping.
        if self._applying_push or not self._platform_reader.active:
            return
        newest = self._fleet_state.current_keys()
        if newest == self._pushed_keys:
            return
        state = self._fleet_state.state_for(self._pushed_keys)
        self._pushed_keys = newest
        for host in self._pinging_nodes():
            to = self.address(host)
            if to is None or host == self._node.host:
                continue
            if not self._may_send(state):
                # The other nodes get the state with their next ping.
                return
            self._exchange.notify(to, state)

    def _pinging_nodes(self) -> dict[HostId, NodeAddress]:
        present = {
            host: node
            for host, node in self._known_nodes.items()
            if self._open_nodes.is_pinging(host, now_ms())
        }
        if not self.leaving:
            present[self._node.host] = self._node
        return present

    def _update_open_nodes(self) -> None:
        pinging = self._pinging_nodes()
        if self._follows_reader and len(pinging) <= len(self._possible_readers()) / 2:
            # This node was pinged by a few only, and reads for a while longer. The list
            # of the reader that it pings is more complete.
            return
        self._open_nodes.record_ping(
            self._node.host, self.ready, self.leaving, now_ms()
        )
        nodes = pinging
        if self._may_lack_pings():
            nodes = {**self._possible_readers(), **pinging}
            open_nodes = self._open_nodes.list_with_previous(
                nodes, self._fleet_state.open_nodes, now_ms()
            )
        else:
            open_nodes = self._open_nodes.list_pinging(pinging, now_ms())
        previously_open = self._fleet_state.open_nodes
        if open_nodes != previously_open:
            self._fleet_state.update_open_nodes(open_nodes)
        self._update_capacity_left(nodes, previously_open)
        if open_nodes != previously_open:
            self._push()

    def _update_capacity_left(
        self,
        nodes: Mapping[HostId, NodeAddress],
        previously_open: Sequence[tuple[str, str]],
    ) -> None:
        # Capacities are not pushed: nodes get them with their next ping, and a push to
        # all nodes each second would cost more than the change of the steps.
        self._capacity_left.record(self._node.host, self.load(), now_ms())
        by_address = {node.caller_address: node for node in nodes.values()}
        previous = self._fleet_state.capacity_left
        left = self._capacity_left.update(
            {
                address: by_address[address]
                for address, _ in self._fleet_state.open_nodes
            },
            {address for address, _ in previously_open},
            previous,
            now_ms(),
        )
        self._fleet_state.update_capacity_left(left)
        if left != previous:
            log_state_change(
                self._log,
                "capacity left changed",
                loaded=len(left),
                hosts=len(self._fleet_state.open_nodes),
                least_eighths=min(left.values(), default=LEFT_MAX),
            )

    def _may_lack_pings(self) -> bool:
        if self._platform_reader.is_store_lost:
            return True
        return now_ms() - self._platform_reader.active_since_ms < PING_TIMEOUT_MS

    async def _view_loop(self) -> None:
        while True:
            await self._platform_reader.wait_until_active()
            await asyncio.sleep(VIEW_INTERVAL_S)
            self._update_open_nodes()
            try:
                await self._view_keeper.renew(self._pinging_nodes())
                await self._platform_reader.write_crashes()
            except PlatformError as error:
                log_state_change(self._log, "view not written", error=str(error))

    async def _respond_to_probe(self, probe: Probe, sender: Address) -> Done | None:
        is_staying = probe.incarnation == self._node.incarnation and not self.leaving
        return Done() if is_staying else None


def _reported_load(ping: Ping) -> int | None:
    """Return the sender's load; None if it may be of a version that reports none."""
    reports_load = ping.load > 0 or ping.capacity_digest != NO_DIGEST
    return ping.load if reports_load else None
