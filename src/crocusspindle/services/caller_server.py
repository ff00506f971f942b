"""Take callers' connections, and answer what is no proper request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from aiohttp import web

from crocusspindle.services import words
from crocusspindle.services.words import Word
from crocusspindle.settings_schema import CallerSettings

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

SERVER_ERROR: Final = 500
DETAIL_MAX: Final = 200


class _CallerProtocol(web.RequestHandler):
    """Serve one connection of a caller."""

    __slots__ = ("_first_request_timer", "_slow_sender_s")

    def __init__(self, manager: web.Server, settings: CallerSettings) -> None:
        super().__init__(
            manager,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]  # None turns it off
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
        )
        self._slow_sender_s = settings.slow_sender_ms / 1e3
        self._first_request_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first request, but not for ever.

        Who opens connections and sends half a header each would fill the node's
        connections, and callers with work would be turned away.
        """
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._first_request_timer = loop.call_later(
            self._slow_sender_s, transport.close
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the timer with the connection."""
        self.request_came()
        super().connection_lost(exc)

    def request_came(self) -> None:
        """Note that a whole header is here."""
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
        """Answer a malformed request as all others: with its outcome."""
        if request.writer.output_size > 0:
            raise ConnectionError("the answer has begun; its connection breaks")
        word = words.INTERNAL
        if status < SERVER_ERROR:
            detail = (message or "the request is malformed")[:DETAIL_MAX]
            word = Word(status, "malformed", detail)
        response = word.response("none")
        response.force_close()
        return response


class CallerServer(web.Server):
    """Make the protocol of each connection."""

    def __init__(self, handler: Handler, settings: CallerSettings) -> None:
        super().__init__(
            self._note,
            handler_cancellation=True,
        )
        self._handler = handler
        self._settings = settings

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        return _CallerProtocol(self, self._settings)

    async def _note(self, request: web.BaseRequest) -> web.StreamResponse:
        if isinstance(request.protocol, _CallerProtocol):
            request.protocol.request_came()
        return await self._handler(request)
