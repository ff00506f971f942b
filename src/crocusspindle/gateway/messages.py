"""Define the messages between nodes and pack them."""

from collections.abc import Callable, Sequence
from dataclasses import MISSING, dataclass, fields, replace
from itertools import chain
from types import UnionType
from typing import Any, Final, TypeVar, get_args, get_origin, get_type_hints

import msgpack

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.configuration import LOWEST_PRIORITY
from crocusspindle.core.store_version import NO_VERSION
from crocusspindle.errors import PeerError
from crocusspindle.gateway.document_deltas import NO_BASE

MAX_DOCUMENT_BYTES: Final = 60_000
"""Limit for documents in one message. A datagram holds 65,507 bytes; a longer one is
dropped silently, and every host that pings would count the reader as silent."""

ATTEMPT_OUTCOMES: Final = tuple(AttemptOutcome)
"""Attempt outcomes in the order of their numbers on the wire."""

_BY_CODE: Final[dict[int, type[Any]]] = {}
_CODES: Final[dict[type[Any], int]] = {}
_FIELDS: Final[dict[type[Any], tuple[str, ...]]] = {}
_DEFAULTS: Final[dict[type[Any], tuple[Any, ...]]] = {}
_APPENDED: Final[dict[type[Any], int]] = {}
_TYPES: Final[dict[type[Any], tuple[tuple[type[Any], ...], ...]]] = {}
Kind = TypeVar("Kind", bound=type[Any])


def message(code: int, appended: int = 0) -> Callable[[Kind], Kind]:
    """Register a message type under its number on the wire.

    ``appended`` counts its last fields that versions up to 1f26318 don't know. These
    versions drop messages with more fields than they know.
    """

    def add(message_type: Kind) -> Kind:
        if code in _BY_CODE:
            raise ValueError(f"message {code} is registered twice")
        _BY_CODE[code] = message_type
        _CODES[message_type] = code
        _FIELDS[message_type] = tuple(entry.name for entry in fields(message_type))
        _APPENDED[message_type] = appended
        _TYPES[message_type] = tuple(
            _accepted_types(annotation)
            for annotation in get_type_hints(message_type).values()
        )
        _DEFAULTS[message_type] = tuple(
            entry.default
            for entry in reversed(fields(message_type))
            if entry.default is not MISSING
        )
        return message_type

    return add


def pack(content: Any, with_appended: bool = True) -> list[Any]:
    """Convert a message to a list that msgpack can encode.

    Trailing fields at their defaults are left out: versions without these fields may
    refuse longer messages, and `unpack` restores the defaults. The ``appended`` fields
    are left out for a receiver that may be of such a version.
    """
    message_type = type(content)
    parts = [
        _CODES[message_type],
        *(getattr(content, name) for name in _FIELDS[message_type]),
    ]
    if not with_appended:
        return parts[: len(parts) - _APPENDED[message_type]]
    for default in _DEFAULTS[message_type]:
        if parts[-1] != default:
            break
        parts.pop()
    return parts


def unpack(parts: Any) -> Any:
    """Convert the output of `pack` back; raise ``PeerError`` if it is malformed.

    Trailing fields that this version does not know are dropped: a newer version has
    appended them.
    """
    try:
        message_type = _BY_CODE[parts[0]]
        types = _TYPES[message_type]
        values = parts[1 : 1 + len(types)]
        content = message_type(*values)
    except (TypeError, KeyError, IndexError) as error:
        raise PeerError(f"message cannot be decoded: {error!r}") from error
    if not all(map(isinstance, values, types)):
        raise PeerError(f"{message_type.__name__} has values of other types")
    return content


def _accepted_types(annotation: Any) -> tuple[type[Any], ...]:
    """Return the types that msgpack decodes the values of a field to."""
    if isinstance(annotation, UnionType):
        accepted = map(_accepted_types, get_args(annotation))
        return tuple(chain.from_iterable(accepted))
    if annotation in (int, float):
        return (int, float)
    if get_origin(annotation) in (Sequence, list, tuple):
        return (list, tuple)
    assert isinstance(annotation, type)
    return (annotation,)


def encode_datagram(parts: list[Any]) -> bytes:
    """Encode a datagram."""
    data: bytes = msgpack.packb(parts)
    return data


