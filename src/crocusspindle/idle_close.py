"""Close idle connections without leaving requests that cross the close in doubt.

A transport that is closed stops reading at once and closes its socket in a later turn
of the event loop. On a busy host a request that arrives between them is neither
answered nor rejected for as long as that takes.
"""

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress


def has_unread(transport: asyncio.Transport | None) -> bool:
    """Return True if bytes wait in the connection's socket."""
    with suppress(OSError), _own_socket(transport) as own:
        return own is not None and bool(own.recv(1, socket.MSG_PEEK))
    return False


def shut_down(transport: asyncio.Transport | None) -> None:
    """End the connection now, so that the kernel rejects what arrives later."""
    if transport is None or transport.get_write_buffer_size():
        return
    # The caller may have left, or no descriptor may be left.
    with suppress(OSError), _own_socket(transport) as own:
        if own is not None:
            own.shutdown(socket.SHUT_RDWR)


@contextmanager
def _own_socket(
    transport: asyncio.Transport | None,
) -> Iterator[socket.socket | None]:
    """Yield a socket object of the connection; None if it is closed or uses TLS.

    Raise ``OSError`` if no descriptor is left.
    """
    # The descriptor of a transport that is closed may be another connection's.
    if (
        transport is None
        or transport.is_closing()
        or transport.get_extra_info("sslcontext") is not None
    ):
        yield None
        return
    shared = transport.get_extra_info("socket")
    with socket.fromfd(shared.fileno(), shared.family, shared.type) as own:
        own.setblocking(False)
        yield own
