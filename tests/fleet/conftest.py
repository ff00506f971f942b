"""Start fleets of real processes for failure tests."""

import asyncio
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import aiohttp
import pytest

from crocusspindle_standins.fleet import Fleet, Layout, TargetGroup, sha256
from crocusspindle_standins.single_attempt import single_attempt_session

SHARES_OPEN_S = 10.0
SHARES_FILL_S = 1.0
KEY = "key-of-the-caller"
QUICK_TIMINGS = {
    "where_max_age_ms": 2000,
    "drain_ms": 10000,
    "heartbeat_ms": 250,
    "poll_ms": 500,
    "freshness_ms": 2000,
    "silence_ms": 3000,
}


class Caller:
    """Send single requests to nodes and return their responses."""

    def __init__(self, fleet: Fleet, session: aiohttp.ClientSession) -> None:
        self.fleet = fleet
        self.session = session

    async def send(
        self,
        node: int,
        method: str = "GET",
        service: str = "desk",
        test_request: str = "",
        operation: str = "",
        body: bytes | None = None,
        key: str = KEY,
        query: str = "",
        timeout_ms: int | None = None,
    ) -> tuple[int, str, str]:
        """Return status, outcome and text; 0, "" and the error if the call fails."""
        headers = {"Authorization": f"Bearer {key}", "Test-Request": test_request}
        if operation:
            headers["Idempotency-Key"] = operation
        if timeout_ms is not None:
            headers["Crocusspindle-Timeout-Ms"] = str(timeout_ms)
        url = f"{self.fleet.nodes[node].caller_url}/{service}/item{query}"
        try:
            async with self.session.request(
                method, url, headers=headers, data=body
            ) as response:
                text = await response.text()
                outcome = response.headers.get("Crocusspindle-Outcome", "")
                return response.status, outcome, text
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return 0, "", repr(error)

    async def where(self, node: int) -> list[str]:
        """Return the addresses that a node reports to the customer."""
        url = f"{self.fleet.nodes[node].caller_url}/.well-known/crocusspindle/where"
        headers = {"Authorization": f"Bearer {KEY}"}
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            content = await response.json()
        return [entry["address"] for entry in content["addresses"]]

    async def where_from_any(self) -> list[str]:
        """Return the addresses that the first reachable node reports."""
        for node in range(len(self.fleet.nodes)):
            with suppress(aiohttp.ClientError, OSError):
                return await self.where(node)
        raise AssertionError("no node responds")

    async def send_to(
        self, address: str, method: str, body: AsyncIterator[bytes] | None
    ) -> tuple[int, str, str]:
        """Send a request to an address that a node reported."""
        headers = {"Authorization": f"Bearer {KEY}"}
        try:
            async with self.session.request(
                method, f"http://{address}/desk/item", headers=headers, data=body
            ) as response:
                outcome = response.headers.get("Crocusspindle-Outcome", "")
                return response.status, outcome, await response.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return 0, "", repr(error)

    async def until_served(self, node: int = 0) -> None:
        """Wait until the customer's shares are open and a request is served."""
        async with asyncio.timeout(SHARES_OPEN_S * 3):
            while (await self.send(node))[0] != 200:
                await asyncio.sleep(0.2)

    async def executed(self) -> dict[str, int]:
        """Return how often each test request ran at any target."""
        return await self._sum("requests")

    async def operations(self) -> dict[str, int]:
        """Return how often each operation ran at any target."""
        return await self._sum("operations")

    async def _sum(self, field: str) -> dict[str, int]:
        total: dict[str, int] = {}
        for execution in await self.fleet.executions():
            for name, count in execution[field].items():
                total[name] = total.get(name, 0) + count
        return total


StartFleet = Callable[..., Awaitable[Caller]]


@pytest.fixture
async def start_fleet(tmp_path: Path) -> AsyncIterator[StartFleet]:
    """Start a fleet with one customer that may call the service ``desk``."""
    async with AsyncExitStack() as stack:

        async def start(
            nodes: int = 3,
            group: TargetGroup | None = None,
            rate_per_s: float = 1000.0,
            burst: int = 1000,
            relayed: bool = False,
            timeout_ms: float = 4000.0,
            timings: dict[str, float] | None = None,
        ) -> Caller:
            layout = Layout(
                nodes,
                3,
                (group or TargetGroup("desk", 4, 4, 5.0),),
                QUICK_TIMINGS | (timings or {}),
                relayed,
            )
            fleet = await stack.enter_async_context(Fleet(layout, tmp_path))
            await fleet.ticket(
                fleet.nodes[0],
                services={"desk": {"timeout_ms": timeout_ms}},
                routes={"/desk/": {"service": "desk"}},
                customers={"ward": {"rate_per_s": rate_per_s, "burst": burst}},
                keys={sha256(KEY): {"customer": "ward", "state": "active"}},
            )
            number = await fleet.ticket(
                fleet.nodes[0],
                "owner",
                approvals={"desk": {"ward": {"approved_by": "owner"}}},
            )
            await fleet.until_applied(number, fleet.nodes)
            session = await stack.enter_async_context(
                single_attempt_session(
                    connector=aiohttp.TCPConnector(limit=0),
                    timeout=aiohttp.ClientTimeout(total=15, sock_connect=1),
                )
            )
            caller = Caller(fleet, session)
            for node in range(nodes):
                await caller.until_served(node)
            # New shares start empty; a burst of requests needs them filled.
            await asyncio.sleep(SHARES_FILL_S)
            return caller

        yield start


def open_files(pid: int) -> list[str]:
    """Return the paths of the open file descriptors of a process."""
    folder = Path(f"/proc/{pid}/fd")
    return [os.readlink(entry) for entry in folder.iterdir()]


def children(pid: int) -> list[str]:
    """Return the ids of the child processes of a process."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return [
        child for task in tasks for child in (task / "children").read_text().split()
    ]
