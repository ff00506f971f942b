"""Close callers' connections at a planned stop without dropping a request.

The HTTP library's own `close` keeps an idle connection open and drops all that arrives
on it, requests and the rest of a body alike.
"""

import asyncio
from typing import Any, Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage

from crocusspindle.clock import now_ms

CLOSE_POLL_S: Final = 0.02


class CallerConnection(web.RequestHandler):
    """Serve one connection, and know whether a request has begun to arrive on it."""

    __slots__ = ("_head_incomplete",)

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._head_incomplete = False

    def data_received(self, data: bytes) -> None:
        """Record whether the data ended within the head of a request."""
        super().data_received(data)
        self._head_incomplete = self._is_waiting

    @property
    def _is_waiting(self) -> bool:
        return self._waiter is not None and not self._waiter.done()

    @property
    def closes_after_response(self) -> bool:
        """Return True if a response that starts now closes the connection."""
        return False

    def close_if_idle(self) -> None:
        """Close the connection unless a request on it has begun to arrive."""
        if self._is_waiting and not self._head_incomplete:
            self.force_close()


class ConnectionRequest(web.BaseRequest):
    """Make each response announce whether its connection closes.

    The handler can't: a response may start before the handler returns it.
    """

    @property
    def keep_alive(self) -> bool:
        """Return True if the connection stays open after the response."""
        connection = self.protocol
        assert isinstance(connection, CallerConnection)
        return not (self._message.should_close or connection.closes_after_response)


def create_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Return a request that an HTTP server has read."""
    loop = asyncio.get_running_loop()
    return ConnectionRequest(message, payload, protocol, writer, task, loop)


async def close_connections(server: web.Server, give_up_ms: float) -> None:
    """Close each connection once it holds no request; return by a deadline.

    A connection that was accepted as the port closed is not known before the next turn
    of the event loop.
    """
    while True:
        for connection in server.connections:
            assert isinstance(connection, CallerConnection)
            connection.close_if_idle()
        await asyncio.sleep(CLOSE_POLL_S)
        if not server.connections or now_ms() >= give_up_ms:
            return


def abort_connections(server: web.Server) -> None:
    """Close all connections at once."""
    for connection in server.connections:
        connection.force_close()
