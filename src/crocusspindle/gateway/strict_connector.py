"""Open connections whose resets are never mistaken for the end of a response."""

import asyncio
import functools
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from crocusspindle.services.targets import CONNECT_TIMEOUT_S
from crocusspindle.shielded_connector import ShieldedConnector


class StrictResponseHandler(ResponseHandler):
    """Fail a response whose connection was reset before its end.

    A response without a length ends with its connection. If a reset arrives together
    with the last bytes, the event loop reports a normal end of stream, and a caller
    would get a truncated response as complete. The socket still holds the error then.
    """

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


class WithheldError(aiohttp.ClientError):
    """Report that a request must not be sent on the connection that has opened."""


check_before_sending: ContextVar[Callable[[], None] | None] = ContextVar(
    "check_before_sending", default=None
)
"""Called when a connection has opened for a request of the current task; raises
``WithheldError`` to close it and send nothing."""


class _CheckingConnector(ShieldedConnector):
    """Check that a request may still be sent once its connection has opened."""

    async def connect(self, *args: Any, **options: Any) -> Connection:
        connection = await super().connect(*args, **options)
        check = check_before_sending.get()
        if check is not None:
            try:
                check()
            except BaseException:
                connection.close()
                raise
        return connection


def single_use_session(own_ip: str | None = None) -> aiohttp.ClientSession:
    """Return a session that sends each request once, on a new connection.

    Connections come from ``own_ip`` if it is given.
    """
    session = aiohttp.ClientSession(
        connector=_strict_connector(own_ip),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
    )
    # By default the library resends a GET when a connection breaks. Every attempt must
    # count against the fleet's retry budget, so this is turned off.
    session._retry_connection = False
    return session


def _strict_connector(own_ip: str | None) -> aiohttp.TCPConnector:
    local = None if own_ip is None else (own_ip, 0)
    connector = _CheckingConnector(limit=0, force_close=True, local_addr=local)
    loop = asyncio.get_running_loop()
    # The library has no public way to set the class of its connections, and its types
    # allow only the default class.
    factory: Any = functools.partial(StrictResponseHandler, loop=loop)
    connector._factory = factory
    return connector
