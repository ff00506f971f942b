"""Define the records of keyed operations, their rows and the typed decisions."""

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

import msgpack

from crocusspindle.ids import (
    AttemptId,
    CustomerId,
    MemberId,
    OperationKey,
    ViewNumber,
)

TABLE: Final = "operations"
"""The platform table that holds one row for each operation."""


@dataclass(frozen=True, slots=True)
class OperationName:
    """Name one non-idempotent operation of one customer."""

    customer: CustomerId
    key: OperationKey

    @property
    def row_key(self) -> str:
        """Return the key of the operation's row."""
        return f"{self.customer}/{self.key}"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Name one attempt to run an operation; asked of one ledger node only."""

    owner: MemberId
    number: AttemptId


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold a kept answer; ``body`` is None when it was too long to keep."""

    status: int
    digest: bytes
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class RecordState(Enum):
    """Tell how far an operation is known to have come."""

    BEGUN = "begun"
    DONE = "done"
    FREE = "free"


class LedgerMode(Enum):
    """Tell what decides whether an operation has begun."""

    TABLE = "table"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Record:
    """Hold what is known of one operation, as rows and peers carry it."""

    name: OperationName
    attempt: Attempt
    origin: MemberId
    fingerprint: bytes
    state: RecordState
    answer: Answer | None = None


def encode_record(record: Record) -> bytes:
    """Encode a record for its row or a peer."""
    answer = record.answer
    content = [
        record.name.customer,
        record.name.key,
        record.attempt.owner,
        record.attempt.number,
        record.origin,
        record.fingerprint,
        record.state.value,
        answer and [answer.status, answer.digest, answer.headers, answer.body],
    ]
    return bytes(msgpack.packb(content))


def decode_record(content: bytes) -> Record:
    """Decode a record; raises ``ValueError`` when the bytes are not one."""
    try:
        customer, key, owner, number, origin, fingerprint, state, answer = (
            msgpack.unpackb(content)
        )
        return Record(
            OperationName(customer, key),
            Attempt(owner, number),
            origin,
            fingerprint,
            RecordState(state),
            None if answer is None else _answer(*answer),
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"not an operation record: {error!r}") from error


def _answer(status: int, digest: bytes, headers: Any, body: bytes | None) -> Answer:
    return Answer(status, digest, tuple((name, text) for name, text in headers), body)


@dataclass(frozen=True, slots=True)
class Right:
    """Hold how operations may be decided here, and until when."""

    mode: LedgerMode
    until_ms: float


class NotRunReason(Enum):
    """Tell why an attempt was refused that certainly did not run."""

    UNFIT = "this node may not decide operations now"
    NOT_A_HOLDER = "this node does not hold the operation's record"
    PEER_SILENT = "the second holder of the record does not answer"
    VIEW_CHANGING = "the holders disagree on the member view"
    CONTENDED = "another attempt asked at the same time"
    TABLE_SILENT = "the platform's table does not answer"
    FULL = "no room for another record"
    TOO_LATE = "the right to run it ran out"


class UnknownReason(Enum):
    """Tell why it cannot be said whether an operation ran."""

    ATTEMPT_LOST = "an earlier attempt began and never reported its end"
    RECORDS_LOST = "holders that may have known it are gone"
    UNFLUSHED = "records of a platform outage are not in the table yet"


@dataclass(frozen=True, slots=True)
class AskPeer:
    """Ask the second holder to record the attempt, then call ``peer_result``."""

    peer: MemberId
    view: ViewNumber
    record: Record
    mode: LedgerMode
    replaces: Attempt | None = None


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Put the row on condition of its version, then call ``row_result``."""

    row_key: str
    value: bytes
    expected_version: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row, then call ``row_result``."""

    row_key: str


class RowOutcome(Enum):
    """Tell what a call on a row showed."""

    APPLIED = "put took effect"
    FOUND = "row is there"
    ABSENT = "read found no row"
    UNKNOWN = "answer lost"
    UNAVAILABLE = "call had no effect"


@dataclass(frozen=True, slots=True)
class RowResult:
    """Hold the outcome of a call on a row, and the row after it if known."""

    outcome: RowOutcome
    version: int = 0
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class Granted:
    """Let the attempt be sent once, if it is sent before the deadline."""

    attempt: Attempt
    dispatch_by_ms: float


@dataclass(frozen=True, slots=True)
class AlreadyRan:
    """Give the kept answer of the one run."""

    answer: Answer


@dataclass(frozen=True, slots=True)
class InProgress:
    """Tell that another attempt is running."""

    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Tell that the operation may have run, and this attempt did not."""

    reason: UnknownReason
    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class NotRun:
    """Tell that this attempt certainly did not and will not run.

    ``covers_earlier`` is True if no earlier attempt under the key ran either. A
    caller that repeats a key must not take the word for the first attempt's.
    """

    reason: NotRunReason
    retry_at_ms: float
    covers_earlier: bool = False


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """Tell that the key names an operation with another request."""


Refusal = AlreadyRan | InProgress | OutcomeUnknown | NotRun | FingerprintMismatch
Decision = AskPeer | WriteRow | ReadRow | Granted | Refusal


class PeerVerdict(Enum):
    """Tell what the second holder did with a record."""

    RECORDED = "recorded"
    HELD = "held by another attempt"
    OTHER_VIEW = "other view"
    NOT_A_HOLDER = "not a holder"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Answer a request to record; ``complete`` covers the whole retention window."""

    verdict: PeerVerdict
    complete: bool = False
    held: Record | None = None


@dataclass(frozen=True, slots=True)
class Settled:
    """Hold what to send on after an attempt ended; both are best effort.

    A message that is lost leaves the record as begun, which refuses and never runs.
    """

    peer: MemberId | None
    record: Record
    row: WriteRow | None
