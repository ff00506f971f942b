"""Press a process with many connections that don't behave, and watch what it uses."""

import asyncio
import os
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import aiohttp

from crocusspindle_standins.single_attempt import single_attempt_session

CONNECTIONS = 300
"""Connections of a crowd."""

SILENT_CONNECTIONS = 600
"""Connections of a crowd that only takes descriptors."""

BODY_BYTES = 900_000
LONG_BODY_BYTES = 2_900_000
PIECE_BYTES = 16_384
FIELD_BYTES = 3_000
"""Length of one field of a head; each is within the limit."""

FIELDS = 120
LINES = b"\r\n" * 16_384
MAX_LINES = 64
REQUESTS = 400
SENT_BYTES = 1 << 16
"""Bytes that a connection hands to the kernel at once."""

QUIET_S = 1.0
"""A crowd has sent all that is taken once no byte was for so long."""

PRESS_S = 10.0
"""A crowd whose requests are answered all the while leaves off after so long."""

SAMPLE_S = 0.02
NEVER_DUE_S = 120.0
"""Limit of waits that end with an event."""


class Behavior(Enum):
    """Name what the connections of a crowd send."""

    LONG_HEADS = "long heads"
    ENDLESS_HEADS = "endless heads"
    EMPTY_LINES = "empty lines"
    NO_REQUESTS = "bytes that are no request"
    SHORT_BODIES = "short bodies without their last bytes"
    EXTENSIONS = "chunk extensions without end"
    SMALL_CHUNKS = "chunks of one byte without their last one"
    TRAILERS = "trailers without end"
    WHOLE_BODIES = "whole bodies"
    BODIES = "bodies without their last byte"
    PIECES = "bodies in pieces without their last piece"
    CHUNKS = "chunked bodies without their last chunk"
    LONG_BODIES = "long bodies without their last byte"
    PIPELINED = "pipelined requests"
    SILENT = "nothing"


@dataclass(frozen=True)
class Port:
    """Hold the address of a port, and the heads of requests that it serves.

    ``get`` and ``post`` are request lines and fields, without the last line.
    """

    host: str
    number: int
    get: bytes
    post: bytes


Script = Callable[[Port], Iterator[bytes]]


def _long_head(port: Port) -> Iterator[bytes]:
    yield port.get
    for number in range(FIELDS):
        yield b"X-Long-%d: %b\r\n" % (number, b"a" * FIELD_BYTES)


def _endless_head(port: Port) -> Iterator[bytes]:
    yield port.get
    yield b"X-Endless: "
    for _ in range(FIELDS):
        yield b"a" * FIELD_BYTES


def _empty_lines(port: Port) -> Iterator[bytes]:
    for _ in range(MAX_LINES):
        yield LINES


def _no_request(port: Port) -> Iterator[bytes]:
    for _ in range(MAX_LINES):
        yield b"\x00" * SENT_BYTES


def _short_body(port: Port) -> Iterator[bytes]:
    yield b"%bContent-Length: %d\r\n\r\n" % (port.post, SENT_BYTES)
    yield b"b" * (SENT_BYTES - 36)


def _extensions(port: Port) -> Iterator[bytes]:
    yield port.post + b"Transfer-Encoding: chunked\r\n\r\n1;"
    for _ in range(MAX_LINES):
        yield b"e" * SENT_BYTES


