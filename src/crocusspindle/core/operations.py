"""Record keyed operations on one node, so that each runs at most once.

Handles orders and payments, a few a second. The ledger must not duplicate a payment
when a caller retries its key at another entry, a node crashes between dispatch and
response, the table's response is lost after the write, the platform is unreachable for
hours, or a paused node resumes. In every mode both holders of a key record an attempt
before it may be sent; in table mode the platform's row also decides.

Authority always ends at a stored deadline. Once made, a record is removed only by the
node that made it or when the retention window ends.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_holders import HolderHistory
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Attempt,
    Decision,
    DecisionAuthority,
    FingerprintMismatch,
    Granted,
    InProgress,
    LedgerMode,
    NotRun,
    NotRunReason,
    OperationName,
    OutcomeUnknown,
    PeerReply,
    PeerVerdict,
    ReadRow,
    Record,
    RecordAtPeer,
    RecordState,
    RowOutcome,
    RowResult,
    Settlement,
    StoredResponse,
    UnknownReason,
    WriteRow,
    decode_record,
    encode_record,
)
from crocusspindle.core.tracked_records import (
    AttemptPhase,
    LedgerLimits,
    TrackedRecord,
    TrackedRecords,
)
from crocusspindle.ids import MemberId, ViewNumber

MAX_RELEASES: Final = 1_024
"""Releases queued for sending. The operation of a dropped one stays refused until its
retention window ends."""

_RELEASABLE: Final = frozenset(
    {AttemptPhase.REQUESTING_PEER, AttemptPhase.WRITING_ROW, AttemptPhase.BEGUN}
)


class OperationLedger:
    """Decide, as one of the two holders, whether an operation may run now."""

    def __init__(self, member: MemberId, limits: LedgerLimits | None = None) -> None:
        self.member = member
        self._limits = limits or LedgerLimits()
        window_ms = self._limits.retention_ms + self._limits.margin_ms
        self.holder_history = HolderHistory(member, window_ms)
        self._tracked_records = TrackedRecords(self._limits)
        self._releases: deque[Settlement] = deque(maxlen=MAX_RELEASES)

    def __len__(self) -> int:
        return len(self._tracked_records)

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        return self.holder_history.adopt(view, now_ms)

    def record_outages(self, views: Iterable[ViewNumber]) -> None:
        """Record the views under which members acted without the platform."""
        for view in views:
            self.holder_history.record_outage(view)

    def begin(
        self,
        name: OperationName,
        attempt: Attempt,
        fingerprint: bytes,
        authority: DecisionAuthority,
        now_ms: float,
    ) -> Decision:
        """Decide on an attempt that an entry requests.

        Each attempt is requested from one holder only; a request to the next holder is
        a new attempt.
        """
        if not self.holder_history.holds(name):
            return self._refuse(NotRunReason.NOT_A_HOLDER, now_ms)
        tracked = self._tracked_records.live(name, now_ms)
        if tracked is not None and tracked.phase is not AttemptPhase.FREE:
            return self._decide_existing(tracked, attempt, fingerprint, now_ms)
        refusal_reason = self._refusal_reason(tracked, attempt, authority, now_ms)
        if refusal_reason is not None:
            covers_earlier = (
                now_ms < authority.until_ms
                and self.holder_history.covers_window(name, now_ms)
            )
            return self._refuse(refusal_reason, now_ms, covers_earlier)
        record = Record(name, attempt, self.member, fingerprint, RecordState.BEGUN)
        tracked = self._tracked_records.put(
            record,
            AttemptPhase.REQUESTING_PEER,
            authority.mode,
            self._view_number,
            now_ms,
        )
        tracked.authority_until_ms = authority.until_ms
        second_holder = self.holder_history.second_holder(name)
        if second_holder is None:
            return self._recorded(tracked, False, now_ms)
        return RecordAtPeer(second_holder, self._view_number, record, authority.mode)

    def peer_result(
        self,
        name: OperationName,
        attempt: Attempt,
        reply: PeerReply | None,
        now_ms: float,
    ) -> Decision:
        """Continue after the second holder's reply; ``reply`` is None on a timeout."""
        tracked = self._tracked_records.find_own(
            name, attempt, self.member, AttemptPhase.REQUESTING_PEER
        )
        if tracked is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if self._view_number != tracked.view:
            return self._abort(tracked, NotRunReason.VIEW_CHANGING, now_ms)
        if reply is None:
            return self._abort(tracked, NotRunReason.PEER_SILENT, now_ms)
        if reply.verdict is PeerVerdict.RECORDED:
            return self._recorded(tracked, reply.complete, now_ms)
        if reply.held is not None:
            return self._held_by_peer(tracked, reply.held, now_ms)
        full = reply.verdict is PeerVerdict.FULL
        reason = NotRunReason.FULL if full else NotRunReason.VIEW_CHANGING
        return self._abort(tracked, reason, now_ms)

    def row_result(
        self, name: OperationName, attempt: Attempt, result: RowResult, now_ms: float
    ) -> Decision:
        """Continue after a call on the operation's row."""
        tracked = self._tracked_records.find_own(
            name, attempt, self.member, AttemptPhase.WRITING_ROW
        )
        if tracked is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if result.outcome is RowOutcome.APPLIED:
            return self._row_written(tracked, result, now_ms)
        if result.outcome is RowOutcome.FOUND:
            return self._row_found(tracked, result, now_ms)
        if result.outcome is RowOutcome.ABSENT:
            tracked.row_version = 0
        tracked.row_calls += 1
        tracked.row_maybe_written |= result.outcome is RowOutcome.UNKNOWN
        calls_exhausted = tracked.row_calls >= self._limits.max_row_calls
        if calls_exhausted or now_ms >= tracked.authority_until_ms:
            return self._abort(tracked, NotRunReason.TABLE_SILENT, now_ms)
        if tracked.row_maybe_written and result.outcome is not RowOutcome.ABSENT:
            return ReadRow(name.row_key)
        return self._write_row(tracked)

    def may_dispatch(
        self, name: OperationName, attempt: Attempt, now_ms: float
    ) -> bool:
        """Return True if an attempt granted by this node may be sent now."""
        tracked = self._tracked_records.find_own(
            name, attempt, self.member, AttemptPhase.BEGUN
        )
        return tracked is not None and now_ms < tracked.dispatch_by_ms

    def finished(
        self, name: OperationName, attempt: Attempt, response: StoredResponse
    ) -> Settlement | None:
        """Record the response of the only run and return the updates to send."""
        tracked = self._tracked_records.find_own(
            name, attempt, self.member, AttemptPhase.BEGUN
        )
        if tracked is None:
            return None
        self._tracked_records.finish(tracked, response)
        return self._settled(tracked)

    def released(self, name: OperationName, attempt: Attempt) -> Settlement | None:
        """Record that the owner of an attempt did not and will not send it.

        The owner may give up while this node still waits for the peer or the table.
        The attempt then ends here, and later replies find it cancelled.
        """
        tracked = self._tracked_records.get(name)
        if tracked is None or tracked.record.attempt != attempt:
            return None
        if tracked.record.origin != self.member or tracked.phase not in _RELEASABLE:
            return None
        tracked.cancel()
        return self._settled(tracked)

    def pop_releases(self) -> list[Settlement]:
        """Return and clear the updates for attempts refused midway."""
        releases = list(self._releases)
        self._releases.clear()
        return releases

    def record_for_peer(self, request: RecordAtPeer, now_ms: float) -> PeerReply:
        """Record an attempt for the other holder, before it is granted there."""
        record = request.record
        if self._view_number != request.view:
            return PeerReply(PeerVerdict.OTHER_VIEW)
        if not self.holder_history.holds(record.name):
            return PeerReply(PeerVerdict.NOT_A_HOLDER)
        held = self._tracked_records.live(record.name, now_ms)
        if held is not None and not self._may_replace(held, request):
            return PeerReply(PeerVerdict.HELD, held=held.record)
        if held is None and self._tracked_records.full:
            return PeerReply(PeerVerdict.FULL)
        complete = self.holder_history.covers_window(record.name, now_ms)
        tracked = self._tracked_records.put(
            record, AttemptPhase.BEGUN, request.mode, request.view, now_ms
        )
        tracked.unflushed = request.mode is LedgerMode.PEER
        return PeerReply(PeerVerdict.RECORDED, complete)

    def peer_settled(self, record: Record) -> None:
        """Apply the other holder's update on the end of an attempt granted there.

        Only the origin of an attempt may free it, and a stored response is final.
        """
        tracked = self._tracked_records.get(record.name)
        if tracked is None or tracked.record.attempt != record.attempt:
            return
        if (
            tracked.record.origin == self.member
            or tracked.phase is not AttemptPhase.BEGUN
        ):
            return
        if record.state is RecordState.DONE and record.response is not None:
            self._tracked_records.finish(tracked, record.response)
        elif record.state is RecordState.FREE:
            tracked.cancel()

    def flush(self) -> list[WriteRow]:
        """Return the rows to write for records that exist only in memory.

        Records of the current view are left out: more may still be added under it.
        Once this returns nothing, the flush marker of this node for all earlier views
        may be written.
        """
        return self._tracked_records.unflushed(self._view_number)

    def flush_result(
        self, name: OperationName, version: int, found_row: bytes | None
    ) -> bool:
        """Record the current row; ``found_row`` is None if this node's put took effect.

        Returns False if the row is behind the record and must be written again.
        """
        return self._tracked_records.record_flush(name, version, found_row)

    def load(self, record: Record, row_version: int, now_ms: float) -> None:
        """Store a table row that was read to complete this node's records."""
        if self.holder_history.holds(record.name):
            self._tracked_records.apply_row(
                record, row_version, self._view_number, now_ms
            )

    def mark_table_loaded(self, view_number: ViewNumber) -> bool:
        """Record that every row was read under a settled view.

        See `HolderHistory.mark_table_loaded`.
        """
        return not self._tracked_records.full and self.holder_history.mark_table_loaded(
            view_number
        )

    def expire(self, now_ms: float) -> list[Record]:
        """Drop the records whose retention window has ended.

        Returns those that this node made, whose table rows may be deleted.
        """
        return [
            record
            for record in self._tracked_records.expire(now_ms)
            if record.origin == self.member
        ]

    @property
    def _view_number(self) -> ViewNumber:
        view = self.holder_history.view
        return ViewNumber(0) if view is None else view.number

    def _refusal_reason(
        self,
        tracked: TrackedRecord | None,
        attempt: Attempt,
        authority: DecisionAuthority,
        now_ms: float,
    ) -> NotRunReason | None:
        if now_ms >= authority.until_ms:
            return NotRunReason.INELIGIBLE
        if tracked is not None and attempt in tracked.cancelled:
            return NotRunReason.TOO_LATE
        if tracked is None and self._tracked_records.full:
            return NotRunReason.FULL
        return None

    def _decide_existing(
        self,
        tracked: TrackedRecord,
        attempt: Attempt,
        fingerprint: bytes,
        now_ms: float,
    ) -> Decision:
        if tracked.record.fingerprint != fingerprint:
            return FingerprintMismatch()
        response = tracked.record.response
        if tracked.phase is AttemptPhase.DONE and response is not None:
            return AlreadyRan(response)
        is_own = (
            tracked.record.origin == self.member and tracked.phase is AttemptPhase.BEGUN
        )
        if (
            is_own
            and tracked.record.attempt == attempt
            and now_ms < tracked.dispatch_by_ms
        ):
            return Granted(attempt, tracked.dispatch_by_ms)
        return self._pending(tracked.settle_by_ms, now_ms)

    def _pending(self, settle_by_ms: float, now_ms: float) -> Decision:
        retry_at_ms = now_ms + self._limits.retry_ms
        if now_ms < settle_by_ms:
            return InProgress(retry_at_ms)
        return OutcomeUnknown(UnknownReason.ATTEMPT_LOST, retry_at_ms)

    def _may_replace(self, held: TrackedRecord, request: RecordAtPeer) -> bool:
        if held.phase is AttemptPhase.FREE:
            return request.record.attempt not in held.cancelled
        if (
            held.record.origin != request.record.origin
            or held.phase is AttemptPhase.DONE
        ):
            return False
        return held.record.attempt in (request.record.attempt, request.replaces)

    def _recorded(
        self, tracked: TrackedRecord, peer_complete: bool, now_ms: float
    ) -> Decision:
        name = tracked.record.name
        complete = peer_complete or self.holder_history.covers_window(name, now_ms)
        if tracked.mode is LedgerMode.PEER:
            if not complete:
                return self._abort_unknown(tracked, UnknownReason.RECORDS_LOST, now_ms)
            return self._grant(tracked, now_ms)
        if not complete and self.holder_history.unflushed(name, now_ms):
            return self._abort_unknown(tracked, UnknownReason.UNFLUSHED, now_ms)
        tracked.phase = AttemptPhase.WRITING_ROW
        return self._write_row(tracked)

    def _held_by_peer(
        self, tracked: TrackedRecord, held: Record, now_ms: float
    ) -> Decision:
        begun = held.state is RecordState.BEGUN
        if begun and held.origin == self.member and held.attempt in tracked.cancelled:
            return RecordAtPeer(
                self.holder_history.second_holder(held.name) or self.member,
                tracked.view,
                tracked.record,
                tracked.mode,
                replaces=held.attempt,
            )
        return self._yield_to(tracked, held, now_ms)

    def _row_found(
        self, tracked: TrackedRecord, result: RowResult, now_ms: float
    ) -> Decision:
        found = decode_record(result.value)
        if found.attempt == tracked.record.attempt:
            return self._row_written(tracked, result, now_ms)
        tracked.row_version = result.version
        if found.state is RecordState.FREE or found.attempt in tracked.cancelled:
            return self._write_row(tracked)
        return self._yield_to(tracked, found, now_ms)

    def _row_written(
        self, tracked: TrackedRecord, result: RowResult, now_ms: float
    ) -> Decision:
        tracked.row_version = result.version
        tracked.row_is_own = True
        return self._grant(tracked, now_ms)

    def _yield_to(
        self, tracked: TrackedRecord, found: Record, now_ms: float
    ) -> Decision:
        """Cancel this attempt in favour of another attempt's record."""
        self._cancel(tracked)
        if found.state is RecordState.FREE:
            return self._refuse(NotRunReason.CONTENDED, now_ms)
        if found.fingerprint != tracked.record.fingerprint:
            return FingerprintMismatch()
        if found.response is not None:
            stored = self._tracked_records.put(
                found, AttemptPhase.DONE, tracked.mode, tracked.view, now_ms
            )
            self._tracked_records.finish(stored, found.response)
            return AlreadyRan(found.response)
        if tracked.competitor != found.attempt:
            tracked.competitor = found.attempt
            tracked.competitor_settle_by_ms = now_ms + self._limits.settle_ms
        return self._pending(tracked.competitor_settle_by_ms, now_ms)

    def _write_row(self, tracked: TrackedRecord) -> WriteRow:
        record = tracked.record
        value = encode_record(record)
        return WriteRow(record.name.row_key, value, tracked.row_version)

    def _grant(self, tracked: TrackedRecord, now_ms: float) -> Decision:
        if now_ms >= tracked.authority_until_ms:
            return self._abort(tracked, NotRunReason.TOO_LATE, now_ms)
        tracked.phase = AttemptPhase.BEGUN
        tracked.unflushed = tracked.mode is LedgerMode.PEER
        tracked.dispatch_by_ms = now_ms + self._limits.dispatch_ms
        return Granted(tracked.record.attempt, tracked.dispatch_by_ms)

    def _abort(
        self, tracked: TrackedRecord, reason: NotRunReason, now_ms: float
    ) -> Decision:
        self._cancel(tracked)
        # Only while the authority is valid can no other pair have decided on the key.
        covers_earlier = (
            now_ms < tracked.authority_until_ms and self._view_number == tracked.view
        )
        covers_earlier = covers_earlier and self.holder_history.covers_window(
            tracked.record.name, now_ms
        )
        return self._refuse(reason, now_ms, covers_earlier)

    def _abort_unknown(
        self, tracked: TrackedRecord, reason: UnknownReason, now_ms: float
    ) -> Decision:
        self._cancel(tracked)
        return OutcomeUnknown(reason, now_ms + self._limits.retry_ms)

    def _cancel(self, tracked: TrackedRecord) -> None:
        tracked.cancel()
        self._releases.append(self._settled(tracked))

    def _refuse(
        self, reason: NotRunReason, now_ms: float, covers_earlier: bool = False
    ) -> NotRun:
        return NotRun(reason, now_ms + self._limits.retry_ms, covers_earlier)

    def _settled(self, tracked: TrackedRecord) -> Settlement:
        record = tracked.record
        row = self._write_row(tracked) if tracked.row_is_own else None
        return Settlement(self.holder_history.second_holder(record.name), record, row)
