"""Send a planned load to a fleet of real processes, and record each outcome.

The load is open-loop: a request is sent at its time, whether or not earlier ones have a
response, and is never retried. Latencies are measured at the caller from the planned
time, so that a late load generator makes figures worse, never better.
"""

import asyncio
import itertools
import random
import socket
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

import aiohttp

from crocusspindle_standins.on_platform.fleet import HOST, OK, Fleet, Gateway
from crocusspindle_standins.on_platform.target import RESPONSE_BYTES
from crocusspindle_standins.single_attempt import single_attempt_session

READ_INTERVAL_S: Final = 1.0
SLOW_READ_BYTES: Final = 2_000
LARGE_RESPONSE_BYTES: Final = 900_000
RECEIVE_BUFFER_BYTES: Final = 4_096
"""The smallest that has an effect; the default takes a whole large response."""

SLOW_READERS_START_S: Final = 2.0
TIMEOUT_MARGIN_S: Final = 0.5
READY_TIMEOUT_S: Final = 10.0


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """Hold the priority, the latency objective and the deadline of a route."""

    priority: int = 1
    objective_s: float = 0.8
    deadline_s: float = 2.0


@dataclass(frozen=True, slots=True)
class Stream:
    """Plan the requests that a customer sends on a route, as a Poisson process.

    ``group`` names the row of the table in which they are counted.
    """

    group: str
    customer: str
    rate_per_s: float
    route: str = "pages"


@dataclass(frozen=True)
class Load:
    """Plan a load. ``work_s`` is shared out over the targets in turn.

    ``quotas`` has the rate and burst of each customer. If ``kill_interval_s`` is not
    0, a gateway is killed and started again each time it has passed.
    """

    name: str
    streams: tuple[Stream, ...]
    quotas: Mapping[str, tuple[float, float]]
    routes: Mapping[str, RoutePlan] = field(
        default_factory=lambda: {"pages": RoutePlan()}
    )
    work_s: tuple[float, ...] = (0.2,)
    slots: int = 4
    full_slowdown: float = 1.0
    kill_interval_s: float = 0.0
    slow_readers: int = 0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Plan one request, in seconds after the start of the load."""

    at_s: float
    stream: Stream


@dataclass(frozen=True, slots=True)
class Outcome:
    """Record what the caller of a request got.

    Status 0 is a connection that ended, -1 the caller's timeout. ``reason`` is that of
    the refusal. ``lag_s`` is how late the request was sent.
    """

    group: str
    customer: str
    status: int
    reason: str
    latency_s: float
    objective_s: float
    lag_s: float = 0.0

    @property
    def is_on_time(self) -> bool:
        """Return True if the request was served within its route's objective."""
        return self.status == OK and self.latency_s <= self.objective_s


def arrivals(load: Load, lasts_s: float, seed: int) -> list[Arrival]:
    """Return all requests of a load in order, drawn from a seed."""
    drawn = [
        Arrival(at_s, stream)
        for number, stream in enumerate(load.streams)
        for at_s in _times(stream.rate_per_s, lasts_s, f"{seed} {load.name} {number}")
    ]
    return sorted(drawn, key=lambda arrival: arrival.at_s)


def _times(rate_per_s: float, lasts_s: float, seed: str) -> Iterator[float]:
    rng = random.Random(seed)
    at_s = rng.expovariate(rate_per_s)
    while at_s < lasts_s:
        yield at_s
        at_s += rng.expovariate(rate_per_s)


def key_of(customer: str) -> str:
    """Return the API key of a customer."""
    return f"key-of-{customer}"


