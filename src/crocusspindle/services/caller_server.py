"""Serve callers' connections, and respond to malformed requests."""

from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from crocusspindle.caller_connections import CallerConnection, create_request
from crocusspindle.connection_table import ConnectionTable
from crocusspindle.services import error_responses
from crocusspindle.services.error_responses import ErrorResponse
from crocusspindle.settings_schema import CallerSettings

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

SERVER_ERROR: Final = 500
KEEP_ALIVE_S: Final = 3_630.0
LINGER_S: Final = 10.0
"""How long to read what a caller sends after its response."""
MAX_DETAIL_CHARS: Final = 200


class _CallerProtocol(CallerConnection):
    """Serve one connection of a caller."""

    __slots__ = ("_server",)

    def __init__(
        self, manager: "CallerServer", settings: CallerSettings, table: ConnectionTable
    ) -> None:
        super().__init__(
            manager,
            table,
            settings.max_header_bytes,
            settings.slow_sender_ms / 1e3,
            keepalive_timeout=KEEP_ALIVE_S,
            lingering_time=LINGER_S,
        )
        self._server = manager

    @property
    def is_leaving(self) -> bool:
        """Return True if the node is leaving."""
        return self._server.leaving

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

    def __init__(
        self,
        handler: Handler,
        settings: CallerSettings,
        table: ConnectionTable | None = None,
    ) -> None:
        super().__init__(
            handler,
            request_factory=create_request,
            handler_cancellation=True,
        )
        self.leaving = False
        self._settings = settings
        self._table = ConnectionTable() if table is None else table

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _CallerProtocol(self, self._settings, self._table)
