"""Start whole fleets in virtual time, and measure the cost of their membership.

Each node runs the real services that keep its fleet state fresh. Links have a limited
bandwidth; processor time is not simulated. Each row is one fleet: ten seconds from its
start, then ten seconds idle.
"""

import asyncio
import math
from dataclasses import dataclass
from pathlib import Path
from typing import Final
from unittest.mock import patch

import fire
import logbook

from benchmarks.result_table import write_table
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

LARGE: Final = HostSize(200.0, 2.15)
SMALL: Final = HostSize(20.0, 0.43)
# Numbers of large and small hosts.
FLEETS: Final = ((0, 30), (0, 133), (8, 125), (0, 300), (18, 275), (36, 564))
TARGETS: Final = 600
PHASE_S: Final = 10.0
POLL_INTERVAL_S: Final = 0.25
SEED: Final = 1
RESULTS_PATH: Final = Path("benchmarks/results/fleet-start.csv")


@dataclass(frozen=True)
class Row:
    """Hold the cost of one fleet.

    ``known_s`` is the time from the start until all hosts had the configuration, the
    targets and the view; ``views`` is the highest version of the view in force after
    the start phase. ``start_`` columns cover the start phase, ``rest_`` columns the
    idle phase. ``busiest_kb`` is what the link with most traffic sent in the start
    phase.
    """

    hosts: int
    large: int
    known_s: float
    views: int
    start_calls: int
    start_datagrams_a_host: float
    start_mb: float
    busiest_kb: float
    rest_calls_s: float
    rest_datagrams_a_host_s: float
    rest_bytes_a_host_s: float


def _all_lists_known(fleet: VirtualFleet) -> bool:
    return all(
        node.fleet_state.configuration.content is not None
        and node.fleet_state.targets.content is not None
        and node.fleet_state.view.content is not None
        for node in fleet.nodes.values()
    )


async def _play(loop: VirtualLoop, large: int, small: int) -> Row:
    fleet = VirtualFleet(loop, [LARGE] * large + [SMALL] * small, TARGETS, SEED)
    began_s = loop.time()
    await fleet.start_all()
    known_s = math.inf
    while loop.time() < began_s + PHASE_S:
        if known_s == math.inf and _all_lists_known(fleet):
            known_s = loop.time() - began_s
        await asyncio.sleep(POLL_INTERVAL_S)
    hosts = large + small
    calls, sent_datagrams = fleet.store.calls.total(), fleet.sent_datagrams()
    sent_bytes = fleet.sent_bytes()
    busiest = max(link.sent_bytes for link in fleet.network.links.values())
    await asyncio.sleep(PHASE_S)
    return Row(
        hosts,
        large,
        known_s,
        max(fleet.views()),
        calls,
        sent_datagrams / hosts,
        sent_bytes / 1e6,
        busiest / 1e3,
        (fleet.store.calls.total() - calls) / PHASE_S,
        (fleet.sent_datagrams() - sent_datagrams) / hosts / PHASE_S,
        (fleet.sent_bytes() - sent_bytes) / hosts / PHASE_S,
    )


def measure(large: int, small: int) -> Row:
    """Return the cost of one fleet."""
    loop = VirtualLoop()
    rows: list[Row] = []

    async def play_fleet() -> None:
        rows.append(await _play(loop, large, small))

    with (
        patch("crocusspindle.clock.time", VirtualTime(loop)),
        logbook.NullHandler().applicationbound(),
    ):
        run(loop, play_fleet())
    return rows[0]


def main() -> None:
    """Run all fleets and write the table."""
    write_table(Row, [measure(large, small) for large, small in FLEETS], RESULTS_PATH)


if __name__ == "__main__":
    fire.Fire(main)
