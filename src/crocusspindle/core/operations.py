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
from crocusspindle.core.operation_entries import (
    EntryPhase,
    LedgerEntries,
    LedgerEntry,
    LedgerLimits,
)
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
from crocusspindle.ids import MemberId, ViewNumber

MAX_RELEASES: Final = 1_024
"""Releases queued for sending. The operation of a dropped one stays refused until its
retention window ends."""

_RELEASABLE: Final = frozenset(
    {EntryPhase.REQUESTING_PEER, EntryPhase.WRITING_ROW, EntryPhase.BEGUN}
)


class OperationLedger:
    """Decide, as one of the two holders, whether an operation may run now."""

    def __init__(self, member: MemberId, limits: LedgerLimits | None = None) -> None:
        self.member = member
        self._limits = limits or LedgerLimits()
        window_ms = self._limits.retention_ms + self._limits.margin_ms
        self.holder_history = HolderHistory(member, window_ms)
        self._entries = LedgerEntries(self._limits)
        self._releases: deque[Settlement] = deque(maxlen=MAX_RELEASES)

    def __len__(self) -> int:
        return len(self._entries)

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
        entry = self._entries.live(name, now_ms)
        if entry is not None and entry.phase is not EntryPhase.FREE:
            return self._decide_existing(entry, attempt, fingerprint, now_ms)
        refusal_reason = self._refusal_reason(entry, attempt, authority, now_ms)
        if refusal_reason is not None:
            covers_earlier = (
                now_ms < authority.until_ms
                and self.holder_history.covers_window(name, now_ms)
            )
            return self._refuse(refusal_reason, now_ms, covers_earlier)
        record = Record(name, attempt, self.member, fingerprint, RecordState.BEGUN)
        entry = self._entries.put(
            record,
            EntryPhase.REQUESTING_PEER,
            authority.mode,
            self._view_number,
            now_ms,
        )
        entry.authority_until_ms = authority.until_ms
        second_holder = self.holder_history.second_holder(name)
        if second_holder is None:
            return self._recorded(entry, False, now_ms)
        return RecordAtPeer(second_holder, self._view_number, record, authority.mode)

    def peer_result(
        self,
        name: OperationName,
        attempt: Attempt,
        reply: PeerReply | None,
        now_ms: float,
    ) -> Decision:
        """Continue after the second holder's reply; ``reply`` is None on a timeout."""
        entry = self._entries.find_own(
            name, attempt, self.member, EntryPhase.REQUESTING_PEER
        )
        if entry is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if self._view_number != entry.view:
            return self._abort(entry, NotRunReason.VIEW_CHANGING, now_ms)
        if reply is None:
            return self._abort(entry, NotRunReason.PEER_SILENT, now_ms)
        if reply.verdict is PeerVerdict.RECORDED:
            return self._recorded(entry, reply.complete, now_ms)
        if reply.held is not None:
            return self._held_by_peer(entry, reply.held, now_ms)
        full = reply.verdict is PeerVerdict.FULL
        reason = NotRunReason.FULL if full else NotRunReason.VIEW_CHANGING
        return self._abort(entry, reason, now_ms)

    def row_result(
        self, name: OperationName, attempt: Attempt, result: RowResult, now_ms: float
    ) -> Decision:
        """Continue after a call on the operation's row."""
        entry = self._entries.find_own(
            name, attempt, self.member, EntryPhase.WRITING_ROW
        )
        if entry is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if result.outcome is RowOutcome.APPLIED:
            return self._row_written(entry, result, now_ms)
        if result.outcome is RowOutcome.FOUND:
            return self._row_found(entry, result, now_ms)
        if result.outcome is RowOutcome.ABSENT:
            entry.row_version = 0
        entry.row_calls += 1
        entry.row_maybe_written |= result.outcome is RowOutcome.UNKNOWN
        calls_exhausted = entry.row_calls >= self._limits.max_row_calls
        if calls_exhausted or now_ms >= entry.authority_until_ms:
            return self._abort(entry, NotRunReason.TABLE_SILENT, now_ms)
        if entry.row_maybe_written and result.outcome is not RowOutcome.ABSENT:
            return ReadRow(name.row_key)
        return self._write_row(entry)

    def may_dispatch(
        self, name: OperationName, attempt: Attempt, now_ms: float
    ) -> bool:
        """Return True if an attempt granted by this node may be sent now."""
        entry = self._entries.find_own(name, attempt, self.member, EntryPhase.BEGUN)
        return entry is not None and now_ms < entry.dispatch_by_ms

    def finished(
        self, name: OperationName, attempt: Attempt, response: StoredResponse
    ) -> Settlement | None:
        """Record the response of the only run and return the updates to send."""
        entry = self._entries.find_own(name, attempt, self.member, EntryPhase.BEGUN)
        if entry is None:
            return None
        self._entries.finish(entry, response)
        return self._settled(entry)

    def released(self, name: OperationName, attempt: Attempt) -> Settlement | None:
        """Record that the owner of an attempt did not and will not send it.

        The owner may give up while this node still waits for the peer or the table.
        The attempt then ends here, and later replies find it cancelled.
        """
        entry = self._entries.get(name)
        if entry is None or entry.record.attempt != attempt:
            return None
        if entry.record.origin != self.member or entry.phase not in _RELEASABLE:
            return None
        entry.cancel()
        return self._settled(entry)

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
        held = self._entries.live(record.name, now_ms)
        if held is not None and not self._may_replace(held, request):
            return PeerReply(PeerVerdict.HELD, held=held.record)
        if held is None and self._entries.full:
            return PeerReply(PeerVerdict.FULL)
        complete = self.holder_history.covers_window(record.name, now_ms)
        entry = self._entries.put(
            record, EntryPhase.BEGUN, request.mode, request.view, now_ms
        )
        entry.unflushed = request.mode is LedgerMode.PEER
        return PeerReply(PeerVerdict.RECORDED, complete)

    def peer_settled(self, record: Record) -> None:
        """Apply the other holder's update on the end of an attempt granted there.

        Only the origin of an attempt may free it, and a stored response is final.
        """
        entry = self._entries.get(record.name)
        if entry is None or entry.record.attempt != record.attempt:
            return
        if entry.record.origin == self.member or entry.phase is not EntryPhase.BEGUN:
            return
        if record.state is RecordState.DONE and record.response is not None:
            self._entries.finish(entry, record.response)
        elif record.state is RecordState.FREE:
            entry.cancel()

    def flush(self) -> list[WriteRow]:
        """Return the rows to write for records that exist only in memory.

        Records of the current view are left out: more may still be added under it.
        Once this returns nothing, the flush mark of this node for all earlier views may
        be written.
        """
        return self._entries.unflushed(self._view_number)

    def flush_result(
        self, name: OperationName, version: int, found_row: bytes | None
    ) -> bool:
        """Record the current row; ``found_row`` is None if this node's put took effect.

        Returns False if the row is behind the record and must be written again.
        """
        return self._entries.record_flush(name, version, found_row)

    def load(self, record: Record, row_version: int, now_ms: float) -> None:
        """Store a table row that was read to complete this node's records."""
        if self.holder_history.holds(record.name):
            self._entries.apply_row(record, row_version, self._view_number, now_ms)

    def mark_table_loaded(self, view_number: ViewNumber) -> bool:
        """Record that every row was read under a settled view.

        See `HolderHistory.mark_table_loaded`.
        """
        return not self._entries.full and self.holder_history.mark_table_loaded(
            view_number
        )

    def expire(self, now_ms: float) -> list[Record]:
        """Drop the records whose retention window has ended.

        Returns those that this node made, whose table rows may be deleted.
        """
        return [
            record
            for record in self._entries.expire(now_ms)
            if record.origin == self.member
        ]

    @property
    def _view_number(self) -> ViewNumber:
        view = self.holder_history.view
        return ViewNumber(0) if view is None else view.number

    def _refusal_reason(
        self,
        entry: LedgerEntry | None,
        attempt: Attempt,
        authority: DecisionAuthority,
        now_ms: float,
    ) -> NotRunReason | None:
        if now_ms >= authority.until_ms:
            return NotRunReason.INELIGIBLE
        if entry is not None and attempt in entry.cancelled:
            return NotRunReason.TOO_LATE
        if entry is None and self._entries.full:
            return NotRunReason.FULL
        return None

    def _decide_existing(
        self, entry: LedgerEntry, attempt: Attempt, fingerprint: bytes, now_ms: float
    ) -> Decision:
        if entry.record.fingerprint != fingerprint:
            return FingerprintMismatch()
        response = entry.record.response
        if entry.phase is EntryPhase.DONE and response is not None:
            return AlreadyRan(response)
        is_own = entry.record.origin == self.member and entry.phase is EntryPhase.BEGUN
        if is_own and entry.record.attempt == attempt and now_ms < entry.dispatch_by_ms:
            return Granted(attempt, entry.dispatch_by_ms)
        return self._pending(entry.settle_by_ms, now_ms)

    def _pending(self, settle_by_ms: float, now_ms: float) -> Decision:
        retry_at_ms = now_ms + self._limits.retry_ms
        if now_ms < settle_by_ms:
            return InProgress(retry_at_ms)
        return OutcomeUnknown(UnknownReason.ATTEMPT_LOST, retry_at_ms)

    def _may_replace(self, held: LedgerEntry, request: RecordAtPeer) -> bool:
        if held.phase is EntryPhase.FREE:
            return request.record.attempt not in held.cancelled
        if held.record.origin != request.record.origin or held.phase is EntryPhase.DONE:
            return False
        return held.record.attempt in (request.record.attempt, request.replaces)

    def _recorded(
        self, entry: LedgerEntry, peer_complete: bool, now_ms: float
    ) -> Decision:
        name = entry.record.name
        complete = peer_complete or self.holder_history.covers_window(name, now_ms)
        if entry.mode is LedgerMode.PEER:
            if not complete:
                return self._abort_unknown(entry, UnknownReason.RECORDS_LOST, now_ms)
            return self._grant(entry, now_ms)
        if not complete and self.holder_history.unflushed(name, now_ms):
            return self._abort_unknown(entry, UnknownReason.UNFLUSHED, now_ms)
        entry.phase = EntryPhase.WRITING_ROW
        return self._write_row(entry)

    def _held_by_peer(
        self, entry: LedgerEntry, held: Record, now_ms: float
    ) -> Decision:
        begun = held.state is RecordState.BEGUN
        if begun and held.origin == self.member and held.attempt in entry.cancelled:
            return RecordAtPeer(
                self.holder_history.second_holder(held.name) or self.member,
                entry.view,
                entry.record,
                entry.mode,
                replaces=held.attempt,
            )
        return self._yield_to(entry, held, now_ms)

    def _row_found(
        self, entry: LedgerEntry, result: RowResult, now_ms: float
    ) -> Decision:
        found = decode_record(result.value)
        if found.attempt == entry.record.attempt:
            return self._row_written(entry, result, now_ms)
        entry.row_version = result.version
        if found.state is RecordState.FREE or found.attempt in entry.cancelled:
            return self._write_row(entry)
        return self._yield_to(entry, found, now_ms)

    def _row_written(
        self, entry: LedgerEntry, result: RowResult, now_ms: float
    ) -> Decision:
        entry.row_version = result.version
        entry.row_is_own = True
        return self._grant(entry, now_ms)

    def _yield_to(self, entry: LedgerEntry, found: Record, now_ms: float) -> Decision:
        """Cancel this attempt in favour of another attempt's record."""
        self._cancel(entry)
        if found.state is RecordState.FREE:
            return self._refuse(NotRunReason.CONTENDED, now_ms)
        if found.fingerprint != entry.record.fingerprint:
            return FingerprintMismatch()
        if found.response is not None:
            stored = self._entries.put(
                found, EntryPhase.DONE, entry.mode, entry.view, now_ms
            )
            self._entries.finish(stored, found.response)
            return AlreadyRan(found.response)
        if entry.competitor != found.attempt:
            entry.competitor = found.attempt
            entry.competitor_settle_by_ms = now_ms + self._limits.settle_ms
        return self._pending(entry.competitor_settle_by_ms, now_ms)

    def _write_row(self, entry: LedgerEntry) -> WriteRow:
        record = entry.record
        value = encode_record(record)
        return WriteRow(record.name.row_key, value, entry.row_version)

    def _grant(self, entry: LedgerEntry, now_ms: float) -> Decision:
        if now_ms >= entry.authority_until_ms:
            return self._abort(entry, NotRunReason.TOO_LATE, now_ms)
        entry.phase = EntryPhase.BEGUN
        entry.unflushed = entry.mode is LedgerMode.PEER
        entry.dispatch_by_ms = now_ms + self._limits.dispatch_ms
        return Granted(entry.record.attempt, entry.dispatch_by_ms)

    def _abort(
        self, entry: LedgerEntry, reason: NotRunReason, now_ms: float
    ) -> Decision:
        self._cancel(entry)
        # Only while the authority is valid can no other pair have decided on the key.
        covers_earlier = (
            now_ms < entry.authority_until_ms and self._view_number == entry.view
        )
        covers_earlier = covers_earlier and self.holder_history.covers_window(
            entry.record.name, now_ms
        )
        return self._refuse(reason, now_ms, covers_earlier)

    def _abort_unknown(
        self, entry: LedgerEntry, reason: UnknownReason, now_ms: float
    ) -> Decision:
        self._cancel(entry)
        return OutcomeUnknown(reason, now_ms + self._limits.retry_ms)

    def _cancel(self, entry: LedgerEntry) -> None:
        entry.cancel()
        self._releases.append(self._settled(entry))

    def _refuse(
        self, reason: NotRunReason, now_ms: float, covers_earlier: bool = False
    ) -> NotRun:
        return NotRun(reason, now_ms + self._limits.retry_ms, covers_earlier)

    def _settled(self, entry: LedgerEntry) -> Settlement:
        record = entry.record
        row = self._write_row(entry) if entry.row_is_own else None
        return Settlement(self.holder_history.second_holder(record.name), record, row)
