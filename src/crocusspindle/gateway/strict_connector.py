"""Open connections that may be withheld once they have opened."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.connector import Connection

from crocusspindle.services.targets import CONNECT_TIMEOUT_S
from crocusspindle.shielded_connector import ShieldedConnector


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
    local = None if own_ip is None else (own_ip, 0)
    session = aiohttp.ClientSession(
        connector=_CheckingConnector(limit=0, force_close=True, local_addr=local),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
    )
    # By default the library resends a GET when a connection breaks. Every attempt must
    # count against the fleet's retry budget, so this is turned off.
    session._retry_connection = False
    return session
