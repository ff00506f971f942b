"""Tests of the rate limits that targets have reported to a node."""

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.gateway.reported_limits import (
    RETENTION_MS,
    ReportedLimits,
    packed_limits,
    unpacked_limits,
)

TARGET = TargetIdentity("t0")


def test_a_limit_is_kept_until_a_later_response_has_none():
    limits = ReportedLimits()
    report = LimitReport(TARGET, 1.5, 100.0)
    limits.record(report)
    assert limits.recent(200.0) == [report]
    limits.record(LimitReport(TARGET, None, 50.0))
    assert limits.recent(200.0) == [report]
    limits.record(LimitReport(TARGET, None, 150.0))
    assert limits.recent(200.0) == []


def test_a_limit_that_is_not_renewed_expires():
    """Guards against a target that stays limited after its removal or change."""
    limits = ReportedLimits()
    limits.record(LimitReport(TARGET, 1.5, 0.0))
    assert limits.recent(RETENTION_MS + 1.0) == []


def test_only_a_recent_response_without_a_limit_shows_that_there_is_none():
    """Guards against targets that count as unlimited because nothing is known."""
    limits = ReportedLimits()
    assert not limits.is_unlimited(TARGET, 100.0)
    limits.record(LimitReport(TARGET, None, 100.0))
    assert limits.is_unlimited(TARGET, 100.0)
    assert not limits.is_unlimited(TARGET, 100.0 + RETENTION_MS)
    limits.record(LimitReport(TARGET, 1.5, 50.0))
    assert limits.is_unlimited(TARGET, 100.0) and limits.recent(100.0) == []
    limits.record(LimitReport(TARGET, 1.5, 150.0))
    assert not limits.is_unlimited(TARGET, 150.0)


def test_limits_are_sent_with_their_ages():
    reports = [LimitReport(TARGET, 1.5, 100.0)]
    assert unpacked_limits(packed_limits(reports, 300.0), 1_300.0) == [
        LimitReport(TARGET, 1.5, 1_100.0)
    ]
