"""Open connections that a cancelled request can't close twice."""

import asyncio
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

Connection = tuple[asyncio.Transport, ResponseHandler]


class ShieldedConnector(aiohttp.TCPConnector):
    """Finish opening a connection whose request is cancelled, then close it.

    If uvloop is cancelled while it takes over a connected socket, it closes the
    descriptor, and the socket object closes that number again later. By then another
    connection may have it, of another caller or target, and breaks.
    """

    async def _wrap_create_connection(self, *args: Any, **options: Any) -> Connection:
        opening = asyncio.create_task(super()._wrap_create_connection(*args, **options))
        try:
            return await asyncio.shield(opening)
        except asyncio.CancelledError:
            opening.add_done_callback(_close)
            raise


def _close(opening: asyncio.Task[Connection]) -> None:
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()
