from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.fitness import Fitness
from crocusspindle.core.operation_entries import LedgerLimits
from crocusspindle.core.operation_places import Places, holders
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Answer,
    AskPeer,
    Attempt,
    Decision,
    FingerprintMismatch,
    Granted,
    LedgerMode,
    NotRun,
    NotRunReason,
    OperationName,
    OutcomeUnknown,
    ReadRow,
    Record,
    RecordState,
    Right,
    RowOutcome,
    RowResult,
    UnknownReason,
    WriteRow,
    decode_record,
)
from crocusspindle.core.operations import OperationLedger
from crocusspindle.ids import AttemptId, CustomerId, MemberId, OperationKey, ViewNumber
from tests.core.small_fleet import Fleet, Node, started

LIMITS = LedgerLimits(retention_ms=180_000.0, margin_ms=15_000.0)
DONE = RecordState.DONE
KEY_EPOCH_MS = 120_000.0
ANSWER = Answer(200, b"digest", (("a", "b"),), b"paid")


@dataclass
class Market:
    """Hold the table's rows, late messages, and what the target really ran."""

    fleet: Fleet
    rows: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    marks: set[tuple[ViewNumber, MemberId]] = field(default_factory=set)
    late: list[Callable[[], None]] = field(default_factory=list)
    held: list[Callable[[], None]] = field(default_factory=list)
    runs: dict[OperationName, int] = field(default_factory=dict)
    granted: dict[Attempt, OperationName] = field(default_factory=dict)
    refused: set[Attempt] = field(default_factory=set)
    attempts: int = 0

    def order(
        self, node: Node, name: OperationName, fates: list[str], prefer_peer: bool
    ) -> Decision | None:
        """Lead one attempt through its calls; each meets the next fate."""
        self.attempts += 1
        attempt = Attempt(node.me.member, AttemptId(self.attempts))
        now_ms = self.fleet.now(node)
        decision = node.ledger.begin(
            name, attempt, b"print", self.right(node, prefer_peer), now_ms
        )
        return self.go_on(node, name, attempt, decision, fates)

    def right(self, node: Node, prefer_peer: bool) -> Right:
        now_ms = self.fleet.now(node)
        node.ledger.note_outages(node.fitness.away_views(now_ms))
        peer = Right(LedgerMode.PEER, node.fitness.peer_until_ms(now_ms))
        table = Right(LedgerMode.TABLE, node.fitness.table_until_ms(now_ms))
        rights = [peer, table] if prefer_peer else [table, peer]
        return next((one for one in rights if now_ms < one.until_ms), table)

    def go_on(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        decision: Decision,
        fates: list[str],
    ) -> Decision | None:
        while isinstance(decision, AskPeer | WriteRow | ReadRow):
            fate = fates.pop(0) if fates else "ok"
            if fate == "pause":
                self.held.append(self.later(node, name, attempt, decision, fates))
                return None
            decision = self.call(node, name, attempt, decision, fate)
        self.judge(name, attempt, decision)
        for settled in node.ledger.take_releases():
            self.send(node, settled, fates[-1] if fates else "ok")
        if isinstance(decision, Granted):
            self.use(node, name, decision, fates.pop(0) if fates else "ok")
        return decision

    def later(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        decision: Decision,
        fates: list[str],
    ) -> Callable[[], None]:
        def resume() -> None:
            if node.awake and node.me.member in self.fleet.nodes:
                self.go_on(node, name, attempt, decision, fates)

        return resume

    def call(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        step: AskPeer | WriteRow | ReadRow,
        fate: str,
    ) -> Decision:
        if isinstance(step, AskPeer):
            reply = self.ask(node, step, fate)
            return node.ledger.peer_result(name, attempt, reply, self.fleet.now(node))
        result = self.touch_row(node, step, fate)
        return node.ledger.row_result(name, attempt, result, self.fleet.now(node))

    def ask(self, node: Node, step: AskPeer, fate: str):  # type: ignore[no-untyped-def]
        peer = self.fleet.nodes.get(step.peer)
        there, back = (node.me.member, step.peer), (step.peer, node.me.member)
        if peer is None or there in self.fleet.blocked:
            return None

        def arrive():  # type: ignore[no-untyped-def]
            return peer.ledger.record_for_peer(step, self.fleet.now(peer))

        if fate == "late" or not peer.awake:
            self.late.append(arrive)
            return None
        reply = arrive()
        return None if fate == "lost" or back in self.fleet.blocked else reply

    def touch_row(self, node: Node, step: WriteRow | ReadRow, fate: str) -> RowResult:
        if node.me.member not in self.fleet.reach:
            return RowResult(RowOutcome.UNAVAILABLE)
        if isinstance(step, WriteRow):
            if fate == "late":
                self.late.append(lambda: self.put(step))
            if fate in ("late", "lost"):
                applied = fate == "lost" and self.put(step)
                return RowResult(RowOutcome.UNKNOWN, int(bool(applied)))
            if self.put(step):
                return RowResult(RowOutcome.APPLIED, step.expected_version + 1)
        row = self.rows.get(step.row_key)
        return (
            RowResult(RowOutcome.FOUND, *row) if row else RowResult(RowOutcome.ABSENT)
        )

    def put(self, step: WriteRow) -> bool:
        version, _ = self.rows.get(step.row_key, (0, b""))
        if version != step.expected_version:
            return False
        self.rows[step.row_key] = (version + 1, step.value)
        return True

    def judge(self, name: OperationName, attempt: Attempt, decision: Decision) -> None:
        if isinstance(decision, NotRun | OutcomeUnknown):
            self.refused.add(attempt)
            assert attempt not in self.granted
        if isinstance(decision, NotRun) and decision.covers_earlier:
            assert self.runs.get(name, 0) == 0
            assert name not in self.granted.values()
        if isinstance(decision, AlreadyRan):
            assert self.runs.get(name, 0) >= 1
        if isinstance(decision, Granted):
            assert attempt not in self.refused
            self.granted[attempt] = name

    def use(self, node: Node, name: OperationName, grant: Granted, fate: str) -> None:
        if fate == "release":
            self.send(node, node.ledger.released(name, grant.attempt), "ok")
            del self.granted[grant.attempt]
        elif fate == "pause":
            self.held.append(lambda: self.send_request(node, name, grant, "ok"))
        else:
            self.send_request(node, name, grant, fate)

    def send_request(
        self, node: Node, name: OperationName, grant: Granted, fate: str
    ) -> None:
        alive = node.awake and node.me.member in self.fleet.nodes
        if not alive or self.fleet.now(node) >= grant.dispatch_by_ms:
            return
        self.runs[name] = self.runs.get(name, 0) + 1
        if fate != "late":
            settled = node.ledger.finished(name, grant.attempt, ANSWER)
            self.send(node, settled, fate)

    def send(self, node: Node, settled, fate: str) -> None:  # type: ignore[no-untyped-def]
        if settled is None or fate == "lost":
            return
        peer = self.fleet.nodes.get(settled.peer)
        if (
            peer is not None
            and (node.me.member, settled.peer) not in self.fleet.blocked
        ):
            peer.ledger.peer_settled(settled.record)
        if settled.row is not None and node.me.member in self.fleet.reach:
            self.put(settled.row)

    def flush(self, node: Node) -> None:
        if node.me.member not in self.fleet.reach or not node.awake:
            return
        for step in node.ledger.flush():
            name = decode_record(step.value).name
            if self.put(step):
                node.ledger.flush_result(name, step.expected_version + 1, None)
            else:
                version, value = self.rows[step.row_key]
                node.ledger.flush_result(name, version, value)
        if not node.ledger.flush() and node.view is not None:
            for number in self.fleet.views:
                if number < node.view.number:
                    self.marks.add((number, node.me.member))

    def load(self, node: Node) -> None:
        now_ms, view = self.fleet.now(node), node.view
        if view is None or node.me.member not in self.fleet.reach:
            return
        settled = node.fitness.majority_at(view.number, now_ms)
        if not settled or now_ms >= node.fitness.table_until_ms(now_ms):
            return
        for version, value in self.rows.values():
            node.ledger.load(decode_record(value), version, now_ms)
        node.ledger.loaded(view.number)

    def tell_marks(self) -> None:
        for node in self.fleet.awake():
            for view, member in self.marks:
                node.ledger.places.outage_flushed(view, member)


