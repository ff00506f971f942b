"""Run single operations through event sequences that endanger at-most-once."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import pytest

from crocusspindle.core.eligibility import Eligibility
from crocusspindle.core.operation_holders import HolderHistory, holders
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Attempt,
    Decision,
    DecisionAuthority,
    FingerprintMismatch,
    Granted,
    LedgerMode,
    NotRun,
    NotRunReason,
    OperationName,
    Record,
    RowOutcome,
    RowResult,
    UnknownReason,
    WriteRow,
    decode_record,
)
from crocusspindle.core.operations import OperationLedger
from crocusspindle.ids import AttemptId, CustomerId, MemberId, OperationKey, ViewNumber
from tests.core.ledger_simulation import ANSWER, DONE, LIMITS, LedgerSimulation
from tests.core.small_fleet import Node, started_fleet


class Scenario:
    """Run the operation of one key through a fixed sequence of events."""

    def __init__(self, joining_count: int = 0, faults: Sequence[str] = ()) -> None:
        self.fleet = started_fleet(5, ledger_limits=LIMITS)
        self.simulation = LedgerSimulation(self.fleet)
        self.name = self.key_with_new_holders(joining_count)
        self.faults = list(faults)

    def key_with_new_holders(self, joining_count: int) -> OperationName:
        """Return a key whose two holders are both new after the nodes have joined."""
        before = list(self.fleet.nodes)
        after = [
            *before,
            *(MemberId(f"n{5 + index}") for index in range(joining_count)),
        ]
        names = (
            OperationName(CustomerId("club"), OperationKey(str(index)))
            for index in range(10_000)
        )
        return next(
            name
            for name in names
            if not joining_count or not set(holders(name, after)) & set(before)
        )

    def join(self, count: int, writer: Node) -> None:
        for index in range(5, 5 + count):
            node = self.fleet.start(f"n{index}", str(index))
            writer.membership.record_join_request(node.own_member)
        assert self.fleet.propose(writer)

    def holders(self) -> list[Node]:
        view = self.fleet.views[max(self.fleet.views)]
        return [self.fleet.nodes[member] for member in holders(self.name, view.names)]

    def order(self, node: Node, *faults: str) -> Decision | None:
        return self.simulation.order(node, self.name, list(faults), prefer_peer=False)

    def runs(self) -> int:
        return self.simulation.runs.get(self.name, 0)


def holder_pair_lost_to_new_members() -> int:
    scenario = Scenario(joining_count=8)
    scenario.fleet.reaching_platform.clear()
    scenario.fleet.rounds(6)
    previous = scenario.holders()[0]
    assert isinstance(scenario.order(previous), Granted)
    scenario.fleet.reaching_platform = set(scenario.fleet.nodes)
    scenario.fleet.rounds(2)
    scenario.join(8, scenario.fleet.awake()[0])
    scenario.fleet.rounds(6)
    decision = scenario.order(scenario.holders()[0])
    if scenario.runs() == 1:
        assert decision is not None
        assert getattr(decision, "reason", None) is UnknownReason.UNFLUSHED
        scenario.simulation.flush(previous)
        scenario.simulation.publish_flush_marks()
        assert scenario.order(scenario.holders()[0]) == AlreadyRan(ANSWER)
    return scenario.runs()


def platform_reached_by_few() -> int:
    scenario = Scenario(joining_count=8)
    cut_off = {node.own_member.member for node in scenario.holders()}
    others = [
        node for node in scenario.fleet.awake() if node.own_member.member not in cut_off
    ]
    cut_off.add(others[0].own_member.member)
    scenario.fleet.partition(cut_off)
    scenario.fleet.reaching_platform -= cut_off
    scenario.fleet.rounds(6)
    previous = scenario.holders()[0]
    assert isinstance(scenario.order(previous), Granted)
    writer = others[1]
    scenario.join(8, writer)
    scenario.fleet.partition(cut_off)
    scenario.fleet.rounds(6)
    scenario.order(scenario.holders()[0])
    return scenario.runs()


def holder_killed_before_its_response() -> int:
    scenario = Scenario()
    scenario.fleet.reaching_platform.clear()
    scenario.fleet.rounds(6)
    first, second = scenario.holders()
    assert isinstance(scenario.order(first, "ok", "late"), Granted)
    scenario.fleet.kill(first)
    scenario.order(second)
    return scenario.runs()


def response_lost_after_the_write() -> int:
    scenario = Scenario(joining_count=8)
    first = scenario.holders()[0]
    assert isinstance(scenario.order(first, "ok", "lost"), Granted)
    scenario.join(8, first)
    scenario.fleet.rounds(6)
    new_holders = scenario.holders()
    for node in (*new_holders, *new_holders):
        assert scenario.order(node) == AlreadyRan(ANSWER) or scenario.runs() == 2
    row = scenario.simulation.rows.get(scenario.name.row_key)
    assert scenario.runs() == 2 or (row and decode_record(row[1]).state is DONE)
    return scenario.runs()


def freed_here_and_run_elsewhere() -> int:
    """Fail an attempt at two holders, then run the next at two new holders."""
    scenario = Scenario(joining_count=8)
    previous = scenario.holders()
    for node in previous:
        scenario.order(node, "lost", "ok")
        scenario.order(node, "lost", "ok")
    scenario.join(8, previous[0])
    scenario.fleet.rounds(8)
    assert isinstance(scenario.order(scenario.holders()[0]), Granted)
    for index in range(5, 13):
        leaving = scenario.fleet.nodes[MemberId(f"n{index}")]
        for node in scenario.fleet.awake():
            node.membership.record_leave(leaving.own_member.member)
        scenario.fleet.kill(leaving)
    assert scenario.fleet.propose(scenario.fleet.awake()[0])
    scenario.fleet.rounds(8)
    for node in scenario.fleet.awake():
        scenario.simulation.load(node)
    scenario.fleet.reaching_platform.clear()
    scenario.fleet.rounds(6)
    scenario.order(scenario.holders()[0])
    return scenario.runs()


def rows_of_known_keys_are_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: the row of a key is ignored if memory has any record of it."""
    load = OperationLedger.load

    def skip(ledger: OperationLedger, record: Record, *rest: Any) -> None:
        if ledger._tracked_records.get(record.name) is None:
            load(ledger, record, *rest)

    monkeypatch.setattr(OperationLedger, "load", skip)


