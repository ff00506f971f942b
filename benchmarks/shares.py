"""Measure refusals of requests within rate by the number of entries in use.

Run ``python -m benchmarks.shares --output FILE``; all time is virtual, and figures do
not depend on the machine. Three ways to enforce a rate are compared: a single token
bucket per customer, fixed fractions without loans, and the real shares, whose holders
lend each other tokens so that the sum of the shares is conserved.
"""

import argparse
import csv
import json
import sys
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Final

from benchmarks.shares_fleet import CUSTOMERS, Arrivals, Case, Loss, Way, run

BOUNDS_PATH: Final = Path(__file__).parent / "bounds" / "shares.json"
ENTRIES: Final = (1, 2, 4, 8, 16, 40)
LOADS: Final = (0.6, 0.8, 0.9, 0.98)
COLUMNS: Final = (
    "customer",
    "way",
    "arrivals",
    "load",
    "entries",
    "spread",
    "after",
    "refused_within_rate_per_1000",
    "net_loss_per_1000",
    "messages_per_request",
    "slowest_ms",
    "recovered_ms",
)


def steady_cases() -> Iterator[Case]:
    """Return the cases without a fault."""
    for name in CUSTOMERS:
        for way in Way:
            for entries in ENTRIES:
                for load in LOADS:
                    yield Case(way, name, entries, load)
            for entries in (4, 40):
                yield Case(way, name, entries, 0.9, skewed=True)
                yield Case(way, name, entries, 0.8, arrivals=Arrivals.BURSTY)
        for load in LOADS:
            yield Case(Way.SHARES, name, 2, load, at_holders=True)


def loss_cases() -> Iterator[Case]:
    """Return the cases in which the first holder is killed."""
    for name, customer in CUSTOMERS.items():
        requests = max(100, round(customer.rate_per_s * 0.8 * 60))
        for loss in Loss:
            yield Case(Way.SHARES, name, 8, 0.8, requests=requests, lose=loss)


def row_of(case: Case) -> list[str | float]:
    """Return the figures of one case."""
    result = run(case)
    spread = "skewed" if case.skewed else "holders" if case.at_holders else "even"
    recovered_ms = (
        max(0.0, result.last_wrongly_refused_ms - 60_000.0) if case.lose else 0.0
    )
    return [
        case.customer,
        case.way.value,
        case.arrivals.value,
        case.load,
        case.entries,
        spread,
        case.lose.value if case.lose else "",
        round(result.wrongly_refused_per_mille, 2),
        round(result.net_per_mille, 2),
        round(result.messages / result.requests, 3),
        round(result.slowest_ms, 1),
        round(recovered_ms),
    ]


def check() -> list[str]:
    """Return the figures that exceed the committed bounds."""
    bounds = json.loads(BOUNDS_PATH.read_text())
    findings = []
    for name, bound in bounds["refused_within_rate_per_1000"].items():
        customer, load = name.split(" at ")
        case = Case(Way.SHARES, customer, 40, float(load))
        for each in (case, replace(case, entries=8)):
            per_mille = run(each).wrongly_refused_per_mille
            if per_mille > bound:
                where = f"{customer} at {load} over {each.entries} entries"
                findings.append(
                    f"{where}: {per_mille:.2f} refused in 1,000, not {bound}"
                )
    return findings


def main() -> None:
    """Write the table of all cases, or check the bounds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--output", type=Path, default=Path("shares.csv"))
    options = parser.parse_args()
    if options.check:
        sys.exit("\n".join(check()) or None)
    with options.output.open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        for case in (*steady_cases(), *loss_cases()):
            writer.writerow(row_of(case))
            file.flush()


if __name__ == "__main__":
    main()
