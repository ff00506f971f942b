"""Compare ways to choose the hosts of discovery answers, on the same seeds.

Run ``python -m benchmarks.callers``; all time is virtual and every run is seeded.
"""

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import fire

from benchmarks.caller_simulation import (
    CallerSimulation,
    Choose,
    Host,
    by_caller,
    by_draw,
)
from benchmarks.result_table import write_table
from crocusspindle.core.host_choice import MAX_ADDRESSES, HostChoice

RESULTS_PATH: Final = Path(__file__).parent / "results" / "callers.csv"
SEEDS: Final = (1, 2, 3)
WARM_UP_S: Final = 30.0
RUN_S: Final = 60.0
SIZES: Final = (
    *(Host(f"s{number:02}", "a", 43.0) for number in range(19)),
    *(Host(f"z{number}", "a", 215.0) for number in range(2)),
)
THREE_DOMAINS: Final = tuple(
    Host(f"{domain}{number:02}", domain, 30.0)
    for domain in "abc"
    for number in range(21)
)
DOMAIN_CAPACITY: Final = 21 * 30.0
SIZES_CAPACITY: Final = 19 * 43.0 + 2 * 215.0

Demand = Callable[[str, float], float]


@dataclass(frozen=True)
class Row:
    """Hold the results of one way in one scenario, as means over the seeds."""

    scenario: str
    way: str
    excess: float
    moved_per_connection_min: float
    abroad: float
    changed_answers: float


def all_in_text_order(
    choice: HostChoice, domain: str, ip: str, rng: random.Random
) -> list[str]:
    """Choose the first addresses of the domain, whatever the load."""
    return choice.in_domain(domain)[:MAX_ADDRESSES]


WAYS: Final[dict[str, Choose]] = {
    "text order": all_in_text_order,
    "draw": by_draw,
    "rendezvous": by_caller,
}


def _constant(level: float, capacity: float) -> Demand:
    return lambda domain, now_s: level * capacity


def _wave(period_s: float, apart_s: float, swing: float) -> Demand:
    def demand(domain: str, now_s: float) -> float:
        phase = 2 * math.pi * (now_s - "abc".index(domain) * apart_s) / period_s
        return DOMAIN_CAPACITY * (0.55 + swing * math.sin(phase))

    return demand


def _one_domain_above(domain: str, now_s: float) -> float:
    return DOMAIN_CAPACITY * (1.2 if domain == "a" else 0.45)


def _scenarios() -> Iterator[tuple[str, tuple[Host, ...], dict[str, int], Demand]]:
    for level in (0.6, 0.8, 0.95):
        demand = _constant(level, SIZES_CAPACITY)
        yield f"19 small and 2 large at {level}", SIZES, {"a": 500}, demand
    callers = dict.fromkeys("abc", 170)
    for name, demand in (
        ("alike at 0.7", _constant(0.7, DOMAIN_CAPACITY)),
        ("alike at 1.1", _constant(1.1, DOMAIN_CAPACITY)),
        ("waves of 12 s, 1 s apart", _wave(12.0, 1.0, 0.45)),
        ("waves of 30 s, 10 s apart", _wave(30.0, 10.0, 0.55)),
        ("one domain at 1.2, two at 0.45", _one_domain_above),
    ):
        yield name, THREE_DOMAINS, callers, demand


def rows() -> Iterator[Row]:
    """Run all ways in all scenarios."""
    for scenario, hosts, callers, demand in _scenarios():
        for way, choose in WAYS.items():
            results = []
            for seed in SEEDS:
                simulation = CallerSimulation(hosts, callers, demand, seed, choose)
                simulation.run(WARM_UP_S)
                totals = simulation.run(RUN_S)
                results.append(
                    (
                        totals.excess / totals.work,
                        totals.moved / totals.connection_s * 60.0,
                        totals.abroad_s / totals.connection_s,
                        totals.changed_answers / totals.answers,
                    )
                )
            means = [sum(column) / len(SEEDS) for column in zip(*results, strict=True)]
            yield Row(scenario, way, *means)


def main() -> None:
    """Run the comparison and write its table."""
    write_table(Row, rows(), RESULTS_PATH)


if __name__ == "__main__":
    fire.Fire(main)