def _small_chunks(port: Port) -> Iterator[bytes]:
    yield port.post + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(MAX_LINES // 4):
        yield b"1\r\nb\r\n" * (SENT_BYTES // 6)


def _trailers(port: Port) -> Iterator[bytes]:
    yield port.post + b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"
    for number in range(FIELDS):
        yield b"X-Trailer-%d: %b\r\n" % (number, b"a" * FIELD_BYTES)


def _whole_body(port: Port) -> Iterator[bytes]:
    yield b"%bContent-Length: %d\r\n\r\n" % (port.post, BODY_BYTES)
    yield b"b" * BODY_BYTES


def _body(port: Port) -> Iterator[bytes]:
    yield b"%bContent-Length: %d\r\n\r\n" % (port.post, BODY_BYTES)
    yield b"b" * (BODY_BYTES - 1)


def _long_body(port: Port) -> Iterator[bytes]:
    yield b"%bContent-Length: %d\r\n\r\n" % (port.post, LONG_BODY_BYTES)
    yield b"b" * (LONG_BODY_BYTES - 1)


def _pieces(port: Port) -> Iterator[bytes]:
    yield b"%bContent-Length: %d\r\n\r\n" % (port.post, BODY_BYTES)
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"b" * PIECE_BYTES


def _chunks(port: Port) -> Iterator[bytes]:
    yield port.post + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"%x\r\n%b\r\n" % (PIECE_BYTES, b"b" * PIECE_BYTES)


def _pipelined(port: Port) -> Iterator[bytes]:
    fields = b"".join(b"X-%d: a\r\n" % number for number in range(100))
    for _ in range(REQUESTS):
        yield port.get + fields + b"\r\n"


def _silent(port: Port) -> Iterator[bytes]:
    yield b""


SCRIPTS: dict[Behavior, Script] = {
    Behavior.LONG_HEADS: _long_head,
    Behavior.ENDLESS_HEADS: _endless_head,
    Behavior.EMPTY_LINES: _empty_lines,
    Behavior.NO_REQUESTS: _no_request,
    Behavior.SHORT_BODIES: _short_body,
    Behavior.EXTENSIONS: _extensions,
    Behavior.SMALL_CHUNKS: _small_chunks,
    Behavior.TRAILERS: _trailers,
    Behavior.WHOLE_BODIES: _whole_body,
    Behavior.BODIES: _body,
    Behavior.PIECES: _pieces,
    Behavior.CHUNKS: _chunks,
    Behavior.LONG_BODIES: _long_body,
    Behavior.PIPELINED: _pipelined,
    Behavior.SILENT: _silent,
}


class Crowd:
    """Open connections that send one behavior, and keep them open."""

    def __init__(self, port: Port, behavior: Behavior) -> None:
        self._port = port
        self._script = SCRIPTS[behavior]
        is_silent = behavior is Behavior.SILENT
        self.connections = SILENT_CONNECTIONS if is_silent else CONNECTIONS
        self.sent_bytes = 0
        self._moved_s = time.monotonic()
        self._sockets: list[socket.socket] = []

    async def press(self) -> None:
        """Send until all is sent, no byte is taken any more, or ``PRESS_S`` passed."""
        members = [
            asyncio.create_task(self._send_all()) for _ in range(self.connections)
        ]
        began_s = self._moved_s = time.monotonic()
        while any(not member.done() for member in members):
            await asyncio.sleep(SAMPLE_S)
            now_s = time.monotonic()
            if now_s - self._moved_s > QUIET_S or now_s - began_s > PRESS_S:
                break
        for member in members:
            member.cancel()
        await asyncio.gather(*members, return_exceptions=True)
        # What the process has still to read.
        await asyncio.sleep(QUIET_S)

    async def _send_all(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        # The process may refuse the connection, or close it at any time.
        with suppress(OSError):
            await loop.sock_connect(sock, (self._port.host, self._port.number))
            self._moved_s = time.monotonic()
            for part in self._script(self._port):
                for start in range(0, len(part), SENT_BYTES):
                    piece = part[start : start + SENT_BYTES]
                    await loop.sock_sendall(sock, piece)
                    self.sent_bytes += len(piece)
                    self._moved_s = time.monotonic()
                # Others send in between.
                await asyncio.sleep(0)

    def leave(self) -> None:
        """Close all connections."""
        for sock in self._sockets:
            sock.close()


@dataclass
class Usage:
    """Hold the most that a process used while it was watched."""

    memory_bytes: int = 0
    resident_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    def sample(self, pid: int, ports: frozenset[tuple[str, int]]) -> None:
        """Record what the process uses now.

        Bytes that its machine has received for it and it has not read count as memory.
        """
        resident, unread = resident_bytes(pid), unread_bytes(ports)
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        self.memory_bytes = max(self.memory_bytes, resident + unread)
        self.resident_bytes = max(self.resident_bytes, resident)
        self.unread_bytes = max(self.unread_bytes, unread)
        self.descriptors = max(self.descriptors, descriptors)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise ProcessLookupError(f"process {pid} has ended")


def unread_bytes(ports: frozenset[tuple[str, int]]) -> int:
    """Return how many bytes wait in the sockets of listening addresses."""
    names = {
        f"{int.from_bytes(socket.inet_aton(host), 'little'):08X}:{number:04X}"
        for host, number in ports
    }
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        # A listening socket counts its waiting connections there.
        if parts[1] in names and parts[3] != "0A":
            total += int(parts[4].partition(":")[2], 16)
    return total


@asynccontextmanager
async def watched(pid: int, ports: frozenset[tuple[str, int]]) -> AsyncIterator[Usage]:
    """Watch a process while the block runs; fail if it ends."""
    usage = Usage()

    async def watch() -> None:
        while True:
            usage.sample(pid, ports)
            await asyncio.sleep(SAMPLE_S)

    watching = asyncio.create_task(watch())
    try:
        yield usage
    finally:
        if not watching.done():
            watching.cancel()
        with suppress(asyncio.CancelledError):
            await watching
    usage.sample(pid, ports)


OK = 200
OTHER_PORTS = [
    Behavior.LONG_HEADS,
    Behavior.EMPTY_LINES,
    Behavior.NO_REQUESTS,
    Behavior.BODIES,
    Behavior.PIPELINED,
    Behavior.SILENT,
]
"""What presses ports other than the callers'."""


def cases(port_names: list[str]) -> list[tuple[str, Behavior]]:
    """Return what presses which port; the first one is the callers'."""
    callers, *others = port_names
    return [
        *((callers, behavior) for behavior in Behavior),
        *((name, behavior) for name in others for behavior in OTHER_PORTS),
    ]


def case_id(value: str | Behavior) -> str:
    """Return the name of a part of a case."""
    return value.name.lower() if isinstance(value, Behavior) else value


async def until_served(url: str, headers: dict[str, str]) -> None:
    """Send ordinary requests, each on a new connection, until one is served."""
    async with asyncio.timeout(NEVER_DUE_S):
        while True:
            # The process may refuse or close a connection while it is pressed.
            with suppress(aiohttp.ClientError, OSError):
                async with (
                    single_attempt_session() as session,
                    session.get(url, headers=headers) as response,
                ):
                    if response.status == OK and await response.read():
                        return
            await asyncio.sleep(0.1)
