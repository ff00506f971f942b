"""Stand in for a target on the platform: slots, faults and response stamps."""

import asyncio
import json
import time
from collections import Counter
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NoReturn

from aiohttp import web

from crocusspindle_standins.on_platform.store import TableStore
from crocusspindle_standins.raw_server import reset

TABLE: Final = "servers"
MAX_QUEUED: Final = 8
HANG_S: Final = 3600.0
UNFRAMED_PAUSE_S: Final = 0.02
ENDLESS_PART: Final = b"." * (1 << 20)
ENDLESS_PAUSE_S: Final = 0.005
DECLARED_BYTES: Final = 10**12

CRASHING: Final = "crashes"
"""A request whose path contains this word crashes the target that starts to run it."""

LONG: Final = "longpage"
"""A request whose path contains this word gets a response of ``long_bytes``."""

LONG_BYTES: Final = 900_000

SHUTDOWN_S: Final = 0.1

RESPONSE_BYTES: Final = "response_bytes="
"""A path that ends with this and a number gets a response body of that length."""


def response_body(path: str, body: bytes) -> bytes:
    """Return the whole response body to a request with a path and a body."""
    text = b"answer to " + path.encode() + b" " + body
    size = path.rpartition(RESPONSE_BYTES)[2]
    return text.ljust(int(size), b".") if size.isdecimal() else text


@dataclass(frozen=True, slots=True)
class Arrival:
    """Record a request that arrived, and the Retry-After of its refusal."""

    request_id: str
    at_s: float
    retry_after_s: float | None


@dataclass(frozen=True, slots=True)
class Crash:
    """Record a request that crashed the target, and its monotonic start time."""

    path: str
    at_s: float


class TargetFault(Enum):
    """Select how a target fails.

    ``CROSSES`` returns the id of another request, ``CUTS`` truncates the response,
    ``STOPS`` sends half of it and then nothing, and ``UNFRAMED`` sends no length, so
    that the response lasts until the connection ends. The bodies of the ``ENDLESS``
    ones never end: in chunks, without a length, or with one that is never reached.
    """

    NONE = "none"
    RESETS = "resets"
    HANGS = "hangs"
    SHEDS = "sheds"
    ERRORS = "errors"
    CROSSES = "crosses"
    CUTS = "cuts"
    STOPS = "stops"
    UNFRAMED = "unframed"
    UNFRAMED_RESETS = "unframed resets"
    ENDLESS_CHUNKS = "endless chunks"
    ENDLESS_UNFRAMED = "endless unframed"
    ENDLESS_DECLARED = "endless declared"


ENDLESS: Final = {
    TargetFault.ENDLESS_CHUNKS: (
        "Transfer-Encoding: chunked\r\n",
        b"%x\r\n%b\r\n" % (len(ENDLESS_PART), ENDLESS_PART),
    ),
    TargetFault.ENDLESS_UNFRAMED: ("", ENDLESS_PART),
    TargetFault.ENDLESS_DECLARED: (
        f"Content-Length: {DECLARED_BYTES}\r\n",
        ENDLESS_PART,
    ),
}
"""The field that frames the body, if there is one, and the part that is repeated."""


