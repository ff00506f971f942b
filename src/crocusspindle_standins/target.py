"""Stand in for one target: slots, shedding and gray failures.

``PUT /-/control`` takes a JSON object with any of the fields of ``Faults``.
``GET /-/executions`` returns what ran here, to check "not run" and "at most once".
``GET /-/health`` returns 200 whatever the faults are.
"""

import asyncio
import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Final

import fire
from aiohttp import web

from crocusspindle_standins.server import run_server

NOT_RUN: Final = {"Target-Outcome": "not-run"}
REQUEST_ID: Final = "Crocusspindle-Request-Id"
HANG_S: Final = 3600.0
FILLER: Final = b"x" * 65536


@dataclass(frozen=True)
class Faults:
    """Define how the target fails; fractions are of its requests."""

    fail_fraction: float = 0.0
    hang_fraction: float = 0.0
    cut_fraction: float = 0.0
    cross_fraction: float = 0.0
    slow_factor: float = 1.0
    draining: bool = False


@dataclass
class ExecutionCounts:
    """Count what ran, for which customers, and how many requests carried a key.

    ``overruns`` counts admitted requests that found no free slot.
    """

    operations: Counter[str] = field(default_factory=Counter)
    requests: Counter[str] = field(default_factory=Counter)
    customers: Counter[str] = field(default_factory=Counter)
    keys_seen: int = 0
    shed: int = 0
    overruns: int = 0

    def record(self, request: web.Request) -> None:
        """Record that a request started to run."""
        headers = request.headers
        if "Authorization" in headers:
            self.keys_seen += 1
        self.customers[headers.get("Crocusspindle-Customer", "")] += 1
        self.requests[headers.get("Test-Request", "")] += 1
        if "Idempotency-Key" in headers:
            self.operations[headers["Idempotency-Key"]] += 1


class TargetServer:
    """Run requests in a few slots and fail as ``Faults`` defines."""

    def __init__(
        self, service: str, slots: int, work_ms: float, queue: int, seed: int
    ) -> None:
        self.service = service
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.work_ms = work_ms
        self.queue = queue
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.counts = ExecutionCounts()
        self.in_flight = 0

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Run one request in a slot, or shed it."""
        if self.faults.draining or self.in_flight >= self.slot_count + self.queue:
            self.counts.shed += 1
            return web.Response(status=503, headers=NOT_RUN | {"Retry-After": "1"})
        self.in_flight += 1
        if self.in_flight > self.slot_count:
            self.counts.overruns += 1
        try:
            async with self.slots:
                return await self.run(request)
        finally:
            self.in_flight -= 1

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run one request and respond."""
        digest = hashlib.sha256()
        size = 0
        async for chunk in request.content.iter_any():
            digest.update(chunk)
            size += len(chunk)
        self.counts.record(request)
        if self._is_triggered(self.faults.hang_fraction):
            await asyncio.sleep(HANG_S)
        work_ms = self.rng.expovariate(1.0) * self.work_ms
        await asyncio.sleep(work_ms * self.faults.slow_factor / 1e3)
        if self._is_triggered(self.faults.fail_fraction):
            return web.Response(status=500, text="the target failed")
        return await self.respond(request, digest.hexdigest(), size)

    def _is_triggered(self, fraction: float) -> bool:
        return fraction > 0 and self.rng.random() < fraction

    async def respond(
        self, request: web.Request, digest: str, size: int
    ) -> web.StreamResponse:
        """Respond with what ran, so a caller can detect another request's response."""
        content = {
            "service": self.service,
            "customer": request.headers.get("Crocusspindle-Customer", ""),
            "request": request.headers.get("Test-Request", ""),
            "body_sha256": digest,
            "body_bytes": size,
        }
        headers = {REQUEST_ID: request.headers.get(REQUEST_ID, "")}
        if self._is_triggered(self.faults.cross_fraction):
            headers[REQUEST_ID] = "another"
            content["request"] = "another"
        filler_bytes = int(request.query.get("answer_bytes", "0"))
        if self._is_triggered(self.faults.cut_fraction):
            return await self._cut(request, headers)
        if not filler_bytes:
            return web.json_response(content, headers=headers)
        return await self._stream(request, headers, filler_bytes)

    async def _cut(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers | {"Content-Length": "1000"})
        await response.prepare(request)
        await response.write(b"cut short")
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _stream(
        self, request: web.Request, headers: dict[str, str], size: int
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers | {"Content-Length": str(size)})
        await response.prepare(request)
        while size:
            chunk = FILLER[:size]
            await response.write(chunk)
            size -= len(chunk)
        return response

    async def health(self, _request: web.Request) -> web.Response:
        """Report healthy, as the health endpoint of a gray target does."""
        return web.json_response({"status": "ok"})

    async def put_faults(self, request: web.Request) -> web.Response:
        """Update the faults."""
        self.faults = replace(self.faults, **await request.json())
        return web.Response()

    async def executions(self, _request: web.Request) -> web.Response:
        """Return what ran here."""
        return web.json_response(vars(self.counts))

    def app(self) -> web.Application:
        """Build the application of the stand-in."""
        app = web.Application(client_max_size=1 << 30)
        app.add_routes(
            [
                web.get("/-/health", self.health),
                web.put("/-/control", self.put_faults),
                web.get("/-/executions", self.executions),
                web.route("*", "/{path:.*}", self.serve),
            ]
        )
        return app


def main(
    port: int,
    service: str = "katalog",
    slots: int = 2,
    work_ms: float = 20.0,
    queue: int = 2,
    seed: int = 1,
    host: str = "127.0.0.1",
) -> None:
    """Serve one target until a signal ends the process."""
    server = TargetServer(service, slots, work_ms, queue, seed)
    run_server(server.app(), host, port)


if __name__ == "__main__":
    fire.Fire(main)
