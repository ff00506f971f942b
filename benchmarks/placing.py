"""Measure the effect of each placing mechanism by switching it off.

Loads and faults are those of services of 15 to 20 targets: gray failures of each kind,
short requests beside long ones, paths that lose connections, a service over its
capacity. Each runs with all mechanisms on and with each one off, with the same seeds.
Run ``python -m benchmarks.placing``; all time is virtual.
"""

import json
import math
import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Final

import fire

from benchmarks.placing_simulation import (
    BadPaths,
    Gray,
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
)
from benchmarks.result_table import write_table
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.policies import Policies, Policy

ROOT: Final = Path(__file__).parents[1]
BOUNDS_PATH: Final = ROOT / "benchmarks" / "bounds" / "placing.json"
RESULTS_PATH: Final = ROOT / "benchmarks" / "results" / "placing.csv"
FIGURE_PATH: Final = ROOT / "docs" / "figures" / "placing.png"
SEEDS: Final = 6
CHECK_SEEDS: Final = 2
PROCESSES: Final = 4
LATE_CREDIT: Final = 0.3

LOOKUP: Final = RouteLoad("lookup", True, 22.6, 160.0, 0.5, 600.0, 1_500.0, priority=2)
CONFIRM: Final = RouteLoad("confirm", False, 50.8, 210.0, 0.3, 600.0, 2_000.0)
UPLOAD: Final = RouteLoad("upload", False, 6.7, 190.0, 0.8, 600.0, 4_000.0)
ARCHIVE: Final = RouteLoad("archive", True, 13.5, 640.0, 0.5, 2e3, 6e3, priority=2)
PAYMENT: Final = RouteLoad("payment", False, 59.2, 160.0, 0.3, 800.0, 2_500.0)
SCORES: Final = RouteLoad("scores", True, 120.0, 150.0, 0.3, 880.0, 3_300.0)
PHOTO: Final = RouteLoad("photo", False, 12.4, 460.0, 0.8, 2_730.0, 10_900.0)


def gray(outcome: AttemptOutcome, failure_fraction: float = 0.75) -> Gray:
    """Return gray failures of 1.5 to 3.5 s per target in 90 % of periods of 9 s."""
    return Gray(0.9, 9_000.0, 1_500.0, 3_500.0, failure_fraction, outcome)


def faster(scenario: ServiceScenario, factor: float) -> ServiceScenario:
    """Return the scenario with all request rates multiplied by a factor."""
    route_loads = [
        replace(route_load, rate_per_s=route_load.rate_per_s * factor)
        for route_load in scenario.route_loads
    ]
    return replace(scenario, route_loads=route_loads)


def failing_by_turns(share: float, failure_fraction: float = 0.6) -> Gray:
    """Return gray failures of 5 s, at any time those of a share of the targets."""
    errors = AttemptOutcome.ERROR
    return Gray(share, 5_000.0, 5_000.0, 5_000.0, failure_fraction, errors)


GALLERY: Final = ServiceScenario(
    15, 6, (SCORES, PHOTO), failing_by_turns(0.35), domains=4, entries=99
)
BOOKINGS: Final = ServiceScenario(20, 2, (LOOKUP, CONFIRM), gray(AttemptOutcome.SILENT))
LOADS: Final = {
    "hangs": BOOKINGS,
    "hangs, 1.6 times": faster(BOOKINGS, 1.6),
    "hangs, over capacity": faster(BOOKINGS, 2.2),
    "breaks": replace(BOOKINGS, gray=gray(AttemptOutcome.BROKEN, 0.95)),
    "fails": replace(BOOKINGS, gray=gray(AttemptOutcome.ERROR, 0.6)),
    "refuses half": replace(
        BOOKINGS, gray=Gray(1.0, 30e3, 8.5e3, 8.5e3, 0.55, AttemptOutcome.SHED)
    ),
    "long beside short": ServiceScenario(
        16, 2, (UPLOAD, ARCHIVE), gray(AttemptOutcome.SILENT)
    ),
    "runs once only": ServiceScenario(
        15, 2, (PAYMENT,), gray(AttemptOutcome.BROKEN, 0.95), domains=4
    ),
    "bad paths": replace(BOOKINGS, gray=None, paths=BadPaths(0.12, 0.3)),
    "a third fails": GALLERY,
    "a third fails, 2 times": faster(GALLERY, 2.0),
    "half fails": replace(GALLERY, gray=failing_by_turns(0.5)),
    "all fail half": replace(GALLERY, gray=failing_by_turns(1.0, 0.5)),
    "cut paths": replace(BOOKINGS, gray=None, paths=BadPaths(0.2, 1.0)),
}


