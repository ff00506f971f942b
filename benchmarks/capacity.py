"""Measure how a node's control costs grow, for docs/CAPACITY.md.

There are two kinds of points: whole fleets of real processes without traffic, and the
deciding code of one node with input up to the design size. Points are printed and
written as CSV, and plotted.
"""

import asyncio
import csv
import os
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

import matplotlib

from benchmarks.directory import in_fresh_process
from crocusspindle.core.eligibility import Eligibility
from crocusspindle.core.groups import partition_targets
from crocusspindle.core.members import (
    Membership,
    MemberView,
    ViewMember,
    decode_view,
    encode_view,
)
from crocusspindle.core.rendezvous import order
from crocusspindle.ids import DomainId, MemberId, ServiceId, TargetId, ViewNumber
from crocusspindle_standins.fleet import Fleet, Layout, Node, TargetGroup
from crocusspindle_standins.processes import get_json

matplotlib.use("Agg")

from matplotlib import pyplot

RESULTS_DIR: Final = Path(__file__).parent / "results"
FIGURES_DIR: Final = Path(__file__).resolve().parents[1] / "docs" / "figures"
NODE_COUNTS: Final = (3, 6, 12, 24, 40, 60)
MEMBER_COUNTS: Final = (10, 40, 100, 400, 1_000, 2_000, 5_400)
TARGET_COUNTS: Final = (100, 1_000, 10_000, 51_000)
DOMAINS: Final = 18
KEYS: Final = 500
IDLE_S: Final = 10.0
TICKETS: Final = 5
CLOCK_TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")
PAGE_BYTES: Final = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class FleetPoint:
    """Hold the cost of one idle fleet.

    Processor time and bytes are means per node, ``rss_mb`` is the node with most
    memory, platform reads and writes are those of the whole fleet.
    ``peer_bytes_per_s`` counts heartbeats and echoes, ``ticket_in_force_ms`` is the
    longest time until a ticket is in force on all nodes, ``agreed_s`` the time from the
    start of the fleet until its nodes share a view.
    """

    nodes: int
    core_percent: float
    rss_mb: float
    peer_bytes_per_s: float
    platform_reads_per_s: float
    platform_writes_per_s: float
    ticket_in_force_ms: float
    agreed_s: float


@dataclass(frozen=True)
class MemberPoint:
    """Hold the cost to one node of a view of this many members.

    ``adopt_ms`` includes decoding the view; ``echo_us`` is the time per recorded echo.
    ``fitness_ms`` is the time to evaluate the node's eligibility, ``order_ms`` that
    of one rendezvous order. ``moved_fraction`` is the fraction of services whose first
    member changes if one member leaves.
    """

    members: int
    view_bytes: int
    adopt_ms: float
    echo_us: float
    fitness_ms: float
    order_ms: float
    moved_fraction: float


@dataclass(frozen=True)
class TargetPoint:
    """Hold the cost to one node of a host list of this many targets.

    ``cut_ms`` is the time to partition the targets of all services into groups,
    ``list_bytes`` an estimate of the size of the list.
    """

    targets: int
    cut_ms: float
    list_bytes: int


def _processor_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def _rss_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def _pids(nodes: Iterable[Node]) -> list[int]:
    return [node.running.process.pid for node in nodes if node.running is not None]


async def _sent_heartbeat_bytes(fleet: Fleet) -> float:
    """Return the bytes of heartbeats and echoes that all nodes sent, by metric."""
    total = 0.0
    for node in fleet.nodes:
        url = f"http://127.0.0.1:{node.metrics_port}/metrics"
        async with fleet.session.get(url) as response:
            for line in (await response.text()).splitlines():
                if line.startswith("crocusspindle_heartbeat_bytes"):
                    total += float(line.rpartition(" ")[2])
    return total


async def _platform_calls(fleet: Fleet) -> dict[str, int]:
    control_state = await get_json(fleet.session, f"{fleet.platform_url}/control")
    return dict(control_state["calls"])


