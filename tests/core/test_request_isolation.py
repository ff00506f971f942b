"""Isolate requests under which a target has crashed, so that they harm no others."""

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.crash_table import CrashReport, CrashTable
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import ContentDigest, DomainId, HostId, ServiceId

SUSPECT, OTHER = ContentDigest("suspect"), ContentDigest("other")
SENDER = HostId("n0")


@pytest.fixture
def table():
    return CrashTable()


def make_placer(table, count, slots=2):
    placer = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0), crashes=table)
    listed = [
        ListedTarget(
            TargetIdentity(f"t{number}"),
            ServiceId("books"),
            f"10.0.0.{number}:80",
            DomainId("a"),
            slots,
            Readiness.READY,
        )
        for number in range(count)
    ]
    placer.set_targets(listed, 0.0)
    return placer


def request(content=OTHER, **overrides):
    fields = {
        "sender": SENDER,
        "domain": DomainId("a"),
        "route": "pages",
        "idempotent": True,
        "priority": 0,
        "aim_ms": 800.0,
        "deadline_ms": 2_000.0,
        "content": content,
    }
    return PlacementRequest(**{**fields, **overrides})


def record_crash_of(table, *targets):
    for target in targets:
        contents = frozenset((SUSPECT, ContentDigest(f"beside-{target}")))
        table.record_crash(CrashReport(TargetIdentity(target), contents), 0.0)


def end_attempt(placer, placed, outcome=AttemptOutcome.ANSWERED, at_ms=100.0):
    placer.ended(placed.target.identity, placed.grant, outcome, SENDER, 50.0, at_ms)


def test_a_suspect_request_gets_a_target_of_its_own(table):
    """Guards against other requests that break at the next crash."""
    placer = make_placer(table, 2, slots=4)
    record_crash_of(table, "gone")
    busy = placer.request_placement(request(), 0.0)
    isolated = placer.request_placement(request(SUSPECT), 0.0)
    assert isolated.target != busy.target
    others = [placer.request_placement(request(), 0.0) for _ in range(3)]
    assert {placed.target for placed in others} == {busy.target}
    end_attempt(placer, isolated)
    assert placer.request_placement(request(), 100.0).target == isolated.target


def test_a_suspect_request_runs_once_at_a_time_without_a_hedge(table):
    """Guards against copies of one request that crash several targets at once."""
    placer = make_placer(table, 4)
    record_crash_of(table, "gone")
    first = placer.request_placement(request(SUSPECT), 0.0)
    second = placer.request_placement(request(SUSPECT), 0.0)
    assert isinstance(first, PlacementGranted) and isinstance(second, QueuedRequest)
    hedge = placer.request_placement(request(SUSPECT, retry=True, hedge=True), 0.0)
    assert isinstance(hedge, PlacementRefused)
    end_attempt(placer, first)
    assert isinstance(second.settled, PlacementGranted)


def test_one_crash_does_not_keep_a_request_from_a_busy_service(table):
    placer = make_placer(table, 1)
    record_crash_of(table, "gone")
    assert isinstance(placer.request_placement(request(), 0.0), PlacementGranted)
    assert isinstance(placer.request_placement(request(SUSPECT), 0.0), PlacementGranted)


def test_a_request_with_two_crashes_never_runs_beside_others(table):
    placer = make_placer(table, 1)
    record_crash_of(table, "gone", "gone-too")
    beside = placer.request_placement(request(), 0.0)
    waiting = placer.request_placement(request(SUSPECT), 0.0)
    assert isinstance(waiting, QueuedRequest)
    end_attempt(placer, beside)
    assert isinstance(waiting.settled, PlacementGranted)


def test_a_queued_request_that_becomes_held_is_refused_at_once(table):
    """Guards against callers that wait to their deadline for a request never sent."""
    placer = make_placer(table, 4)
    record_crash_of(table, "gone")
    running = placer.request_placement(request(SUSPECT), 0.0)
    waiting = placer.request_placement(request(SUSPECT), 0.0)
    end_attempt(placer, running, AttemptOutcome.CRASHED)
    (report,) = placer.crash_watch.reports()
    assert report.contents == {SUSPECT}
    assert waiting.settled is None
    table.record_crash(report, 100.0)
    placer.process_due(100.0)
    assert waiting.settled.reason == "held"


def test_a_trial_that_finds_no_free_target_does_not_wait(table):
    placer = make_placer(table, 1)
    record_crash_of(table, "gone", "gone-too", "all-gone")
    placer.request_placement(request(), 0.0)
    assert placer.request_placement(request(SUSPECT, trial=True), 0.0).reason == "held"
