"""Test which requests are quarantined for crashing targets, and which are not."""

import pytest

from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.crash_table import (
    FIRST_HOLD_MS,
    FORGET_MS,
    HOLD_FACTOR,
    MAX_TRIALS,
    RECORDS_MAX,
    SHARED_MAX,
    CrashReport,
    CrashTable,
    Isolation,
)
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest

POISON = ContentDigest("poison")
BYSTANDERS = tuple(ContentDigest(f"bystander-{n}") for n in range(5))


def crash_report(target, *contents):
    return CrashReport(TargetIdentity(target), frozenset(contents))


@pytest.fixture
def table():
    return CrashTable()


def test_a_request_without_a_record_is_not_isolated(table):
    assert table.isolation(POISON) is Isolation.NONE
    assert not table.is_held(POISON) and table.held_until_ms(POISON) == 0.0


def test_all_requests_at_a_crash_are_isolated_and_none_is_held(table):
    table.record_crash(crash_report("t0", POISON, *BYSTANDERS), 0.0)
    for content in (POISON, *BYSTANDERS):
        assert table.isolation(content) is Isolation.PREFERRED
        assert not table.is_held(content)


def test_a_second_crash_of_a_request_alone_holds_it_and_clears_the_others(table):
    """Guards against holding innocent requests with the one that crashes targets."""
    table.record_crash(crash_report("t0", POISON, *BYSTANDERS), 0.0)
    table.record_crash(crash_report("t1", POISON), 1_000.0)
    assert table.is_held(POISON)
    assert table.held_until_ms(POISON) == 1_000.0 + FIRST_HOLD_MS
    for content in BYSTANDERS:
        assert table.isolation(content) is Isolation.NONE


def test_crashes_among_others_hold_a_request_at_the_third(table):
    table.record_crash(crash_report("t0", POISON, BYSTANDERS[0]), 0.0)
    table.record_crash(crash_report("t1", POISON, BYSTANDERS[1]), 1.0)
    assert not table.is_held(POISON)
    assert table.isolation(POISON) is Isolation.REQUIRED
    table.record_crash(crash_report("t2", POISON, BYSTANDERS[2]), 2.0)
    assert table.is_held(POISON)


def test_reports_of_one_crash_count_once_in_any_order(table):
    """Guards against taking a bystander for alone because it is reported last."""
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t0", POISON, BYSTANDERS[0]), 1.0)
    assert not table.is_held(POISON) and not table.is_held(BYSTANDERS[0])
    table.record_crash(crash_report("t1", POISON, BYSTANDERS[1]), 2.0)
    assert not table.is_held(POISON)


def test_a_response_clears_a_request_on_every_host(table):
    """Guards against an old report that quarantines a cleared request again."""
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t1", POISON), 1.0)
    before = table.record(POISON)
    cleared = table.clear(POISON, 20_000.0)
    assert cleared.is_shared
    other = CrashTable()
    other.merge([before], 20_000.0)
    for records in ([cleared], [before]):
        other.merge(records, 20_000.0)
        assert not other.is_held(POISON)
        assert other.isolation(POISON) is Isolation.NONE


def test_trials_back_off_and_are_counted(table):
    """Guards against quarantine by time alone, which allows trials for ever."""
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t1", POISON), 0.0)
    at_ms = 0.0
    for number in range(MAX_TRIALS):
        due_ms = table.held_until_ms(POISON)
        assert due_ms == at_ms + FIRST_HOLD_MS * HOLD_FACTOR**number
        at_ms = due_ms
        table.begin_held_trial(POISON, at_ms)
        table.record_crash(crash_report(f"trial-{number}", POISON), at_ms)
    assert table.held_until_ms(POISON) == at_ms + FORGET_MS


def test_a_target_that_restarts_under_its_identity_counts_again(table):
    """Guards against a request that crashes the same few targets repeatedly."""
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t0", POISON), 500.0)
    assert not table.is_held(POISON)
    table.record_crash(crash_report("t0", POISON), 5_000.0)
    assert table.is_held(POISON)


def test_hosts_that_saw_different_crashes_converge_on_one_record(table):
    other = CrashTable()
    table.record_crash(crash_report("t0", POISON), 0.0)
    other.record_crash(crash_report("t1", POISON), 5.0)
    own, theirs = table.record(POISON), other.record(POISON)
    table.merge([theirs], 10.0)
    other.merge([own], 10.0)
    assert table.record(POISON) == other.record(POISON)
    assert table.is_held(POISON)
    assert table.merge([theirs, own], 11.0) == []


def test_records_are_bounded_and_those_of_held_requests_stay(table):
    """Guards against memory use that grows with each crash."""
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t1", POISON), 0.0)
    for number in range(RECORDS_MAX + 10):
        table.record_crash(
            crash_report(f"t{number + 2}", ContentDigest(f"other-{number}")), number + 1
        )
    kept = [f"other-{n}" in table for n in range(RECORDS_MAX + 10)]
    assert sum(kept) == RECORDS_MAX - 1
    assert table.is_held(POISON)


def test_a_record_expires(table):
    table.record_crash(crash_report("t0", POISON), 0.0)
    table.record_crash(crash_report("t1", BYSTANDERS[0]), FORGET_MS)
    assert POISON not in table and BYSTANDERS[0] in table


def test_only_the_newest_records_are_shared(table):
    records = [
        CrashRecord(
            ContentDigest(f"{number}"),
            crashes=frozenset({Crash(TargetIdentity(n), 0.0, False) for n in "ab"}),
            last_ms=float(number + 1),
        )
        for number in range(SHARED_MAX + 5)
    ]
    table.merge(records, 0.0)
    shared = table.shared()
    assert len(shared) == SHARED_MAX
    assert min(record.last_ms for record in shared) == 6.0
