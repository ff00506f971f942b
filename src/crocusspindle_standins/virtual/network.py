"""Carry datagrams between virtual hosts over links of their own."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from typing import Any, Final

from crocusspindle_standins.virtual.loop import VirtualLoop

Address = tuple[str, int]

WAY_S: Final = 0.0015
HEAD_BYTES: Final = 42
"""What a datagram takes on the link beside its content."""

DATAGRAM_MAX_BYTES: Final = 65_507
QUEUE_S: Final = 2.0
"""A link that is further behind drops what comes."""


@dataclass(slots=True)
class Link:
    """Hold one host's link and how far it is behind, each way."""

    mbit_s: float
    out_free_s: float = 0.0
    in_free_s: float = 0.0
    sent: int = 0
    sent_bytes: int = 0
    dropped: int = 0
    kinds: Counter[int] = field(default_factory=Counter)

    def seconds(self, length: int) -> float:
        """Return how long the link takes for a datagram."""
        return (length + HEAD_BYTES) * 8 / (self.mbit_s * 1e6)


class Network:
    """Hand datagrams from host to host, as late as their links make them."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.links: dict[str, Link] = {}
        self.cut_off: set[str] = set()
        self._protocols: dict[Address, asyncio.DatagramProtocol] = {}

    def open(
        self, protocol: asyncio.DatagramProtocol, address: Address
    ) -> asyncio.DatagramTransport:
        """Return the transport of a socket at an address."""
        self._protocols[address] = protocol
        return _Transport(self, address)

    def close(self, address: Address) -> None:
        """Close the socket at an address."""
        self._protocols.pop(address, None)

    def send(self, sender: Address, to: Address, data: bytes) -> None:
        """Put a datagram on its way, if there is one."""
        if len(data) > DATAGRAM_MAX_BYTES or {sender[0], to[0]} & self.cut_off:
            return
        now_s = self._loop.time()
        out, into = self.links[sender[0]], self.links[to[0]]
        if out.out_free_s > now_s + QUEUE_S:
            out.dropped += 1
            return
        out.sent += 1
        out.sent_bytes += len(data)
        out.out_free_s = max(now_s, out.out_free_s) + out.seconds(len(data))
        comes_s = out.out_free_s + WAY_S
        if into.in_free_s > comes_s + QUEUE_S:
            into.dropped += 1
            return
        into.in_free_s = max(comes_s, into.in_free_s) + into.seconds(len(data))
        self._loop.call_at(into.in_free_s, self._deliver, sender, to, data)

    def _deliver(self, sender: Address, to: Address, data: bytes) -> None:
        protocol = self._protocols.get(to)
        if protocol is not None:
            protocol.datagram_received(data, sender)


class _Transport(asyncio.DatagramTransport):
    def __init__(self, network: Network, address: Address) -> None:
        super().__init__()
        self._network = network
        self._address = address
        self._closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        self._network.send(self._address, addr, bytes(data))

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        self._closing = True
        self._network.close(self._address)
