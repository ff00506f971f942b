"""Measure the loads of docs/design/hard-load.md on real processes.

Each load runs for 12 s on a new fleet of six gateways and six targets. Arrivals are
seeded, but the machine's noise affects all figures: ``lag_p99_ms`` shows how late the
load generator was, which shares the machine.
"""

import asyncio
import csv
import json
import logging
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any, Final

import fire

from benchmarks.hard_load_callers import (
    Arrival,
    Callers,
    Load,
    Outcome,
    RoutePlan,
    Stream,
    arrivals,
    key_of,
    peak_rss_mb,
)
from benchmarks.result_table import table_text
from benchmarks.virtual import quantile
from crocusspindle_standins.on_platform.fleet import HOST, OK, Fleet
from crocusspindle_standins.on_platform.target import PlatformTarget

GATEWAYS: Final = 6
TARGETS: Final = 6
LASTS_S: Final = 12.0
WARM_UP_S: Final = 1.0
WARM_UP_RATE_PER_S: Final = 30.0
SETTLE_TIMEOUT_S: Final = 10.0
MAX_LAG_MS: Final = 50.0
"""Rows with a later load generator tell of the machine, not of the fleet."""

SEED: Final = 3
"""With this seed, the second gateway killed is the placer of the service."""

RESULTS_PATH: Final = Path("benchmarks/results/hard-load.csv")
BOUNDS_PATH: Final = Path(__file__).parent / "bounds" / "hard-load.json"

WARM: Final = "warm"
SMALL: Final = tuple(f"small-{number}" for number in range(10))
SMALL_STREAMS: Final = tuple(Stream("small", customer, 4.0) for customer in SMALL)
LARGE_STREAM: Final = Stream("large", "large", 1.7 * 120.0)
GENEROUS: Final = (500.0, 500.0)
SMALL_QUOTAS: Final = dict.fromkeys(SMALL, (12.0, 24.0))
LARGE_QUOTA: Final = {"large": (220.0, 220.0)}
# With these quotas, shares in proportion to them are below what a small customer sends.
TIGHT_QUOTAS: Final = dict.fromkeys(SMALL, (5.0, 20.0))

BESIDE_LARGE: Final = Load(
    "beside one large", (*SMALL_STREAMS, LARGE_STREAM), SMALL_QUOTAS | LARGE_QUOTA
)
LOADS: Final = (
    Load("small alone", SMALL_STREAMS, SMALL_QUOTAS),
    BESIDE_LARGE,
    replace(
        BESIDE_LARGE,
        name="beside one large, tight quotas",
        quotas=TIGHT_QUOTAS | LARGE_QUOTA,
    ),
    replace(BESIDE_LARGE, name="beside one large, hosts killed", kill_interval_s=3.0),
    Load(
        "five times the quota",
        (
            Stream("urgent", "busy", 15.0, "urgent"),
            Stream("loose", "busy", 85.0, "loose"),
        ),
        {"busy": (20.0, 20.0)},
        {
            "urgent": RoutePlan(priority=0),
            "loose": RoutePlan(priority=2, objective_s=3.0, deadline_s=5.0),
        },
    ),
    Load(
        "two priorities",
        (
            Stream("priority 1", "one", 60.0, "first"),
            Stream("priority 2", "one", 130.0, "second"),
        ),
        {"one": GENEROUS},
        {"first": RoutePlan(priority=1), "second": RoutePlan(priority=2)},
    ),
    Load(
        # Three slots of three targets at 60 ms and of three at 240 ms carry 187.5/s.
        "targets of 60 and 240 ms",
        (Stream("all", "one", 0.8 * 187.5),),
        {"one": GENEROUS},
        work_s=(0.06, 0.24),
        slots=3,
    ),
    Load(
        # With three of four slots at 100 ms, six targets carry 180/s.
        "slows when full",
        (Stream("all", "one", 0.85 * 180.0),),
        {"one": GENEROUS},
        work_s=(0.1,),
        full_slowdown=3.0,
    ),
    Load(
        "beside slow readers",
        SMALL_STREAMS,
        SMALL_QUOTAS | {"reader": GENEROUS},
        {
            "pages": RoutePlan(),
            "large": RoutePlan(priority=2, objective_s=3.0, deadline_s=60.0),
        },
        slow_readers=90,
    ),
)