FATES = st.lists(
    st.sampled_from(["ok", "ok", "lost", "late", "pause", "release"]), max_size=4
)


ROUNDS = st.sampled_from([0, 1, 2, 6])


class OperationMachine(RuleBasedStateMachine):
    """Search for orders of events after which an operation runs twice."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = started(4, ledger_limits=LIMITS)
        self.market = Market(self.fleet)
        self.starts = 4

    def pick(self, index: int) -> Node:
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    def go_on(self, rounds: int) -> None:
        for _ in range(rounds):
            self.fleet.round()
            any(self.fleet.propose(node) for node in self.fleet.awake())

    @rule(
        key=st.integers(0, 5),
        second=st.booleans(),
        stale=st.booleans(),
        fates=FATES,
        prefer_peer=st.booleans(),
    )
    def order(
        self, key: int, second: bool, stale: bool, fates: list[str], prefer_peer: bool
    ) -> None:
        """Ask a holder by the newest view, or by one of the views still in use."""
        epoch = int(self.fleet.t_ms // KEY_EPOCH_MS)
        name = OperationName(CustomerId("club"), OperationKey(f"{key}.{epoch}"))
        views = sorted({one.view.number for one in self.fleet.awake() if one.view})
        if not views:
            return
        known = self.fleet.views[views[0 if stale else -1]]
        node = self.fleet.nodes.get(holders(name, known.names)[-1 if second else 0])
        if node is not None and node.awake:
            self.market.order(node, name, list(fates), prefer_peer)

    @rule(
        index=st.integers(0, 9),
        kind=st.sampled_from(["join", "crash", "restart", "leave"]),
        rounds=ROUNDS,
    )
    def change_members(self, index: int, kind: str, rounds: int) -> None:
        old = self.pick(index)
        if kind == "join" and len(self.fleet.nodes) > 7:
            return
        if kind == "leave":
            for peer in self.fleet.awake():
                peer.membership.leaves(old.me.member)
        if kind in ("crash", "leave", "restart") and len(self.fleet.nodes) > 2:
            self.fleet.kill(old)
        if kind in ("join", "restart"):
            address = old.me.peer_address if kind == "restart" else str(self.starts)
            node = self.fleet.start(f"n{self.starts}", address)
            self.starts += 1
            for peer in self.fleet.awake():
                peer.membership.asks_to_join(node.me)
        self.go_on(rounds)

    @rule(rounds=ROUNDS)
    def platform_for_all(self, rounds: int) -> None:
        self.fleet.reach = set(self.fleet.nodes)
        self.go_on(rounds)

    @rule(reach=st.sets(st.integers(0, 7), max_size=2), rounds=st.just(6) | ROUNDS)
    def platform_for_few(self, reach: set[int], rounds: int) -> None:
        self.fleet.reach = {self.pick(index).me.member for index in reach}
        self.go_on(rounds)

    @rule(rounds=st.just(6) | ROUNDS)
    def platform_for_nobody(self, rounds: int) -> None:
        self.fleet.reach.clear()
        self.go_on(rounds)

    @rule(group=st.sets(st.integers(0, 7), max_size=3), one_way=st.booleans())
    def cut(self, group: set[int], one_way: bool) -> None:
        names = {self.pick(index).me.member for index in group}
        self.fleet.blocked.clear()
        self.fleet.part(names)
        if one_way:
            kept = {pair for pair in self.fleet.blocked if pair[0] in names}
            self.fleet.blocked = kept

    @rule(rounds=ROUNDS)
    def pass_time(self, rounds: int) -> None:
        self.go_on(rounds)

    @rule(index=st.integers(0, 9), rounds=ROUNDS)
    def stop_or_wake(self, index: int, rounds: int) -> None:
        node = self.pick(index)
        node.awake = not node.awake
        self.go_on(rounds)

    @rule(index=st.integers(0, 9))
    def a_late_message_arrives(self, index: int) -> None:
        if self.market.late:
            self.market.late.pop(index % len(self.market.late))()

    @rule(index=st.integers(0, 9))
    def a_paused_step_goes_on(self, index: int) -> None:
        if self.market.held:
            self.market.held.pop(index % len(self.market.held))()

    @rule(index=st.none() | st.integers(0, 9))
    def flush(self, index: int | None) -> None:
        nodes = self.fleet.awake() if index is None else [self.pick(index)]
        for node in nodes:
            self.market.flush(node)
        self.market.tell_marks()

    @rule()
    def load(self) -> None:
        for node in self.fleet.awake():
            self.market.load(node)

    @invariant()
    def nothing_ran_twice(self) -> None:
        assert all(count == 1 for count in self.market.runs.values())


TestOperations = OperationMachine.TestCase
TestOperations.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


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
