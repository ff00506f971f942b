"""Keep one heartbeat and one connection to each peer."""

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
MISSED_BEATS: Final = 3
"""Heartbeats without an echo after which a connection counts as silent.

One late beat is a busy peer, two may be a lost packet and its resend; at three
the connection has most often lost its state on the way, and requests on it wait
for nothing.
"""
HEADER_BYTES: Final = 66
"""What goes before a heartbeat on the wire: 40 of TCP/IP, 12 of TCP options, 9 of
HTTP/2, 5 of gRPC."""
PEERS_AT_FULL_PACE: Final = 16
PEER_FAILURES: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    PeerError,
)
STREAM_WINDOW_BYTES: Final = 262_144
"""What one streamed body may have under way to a peer that does not read on."""


def fleet_proof(fleet_key: bytes, fleet_name: str) -> str:
    """Return what a node shows to prove that it belongs to the fleet."""
    return hmac.new(fleet_key, fleet_name.encode(), hashlib.sha256).hexdigest()


def wire_configuration() -> Configuration:
    """Return the HTTP/2 windows of connections between nodes."""
    return Configuration(
        http2_connection_window_size=STREAM_WINDOW_BYTES * 16,
        http2_stream_window_size=STREAM_WINDOW_BYTES,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of a ``host:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Control(Protocol):
    """Take evidence from peers and say how this node stands."""

    heartbeat_bytes: int

    def standing(self) -> wire.Standing:
        """Return what this node says of itself now."""

    def joining(self) -> wire.Joining | None:
        """Return where this node is while it is not in the view."""

    def echoed(self, member: MemberId, standing: wire.Standing, sent_ms: float) -> None:
        """Take a beat of ours that came back, sent at ``sent_ms``."""


@dataclass
class Peer:
    """Hold the connection to one peer and what it last said of itself."""

    member: ViewMember
    channel: Channel
    standing: wire.Standing | None = None
    echoed_ms: float = float("-inf")
    round_trip_ms: float = 0.0
    task: asyncio.Task[None] | None = None


class Peers(Service):
    """Follow the members of the view, one task for each."""

    name = "peers"

    def __init__(
        self,
        me: MemberId,
        proof: str,
        timings: TimingSettings,
        control: Control,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.me = me
        self._metadata: Final = {FLEET_KEY_HEADER: proof}
        self._timings = timings
        self._control = control
        self._tls = tls
        self._peers: dict[MemberId, Peer] = {}

    @property
    def metadata(self) -> Mapping[str, str]:
        """Return the metadata that every call to a peer carries."""
        return self._metadata

    def follow(self, members: Iterable[ViewMember]) -> None:
        """Follow exactly these members, but for this node itself."""
        wanted = {member.member: member for member in members}
        wanted.pop(self.me, None)
        for gone in self._peers.keys() - wanted.keys():
            self._leave(self._peers.pop(gone))
        for name in wanted.keys() - self._peers.keys():
            peer = Peer(wanted[name], self._connect(wanted[name].peer_address))
            self._peers[name] = peer
            peer.task = self.spawn(self._beat(peer))

    async def stop(self) -> None:
        """Close all connections."""
        self.follow(())

    def members(self) -> list[ViewMember]:
        """Return the followed members."""
        return [peer.member for peer in self._peers.values()]

    def usable(self, member: MemberId) -> bool:
        """Return True if a peer echoed lately, is fit and takes new work."""
        peer = self._peers.get(member)
        if peer is None or peer.standing is None or peer.standing.draining:
            return False
        return peer.standing.fit and not self._silent(peer)

    def connected(self, member: MemberId) -> bool:
        """Return True if a peer echoed lately."""
        peer = self._peers.get(member)
        return peer is not None and not self._silent(peer)

    def silent(self) -> list[MemberId]:
        """Return the followed members that have not echoed for too long."""
        return [name for name, peer in self._peers.items() if self._silent(peer)]

    def silence_ms(self, member: MemberId) -> float:
        """Return for how long a peer has not echoed."""
        peer = self._peers.get(member)
        return float("inf") if peer is None else now_ms() - peer.echoed_ms

    def standing(self, member: MemberId) -> wire.Standing | None:
        """Return what a peer last said of itself."""
        peer = self._peers.get(member)
        return None if peer is None else peer.standing

    def stub(self, member: MemberId) -> FleetStub:
        """Return the calls of a peer; raise ``PeerError`` for a stranger."""
        peer = self._peers.get(member)
        if peer is None:
            raise PeerError(f"{member} is not a followed member")
        return FleetStub(peer.channel)

    def _connect(self, address: str) -> Channel:
        host, port = split_address(address)
        return Channel(host, port, ssl=self._tls, config=wire_configuration())

    def _period_ms(self) -> float:
        """Return the time between heartbeats to one peer.

        A heartbeat and its echo take 0.4 ms of each side. The period grows with the
        fleet, so that a node spends about 3 % of a core on heartbeats whatever its
        size, up to the longest after which an echo still counts.
        """
        stretch = max(1.0, len(self._peers) / PEERS_AT_FULL_PACE)
        longest_ms = self._timings.freshness_ms / MISSED_BEATS
        return min(self._timings.heartbeat_ms * stretch, longest_ms)

    def _silence_ms(self) -> float:
        return self._period_ms() * MISSED_BEATS

    def _silent(self, peer: Peer) -> bool:
        return now_ms() - peer.echoed_ms > self._silence_ms()

    def _leave(self, peer: Peer) -> None:
        if peer.task is not None:
            peer.task.cancel()
        peer.channel.close()

    async def _beat(self, peer: Peer) -> None:
        # A connection can fall silent for good while new ones work. The echo
        # has a deadline; past it the connection is dropped with every request
        # on it, which then moves or ends, and a new one is made.
        #
        # A cancelled call ends with the library's own error when its connection closes
        # in the same moment. The failure hides the cancellation, and a loop that went
        # on for it would beat to a former member for good and keep this process from
        # ending: it exits with a failure ten seconds late. So each round looks.
        while self._peers.get(peer.member.member) is peer:
            with suppress(*PEER_FAILURES):
                await self._beat_on_one_connection(peer)
            peer.channel.close()
            await asyncio.sleep(self._timings.heartbeat_ms * random.random() / 1e3)
            peer.channel = self._connect(peer.member.peer_address)

    async def _beat_on_one_connection(self, peer: Peer) -> None:
        sequence = 0
        stub = FleetStub(peer.channel)
        async with stub.Heartbeat.open(metadata=self._metadata) as stream:
            while True:
                sequence += 1
                sent_ms = now_ms()
                beat = wire.Beat(
                    member=self.me,
                    sequence=sequence,
                    standing=self._control.standing(),
                    joining=self._control.joining(),
                )
                self._control.heartbeat_bytes += beat.ByteSize() + HEADER_BYTES
                async with asyncio.timeout(self._silence_ms() / 1e3):
                    await stream.send_message(beat)
                    echo = await stream.recv_message()
                self._take(peer, echo, sequence, sent_ms)
                waited_ms = now_ms() - sent_ms
                await asyncio.sleep(max(0.0, self._period_ms() - waited_ms) / 1e3)

    def _take(
        self, peer: Peer, echo: wire.Echo | None, sequence: int, sent_ms: float
    ) -> None:
        if echo is None:
            raise PeerError(f"{peer.member.member} ended the heartbeat")
        # A restarted host listens at the address of the member it was before.
        if echo.member != peer.member.member:
            raise PeerError(f"{peer.member.member} is now {echo.member}")
        if echo.sequence != sequence:
            raise PeerError(f"{peer.member.member} echoed out of turn")
        peer.standing = echo.standing
        peer.echoed_ms = sent_ms
        peer.round_trip_ms = now_ms() - sent_ms
        self._control.echoed(peer.member.member, echo.standing, sent_ms)