async def _ticket_ms(fleet: Fleet, number: int) -> float:
    """Return the time from submitting a ticket until it is in force on all nodes."""
    began_s = time.perf_counter()
    customer = {"rate_per_s": 1.0, "burst": 2}
    ticket = await fleet.ticket(
        fleet.nodes[0], customers={f"customer-{number}": customer}
    )
    await fleet.until_applied(ticket, fleet.nodes)
    return (time.perf_counter() - began_s) * 1e3


async def measure_fleet(nodes: int) -> FleetPoint:
    """Return the cost of an idle fleet of this many processes."""
    layout = Layout(nodes, min(nodes, 4), (TargetGroup("desk", 2, 2, 5.0),))
    began_s = time.perf_counter()
    async with Fleet.temporary(layout) as fleet:
        agreed_s = time.perf_counter() - began_s
        await asyncio.sleep(5)
        pids = _pids(fleet.nodes)
        before = [_processor_s(pid) for pid in pids]
        calls, sent_bytes = (
            await _platform_calls(fleet),
            await _sent_heartbeat_bytes(fleet),
        )
        idle_began_s = time.perf_counter()
        await asyncio.sleep(IDLE_S)
        elapsed_s = time.perf_counter() - idle_began_s
        after = [_processor_s(pid) for pid in pids]
        calls_after, sent_bytes_after = (
            await _platform_calls(fleet),
            await _sent_heartbeat_bytes(fleet),
        )
        delays_ms = [await _ticket_ms(fleet, number) for number in range(TICKETS)]
        processor_s = sum(after) - sum(before)
        return FleetPoint(
            nodes=nodes,
            core_percent=round(100 * processor_s / elapsed_s / nodes, 2),
            rss_mb=round(max(_rss_mb(pid) for pid in pids), 1),
            peer_bytes_per_s=round((sent_bytes_after - sent_bytes) / elapsed_s / nodes),
            platform_reads_per_s=round(
                (calls_after.get("read", 0) - calls.get("read", 0)) / elapsed_s, 1
            ),
            platform_writes_per_s=round(
                (calls_after.get("write", 0) - calls.get("write", 0)) / elapsed_s, 2
            ),
            ticket_in_force_ms=round(max(delays_ms)),
            agreed_s=round(agreed_s, 1),
        )


def _member(number: int) -> ViewMember:
    return ViewMember(
        member=MemberId(f"node-{number:04d}-0a1b2c3d"),
        domain=DomainId(f"domain-{number % DOMAINS}"),
        region=f"region-{number % 5}",
        caller_address=f"10.0.{number // 250}.{number % 250}:8080",
        peer_address=f"10.0.{number // 250}.{number % 250}:8081",
        joined_unix_ms=1_700_000_000_000 + number,
    )


def _min_duration_ms(work: Callable[[], object], runs: int = 5) -> float:
    """Return the shortest time of several runs; noise of the machine only adds."""
    times = []
    for _ in range(runs):
        began_s = time.perf_counter()
        work()
        times.append(time.perf_counter() - began_s)
    return min(times) * 1e3


def measure_members(count: int) -> MemberPoint:
    """Return the cost to one node of a view of this many members."""
    members = tuple(_member(number) for number in range(count))
    view = MemberView(ViewNumber(1), members)
    encoded = encode_view(view)
    names = view.names

    def adopt() -> None:
        Membership(members[0]).adopt(decode_view(encoded), 0.0)

    node_eligibility = Eligibility(names[0])
    node_eligibility.adopt(view, 0.0)
    node_eligibility.record_read(0.0)

    def echo_all() -> None:
        for name in names[1:]:
            node_eligibility.record_echo(name, view.number, 1.0)

    clock_ms = iter(range(1_000, 1_000_000, 1_000))
    keys = [f"service-{number}".encode() for number in range(KEYS)]
    before = {key: order(key, names)[0] for key in keys}
    after = {key: order(key, names[1:])[0] for key in keys}
    moved = sum(before[key] != after[key] for key in keys) / len(keys)
    return MemberPoint(
        members=count,
        view_bytes=len(encoded),
        adopt_ms=round(_min_duration_ms(adopt), 3),
        echo_us=round(_min_duration_ms(echo_all) * 1e3 / max(1, count - 1), 2),
        fitness_ms=round(
            _min_duration_ms(
                lambda: node_eligibility.contact_until_ms(float(next(clock_ms)))
            ),
            3,
        ),
        order_ms=round(_min_duration_ms(lambda: order(b"service", names)), 3),
        moved_fraction=round(moved, 5),
    )


