"""Accept callers' connections, within the limits of the configuration.

Callers pipeline requests. The HTTP library handles them one after the other, so a
request behind one that meets a slow target would miss its deadline before it was sent.
GETs on idempotent routes are started as soon as they are read; responses still leave in
the order of the requests.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter

from crocusspindle.caller_connections import CallerConnection, create_request
from crocusspindle.connection_table import ConnectionTable
from crocusspindle.core.configuration import CallerLimits
from crocusspindle.gateway.entry import Entry, ProcessedRequest, release_result

Limits = Callable[[], CallerLimits]

SERVER_ERROR: Final = 500
MAX_HEADERS: Final = 256

TIMER_EARLY_S: Final = 0.002
"""The event loop counts in milliseconds and calls some timers up to 1 ms early."""

MAX_STARTED_EARLY: Final = 8
"""Pipelined requests of one connection that are started early. The limit keeps one
caller from occupying the slots of many others."""


class CallerProtocol(CallerConnection):
    """Serve one connection of a caller."""

    __slots__ = ("_entry", "_started_early")

    def __init__(
        self,
        manager: web.Server,
        entry: Entry,
        limits: CallerLimits,
        table: ConnectionTable | None = None,
    ) -> None:
        wait_ms = max(limits.header_timeout_ms, limits.idle_timeout_ms)
        super().__init__(
            manager,
            table,
            limits.header_bytes,
            wait_ms / 1e3,
            keepalive_timeout=limits.idle_timeout_ms / 1e3,
            max_headers=MAX_HEADERS,
            auto_decompress=False,
        )
        self._entry = entry
        # Keeps the message beside the task: its id() is unique only while it exists.
        self._started_early: dict[int, tuple[Any, asyncio.Task[ProcessedRequest]]] = {}

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests started early."""
        for _, task in self._started_early.values():
            task.cancel()
            task.add_done_callback(release_result)
        self._started_early.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start pipelined requests that wait behind others."""
        super().data_received(data)
        if self._messages:
            self._start_waiting()

    def _start_waiting(self) -> None:
        # All requests ahead must be plain GETs too: one whose response closes the
        # connection would leave forwarded requests behind it without a response.
        waiting = list(self._messages)
        if self._current_request is None:
            first, waiting = waiting[:1], waiting[1:]
            if not all(_is_plain_get(message) for message, _ in first):
                return
        elif not _is_plain_get(self._current_request._message):
            return
        for message, payload in waiting:
            if (
                not _is_plain_get(message)
                or len(self._started_early) >= MAX_STARTED_EARLY
            ):
                return
            if id(message) not in self._started_early and not self._start_request(
                message, payload
            ):
                return

    def _start_request(self, message: Any, payload: Any) -> bool:
        assert self._request_factory is not None
        loop = asyncio.get_running_loop()
        writer, task = StreamWriter(self, loop), self._task_handler
        request = self._request_factory(message, payload, self, writer, task)  # type: ignore[arg-type]  # the task is running
        started = self._entry.start_early(request)
        if started is None:
            return False
        self._started_early[id(message)] = (message, started)
        return True

    def pop_started(
        self, request: web.BaseRequest
    ) -> asyncio.Task[ProcessedRequest] | None:
        """Remove and return the task of a request that was started early."""
        started = self._started_early.pop(id(request._message), None)
        return None if started is None else started[1]

    @property
    def is_leaving(self) -> bool:
        """Return True if the node is leaving."""
        return self._entry.leaving

    def _process_keepalive(self) -> None:
        # When this timer fires early, the library sets it again for the same time, and
        # it fires early a thousand times in a row. Without the check, closing costs a
        # millisecond of processor time for half of the idle connections.
        early_s = self._next_keepalive_close_time - asyncio.get_running_loop().time()
        if 0.0 < early_s < TIMER_EARLY_S:
            loop = asyncio.get_running_loop()
            self._keepalive_handle = loop.call_later(
                TIMER_EARLY_S, self._process_keepalive
            )
            return
        super()._process_keepalive()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a malformed request; abort a response that failed midway."""
        if request.writer.output_size > 0:
            raise ConnectionError(
                "request failed after its response had started; closing the connection"
            )
        text = "the request is malformed" if status < SERVER_ERROR else "internal error"
        response = web.Response(status=status, text=f"{text}\n")
        response.force_close()
        return response


def _is_plain_get(message: Any) -> bool:
    if not isinstance(message, RawRequestMessage) or message.method != "GET":
        return False
    if message.should_close or message.upgrade or message.chunked:
        return False
    return "Content-Length" not in message.headers


class CallerServer(web.Server):
    """Create the protocol of each connection; cancel handlers of callers that leave."""

    def __init__(
        self, entry: Entry, limits: Limits, table: ConnectionTable | None = None
    ) -> None:
        super().__init__(
            self._serve, request_factory=create_request, handler_cancellation=True
        )
        self._entry = entry
        self._limits = limits
        self._table = ConnectionTable() if table is None else table

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return CallerProtocol(self, self._entry, self._limits(), self._table)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        assert isinstance(protocol, CallerProtocol)
        return await self._entry.handle(request, protocol.pop_started(request))