@dataclass(frozen=True)
class Row:
    """Hold the figures of a group of callers in one load.

    ``on_time`` is the share of requests served within the objective, ``worst_on_time``
    that of the customer with the lowest, ``served`` the share served at all; ``late``
    counts those served after the objective. ``not_served`` counts the others by status
    and reason; 0 is a connection that ended, -1 the caller's timeout. ``peak_rss_mb``
    is of the largest gateway process in the load.
    """

    commit: str
    load: str
    group: str
    requests: int
    on_time: float
    worst_on_time: float
    served: float
    late: int
    not_served: str
    lag_p99_ms: float
    peak_rss_mb: float


def configuration(load: Load, version: int) -> dict[str, Any]:
    """Return the configuration of a load in the platform's format."""
    quotas = {**load.quotas, WARM: GENEROUS}
    return {
        "version": f"{version:08x}",
        "routes": {
            name: {
                "host": HOST,
                "prefix": f"/{name}/",
                "kind": "safe",
                "service": "books",
                "attempts": 2,
                "timeout_s": route.deadline_s,
                "target_latency_s": route.objective_s,
                "priority": route.priority,
            }
            for name, route in load.routes.items()
        },
        "limits": {"body_bytes": 3_000_000, "idle_timeout_s": 60},
        "tenants": {
            customer: {"api_keys": [key_of(customer)], "per_s": rate, "burst": burst}
            for customer, (rate, burst) in quotas.items()
        },
    }


def rows_of(
    commit: str, load: str, outcomes: Iterable[Outcome], rss_mb: float
) -> list[Row]:
    """Return one row for each group of callers."""
    by_group: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_group.setdefault(outcome.group, []).append(outcome)
    return [
        _row(commit, load, group, by_group[group], rss_mb) for group in sorted(by_group)
    ]


def _row(
    commit: str, load: str, group: str, outcomes: Sequence[Outcome], rss_mb: float
) -> Row:
    by_customer: dict[str, list[Outcome]] = {}
    for outcome in outcomes:
        by_customer.setdefault(outcome.customer, []).append(outcome)
    served = [outcome for outcome in outcomes if outcome.status == OK]
    not_served = Counter(
        f"{outcome.status} {outcome.reason}"
        for outcome in outcomes
        if outcome.status != OK
    )
    return Row(
        commit,
        load,
        group,
        len(outcomes),
        _on_time(outcomes),
        min(map(_on_time, by_customer.values())),
        len(served) / len(outcomes),
        sum(not outcome.is_on_time for outcome in served),
        "; ".join(f"{name}: {count}" for name, count in sorted(not_served.items())),
        quantile((outcome.lag_s * 1e3 for outcome in outcomes), 0.99),
        rss_mb,
    )


def _on_time(outcomes: Sequence[Outcome]) -> float:
    return sum(outcome.is_on_time for outcome in outcomes) / len(outcomes)


def missed_bounds(
    rows: Iterable[Row], bounds: Mapping[str, Mapping[str, float]]
) -> list[str]:
    """Return a line for each bound that is missed or not measured."""
    on_time = {}
    findings = []
    for row in rows:
        on_time[row.load, row.group] = row.on_time
        if row.lag_p99_ms > MAX_LAG_MS:
            lag = f"the load generator was {row.lag_p99_ms:.0f} ms late"
            findings.append(f"{row.load}, {row.group}: {lag}, play again")
    for load, groups in bounds.items():
        for group, bound in groups.items():
            share = on_time.get((load, group))
            if share is None:
                findings.append(f"{load}, {group}: not measured")
            elif share < bound:
                findings.append(f"{load}, {group}: {share:.3f} on time, not {bound}")
    return findings


