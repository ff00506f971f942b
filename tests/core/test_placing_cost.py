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
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementGranted, PlacementRequest
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId, ServiceId

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


SENDER = HostId("e")
REQUEST = PlacementRequest(SENDER, DomainId("a"), "r", False, 1, 6e3, 12e3)


def ask(placer: ServicePlacer, **fields) -> PlacementGranted:
    """Request a target that is free."""
    granted = placer.request_placement(replace(REQUEST, **fields), 1.0)
    assert isinstance(granted, PlacementGranted)
    return granted


def end(placer: ServicePlacer, grant: PlacementGranted, outcome, now_ms: float) -> None:
    """Report an outcome."""
    target = grant.target.identity
    placer.ended(target, grant.grant, outcome, SENDER, 150.0, now_ms)


@pytest.mark.parametrize("case", ["draining", "excluded", "ejected", "bodies"])
def test_slots_that_no_queued_request_can_use_cost_little(case):
    """Guards against a choice among all targets for each queued request, each time."""
    placer = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0))
    listed = [
        ListedTarget(
            TargetIdentity(str(number)),
            ServiceId("books"),
            "127.0.0.1:80",
            DomainId("a"),
            4,
            Readiness.DRAINING
            if case == "draining" and not number
            else Readiness.READY,
        )
        for number in range(100)
    ]
    placer.set_targets(listed, 0.0)
    for _ in range(50):
        end(placer, ask(placer), AttemptOutcome.ANSWERED, 1.0)
    fields = {}
    if case == "excluded":
        fields = {"excluded": frozenset([TargetIdentity("0")])}
    elif case == "bodies":
        fields = {"body_bytes": 60 << 20}
    elif case == "ejected":
        end(placer, ask(placer), AttemptOutcome.BROKEN, 1.0)
    running = [
        ask(placer, **fields) for _ in range(100 if case == "bodies" else 4 * 99)
    ]
    for _ in range(300):
        placer.request_placement(replace(REQUEST, **fields), 2_101.0)
    assert placer.queued >= 200
    calls = 0

    def count(frame: FrameType, event: str, argument: Any) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        for _ in range(20):
            end(placer, running.pop(), AttemptOutcome.ANSWERED, 2_102.0)
    finally:
        sys.setprofile(None)
    # Each answer takes a pass over the queue.
    assert calls <= 20 * 100 * 300
