"""Maintain one connection and one heartbeat stream to each peer."""

import asyncio
import hashlib
import hmac
import random
import ssl
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from typing import Final, Protocol

from grpclib.client import Channel
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError, StreamTerminatedError

from crocusspindle.clock import now_ms
from crocusspindle.core.members import ViewMember
from crocusspindle.errors import PeerError
from crocusspindle.ids import MemberId
from crocusspindle.kernel import Service
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire
from crocusspindle.wire.fleet_grpc import FleetStub

FLEET_KEY_HEADER: Final = "fleet-key"
MAX_MISSED_ECHOES: Final = 3
"""Heartbeats without an echo after which a connection counts as silent.

One late echo means a busy peer, two may be a lost packet and its retransmission. At
three, a device on the path has most often lost the connection's state, and requests on
it would wait in vain.
"""
HEADER_BYTES: Final = 66
"""Header bytes of a heartbeat on the wire: 40 of TCP/IP, 12 of TCP options, 9 of
HTTP/2, 5 of gRPC."""
PEERS_AT_FULL_RATE: Final = 16
PEER_FAILURES: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    PeerError,
)
STREAM_WINDOW_BYTES: Final = 262_144
"""Bytes of a streamed body that may be in flight to a peer that stops reading."""


def fleet_credential(fleet_key: bytes, fleet_name: str) -> str:
    """Return the credential that proves a node's membership of the fleet."""
    return hmac.new(fleet_key, fleet_name.encode(), hashlib.sha256).hexdigest()


