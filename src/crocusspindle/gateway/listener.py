"""Accept connections on a port, and close it without dropping those that wait."""

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from crocusspindle.connection_table import limit_receive_buffer
from crocusspindle.gateway.open_ports import open_when_free
from crocusspindle.pending_reads import read_arrived

BACKLOG: Final = 512

Factory = Callable[[], asyncio.Protocol]


class Listener:
    """Accept connections on one port.

    The kernel sets connections up before the process accepts them. It resets those that
    are left when the port closes, with the requests that they hold.
    """

    def __init__(
        self, server: asyncio.Server, listening: socket.socket, factory: Factory
    ) -> None:
        self._server = server
        self._socket = listening
        self._factory = factory

    @classmethod
    async def open(cls, address: str, factory: Factory) -> "Listener":
        """Listen on ``host:port``; wait while another process holds the port."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()

        async def listen() -> Listener:
            listening = socket.create_server((host, int(port)), backlog=BACKLOG)
            listening.setblocking(False)
            limit_receive_buffer(listening)
            server = await loop.create_server(factory, sock=listening, backlog=BACKLOG)
            return cls(server, listening, factory)

        return await open_when_free(listen, address)

    @property
    def port(self) -> int:
        """Return the number of the port."""
        number: int = self._socket.getsockname()[1]
        return number

    async def accept_and_close(self) -> int:
        """Close the port; serve the connections that waited, and return their number.

        Those that the event loop has accepted by itself are not counted.
        """
        await read_arrived()
        waiting = self._accept_waiting()
        self.close()
        loop = asyncio.get_running_loop()
        for connection in waiting:
            # The caller may have left.
            with suppress(OSError):
                await loop.connect_accepted_socket(self._factory, connection)
        return len(waiting)

    def close(self) -> None:
        """Close the port at once."""
        self._server.close()

    def _accept_waiting(self) -> list[socket.socket]:
        waiting: list[socket.socket] = []
        # None waits any more, or there is no descriptor left for it. The port closes.
        with suppress(OSError):
            while True:
                with suppress(ConnectionAbortedError):
                    waiting.append(self._socket.accept()[0])
        return waiting
