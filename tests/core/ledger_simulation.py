"""Simulate the table, the messages and the target for operation ledgers."""

from collections.abc import Callable
from dataclasses import dataclass, field

from crocusspindle.core.operation_records import (
    AlreadyRan,
    Attempt,
    Decision,
    DecisionAuthority,
    Granted,
    LedgerMode,
    NotRun,
    OperationName,
    OutcomeUnknown,
    ReadRow,
    RecordAtPeer,
    RecordState,
    RowOutcome,
    RowResult,
    StoredResponse,
    WriteRow,
    decode_record,
)
from crocusspindle.core.tracked_records import LedgerLimits
from crocusspindle.ids import AttemptId, MemberId, ViewNumber
from tests.core.small_fleet import Fleet, Node

LIMITS = LedgerLimits(retention_ms=180_000.0, margin_ms=15_000.0)
DONE = RecordState.DONE
# A key is used only within one epoch, which is shorter than the retention window.
KEY_EPOCH_MS = 120_000.0
ANSWER = StoredResponse(200, b"digest", (("a", "b"),), b"paid")


@dataclass
class LedgerSimulation:
    """Hold table rows, delayed messages, and the runs counted at the target."""

    fleet: Fleet
    rows: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    flush_marks: set[tuple[ViewNumber, MemberId]] = field(default_factory=set)
    delayed_messages: list[Callable[[], None]] = field(default_factory=list)
    paused_steps: list[Callable[[], None]] = field(default_factory=list)
    runs: dict[OperationName, int] = field(default_factory=dict)
    granted: dict[Attempt, OperationName] = field(default_factory=dict)
    refused: set[Attempt] = field(default_factory=set)
    attempts: int = 0

    def order(
        self, node: Node, name: OperationName, faults: list[str], prefer_peer: bool
    ) -> Decision | None:
        """Run one attempt through its calls, each with the next fault of the list."""
        self.attempts += 1
        attempt = Attempt(node.own_member.member, AttemptId(self.attempts))
        now_ms = self.fleet.now(node)
        decision = node.ledger.begin(
            name, attempt, b"print", self.authority(node, prefer_peer), now_ms
        )
        return self.run_steps(node, name, attempt, decision, faults)

    def authority(self, node: Node, prefer_peer: bool) -> DecisionAuthority:
        now_ms = self.fleet.now(node)
        node.ledger.record_outages(node.eligibility.outage_views(now_ms))
        peer = DecisionAuthority(
            LedgerMode.PEER, node.eligibility.peer_until_ms(now_ms)
        )
        table = DecisionAuthority(
            LedgerMode.TABLE, node.eligibility.table_until_ms(now_ms)
        )
        choices = [peer, table] if prefer_peer else [table, peer]
        return next((choice for choice in choices if now_ms < choice.until_ms), table)

    def run_steps(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        decision: Decision,
        faults: list[str],
    ) -> Decision | None:
        while isinstance(decision, RecordAtPeer | WriteRow | ReadRow):
            fault = faults.pop(0) if faults else "ok"
            if fault == "pause":
                self.paused_steps.append(
                    self.resume_later(node, name, attempt, decision, faults)
                )
                return None
            decision = self.call(node, name, attempt, decision, fault)
        self.check_decision(name, attempt, decision)
        for settled in node.ledger.pop_releases():
            self.send(node, settled, faults[-1] if faults else "ok")
        if isinstance(decision, Granted):
            self.use_grant(node, name, decision, faults.pop(0) if faults else "ok")
        return decision

    def resume_later(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        decision: Decision,
        faults: list[str],
    ) -> Callable[[], None]:
        def resume() -> None:
            if node.awake and node.own_member.member in self.fleet.nodes:
                self.run_steps(node, name, attempt, decision, faults)

        return resume

    def call(
        self,
        node: Node,
        name: OperationName,
        attempt: Attempt,
        step: RecordAtPeer | WriteRow | ReadRow,
        fault: str,
    ) -> Decision:
        if isinstance(step, RecordAtPeer):
            reply = self.request_peer_record(node, step, fault)
            return node.ledger.peer_result(name, attempt, reply, self.fleet.now(node))
        result = self.call_row(node, step, fault)
        return node.ledger.row_result(name, attempt, result, self.fleet.now(node))

    def request_peer_record(self, node: Node, step: RecordAtPeer, fault: str):  # type: ignore[no-untyped-def]
        peer = self.fleet.nodes.get(step.peer)
        request_link, reply_link = (
            (node.own_member.member, step.peer),
            (step.peer, node.own_member.member),
        )
        if peer is None or request_link in self.fleet.blocked:
            return None

        def arrive():  # type: ignore[no-untyped-def]
            return peer.ledger.record_for_peer(step, self.fleet.now(peer))

        if fault == "late" or not peer.awake:
            self.delayed_messages.append(arrive)
            return None
        reply = arrive()
        return None if fault == "lost" or reply_link in self.fleet.blocked else reply

    def call_row(self, node: Node, step: WriteRow | ReadRow, fault: str) -> RowResult:
        if node.own_member.member not in self.fleet.reaching_platform:
            return RowResult(RowOutcome.UNAVAILABLE)
        if isinstance(step, WriteRow):
            if fault == "late":
                self.delayed_messages.append(lambda: self.put(step))
            if fault in ("late", "lost"):
                applied = fault == "lost" and self.put(step)
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

    def check_decision(
        self, name: OperationName, attempt: Attempt, decision: Decision
    ) -> None:
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

    def use_grant(
        self, node: Node, name: OperationName, grant: Granted, fault: str
    ) -> None:
        if fault == "release":
            self.send(node, node.ledger.released(name, grant.attempt), "ok")
            del self.granted[grant.attempt]
        elif fault == "pause":
            self.paused_steps.append(lambda: self.send_request(node, name, grant, "ok"))
        else:
            self.send_request(node, name, grant, fault)

    def send_request(
        self, node: Node, name: OperationName, grant: Granted, fault: str
    ) -> None:
        alive = node.awake and node.own_member.member in self.fleet.nodes
        if not alive or self.fleet.now(node) >= grant.dispatch_by_ms:
            return
        self.runs[name] = self.runs.get(name, 0) + 1
        if fault != "late":
            settled = node.ledger.finished(name, grant.attempt, ANSWER)
            self.send(node, settled, fault)

    def send(self, node: Node, settled, fault: str) -> None:  # type: ignore[no-untyped-def]
        if settled is None or fault == "lost":
            return
        peer = self.fleet.nodes.get(settled.peer)
        if (
            peer is not None
            and (node.own_member.member, settled.peer) not in self.fleet.blocked
        ):
            peer.ledger.peer_settled(settled.record)
        if (
            settled.row is not None
            and node.own_member.member in self.fleet.reaching_platform
        ):
            self.put(settled.row)

    def flush(self, node: Node) -> None:
        if node.own_member.member not in self.fleet.reaching_platform or not node.awake:
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
                    self.flush_marks.add((number, node.own_member.member))

    def load(self, node: Node) -> None:
        now_ms, view = self.fleet.now(node), node.view
        if view is None or node.own_member.member not in self.fleet.reaching_platform:
            return
        settled = node.eligibility.is_settled(view.number, now_ms)
        if not settled or now_ms >= node.eligibility.table_until_ms(now_ms):
            return
        for version, value in self.rows.values():
            node.ledger.load(decode_record(value), version, now_ms)
        node.ledger.mark_table_loaded(view.number)

    def publish_flush_marks(self) -> None:
        for node in self.fleet.awake():
            for view, member in self.flush_marks:
                node.ledger.holder_history.record_outage_flush(view, member)
