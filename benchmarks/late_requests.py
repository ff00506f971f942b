"""Send orders on new connections at all moments after a SIGTERM, and count outcomes.

Real processes: three nodes before four targets, whose work is drawn anew for each
order. ``known`` plays send orders of the route before the stop, so that the leaving
node knows how long they take. In ``hanging`` plays some of the targets stop responding
a second before the stop. A row sums up the plays of one kind.
"""

import asyncio
import itertools
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import aiohttp
import fire

from benchmarks.result_table import write_table
from crocusspindle_standins.on_platform.fleet import (
    HOST,
    KEY,
    OK,
    Fleet,
    Gateway,
    configuration,
)
from crocusspindle_standins.on_platform.target import PlatformTarget, TargetFault
from crocusspindle_standins.single_attempt import single_attempt_session

GRACE_S: Final = 6.0
WORKS_S: Final = (0.05, 0.2, 0.4, 0.6, 0.9, 1.3, 1.9, 2.8)
LEARNING_S: Final = 12.0
CALLS_PER_S: Final = 20.0
TARGETS: Final = 8
HANGING_TARGETS: Final = 3
HANGING_BEFORE_S: Final = 1.0
NOT_RUN: Final = 503
DEADLINE_MS: Final = 6_000
RESULTS_PATH: Final = Path("benchmarks/results/late-requests.csv")


@dataclass(frozen=True)
class Row:
    """Hold the outcomes of orders sent to leaving nodes.

    ``refused`` got 503 and did not run, ``unreached`` found the port closed.
    ``cut_off`` ran and got no response; ``cut_off_late`` of them were sent later than
    half of the grace period.
    """

    known: bool
    hanging: bool
    sent: int
    served: int
    refused: int
    unreached: int
    cut_off: int
    cut_off_late: int
    other: int


class VaryingTarget(PlatformTarget):
    """Draw the time of each request's work."""

    rng = random.Random(1)

    def _run_time_s(self) -> float:
        return self.rng.choice(WORKS_S)


class GracefulFleet(Fleet):
    """Give the nodes a grace period as on the platform."""

    def _settings(self, gateway: Gateway) -> str:
        settings = super()._settings(gateway)
        return settings.replace("grace_s = 3", f"grace_s = {GRACE_S:g}")


def _configuration() -> dict[str, Any]:
    document = configuration(2)
    for route in document["routes"].values():
        route.update(timeout_s=DEADLINE_MS / 1e3, target_latency_s=2)
    return document


async def _order(url: str, request_id: str) -> int:
    """Return the status of one order; 0 without a response, -1 if it wasn't sent."""
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Milliseconds": str(DEADLINE_MS),
        "X-Api-Key": KEY,
    }
    connector = aiohttp.TCPConnector(force_close=True)
    async with single_attempt_session(connector=connector) as session:
        try:
            async with session.post(f"{url}/orders/1", headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientConnectorError:
            return -1
        except aiohttp.ClientError:
            return 0


async def _send(url: str, name: str, for_s: float) -> list[tuple[float, str, int]]:
    """Send orders at a constant rate; return when each was sent, and its status."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    sent: list[tuple[float, str, asyncio.Task[int]]] = []
    for number in range(int(for_s * CALLS_PER_S)):
        at_s = number / CALLS_PER_S
        await asyncio.sleep(began_s + at_s - loop.time())
        request_id = f"{name}-{number}"
        sent.append((at_s, request_id, asyncio.create_task(_order(url, request_id))))
    return [(at_s, request_id, await task) for at_s, request_id, task in sent]


def _outcome(status: int, ran: int) -> str:
    names = {OK: "served", -1: "unreached"}
    if status == NOT_RUN and not ran:
        return "refused"
    return names.get(status, "cut_off" if ran and not status else "other")


async def _play(known: bool, hanging: bool) -> Iterable[tuple[float, str]]:
    with tempfile.TemporaryDirectory() as folder:
        fleet = GracefulFleet(Path(folder), make_target=VaryingTarget)
        try:
            await fleet.start(targets=TARGETS)
            await fleet.configure(_configuration())
            await asyncio.sleep(2.0)
            gateway = fleet.gateways[0]
            assert gateway.process is not None
            if known:
                await _send(gateway.caller_url, "before", LEARNING_S)
            if hanging:
                for target in fleet.targets[:HANGING_TARGETS]:
                    target.fault = TargetFault.HANGS
                await asyncio.sleep(HANGING_BEFORE_S)
            gateway.process.send_signal(signal.SIGTERM)
            sent = await _send(gateway.caller_url, "after", GRACE_S)
            return [
                (at_s, _outcome(status, fleet.ran(request_id)))
                for at_s, request_id, status in sent
            ]
        finally:
            await fleet.stop()


def main(plays: int = 3) -> None:
    """Play each kind some times, and write the table."""
    rows = []
    for known, hanging in itertools.product((False, True), repeat=2):
        outcomes = list(
            itertools.chain.from_iterable(
                asyncio.run(_play(known, hanging)) for _ in range(plays)
            )
        )
        counts = Counter(outcome for _, outcome in outcomes)
        late = sum(o == "cut_off" and at_s > GRACE_S / 2 for at_s, o in outcomes)
        names = ("served", "refused", "unreached", "cut_off", "other")
        figures = {name: counts[name] for name in names}
        row = Row(known, hanging, len(outcomes), **figures, cut_off_late=late)
        rows.append(row)
        print(row, flush=True)
    write_table(Row, rows, RESULTS_PATH)


if __name__ == "__main__":
    fire.Fire(main)
