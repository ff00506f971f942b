"""Play the table, the messages and the target of an order for its ledgers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from crocusspindle.core.operation_entries import LedgerLimits
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Answer,
    AskPeer,
    Attempt,
    Decision,
    Granted,
    LedgerMode,
    NotRun,
    OperationName,
    OutcomeUnknown,
    ReadRow,
    RecordState,
    Right,
    RowOutcome,
    RowResult,
    WriteRow,
    decode_record,
)
from crocusspindle.ids import AttemptId, MemberId, ViewNumber
from tests.core.small_fleet import Fleet, Node

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