def measure_targets(count: int) -> TargetPoint:
    """Return the cost to one node of a host list of this many targets."""
    services = max(1, count // 25)
    lists: dict[ServiceId, list[TargetId]] = {}
    for number in range(count):
        service = ServiceId(f"service-{number % services}")
        target = TargetId(f"10.1.{number // 250}.{number % 250}:8080")
        lists.setdefault(service, []).append(target)

    def partition_all() -> None:
        for service, targets in lists.items():
            partition_targets(service, targets)

    size = sum(len(target) + 40 for targets in lists.values() for target in targets)
    return TargetPoint(count, round(_min_duration_ms(partition_all, 3), 2), size)


def _write(name: str, points: Sequence[Any]) -> None:
    RESULTS_DIR.mkdir(exist_ok=True)
    rows = [asdict(point) for point in points]
    with (RESULTS_DIR / f"capacity-{name}.csv").open("w", newline="") as file:
        writer = csv.DictWriter(file, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows(rows)


def _print(point: Any) -> None:
    fields = ", ".join(f"{name} {value}" for name, value in asdict(point).items())
    print(f"{type(point).__name__}: {fields}", flush=True)


def _plot(fleets: Sequence[FleetPoint], members: Sequence[MemberPoint]) -> None:
    figure, axes = pyplot.subplots(2, 3, figsize=(13, 7))
    nodes = [point.nodes for point in fleets]
    panels = (
        ("core_percent", "% of a core for control, idle", 3.4),
        ("peer_bytes_per_s", "bytes/s to peers", 20_000),
        ("ticket_in_force_ms", "ticket in force, ms", 17_000),
        ("platform_reads_per_s", "platform reads/s, fleet", 2_000),
    )
    for axis, (name, title, limit) in zip(axes.flat, panels, strict=False):
        axis.plot(nodes, [getattr(point, name) for point in fleets], "o-")
        axis.axhline(limit, color="tab:red", linestyle="--", linewidth=1)
        axis.set_title(title)
        axis.set_xlabel("nodes, real processes")
        axis.set_yscale("log")
    sizes = [point.members for point in members]
    for axis, name in zip(axes.flat[4:], ("view_bytes", "adopt_ms"), strict=True):
        axis.plot(sizes, [getattr(point, name) for point in members], "o-")
        axis.set_title(name)
        axis.set_xlabel("members of a view, core alone")
        axis.set_xscale("log")
        axis.set_yscale("log")
    figure.tight_layout()
    FIGURES_DIR.mkdir(exist_ok=True)
    figure.savefig(FIGURES_DIR / "capacity.png", dpi=90, metadata={"Software": None})


def main(largest: int = 60, directory: bool = True) -> None:
    """Measure all costs in ``docs/CAPACITY.md``.

    Parameters
    ----------
    largest
        Number of nodes of the largest fleet of real processes.
    directory
        Whether to also measure memory by number of customers, in fresh processes.
    """
    members = [measure_members(count) for count in MEMBER_COUNTS]
    for point in members:
        _print(point)
    _write("members", members)
    targets = [measure_targets(count) for count in TARGET_COUNTS]
    for target_point in targets:
        _print(target_point)
    _write("targets", targets)
    fleets = []
    for nodes in NODE_COUNTS:
        if nodes <= largest:
            fleets.append(asyncio.run(measure_fleet(nodes)))
            _print(fleets[-1])
            _write("fleets", fleets)
    _plot(fleets, members)
    if directory:
        for customers in (1_000, 10_000, 100_000, 520_000):
            figures = in_fresh_process("--count", str(customers))
            print(f"directory of {customers} customers: {figures}", flush=True)
