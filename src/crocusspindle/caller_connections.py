"""Bound what callers' connections hold, and close them without dropping a request.

The HTTP library bounds each line of a head and how many there are, but not their sum,
and keeps on parsing after an error. Its own `close` keeps an idle connection open and
drops all that arrives on it, requests and the rest of a body alike.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from crocusspindle.clock import now_ms
from crocusspindle.connection_table import ConnectionTable
from crocusspindle.core.connection_bound import head_cost_bytes
from crocusspindle.idle_close import has_unread, shut_down
from crocusspindle.pending_reads import call_after_reads, read_arrived

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

CLOSE_POLL_S: Final = 0.02
RESPONSE_TURNS: Final = 24
"""Turns of the event loop that read a target's response and send it to its caller."""

HEAD_PART_WAIT_S: Final = 0.5
"""How long a leaving node waits for the rest of a request's head. A caller whose
request was not read completely can send it to another node."""


HEAD_BYTES: Final = 16_384
"""Longest request line, and longest fields of a request, of ports without a setting."""

HEAD_FACTOR: Final = 2
"""Ratio of the longest head to the limit of its lines: the request line and all fields
together may each be as long as the limit."""

HEAD_SLACK_BYTES: Final = 4_096
"""For the ends of lines, and for empty lines before a request."""

HEAD_PART_BYTES: Final = 1 << 14
BODY_PART_BYTES: Final = 1 << 16
"""What is parsed at once, so that heads are checked as they grow."""

READ_BUFFER_BYTES: Final = 1 << 15
"""The library pauses a connection once twice as much of a body was not consumed."""

FIRST_REQUEST_S: Final = 10.0
IDLE_S: Final = 60.0
LINGER_S: Final = 2.0
"""How long to read what a caller sends after its response: closing a connection with
unread bytes resets it, and the caller would lose the response."""

HEAD_TOO_LONG: Final = 431


