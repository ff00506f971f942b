"""Relay TCP connections of a test and drop the bytes of either direction."""

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import Final

CHUNK_BYTES: Final = 65536


class Direction(Enum):
    """Name a direction of a relayed connection."""

    TO_SERVER = "to_server"
    TO_CLIENT = "to_client"


@dataclass
class Relay:
    """Forward connections to one server; bytes of a cut direction are dropped.

    A cut leaves the connections open and notifies neither end, like a network element
    that has lost its connection state.
    """

    host: str
    port: int
    server_port: int

    def __post_init__(self) -> None:
        self._cut: set[Direction] = set()
        self._silenced: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen for connections."""
        self._server = await asyncio.start_server(self._accept, self.host, self.port)

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, *directions: Direction) -> None:
        """Drop every byte of these directions, on all connections."""
        self._cut.update(directions)

    def heal(self) -> None:
        """Forward bytes again; silenced connections stay silent."""
        self._cut.clear()

    def silence_open_connections(self) -> None:
        """Silence every open connection permanently; new ones work."""
        self._silenced.update(range(self._connections))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._connections
        self._connections += 1
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self.host, self.server_port
            )
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(number, Direction.TO_SERVER, reader, server_writer),
            self._forward(number, Direction.TO_CLIENT, server_reader, writer),
            return_exceptions=True,
        )

    async def _forward(
        self,
        number: int,
        direction: Direction,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if direction in self._cut or number in self._silenced:
                    continue
                writer.write(chunk)
                await writer.drain()
        finally:
            if direction not in self._cut and number not in self._silenced:
                writer.close()
