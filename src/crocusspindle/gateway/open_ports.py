"""Open a port that another process may still hold."""

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from crocusspindle.clock import now_ms
from crocusspindle.log_lines import Logger, log_state_change

T = TypeVar("T")

PORT_WAIT_MS: Final = 10_000.0
"""How long a starting node waits for a port. The process before it may take its whole
grace period to end."""

RETRY_S: Final = 0.1

PASSING_ERRORS: Final = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""A port in use becomes free, and the address of an interface may not be set yet."""

_log = Logger("ports")


async def open_when_free(
    open_port: Callable[[], Awaitable[T]],
    address: str,
    wait_ms: float = PORT_WAIT_MS,
) -> T:
    """Open a port, again and again while it is taken.

    Raises the ``OSError`` of the last attempt once ``wait_ms`` have passed, and any
    other error at once.
    """
    until_ms = now_ms() + wait_ms
    is_reported = False
    while True:
        try:
            return await open_port()
        except OSError as error:
            if _number(error) not in PASSING_ERRORS or now_ms() >= until_ms:
                raise
            if not is_reported:
                is_reported = True
                log_state_change(
                    _log, "waiting for a port", address=address, error=str(error)
                )
        await asyncio.sleep(RETRY_S)


def _number(error: OSError) -> int | None:
    # For datagrams, uvloop raises an error without a number, from the real one.
    if error.errno is None and isinstance(error.__cause__, OSError):
        return error.__cause__.errno
    return error.errno
