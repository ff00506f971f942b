"""Lead single operations through the orders of events that a search once found."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

import pytest

from crocusspindle.core.fitness import Fitness
from crocusspindle.core.operation_places import Places, holders
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Attempt,
    Decision,
    FingerprintMismatch,
    Granted,
    LedgerMode,
    NotRun,
    NotRunReason,
    OperationName,
    Record,
    Right,
    RowOutcome,
    RowResult,
    UnknownReason,
    WriteRow,
    decode_record,
)
from crocusspindle.core.operations import OperationLedger
from crocusspindle.ids import AttemptId, CustomerId, MemberId, OperationKey, ViewNumber
from tests.core.operations_market import ANSWER, DONE, LIMITS, Market
from tests.core.small_fleet import Node, started


class Scene:
    """Lead one key through a fixed order of events."""

    def __init__(self, later: int = 0, fates: Sequence[str] = ()) -> None:
        self.fleet = started(5, ledger_limits=LIMITS)
        self.market = Market(self.fleet)
        self.name = self.key_that_moves(later)
        self.fates = list(fates)

    def key_that_moves(self, later: int) -> OperationName:
        """Return a key whose two holders are both new once nodes have joined."""
        before = list(self.fleet.nodes)
        after = [*before, *(MemberId(f"n{5 + index}") for index in range(later))]
        names = (
            OperationName(CustomerId("club"), OperationKey(str(index)))
            for index in range(10_000)
        )
        return next(
            name
            for name in names
            if not later or not set(holders(name, after)) & set(before)
        )

    def join(self, count: int, writer: Node) -> None:
        for index in range(5, 5 + count):
            node = self.fleet.start(f"n{index}", str(index))
            writer.membership.asks_to_join(node.me)
        assert self.fleet.propose(writer)

    def holders(self) -> list[Node]:
        view = self.fleet.views[max(self.fleet.views)]
        return [self.fleet.nodes[one] for one in holders(self.name, view.names)]

    def order(self, node: Node, *fates: str) -> Decision | None:
        return self.market.order(node, self.name, list(fates), prefer_peer=False)

    def runs(self) -> int:
        return self.market.runs.get(self.name, 0)


def pair_lost_to_newcomers() -> int:
    scene = Scene(later=8)
    scene.fleet.reach.clear()
    scene.fleet.rounds(6)
    former = scene.holders()[0]
    assert isinstance(scene.order(former), Granted)
    scene.fleet.reach = set(scene.fleet.nodes)
    scene.fleet.rounds(2)
    scene.join(8, scene.fleet.awake()[0])
    scene.fleet.rounds(6)
    answer = scene.order(scene.holders()[0])
    if scene.runs() == 1:
        assert answer is not None
        assert getattr(answer, "reason", None) is UnknownReason.UNFLUSHED
        scene.market.flush(former)
        scene.market.tell_marks()
        assert scene.order(scene.holders()[0]) == AlreadyRan(ANSWER)
    return scene.runs()


def platform_seen_by_few() -> int:
    scene = Scene(later=8)
    cut_off = {node.me.member for node in scene.holders()}
    others = [node for node in scene.fleet.awake() if node.me.member not in cut_off]
    cut_off.add(others[0].me.member)
    scene.fleet.part(cut_off)
    scene.fleet.reach -= cut_off
    scene.fleet.rounds(6)
    former = scene.holders()[0]
    assert isinstance(scene.order(former), Granted)
    writer = others[1]
    scene.join(8, writer)
    scene.fleet.part(cut_off)
    scene.fleet.rounds(6)
    scene.order(scene.holders()[0])
    return scene.runs()


def home_killed_before_its_answer() -> int:
    scene = Scene()
    scene.fleet.reach.clear()
    scene.fleet.rounds(6)
    first, second = scene.holders()
    assert isinstance(scene.order(first, "ok", "late"), Granted)
    scene.fleet.kill(first)
    scene.order(second)
    return scene.runs()


def answer_lost_after_the_write() -> int:
    scene = Scene(later=8)
    first = scene.holders()[0]
    assert isinstance(scene.order(first, "ok", "lost"), Granted)
    scene.join(8, first)
    scene.fleet.rounds(6)
    newcomers = scene.holders()
    for node in (*newcomers, *newcomers):
        assert scene.order(node) == AlreadyRan(ANSWER) or scene.runs() == 2
    row = scene.market.rows.get(scene.name.row_key)
    assert scene.runs() == 2 or (row and decode_record(row[1]).state is DONE)
    return scene.runs()


def freed_here_and_run_elsewhere() -> int:
    """Let an attempt fail at two holders, and the next run at two newcomers."""
    scene = Scene(later=8)
    former = scene.holders()
    for node in former:
        scene.order(node, "lost", "ok")
        scene.order(node, "lost", "ok")
    scene.join(8, former[0])
    scene.fleet.rounds(8)
    assert isinstance(scene.order(scene.holders()[0]), Granted)
    for index in range(5, 13):
        leaving = scene.fleet.nodes[MemberId(f"n{index}")]
        for node in scene.fleet.awake():
            node.membership.leaves(leaving.me.member)
        scene.fleet.kill(leaving)
    assert scene.fleet.propose(scene.fleet.awake()[0])
    scene.fleet.rounds(8)
    for node in scene.fleet.awake():
        scene.market.load(node)
    scene.fleet.reach.clear()
    scene.fleet.rounds(6)
    scene.order(scene.holders()[0])
    return scene.runs()


def known_keys_are_not_loaded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: a key that memory knows in any state is not taken from its row."""
    load = OperationLedger.load

    def skip(ledger: OperationLedger, record: Record, *rest: Any) -> None:
        if ledger._entries.get(record.name) is None:
            load(ledger, record, *rest)

    monkeypatch.setattr(OperationLedger, "load", skip)