@dataclass
class PlatformTarget:
    """Run requests in a few slots, and record what ran.

    If it ``is_leaving``, its responses say so and its entry does not. If
    ``retry_after_s`` is set, each refusal asks the sender to send nothing for so long.
    If ``is_chunked``, its responses have no length. A request that takes the last of
    the slots runs ``full_slowdown`` times as long. If ``limits_runs``, requests beyond
    the slots wait until one is free. If there is a ``gate``, requests whose body has
    arrived wait until it is set. If there is a ``raw_response``, it is sent in place of
    each response, with the request's id for ``{id}``. If it ``resets_early``, that
    happens before the body is read, and the connection is reset.
    """

    identity: str
    service: str
    zone: str
    slots: int = 2
    work_s: float = 0.02
    limit: str | None = None
    full_slowdown: float = 1.0
    limits_runs: bool = False
    retry_after_s: float | None = None
    long_bytes: int = LONG_BYTES
    is_leaving: bool = False
    gate: asyncio.Event | None = None
    is_chunked: bool = False
    raw_response: bytes | None = None
    resets_early: bool = False
    arrivals: list[Arrival] = field(default_factory=list)
    survives_crashing_requests: bool = False
    arrival_times_s: list[float] = field(default_factory=list)
    restart_delay_s: float = 1.0
    fault: TargetFault = TargetFault.NONE
    ran: Counter[str] = field(default_factory=Counter)
    seen: list[dict[str, str]] = field(default_factory=list)
    address: str = ""
    starts: int = 0
    crashes: list[Crash] = field(default_factory=list)
    started_ms: int = 0
    entry_state: str = "ready"
    _in_flight: int = 0
    _free_slots: asyncio.Semaphore | None = None
    _sequence: int = 0
    _server: web.Server | None = None
    _runner: web.ServerRunner | None = None
    _restart: asyncio.Task[None] | None = None

    @property
    def in_flight(self) -> int:
        """Return how many requests are running or being responded to."""
        return self._in_flight

    @property
    def is_listening(self) -> bool:
        """Return True while the target listens."""
        return self._runner is not None

    async def start(self, host: str, port: int = 0) -> None:
        """Listen on a port of a host; 0 picks a free one."""
        self.starts += 1
        self.started_ms = int(time.time() * 1e3)
        self.entry_state = "ready"
        self._server = web.Server(self._serve)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_S)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        self.address = f"{host}:{site.port}"

    async def stop(self) -> None:
        """Abort all connections and stop listening, as a crash does."""
        if self._restart is not None:
            self._restart.cancel()
        await self._stop_listening()

    async def _stop_listening(self) -> None:
        runner, self._runner = self._runner, None
        if runner is None or self._server is None:
            return
        for site in list(runner.sites):
            await site.stop()
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def restart(self) -> None:
        """Stop as a crash does, and start again at the same address."""
        await self._crash()

    async def _crash(self) -> None:
        # Restarts at its address as a new instance, as a supervised process does.
        if self._runner is None:
            return
        host, _, port = self.address.rpartition(":")
        await self._stop_listening()
        await asyncio.sleep(self.restart_delay_s)
        self.identity = f"{self.identity.partition('.')[0]}.{self.starts}"
        await self.start(host, int(port))

    async def write_entry(self, store: TableStore, state: str | None = None) -> None:
        """Write the target's own entry to the store, as its heartbeat.

        A target that has written another state than ready goes on with it.
        """
        self._sequence += 1
        self.entry_state = state or self.entry_state
        entry = {
            "address": self.address,
            "born": self.started_ms,
            "information": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.entry_state,
                "sequence": self._sequence,
                "cold_remaining_s": 0,
            },
        }
        await store.put(TABLE, self.identity, json.dumps(entry).encode())

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.headers.get("X-Expected-Instance") != self.identity:
            return web.Response(status=421, headers={"X-Instance-Id": self.identity})
        now_s = time.monotonic()
        self.arrival_times_s.append(now_s)
        is_shed = (
            self.fault is TargetFault.SHEDS
            or self._in_flight >= self.slots + MAX_QUEUED
        )
        retry_after_s = self.retry_after_s if is_shed else None
        self.arrivals.append(
            Arrival(request.headers["X-Request-Id"], now_s, retry_after_s)
        )
        if is_shed:
            return web.Response(status=503, headers=self._refusal_headers())
        self._in_flight += 1
        try:
            async with self._slot():
                return await self._run(request)
        finally:
            self._in_flight -= 1

    def _slot(self) -> AbstractAsyncContextManager[object]:
        if not self.limits_runs:
            return nullcontext()
        if self._free_slots is None:
            self._free_slots = asyncio.Semaphore(self.slots)
        return self._free_slots

    async def _work(self) -> None:
        if self.gate is not None:
            await self.gate.wait()
        is_full = self._in_flight >= self.slots
        await asyncio.sleep(self.work_s * (self.full_slowdown if is_full else 1.0))

    def _refusal_headers(self) -> dict[str, str]:
        headers = {"X-Not-Executed": "1"}
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers["X-Request-Id"]
        if self.raw_response is not None and self.resets_early:
            self.ran[request_id] += 1
            self._respond_raw(request, self.raw_response)
        body = await request.content.read()
        self.ran[request_id] += 1
        self.seen.append({**request.headers, "path": request.path_qs})
        if CRASHING in request.path_qs and not self.survives_crashing_requests:
            self.crashes.append(Crash(request.path_qs, time.monotonic()))
            await asyncio.sleep(self.work_s)
            self._restart = asyncio.create_task(self._crash())
            await asyncio.sleep(HANG_S)
        if self.fault is TargetFault.HANGS:
            await asyncio.sleep(HANG_S)
        if self.fault is TargetFault.RESETS and request.transport is not None:
            request.transport.abort()
            raise ConnectionResetError
        await self._work()
        if self.raw_response is not None:
            self._respond_raw(request, self.raw_response)
        if self.fault is TargetFault.ERRORS:
            return web.Response(status=500, headers={"X-Server-Stamp": "failed"})
        if self.fault is TargetFault.CROSSES:
            request_id = "of-another"
        headers = {"X-Request-Id": request_id, "X-Server-Stamp": f"s-{self.identity}"}
        if self.limit is not None:
            headers["Server-Limit"] = self.limit
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if self.fault in (TargetFault.UNFRAMED, TargetFault.UNFRAMED_RESETS):
            return await self._respond_unframed(request, headers)
        if self.fault in ENDLESS:
            return await self._respond_endless(request, headers)
        return await self._respond(request, headers, body)

    async def _respond(
        self, request: web.BaseRequest, headers: dict[str, str], body: bytes
    ) -> web.StreamResponse:
        answer = response_body(request.path_qs, body)
        if LONG in request.path_qs:
            answer += bytes(self.long_bytes - len(answer))
        response = web.StreamResponse(headers=headers)
        if self.is_chunked:
            response.enable_chunked_encoding()
        else:
            response.content_length = len(answer)
        await response.prepare(request)
        if self.fault is TargetFault.CUTS:
            await response.write(answer[:3])
            if request.transport is not None:
                request.transport.abort()
            return response
        if self.fault is TargetFault.STOPS:
            await response.write(answer[: len(answer) // 2])
            await asyncio.sleep(HANG_S)
        await response.write_eof(answer)
        return response

    def _respond_raw(self, request: web.BaseRequest, response: bytes) -> NoReturn:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        request_id = request.headers["X-Request-Id"].encode()
        transport.write(response.replace(b"{id}", request_id))
        if self.resets_early:
            reset(transport)
        else:
            transport.close()
        raise ConnectionResetError

    async def _respond_endless(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        framing, part = ENDLESS[self.fault]
        head = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\n{head}{framing}\r\n".encode())
        while not transport.is_closing():
            if not transport.get_write_buffer_size():
                transport.write(part)
            await asyncio.sleep(ENDLESS_PAUSE_S)
        raise ConnectionResetError

    async def _respond_unframed(
        self, request: web.BaseRequest, headers: dict[str, str]
    ) -> web.StreamResponse:
        # Closing the connection ends the response, unless it is a reset.
        transport = request.transport
        assert isinstance(transport, asyncio.Transport)
        head = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
        transport.write(f"HTTP/1.1 200 OK\r\n{head}\r\na first part".encode())
        await asyncio.sleep(UNFRAMED_PAUSE_S)
        transport.write(b" and a second")
        if self.fault is TargetFault.UNFRAMED_RESETS:
            reset(transport)
        transport.abort()
        raise ConnectionResetError
