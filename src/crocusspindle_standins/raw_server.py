"""Stand in for a server that sends given bytes in place of a response."""

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from types import TracebackType
from typing import Final, Self

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
READ_BYTES: Final = 1 << 16


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset in place of an end of stream."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    transport.abort()


@dataclass
class RawServer:
    """Read the head of each request, send ``response``, and end the connection.

    The stream ends after the response, and the rest of the request is read. If
    ``resets``, the connection is reset after ``pause_s``, and nothing more is read. If
    it ``keeps_open``, the connection takes further requests, without a body.
    """

    response: bytes
    resets: bool = False
    keeps_open: bool = False
    pause_s: float = 0.0
    address: str = ""
    connections: int = 0
    _server: asyncio.Server | None = field(default=None, init=False)

    async def __aenter__(self) -> Self:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop listening."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            await self._respond(reader, writer)
            while self.keeps_open:
                await self._respond(reader, writer)
            if self.resets:
                await asyncio.sleep(self.pause_s)
                reset(writer.transport)
                return
            writer.write_eof()
            while await reader.read(READ_BYTES):
                pass
        writer.close()

    async def _respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.response)
        await writer.drain()
