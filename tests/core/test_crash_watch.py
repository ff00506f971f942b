"""Test the detection of crashes from the outcomes of attempts at a target."""

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.crash_table import CrashTable
from crocusspindle.core.crash_watch import MAX_DETECTION_DELAY_MS, CrashWatch
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest

TARGET = TargetIdentity("t0")
ONE, TWO = ContentDigest("one"), ContentDigest("two")


@pytest.fixture
def watch():
    return CrashWatch(CrashTable())


def test_requests_still_running_at_a_crashed_target_are_reported(watch):
    watch.ended(TARGET, ONE, [TWO], AttemptOutcome.CRASHED, 0.0)
    watch.ended(TARGET, TWO, [], AttemptOutcome.CRASHED, 1.0)
    (report,) = watch.reports()
    assert report.contents == {ONE, TWO}


def test_a_second_crash_after_a_restart_is_reported(watch):
    watch.ended(TARGET, ONE, [], AttemptOutcome.CRASHED, 0.0)
    watch.ended(TARGET, ONE, [], AttemptOutcome.CRASHED, 5_000.0)
    assert len(watch.reports()) == 2


@pytest.mark.parametrize("outcome", [AttemptOutcome.CLOSED, AttemptOutcome.MISDIRECTED])
def test_the_crash_of_a_target_that_restarts_at_once_is_detected_later(watch, outcome):
    """Guards against targets whose port accepts connections again at once."""
    watch.ended(TARGET, ONE, [], AttemptOutcome.BROKEN, 0.0)
    assert not watch.reports()
    watch.ended(TARGET, TWO, [], outcome, 500.0)
    (report,) = watch.reports()
    assert report.contents == {ONE}


def test_attempts_that_broke_long_before_a_crash_are_not_reported(watch):
    watch.ended(TARGET, ONE, [], AttemptOutcome.BROKEN, 0.0)
    watch.ended(TARGET, TWO, [], AttemptOutcome.CLOSED, MAX_DETECTION_DELAY_MS + 1.0)
    assert not watch.reports()


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.ANSWERED,
        AttemptOutcome.ERROR,
        AttemptOutcome.SILENT,
        AttemptOutcome.SHED,
    ],
)
def test_other_outcomes_are_no_crash(watch, outcome):
    watch.ended(TARGET, ONE, [TWO], outcome, 0.0)
    assert not watch.reports()
