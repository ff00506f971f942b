"""Test that a target's rate limit is kept, renewed and cleared by its responses."""

import pytest

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import (
    MIN_LIMIT_PER_S,
    RESPONSES_WITHOUT_LIMIT,
    LimitReport,
    RateLimit,
)

TARGET = TargetIdentity("t0")


def report(limit_per_s, sent_ms):
    return LimitReport(TARGET, limit_per_s, sent_ms)


def limited(limit_per_s):
    limit = RateLimit()
    limit.apply_report(report(limit_per_s, 0.0), 0.0)
    return limit


def sent_in(limit, for_ms, step_ms=10):
    """Send whenever the limit allows, and return the times."""
    times = []
    for at_ms in range(0, for_ms, step_ms):
        if limit.allows(at_ms):
            limit.record_sent(at_ms)
            times.append(at_ms)
    return times


@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 1.7, 4.0, 20.0])
def test_no_four_seconds_hold_much_more_than_the_limit(limit_per_s):
    times = sent_in(limited(limit_per_s), 30_000)
    worst = max(sum(at <= other < at + 4_000 for other in times) for at in times)
    assert worst <= 4.5 * limit_per_s + 1.0
    assert len(times) >= 0.9 * 30.0 * limit_per_s - 1.0


def test_a_pause_allows_only_a_small_burst():
    """Guards against a burst of all requests that were possible in a pause."""
    limit = limited(10.0)
    allowed = 0
    while limit.allows(60_000.0):
        limit.record_sent(60_000.0)
        allowed += 1
    assert allowed == 5


def test_a_new_limit_begins_without_tokens():
    """Guards against a burst from a new placer just after one from its predecessor."""
    assert not limited(1.0).allows(0.0)
    assert limited(1.0).allows(1_000.0)


def test_requests_of_other_placers_count():
    limit = limited(1.0)
    limit.record_sent(1_000.0)
    assert not limit.allows(1_000.0)


def test_an_older_response_does_not_replace_a_newer_limit():
    """Guards against responses that arrive out of order."""
    limit = limited(10.0)
    assert limit.apply_report(report(1.0, 2_000.0), 2_100.0)
    assert not limit.apply_report(report(10.0, 1_000.0), 2_200.0)
    for _ in range(RESPONSES_WITHOUT_LIMIT + 1):
        assert not limit.apply_report(report(None, 1_900.0), 2_300.0)
    assert limit.reported_per_s == pytest.approx(1.0)


def test_responses_without_a_limit_clear_it():
    limit = limited(1.0)
    ended = [
        limit.apply_report(report(None, 100.0 + n), 200.0 + n)
        for n in range(RESPONSES_WITHOUT_LIMIT)
    ]
    assert ended == [False] * (RESPONSES_WITHOUT_LIMIT - 1) + [True]
    assert not limit.is_active and limit.allows(300.0)


def test_a_response_that_names_the_limit_again_renews_it():
    limit = limited(1.0)
    limit.apply_report(report(None, 100.0), 150.0)
    limit.apply_report(report(1.0, 200.0), 250.0)
    limit.apply_report(report(None, 300.0), 350.0)
    assert limit.is_active


def test_a_limit_that_has_ended_does_not_return_with_an_old_report():
    """Guards against hosts that relay a limit after its target has ended it."""
    limit = limited(1.0)
    for n in range(RESPONSES_WITHOUT_LIMIT):
        limit.apply_report(report(None, 1_000.0 + n), 1_050.0 + n)
    # A relayed time is late by the rounding of its age and the way of the message.
    assert not limit.apply_report(report(1.0, 20.0), 2_000.0)
    assert not limit.is_active
    assert limit.apply_report(report(1.0, 1_500.0), 2_100.0)


def test_an_old_report_does_not_keep_a_limit_from_ending():
    """Guards against relayed reports between the responses that name no limit."""
    limit = limited(1.0)
    for n in range(RESPONSES_WITHOUT_LIMIT):
        limit.apply_report(report(None, 1_000.0 * (n + 1)), 1_000.0 * (n + 1) + 50.0)
        limit.apply_report(report(1.0, 20.0), 1_000.0 * (n + 1) + 900.0)
    assert not limit.is_active


def test_a_target_with_a_limit_of_zero_is_probed():
    """Guards against a limit whose end goes unnoticed because no requests are sent."""
    times = sent_in(limited(0.0), 60_000)
    assert len(times) == pytest.approx(60.0 * MIN_LIMIT_PER_S, abs=1)


def test_limit_of_a_cold_target_ends_with_its_warm_up():
    """Guards against a limit that is over and still admits nothing."""
    limit = RateLimit()
    assert limit.limit_while_cold(1.0, 3_000.0, 0.0)
    assert not limit.allows(0.0)
    limit.record_sent(2_999.0)
    assert limit.allows(3_000.0) and not limit.is_active


def test_lower_of_a_reported_and_a_cold_limit_applies():
    limit = limited(4.0)
    limit.limit_while_cold(1.0, 10_000.0, 0.0)
    assert len(sent_in(limit, 9_000)) <= 10
    limit = limited(1.0)
    limit.limit_while_cold(4.0, 10_000.0, 0.0)
    assert len(sent_in(limit, 9_000)) <= 10


@pytest.mark.parametrize("share", [0.5, 1.0 / 3.0])
def test_a_host_uses_only_its_share_of_a_rate(share):
    """Guards against hosts that each use the whole rate of a target."""
    limit = limited(20.0)
    limit.set_share(share, 0.0)
    assert share * 600.0 - 2.0 <= len(sent_in(limit, 30_000)) <= share * 610.0


def test_a_share_applies_to_what_is_earned_from_then_on():
    limit = limited(1.0)
    limit.set_share(0.5, 500.0)
    assert not limit.allows(1_400.0)
    assert limit.allows(1_500.0)


def test_a_host_without_a_share_sends_nothing_to_a_limited_target():
    limit = limited(20.0)
    limit.set_share(0.0, 1_000.0)
    assert sent_in(limit, 30_000) == []
    limit.set_share(1.0, 30_000.0)
    assert limit.allows(30_100.0)


def test_a_host_that_begins_to_place_begins_without_tokens():
    """Guards against a burst after that of the placer before."""
    limit = limited(1.0)
    limit.empty(5_000.0)
    assert not limit.allows(5_900.0)
    assert limit.allows(6_000.0)


def test_a_target_without_a_limit_admits_whatever_the_share_is():
    limit = RateLimit()
    limit.set_share(0.0, 0.0)
    limit.empty(0.0)
    assert limit.allows(0.0)