def decode_datagram(data: bytes) -> Any:
    """Decode a datagram; raise ``PeerError`` if it is malformed."""
    try:
        return msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerError(f"datagram cannot be decoded: {error!r}") from error


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """Announce the sending node."""

    node: tuple[Any, ...]


@message(2, appended=2)
@dataclass(frozen=True, slots=True)
class Ping:
    """Request a reader's state; serves as the node's heartbeat.

    ``held`` are the keys of `HeldKeys`, ``load`` is the sender's load in eighths of its
    processor share, and ``capacity_digest`` identifies the capacities left that it
    holds.
    """

    incarnation: str
    held: Sequence[int]
    ready: bool
    leaving: bool
    load: int = 0
    capacity_digest: int = 0


@message(23, appended=2)
@dataclass(frozen=True, slots=True)
class State:
    """Report the newest state, with documents only where the receiver's differ.

    Each document is a delta of `DocumentEncodings` to the encoding that the receiver
    holds.

    Ages count from the start of the read that confirmed the state. ``sender_unknown``
    requests a `Hello` from the pinging node. ``evacuated`` are the evacuated failure
    domains, which share the configuration's age. ``targets_version`` and
    ``evacuated_version`` are pairs as in `StoreVersion`, and ``store_era`` is the
    newest era that the responding node has heard of. ``reaches_store`` is True if the
    responding node reaches the store, and ``store_regained_age_ms`` is the time since
    the end of an outage of the store for the whole fleet. ``documents_deferred`` is
    True if the responder held back full documents of the store for lack of bandwidth,
    or any documents because they are too long for a datagram. ``capacity_left`` are the
    steps of `packed_steps` for the list of ``open_digest``, where ``capacity_digest``
    differs from the receiver's.
    """

    configuration_version: int
    configuration_age_ms: float
    configuration: Sequence[Any] | None
    targets_version: Sequence[int]
    targets_digest: int
    targets_age_ms: float
    targets: Sequence[Any] | None
    view_number: int
    view_age_ms: float
    view: Sequence[Any] | None
    open_digest: int
    open_nodes: Sequence[Any] | None
    crash_digest: int
    crashes: Sequence[Any] | None
    store_regained_age_ms: int
    sender_unknown: bool = False
    reaches_store: bool = False
    documents_deferred: bool = False
    evacuated_version: Sequence[int] = NO_VERSION
    evacuated: Sequence[str] = ()
    store_era: int = -1
    capacity_digest: int = 0
    capacity_left: bytes | None = None

    @property
    def document_bytes(self) -> int:
        """Return the size of all documents."""
        contents = (
            self.configuration,
            self.targets,
            self.view,
            self.open_nodes,
            self.crashes,
        )
        capacity_bytes = len(self.capacity_left or b"")
        return capacity_bytes + sum(len(delta[1]) for delta in contents if delta)

    def without_documents(self) -> "State":
        """Return the state with versions and ages only."""
        from_store = (self.configuration, self.targets, self.view)
        needs_full_document = any(delta and delta[0] == NO_BASE for delta in from_store)
        too_long = self.document_bytes > MAX_DOCUMENT_BYTES
        return replace(
            self,
            configuration=None,
            targets=None,
            view=None,
            open_nodes=None,
            crashes=None,
            capacity_left=None,
            documents_deferred=needs_full_document or too_long,
        )


@message(4, appended=4)
@dataclass(frozen=True, slots=True)
class PlaceAsk:
    """Request a target from a service's placer.

    ``left_ms`` is the time to the request's deadline. ``counted`` is True if a
    placer may have counted the request before. ``limits`` are those that targets
    reported to the sender: target, requests per second, and the age (ms) of the request
    whose response reported it. ``customer`` is empty for a request without one.
    ``retries_allowed``, ``retries_used`` and ``retries_process`` are the sender's
    `RetryReport`, the first in hundredths; it is negative if the sender has none.
    """

    service: str
    route: str
    idempotent: bool
    priority: int
    aim_ms: int
    left_ms: int
    body_bytes: int
    retry: bool
    hedge: bool
    counted: bool
    content: str
    excluded: list[str]
    limits: Sequence[tuple[str, float | None, int]]
    customer: str = ""
    retries_allowed: int = -1
    retries_used: int = 0
    retries_process: int = 0


