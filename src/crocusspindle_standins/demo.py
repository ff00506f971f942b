"""Run a fleet under load, inject faults, and check what its callers received."""

import asyncio
import json
import random
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any, Final

import aiohttp
import fire
from hdrh.histogram import HdrHistogram

from crocusspindle_standins.callers import (
    Addresses,
    Caller,
    RequestRecord,
    Verdict,
    max_excess_requests,
)
from crocusspindle_standins.deployments import DEPLOYMENTS, ECHO, Deployment
from crocusspindle_standins.fleet import Fleet, sha256
from crocusspindle_standins.single_attempt import single_attempt_session

SEED: Final = 20261202
SHARES_OPEN_TIMEOUT_S: Final = 30.0
SHARES_FILL_S: Final = 2.0
"""Each customer's burst is two seconds of its rate."""
COMPARED_REQUESTS: Final = 200


@dataclass
class InjectedFaults:
    """Record which faults were injected and when.

    ``gray_unix_s`` is Unix time, ``withdrawn_s`` the monotonic clock.
    """

    gray_target: str = ""
    gray_unix_s: float = 0.0
    withdrawn_key: str = ""
    withdrawn_s: float = 0.0
    killed: str = ""


@dataclass
class LatencyComparison:
    """Hold latencies of the same request sent directly and through the fleet."""

    direct_ms: list[float] = field(default_factory=list)
    fleet_ms: list[float] = field(default_factory=list)

    def added_ms(self, percent: float) -> float:
        """Return the latency that the fleet adds at a percentile."""
        return _percentile(self.fleet_ms, percent) - _percentile(
            self.direct_ms, percent
        )


def _percentile(values_ms: Iterable[float], percent: float) -> float:
    histogram = HdrHistogram(1, 3_600_000_000, 3)
    for value_ms in values_ms:
        histogram.record_value(max(1, int(value_ms * 1e3)))
    return float(histogram.get_value_at_percentile(percent)) / 1e3