@dataclass(frozen=True)
class Row:
    """Hold the results for callers under one load, without one mechanism.

    ``credit`` is the mean over all requests, where an answer later than its latency
    objective counts ``LATE_CREDIT``; ``credit_error`` is its standard error over the
    seeds. ``late``, ``lost`` and ``refused`` are fractions of all requests,
    ``sendings`` are attempts per request, ``far`` is the fraction of attempts to
    targets in other failure domains.
    """

    load: str
    without: str
    credit: float
    credit_error: float
    late: float
    lost: float
    refused: float
    sendings: float
    far: float


def run_case(load: str, without: str, seed: int) -> tuple[float, ...]:
    """Return the figures of ``Row`` for one run, in order and without the error."""
    policies = Policies.from_names(without)
    tallies = PlacingSimulation(LOADS[load], seed, policies=policies).run().values()
    request_count = sum(tally.request_count for tally in tallies)
    attempts_sent = sum(tally.attempts_sent for tally in tallies)
    return (
        sum(tally.on_time + LATE_CREDIT * tally.late for tally in tallies)
        / request_count,
        sum(tally.late for tally in tallies) / request_count,
        sum(tally.lost for tally in tallies) / request_count,
        sum(tally.refused for tally in tallies) / request_count,
        attempts_sent / request_count,
        sum(tally.other_domain for tally in tallies) / attempts_sent,
    )


def rows(cases: Iterable[tuple[str, str]], seeds: int) -> list[Row]:
    """Return the figures of all cases, run in several processes."""
    cases = list(cases)
    arguments = [(*case, seed) for case in cases for seed in range(seeds)]
    with ProcessPoolExecutor(PROCESSES) as pool:
        figures = list(pool.map(run_case, *zip(*arguments, strict=True)))
    result_rows = []
    for number, (load, without) in enumerate(cases):
        runs = figures[number * seeds : (number + 1) * seeds]
        credits = [run[0] for run in runs]
        error = statistics.stdev(credits) / math.sqrt(seeds)
        means = [statistics.mean(column) for column in zip(*runs, strict=True)]
        result_rows.append(Row(load, without, means[0], error, *means[1:]))
    return result_rows


def check() -> list[str]:
    """Return the figures with all mechanisms on that exceed the committed bounds."""
    bounds = json.loads(BOUNDS_PATH.read_text())
    findings = []
    for row in rows(((load, "") for load in bounds), CHECK_SEEDS):
        for name, bound in bounds[row.load].items():
            figure = getattr(row, name)
            if figure > bound:
                findings.append(f"{row.load}: {name} {figure:.4f} > {bound}")
    return findings


def plot(result_rows: list[Row]) -> None:
    """Plot the effect of each mechanism under each load."""
    import matplotlib  # noqa: PLC0415 - only the plot needs it

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415 - only the plot needs it

    with_all = {row.load: row for row in result_rows if not row.without}
    names = [policy.value for policy in Policy]
    figure, axis = pyplot.subplots(figsize=(10, 6))
    for number, load in enumerate(LOADS):
        credit_lost = {
            row.without: with_all[load].credit - row.credit
            for row in result_rows
            if row.load == load
        }
        offset = (number - len(LOADS) / 2) * 0.08
        positions = [position + offset for position in range(len(names))]
        axis.barh(positions, [credit_lost[name] for name in names], 0.08, label=load)
    axis.set_yticks(range(len(names)), names)
    axis.set_xlabel("credit lost without it (share of all)")
    axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(FIGURE_PATH, dpi=90, metadata={"Software": None})


def main() -> None:
    """Measure all cases, then write the table and the figure."""
    names = ["", *(policy.value for policy in Policy)]
    result_rows = rows(((load, name) for load in LOADS for name in names), SEEDS)
    write_table(Row, result_rows, RESULTS_PATH)
    plot(result_rows)


if __name__ == "__main__":
    fire.Fire(main)