class CallerConnection(web.RequestHandler):
    """Serve one connection, and know whether a request has begun to arrive on it."""

    __slots__ = (
        "_body",
        "_first_request_s",
        "_first_request_timer",
        "_head_began_s",
        "_head_bytes",
        "_head_lines",
        "_is_refused",
        "_max_head_bytes",
        "_table",
        "has_sent_request",
        "held_bytes",
    )

    def __init__(
        self,
        manager: web.Server,
        table: ConnectionTable | None = None,
        head_bytes: int = HEAD_BYTES,
        first_request_s: float = FIRST_REQUEST_S,
        **options: Any,
    ) -> None:
        defaults = {
            "access_log": None,
            "keepalive_timeout": IDLE_S,
            "lingering_time": LINGER_S,
            "read_bufsize": READ_BUFFER_BYTES,
        }
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            max_line_size=head_bytes,
            max_field_size=head_bytes,
            **defaults | options,
        )
        self.held_bytes = 0
        self.has_sent_request = False
        self._table = ConnectionTable() if table is None else table
        self._max_head_bytes = HEAD_FACTOR * head_bytes + HEAD_SLACK_BYTES
        self._head_began_s: float | None = None
        self._head_bytes = 0
        self._head_lines = 0
        self._is_refused = False
        # The body of the request that was read last.
        self._body: StreamReader = EMPTY_PAYLOAD
        self._first_request_s = first_request_s
        self._first_request_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer that closes a connection without a first request.

        Connections with an incomplete header would otherwise use up the node's file
        descriptors, and other callers would be refused.
        """
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        if not self._table.add(self, loop.time()):
            self.abort()
            return
        self._first_request_timer = loop.call_later(
            self._first_request_s, self.close_without_request
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection."""
        self._table.remove(self)
        self._cancel_first_request_timer()
        self._release_waiting()
        super().connection_lost(exc)

    def _cancel_first_request_timer(self) -> None:
        if self._first_request_timer is not None:
            self._first_request_timer.cancel()
            self._first_request_timer = None

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived; refuse a head that is too long.

        Bytes that follow a malformed request are dropped.
        """
        if not data:
            self._parse(data)
        position = 0
        while position < len(data) and not self._drops_input:
            size = BODY_PART_BYTES if self._reads_body else HEAD_PART_BYTES
            self._parse(data[position : position + size])
            position += size
        if self._messages or self._current_request is not None:
            self._head_began_s = None
        elif self._head_began_s is None:
            self._head_began_s = asyncio.get_running_loop().time()

    @property
    def _drops_input(self) -> bool:
        return self._is_refused or self._close or self._force_close

    @property
    def _reads_body(self) -> bool:
        return not self._body.is_eof()

    def _parse(self, part: bytes) -> None:
        requests, body_bytes = self._request_count, self._body.total_bytes
        super().data_received(part)
        if self._request_count != requests:
            self._record_requests()
        elif self._body.total_bytes != body_bytes:
            if not self._head_bytes:
                return
            self._head_bytes = self._head_lines = 0
        elif part and not self._buffer_paused and not self._reading_paused:
            # Neither a request nor a part of a body: a head, a trailer, empty lines, or
            # what precedes a chunk.
            self._head_bytes += len(part)
            self._head_lines += part.count(b"\n")
            if self._head_bytes > self._max_head_bytes:
                self._refuse_head()
        else:
            return
        now_s = asyncio.get_running_loop().time()
        self._table.resize(self, self.recount(), now_s)

    def _record_requests(self) -> None:
        self._head_bytes = self._head_lines = 0
        message, body = self._messages[-1]
        if isinstance(message, _ErrInfo):
            # The library would add an error for each part that follows.
            self._is_refused = True
            self._fail_body()
            return
        self._body = body
        self.has_sent_request = True
        self._cancel_first_request_timer()

    def _refuse_head(self) -> None:
        self._is_refused = True
        self._head_bytes = self._head_lines = 0
        self._fail_body()
        text = "the head of the request is too long"
        error = HttpProcessingError(code=HEAD_TOO_LONG, message=text)
        self._messages.append((_ErrInfo(HEAD_TOO_LONG, error, text), EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _fail_body(self) -> None:
        # The library leaves its reader waiting for the rest.
        if self._reads_body:
            error = web.RequestPayloadError("the body of the request is malformed")
            self._body.set_exception(error)

    def log_exception(self, *args: Any, **kw: Any) -> None:
        """Log an error of the server; callers' malformed bodies are none."""
        if not isinstance(kw.get("exc_info"), web.RequestPayloadError):
            super().log_exception(*args, **kw)

    def recount(self) -> int:
        """Return about how much memory the heads of this connection take."""
        heads = [message for message, _ in self._messages]
        if self._current_request is not None:
            heads.append(self._current_request._message)
        return head_cost_bytes(self._head_bytes, self._head_lines) + sum(
            _head_cost_bytes(head) for head in heads
        )

    def drop_input(self) -> None:
        """Drop what arrives from now on; the connection closes after its response."""
        self._is_refused = True

    def abort(self) -> None:
        """Close the connection at once, whatever it holds."""
        transport = self.transport
        self.force_close()
        self._release_waiting()
        if transport is not None:
            transport.abort()

    def _release_waiting(self) -> None:
        # Reference cycles keep the connection until the next garbage collection. The
        # library's task may be about to take the first request.
        while len(self._messages) > 1:
            self._messages.pop()

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

    def close_if_idle(self) -> bool:
        """Close the connection unless a request was read or waits to be read.

        Return True if it is closed.
        """
        is_idle = self.is_idle and not has_unread(self.transport)
        if is_idle:
            self.force_close()
        return is_idle

    def force_close(self) -> None:
        """Close the connection at once; an idle one ends in the kernel, too."""
        if self.is_idle:
            shut_down(self.transport)
        super().force_close()


def _head_cost_bytes(message: Any) -> int:
    if not isinstance(message, RawRequestMessage):
        return 0
    # Short fields take more memory than their bytes; long ones are few.
    length = len(message.path) + sum(len(value) for _, value in message.raw_headers)
    return head_cost_bytes(length, len(message.raw_headers))


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


def drop_body(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Close the connection after a response, and hold nothing of what still arrives."""
    response.force_close()
    if isinstance(request.protocol, CallerConnection):
        request.protocol.drop_input()


class BoundServer(web.Server):
    """Serve the requests of a port whose connections are bounded by a table."""

    def __init__(self, handler: Handler, table: ConnectionTable) -> None:
        super().__init__(handler, request_factory=create_request, access_log=None)
        self._table = table

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._table)


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
