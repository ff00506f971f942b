"""See how crashes are told from the endings of the work at a target."""

import pytest

from crocusspindle.core.crash_table import CrashTable
from crocusspindle.core.crash_watch import SHOWN_LATER_MS, CrashWatch
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.target_gauge import Ending
from crocusspindle.ids import ContentDigest

TARGET = TargetIdentity("t0")
ONE, TWO = ContentDigest("one"), ContentDigest("two")


@pytest.fixture
def watch():
    return CrashWatch(CrashTable())


def test_what_still_runs_at_a_crashed_target_was_there_too(watch):
    watch.ended(TARGET, ONE, [TWO], Ending.CRASHED, 0.0)
    watch.ended(TARGET, TWO, [], Ending.CRASHED, 1.0)
    (seen,) = watch.reports()
    assert seen.contents == {ONE, TWO}


def test_a_second_crash_of_a_target_that_came_back_is_seen(watch):
    watch.ended(TARGET, ONE, [], Ending.CRASHED, 0.0)
    watch.ended(TARGET, ONE, [], Ending.CRASHED, 5_000.0)
    assert len(watch.reports()) == 2


@pytest.mark.parametrize("ending", [Ending.CLOSED, Ending.MISDIRECTED])
def test_a_process_that_was_back_at_once_is_found_out_later(watch, ending):
    """Guards against targets whose port takes connections again within a moment."""
    watch.ended(TARGET, ONE, [], Ending.BROKEN, 0.0)
    assert not watch.reports()
    watch.ended(TARGET, TWO, [], ending, 500.0)
    (seen,) = watch.reports()
    assert seen.contents == {ONE}


def test_work_that_broke_long_before_a_crash_has_nothing_to_do_with_it(watch):
    watch.ended(TARGET, ONE, [], Ending.BROKEN, 0.0)
    watch.ended(TARGET, TWO, [], Ending.CLOSED, SHOWN_LATER_MS + 1.0)
    assert not watch.reports()


@pytest.mark.parametrize(
    "ending", [Ending.ANSWERED, Ending.ERROR, Ending.SILENT, Ending.SHED]
)
def test_other_endings_are_no_crash(watch, ending):
    watch.ended(TARGET, ONE, [TWO], ending, 0.0)
    assert not watch.reports()
