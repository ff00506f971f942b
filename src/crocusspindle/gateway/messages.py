"""Define the messages between nodes and pack them."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, fields, replace
from typing import Any, Final, TypeVar

import msgpack

from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.errors import PeerError
from crocusspindle.gateway.updates import WHOLE

CONTENTS_MAX_BYTES: Final = 60_000
"""A datagram holds 65,507 bytes, and a longer one is lost without a word: its reader
would be taken for silent by every host that asks."""

ENDINGS: Final = tuple(AttemptOutcome)
"""A sending's end travels as its place here."""

_BY_CODE: Final[dict[int, type[Any]]] = {}
_CODES: Final[dict[type[Any], int]] = {}
_FIELDS: Final[dict[type[Any], tuple[str, ...]]] = {}
Kind = TypeVar("Kind", bound=type[Any])


def message(code: int) -> Callable[[Kind], Kind]:
    """Register a message type under its number on the wire."""

    def add(kind: Kind) -> Kind:
        if code in _BY_CODE:
            raise ValueError(f"message {code} is registered twice")
        _BY_CODE[code] = kind
        _CODES[kind] = code
        _FIELDS[kind] = tuple(entry.name for entry in fields(kind))
        return kind

    return add


def pack(content: Any) -> list[Any]:
    """Return a message as what msgpack can pack."""
    kind = type(content)
    return [_CODES[kind], *(getattr(content, name) for name in _FIELDS[kind])]


def unpack(parts: Any) -> Any:
    """Return the message that `pack` made; raise ``PeerError`` on nonsense."""
    try:
        kind = _BY_CODE[parts[0]]
        return kind(*parts[1:])
    except (TypeError, KeyError, IndexError) as error:
        raise PeerError(f"message cannot be read: {error!r}") from error


def packed(parts: list[Any]) -> bytes:
    """Return the bytes of a datagram."""
    data: bytes = msgpack.packb(parts)
    return data


def unpacked(data: bytes) -> Any:
    """Return the parts of a datagram; raise ``PeerError`` on nonsense."""
    try:
        return msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerError(f"datagram cannot be read: {error!r}") from error


@message(1)
@dataclass(frozen=True, slots=True)
class Hello:
    """Tell another node that this one is here."""

    node: tuple[Any, ...]


@message(2)
@dataclass(frozen=True, slots=True)
class Ping:
    """Ask a reader what is newest, and tell that this node lives.

    ``held`` are the keys of `Held`.
    """

    incarnation: str
    held: Sequence[int]
    ready: bool
    leaving: bool


@message(3)
@dataclass(frozen=True, slots=True)
class State:
    """Tell what is newest; contents come only where the asker's differ.

    Each content holds what `Forms` packs for the form that the asker has.

    Ages are counted from when the read began whose answer was the proof.
    ``unknown`` asks the pinging node to introduce itself, ``reads`` tells whether the
    answering node has the store within reach, and ``store_back_ms`` how long ago the
    store came back after it had been away from the whole fleet. ``later`` tells that
    the answering node has contents of the store and no room for them now, and that it
    would have to give them whole or cannot give them at all.
    """

    configuration_version: int
    configuration_age_ms: float
    configuration: Sequence[Any] | None
    targets_version: int
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
    store_back_ms: int
    unknown: bool = False
    reads: bool = False
    later: bool = False

    @property
    def contents_bytes(self) -> int:
        """Return how long the contents are."""
        contents = (
            self.configuration,
            self.targets,
            self.view,
            self.open_nodes,
            self.crashes,
        )
        return sum(len(packed[1]) for packed in contents if packed is not None)

    def without_contents(self) -> "State":
        """Return the state that only tells what is newest."""
        from_store = (self.configuration, self.targets, self.view)
        whole = any(packed and packed[0] == WHOLE for packed in from_store)
        too_long = self.contents_bytes > CONTENTS_MAX_BYTES
        return replace(
            self,
            configuration=None,
            targets=None,
            view=None,
            open_nodes=None,
            crashes=None,
            later=whole or too_long,
        )


@message(4)
@dataclass(frozen=True, slots=True)
class PlaceAsk:
    """Ask a service's placer for a target.

    ``limits`` are those that targets have named to the asker: target, requests a
    second, and how long ago the request was sent whose answer said so.
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
    limits: Sequence[tuple[str, float, int]]


@message(5)
@dataclass(frozen=True, slots=True)
class PlaceAnswer:
    """Name the target; its address is in everyone's list of targets."""

    grant: int
    target: str
    hedge_after_ms: int


@message(6)
@dataclass(frozen=True, slots=True)
class RefusedAnswer:
    """Tell why there is no place or token, and when to come back."""

    reason: str
    retry_after_ms: float


@message(7)
@dataclass(frozen=True, slots=True)
class EndedNote:
    """Tell a placer how a sending ended, by the ending's place in its enumeration.

    ``content`` is the request's digest where the target may have crashed, and
    ``limit_per_s`` the limit that the target's answer named.
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
    """Tell under which requests targets have crashed, as `packed_record` packs it."""

    records: Sequence[Sequence[Any]]


@message(19)
@dataclass(frozen=True, slots=True)
class PacedNote:
    """Tell other placers that targets with a limit got a request each.

    The entries are as in `PlaceAsk`.
    """

    service: str
    limits: Sequence[tuple[str, float, int]]


@message(8)
@dataclass(frozen=True, slots=True)
class EjectedNote:
    """Tell a placer's successors that a target is ejected for so long."""

    service: str
    target: str
    left_ms: float


@message(17)
@dataclass(frozen=True, slots=True)
class RepeatsNote:
    """Tell the other placers of a service what was counted, as ages from now.

    ``known_ms`` is for how long the sender knows of all that was placed. Each record
    holds its origin, its number and its slots.
    """

    service: str
    known_ms: int
    records: Sequence[Sequence[Any]]


@message(9)
@dataclass(frozen=True, slots=True)
class SpendAsk:
    """Ask a customer's keeper for a token."""

    customer: str
    wait_limit_ms: float


@message(10)
@dataclass(frozen=True, slots=True)
class SpendAnswer:
    """Tell that the request may be sent after a wait."""

    wait_ms: float


@message(11)
@dataclass(frozen=True, slots=True)
class NotMineAnswer:
    """Tell that this node does not have that duty, or not yet."""


@message(12)
@dataclass(frozen=True, slots=True)
class ReleaseAsk:
    """Ask a former keeper to hand over a customer."""

    customer: str
    view_number: int


@message(13)
@dataclass(frozen=True, slots=True)
class ReleaseAnswer:
    """Hand over the tokens that are left."""

    tokens: float


@message(15)
@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a node whether it lives and stays; only a member that does answers."""

    incarnation: str


@message(16)
@dataclass(frozen=True, slots=True)
class Peek:
    """Ask a node what it believes, without making it a reader."""

    held: Sequence[int]


@message(14)
@dataclass(frozen=True, slots=True)
class Done:
    """Confirm a note."""