def memory_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: the node that is asked remembers, and nobody else."""
    monkeypatch.setattr(Places, "second", lambda *_: None)


def any_row_is_the_whole_truth(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: an absent row means that the operation has not begun."""
    monkeypatch.setattr(Places, "unflushed", lambda *_: False)


def stamp_is_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: whoever reaches the platform decides by its table."""
    monkeypatch.setattr(Fitness, "table_until_ms", lambda f, _: f.stamp_until_ms())


def memory_decides_always(monkeypatch: pytest.MonkeyPatch) -> None:
    """Baseline: two memories decide, and no row is written before the run."""
    monkeypatch.setattr(
        OperationLedger,
        "_recorded",
        lambda ledger, entry, _, now_ms: ledger._grant(entry, now_ms),
    )


@pytest.mark.parametrize(
    ("scene", "baseline"),
    [
        (pair_lost_to_newcomers, any_row_is_the_whole_truth),
        (platform_seen_by_few, stamp_is_enough),
        (home_killed_before_its_answer, memory_alone),
        (answer_lost_after_the_write, memory_decides_always),
        (freed_here_and_run_elsewhere, known_keys_are_not_loaded),
    ],
)
def test_an_order_runs_once_where_the_baseline_runs_it_twice(
    scene: Callable[[], int],
    baseline: Callable[[pytest.MonkeyPatch], None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A caretaker's page repeats an order, after the platform came back under new
    nodes, or while only some see the platform, or after the node that sent it died,
    or after the table's answer was lost, or at holders that tried in vain before. Two
    crews come, and the ward pays twice."""
    assert scene() == 1
    baseline(monkeypatch)
    assert scene() == 2


def test_a_survivor_says_not_run_only_for_what_it_would_know() -> None:
    """While the platform is away one of the two holders dies. The other must not
    run a key alone, and must not call a key of the dead one's time unused."""
    scene = Scene()
    scene.fleet.reach.clear()
    scene.fleet.rounds(6)
    first, second = scene.holders()
    scene.fleet.kill(first)
    answer = scene.order(second)
    assert isinstance(answer, NotRun)
    assert answer.covers_earlier
    young = Places(second.me.member, window_ms=1_000.0)
    assert second.view is not None
    later = replace(second.view, number=ViewNumber(9))
    young.adopt(later, 0.0)
    assert not young.complete(scene.name, 999.0)
    assert young.complete(scene.name, 1_000.0)


def test_a_paused_owner_does_not_send_late_and_a_full_ledger_forgets_nothing() -> None:
    """A host stops between the grant and the sending of a payment, and runs on an
    hour later, when the key may have been given up."""
    limits = replace(LIMITS, max_records=1)
    fleet = started(1, ledger_limits=limits)
    node = fleet.awake()[0]
    right = Right(LedgerMode.TABLE, fleet.now(node) + 1_000.0)
    names = [OperationName(CustomerId("club"), OperationKey(key)) for key in "ab"]
    attempt = Attempt(node.me.member, AttemptId(1))
    now_ms = fleet.now(node)
    ledger = node.ledger
    assert isinstance(ledger.begin(names[0], attempt, b"f", right, now_ms), WriteRow)
    result = RowResult(RowOutcome.APPLIED, 1)
    assert isinstance(ledger.row_result(names[0], attempt, result, now_ms), Granted)
    assert ledger.may_dispatch(names[0], attempt, now_ms)
    assert not ledger.may_dispatch(names[0], attempt, now_ms + 3_600_000.0)
    full = ledger.begin(names[1], attempt, b"f", right, now_ms)
    assert isinstance(full, NotRun)
    assert full.reason is NotRunReason.FULL
    other = ledger.begin(names[0], attempt, b"other", right, now_ms)
    assert other == FingerprintMismatch()
    assert len(ledger.expire(now_ms + limits.retention_ms)) == 1
    assert len(ledger) == 0
