"""Hold operation records for entries, so that keyed operations run at most once."""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_records import (
    TABLE,
    Attempt,
    Decision,
    DecisionAuthority,
    LedgerMode,
    OperationName,
    PeerReply,
    PeerVerdict,
    ReadRow,
    Record,
    RecordAtPeer,
    RowOutcome,
    RowResult,
    Settlement,
    StoredResponse,
    WriteRow,
    decode_record,
    encode_record,
)
from crocusspindle.core.operations import OperationLedger
from crocusspindle.core.tracked_records import LedgerLimits
from crocusspindle.errors import (
    PlatformError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from crocusspindle.ids import AttemptId, MemberId, ViewNumber
from crocusspindle.kernel import Service
from crocusspindle.metrics import Metrics
from crocusspindle.platform.adapter import ABSENT, Platform
from crocusspindle.services.control import ControlService
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.settings_schema import LimitSettings, TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

FLUSHED_TABLE: Final = "operations-flushed"
"""The platform table with a row for each member that flushed its outage records."""

RECORD_TIMEOUT_S: Final = 0.25
"""The second holder is a round trip of 3 ms away. One that needs a quarter of a second
is paused or has failed, and a retry by the caller may be faster than its reply."""

MAX_HEARTBEATS_WAITED: Final = 3
"""Two heartbeats confirm contact with a majority, and one more may be lost. A node
without a majority by then is isolated, and its caller is refused at once."""

AUTHORITY_CHECKS_PER_HEARTBEAT: Final = 10
HOUSEKEEPING_S: Final = 1.0
EXPIRE_EVERY_ROUNDS: Final = 30
LOAD_EVERY_ROUNDS: Final = 2
PAGE_ROWS: Final = 500
MAX_LOAD_PAGES: Final = 100
"""50,000 rows, an hour of 14 keyed operations a second. A longer table never counts as
loaded; after a change of members the retention window has to pass instead."""

MARKER_READ_INTERVAL_MS: Final = 5_000.0
"""Flush markers of an outage are read until its keys' retention window ends. With 40
nodes, each outage of the last hour costs 8 of the table's 2,000 reads a second."""

FLUSH_BATCH_ROWS: Final = 32
"""Rows written concurrently after an outage. 40 nodes together stay far below the
table's write rate, and a node writes 100 records within seconds."""


class LedgerService(Service):
    """Decide on operations whose records this node holds."""

    name = "ledger"
    needs = ("control", "peers")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        platform: Platform,
        timings: TimingSettings,
        limits: LimitSettings,
        metrics: Metrics,
    ) -> None:
        self._control = control
        self._peers = peers
        self._platform = platform
        self._timings = timings
        self._ledger = OperationLedger(
            control.own_member.member,
            LedgerLimits(
                retention_ms=timings.operation_retention_ms,
                max_body_bytes=limits.answer_kept_bytes,
                max_response_bytes=limits.operation_memory_bytes,
            ),
        )
        self._view_adopted_ms = 0.0
        self._marked_views: set[ViewNumber] = set()
        self._marker_reads_due_ms: dict[ViewNumber, float] = {}
        self._settlement_tasks: set[asyncio.Task[None]] = set()
        control.watch(view=self._update_view)
        metrics.observe(
            instruments.OPERATIONS_KEPT, lambda: [(float(len(self._ledger)), {})]
        )

    async def start(self) -> None:
        """Start expiring records and flushing those of outages."""
        self.spawn(self._run_housekeeping())

    def covers_window_for_all_keys(self) -> bool:
        """Return True if memory alone may decide on every key that this node holds."""
        return self._ledger.holder_history.covers_window_for_all_keys(now_ms())

    def holders(self, name: OperationName) -> tuple[MemberId, ...]:
        """Return the members that may decide on an operation, in order."""
        return self._ledger.holder_history.current_holders(name)

    async def begin(
        self, name: OperationName, attempt: Attempt, fingerprint: bytes
    ) -> Decision:
        """Decide on an attempt, with the second holder and the table."""
        await self._wait_for_authority()
        decision = self._ledger.begin(
            name, attempt, fingerprint, self._decision_authority(), now_ms()
        )
        while True:
            if isinstance(decision, RecordAtPeer):
                reply = await self._record_at_peer(decision)
                decision = self._ledger.peer_result(name, attempt, reply, now_ms())
            elif isinstance(decision, WriteRow | ReadRow):
                result = await self._call_row(decision)
                decision = self._ledger.row_result(name, attempt, result, now_ms())
            else:
                self._send_settlements(self._ledger.pop_releases())
                return decision

    def settle(
        self, name: OperationName, attempt: Attempt, response: StoredResponse | None
    ) -> None:
        """Record the response of an entry's attempt; None means that it did not run."""
        if response is None:
            settled = self._ledger.released(name, attempt)
        else:
            settled = self._ledger.finished(name, attempt, response)
        if settled is not None:
            self._send_settlements([settled])

    def record(self, request: wire.RecordBegunRequest) -> wire.RecordBegunReply:
        """Record an attempt for the other holder."""
        replaces = request.replaces
        peer_request = RecordAtPeer(
            peer=self._control.own_member.member,
            view=ViewNumber(request.view_number),
            record=decode_record(request.record),
            mode=LedgerMode(request.mode),
            replaces=attempt_from_message(replaces)
            if request.HasField("replaces")
            else None,
        )
        reply = self._ledger.record_for_peer(peer_request, now_ms())
        return wire.RecordBegunReply(
            verdict=reply.verdict.value,
            complete=reply.complete,
            held=b"" if reply.held is None else encode_record(reply.held),
        )

    def peer_settled(self, record: Record) -> None:
        """Apply the end of an attempt as the other holder reported it."""
        self._ledger.peer_settled(record)

    async def _wait_for_authority(self) -> None:
        """Wait until a majority is known to have a view that was just written.

        Each planned restart writes two views, and a majority confirms each after about
        a heartbeat. Operations that arrive in between would be refused.
        """
        until_ms = (
            self._view_adopted_ms + self._timings.heartbeat_ms * MAX_HEARTBEATS_WAITED
        )
        while now_ms() < until_ms and now_ms() >= self._decision_authority().until_ms:
            await asyncio.sleep(
                self._timings.heartbeat_ms / AUTHORITY_CHECKS_PER_HEARTBEAT / 1e3
            )

    def _decision_authority(self) -> DecisionAuthority:
        """Return whether table or peers may decide operations now, and until when."""
        node_eligibility, now = self._control.node_eligibility, now_ms()
        # Outages are recorded before each decision: the echo that granted authority by
        # table may also have reported an outage whose records are not in the table yet.
        self._ledger.record_outages(node_eligibility.outage_views(now))
        table_until_ms = node_eligibility.table_until_ms(now)
        if now < table_until_ms:
            return DecisionAuthority(LedgerMode.TABLE, table_until_ms)
        return DecisionAuthority(LedgerMode.PEER, node_eligibility.peer_until_ms(now))

    def _update_view(self, view: MemberView) -> None:
        self._ledger.adopt(view, now_ms())
        self._view_adopted_ms = now_ms()

    async def _record_at_peer(self, step: RecordAtPeer) -> PeerReply | None:
        request = wire.RecordBegunRequest(
            view_number=step.view,
            record=encode_record(step.record),
            mode=step.mode.value,
        )
        if step.replaces is not None:
            request.replaces.CopyFrom(attempt_message(step.replaces))
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                reply = await self._peers.stub(step.peer).RecordBegun(
                    request, metadata=self._peers.metadata
                )
        except PEER_FAILURES:
            return None
        held = decode_record(reply.held) if reply.held else None
        return PeerReply(PeerVerdict(reply.verdict), reply.complete, held)

    async def _call_row(self, call: WriteRow | ReadRow) -> RowResult:
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        try:
            if isinstance(call, ReadRow):
                row = await self._platform.get(TABLE, call.row_key, deadline_ms)
                if row is None:
                    return RowResult(RowOutcome.ABSENT)
                return RowResult(RowOutcome.FOUND, row.version, row.value)
            result = await self._platform.put(
                TABLE, call.row_key, call.value, call.expected_version, deadline_ms
            )
        except PlatformUnavailableError:
            return RowResult(RowOutcome.UNAVAILABLE)
        except PlatformUnknownError:
            return RowResult(RowOutcome.UNKNOWN)
        row = result.current
        if row is None:
            return RowResult(RowOutcome.ABSENT)
        outcome = RowOutcome.APPLIED if result.applied else RowOutcome.FOUND
        return RowResult(outcome, row.version, row.value)

    def _send_settlements(self, settlements: Iterable[Settlement]) -> None:
        for settlement in settlements:
            task = asyncio.create_task(self._send_settlement(settlement))
            self._settlement_tasks.add(task)
            task.add_done_callback(self._settlement_tasks.discard)

    async def _send_settlement(self, settlement: Settlement) -> None:
        # Best effort: if a message is lost, the record stays begun, so a repeated
        # operation is refused and never runs again.
        if settlement.peer is not None:
            with suppress(*PEER_FAILURES):
                async with asyncio.timeout(RECORD_TIMEOUT_S):
                    await self._peers.stub(settlement.peer).PeerSettled(
                        wire.PeerSettledRequest(
                            record=encode_record(settlement.record)
                        ),
                        metadata=self._peers.metadata,
                    )
        if settlement.row is not None:
            await self._call_row(settlement.row)

    async def _run_housekeeping(self) -> None:
        rounds = 0
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            rounds += 1
            if rounds % EXPIRE_EVERY_ROUNDS == 0:
                await self._expire()
            self._ledger.record_outages(
                self._control.node_eligibility.outage_views(now_ms())
            )
            if now_ms() < self._control.node_eligibility.fresh_until_ms():
                with suppress(PlatformError):
                    await self._flush()
                    if rounds % LOAD_EVERY_ROUNDS == 0:
                        await self._load()

    async def _expire(self) -> None:
        """Drop old records, and their rows if this node made them."""
        for record in self._ledger.expire(now_ms()):
            with suppress(PlatformError):
                await self._delete_row(record)

    async def _delete_row(self, record: Record) -> None:
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        key = record.name.row_key
        row = await self._platform.get(TABLE, key, deadline_ms)
        if row is not None and decode_record(row.value).attempt == record.attempt:
            await self._platform.delete(TABLE, key, row.version, deadline_ms)

    async def _load(self) -> None:
        """Load the table, so that memory can decide when an outage begins."""
        view = self._control.view
        if view is None or self._ledger.holder_history.covers_window_for_all_keys(
            now_ms()
        ):
            return
        if not self._may_load(view):
            return
        after = ""
        for _ in range(MAX_LOAD_PAGES):
            deadline_ms = now_ms() + self._timings.platform_timeout_ms
            rows = await self._platform.read_range(TABLE, after, PAGE_ROWS, deadline_ms)
            for row in rows:
                self._ledger.load(decode_record(row.value), row.version, now_ms())
            if len(rows) < PAGE_ROWS:
                break
            after = rows[-1].key
        else:
            return
        if self._may_load(view):
            self._ledger.mark_table_loaded(view.number)

    def _may_load(self, view: MemberView) -> bool:
        node_eligibility, now = self._control.node_eligibility, now_ms()
        is_settled = node_eligibility.is_settled(view.number, now)
        return is_settled and now < node_eligibility.table_until_ms(now)

    async def _flush(self) -> None:
        """Write records that only memory holds, then a flush marker for other nodes."""
        rows = self._ledger.flush()
        for first in range(0, len(rows), FLUSH_BATCH_ROWS):
            batch = rows[first : first + FLUSH_BATCH_ROWS]
            await asyncio.gather(*(self._flush_row(row) for row in batch))
        outages = self._ledger.holder_history.outages()
        self._marker_reads_due_ms = {
            number: self._marker_reads_due_ms.get(number, 0.0) for number in outages
        }
        for number in outages:
            if not self._ledger.flush():
                await self._write_flush_marker(number)
            await self._read_flush_markers(number)

    async def _flush_row(self, row: WriteRow) -> None:
        name = decode_record(row.value).name
        result = await self._call_row(row)
        if result.outcome is RowOutcome.APPLIED:
            self._ledger.flush_result(name, result.version, None)
        elif result.outcome is RowOutcome.FOUND:
            self._ledger.flush_result(name, result.version, result.value)

    async def _write_flush_marker(self, number: ViewNumber) -> None:
        if number in self._marked_views:
            return
        key = f"{number:012d}/{self._control.own_member.member}"
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        await self._platform.put(FLUSHED_TABLE, key, b"", ABSENT, deadline_ms)
        self._marked_views.add(number)

    async def _read_flush_markers(self, number: ViewNumber) -> None:
        if now_ms() < self._marker_reads_due_ms[number]:
            return
        self._marker_reads_due_ms[number] = now_ms() + MARKER_READ_INTERVAL_MS
        prefix = f"{number:012d}/"
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        rows = await self._platform.read_range(
            FLUSHED_TABLE, prefix, 1_000, deadline_ms
        )
        for row in rows:
            if row.key.startswith(prefix):
                member = MemberId(row.key.removeprefix(prefix))
                self._ledger.holder_history.record_outage_flush(number, member)


def attempt_message(attempt: Attempt) -> wire.Attempt:
    """Encode an attempt for a peer."""
    return wire.Attempt(owner=attempt.owner, number=attempt.number)


def attempt_from_message(message: wire.Attempt) -> Attempt:
    """Decode an attempt sent by a peer."""
    return Attempt(MemberId(message.owner), AttemptId(message.number))


def response_message(response: StoredResponse) -> wire.KeptAnswer:
    """Encode a stored response for a peer."""
    kept = wire.KeptAnswer(
        status=response.status,
        digest=response.digest,
        has_body=response.body is not None,
        body=response.body or b"",
    )
    kept.headers.extend(
        wire.Header(name=name, value=text) for name, text in response.headers
    )
    return kept


def response_from_message(message: wire.KeptAnswer) -> StoredResponse:
    """Decode a stored response sent by a peer."""
    return StoredResponse(
        status=message.status,
        digest=message.digest,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=message.body if message.has_body else None,
    )