class Demo:
    """Run one demonstration from setup to report."""

    def __init__(self, deployment: Deployment, duration_s: float, fleet: Fleet) -> None:
        self.deployment = deployment
        self.duration_s = duration_s
        self.fleet = fleet
        self.injected_faults = InjectedFaults()
        self.callers: list[Caller] = []
        self.comparison = LatencyComparison()

    def print_line(self, text: str) -> None:
        """Print a line of progress."""
        print(text, flush=True)

    async def run(self) -> dict[str, Any]:
        """Run all steps and return the measured values."""
        await self._set_up()
        async with single_attempt_session(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await self._compare_latencies(session)
            await self._load(session)
        return await self._report()

    async def _set_up(self) -> None:
        fleet, deployment = self.fleet, self.deployment
        self.print_line(
            f"{len(fleet.nodes)} nodes in {deployment.layout.domains} failure domains, "
            f"{len(fleet.targets)} targets"
        )
        services = [group.service for group in deployment.layout.groups]
        number = await fleet.ticket(
            fleet.nodes[0],
            services={service: {"timeout_ms": 4000.0} for service in services},
            routes={f"/{service}/": {"service": service} for service in services},
        )
        number = await fleet.ticket(
            fleet.nodes[1],
            customers={
                plan.customer: {
                    "rate_per_s": plan.rate_per_s,
                    "burst": plan.burst,
                }
                for plan in deployment.customers
            }
            | {"observer": {"rate_per_s": 400.0, "burst": 400}},
            keys={
                sha256(plan.key): {"customer": plan.customer, "state": "active"}
                for plan in deployment.customers
            }
            | {sha256("observer-key"): {"customer": "observer", "state": "active"}},
        )
        approved = {"approved_by": "owner"}
        names = [plan.customer for plan in deployment.customers] + ["observer"]
        number = await fleet.ticket(
            fleet.nodes[2],
            "owner",
            approvals={service: dict.fromkeys(names, approved) for service in services},
        )
        await fleet.until_applied(number, fleet.nodes)
        self.print_line(f"tickets 1 to {number} are in force on every node")
        await self._until_shares_open()

    async def _until_shares_open(self) -> None:
        """Wait until every share is open and has had time to fill."""
        async with asyncio.timeout(SHARES_OPEN_TIMEOUT_S):
            for node in self.fleet.nodes:
                while (await self.fleet.status(node))["shares"]["waiting"]:
                    await asyncio.sleep(0.2)
        await asyncio.sleep(SHARES_FILL_S)

    async def _compare_latencies(self, session: aiohttp.ClientSession) -> None:
        """Send the same request alternately to a target and through the fleet."""
        target = next(
            candidate for candidate in self.fleet.targets if candidate.service == ECHO
        )
        direct = f"{target.url}/{ECHO}/x"
        headers = {"Authorization": "Bearer observer-key"}
        nodes = self.fleet.nodes
        for number in range(COMPARED_REQUESTS):
            through = f"{nodes[number % len(nodes)].caller_url}/{ECHO}/x"
            self.comparison.direct_ms.append(await _request_ms(session, direct, {}))
            self.comparison.fleet_ms.append(
                await _request_ms(session, through, headers)
            )
            await asyncio.sleep(0.002)

    async def _load(self, session: aiohttp.ClientSession) -> None:
        initial = tuple(f"127.0.0.1:{node.caller_port}" for node in self.fleet.nodes)
        rng = random.Random(SEED)
        for plan in self.deployment.customers:
            shuffled = list(initial)
            rng.shuffle(shuffled)
            self.callers.append(
                Caller(
                    plan,
                    session,
                    Addresses(tuple(shuffled)),
                    random.Random(rng.random()),
                )
            )
        until_s = time.monotonic() + self.duration_s
        injection = asyncio.create_task(self._inject_faults())
        await asyncio.gather(*(caller.run(until_s) for caller in self.callers))
        await injection

    async def _inject_faults(self) -> None:
        step_s = self.duration_s / 5
        await asyncio.sleep(step_s)
        await self._withdraw_key()
        await asyncio.sleep(step_s)
        self._kill_node()
        await asyncio.sleep(step_s / 2)
        await self._make_target_gray()

    async def _withdraw_key(self) -> None:
        plan = self.deployment.customers[1]
        await self.fleet.ticket(
            self.fleet.nodes[0],
            keys={sha256(plan.key): {"customer": plan.customer, "state": "withdrawn"}},
        )
        self.injected_faults.withdrawn_key = plan.key
        self.injected_faults.withdrawn_s = time.monotonic()
        self.print_line(f"the key of {plan.customer} is withdrawn")

    def _kill_node(self) -> None:
        node = self.fleet.nodes[-1]
        self.fleet.kill(node)
        self.injected_faults.killed = node.name
        self.print_line(f"{node.name} is killed")

    async def _make_target_gray(self) -> None:
        service = self.deployment.gray_service
        target = next(
            candidate
            for candidate in self.fleet.targets
            if candidate.service == service
        )
        await self.fleet.target_fault(target, fail_fraction=0.3)
        self.injected_faults.gray_target = target.name
        self.injected_faults.gray_unix_s = time.time()
        self.print_line(
            f"{target.name} of {service} fails 30 % of its work; health checks pass"
        )

    async def _report(self) -> dict[str, Any]:
        records = [one for caller in self.callers for one in caller.records]
        verdicts = Counter(one.verdict for one in records)
        execution_reports = await self.fleet.executions()
        ran = Counter[str]()
        operations = Counter[str]()
        for one in execution_reports:
            ran.update(one["requests"])
            operations.update(one["operations"])
        refused_but_ran = [
            one
            for one in records
            if one.verdict in (Verdict.REFUSED, Verdict.OVER_RATE) and ran[one.request]
        ]
        keys_seen = sum(one["keys_seen"] for one in execution_reports)
        detected_ms, false_ejections = self._ejections()
        latencies = [r.latency_ms for r in records if r.verdict is Verdict.ANSWERED]
        for one in records:
            if one.verdict is Verdict.WRONG:
                self.print_line(f"wrong: {one}")
        for one in refused_but_ran:
            self.print_line(f"refused as not run, but ran: {one}")
        refusals = Counter(r.reason for r in records if r.verdict is Verdict.REFUSED)
        self.print_line(f"refusals by reason: {dict(refusals)}")
        lost = Counter(r.reason for r in records if r.verdict is Verdict.NO_ANSWER)
        self.print_line(f"requests without a response: {dict(lost)}")
        self.print_line(
            f"killed node: {self.injected_faults.killed}; p50 direct "
            f"{statistics.median(self.comparison.direct_ms):.2f} ms, through the "
            f"fleet {statistics.median(self.comparison.fleet_ms):.2f} ms; p99 added "
            f"by both hops {self.comparison.added_ms(99):.2f} ms"
        )
        return {
            "requests": len(records),
            "answered": verdicts[Verdict.ANSWERED],
            "wrong": verdicts[Verdict.WRONG] + len(refused_but_ran) + keys_seen,
            "refused_within_rate": self._count_refused_within_rate(records),
            "refused_over_rate": self._count_refused_over_rate(records),
            "refused_key": sum(r.reason == "key" for r in records),
            "refused_load": sum(
                r.verdict is Verdict.REFUSED and r.reason != "key" for r in records
            ),
            "unknown": verdicts[Verdict.UNKNOWN] + verdicts[Verdict.NO_ANSWER],
            "ran_twice": sum(count > 1 for count in operations.values()),
            "over_rate": self._count_customers_over_rate(ran),
            "key_withdrawn_to_last_served_ms": self._last_served_after_withdrawal_ms(
                records
            ),
            "gray_detected_ms": detected_ms,
            "false_ejections": false_ejections,
            "p50_ms": round(_percentile(latencies, 50), 2),
            "p99_ms": round(_percentile(latencies, 99), 2),
            "added_p50_ms": round(self.comparison.added_ms(50), 2),
            "added_p99_ms": round(self.comparison.added_ms(99), 2),
            "worst_customer_answered": self._worst_customer(),
        }

    def _callers_within_rate(self) -> list[Caller]:
        return [
            caller
            for caller in self.callers
            if caller.plan.sends_per_s <= caller.plan.rate_per_s
            and caller.plan.key != self.injected_faults.withdrawn_key
        ]

    def _worst_customer(self) -> float:
        """Return the lowest answered fraction of any customer within its rate."""
        return round(
            min(
                sum(r.verdict is Verdict.ANSWERED for r in caller.records)
                / max(1, len(caller.records))
                for caller in self._callers_within_rate()
            ),
            4,
        )

    def _count_refused_within_rate(self, records: Sequence[RequestRecord]) -> int:
        names = {caller.plan.customer for caller in self._callers_within_rate()}
        return sum(
            r.verdict is Verdict.OVER_RATE and r.customer in names for r in records
        )

    def _count_refused_over_rate(self, records: Sequence[RequestRecord]) -> int:
        refused = sum(r.verdict is Verdict.OVER_RATE for r in records)
        return refused - self._count_refused_within_rate(records)

    def _count_customers_over_rate(self, executed: Collection[str]) -> int:
        """Return how many customers exceeded their burst and rate in some window."""
        return sum(
            max_excess_requests(
                caller.records, executed, caller.plan.rate_per_s, caller.plan.burst
            )
            >= 1.0
            for caller in self.callers
        )

    def _last_served_after_withdrawal_ms(
        self, records: Sequence[RequestRecord]
    ) -> float:
        """Return how long after its withdrawal a key's last served request was sent."""
        served = [
            record.sent_s
            for record in records
            if record.key == self.injected_faults.withdrawn_key
            and record.verdict is Verdict.ANSWERED
        ]
        elapsed_s = max(served, default=0.0) - self.injected_faults.withdrawn_s
        return round(max(0.0, elapsed_s) * 1e3, 1)

    def _ejections(self) -> tuple[float | None, int]:
        """Return the time to eject the gray target and the count of false ejections."""
        detected_ms: float | None = None
        false_ejections = 0
        for node in self.fleet.nodes:
            log = self.fleet.folder / f"{node.name}.log"
            for line in log.read_text().splitlines():
                entry = json.loads(line) if line.startswith("{") else {}
                if entry.get("message") != "Ejected":
                    continue
                at_unix_s = datetime.fromisoformat(entry["time"]).timestamp()
                gray = entry["target"] == self.injected_faults.gray_target
                if gray and at_unix_s >= self.injected_faults.gray_unix_s:
                    elapsed_ms = (at_unix_s - self.injected_faults.gray_unix_s) * 1e3
                    detected_ms = min(detected_ms or elapsed_ms, elapsed_ms)
                else:
                    false_ejections += 1
        return detected_ms and round(detected_ms, 1), false_ejections


async def _request_ms(
    session: aiohttp.ClientSession, url: str, headers: dict[str, str]
) -> float:
    started_s = time.perf_counter()
    async with session.get(url, headers=headers) as response:
        await response.read()
        response.raise_for_status()
    return (time.perf_counter() - started_s) * 1e3


async def _main(
    deployment: Deployment, duration_s: float, folder: Path
) -> dict[str, Any]:
    async with Fleet(deployment.layout, folder) as fleet:
        return await Demo(deployment, duration_s, fleet).run()


def main(
    duration_s: float = 20.0, deployment: str = "small", logs: str | None = None
) -> None:
    """Run the demonstration; exit with status 1 if a guarantee was violated.

    Parameters
    ----------
    duration_s
        How long the callers send requests.
    deployment
        ``small``, ``bengkel`` or ``port-louis``.
    logs
        Folder in which the processes' logs are kept; without it they are removed.
    """
    if deployment not in DEPLOYMENTS:
        names = ", ".join(DEPLOYMENTS)
        print(f"deployment {deployment!r} must be one of {names}", file=sys.stderr)
        sys.exit(2)
    print(f"seed {SEED}", flush=True)
    folder = Path(logs or tempfile.mkdtemp(prefix="crocusspindle-"))
    folder.mkdir(parents=True, exist_ok=True)
    try:
        measured = asyncio.run(_main(DEPLOYMENTS[deployment](), duration_s, folder))
    finally:
        if logs is None:
            shutil.rmtree(folder, ignore_errors=True)
    print(json.dumps(measured))
    violated = [name for name in ("wrong", "ran_twice", "over_rate") if measured[name]]
    sys.exit(1 if violated else 0)


if __name__ == "__main__":
    fire.Fire(main)
