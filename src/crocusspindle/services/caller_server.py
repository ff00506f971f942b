"""Serve callers' connections, and respond to malformed requests."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from crocusspindle.caller_connections import CallerConnection, create_request
from crocusspindle.services import error_responses
from crocusspindle.services.error_responses import ErrorResponse
from crocusspindle.settings_schema import CallerSettings

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

SERVER_ERROR: Final = 500
MAX_DETAIL_CHARS: Final = 200


class _CallerProtocol(CallerConnection):
    """Serve one connection of a caller."""

    __slots__ = ("_first_request_timer", "_server", "_slow_sender_s")

    def __init__(self, manager: "CallerServer", settings: CallerSettings) -> None:
        super().__init__(
            manager,
            access_log=None,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
        )
        self._server = manager
        self._slow_sender_s = settings.slow_sender_ms / 1e3
        self._first_request_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Limit the wait for the first request's header.

        A client that opens connections and sends incomplete headers would use up the
        node's connections, so that other callers are refused.
        """
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._first_request_timer = loop.call_later(
            self._slow_sender_s, self.close_without_request
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the timer of the connection."""
        self.cancel_first_request_timer()
        super().connection_lost(exc)

    @property
    def is_leaving(self) -> bool:
        """Return True if the node is leaving."""
        return self._server.leaving

    def cancel_first_request_timer(self) -> None:
        """Cancel the timer, since a complete header has arrived."""
        if self._first_request_timer is not None:
            self._first_request_timer.cancel()
            self._first_request_timer = None

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to a malformed request or an internal error, with the outcome."""
        if request.writer.output_size > 0:
            raise ConnectionError("the response has started; closing its connection")
        error = error_responses.INTERNAL
        if status < SERVER_ERROR:
            detail = (message or "the request is malformed")[:MAX_DETAIL_CHARS]
            error = ErrorResponse(status, "malformed", detail)
        response = error.response("none")
        response.force_close()
        return response


class CallerServer(web.Server):
    """Create the protocol of each connection.

    While ``leaving`` is set, a connection closes once what was read is answered.
    """

    def __init__(self, handler: Handler, settings: CallerSettings) -> None:
        super().__init__(
            self._handle_request,
            request_factory=create_request,
            handler_cancellation=True,
        )
        self.leaving = False
        self._handler = handler
        self._settings = settings

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _CallerProtocol(self, self._settings)

    async def _handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        if isinstance(request.protocol, _CallerProtocol):
            request.protocol.cancel_first_request_timer()
        return await self._handler(request)
