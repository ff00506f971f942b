"""Run asyncio in virtual time: the clock advances over waits without sleeping."""

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, Protocol

START_S: Final = 1_000.0
"""The virtual clock's start; above 0, so that times before it are not negative."""


class DatagramNetwork(Protocol):
    """Open sockets of a simulated network."""

    def open(
        self, protocol: asyncio.DatagramProtocol, address: tuple[str, int]
    ) -> asyncio.DatagramTransport:
        """Return the transport of a socket at an address."""


class _VirtualSelector(selectors.BaseSelector):
    """Advance the clock in place of waiting."""

    def __init__(self) -> None:
        self._keys: dict[int, selectors.SelectorKey] = {}
        self.now_s = START_S

    def register(
        self, fileobj: Any, events: int, data: Any = None
    ) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = selectors.SelectorKey(fileobj, descriptor, events, data)
        self._keys[descriptor] = key
        return key

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        return self._keys.pop(descriptor)

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("all tasks are waiting and no timer is set")
        self.now_s += max(0.0, timeout)
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        return self._keys


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run tasks on a virtual clock."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-9
        self.network: DatagramNetwork | None = None

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    # The base method accepts more kinds of address than nodes use.
    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: tuple[str, int] | None = None,
        **_: Any,
    ) -> tuple[asyncio.DatagramTransport, asyncio.DatagramProtocol]:
        """Open a socket of the virtual network."""
        if self.network is None or local_addr is None:
            raise OSError("the loop has no network or no local address is given")
        protocol = protocol_factory()
        transport = self.network.open(protocol, local_addr)
        protocol.connection_made(transport)
        return transport, protocol


START_UNIX_S: Final = 1e9
"""The Unix time at zero of the virtual clock."""


class VirtualTime:
    """Replace the module ``time`` where crocusspindle reads its clock."""

    CLOCK_BOOTTIME: Final = time.CLOCK_BOOTTIME

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def clock_gettime_ns(self, clock: int) -> int:
        """Return the virtual time in nanoseconds."""
        return int(self._loop.time() * 1e9)

    def time(self) -> float:
        """Return the virtual Unix time in seconds."""
        return START_UNIX_S + self._loop.time()


def run(loop: VirtualLoop, work: Awaitable[None]) -> None:
    """Run work to completion, then cancel the tasks that remain."""

    async def run_then_cancel_tasks() -> None:
        try:
            await work
        finally:
            remaining = asyncio.all_tasks() - {asyncio.current_task()}
            for task in remaining:
                task.cancel()
            await asyncio.gather(*remaining, return_exceptions=True)

    try:
        loop.run_until_complete(run_then_cancel_tasks())
    finally:
        loop.close()
