"""See a node remember the limits that its targets have named."""

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.gateway.reported_limits import (
    REMEMBERED_MS,
    ReportedLimits,
    packed_limits,
    unpacked_limits,
)

TARGET = TargetIdentity("t0")


def test_a_limit_is_told_until_an_answer_comes_without_it():
    told = ReportedLimits()
    report = LimitReport(TARGET, 1.5, 100.0)
    told.take(report)
    assert told.recent(200.0) == [report]
    told.take(LimitReport(TARGET, None, 50.0))
    assert told.recent(200.0) == [report]
    told.take(LimitReport(TARGET, None, 150.0))
    assert told.recent(200.0) == []


def test_a_limit_that_nothing_renewed_is_forgotten():
    """Guards against a target that stays limited after it has left or changed."""
    told = ReportedLimits()
    told.take(LimitReport(TARGET, 1.5, 0.0))
    assert told.recent(REMEMBERED_MS + 1.0) == []


def test_limits_travel_as_ages():
    report = [LimitReport(TARGET, 1.5, 100.0)]
    assert unpacked_limits(packed_limits(report, 300.0), 1_300.0) == [
        LimitReport(TARGET, 1.5, 1_100.0)
    ]