@message(5)
@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Grant a target; its address is in each node's list of targets."""

    grant: int
    target: str
    hedge_after_ms: int


@message(6)
@dataclass(frozen=True, slots=True)
class RefusedAnswer:
    """Refuse a target or token, with the reason and when to retry."""

    reason: str
    retry_after_ms: float


@message(7)
@dataclass(frozen=True, slots=True)
class EndedNote:
    """Report an attempt's outcome to its placer, as an index into `ATTEMPT_OUTCOMES`.

    ``content`` is the request's digest if the target may have crashed, and
    ``limit_per_s`` the limit that the target's response reported.
    """

    target: str
    grant: int
    ending: int
    latency_ms: int
    content: str = ""
    limit_per_s: float | None = None


@message(18)
@dataclass(frozen=True, slots=True)
class CrashNote:
    """Report crash records of requests, as `packed_record` encodes them."""

    records: Sequence[Sequence[Any]]


@message(19)
@dataclass(frozen=True, slots=True)
class PacedNote:
    """Report to other placers that targets with a rate limit got a request each.

    ``limits`` has the same entries as in `PlaceAsk`; a cold target that reported no
    limit has None. Without entries, it only asks whether the receiver responds.
    """

    service: str
    limits: Sequence[tuple[str, float | None, int]]


@message(20)
@dataclass(frozen=True, slots=True)
class LeavingNote:
    """Report to a service's placers that a target says it is leaving.

    ``started_ms`` tells which start of the target said so.
    """

    target: str
    started_ms: int


@message(25)
@dataclass(frozen=True, slots=True)
class TargetLimitNote:
    """Report learned concurrency limits to the other placers of a service.

    ``limits`` holds a target and its limit, for each target whose limit is below its
    slots.
    """

    service: str
    limits: Sequence[tuple[str, int]]


@message(8)
@dataclass(frozen=True, slots=True)
class EjectedNote:
    """Report to other placers for how long a target is still ejected."""

    service: str
    target: str
    left_ms: float


@message(9, appended=1)
@dataclass(frozen=True, slots=True)
class SpendAsk:
    """Request a token from a customer's quota keeper."""

    customer: str
    wait_limit_ms: float
    priority: int = LOWEST_PRIORITY


@message(10, appended=1)
@dataclass(frozen=True, slots=True)
class SpendAnswer:
    """Grant a token that is valid after a wait.

    ``token`` is the number by which it can be returned; 0 if it can't be.
    """

    wait_ms: float
    token: int = 0


@message(24)
@dataclass(frozen=True, slots=True)
class ReturnAsk:
    """Return a token whose request certainly did not run; `Done` confirms it."""

    customer: str
    token: int


@message(11, appended=1)
@dataclass(frozen=True, slots=True)
class NotMineAnswer:
    """Report that this node is not the customer's quota keeper, or not yet.

    The request has waited for a token for ``waited_ms``, without the time in which
    this node requested releases; -1 if that is unknown.
    """

    waited_ms: int = -1


@message(12)
@dataclass(frozen=True, slots=True)
class ReleaseAsk:
    """Request the handover of a customer from a previous quota keeper."""

    customer: str
    view_number: int


@message(13, appended=1)
@dataclass(frozen=True, slots=True)
class ReleaseAnswer:
    """Hand over the remaining tokens.

    No process of the sender's host has spent a token for the last ``unspent_ms``.
    """

    tokens: float
    unspent_ms: int = 0


@message(15)
@dataclass(frozen=True, slots=True)
class Probe:
    """Check that a process of a node runs; one that is leaving does not respond."""

    incarnation: str


@message(16)
@dataclass(frozen=True, slots=True)
class Peek:
    """Request a node's state without making it a reader."""

    held: Sequence[int]


@message(21)
@dataclass(frozen=True, slots=True)
class ReachingAsk:
    """Request the nodes that reach targets of a service from its placer."""

    service: str


@message(22)
@dataclass(frozen=True, slots=True)
class ReachingAnswer:
    """Name nodes that reach targets, the best for the asking node first."""

    hosts: Sequence[str]


@message(14)
@dataclass(frozen=True, slots=True)
class Done:
    """Confirm a note or a probe."""
