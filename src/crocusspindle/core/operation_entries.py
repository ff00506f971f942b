"""Hold the records of keyed operations in bounded memory."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from crocusspindle.core.operation_records import (
    Answer,
    Attempt,
    LedgerMode,
    OperationName,
    Record,
    RecordState,
    WriteRow,
    decode_record,
    encode_record,
)
from crocusspindle.ids import MemberId, ViewNumber

MAX_DEAD: Final = 16
"""Attempts of one key remembered as never run; forgetting one only refuses more."""


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Hold the bounds of the records.

    ``retention_ms`` is how long a key may be repeated after it first began.
    ``margin_ms`` covers rights that lapse a little after a view change and drift of
    clocks. ``dispatch_ms`` bounds how old a grant may be when it is used.
    ``settle_ms`` is how long an attempt counts as in progress: the longest service
    timeout that is usual, and a hop. At 300 bytes a record 100,000 take 30 MB.
    """

    retention_ms: float = 3_600_000.0
    margin_ms: float = 30_000.0
    dispatch_ms: float = 5_000.0
    settle_ms: float = 30_000.0
    retry_ms: float = 1_000.0
    max_records: int = 100_000
    max_body_bytes: int = 16_384
    max_answer_bytes: int = 16 * 1024 * 1024
    max_row_calls: int = 4


class Phase(Enum):
    """Tell how far this node has come with an attempt."""

    ASKING = "asking the second holder"
    WRITING = "writing the row"
    BEGUN = "begun"
    DONE = "done"
    FREE = "free"


@dataclass(slots=True)
class Entry:
    """Hold one record with what only this node knows of it."""

    record: Record
    phase: Phase
    mode: LedgerMode
    view: ViewNumber
    settle_by_ms: float
    expires_at_ms: float
    right_until_ms: float = 0.0
    dispatch_by_ms: float = 0.0
    row_version: int = 0
    row_calls: int = 0
    row_maybe_written: bool = False
    row_ours: bool = False
    unflushed: bool = False
    rival: Attempt | None = None
    rival_settle_by_ms: float = 0.0
    dead: dict[Attempt, None] = field(default_factory=dict)

    def kill(self) -> None:
        """Mark the attempt as one that never ran and never will."""
        self.phase = Phase.FREE
        self.dead[self.record.attempt] = None
        while len(self.dead) > MAX_DEAD:
            del self.dead[next(iter(self.dead))]
        self.record = with_state(self.record, RecordState.FREE)


def with_state(
    record: Record, state: RecordState, answer: Answer | None = None
) -> Record:
    """Return a record in another state."""
    return replace(record, state=state, answer=answer)


class Entries:
    """Keep records by operation, within bounds of number and of answer bytes."""

    def __init__(self, limits: LedgerLimits) -> None:
        self._limits = limits
        self._entries: dict[OperationName, Entry] = {}
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def full(self) -> bool:
        """Return True if another record would break the bound.

        The harm of forgetting a begun record is a doubled payment, that of a full
        ledger a refusal; so nothing is pushed out.
        """
        return len(self._entries) >= self._limits.max_records

    def get(self, name: OperationName) -> Entry | None:
        """Return the record, in its window or not."""
        return self._entries.get(name)

    def live(self, name: OperationName, now_ms: float) -> Entry | None:
        """Return the record unless its key's window has ended."""
        entry = self._entries.get(name)
        if entry is None or entry.expires_at_ms <= now_ms:
            return None
        return entry

    def own(
        self, name: OperationName, attempt: Attempt, origin: MemberId, phase: Phase
    ) -> Entry | None:
        """Return the record of an attempt granted here, if it is in the phase."""
        entry = self._entries.get(name)
        if entry is None or entry.record.attempt != attempt:
            return None
        if entry.record.origin != origin or entry.phase is not phase:
            return None
        return entry

    def put(
        self,
        record: Record,
        phase: Phase,
        mode: LedgerMode,
        view: ViewNumber,
        now_ms: float,
    ) -> Entry:
        """Keep a new record in place of a free or replaced one."""
        limits = self._limits
        entry = Entry(
            record,
            phase,
            mode,
            view,
            settle_by_ms=now_ms + limits.settle_ms,
            expires_at_ms=now_ms + limits.retention_ms,
        )
        former = self._entries.get(record.name)
        if former is not None:
            entry.row_version = former.row_version
            entry.dead = former.dead
            entry.rival = former.rival
            entry.rival_settle_by_ms = former.rival_settle_by_ms
            self._drop(record.name)
        self._entries[record.name] = entry
        return entry

    def take_row(
        self, record: Record, row_version: int, view: ViewNumber, now_ms: float
    ) -> None:
        """Keep what a row says, unless more is known here.

        An attempt that failed here says nothing of those that other holders of the
        key let run since: their row counts, and without it the key would run again.
        """
        held = self.live(record.name, now_ms)
        if held is None and self.full:
            return
        if held is not None and (
            held.phase is not Phase.FREE or record.attempt in held.dead
        ):
            return
        entry = self.put(record, Phase.BEGUN, LedgerMode.TABLE, view, now_ms)
        entry.row_version = row_version
        if record.state is RecordState.FREE:
            entry.kill()
        elif record.answer is not None:
            self.finish(entry, record.answer)

    def finish(self, entry: Entry, answer: Answer) -> None:
        """Keep an answer, without its body beyond the bounds."""
        entry.phase = Phase.DONE
        body = answer.body
        if body is not None:
            room = self._limits.max_answer_bytes - self._answer_bytes
            if len(body) > min(self._limits.max_body_bytes, room):
                answer = replace(answer, body=None)
            else:
                self._answer_bytes += len(body)
        entry.record = with_state(entry.record, RecordState.DONE, answer)
        entry.unflushed = entry.mode is LedgerMode.PEER

    def expire(self, now_ms: float) -> list[Record]:
        """Drop and return the records whose keys may not be repeated any more."""
        old = [
            entry.record
            for entry in self._entries.values()
            if entry.expires_at_ms <= now_ms
        ]
        for record in old:
            self._drop(record.name)
        return old

    def unflushed(self, view: ViewNumber) -> list[WriteRow]:
        """Return the rows to write for records made under earlier views."""
        return [
            WriteRow(name.row_key, encode_record(entry.record), entry.row_version)
            for name, entry in self._entries.items()
            if entry.unflushed and entry.view < view
        ]

    def flushed(self, name: OperationName, version: int, met: bytes | None) -> bool:
        """Note the row after a flush; return True if it says what the record says."""
        entry = self._entries.get(name)
        if entry is None or not entry.unflushed:
            return True
        entry.row_version = version
        if met is not None:
            row = decode_record(met)
            same = row.attempt == entry.record.attempt
            entry.unflushed = row.state is not RecordState.DONE and not (
                same and row.state is entry.record.state
            )
            return not entry.unflushed
        entry.unflushed = False
        return True

    def _drop(self, name: OperationName) -> None:
        entry = self._entries.pop(name)
        answer = entry.record.answer
        if answer is not None and answer.body is not None:
            self._answer_bytes -= len(answer.body)
