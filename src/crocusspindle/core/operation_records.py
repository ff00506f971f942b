"""Define records of keyed operations, their table rows and typed decisions."""

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
"""Platform table with one row for each operation."""


@dataclass(frozen=True, slots=True)
class OperationName:
    """Identify one non-idempotent operation of one customer."""

    customer: CustomerId
    key: OperationKey

    @property
    def row_key(self) -> str:
        """Return the key of the operation's row."""
        return f"{self.customer}/{self.key}"


@dataclass(frozen=True, slots=True)
class Attempt:
    """Identify one attempt to run an operation; requested from one ledger node only."""

    owner: MemberId
    number: AttemptId


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Hold a stored response; ``body`` is None if it was too large to store."""

    status: int
    digest: bytes
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


class RecordState(Enum):
    """Name the known progress of an operation."""

    BEGUN = "begun"
    DONE = "done"
    FREE = "free"


class LedgerMode(Enum):
    """Name what decides whether an operation has begun."""

    TABLE = "table"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Record:
    """Hold what is known of one operation, as stored in rows and sent to peers."""

    name: OperationName
    attempt: Attempt
    origin: MemberId
    fingerprint: bytes
    state: RecordState
    response: StoredResponse | None = None


def encode_record(record: Record) -> bytes:
    """Encode a record for its table row or a peer."""
    response = record.response
    content = [
        record.name.customer,
        record.name.key,
        record.attempt.owner,
        record.attempt.number,
        record.origin,
        record.fingerprint,
        record.state.value,
        response
        and [response.status, response.digest, response.headers, response.body],
    ]
    return bytes(msgpack.packb(content))


def decode_record(content: bytes) -> Record:
    """Decode a record; raises ``ValueError`` if the bytes are invalid."""
    try:
        customer, key, owner, number, origin, fingerprint, state, response = (
            msgpack.unpackb(content)
        )
        return Record(
            OperationName(customer, key),
            Attempt(owner, number),
            origin,
            fingerprint,
            RecordState(state),
            None if response is None else _decode_response(*response),
        )
    except (TypeError, ValueError, msgpack.UnpackException) as error:
        raise ValueError(f"not an operation record: {error!r}") from error


def _decode_response(
    status: int, digest: bytes, headers: Any, body: bytes | None
) -> StoredResponse:
    return StoredResponse(
        status, digest, tuple((name, text) for name, text in headers), body
    )


@dataclass(frozen=True, slots=True)
class DecisionAuthority:
    """Hold the mode in which this node may decide operations, and until when."""

    mode: LedgerMode
    until_ms: float


class NotRunReason(Enum):
    """Name why an attempt that certainly did not run was refused."""

    INELIGIBLE = "this node may not decide operations now"
    NOT_A_HOLDER = "this node does not hold the operation's record"
    PEER_SILENT = "the second holder of the record does not answer"
    VIEW_CHANGING = "the holders disagree on the member view"
    CONTENDED = "another attempt asked at the same time"
    TABLE_SILENT = "the platform's table does not answer"
    FULL = "no room for another record"
    TOO_LATE = "the right to run it ran out"


class UnknownReason(Enum):
    """Name why it is unknown whether an operation ran."""

    ATTEMPT_LOST = "an earlier attempt began and never reported its end"
    RECORDS_LOST = "holders that may have known it are gone"
    UNFLUSHED = "records of a platform outage are not in the table yet"


@dataclass(frozen=True, slots=True)
class RecordAtPeer:
    """Request that the second holder record the attempt, then call ``peer_result``."""

    peer: MemberId
    view: ViewNumber
    record: Record
    mode: LedgerMode
    replaces: Attempt | None = None


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Put the row if its version matches, then call ``row_result``."""

    row_key: str
    value: bytes
    expected_version: int


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Read the row, then call ``row_result``."""

    row_key: str


class RowOutcome(Enum):
    """Name the result of a call on a row."""

    APPLIED = "put took effect"
    FOUND = "row is there"
    ABSENT = "read found no row"
    UNKNOWN = "answer lost"
    UNAVAILABLE = "call had no effect"


@dataclass(frozen=True, slots=True)
class RowResult:
    """Hold the outcome of a call on a row, and the resulting row if known."""

    outcome: RowOutcome
    version: int = 0
    value: bytes = b""


@dataclass(frozen=True, slots=True)
class Granted:
    """Permit the attempt to be sent once, before ``dispatch_by_ms``."""

    attempt: Attempt
    dispatch_by_ms: float


@dataclass(frozen=True, slots=True)
class AlreadyRan:
    """Hold the stored response of the only run."""

    response: StoredResponse


@dataclass(frozen=True, slots=True)
class InProgress:
    """Report that another attempt is running."""

    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """Report that the operation may have run, but not by this attempt."""

    reason: UnknownReason
    retry_at_ms: float


@dataclass(frozen=True, slots=True)
class NotRun:
    """Report that this attempt certainly did not and will not run.

    ``covers_earlier`` is True if no earlier attempt under the key ran either. Unless
    it is, a caller that repeats a key must not conclude that its first attempt did
    not run.
    """

    reason: NotRunReason
    retry_at_ms: float
    covers_earlier: bool = False


@dataclass(frozen=True, slots=True)
class FingerprintMismatch:
    """Report that the key belongs to an operation with a different request."""


Refusal = AlreadyRan | InProgress | OutcomeUnknown | NotRun | FingerprintMismatch
Decision = RecordAtPeer | WriteRow | ReadRow | Granted | Refusal


class PeerVerdict(Enum):
    """Name what the second holder did with a record."""

    RECORDED = "recorded"
    HELD = "held by another attempt"
    OTHER_VIEW = "other view"
    NOT_A_HOLDER = "not a holder"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Reply to a request to record an attempt.

    ``complete`` is True if the peer was a holder for the whole retention window.
    """

    verdict: PeerVerdict
    complete: bool = False
    held: Record | None = None


@dataclass(frozen=True, slots=True)
class Settlement:
    """Hold the updates to send after an attempt ended; both are best effort.

    If an update is lost, the record stays begun: retries are refused, never run.
    """

    peer: MemberId | None
    record: Record
    row: WriteRow | None
