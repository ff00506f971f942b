"""Close callers' connections at a planned stop without dropping a request.

The HTTP library's own `close` keeps an idle connection open and drops all that arrives
on it, requests and the rest of a body alike.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_parser import RawRequestMessage

from crocusspindle.clock import now_ms
from crocusspindle.idle_close import has_unread, shut_down
from crocusspindle.pending_reads import call_after_reads, read_arrived

CLOSE_POLL_S: Final = 0.02
RESPONSE_TURNS: Final = 24
"""Turns of the event loop that read a target's response and send it to its caller."""

HEAD_PART_WAIT_S: Final = 0.5
"""How long a leaving node waits for the rest of a request's head. A caller whose
request was not read completely can send it to another node."""


class CallerConnection(web.RequestHandler):
    """Serve one connection, and know whether a request has begun to arrive on it."""

    __slots__ = ("_head_began_s",)

    def __init__(self, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, loop=asyncio.get_running_loop(), **options)
        self._head_began_s: float | None = None

    def data_received(self, data: bytes) -> None:
        """Record when the first bytes of a request's head arrived."""
        super().data_received(data)
        if self._messages or self._current_request is not None:
            self._head_began_s = None
        elif self._head_began_s is None:
            self._head_began_s = asyncio.get_running_loop().time()

    @property
    def is_leaving(self) -> bool:
        """Return True if the node is leaving."""
        return False

    @property
    def closes_after_response(self) -> bool:
        """Return True if a response that starts now closes the connection."""
        return self.is_leaving and not self._messages

    @property
    def is_idle(self) -> bool:
        """Return True unless the connection holds a request or the start of one."""
        # The library's task waits on this future while it has no complete request.
        is_waiting = self._waiter is not None and not self._waiter.done()
        now_s = asyncio.get_running_loop().time()
        has_new_head = (
            self._head_began_s is not None
            and now_s - self._head_began_s < HEAD_PART_WAIT_S
        )
        return is_waiting and not has_new_head

    def close_without_request(self) -> None:
        """Close the connection unless a request was read, or is read now."""
        call_after_reads(self._close_without_request)

    def _close_without_request(self) -> None:
        has_request = bool(self._messages) or self._current_request is not None
        if has_request or self.transport is None:
            return
        if has_unread(self.transport):
            self._call_after_poll(self.close_without_request)
            return
        shut_down(self.transport)
        self.transport.close()

    def _process_keepalive(self) -> None:
        call_after_reads(self._close_after_idle_timeout)

    def _close_after_idle_timeout(self) -> None:
        if self.is_idle and has_unread(self.transport):
            self._call_after_poll(self._process_keepalive)
            return
        super()._process_keepalive()

    @staticmethod
    def _call_after_poll(callback: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_later(CLOSE_POLL_S, callback)

    def close_if_idle(self) -> None:
        """Close the connection unless a request was read or waits to be read."""
        if self.is_idle and not has_unread(self.transport):
            self.force_close()

    def force_close(self) -> None:
        """Close the connection at once; an idle one ends in the kernel, too."""
        if self.is_idle:
            shut_down(self.transport)
        super().force_close()


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


async def close_connections(server: web.Server, until_ms: float) -> None:
    """Close each connection once it holds no request; return by a deadline."""
    while True:
        idle = [connection for connection in _connections(server) if connection.is_idle]
        await read_arrived()
        for connection in idle:
            connection.close_if_idle()
        # A connection accepted as the port closed is listed only after the next turn.
        await asyncio.sleep(CLOSE_POLL_S)
        if not server.connections:
            return
        if now_ms() >= until_ms:
            # Responses that have arrived are still sent.
            await read_arrived(RESPONSE_TURNS)
            return


def _connections(server: web.Server) -> list[CallerConnection]:
    connections = []
    for connection in server.connections:
        assert isinstance(connection, CallerConnection)
        connections.append(connection)
    return connections


def abort_connections(server: web.Server) -> None:
    """Close all connections at once."""
    for connection in server.connections:
        connection.force_close()
