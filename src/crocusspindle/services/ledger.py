"""Hold operation records for entries: this node's part of running at most once."""

import asyncio
from collections.abc import Iterable
from contextlib import suppress
from typing import Final

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_entries import LedgerLimits
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

FLUSHED: Final = "operations-flushed"
"""The platform table with a row for each member that wrote its records of an outage."""

RECORD_TIMEOUT_S: Final = 0.25
"""The second holder is a round trip of 3 ms away. One that needs a quarter of a
second is paused or gone; the caller may try again sooner than it answers."""

HEARTBEATS_WAITED: Final = 3
"""Two heartbeats bring the proof of a majority, one may be lost. Whoever has none by
then is cut off, and its caller is better told at once."""

RIGHT_LOOKS: Final = 10
HOUSEKEEPING_S: Final = 1.0
EXPIRE_EVERY: Final = 30
LOAD_EVERY: Final = 2
PAGE: Final = 500
LOAD_PAGES: Final = 100
"""50,000 rows, an hour of 14 keyed operations a second. A longer table is not read:
after a change of members the window has to pass instead."""

MARKS_EVERY_MS: Final = 5_000.0
"""An outage's marks are read until its keys' window ends. By 40 nodes that makes 8
reads a second for each outage of the last hour, of two thousand."""

