"""Run a small fleet on loopback: a store, targets, and gateways as processes."""

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp
from aiohttp import web

from crocusspindle_standins.on_platform.deployed import deployed_environment
from crocusspindle_standins.on_platform.store import TableStore
from crocusspindle_standins.on_platform.target import TABLE, PlatformTarget
from crocusspindle_standins.processes import free_ports
from crocusspindle_standins.single_attempt import single_attempt_session

KEY: Final = "key-of-the-club"
GUEST_KEY: Final = "key-of-the-guest"
"""Key that configurations of a test may hold and withdraw."""

HOST: Final = "hall.example"
START_TIMEOUT_S: Final = 20.0
HEARTBEAT_S: Final = 0.5
IDLE_TIMEOUT_S: Final = 15
REUSE_FRACTION: Final = 0.8
"""Part of the idle timeout for which callers reuse a connection. Later, the gateway may
close it just as a request is sent."""

OK: Final = 200


def _worker_number() -> int:
    # The metrics port is fixed, so each test worker's fleet needs its own addresses.
    return int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


def configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration in the platform's format."""
    route = {
        "host": HOST,
        "timeout_s": 2,
        "target_latency_s": 0.8,
        "attempts": 2,
        "service": "books",
    }
    return {
        "version": f"{version:08x}",
        "routes": {
            "pages": {**route, "prefix": "/pages/", "kind": "safe"},
            "orders": {**route, "prefix": "/orders/", "kind": "unsafe"},
        },
        "limits": {"body_bytes": 3_000_000, "idle_timeout_s": IDLE_TIMEOUT_S},
        "tenants": {"club": {"api_keys": [KEY], "per_s": 500, "burst": 500}},
        **changes,
    }


@dataclass
class Gateway:
    """Hold one gateway process and its addresses."""

    name: str
    ip: str
    ports: list[int]
    settings: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def caller_url(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.ip}:{self.ports[0]}"

    @property
    def ready_url(self) -> str:
        """Return the URL of the readiness check."""
        return f"http://{self.ip}:{self.ports[1]}/-/readiness"

    @property
    def where_url(self) -> str:
        """Return the URL of the gateway directory."""
        return f"http://{self.ip}:{self.ports[2]}/-/resolve?name=x&zone=a"

    def log(self) -> str:
        """Return the output of the process."""
        return self.settings.with_suffix(".log").read_text()

    def lines(self) -> list[dict[str, Any]]:
        """Return the parsed JSON lines of the log."""
        return [json.loads(line) for line in self.log().splitlines() if line[0] == "{"]


