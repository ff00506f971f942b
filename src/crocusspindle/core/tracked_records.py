"""Store records of keyed operations in bounded memory."""

from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Final

from crocusspindle.core.operation_records import (
    Attempt,
    LedgerMode,
    OperationName,
    Record,
    RecordState,
    StoredResponse,
    WriteRow,
    decode_record,
    encode_record,
)
from crocusspindle.ids import MemberId, ViewNumber

MAX_CANCELLED: Final = 16
"""Cancelled attempts kept per key. Dropping one is safe: it only causes refusals."""


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """Bound the age, number and size of records.

    ``retention_ms`` is how long a key may be repeated after it first began.
    ``margin_ms`` covers clock drift and authority that expires shortly after a view
    change. ``dispatch_ms`` is the maximum age of a grant when it is used.
    ``settle_ms`` is how long an attempt counts as in progress: the longest typical
    service timeout plus one hop. 100,000 records of 300 bytes take 30 MB.
    """

    retention_ms: float = 3_600_000.0
    margin_ms: float = 30_000.0
    dispatch_ms: float = 5_000.0
    settle_ms: float = 30_000.0
    retry_ms: float = 1_000.0
    max_records: int = 100_000
    max_body_bytes: int = 16_384
    max_response_bytes: int = 16 * 1024 * 1024
    max_row_calls: int = 4


class AttemptPhase(Enum):
    """Name the phase of an attempt on this node."""

    REQUESTING_PEER = "asking the second holder"
    WRITING_ROW = "writing the row"
    BEGUN = "begun"
    DONE = "done"
    FREE = "free"


@dataclass(slots=True)
class TrackedRecord:
    """Hold one record and this node's local state for it."""

    record: Record
    phase: AttemptPhase
    mode: LedgerMode
    view: ViewNumber
    settle_by_ms: float
    expires_at_ms: float
    authority_until_ms: float = 0.0
    dispatch_by_ms: float = 0.0
    row_version: int = 0
    row_calls: int = 0
    row_maybe_written: bool = False
    row_is_own: bool = False
    unflushed: bool = False
    competitor: Attempt | None = None
    competitor_settle_by_ms: float = 0.0
    cancelled: dict[Attempt, None] = field(default_factory=dict)

    def cancel(self) -> None:
        """Mark the attempt as never run and never to run."""
        self.phase = AttemptPhase.FREE
        self.cancelled[self.record.attempt] = None
        while len(self.cancelled) > MAX_CANCELLED:
            del self.cancelled[next(iter(self.cancelled))]
        self.record = with_state(self.record, RecordState.FREE)


def with_state(
    record: Record, state: RecordState, response: StoredResponse | None = None
) -> Record:
    """Return a copy of a record in another state."""
    return replace(record, state=state, response=response)


class TrackedRecords:
    """Store records by operation, bounded in number and in response bytes."""

    def __init__(self, limits: LedgerLimits) -> None:
        self._limits = limits
        self._records: dict[OperationName, TrackedRecord] = {}
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def full(self) -> bool:
        """Return True if another record would exceed the bound.

        Nothing is evicted: losing a begun record can duplicate a payment, while a full
        ledger only refuses requests.
        """
        return len(self._records) >= self._limits.max_records

    def get(self, name: OperationName) -> TrackedRecord | None:
        """Return the record, even after its retention window."""
        return self._records.get(name)

    def live(self, name: OperationName, now_ms: float) -> TrackedRecord | None:
        """Return the record unless its retention window has ended."""
        tracked = self._records.get(name)
        if tracked is None or tracked.expires_at_ms <= now_ms:
            return None
        return tracked

    def find_own(
        self,
        name: OperationName,
        attempt: Attempt,
        origin: MemberId,
        phase: AttemptPhase,
    ) -> TrackedRecord | None:
        """Return the record of an attempt that began here, if it is in the phase."""
        tracked = self._records.get(name)
        if tracked is None or tracked.record.attempt != attempt:
            return None
        if tracked.record.origin != origin or tracked.phase is not phase:
            return None
        return tracked

    def put(
        self,
        record: Record,
        phase: AttemptPhase,
        mode: LedgerMode,
        view: ViewNumber,
        now_ms: float,
    ) -> TrackedRecord:
        """Store a new record in place of a free or replaced one."""
        limits = self._limits
        tracked = TrackedRecord(
            record,
            phase,
            mode,
            view,
            settle_by_ms=now_ms + limits.settle_ms,
            expires_at_ms=now_ms + limits.retention_ms,
        )
        previous = self._records.get(record.name)
        if previous is not None:
            tracked.row_version = previous.row_version
            tracked.cancelled = previous.cancelled
            tracked.competitor = previous.competitor
            tracked.competitor_settle_by_ms = previous.competitor_settle_by_ms
            self._drop(record.name)
        self._records[record.name] = tracked
        return tracked

    def apply_row(
        self, record: Record, row_version: int, view: ViewNumber, now_ms: float
    ) -> None:
        """Store the record of a row unless local state is more recent.

        A free local record does not override the row: other holders may have run a
        later attempt, and ignoring their row would run the operation again.
        """
        existing = self.live(record.name, now_ms)
        if existing is None and self.full:
            return
        if existing is not None and (
            existing.phase is not AttemptPhase.FREE
            or record.attempt in existing.cancelled
        ):
            return
        tracked = self.put(record, AttemptPhase.BEGUN, LedgerMode.TABLE, view, now_ms)
        tracked.row_version = row_version
        if record.state is RecordState.FREE:
            tracked.cancel()
        elif record.response is not None:
            self.finish(tracked, record.response)

    def finish(self, tracked: TrackedRecord, response: StoredResponse) -> None:
        """Store a response, without its body if that exceeds the bounds."""
        tracked.phase = AttemptPhase.DONE
        body = response.body
        if body is not None:
            room = self._limits.max_response_bytes - self._response_bytes
            if len(body) > min(self._limits.max_body_bytes, room):
                response = replace(response, body=None)
            else:
                self._response_bytes += len(body)
        tracked.record = with_state(tracked.record, RecordState.DONE, response)
        tracked.unflushed = tracked.mode is LedgerMode.PEER

    def expire(self, now_ms: float) -> list[Record]:
        """Drop and return the records whose retention window has ended."""
        expired = [
            tracked.record
            for tracked in self._records.values()
            if tracked.expires_at_ms <= now_ms
        ]
        for record in expired:
            self._drop(record.name)
        return expired

    def unflushed(self, view: ViewNumber) -> list[WriteRow]:
        """Return the rows to write for records made under earlier views."""
        return [
            WriteRow(name.row_key, encode_record(tracked.record), tracked.row_version)
            for name, tracked in self._records.items()
            if tracked.unflushed and tracked.view < view
        ]

    def record_flush(
        self, name: OperationName, version: int, found_row: bytes | None
    ) -> bool:
        """Record the row after a flush; return False if it must be written again."""
        tracked = self._records.get(name)
        if tracked is None or not tracked.unflushed:
            return True
        tracked.row_version = version
        if found_row is not None:
            row = decode_record(found_row)
            same = row.attempt == tracked.record.attempt
            tracked.unflushed = row.state is not RecordState.DONE and not (
                same and row.state is tracked.record.state
            )
            return not tracked.unflushed
        tracked.unflushed = False
        return True

    def _drop(self, name: OperationName) -> None:
        tracked = self._records.pop(name)
        response = tracked.record.response
        if response is not None and response.body is not None:
            self._response_bytes -= len(response.body)
