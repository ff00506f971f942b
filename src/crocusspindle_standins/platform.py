"""Stand in for the platform: tables, objects and a lagging list of hosts.

``PUT /control`` takes a JSON object with any of ``delay_ms`` (added to each call),
``mode`` (``up``, ``silent``: calls hang, ``refuse``: calls get 503,
``lose_answers``: puts take effect and the connection breaks before the
response), ``lag_ms`` (age of the host list) and ``hosts`` (the new list).
"""

import asyncio
import time
from bisect import bisect_right
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

import fire
import msgpack
from aiohttp import web

from crocusspindle_standins.server import run_server

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

HANG_S: Final = 3600.0


class Mode(Enum):
    """Select how the platform fails."""

    UP = "up"
    SILENT = "silent"
    REFUSE = "refuse"
    LOSE_ANSWERS = "lose_answers"


@dataclass
class State:
    """Hold the stand-in's data and faults."""

    rows: dict[str, dict[str, tuple[int, bytes]]] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    host_lists: list[tuple[float, list[Any]]] = field(default_factory=list)
    mode: Mode = Mode.UP
    delay_ms: float = 0.0
    lag_ms: float = 0.0
    calls: Counter[str] = field(default_factory=Counter)

    def hosts(self, now_s: float) -> list[Any]:
        """Return the host list as of ``lag_ms`` ago."""
        as_of_s = now_s - self.lag_ms / 1e3
        lists = [hosts for since_s, hosts in self.host_lists if since_s <= as_of_s]
        if lists:
            return lists[-1]
        return self.host_lists[0][1] if self.host_lists else []


def _packed(content: Any, status: int = 200) -> web.Response:
    return web.Response(body=msgpack.packb(content), status=status)


class PlatformServer:
    """Serve the platform's published calls from memory."""

    def __init__(self) -> None:
        self.state = State()

    @web.middleware
    async def inject_faults(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Delay, refuse or hang a call as ``/control`` has set."""
        if request.path == "/control":
            return await handler(request)
        state = self.state
        kind = "read" if request.method == "GET" else "write"
        state.calls[kind] += 1
        state.calls[f"{kind} {'/'.join(request.path.split('/')[2:4])}"] += 1
        if state.delay_ms:
            await asyncio.sleep(state.delay_ms / 1e3)
        if state.mode is Mode.SILENT:
            await asyncio.sleep(HANG_S)
        if state.mode is Mode.REFUSE:
            return web.Response(status=503)
        response: web.StreamResponse = await handler(request)
        if state.mode is Mode.LOSE_ANSWERS and request.method == "PUT":
            if request.transport is not None:
                request.transport.abort()
            await asyncio.sleep(0)
        return response

    async def get_row(self, request: web.Request) -> web.Response:
        """Return one row."""
        table, key = request.match_info["table"], request.match_info["key"]
        row = self.state.rows.get(table, {}).get(key)
        return web.Response(status=404) if row is None else _packed([key, *row])

    async def put_row(self, request: web.Request) -> web.Response:
        """Write one row if its version is the expected one."""
        rows = self.state.rows.setdefault(request.match_info["table"], {})
        key = request.match_info["key"]
        value = await request.read()
        expected = int(request.headers["If-Version"])
        stored = rows.get(key)
        if expected != (stored[0] if stored else 0):
            return _packed([key, *stored] if stored else None, status=409)
        rows[key] = (expected + 1, value)
        return _packed([key, expected + 1, value])

    async def delete_row(self, request: web.Request) -> web.Response:
        """Delete one row if its version is the expected one."""
        rows = self.state.rows.get(request.match_info["table"], {})
        key = request.match_info["key"]
        stored = rows.get(key)
        if stored is None or stored[0] != int(request.headers["If-Version"]):
            return web.Response(status=409)
        del rows[key]
        return web.Response()

    async def get_range(self, request: web.Request) -> web.Response:
        """Return rows ordered by key."""
        rows = self.state.rows.get(request.match_info["table"], {})
        keys = sorted(rows)
        first = bisect_right(keys, request.query["after"])
        page = keys[first : first + int(request.query["limit"])]
        return _packed([[key, *rows[key]] for key in page])

    async def get_object(self, request: web.Request) -> web.Response:
        """Return one object."""
        content = self.state.objects.get(request.match_info["name"])
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def put_object(self, request: web.Request) -> web.Response:
        """Store one object."""
        self.state.objects[request.match_info["name"]] = await request.read()
        return web.Response()

    async def get_hosts(self, _request: web.Request) -> web.Response:
        """Return the lagging host list."""
        return _packed(self.state.hosts(time.monotonic()))

    async def get_control(self, _request: web.Request) -> web.Response:
        """Return the number of calls of each kind."""
        return web.json_response({"calls": self.state.calls})

    async def put_control(self, request: web.Request) -> web.Response:
        """Update the stand-in's faults and host list."""
        changes = await request.json()
        state = self.state
        state.mode = Mode(changes.get("mode", state.mode.value))
        state.delay_ms = changes.get("delay_ms", state.delay_ms)
        state.lag_ms = changes.get("lag_ms", state.lag_ms)
        if "hosts" in changes:
            state.host_lists.append((time.monotonic(), changes["hosts"]))
        return web.Response()

    def app(self) -> web.Application:
        """Build the application of the stand-in."""
        app = web.Application(middlewares=[self.inject_faults], client_max_size=1 << 28)
        rows = "/v1/tables/{table}/rows"
        app.add_routes(
            [
                web.get(rows, self.get_range),
                web.get(rows + "/{key}", self.get_row),
                web.put(rows + "/{key}", self.put_row),
                web.delete(rows + "/{key}", self.delete_row),
                web.get("/v1/objects/{name}", self.get_object),
                web.put("/v1/objects/{name}", self.put_object),
                web.get("/v1/hosts", self.get_hosts),
                web.get("/control", self.get_control),
                web.put("/control", self.put_control),
            ]
        )
        return app


def main(port: int, host: str = "127.0.0.1") -> None:
    """Serve the platform until a signal ends the process."""
    run_server(PlatformServer().app(), host, port)


if __name__ == "__main__":
    fire.Fire(main)
