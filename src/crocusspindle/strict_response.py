"""Read responses, and fail those that are malformed, too long or end early."""

import asyncio
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage

from crocusspindle.response_bounds import (
    SLICE_BYTES,
    ResponseBoundError,
    ResponseBounds,
)
from crocusspindle.response_heads import HeadText, check_head


class StrictResponseHandler(ResponseHandler):
    """Fail a response whose connection was reset before its end.

    A response without a length ends with its connection. If a reset arrives together
    with the last bytes, the event loop reports a normal end of stream, and a caller
    would get a truncated response as complete. The socket still holds the error then.

    A response that exceeds `ResponseBounds` or has an invalid head fails, and its
    connection is closed.
    """

    _exceeded = False

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._bounds = ResponseBounds()
        self._head_text = HeadText()

    def set_response_params(self, *args: Any, **options: Any) -> None:
        """Expect the next response of the connection."""
        self._bounds = ResponseBounds()
        self._head_text = HeadText()
        super().set_response_params(*args, **options)

    def data_received(self, data: bytes) -> None:
        """Parse what has arrived, as far as it is within the bounds."""
        # The parser takes all that it gets at once: a read may hold ten thousand
        # interim responses, which would stop the event loop.
        start = 0
        try:
            while not self._exceeded and not self._bounds.has_head:
                part = data[start : start + SLICE_BYTES]
                start += len(part)
                self._bounds.add_head(len(part))
                self._head_text.add(part)
                super().data_received(part)
                if start >= len(data):
                    return
            if not self._exceeded:
                rest = data[start:] if start else data
                super().data_received(rest)
                self._count_rest(len(rest))
        except ResponseBoundError as error:
            self._exceed(error)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on a valid head; drop it if there are too many interim ones."""
        if self._exceeded:
            return
        message: RawResponseMessage = data[0]
        try:
            self._head_text.end_head()
            check_head(message)
            self._bounds.add_message(message.code)
        except ResponseBoundError as error:
            self._exceed(error)
            return
        super().feed_data(data, size)

    def _count_rest(self, received: int) -> None:
        payload = self._payload
        body_bytes = 0 if payload is None else payload.total_bytes
        self._bounds.add_rest(received, body_bytes)

    def _exceed(self, error: ResponseBoundError) -> None:
        self._exceeded = True
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Check for a reset at the end of the stream."""
        if self._socket_error() != 0:
            self._break_payload()
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response if its connection broke."""
        if exc is not None:
            self._break_payload()
        super().connection_lost(exc)

    def _socket_error(self) -> int:
        transport = self.transport
        sock = None if transport is None else transport.get_extra_info("socket")
        if sock is None:
            return 0
        return int(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _break_payload(self) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError("connection reset within a response")
            )
