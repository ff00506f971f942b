"""Open connections whose descriptors are closed exactly once."""

import asyncio
import functools
import socket
from typing import Any, Final
from weakref import WeakKeyDictionary

import aiohttp
from aiohappyeyeballs import AddrInfoType
from aiohttp.client_proto import ResponseHandler

from crocusspindle.pending_reads import read_arrived
from crocusspindle.strict_response import StrictResponseHandler

OPENING_TURNS: Final = 8
"""Turns of the event loop that take over a connected socket."""

Connection = tuple[asyncio.Transport, ResponseHandler]


class ShieldedConnector(aiohttp.TCPConnector):
    """Never cancel the opening of a connection once its socket is connected.

    If uvloop is cancelled while it takes over a connected socket, it closes the
    descriptor, and the socket object closes that number again later. By then another
    connection may have it, of another caller or target, and breaks. So whoever waits
    for a connection, with a deadline or until it is cancelled, leaves the opening to
    itself: it ends within a few turns of the event loop, and the connection is closed.

    Its connections fail responses that are no valid ones.
    """

    def __init__(self, **options: Any) -> None:
        # Addresses are tried one by one, so that an opening has one socket at a time.
        super().__init__(
            socket_factory=self._create_socket, happy_eyeballs_delay=None, **options
        )
        self._sockets: WeakKeyDictionary[asyncio.Task[Any], socket.socket] = (
            WeakKeyDictionary()
        )
        # The library has no public way to set the class of its connections, and its
        # types allow only the default class.
        factory: Any = functools.partial(StrictResponseHandler, loop=self._loop)
        self._factory = factory

    def _create_socket(self, address: AddrInfoType) -> socket.socket:
        family, kind, protocol, _, _ = address
        created = socket.socket(family, kind, protocol)
        opening = asyncio.current_task()
        assert opening is not None
        self._sockets[opening] = created
        return created

    async def _wrap_create_connection(self, *args: Any, **options: Any) -> Connection:
        # The library would cancel the opening at its own timeout.
        limits: aiohttp.ClientTimeout = options["timeout"]
        options["timeout"] = aiohttp.ClientTimeout(sock_connect=None)
        opening = asyncio.create_task(super()._wrap_create_connection(*args, **options))
        try:
            await asyncio.wait((opening,), timeout=limits.sock_connect)
            if not opening.done():
                # This process may have been paused while the connection opened.
                await read_arrived(OPENING_TURNS)
        except asyncio.CancelledError:
            self._abandon(opening)
            raise
        if not opening.done():
            self._abandon(opening)
            raise TimeoutError
        return opening.result()

    def _abandon(self, opening: asyncio.Task[Connection]) -> None:
        opening.add_done_callback(_close)
        connecting = self._sockets.get(opening)
        if connecting is None or not _is_connected(connecting):
            # Only the socket object holds the descriptor, and closes it.
            opening.cancel()


def _is_connected(connecting: socket.socket) -> bool:
    try:
        connecting.getpeername()
    except OSError:
        return False
    return True


def _close(opening: asyncio.Task[Connection]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()
