"""Count what placing a request costs in a service of hundreds of targets.

One host of a large fleet places 330 requests a second on 337 targets, a third of which
shed half of their work.
"""

import sys
from dataclasses import replace
from types import FrameType
from typing import Any

import pytest

from benchmarks.placing_simulation import (
    Gray,
    PlacingSimulation,
    RouteLoad,
    ServiceScenario,
)
from crocusspindle.core.attempt_outcome import AttemptOutcome

LOOKUP = RouteLoad("lookup", True, 100.0, 160.0, 0.5, 900.0, 5_500.0, priority=2)
CONFIRM = RouteLoad("confirm", False, 230.0, 210.0, 0.3, 900.0, 6_600.0)
BUSY = ServiceScenario(337, 2, (LOOKUP, CONFIRM), entries=96, length_ms=1_500.0)
REFUSING = Gray(0.3, 60_000.0, 60_000.0, 60_000.0, 0.55, AttemptOutcome.SHED)

CALLS_PER_REQUEST = 10_000
"""At a quarter of a microsecond each, these are 2.5 ms: a host of two cores then places
400 requests a second with half of its processor."""


def calls_of(scenario: ServiceScenario) -> tuple[int, int]:
    """Return the number of function calls of a run, and that of its requests."""
    calls = 0

    def count(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    trial = PlacingSimulation(scenario, seed=0)
    sys.setprofile(count)
    try:
        tallies = trial.run()
    finally:
        sys.setprofile(None)
    return calls, sum(tally.request_count for tally in tallies.values())


@pytest.mark.parametrize("gray", [None, REFUSING], ids=["calm", "refusing"])
def test_placing_among_hundreds_of_targets_leaves_the_host_time_to_serve(gray):
    """Guards against a placer too busy to answer, which other nodes consider silent."""
    calls, requests = calls_of(replace(BUSY, gray=gray))
    assert calls <= CALLS_PER_REQUEST * requests
