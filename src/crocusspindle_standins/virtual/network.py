"""Simulate datagrams between virtual hosts, each with its own link."""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

from crocusspindle_standins.virtual.loop import VirtualLoop

Address = tuple[str, int]

PROPAGATION_DELAY_S: Final = 0.0015
HEADER_BYTES: Final = 42
"""Bytes of headers on the link for each datagram."""

DATAGRAM_MAX_BYTES: Final = 65_507
MAX_BACKLOG_S: Final = 2.0
"""A link with a longer backlog drops new datagrams."""


@dataclass(slots=True)
class Link:
    """Hold one host's link and when each direction becomes free."""

    mbit_s: float
    uplink_free_s: float = 0.0
    downlink_free_s: float = 0.0
    sent_datagrams: int = 0
    sent_bytes: int = 0
    dropped: int = 0
    kinds: Counter[int] = field(default_factory=Counter)

    def transmission_s(self, length: int) -> float:
        """Return the transmission time of a datagram."""
        return (length + HEADER_BYTES) * 8 / (self.mbit_s * 1e6)


class Network:
    """Deliver datagrams between hosts with the delay of their links."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop
        self.links: dict[str, Link] = {}
        self.cut_off: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.delays_s: Callable[[str], float] = lambda receiver: 0.0
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

    def send(self, sender: Address, receiver: Address, data: bytes) -> None:
        """Send a datagram over both hosts' links.

        It is dropped if it is too long, if a host is cut off, if ``is_cut`` says so for
        both hosts, or if a link's backlog is too long. The receiver handles it
        ``delays_s`` late.
        """
        if len(data) > DATAGRAM_MAX_BYTES or {sender[0], receiver[0]} & self.cut_off:
            return
        if self.is_cut(sender[0], receiver[0]):
            return
        now_s = self._loop.time()
        uplink, downlink = self.links[sender[0]], self.links[receiver[0]]
        if uplink.uplink_free_s > now_s + MAX_BACKLOG_S:
            uplink.dropped += 1
            return
        uplink.sent_datagrams += 1
        uplink.sent_bytes += len(data)
        uplink.uplink_free_s = max(now_s, uplink.uplink_free_s) + uplink.transmission_s(
            len(data)
        )
        arrival_s = uplink.uplink_free_s + PROPAGATION_DELAY_S
        if downlink.downlink_free_s > arrival_s + MAX_BACKLOG_S:
            downlink.dropped += 1
            return
        downlink.downlink_free_s = max(
            arrival_s, downlink.downlink_free_s
        ) + downlink.transmission_s(len(data))
        handled_s = downlink.downlink_free_s + self.delays_s(receiver[0])
        self._loop.call_at(handled_s, self._deliver, sender, receiver, data)

    def _deliver(self, sender: Address, receiver: Address, data: bytes) -> None:
        protocol = self._protocols.get(receiver)
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
