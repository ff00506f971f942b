"""Keep one node's records of keyed operations, so that each runs at most once.

Load: orders and payments, a few a second today. Faults: a caller repeats its key at
another entry, the node between dispatch and answer dies, the table's answer is lost
after the write, the platform is away for hours, a paused node wakes up. The harm is
a doubled payment. Both holders of a key record an attempt before it may be sent, in
every mode; in table mode the platform's row decides besides.

No right outlives a stored deadline, and a record, once made, goes only by the word
of the node that made it, or with the end of the retention window.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final

from crocusspindle.core.members import MemberView
from crocusspindle.core.operation_entries import Entries, Entry, LedgerLimits, Phase
from crocusspindle.core.operation_places import Places
from crocusspindle.core.operation_records import (
    AlreadyRan,
    Answer,
    AskPeer,
    Attempt,
    Decision,
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
    RecordState,
    Right,
    RowOutcome,
    RowResult,
    Settled,
    UnknownReason,
    WriteRow,
    decode_record,
    encode_record,
)
from crocusspindle.ids import MemberId, ViewNumber

MAX_RELEASES: Final = 1_024
"""Releases waiting to be sent; what falls off is refused until its window ends."""

_RELEASABLE: Final = frozenset({Phase.ASKING, Phase.WRITING, Phase.BEGUN})


class OperationLedger:
    """Decide, as one of two holders, whether an operation may run now."""

    def __init__(self, member: MemberId, limits: LedgerLimits | None = None) -> None:
        self.member = member
        self._limits = limits or LedgerLimits()
        window_ms = self._limits.retention_ms + self._limits.margin_ms
        self.places = Places(member, window_ms)
        self._entries = Entries(self._limits)
        self._releases: deque[Settled] = deque(maxlen=MAX_RELEASES)

    def __len__(self) -> int:
        return len(self._entries)

    def adopt(self, view: MemberView, now_ms: float) -> bool:
        """Adopt a later view; return False for an older one."""
        return self.places.adopt(view, now_ms)

    def note_outages(self, views: Iterable[ViewNumber]) -> None:
        """Note the views under which members acted without the platform."""
        for view in views:
            self.places.outage(view)

    def begin(
        self,
        name: OperationName,
        attempt: Attempt,
        fingerprint: bytes,
        right: Right,
        now_ms: float,
    ) -> Decision:
        """Decide on an attempt that an entry asks for.

        Each attempt is asked of one holder only, at the next by a new name.
        """
        if not self.places.holds(name):
            return self._refuse(NotRunReason.NOT_A_HOLDER, now_ms)
        entry = self._entries.live(name, now_ms)
        if entry is not None and entry.phase is not Phase.FREE:
            return self._judge(entry, attempt, fingerprint, now_ms)
        bar = self._bar(entry, attempt, right, now_ms)
        if bar is not None:
            clear = now_ms < right.until_ms and self.places.complete(name, now_ms)
            return self._refuse(bar, now_ms, clear)
        record = Record(name, attempt, self.member, fingerprint, RecordState.BEGUN)
        entry = self._entries.put(
            record, Phase.ASKING, right.mode, self._view_number, now_ms
        )
        entry.right_until_ms = right.until_ms
        second = self.places.second(name)
        if second is None:
            return self._recorded(entry, False, now_ms)
        return AskPeer(second, self._view_number, record, right.mode)

    def peer_result(
        self,
        name: OperationName,
        attempt: Attempt,
        reply: PeerReply | None,
        now_ms: float,
    ) -> Decision:
        """Go on after the second holder's reply; None when none came in time."""
        entry = self._entries.own(name, attempt, self.member, Phase.ASKING)
        if entry is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if self._view_number != entry.view:
            return self._give_up(entry, NotRunReason.VIEW_CHANGING, now_ms)
        if reply is None:
            return self._give_up(entry, NotRunReason.PEER_SILENT, now_ms)
        if reply.verdict is PeerVerdict.RECORDED:
            return self._recorded(entry, reply.complete, now_ms)
        if reply.held is not None:
            return self._held_by_peer(entry, reply.held, now_ms)
        full = reply.verdict is PeerVerdict.FULL
        reason = NotRunReason.FULL if full else NotRunReason.VIEW_CHANGING
        return self._give_up(entry, reason, now_ms)

    def row_result(
        self, name: OperationName, attempt: Attempt, result: RowResult, now_ms: float
    ) -> Decision:
        """Go on after a call on the operation's row."""
        entry = self._entries.own(name, attempt, self.member, Phase.WRITING)
        if entry is None:
            return self._refuse(NotRunReason.TOO_LATE, now_ms)
        if result.outcome is RowOutcome.APPLIED:
            return self._row_taken(entry, result, now_ms)
        if result.outcome is RowOutcome.FOUND:
            return self._row_found(entry, result, now_ms)
        if result.outcome is RowOutcome.ABSENT:
            entry.row_version = 0
        entry.row_calls += 1
        entry.row_maybe_written |= result.outcome is RowOutcome.UNKNOWN
        spent = entry.row_calls >= self._limits.max_row_calls
        if spent or now_ms >= entry.right_until_ms:
            return self._give_up(entry, NotRunReason.TABLE_SILENT, now_ms)
        if entry.row_maybe_written and result.outcome is not RowOutcome.ABSENT:
            return ReadRow(name.row_key)
        return self._write_row(entry)

    def may_dispatch(
        self, name: OperationName, attempt: Attempt, now_ms: float
    ) -> bool:
        """Return True if an attempt granted here may be sent now."""
        entry = self._entries.own(name, attempt, self.member, Phase.BEGUN)
        return entry is not None and now_ms < entry.dispatch_by_ms

    def finished(
        self, name: OperationName, attempt: Attempt, answer: Answer
    ) -> Settled | None:
        """Note the answer of the one run, and return what to send on."""
        entry = self._entries.own(name, attempt, self.member, Phase.BEGUN)
        if entry is None:
            return None
        self._entries.finish(entry, answer)
        return self._settled(entry)

    def released(self, name: OperationName, attempt: Attempt) -> Settled | None:
        """Note its owner's word that an attempt was not and will not be sent.

        The owner may give up while this node still asks; the attempt then ends here
        and whatever comes back later finds it dead.
        """
        entry = self._entries.get(name)
        if entry is None or entry.record.attempt != attempt:
            return None
        if entry.record.origin != self.member or entry.phase not in _RELEASABLE:
            return None
        entry.kill()
        return self._settled(entry)

    def take_releases(self) -> list[Settled]:
        """Return what to send on for attempts that were refused half way."""
        taken = list(self._releases)
        self._releases.clear()
        return taken

    def record_for_peer(self, asked: AskPeer, now_ms: float) -> PeerReply:
        """Record an attempt for the other holder, before it is granted there."""
        record = asked.record
        if self._view_number != asked.view:
            return PeerReply(PeerVerdict.OTHER_VIEW)
        if not self.places.holds(record.name):
            return PeerReply(PeerVerdict.NOT_A_HOLDER)
        held = self._entries.live(record.name, now_ms)
        if held is not None and not self._yields(held, asked):
            return PeerReply(PeerVerdict.HELD, held=held.record)
        if held is None and self._entries.full:
            return PeerReply(PeerVerdict.FULL)
        complete = self.places.complete(record.name, now_ms)
        entry = self._entries.put(record, Phase.BEGUN, asked.mode, asked.view, now_ms)
        entry.unflushed = asked.mode is LedgerMode.PEER
        return PeerReply(PeerVerdict.RECORDED, complete)

    def peer_settled(self, record: Record) -> None:
        """Note the other holder's word on the end of an attempt granted there.

        Only the origin of an attempt may free it, and nothing undoes an answer.
        """
        entry = self._entries.get(record.name)
        if entry is None or entry.record.attempt != record.attempt:
            return
        if entry.record.origin == self.member or entry.phase is not Phase.BEGUN:
            return
        if record.state is RecordState.DONE and record.answer is not None:
            self._entries.finish(entry, record.answer)
        elif record.state is RecordState.FREE:
            entry.kill()

    def flush(self) -> list[WriteRow]:
        """Return the rows to write for records that only memory holds.

        Those of the present view stay: more may still be recorded under it. Once
        this returns nothing, this node's mark for all earlier views may be written.
        """
        return self._entries.unflushed(self._view_number)

    def flush_result(
        self, name: OperationName, version: int, met: bytes | None
    ) -> bool:
        """Note the row as it stands; ``met`` is None when our put took effect.

        Returns False when the row says less and is to be written again.
        """
        return self._entries.flushed(name, version, met)

    def load(self, record: Record, row_version: int, now_ms: float) -> None:
        """Take a row of the table that was read to complete this node's memory."""
        if self.places.holds(record.name):
            self._entries.take_row(record, row_version, self._view_number, now_ms)

    def loaded(self, view_number: ViewNumber) -> bool:
        """Note that every row was read under a settled view; see `Places.loaded`."""
        return not self._entries.full and self.places.loaded(view_number)

    def expire(self, now_ms: float) -> list[Record]:
        """Drop the records whose keys may not be repeated any more.

        Returns those that this node granted by the table, whose rows may go.
        """
        return [
            record
            for record in self._entries.expire(now_ms)
            if record.origin == self.member
        ]

    @property
    def _view_number(self) -> ViewNumber:
        view = self.places.view
        return ViewNumber(0) if view is None else view.number

    def _bar(
        self, entry: Entry | None, attempt: Attempt, right: Right, now_ms: float
    ) -> NotRunReason | None:
        if now_ms >= right.until_ms:
            return NotRunReason.UNFIT
        if entry is not None and attempt in entry.dead:
            return NotRunReason.TOO_LATE
        if entry is None and self._entries.full:
            return NotRunReason.FULL
        return None

    def _judge(
        self, entry: Entry, attempt: Attempt, fingerprint: bytes, now_ms: float
    ) -> Decision:
        if entry.record.fingerprint != fingerprint:
            return FingerprintMismatch()
        answer = entry.record.answer
        if entry.phase is Phase.DONE and answer is not None:
            return AlreadyRan(answer)
        mine = entry.record.origin == self.member and entry.phase is Phase.BEGUN
        if mine and entry.record.attempt == attempt and now_ms < entry.dispatch_by_ms:
            return Granted(attempt, entry.dispatch_by_ms)
        return self._pending(entry.settle_by_ms, now_ms)

    def _pending(self, settle_by_ms: float, now_ms: float) -> Decision:
        retry_at_ms = now_ms + self._limits.retry_ms
        if now_ms < settle_by_ms:
            return InProgress(retry_at_ms)
        return OutcomeUnknown(UnknownReason.ATTEMPT_LOST, retry_at_ms)

    def _yields(self, held: Entry, asked: AskPeer) -> bool:
        if held.phase is Phase.FREE:
            return asked.record.attempt not in held.dead
        if held.record.origin != asked.record.origin or held.phase is Phase.DONE:
            return False
        return held.record.attempt in (asked.record.attempt, asked.replaces)

    def _recorded(self, entry: Entry, peer_complete: bool, now_ms: float) -> Decision:
        name = entry.record.name
        complete = peer_complete or self.places.complete(name, now_ms)
        if entry.mode is LedgerMode.PEER:
            if not complete:
                return self._give_up_unknown(entry, UnknownReason.RECORDS_LOST, now_ms)
            return self._grant(entry, now_ms)
        if not complete and self.places.unflushed(name, now_ms):
            return self._give_up_unknown(entry, UnknownReason.UNFLUSHED, now_ms)
        entry.phase = Phase.WRITING
        return self._write_row(entry)

    def _held_by_peer(self, entry: Entry, held: Record, now_ms: float) -> Decision:
        begun = held.state is RecordState.BEGUN
        if begun and held.origin == self.member and held.attempt in entry.dead:
            return AskPeer(
                self.places.second(held.name) or self.member,
                entry.view,
                entry.record,
                entry.mode,
                replaces=held.attempt,
            )
        return self._met(entry, held, now_ms)

    def _row_found(self, entry: Entry, result: RowResult, now_ms: float) -> Decision:
        met = decode_record(result.value)
        if met.attempt == entry.record.attempt:
            return self._row_taken(entry, result, now_ms)
        entry.row_version = result.version
        if met.state is RecordState.FREE or met.attempt in entry.dead:
            return self._write_row(entry)
        return self._met(entry, met, now_ms)

    def _row_taken(self, entry: Entry, result: RowResult, now_ms: float) -> Decision:
        entry.row_version = result.version
        entry.row_ours = True
        return self._grant(entry, now_ms)

    def _met(self, entry: Entry, met: Record, now_ms: float) -> Decision:
        """Give way to another attempt's record."""
        self._kill(entry)
        if met.state is RecordState.FREE:
            return self._refuse(NotRunReason.CONTENDED, now_ms)
        if met.fingerprint != entry.record.fingerprint:
            return FingerprintMismatch()
        if met.answer is not None:
            kept = self._entries.put(met, Phase.DONE, entry.mode, entry.view, now_ms)
            self._entries.finish(kept, met.answer)
            return AlreadyRan(met.answer)
        if entry.rival != met.attempt:
            entry.rival = met.attempt
            entry.rival_settle_by_ms = now_ms + self._limits.settle_ms
        return self._pending(entry.rival_settle_by_ms, now_ms)

    def _write_row(self, entry: Entry) -> WriteRow:
        record = entry.record
        value = encode_record(record)
        return WriteRow(record.name.row_key, value, entry.row_version)

    def _grant(self, entry: Entry, now_ms: float) -> Decision:
        if now_ms >= entry.right_until_ms:
            return self._give_up(entry, NotRunReason.TOO_LATE, now_ms)
        entry.phase = Phase.BEGUN
        entry.unflushed = entry.mode is LedgerMode.PEER
        entry.dispatch_by_ms = now_ms + self._limits.dispatch_ms
        return Granted(entry.record.attempt, entry.dispatch_by_ms)

    def _give_up(self, entry: Entry, reason: NotRunReason, now_ms: float) -> Decision:
        self._kill(entry)
        # Only while the right holds can no other pair have decided on the key.
        clear = now_ms < entry.right_until_ms and self._view_number == entry.view
        clear = clear and self.places.complete(entry.record.name, now_ms)
        return self._refuse(reason, now_ms, clear)

    def _give_up_unknown(
        self, entry: Entry, reason: UnknownReason, now_ms: float
    ) -> Decision:
        self._kill(entry)
        return OutcomeUnknown(reason, now_ms + self._limits.retry_ms)

    def _kill(self, entry: Entry) -> None:
        entry.kill()
        self._releases.append(self._settled(entry))

    def _refuse(
        self, reason: NotRunReason, now_ms: float, clear: bool = False
    ) -> NotRun:
        return NotRun(reason, now_ms + self._limits.retry_ms, clear)

    def _settled(self, entry: Entry) -> Settled:
        record = entry.record
        row = self._write_row(entry) if entry.row_ours else None
        return Settled(self.places.second(record.name), record, row)