@dataclass
class Fleet:
    """Hold the store, the targets and the gateways of one test.

    ``memory_mb`` is the memory of each gateway's host by its settings, if they name it,
    and ``revocation_s`` the age of proofs from which it refuses requests.
    ``writes_entries`` is False while targets must not write to the store.
    ``command`` starts each gateway's process; by default, this interpreter runs the
    module ``program``. ``sent_through`` has the gateway's name for each request id.
    """

    folder: Path
    store: TableStore = field(default_factory=TableStore)
    make_target: Callable[[str, str, str], PlatformTarget] = PlatformTarget
    program: str = "crocusspindle.gateway"
    command: Sequence[str] = ()
    memory_mb: float | None = None
    revocation_s: float = 5
    store_address: str = ""
    targets: list[PlatformTarget] = field(default_factory=list)
    gateways: list[Gateway] = field(default_factory=list)
    session: aiohttp.ClientSession | None = None
    runner: web.AppRunner | None = None
    writes_entries: bool = True
    heartbeat_task: asyncio.Task[None] | None = None
    requests: int = 0
    sent_through: dict[str, str] = field(default_factory=dict)
    _published: dict[str, str] = field(default_factory=dict)

    async def start(self, gateways: int = 3, targets: int = 4) -> None:
        """Start everything and wait until all gateways are ready."""
        connector = aiohttp.TCPConnector(
            keepalive_timeout=REUSE_FRACTION * IDLE_TIMEOUT_S
        )
        self.session = single_attempt_session(connector=connector)
        self.runner = web.AppRunner(self.store.app())
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.store_address = f"127.0.0.1:{site.port}"
        await self.configure(configuration())
        for number in range(targets):
            target = self.make_target(f"t{number}", "books", "a")
            await target.start("127.0.0.1")
            self.targets.append(target)
        self.heartbeat_task = asyncio.create_task(self._write_entries())
        for number in range(gateways):
            await self.add_gateway(number)
        await self.until_ready()

    async def configure(self, document: dict[str, Any]) -> None:
        """Write a configuration to the store as an operator does."""
        await self.store.put("op", "config", json.dumps(document).encode())

    @property
    def client(self) -> aiohttp.ClientSession:
        """Return the session; the fleet must be started."""
        assert self.session is not None
        return self.session

    async def _write_entries(self) -> None:
        while True:
            for target in self.targets if self.writes_entries else ():
                await self._publish_entry(target)
            await asyncio.sleep(HEARTBEAT_S)

    async def _publish_entry(self, target: PlatformTarget) -> None:
        # Removes the entry of the address's previous instance, as if it had expired.
        published = self._published.get(target.address)
        if published is not None and published != target.identity:
            await self.store.remove(TABLE, published)
        if target.is_listening:
            await target.write_entry(self.store)
            self._published[target.address] = target.identity

    async def add_gateway(self, number: int) -> Gateway:
        """Start one more gateway on its own address."""
        gateway = Gateway(
            f"g{number}",
            f"127.0.{_worker_number() + 1}.{number + 11}",
            free_ports(3),
            self.folder / f"g{number}.toml",
        )
        gateway.settings.write_text(self._settings(gateway))
        self.gateways.append(gateway)
        await self.run(gateway)
        return gateway

    def _settings(self, gateway: Gateway) -> str:
        ip, (front, ready, directory) = gateway.ip, gateway.ports
        limits = "" if self.memory_mb is None else f"memory_mb = {self.memory_mb}"
        return f"""
node = "{gateway.name}"
zone = "a"
ip_address = "{ip}"
internal_ports = [7340, 7355]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
directory = "{ip}:{directory}"
[bounds]
revocation_s = {self.revocation_s}
grace_s = 3
fail_closed = true
[platform]
address = "{self.store_address}"
form = "table"
[limits]
{limits}
"""

    async def run(self, gateway: Gateway) -> None:
        """Start a gateway's process."""
        command = self.command or (sys.executable, "-m", self.program)
        with gateway.settings.with_suffix(".log").open("ab") as log:
            gateway.process = await asyncio.create_subprocess_exec(
                *command,
                gateway.settings,
                stdout=log,
                stderr=log,
                env=deployed_environment(),
            )

    async def until_ready(self) -> None:
        """Wait until each gateway is ready and all are listed in the directory."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for gateway in self.gateways:
                while not await self.is_ready(gateway):
                    await asyncio.sleep(0.05)
            while len(await self.where()) < len(self.gateways):
                await asyncio.sleep(0.05)

    async def is_ready(self, gateway: Gateway) -> bool:
        """Return True if a gateway reports that it is ready."""
        with suppress(aiohttp.ClientError):
            async with self.client.get(gateway.ready_url) as response:
                return response.status == OK
        return False

    async def where(self, gateway: int = 0) -> list[str]:
        """Return the gateway addresses that a gateway lists."""
        url = self.gateways[gateway].where_url
        async with self.client.get(url) as response:
            if response.status != OK:
                return []
            addresses: list[str] = (await response.json())["addresses"]
            return addresses

    async def call(
        self,
        path: str,
        method: str = "GET",
        gateway: int = 0,
        key: str = KEY,
        deadline_s: float = 2.0,
        **options: Any,
    ) -> tuple[int, bytes, Mapping[str, str]]:
        """Send one request and return the response's status, body and headers."""
        self.requests += 1
        request_headers = {
            "Host": HOST,
            "X-Request-Id": f"r{self.requests}",
            "X-Deadline-Milliseconds": f"{deadline_s * 1e3:.0f}",
            "X-Api-Key": key,
        }
        self.sent_through[f"r{self.requests}"] = self.gateways[gateway].name
        url = self.gateways[gateway].caller_url + path
        async with self.client.request(
            method, url, headers=request_headers, **options
        ) as response:
            return response.status, await response.read(), response.headers

    async def call_for(self, for_s: float, calls_per_s: float) -> Counter[int]:
        """Send requests through all running gateways; count the response statuses."""
        statuses: Counter[int] = Counter()

        async def call(number: int) -> None:
            running = [
                index
                for index, gateway in enumerate(self.gateways)
                if gateway.process is not None and gateway.process.returncode is None
            ]
            gateway = running[number % len(running)]
            statuses[(await self.call(f"/pages/{number}", gateway=gateway))[0]] += 1

        async with asyncio.TaskGroup() as group:
            for number in range(round(for_s * calls_per_s)):
                group.create_task(call(number))
                await asyncio.sleep(1.0 / calls_per_s)
        return statuses

    def ran(self, request_id: str) -> int:
        """Return how often a request ran at all targets together."""
        return sum(target.ran[request_id] for target in self.targets)

    async def stop(self) -> None:
        """Stop all gateways, targets and the store."""
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.send_signal(signal.SIGKILL)
                await gateway.process.wait()
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for target in self.targets:
            await target.stop()
        if self.runner is not None:
            await self.runner.cleanup()
        if self.session is not None:
            await self.session.close()
