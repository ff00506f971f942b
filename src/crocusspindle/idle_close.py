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
    # The caller may have left, or nothing waits.
    with suppress(OSError), _borrowed_socket(transport) as borrowed:
        if borrowed is not None:
            return bool(borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    return False


def shut_down(transport: asyncio.Transport | None) -> None:
    """End the connection now, so that the kernel rejects what arrives later."""
    if transport is None or transport.get_write_buffer_size():
        return
    if transport.get_extra_info("sslcontext") is not None:
        # Without TLS's own close, the caller would see a truncated stream.
        return
    with suppress(OSError), _borrowed_socket(transport) as borrowed:
        if borrowed is not None:
            borrowed.shutdown(socket.SHUT_RDWR)


@contextmanager
def _borrowed_socket(
    transport: asyncio.Transport | None,
) -> Iterator[socket.socket | None]:
    """Yield the connection's socket, which may carry TLS; None if it is closed."""
    # The descriptor of a transport that is closed may be another connection's.
    if transport is None or transport.is_closing():
        yield None
        return
    shared = transport.get_extra_info("socket")
    # A duplicate would need a descriptor, and there may be none left.
    borrowed = socket.socket(shared.family, shared.type, fileno=shared.fileno())
    try:
        yield borrowed
    finally:
        borrowed.detach()
