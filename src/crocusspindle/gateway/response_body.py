"""Hold the part of a response that is read from its target and not yet taken."""

import asyncio
import math
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Final

import aiohttp

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.gateway.held_memory import HeldBytes
from crocusspindle.response_bounds import (
    ResponseBound,
    ResponseBoundError,
)

MAX_BUFFERED_BYTES: Final = 1 << 20
"""Responses up to this size are read completely before they are forwarded, so that a
truncated one is never passed on as complete."""

READ_BYTES: Final = 1 << 16

KERNEL_UNSENT_BYTES: Final = 1 << 16
"""Unsent bytes that the kernel may hold of a caller's connection. It would otherwise
take megabytes of each, which this process doesn't count."""

SYSTEM_DEFAULT: Final = 0

FAST_CALLER_BYTES_PER_MS: Final = 4_096
"""A caller that takes this much is not what holds up a response."""

Write = Callable[[bytes], Awaitable[None]]
OnExceeded = Callable[[ResponseBoundError], None]


class ResponseBody:
    """Read a body from its target, and write it to its caller.

    Its first `MAX_BUFFERED_BYTES` are read before any of it is written. The rest is
    read while it is written: at the target's speed if there is a memory bound and the
    body is within its part of it, else at the caller's.

    If ``unusual_bytes`` is set and the body has no declared length, so much of it is
    read before any is written. ``on_exceeded`` is called if the body exceeds a bound
    while it is written, ``on_complete`` with its size once it is read to its end.
    More than ``max_bytes`` are not read, and not declared.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        held: HeldBytes,
        unusual_bytes: int | None = None,
        on_complete: Callable[[int], None] | None = None,
        max_bytes: float = math.inf,
    ) -> None:
        self.held = held
        self.is_complete = False
        self.on_exceeded: OnExceeded | None = None
        self._on_complete = on_complete
        self._max_bytes = max_bytes
        self._declared_bytes = response.content_length
        self._unusual_bytes = unusual_bytes if self._declared_bytes is None else None
        self._response = response
        self._parts: deque[bytes] = deque()
        self._read_bytes = 0
        self._unwritten_bytes = 0
        self._arrived = asyncio.Event()
        self._failure: Exception | None = None
        self._reading: asyncio.Task[None] | None = None
        self._reading_since_ms = 0.0
        # Reading goes on: closed here, the target would seem to have failed.
        held.on_drop = self._parts.clear

    @property
    def size(self) -> int:
        """Return how many bytes are read and not yet written."""
        return self._unwritten_bytes

    def joined(self) -> bytes:
        """Return what is read and not yet written."""
        return b"".join(self._parts)

    async def read_prefix(self) -> None:
        """Read what is read before any of the body is written."""
        self._check_declared_length()
        prefix_bytes = max(MAX_BUFFERED_BYTES, self._unusual_bytes or 0)
        while self._read_bytes < prefix_bytes:
            if not await self._read_part():
                return
            if self.held.is_dropped:
                return
            if self._read_bytes >= READ_BYTES and not self.held.may_read_ahead:
                break
        if self._response.content.at_eof():
            self._set_complete()

    @property
    def is_unusual(self) -> bool:
        """Return True if the body is longer by far than those seen before."""
        return (
            self._unusual_bytes is not None
            and not self.is_complete
            and self._read_bytes >= self._unusual_bytes
        )

    def _check_declared_length(self) -> None:
        length = self._declared_bytes
        if length is None or length <= self._max_bytes:
            return
        if self._response.method != "HEAD":
            raise _too_long(f"body of {length} bytes declared")

    async def _read_part(self) -> bool:
        """Read one part; return False at the end of the body."""
        part = await self._response.content.read(READ_BYTES)
        if not part:
            self._set_complete()
            return False
        self._parts.append(part)
        self._read_bytes += len(part)
        self._unwritten_bytes += len(part)
        self._arrived.set()
        self._count()
        if self._read_bytes > self._max_bytes:
            raise _too_long(f"body of more than {self._max_bytes:.0f} bytes")
        return True

    def _set_complete(self) -> None:
        if self._on_complete is not None and not self.is_complete:
            self._on_complete(self._read_bytes)
        self.is_complete = True
        self._arrived.set()
        self._count()

    def _count(self) -> None:
        if self.held.is_dropped:
            self._parts.clear()
            return
        buffered = 0
        if not self.is_complete:
            unread = self._response.content.total_bytes - self._read_bytes
            buffered = max(unread, 0)
        self.held.resize(self._unwritten_bytes + buffered)

    def start_reading(self, deadline_ms: float) -> None:
        """Read the rest until the deadline while the body is written."""
        if not self.is_complete and self._reading is None:
            self._reading_since_ms = now_ms()
            self._reading = asyncio.create_task(self._read_rest(deadline_ms))

    async def _read_rest(self, deadline_ms: float) -> None:
        try:
            async with asyncio.timeout(remaining_s(deadline_ms)):
                await self._wait_for_turn()
                while not self.held.is_dropped and await self._read_part():
                    await self._wait_for_turn()
        except (aiohttp.ClientError, OSError, ValueError) as error:
            self._failure = error
            exceeded = self._exceeded_bound(error)
            if exceeded is not None and self.on_exceeded is not None:
                self.on_exceeded(exceeded)
            # The caller can't get a whole response any more.
            self._unwritten_bytes -= sum(len(part) for part in self._parts)
            self._parts.clear()
            self._count()
        finally:
            self._arrived.set()
            self._response.close()

    def _exceeded_bound(self, error: Exception) -> ResponseBoundError | None:
        if isinstance(error, ResponseBoundError):
            return error
        if not isinstance(error, TimeoutError) or not self._is_held_up_by_target():
            return None
        text = f"body did not end by the deadline, after {self._read_bytes} bytes"
        return ResponseBoundError(ResponseBound.BODY_TIME, text)

    def _is_held_up_by_target(self) -> bool:
        """Return True unless the caller takes the body too slowly for its deadline."""
        if self._unwritten_bytes == 0:
            return True
        written_bytes = self._read_bytes - self._unwritten_bytes
        elapsed_ms = max(1.0, now_ms() - self._reading_since_ms)
        return (
            self._declared_bytes is None
            and written_bytes >= FAST_CALLER_BYTES_PER_MS * elapsed_ms
        )

    async def _wait_for_turn(self) -> None:
        """Wait until the part of the bound or the caller allows one more part."""
        memory = self.held.memory
        while self._parts and not self.held.is_dropped:
            if memory.bound.is_bounded and self.held.may_read_ahead:
                return
            await memory.wait_for_release()
            self._count()

    async def write_to(self, write: Write) -> None:
        """Write the body as it arrives; raise an error if it ends early."""
        while True:
            if self.held.is_dropped:
                raise ConnectionResetError("response dropped at the memory bound")
            if self._failure is not None:
                raise self._failure
            if self._parts:
                await self._write_part(write)
            elif self.is_complete:
                return
            else:
                self._arrived.clear()
                await self._arrived.wait()

    async def _write_part(self, write: Write) -> None:
        part = self._parts.popleft()
        await write(part)
        self._unwritten_bytes -= len(part)
        self._count()
        # More may have arrived meanwhile than was written.
        self.held.memory.notify_release()

    def close(self) -> None:
        """Stop reading and free what is held."""
        if self._reading is not None:
            self._reading.cancel()
        if not self.is_complete:
            self._response.close()
        self._parts.clear()
        self.held.on_drop = None
        self.held.release()


def _too_long(text: str) -> ResponseBoundError:
    return ResponseBoundError(ResponseBound.BODY_BYTES, text)


def bound_buffers(transport: asyncio.Transport | None) -> None:
    """Let writing to a caller wait until its kernel has taken everything.

    What a transport or the kernel buffers of a slow caller's response would otherwise
    be memory that nothing counts.
    """
    if transport is None:
        return
    transport.set_write_buffer_limits(high=0)
    _limit_unsent(transport, KERNEL_UNSENT_BYTES)


def unbound_kernel_buffer(transport: asyncio.Transport | None) -> None:
    """Let the kernel take what is left of a response; it sends on without a process."""
    if transport is not None and not transport.is_closing():
        _limit_unsent(transport, SYSTEM_DEFAULT)


def _limit_unsent(transport: asyncio.Transport, limit_bytes: int) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, limit_bytes)
