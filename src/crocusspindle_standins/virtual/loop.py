"""Run asyncio in virtual time: a wait costs nothing, and the clock jumps over it."""

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol

START_S: Final = 1_000.0
"""Where the virtual clock begins: times before it are not negative."""


class DatagramNetwork(Protocol):
    """Open sockets of a network that is not there."""

    def open(
        self, protocol: asyncio.DatagramProtocol, address: tuple[str, int]
    ) -> asyncio.DatagramTransport:
        """Return the transport of a socket at an address."""


class _Selector(selectors.BaseSelector):
    """Wait for nothing, and move the clock on instead."""

    def __init__(self) -> None:
        self._keys: dict[int, selectors.SelectorKey] = {}
        self.now_s = START_S

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, number, events, data)
        self._keys[number] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        number = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys.pop(number)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks wait, and no timer is set")
        self.now_s += max(0.0, timeout)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks one after the other on a clock of its own."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-9
        self.network: DatagramNetwork | None = None

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s

    # The real one takes more ways to name a socket than nodes use.
    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: tuple[str, int] | None = None,
        **_: Any,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Open a socket of the virtual network."""
        if self.network is None or local_addr is None:
            raise OSError("the loop has no network")
        protocol = protocol_factory()
        transport = self.network.open(protocol, local_addr)
        protocol.connection_made(transport)
        return transport, protocol


DAY_BEGAN_S: Final = 1e9
"""The virtual time of day at which all loops begin."""


class VirtualTime:
    """Stand in for the module ``time`` where the product reads its clock."""

    CLOCK_BOOTTIME: Final = time.CLOCK_BOOTTIME

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def clock_gettime_ns(self, clock: int) -> int:
        """Return the virtual time in nanoseconds."""
        return int(self._loop.time() * 1e9)

    def time(self) -> float:
        """Return the virtual time of day in seconds."""
        return DAY_BEGAN_S + self._loop.time()


def run(loop: VirtualLoop, work: Awaitable[None]) -> None:
    """Run work to its end, then end what it left behind."""

    async def whole() -> None:
        try:
            await work
        finally:
            left = asyncio.all_tasks() - {asyncio.current_task()}
            for task in left:
                task.cancel()
            await asyncio.gather(*left, return_exceptions=True)

    try:
        loop.run_until_complete(whole())
    finally:
        loop.close()