class Callers:
    """Send the requests of a load through the gateways that are open."""

    def __init__(self, fleet: Fleet, load: Load, seed: int) -> None:
        self._fleet = fleet
        self._load = load
        self._rng = random.Random(f"{seed} {load.name} callers")
        self._open = list(fleet.gateways)
        order = random.Random(f"{seed} {load.name} kills")
        self._kill_order = order.sample(fleet.gateways, len(fleet.gateways))
        self._numbers = itertools.count()
        self.outcomes: list[Outcome] = []

    async def play(self, planned: list[Arrival], lasts_s: float) -> None:
        """Send all planned requests, and return when each has an outcome."""
        connector = aiohttp.TCPConnector(limit=0)
        async with (
            single_attempt_session(connector=connector) as session,
            asyncio.TaskGroup() as group,
        ):
            began_s = time.monotonic()
            kills = group.create_task(self._kill_gateways(group))
            for _ in range(self._load.slow_readers):
                starts_s = self._rng.uniform(0.0, SLOW_READERS_START_S)
                group.create_task(
                    self._read_slowly(began_s + starts_s, began_s + lasts_s)
                )
            for arrival in planned:
                at_s = began_s + arrival.at_s
                await asyncio.sleep(max(0.0, at_s - time.monotonic()))
                group.create_task(self._send(session, arrival.stream, at_s))
            kills.cancel()

    def _headers(self, customer: str, route: str) -> dict[str, str]:
        deadline_ms = self._load.routes[route].deadline_s * 1e3
        return {
            "Host": HOST,
            "X-Request-Id": f"h{next(self._numbers)}",
            "X-Deadline-Milliseconds": f"{deadline_ms:.0f}",
            "X-Api-Key": key_of(customer),
        }

    async def _send(
        self, session: aiohttp.ClientSession, stream: Stream, at_s: float
    ) -> None:
        lag_s = time.monotonic() - at_s
        gateway = self._rng.choice(self._open)
        headers = self._headers(stream.customer, stream.route)
        url = f"{gateway.caller_url}/{stream.route}/{headers['X-Request-Id']}"
        route = self._load.routes[stream.route]
        try:
            async with (
                asyncio.timeout(route.deadline_s + TIMEOUT_MARGIN_S),
                session.get(url, headers=headers) as response,
            ):
                text = await response.read()
                status = response.status
            reason = "" if status == OK else text.decode(errors="replace").strip()
        except (aiohttp.ClientError, OSError) as error:
            # TimeoutError is an OSError.
            is_timeout = isinstance(error, TimeoutError)
            status, reason = (-1, "timeout") if is_timeout else (0, "closed")
        latency_s = time.monotonic() - at_s
        self.outcomes.append(
            Outcome(
                stream.group,
                stream.customer,
                status,
                reason,
                latency_s,
                route.objective_s,
                lag_s,
            )
        )

    async def _kill_gateways(self, group: asyncio.TaskGroup) -> None:
        interval_s = self._load.kill_interval_s
        if interval_s == 0.0:
            return
        await asyncio.sleep(interval_s / 2)
        for gateway in itertools.cycle(self._kill_order):
            group.create_task(self._kill(gateway))
            await asyncio.sleep(interval_s)

    async def _kill(self, gateway: Gateway) -> None:
        assert gateway.process is not None
        self._open.remove(gateway)
        gateway.process.kill()
        await gateway.process.wait()
        await self._fleet.run(gateway)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._fleet.is_ready(gateway):
                await asyncio.sleep(0.05)
        self._open.append(gateway)

    async def _read_slowly(self, starts_s: float, until_s: float) -> None:
        """Read a large response at 2 KB/s until the load ends."""
        await asyncio.sleep(max(0.0, starts_s - time.monotonic()))
        gateway = self._rng.choice(self._open)
        headers = self._headers("reader", "large")
        target = f"/large/{headers['X-Request-Id']}?{RESPONSE_BYTES}"
        lines = [f"GET {target}{LARGE_RESPONSE_BYTES} HTTP/1.1"]
        lines += [f"{name}: {text}" for name, text in headers.items()]
        loop = asyncio.get_running_loop()
        status, reason, head_s = 0, "closed", float("inf")
        with socket.socket() as connection:
            connection.setblocking(False)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            try:
                await loop.sock_connect(connection, (gateway.ip, gateway.ports[0]))
                head = ("\r\n".join(lines) + "\r\n\r\n").encode()
                await loop.sock_sendall(connection, head)
                first = await self._receive(connection, until_s)
                head_s = time.monotonic() - starts_s
                status = int(first.split()[1])
                reason = "" if status == OK else first.split()[-1].decode()
                while status == OK and time.monotonic() < until_s:
                    await asyncio.sleep(READ_INTERVAL_S)
                    await self._receive(connection, until_s + READ_INTERVAL_S)
            except TimeoutError:
                reason = "timeout"
            except (OSError, EOFError):
                status, reason = 0, "truncated"
        objective_s = self._load.routes["large"].objective_s
        self.outcomes.append(
            Outcome("slow readers", "reader", status, reason, head_s, objective_s)
        )

    @staticmethod
    async def _receive(connection: socket.socket, until_s: float) -> bytes:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(max(0.0, until_s - time.monotonic())):
            chunk = await loop.sock_recv(connection, SLOW_READ_BYTES)
        if not chunk:
            raise EOFError
        return chunk


def peak_rss_mb(fleet: Fleet) -> float:
    """Return the highest peak of resident memory of the gateways that run."""
    return max(
        _peak_kb(gateway.process.pid) / 1e3
        for gateway in fleet.gateways
        if gateway.process is not None and gateway.process.returncode is None
    )


def _peak_kb(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = (line.partition(":") for line in lines)
    texts = {name: text for name, _, text in fields}
    return int(texts["VmHWM"].split()[0])
