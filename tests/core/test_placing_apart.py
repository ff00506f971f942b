"""Place requests under which a target has crashed where they harm nobody else."""

import pytest

from crocusspindle.core.asks import Ask, Placed, Refused, Waiting
from crocusspindle.core.crash_table import CrashReport, CrashTable
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.repeat_budget import RepeatBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_gauge import Ending
from crocusspindle.ids import ContentDigest, DomainId, HostId, ServiceId

SUSPECT, OTHER = ContentDigest("suspect"), ContentDigest("other")
SENDER = HostId("n0")


@pytest.fixture
def table():
    return CrashTable()


def placer_of(table, count, slots=2):
    made = ServicePlacer(0.7, RepeatBudget(0.2, 58.0, 10_000.0), crashes=table)
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
    made.set_targets(listed, 0.0)
    return made


def ask(content=OTHER, **more):
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
    return Ask(**{**fields, **more})


def crash(table, *targets):
    for target in targets:
        contents = frozenset((SUSPECT, ContentDigest(f"beside-{target}")))
        table.record_crash(CrashReport(TargetIdentity(target), contents), 0.0)


def end(placer, placed, ending=Ending.ANSWERED, at_ms=100.0):
    placer.ended(placed.target.identity, placed.grant, ending, SENDER, 50.0, at_ms)


def test_a_suspect_gets_a_target_of_its_own(table):
    """Guards against others' work that breaks off with the next crash."""
    placer = placer_of(table, 2, slots=4)
    crash(table, "gone")
    busy = placer.ask(ask(), 0.0)
    apart = placer.ask(ask(SUSPECT), 0.0)
    assert apart.target != busy.target
    more = [placer.ask(ask(), 0.0) for _ in range(3)]
    assert {placed.target for placed in more} == {busy.target}
    end(placer, apart)
    assert placer.ask(ask(), 100.0).target == apart.target


def test_a_suspect_runs_once_at_a_time_without_a_hedge(table):
    """Guards against copies of one request that end several targets at once."""
    placer = placer_of(table, 4)
    crash(table, "gone")
    first = placer.ask(ask(SUSPECT), 0.0)
    second = placer.ask(ask(SUSPECT), 0.0)
    assert isinstance(first, Placed) and isinstance(second, Waiting)
    hedge = placer.ask(ask(SUSPECT, repeat=True, hedge=True), 0.0)
    assert isinstance(hedge, Refused)
    end(placer, first)
    assert isinstance(second.settled, Placed)


def test_one_crash_does_not_keep_a_request_from_a_busy_service(table):
    placer = placer_of(table, 1)
    crash(table, "gone")
    assert isinstance(placer.ask(ask(), 0.0), Placed)
    assert isinstance(placer.ask(ask(SUSPECT), 0.0), Placed)


def test_a_request_with_two_crashes_never_runs_beside_others(table):
    placer = placer_of(table, 1)
    crash(table, "gone", "gone-too")
    beside = placer.ask(ask(), 0.0)
    waiting = placer.ask(ask(SUSPECT), 0.0)
    assert isinstance(waiting, Waiting)
    end(placer, beside)
    assert isinstance(waiting.settled, Placed)


def test_who_waits_hears_at_once_that_its_request_is_held(table):
    """Guards against callers that wait out their time for a request never sent."""
    placer = placer_of(table, 4)
    crash(table, "gone")
    running = placer.ask(ask(SUSPECT), 0.0)
    waiting = placer.ask(ask(SUSPECT), 0.0)
    end(placer, running, Ending.CRASHED)
    (seen,) = placer.crash_watch.reports()
    assert seen.contents == {SUSPECT}
    assert waiting.settled is None
    table.record_crash(seen, 100.0)
    placer.settle(100.0)
    assert waiting.settled.reason == "held"


def test_a_trial_that_finds_no_free_target_does_not_wait(table):
    placer = placer_of(table, 1)
    crash(table, "gone", "gone-too", "all-gone")
    placer.ask(ask(), 0.0)
    assert placer.ask(ask(SUSPECT, trial=True), 0.0).reason == "held"