def wire_configuration() -> Configuration:
    """Return the HTTP/2 windows of connections between nodes."""
    return Configuration(
        http2_connection_window_size=STREAM_WINDOW_BYTES * 16,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Control(Protocol):
    """Provide this node's state for heartbeats and record echoes."""

    heartbeat_bytes: int

    def standing(self) -> wire.Standing:
        """Return the state that this node reports in a heartbeat."""

    def joining(self) -> wire.Joining | None:
        """Return this node's request to join the view, or None if it makes none."""

    def receive_echo(
        self, member: MemberId, standing: wire.Standing, sent_ms: float
    ) -> None:
        """Record a peer's echo of this node's heartbeat of ``sent_ms``."""


@dataclass
class Peer:
    """Hold the connection to one peer and its last reported state."""

    member: ViewMember
    channel: Channel
    standing: wire.Standing | None = None
    echoed_ms: float = float("-inf")
    round_trip_ms: float = 0.0
    task: asyncio.Task[None] | None = None


class Peers(Service):
    """Connect to the members of the view, with one task for each."""

    name = "peers"

    def __init__(
        self,
        own_member: MemberId,
        credential: str,
        timings: TimingSettings,
        control: Control,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.own_member = own_member
        self._metadata: Final = {FLEET_KEY_HEADER: credential}
        self._timings = timings
        self._control = control
        self._tls = tls
        self._peers: dict[MemberId, Peer] = {}

    @property
    def metadata(self) -> Mapping[str, str]:
        """Return the metadata that every call to a peer carries."""
        return self._metadata

    def follow(self, members: Iterable[ViewMember]) -> None:
        """Connect to exactly these members, except this node itself."""
        by_member = {member.member: member for member in members}
        by_member.pop(self.own_member, None)
        for removed_member in self._peers.keys() - by_member.keys():
            self._disconnect(self._peers.pop(removed_member))
        for name in by_member.keys() - self._peers.keys():
            peer = Peer(by_member[name], self._connect(by_member[name].peer_address))
            self._peers[name] = peer
            peer.task = self.spawn(self._run_heartbeats(peer))

    async def stop(self) -> None:
        """Close all connections."""
        self.follow(())

    def members(self) -> list[ViewMember]:
        """Return the members that this node is connected to."""
        return [peer.member for peer in self._peers.values()]

    def usable(self, member: MemberId) -> bool:
        """Return True if a peer echoed recently, is eligible and does not drain."""
        peer = self._peers.get(member)
        if peer is None or peer.standing is None or peer.standing.draining:
            return False
        return peer.standing.fit and not self._is_silent(peer)

    def connected(self, member: MemberId) -> bool:
        """Return True if a peer echoed recently."""
        peer = self._peers.get(member)
        return peer is not None and not self._is_silent(peer)

    def silent(self) -> list[MemberId]:
        """Return the members that have not echoed for too long."""
        return [name for name, peer in self._peers.items() if self._is_silent(peer)]

    def silence_ms(self, member: MemberId) -> float:
        """Return the time since the last echoed heartbeat, inf for an unknown peer."""
        peer = self._peers.get(member)
        return float("inf") if peer is None else now_ms() - peer.echoed_ms

    def standing(self, member: MemberId) -> wire.Standing | None:
        """Return the last reported state of a peer."""
        peer = self._peers.get(member)
        return None if peer is None else peer.standing

    def stub(self, member: MemberId) -> FleetStub:
        """Return the gRPC stub of a peer; raise ``PeerError`` for an unknown member."""
        peer = self._peers.get(member)
        if peer is None:
            raise PeerError(f"{member} is not a followed member")
        return FleetStub(peer.channel)

    def _connect(self, address: str) -> Channel:
        host, port = split_address(address)
        return Channel(host, port, ssl=self._tls, config=wire_configuration())

    def _period_ms(self) -> float:
        """Return the time between heartbeats to one peer.

        A heartbeat and its echo cost 0.4 ms of CPU on each side. The period grows with
        the fleet, so that a node spends about 3 % of a core on heartbeats at any fleet
        size, up to the maximum at which an echo is still fresh.
        """
        scale = max(1.0, len(self._peers) / PEERS_AT_FULL_RATE)
        max_period_ms = self._timings.freshness_ms / MAX_MISSED_ECHOES
        return min(self._timings.heartbeat_ms * scale, max_period_ms)

    def _max_silence_ms(self) -> float:
        return self._period_ms() * MAX_MISSED_ECHOES

    def _is_silent(self, peer: Peer) -> bool:
        return now_ms() - peer.echoed_ms > self._max_silence_ms()

    def _disconnect(self, peer: Peer) -> None:
        if peer.task is not None:
            peer.task.cancel()
        peer.channel.close()

    async def _run_heartbeats(self, peer: Peer) -> None:
        """Exchange heartbeats with a peer until it is removed.

        A connection can fall silent while new ones work, so one without an echo in time
        is replaced; each request on it then moves or fails.

        A call that is cancelled while its connection closes raises the library's own
        error, which hides the cancellation. So each round checks that the peer is still
        followed: otherwise the loop would go on, and the process would exit with a
        failure ten seconds late.
        """
        while self._peers.get(peer.member.member) is peer:
            with suppress(*PEER_FAILURES):
                await self._run_heartbeat_stream(peer)
            peer.channel.close()
            await asyncio.sleep(self._timings.heartbeat_ms * random.random() / 1e3)
            peer.channel = self._connect(peer.member.peer_address)

    async def _run_heartbeat_stream(self, peer: Peer) -> None:
        sequence = 0
        stub = FleetStub(peer.channel)
        async with stub.Heartbeat.open(metadata=self._metadata) as stream:
            while True:
                sequence += 1
                sent_ms = now_ms()
                heartbeat = wire.Beat(
                    member=self.own_member,
                    sequence=sequence,
                    standing=self._control.standing(),
                    joining=self._control.joining(),
                )
                self._control.heartbeat_bytes += heartbeat.ByteSize() + HEADER_BYTES
                async with asyncio.timeout(self._max_silence_ms() / 1e3):
                    await stream.send_message(heartbeat)
                    echo = await stream.recv_message()
                self._receive_echo(peer, echo, sequence, sent_ms)
                elapsed_ms = now_ms() - sent_ms
                await asyncio.sleep(max(0.0, self._period_ms() - elapsed_ms) / 1e3)

    def _receive_echo(
        self, peer: Peer, echo: wire.Echo | None, sequence: int, sent_ms: float
    ) -> None:
        if echo is None:
            raise PeerError(f"{peer.member.member} ended the heartbeat")
        # A restarted node has a new member id at the same address.
        if echo.member != peer.member.member:
            raise PeerError(f"{peer.member.member} is now {echo.member}")
        if echo.sequence != sequence:
            raise PeerError(f"{peer.member.member} echoed out of order")
        peer.standing = echo.standing
        peer.echoed_ms = sent_ms
        peer.round_trip_ms = now_ms() - sent_ms
        self._control.receive_echo(peer.member.member, echo.standing, sent_ms)
