"""Measure requests per second and added latency through a fleet of real processes.

Noise of the machine affects all figures. Direct calls and calls through the fleet
alternate in one run, and only their ratio and difference are comparable.
"""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Final

import aiohttp
import fire

from benchmarks.virtual import quantile
from crocusspindle_standins.fleet import Fleet, Layout, TargetGroup, sha256

KEY: Final = "key-of-the-benchmark"
HEADERS: Final = {"Authorization": f"Bearer {KEY}"}
SERVICE: Final = "echo"
ROUNDS: Final = 5


@dataclass(frozen=True)
class Point:
    """Hold the figures of one way to call the service, at one number of callers.

    ``way`` is a direct call, a call through an entry that is the group coordinator, or
    one through another entry, with a hop to the coordinator and a hop to the target.
    """

    way: str
    callers: int
    requests_per_s: float
    p50_ms: float
    p99_ms: float


async def _set_up(fleet: Fleet) -> None:
    ticket = await fleet.ticket(
        fleet.nodes[0],
        services={SERVICE: {}},
        routes={f"/{SERVICE}/": {"service": SERVICE}},
        customers={"load": {"rate_per_s": 20000.0, "burst": 40000}},
        keys={sha256(KEY): {"customer": "load", "state": "active"}},
    )
    ticket = await fleet.ticket(
        fleet.nodes[0],
        "owner",
        approvals={SERVICE: {"load": {"approved_by": "owner"}}},
    )
    await fleet.until_applied(ticket, fleet.nodes)
    while any(
        [(await fleet.status(node))["shares"]["waiting"] for node in fleet.nodes]
    ):
        await asyncio.sleep(0.3)
    await asyncio.sleep(2)


async def _closed_loop(
    call: Callable[[], Awaitable[None]], callers: int, seconds: float
) -> tuple[list[float], float]:
    latencies_ms: list[float] = []
    until_s = time.perf_counter() + seconds

    async def call_repeatedly() -> None:
        while (began_s := time.perf_counter()) < until_s:
            await call()
            latencies_ms.append((time.perf_counter() - began_s) * 1e3)

    began_s = time.perf_counter()
    await asyncio.gather(*(call_repeatedly() for _ in range(callers)))
    return latencies_ms, time.perf_counter() - began_s


async def _measure(
    session: aiohttp.ClientSession, url: str, callers: int, seconds: float
) -> tuple[list[float], float]:
    async def call() -> None:
        async with session.get(url, headers=HEADERS) as response:
            await response.read()
            response.raise_for_status()

    return await _closed_loop(call, callers, seconds)


async def _find_coordinator(fleet: Fleet, session: aiohttp.ClientSession) -> int:
    async with session.get(
        f"{fleet.nodes[0].caller_url}/{SERVICE}/x", headers=HEADERS
    ) as response:
        await response.read()
    for number, node in enumerate(fleet.nodes):
        if (await fleet.status(node))["groups"]:
            return number
    raise RuntimeError("no node is the coordinator of the group")


async def _run(callers: tuple[int, ...], seconds: float) -> list[Point]:
    layout = Layout(3, 3, (TargetGroup(SERVICE, 4, 64, 0.0, queue=64),))
    points = []
    async with (
        Fleet.temporary(layout) as fleet,
        aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session,
    ):
        await _set_up(fleet)
        coordinator = await _find_coordinator(fleet, session)
        other_url = fleet.nodes[(coordinator + 1) % 3].caller_url
        ways = {
            "direct": f"{fleet.targets[0].url}/{SERVICE}/x",
            "entry is the home": f"{fleet.nodes[coordinator].caller_url}/{SERVICE}/x",
            "both hops": f"{other_url}/{SERVICE}/x",
        }
        for count in callers:
            latencies_ms: dict[str, list[float]] = {way: [] for way in ways}
            elapsed_s = dict.fromkeys(ways, 0.0)
            for _ in range(ROUNDS):
                for way, url in ways.items():
                    round_latencies_ms, round_s = await _measure(
                        session, url, count, seconds / ROUNDS
                    )
                    latencies_ms[way] += round_latencies_ms
                    elapsed_s[way] += round_s
            points += [
                Point(
                    way,
                    count,
                    round(len(latencies_ms[way]) / elapsed_s[way]),
                    round(quantile(latencies_ms[way], 0.5), 2),
                    round(quantile(latencies_ms[way], 0.99), 2),
                )
                for way in ways
            ]
    return points


def main(seconds: float = 5.0, output: str = "") -> None:
    """Print request rates and latencies of 1, 4 and 16 callers, by way to call."""
    points = asyncio.run(_run((1, 4, 16), seconds))
    for point in points:
        print(json.dumps(asdict(point)), flush=True)
    if output:
        Path(output).write_text(json.dumps([asdict(point) for point in points]))


if __name__ == "__main__":
    fire.Fire(main)