def _make_target(load: Load, identity: str, service: str, zone: str) -> PlatformTarget:
    number = int(identity.removeprefix("t"))
    return PlatformTarget(
        identity,
        service,
        zone,
        slots=load.slots,
        work_s=load.work_s[number % len(load.work_s)],
        full_slowdown=load.full_slowdown,
        limits_runs=True,
    )


async def _until_configured(fleet: Fleet, load: Load) -> None:
    route = next(iter(load.routes))
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        for number in range(GATEWAYS):
            while (await fleet.call(f"/{route}/", gateway=number, key=key_of(WARM)))[
                0
            ] != OK:
                await asyncio.sleep(0.1)


def _warm_up(load: Load) -> list[Arrival]:
    """Return requests on all routes, from which the fleet learns their latencies."""
    rate_per_s = WARM_UP_RATE_PER_S / len(load.routes)
    streams = tuple(Stream(WARM, WARM, rate_per_s, route) for route in load.routes)
    return arrivals(replace(load, streams=streams), WARM_UP_S, seed=0)


async def _play(load: Load, seed: int, commit: str, folder: Path) -> list[Row]:
    fleet = Fleet(folder, make_target=partial(_make_target, load))
    try:
        await fleet.start(GATEWAYS, TARGETS)
        await fleet.configure(configuration(load, version=2))
        await _until_configured(fleet, load)
        calm = replace(load, kill_interval_s=0.0, slow_readers=0)
        await Callers(fleet, calm, seed).play(_warm_up(load), WARM_UP_S)
        callers = Callers(fleet, load, seed)
        await callers.play(arrivals(load, LASTS_S, seed), LASTS_S)
        return rows_of(commit, load.name, callers.outcomes, peak_rss_mb(fleet))
    finally:
        await fleet.stop()


def measure(load: Load, seed: int, commit: str, folder: Path) -> list[Row]:
    """Play one load on a fleet of its own; its logs go to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    return asyncio.run(_play(load, seed, commit, folder))


def _commit() -> str:
    command = ["git", "describe", "--always", "--dirty"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    return run.stdout.strip() or "unknown"


def _kept_lines(commit: str) -> list[str]:
    """Return the lines of the table that belong to other commits."""
    if not RESULTS_PATH.exists():
        return []
    lines = RESULTS_PATH.read_text().splitlines(keepends=True)[1:]
    return [line for line in lines if next(csv.reader([line]))[0] != commit]


def main(
    check: bool = False,
    only: str = "",
    seed: int = SEED,
    append: bool = False,
    folder: str = "",
) -> None:
    """Play all loads and write the table, or compare a run with the bounds.

    Parameters
    ----------
    check
        Play only the loads with bounds; exit with 1 if one is missed. Writes no table.
    only
        Play only the loads whose name contains this text. Writes no table.
    append
        Keep the rows of other commits in the table.
    folder
        Folder for the logs of the gateways; a temporary one by default.
    """
    # A killed gateway breaks its connections to targets; aiohttp would log each.
    logging.disable(logging.ERROR)
    bounds = json.loads(BOUNDS_PATH.read_text())
    loads = [load for load in LOADS if only in load.name]
    if check:
        loads = [load for load in loads if load.name in bounds]
    commit = _commit()
    rows: list[Row] = []
    with tempfile.TemporaryDirectory() as temporary:
        for number, load in enumerate(loads):
            logs = Path(folder or temporary) / f"load-{number}"
            measured = measure(load, seed, commit, logs)
            print(table_text(Row, measured), flush=True)
            rows += measured
    if check:
        checked = {name: groups for name, groups in bounds.items() if only in name}
        sys.exit("\n".join(missed_bounds(rows, checked)) or None)
    if not only:
        header, *lines = table_text(Row, rows).splitlines(keepends=True)
        kept_lines = _kept_lines(commit) if append else []
        RESULTS_PATH.write_text("".join([header, *kept_lines, *lines]))


if __name__ == "__main__":
    fire.Fire(main)
