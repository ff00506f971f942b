"""Draw what targets may send, and check what the real client makes of it.

``DRAWN_RESPONSES=N`` draws N examples with a fresh seed instead of the fixed ones.
"""

import asyncio
import os
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass

import uvloop
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.gateway.held_memory import HeldMemory
from crocusspindle.gateway.target_client import OutgoingRequest, TargetClient
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.dialect import dialect
from crocusspindle.response_bounds import MAX_INTERIM

LONG_MS = 20_000.0
SHORT_MS = 60.0
"""Deadline of a response that stops: it can't end, however long is waited."""

MAX_BODY_BYTES = 1_500_000
MAX_HELD_BYTES = 4 * (MAX_BODY_BYTES + 700_000)
"""Four responses at a time, each with what its connection has read ahead."""

MAX_SENT_BYTES = 12 << 20
"""What is read of a response without end, and what the kernel's buffers take."""

EXAMPLE_S = 30.0
OTHER = b"HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 7\r\n\r\nforeign"
ENDLESS_PART = {"length": b"x", "chunked": b"1000\r\n" + b"x" * 4_096 + b"\r\n"}
STATUS_LINES = (
    b"HTTP/1.1 200 OK",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 500 Oops",
    b"HTTP/1.1 204 None",
    b"HTTP/1.1 2000 OK",
    b"HTTP/9.9 200 OK",
    b"200 OK",
    b"",
    b"HTTP/1.1 000 None",
    b"HTTP/1.1 101 Switching",
    b"HTTP/1.1 600 More",
    b"RTSP/1.0 200 OK",
)
FIELDS = (
    b"A: b",
    b"A:",
    b": b",
    b"A b",
    b"A: " + b"x" * 9_000,
    b" folded",
    b"\x00: \xff",
    b"Transfer-Encoding : chunked",
    b" Transfer-Encoding: chunked",
    b"Transfer-Encoding: gzip",
    b"A: b\x0bc",
)
PASSED_ON_LINES = (*STATUS_LINES[:2], b"HTTP/1.1 204 None")
PASSED_ON_FIELDS = (b"A: b", b"A:")
LENGTHS = (b"-1", b"1e3", b"", b"+5", b"5, 6", b"0x10")


@dataclass(frozen=True)
class Response:
    """Describe one response; ``wrong`` fields make it none that may be passed on."""

    number: int
    status_line: bytes
    interim: int
    interim_status: int
    request_id: str
    fields: tuple[bytes, ...]
    has_stamp: bool
    framing: str
    wrong_length: bytes | None
    shift: int
    body: bytes
    chunk_bytes: int
    after: bytes
    cut: int | None
    end: str
    part_bytes: int

    @property
    def is_plain(self) -> bool:
        """Return True if nothing about the response is wrong."""
        return (
            self.status_line in STATUS_LINES[:2]
            and not (self.framing == "chunked" and b"1.0" in self.status_line)
            and self.interim <= MAX_INTERIM
            and self.request_id != "other"
            and all(field == b"A: b" for field in self.fields)
            and self.has_stamp
            and self.wrong_length is None
            and (self.framing != "length" or self.shift == 0)
            and self.cut is None
            and self.end in ("close", "more")
            and not (self.end == "more" and self.framing == "close")
            and not self.after
        )

    def head(self) -> bytes:
        """Return all up to the body."""
        # Before the framing, which a folded field would continue.
        lines = [self.status_line, *self.fields]
        if self.request_id != "none":
            own = self.request_id == "own"
            lines.append(b"X-Request-Id: r%d" % (self.number + (0 if own else 1)))
        if self.has_stamp:
            lines.append(b"X-Server-Stamp: s")
        if self.framing == "length":
            length = self.wrong_length
            if length is None:
                length = b"%d" % self.declared
            lines.append(b"Content-Length: " + length)
        if self.framing == "chunked":
            lines.append(b"Transfer-Encoding: chunked")
        interim = b"HTTP/1.1 %d Wait\r\n\r\n" % self.interim_status
        return interim * self.interim + b"\r\n".join(lines) + b"\r\n\r\n"

    @property
    def declared(self) -> int:
        """Return the length that the response declares."""
        return max(0, len(self.own_body) + self.shift)

    @property
    def own_body(self) -> bytes:
        """Return the body, which names its request."""
        return b"of r%d:" % self.number + self.body

    def framed(self) -> bytes:
        """Return the body with its framing."""
        if self.framing != "chunked":
            return self.own_body
        parts = [
            self.own_body[start : start + self.chunk_bytes]
            for start in range(0, len(self.own_body), self.chunk_bytes)
        ]
        return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + (
            b"0\r\n\r\n"
        )

    def sent(self) -> bytes:
        """Return all that is sent before the end."""
        return (self.head() + self.framed() + self.after)[: self.cut]

    def whole_bodies(self) -> set[bytes]:
        """Return the bodies that may be passed on as whole."""
        sent = len(self.sent()) - len(self.head())
        if self.framing == "close":
            is_whole = self.end == "close" and sent >= 0
            return {(self.own_body + self.after)[:sent]} if is_whole else set()
        due = len(self.framed()) if self.framing == "chunked" else self.declared
        if sent < due:
            return set()
        rest = self.own_body + self.after
        return {self.own_body if self.framing == "chunked" else rest[: self.declared]}


