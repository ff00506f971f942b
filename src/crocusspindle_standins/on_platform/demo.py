"""Run a small fleet against a stand-in of the platform, with real traffic and faults.

Under load a target turns gray and a gateway is killed; then a key is withdrawn. The
report counts what callers received, and what must never happen: an order that ran
twice, or one that was reported as not run although it ran.
"""

import asyncio
import json
import logging
import sys
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Final

import aiohttp
import fire

from crocusspindle_standins.on_platform.fleet import KEY, Fleet, configuration
from crocusspindle_standins.on_platform.target import TargetFault

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
SECOND_KEY: Final = "second-key-of-the-club"
CALL_INTERVAL_S: Final = 0.02
MAX_WITHDRAWAL_S: Final = 2.0
UNAUTHORIZED_STATUS: Final = 401
GATEWAYS: Final = 3
OK_STATUS: Final = 200


@dataclass
class Report:
    """Hold the results of a demonstration."""

    statuses: dict[int, int] = field(default_factory=dict)
    no_answer: int = 0
    ran_twice: int = 0
    said_not_run_but_ran: int = 0
    gray_target_ran: int = 0
    withdrawn_key_refused_after_s: float | None = None
    store_calls: int = 0

    @property
    def guarantees_held(self) -> bool:
        """Return True if every guarantee held."""
        return (
            self.ran_twice == 0
            and self.said_not_run_but_ran == 0
            and self.withdrawn_key_refused_after_s is not None
            and self.withdrawn_key_refused_after_s <= MAX_WITHDRAWAL_S
            and self.statuses.get(OK_STATUS, 0) > 0
        )


class Demo:
    """Run one demonstration from setup to report."""

    def __init__(self, folder: Path, duration_s: float) -> None:
        self._fleet = Fleet(folder)
        self._duration_s = duration_s
        self._report = Report()
        self._order_statuses: dict[str, int] = {}

    async def run(self) -> Report:
        """Run all steps and return the report."""
        try:
            await self._fleet.start(GATEWAYS, targets=6)
            document = configuration(2)
            document["tenants"]["club"]["api_keys"] = [KEY, SECOND_KEY]
            await self._fleet.configure(document)
            await asyncio.gather(self._send_calls(), self._inject_faults())
            await self._withdraw_key()
            self._evaluate()
        finally:
            await self._fleet.stop()
        return self._report

    async def _send_calls(self) -> None:
        end_s = time.monotonic() + self._duration_s
        running: set[asyncio.Task[None]] = set()
        number = 0
        while time.monotonic() < end_s:
            number += 1
            running.add(asyncio.create_task(self._call(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
        await asyncio.gather(*running)

    async def _call(self, number: int) -> None:
        is_order = number % 2 == 0
        method, path = ("POST", "/orders/1") if is_order else ("GET", "/pages/1")
        body = b"pay" if is_order else None
        request_id = f"r{self._fleet.requests + 1}"
        try:
            status, _, _ = await self._fleet.call(
                path, method, number % GATEWAYS, data=body
            )
        except aiohttp.ClientError:
            self._report.no_answer += 1
            return
        counts = self._report.statuses
        counts[status] = counts.get(status, 0) + 1
        if is_order:
            self._order_statuses[request_id] = status

    async def _inject_faults(self) -> None:
        gray = self._fleet.targets[0]
        await asyncio.sleep(self._duration_s / 4)
        ran_before = gray.ran.total()
        gray.fault = TargetFault.RESETS
        await asyncio.sleep(self._duration_s / 4)
        self._report.gray_target_ran = gray.ran.total() - ran_before
        gray.fault = TargetFault.NONE
        gateway = self._fleet.gateways[GATEWAYS - 1]
        assert gateway.process is not None
        gateway.process.kill()
        await gateway.process.wait()
        await self._fleet.run(gateway)

    async def _withdraw_key(self) -> None:
        await self._fleet.configure(configuration(3))
        started_s = time.monotonic()
        while time.monotonic() - started_s < 2 * MAX_WITHDRAWAL_S:
            status, _, _ = await self._fleet.call("/pages/1", key=SECOND_KEY)
            if status == UNAUTHORIZED_STATUS:
                elapsed_s = round(time.monotonic() - started_s, 2)
                self._report.withdrawn_key_refused_after_s = elapsed_s
                return
            await asyncio.sleep(CALL_INTERVAL_S)

    def _evaluate(self) -> None:
        for request_id, status in self._order_statuses.items():
            ran = self._fleet.ran(request_id)
            self._report.ran_twice += ran > 1
            self._report.said_not_run_but_ran += status in NOT_RUN_STATUSES and ran > 0
        self._report.store_calls = self._fleet.store.calls


def main(duration_s: float = 8.0) -> None:
    """Run a demonstration and print its report; exit with 1 if a guarantee fails.

    Parameters
    ----------
    duration_s
        How long the callers send requests.
    """
    # The gray target aborts connections on purpose; aiohttp would log each of them.
    logging.disable(logging.ERROR)
    with tempfile.TemporaryDirectory() as folder:
        report = asyncio.run(Demo(Path(folder), float(duration_s)).run())
    print(json.dumps({**asdict(report), "kept": report.guarantees_held}, indent=2))
    sys.exit(0 if report.guarantees_held else 1)


if __name__ == "__main__":
    fire.Fire(main)
