"""Open a connection without a transport, to learn whether a port accepts it."""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager


@asynccontextmanager
async def connected_socket(
    address: str, timeout_s: float
) -> AsyncIterator[socket.socket]:
    """Connect to ``host:port``; raise ``OSError`` if that fails or takes too long.

    The socket object alone closes its descriptor, also when its user is cancelled just
    as the socket has connected.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as connecting:
        connecting.setblocking(False)
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(timeout_s):
            await loop.sock_connect(connecting, (host.strip("[]"), int(port)))
        yield connecting