SOUND = {
    "number": st.just(0),
    "status_line": st.just(STATUS_LINES[0]),
    "interim": st.integers(0, MAX_INTERIM),
    "interim_status": st.sampled_from((100, 102, 103, 199)),
    "request_id": st.sampled_from(("own", "none")),
    "fields": st.just(()),
    "has_stamp": st.just(True),
    "framing": st.sampled_from(("length", "chunked", "close")),
    "wrong_length": st.none(),
    "shift": st.just(0),
    "body": st.binary(max_size=2_000),
    "chunk_bytes": st.sampled_from((1, 7, 500, 5_000)),
    "after": st.just(b""),
    "cut": st.none(),
    "end": st.sampled_from(("close", "more")),
    "part_bytes": st.sampled_from((1 << 16, 1 << 16, 300)),
}
WRONG = {
    "status_line": st.sampled_from(STATUS_LINES[1:]),
    "interim": st.integers(MAX_INTERIM + 1, 5_000),
    "request_id": st.just("other"),
    "fields": st.tuples(st.sampled_from(FIELDS)),
    "has_stamp": st.just(False),
    "wrong_length": st.sampled_from(LENGTHS),
    "shift": st.sampled_from((-3, 3)),
    "after": st.sampled_from((OTHER, b"\r\n", b"junk")),
    "cut": st.integers(0, 2_200),
    "end": st.sampled_from(("reset", "stop", "endless")),
}


@st.composite
def responses(draw):
    """Draw a response of which at most three things are wrong."""
    names = draw(st.lists(st.sampled_from(sorted(WRONG)), max_size=3, unique=True))
    strategies = {**SOUND, **{name: WRONG[name] for name in names}}
    return Response(**{name: draw(drawn) for name, drawn in strategies.items()})


class Target:
    """Send to each request the response that was drawn for it."""

    def __init__(self, drawn):
        self._drawn = {f"r{response.number}": response for response in drawn}
        self.sent_bytes = 0

    async def __call__(self, reader, writer):
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            name = head.lower().partition(b"x-request-id: ")[2].split(b"\r\n")[0]
            await self._respond(self._drawn[name.decode()], reader, writer)
        writer.close()

    async def _respond(self, response, reader, writer):
        data = response.sent()
        for start in range(0, len(data), response.part_bytes):
            await self._write(writer, data[start : start + response.part_bytes])
        if response.end == "endless":
            part = ENDLESS_PART.get(response.framing, b"x") * 64
            while True:
                await self._write(writer, part)
        if response.end in ("stop", "more"):
            # The length alone ends the response.
            await reader.read()
        if response.end == "reset":
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _write(self, writer, data):
        writer.write(data)
        self.sent_bytes += len(data)
        await writer.drain()


async def outcome_of(client, target, memory, response):
    """Return the outcome of a request and its body, None if that isn't whole."""
    stops = response.end in ("stop", "more") and not response.is_plain
    deadline_ms = now_ms() + (SHORT_MS if stops else LONG_MS)
    name = f"r{response.number}"
    request = memory.request(None, name)
    outgoing = OutgoingRequest(
        name, "GET", "/p", CIMultiDict({"X-Request-Id": name}), None, request
    )
    result = await client.send(target, outgoing, deadline_ms)
    if result.target_response is None:
        return result.outcome, None
    content, body = result.target_response.content, bytearray()

    async def write(part):
        body.extend(part)

    content.start_reading(deadline_ms)
    try:
        await content.write_to(write)
        return result.outcome, bytes(body)
    except Exception:
        return result.outcome, None
    finally:
        content.close()


async def check_all(drawn):
    """Check the responses, all at once and over one target's address."""
    sender = Target(drawn)
    server = await asyncio.start_server(sender, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    target = ListedTarget(
        TargetIdentity("t0"), ServiceId("s"), address, DomainId("a"), 2, Readiness.READY
    )
    memory = HeldMemory()
    client = TargetClient(dialect(), max_body_bytes=MAX_BODY_BYTES)
    await client.start()
    largest = 0

    async def watch():
        nonlocal largest
        while True:
            largest = max(largest, memory.bound.held_bytes)
            await asyncio.sleep(0.001)

    watching = asyncio.create_task(watch())
    try:
        async with asyncio.timeout(EXAMPLE_S):
            outcomes = await asyncio.gather(
                *(outcome_of(client, target, memory, response) for response in drawn)
            )
    finally:
        watching.cancel()
        await client.stop()
        server.close()
    for response, (outcome, body) in zip(drawn, outcomes, strict=True):
        check(response, outcome, body)
    assert memory.bound.held_bytes == 0
    assert largest <= MAX_HELD_BYTES
    endless = sum(response.end == "endless" for response in drawn)
    assert sender.sent_bytes <= MAX_SENT_BYTES * endless + 4 * 100_000


def check(response, outcome, body):
    """Check one outcome against what was sent."""
    if outcome is AttemptOutcome.ANSWERED and body is not None:
        assert response.request_id != "other"
        assert response.status_line in PASSED_ON_LINES
        assert set(response.fields) <= set(PASSED_ON_FIELDS)
        assert response.framing != "chunked" or b"1.0" not in response.status_line
        is_empty = b" 204 " in response.status_line
        allowed = {b""} if is_empty else response.whole_bodies()
        assert response.has_stamp and body in allowed
    # A connection that opens too late on a busy machine says nothing of responses.
    if response.is_plain and outcome is not AttemptOutcome.UNREACHED:
        assert outcome is AttemptOutcome.ANSWERED
        assert body in response.whole_bodies()


def _settings():
    drawn = os.environ.get("DRAWN_RESPONSES")
    return settings(
        max_examples=int(drawn) if drawn else 200,
        derandomize=drawn is None,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


@_settings()
@given(st.lists(responses(), min_size=1, max_size=4))
def test_no_response_is_foreign_truncated_or_endless(drawn):
    """Guards against responses that reach another request, look whole or never end."""
    numbered = [
        Response(**{**vars(response), "number": 2 * number})
        for number, response in enumerate(drawn)
    ]
    uvloop.run(check_all(numbered))
