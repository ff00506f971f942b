"""Run a gateway whose paths to targets can be cut while it runs.

Loopback can't drop packets between two processes. Instead, the process checks a file
beside its settings at each connection to a target, and applies the cut that it names.
"""

if __name__ == "__main__":
    # First, as in the deployed process. Processes that another one starts inherit it.
    import crocusspindle.gateway.start  # noqa: F401

import asyncio
import json
import os
import socket
import sys
import weakref
from collections.abc import AsyncIterator, Collection
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from importlib import import_module
from pathlib import Path
from typing import Any, Final

POLL_S: Final = 0.02
NEVER_S: Final = 3600.0


class CutMode(Enum):
    """Select what a cut does to connections between a gateway and targets.

    - ``HANGS``: new connections and open ones are silent.
    - ``RESETS``: new connections are refused, and open ones end.
    - ``REFUSES``: new connections are refused, and open ones live on.
    - ``BREAKS``: connections are accepted, and end as soon as they are used.
    """

    HANGS = "hangs"
    RESETS = "resets"
    REFUSES = "refuses"
    BREAKS = "breaks"


@dataclass(frozen=True)
class Cut:
    """Hold the mode of a cut and the addresses of the targets behind it."""

    mode: CutMode
    addresses: frozenset[str]


def cut_file(settings: Path) -> Path:
    """Return the file that names the cut of a gateway."""
    return settings.with_suffix(".cut")


def write_cut(settings: Path, mode: CutMode, addresses: Collection[str]) -> None:
    """Cut a gateway off from the targets at some addresses."""
    document = {"mode": mode.value, "addresses": sorted(addresses)}
    new = settings.with_suffix(".cut.new")
    new.write_text(json.dumps(document))
    new.rename(cut_file(settings))


def end_cut(settings: Path) -> None:
    """End the cut of a gateway."""
    cut_file(settings).unlink(missing_ok=True)


class Partition:
    """Apply the cut to the connections of this process."""

    def __init__(self, settings: Path) -> None:
        self._file = cut_file(settings)
        self._sockets: weakref.WeakKeyDictionary[socket.socket, str] = (
            weakref.WeakKeyDictionary()
        )
        self._ended = False

    def cut(self) -> Cut | None:
        """Return the cut in force."""
        try:
            document = json.loads(self._file.read_text())
        except OSError:
            return None
        return Cut(CutMode(document["mode"]), frozenset(document["addresses"]))

    async def check(self, address: str) -> None:
        """Wait or fail as a new connection to an address does."""
        cut = self.cut()
        if cut is None or address not in cut.addresses:
            return
        if cut.mode is CutMode.HANGS:
            await asyncio.sleep(NEVER_S)
        if cut.mode in (CutMode.RESETS, CutMode.REFUSES):
            raise ConnectionRefusedError(111, f"Connect call failed ({address})")

    def connected(self, sock: socket.socket, address: str) -> None:
        """Remember an open connection to a target."""
        self._sockets[sock] = address
        cut = self.cut()
        if cut and cut.mode is CutMode.BREAKS and address in cut.addresses:
            sock.shutdown(socket.SHUT_RDWR)

    def is_silent(self, address: str) -> bool:
        """Return True if nothing arrives any more from an address."""
        cut = self.cut()
        return (
            cut is not None and cut.mode is CutMode.HANGS and address in cut.addresses
        )

    async def end_open_connections(self) -> None:
        """End the open connections when a cut that resets them begins."""
        while True:
            cut = self.cut()
            resets = cut is not None and cut.mode in (CutMode.RESETS, CutMode.BREAKS)
            if cut is not None and resets and not self._ended:
                for sock, address in list(self._sockets.items()):
                    if address in cut.addresses and sock.fileno() >= 0:
                        sock.shutdown(socket.SHUT_RDWR)
            self._ended = resets
            await asyncio.sleep(POLL_S)


def install(partition: Partition) -> None:
    """Make the product's connections to targets pass through a partition."""
    from crocusspindle import (  # noqa: PLC0415 - reads variables main sets
        strict_response,
    )

    # The HTTP library opens its connections by this module.
    connector: Any = import_module("aiohappyeyeballs")
    connect = connector.start_connection
    port_probe: Any = import_module("crocusspindle.gateway.port_probe")
    connected_socket = port_probe.connected_socket
    watching: list[asyncio.Task[None]] = []

    async def start_connection(addr_infos: Any, **options: Any) -> Any:
        if not watching:
            watching.append(asyncio.create_task(partition.end_open_connections()))
        host, port = addr_infos[0][4][:2]
        address = f"{host}:{port}"
        await partition.check(address)
        sock = await connect(addr_infos, **options)
        partition.connected(sock, address)
        return sock

    @asynccontextmanager
    async def checked_socket(address: str, timeout_s: float) -> AsyncIterator[Any]:
        async with asyncio.timeout(timeout_s):
            await partition.check(address)
        async with connected_socket(address, timeout_s) as connected:
            cut = partition.cut()
            if cut and cut.mode is CutMode.BREAKS and address in cut.addresses:
                connected.shutdown(socket.SHUT_RDWR)
            yield connected

    handler = strict_response.StrictResponseHandler
    receive = handler.data_received

    def data_received(self: Any, data: bytes) -> None:
        peer = self.transport and self.transport.get_extra_info("peername")
        if not peer or not partition.is_silent(f"{peer[0]}:{peer[1]}"):
            receive(self, data)

    connector.start_connection = start_connection
    handler.data_received = data_received  # type: ignore[method-assign]  # a stand-in
    port_probe.connected_socket = checked_socket


def main(arguments: list[str]) -> int:
    """Serve as the product's own main function does, behind a partition."""
    from crocusspindle.gateway import __main__ as product  # noqa: PLC0415 - see install

    os.environ["UV_USE_IO_URING"] = "0"
    install(Partition(Path(arguments[0])))
    return product.main(arguments)


if __name__ == "__main__":
    os._exit(main(sys.argv[1:]))