FLUSH_AT_ONCE: Final = 32
"""Rows written together after an outage: with 40 nodes far below what the table
takes in a second, and 100 records a node are through in seconds."""


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
            control.me.member,
            LedgerLimits(
                retention_ms=timings.operation_retention_ms,
                max_body_bytes=limits.answer_kept_bytes,
                max_response_bytes=limits.operation_memory_bytes,
            ),
        )
        self._adopted_ms = 0.0
        self._marked: set[ViewNumber] = set()
        self._marks_due_ms: dict[ViewNumber, float] = {}
        self._tasks_once: set[asyncio.Task[None]] = set()
        control.watch(view=self._take_view)
        metrics.observe(
            instruments.OPERATIONS_KEPT, lambda: [(float(len(self._ledger)), {})]
        )

    async def start(self) -> None:
        """Begin to expire records and to flush those of an outage."""
        self.spawn(self._keep_house())

    def covers_window_for_all_keys(self) -> bool:
        """Return True if memory alone may decide here on every key it holds."""
        return self._ledger.holder_history.covers_window_for_all_keys(now_ms())

    def holders(self, name: OperationName) -> tuple[MemberId, ...]:
        """Return the members that may decide on an operation, in order."""
        return self._ledger.holder_history.current_holders(name)

    async def begin(
        self, name: OperationName, attempt: Attempt, fingerprint: bytes
    ) -> Decision:
        """Decide on an attempt, asking the second holder and the table."""
        await self._until_right()
        decision = self._ledger.begin(
            name, attempt, fingerprint, self._right(), now_ms()
        )
        while True:
            if isinstance(decision, RecordAtPeer):
                reply = await self._ask_peer(decision)
                decision = self._ledger.peer_result(name, attempt, reply, now_ms())
            elif isinstance(decision, WriteRow | ReadRow):
                result = await self._call_row(decision)
                decision = self._ledger.row_result(name, attempt, result, now_ms())
            else:
                self._send_on(self._ledger.pop_releases())
                return decision

    def settle(
        self, name: OperationName, attempt: Attempt, answer: StoredResponse | None
    ) -> None:
        """Take an entry's word on its attempt; None says that it did not run."""
        if answer is None:
            settled = self._ledger.released(name, attempt)
        else:
            settled = self._ledger.finished(name, attempt, answer)
        if settled is not None:
            self._send_on([settled])

    def record(self, asked: wire.RecordBegunRequest) -> wire.RecordBegunReply:
        """Record an attempt for the other holder."""
        replaces = asked.replaces
        question = RecordAtPeer(
            peer=self._control.me.member,
            view=ViewNumber(asked.view_number),
            record=decode_record(asked.record),
            mode=LedgerMode(asked.mode),
            replaces=attempt_from(replaces) if asked.HasField("replaces") else None,
        )
        reply = self._ledger.record_for_peer(question, now_ms())
        return wire.RecordBegunReply(
            verdict=reply.verdict.value,
            complete=reply.complete,
            held=b"" if reply.held is None else encode_record(reply.held),
        )

    def peer_settled(self, record: Record) -> None:
        """Take the other holder's word on the end of an attempt."""
        self._ledger.peer_settled(record)

    async def _until_right(self) -> None:
        """Wait for a majority that knows a view written just now.

        Each planned restart writes two views, and about a heartbeat passes until a
        majority has shown that it knows one. Orders of that moment would be refused.
        """
        until_ms = self._adopted_ms + self._timings.heartbeat_ms * HEARTBEATS_WAITED
        while now_ms() < until_ms and now_ms() >= self._right().until_ms:
            await asyncio.sleep(self._timings.heartbeat_ms / RIGHT_LOOKS / 1e3)

    def _right(self) -> DecisionAuthority:
        """Return by what operations may be decided now, and until when."""
        fitness, now = self._control.fitness, now_ms()
        # Ahead of each decision: a right to decide by table may have come with the
        # very echo that told of an outage whose records are not in it yet.
        self._ledger.note_outages(fitness.away_views(now))
        table_until_ms = fitness.table_until_ms(now)
        if now < table_until_ms:
            return DecisionAuthority(LedgerMode.TABLE, table_until_ms)
        return DecisionAuthority(LedgerMode.PEER, fitness.peer_until_ms(now))

    def _take_view(self, view: MemberView) -> None:
        self._ledger.adopt(view, now_ms())
        self._adopted_ms = now_ms()

    async def _ask_peer(self, asked: RecordAtPeer) -> PeerReply | None:
        request = wire.RecordBegunRequest(
            view_number=asked.view,
            record=encode_record(asked.record),
            mode=asked.mode.value,
        )
        if asked.replaces is not None:
            request.replaces.CopyFrom(attempt_message(asked.replaces))
        try:
            async with asyncio.timeout(RECORD_TIMEOUT_S):
                reply = await self._peers.stub(asked.peer).RecordBegun(
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

    def _send_on(self, settled: Iterable[Settlement]) -> None:
        for one in settled:
            task = asyncio.create_task(self._send_on_one(one))
            self._tasks_once.add(task)
            task.add_done_callback(self._tasks_once.discard)

    async def _send_on_one(self, settled: Settlement) -> None:
        # Best effort: what is lost here leaves a record that refuses, never runs.
        if settled.peer is not None:
            with suppress(*PEER_FAILURES):
                async with asyncio.timeout(RECORD_TIMEOUT_S):
                    await self._peers.stub(settled.peer).PeerSettled(
                        wire.PeerSettledRequest(record=encode_record(settled.record)),
                        metadata=self._peers.metadata,
                    )
        if settled.row is not None:
            await self._call_row(settled.row)

    async def _keep_house(self) -> None:
        looks = 0
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            looks += 1
            if looks % EXPIRE_EVERY == 0:
                await self._expire()
            self._ledger.note_outages(self._control.fitness.away_views(now_ms()))
            if now_ms() < self._control.fitness.fresh_until_ms():
                with suppress(PlatformError):
                    await self._flush()
                    if looks % LOAD_EVERY == 0:
                        await self._load()

    async def _expire(self) -> None:
        """Drop old records, and their rows where this node granted them."""
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
        """Read the table into memory, so that an outage may begin at any time."""
        view = self._control.view
        if view is None or self._ledger.holder_history.covers_window_for_all_keys(
            now_ms()
        ):
            return
        if not self._may_load(view):
            return
        after = ""
        for _ in range(LOAD_PAGES):
            deadline_ms = now_ms() + self._timings.platform_timeout_ms
            rows = await self._platform.read_range(TABLE, after, PAGE, deadline_ms)
            for row in rows:
                self._ledger.load(decode_record(row.value), row.version, now_ms())
            if len(rows) < PAGE:
                break
            after = rows[-1].key
        else:
            return
        if self._may_load(view):
            self._ledger.mark_table_loaded(view.number)

    def _may_load(self, view: MemberView) -> bool:
        fitness, now = self._control.fitness, now_ms()
        settled = fitness.is_settled(view.number, now)
        return settled and now < fitness.table_until_ms(now)

    async def _flush(self) -> None:
        """Write what only memory holds, then say so to the other members."""
        rows = self._ledger.flush()
        for first in range(0, len(rows), FLUSH_AT_ONCE):
            batch = rows[first : first + FLUSH_AT_ONCE]
            await asyncio.gather(*(self._flush_row(row) for row in batch))
        outages = self._ledger.holder_history.outages()
        self._marks_due_ms = {
            number: self._marks_due_ms.get(number, 0.0) for number in outages
        }
        for number in outages:
            if not self._ledger.flush():
                await self._mark(number)
            await self._read_marks(number)

    async def _flush_row(self, row: WriteRow) -> None:
        name = decode_record(row.value).name
        result = await self._call_row(row)
        if result.outcome is RowOutcome.APPLIED:
            self._ledger.flush_result(name, result.version, None)
        elif result.outcome is RowOutcome.FOUND:
            self._ledger.flush_result(name, result.version, result.value)

    async def _mark(self, number: ViewNumber) -> None:
        if number in self._marked:
            return
        key = f"{number:012d}/{self._control.me.member}"
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        await self._platform.put(FLUSHED, key, b"", ABSENT, deadline_ms)
        self._marked.add(number)

    async def _read_marks(self, number: ViewNumber) -> None:
        if now_ms() < self._marks_due_ms[number]:
            return
        self._marks_due_ms[number] = now_ms() + MARKS_EVERY_MS
        prefix = f"{number:012d}/"
        deadline_ms = now_ms() + self._timings.platform_timeout_ms
        rows = await self._platform.read_range(FLUSHED, prefix, 1_000, deadline_ms)
        for row in rows:
            if row.key.startswith(prefix):
                member = MemberId(row.key.removeprefix(prefix))
                self._ledger.holder_history.note_outage_flushed(number, member)


def attempt_message(attempt: Attempt) -> wire.Attempt:
    """Return an attempt as peers send it."""
    return wire.Attempt(owner=attempt.owner, number=attempt.number)


def attempt_from(message: wire.Attempt) -> Attempt:
    """Return an attempt that a peer sent."""
    return Attempt(MemberId(message.owner), AttemptId(message.number))


def answer_message(answer: StoredResponse) -> wire.KeptAnswer:
    """Return a kept answer as peers send it."""
    kept = wire.KeptAnswer(
        status=answer.status,
        digest=answer.digest,
        has_body=answer.body is not None,
        body=answer.body or b"",
    )
    kept.headers.extend(
        wire.Header(name=name, value=text) for name, text in answer.headers
    )
    return kept


def answer_from(message: wire.KeptAnswer) -> StoredResponse:
    """Return a kept answer that a peer sent."""
    return StoredResponse(
        status=message.status,
        digest=message.digest,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=message.body if message.has_body else None,
    )