def no_second_holder(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: only the node that gets the request keeps a record."""
    monkeypatch.setattr(HolderHistory, "second_holder", lambda *_: None)


def absent_row_means_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: an absent row means that the operation has not begun."""
    monkeypatch.setattr(HolderHistory, "unflushed", lambda *_: False)


def freshness_is_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: every node that reaches the platform decides by its table."""
    monkeypatch.setattr(Eligibility, "table_until_ms", lambda f, _: f.fresh_until_ms())


def holders_decide_without_row(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: the two holders decide, and no row is written before the run."""
    monkeypatch.setattr(
        OperationLedger,
        "_recorded",
        lambda ledger, entry, _, now_ms: ledger._grant(entry, now_ms),
    )


@pytest.mark.parametrize(
    ("scenario", "baseline"),
    [
        (holder_pair_lost_to_new_members, absent_row_means_not_begun),
        (platform_reached_by_few, freshness_is_enough),
        (holder_killed_before_its_response, no_second_holder),
        (response_lost_after_the_write, holders_decide_without_row),
        (freed_here_and_run_elsewhere, rows_of_known_keys_are_skipped),
    ],
)
def test_an_order_runs_once_where_the_baseline_runs_it_twice(
    scenario: Callable[[], int],
    baseline: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caller retries an order and pays twice: after the platform came back with new
    holders, while only some nodes reach the platform, after the sending node crashed,
    after the table's response was lost, or at holders where an attempt failed."""
    assert scenario() == 1
    baseline(monkeypatch)
    assert scenario() == 2


def test_a_surviving_holder_reports_not_run_only_within_its_records() -> None:
    """One of the two holders crashes while the platform is unreachable. The other must
    not run an operation alone, nor report a key as unused that the crashed holder may
    have run before its own records begin."""
    scenario = Scenario()
    scenario.fleet.reaching_platform.clear()
    scenario.fleet.rounds(6)
    first, second = scenario.holders()
    scenario.fleet.kill(first)
    decision = scenario.order(second)
    assert isinstance(decision, NotRun)
    assert decision.covers_earlier
    new_member = HolderHistory(second.own_member.member, window_ms=1_000.0)
    assert second.view is not None
    later_view = replace(second.view, number=ViewNumber(9))
    new_member.adopt(later_view, 0.0)
    assert not new_member.covers_window(scenario.name, 999.0)
    assert new_member.covers_window(scenario.name, 1_000.0)


def test_a_paused_owner_cannot_dispatch_late_and_a_full_ledger_evicts_nothing() -> None:
    """A process pauses between the grant and the dispatch of a payment and resumes an
    hour later, when the key's record may have expired."""
    limits = replace(LIMITS, max_records=1)
    fleet = started_fleet(1, ledger_limits=limits)
    node = fleet.awake()[0]
    authority = DecisionAuthority(LedgerMode.TABLE, fleet.now(node) + 1_000.0)
    names = [OperationName(CustomerId("club"), OperationKey(key)) for key in "ab"]
    attempt = Attempt(node.own_member.member, AttemptId(1))
    now_ms = fleet.now(node)
    ledger = node.ledger
    assert isinstance(
        ledger.begin(names[0], attempt, b"f", authority, now_ms), WriteRow
    )
    result = RowResult(RowOutcome.APPLIED, 1)
    assert isinstance(ledger.row_result(names[0], attempt, result, now_ms), Granted)
    assert ledger.may_dispatch(names[0], attempt, now_ms)
    assert not ledger.may_dispatch(names[0], attempt, now_ms + 3_600_000.0)
    full = ledger.begin(names[1], attempt, b"f", authority, now_ms)
    assert isinstance(full, NotRun)
    assert full.reason is NotRunReason.FULL
    other = ledger.begin(names[0], attempt, b"other", authority, now_ms)
    assert other == FingerprintMismatch()
    assert len(ledger.expire(now_ms + limits.retention_ms)) == 1
    assert len(ledger) == 0
