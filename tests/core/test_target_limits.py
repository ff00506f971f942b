"""Test which outcomes and reports limit the rate to a target."""

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.cold_targets import ColdTargets
from crocusspindle.core.configuration import ServiceRule
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.target_limits import TargetLimits
from crocusspindle.core.target_tracker import TargetTracker
from crocusspindle.ids import DomainId, ServiceId

TARGET = TargetIdentity("t0")
LISTED = ListedTarget(
    TARGET, ServiceId("books"), "10.0.0.1:80", DomainId("a"), 6, Readiness.READY
)


def limits_of(rule):
    tracker = TargetTracker(LISTED, latency_updated_ms=0.0, last_success_ms=0.0)
    limits = TargetLimits({TARGET: tracker})
    limits.update_cold(rule, ColdTargets(), 0.0)
    return limits, tracker


@pytest.mark.parametrize(
    ("outcome", "limited"),
    [
        (AttemptOutcome.CLOSED, True),
        (AttemptOutcome.CRASHED, True),
        (AttemptOutcome.UNREACHED, True),
        (AttemptOutcome.BROKEN, False),
        (AttemptOutcome.ERROR, False),
    ],
)
def test_only_a_target_that_may_have_restarted_is_limited(outcome, limited):
    """Guards against a limit on targets that fail and never were down."""
    limits, tracker = limits_of(ServiceRule(warm_up_ms=3_000.0, cold_per_s=7.5))
    tracker.eject(0.0)
    limits.record_ejection(tracker, outcome, 0.0)
    assert tracker.limit.is_active is limited


def test_service_without_a_rate_limits_no_target():
    limits, tracker = limits_of(ServiceRule(warm_up_ms=3_000.0))
    tracker.eject(0.0)
    limits.record_ejection(tracker, AttemptOutcome.CLOSED, 0.0)
    assert not tracker.limit.is_active


def test_attempts_at_a_target_that_left_the_list_are_ignored():
    limits, _ = limits_of(ServiceRule())
    limits.count_attempt(LimitReport(TargetIdentity("gone"), 1.0, 0.0), 0.0)
    assert limits.attempts() == []
