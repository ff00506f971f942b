"""Convert the documents of the fleet's state to plain lists and back.

Converting back raises ``MalformedError`` for lists of another shape or with values of
other types.
"""

from collections.abc import Mapping, Sequence
from dataclasses import astuple
from typing import Any, Final

import msgpack

from crocusspindle.core.capacity_left import LEFT_MAX
from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.view import (
    COUNT_BITS,
    ERA_BITS,
    NodeAddress,
    View,
    ViewEntry,
)
from crocusspindle.errors import MalformedError
from crocusspindle.ids import ContentDigest, DomainId, HostId, Incarnation, ServiceId
from crocusspindle.typed_values import (
    as_flag,
    as_number,
    as_sequence,
    as_whole,
    is_encodable,
)

STEP_BITS: Final = 2
STEPS_PER_BYTE: Final = 8 // STEP_BITS
STEP_MASK: Final = (1 << STEP_BITS) - 1
REQUIRED_TARGET_FIELDS: Final = 6
NOT_COLD: Final[tuple[Any, ...]] = (False, 0)
"""The last fields of a target, which nodes of earlier versions leave out."""

MAX_PORT: Final = 65_535
MAX_CAPACITY: Final = 1 << 32
MAX_VIEW_NUMBER: Final = (1 << COUNT_BITS + ERA_BITS) - 1


def encode_document(content: Any) -> bytes:
    """Encode a packed document for peers."""
    encoding: bytes = msgpack.packb(content)
    return encoding


def packed_targets(listed: Sequence[ListedTarget]) -> list[Any]:
    """Convert targets to plain lists."""
    return [
        [
            t.identity,
            t.service,
            t.address,
            t.domain,
            t.slots,
            t.readiness.value,
            t.cold,
            t.started_ms,
        ]
        for t in listed
    ]


def unpacked_targets(parts: Any) -> list[ListedTarget]:
    """Convert the output of `packed_targets` back."""
    return [_unpacked_target(as_sequence(entry)) for entry in as_sequence(parts)]


def _unpacked_target(parts: Sequence[Any]) -> ListedTarget:
    # A list may hold hundreds of targets and changes often, so types are checked only.
    try:
        identity, service, address, domain, slots, readiness, cold, started_ms = (
            *parts,
            *NOT_COLD[len(parts) - REQUIRED_TARGET_FIELDS :],
        )
        target = ListedTarget(
            TargetIdentity(identity),
            ServiceId(service),
            address,
            DomainId(domain),
            slots,
            Readiness(readiness),
            cold,
            started_ms,
        )
    except ValueError as error:
        raise MalformedError(f"target {error}") from error
    texts = (identity, service, address, domain)
    if not all(isinstance(text, str) for text in texts):
        raise MalformedError("target without text")
    if not (isinstance(slots, int) and isinstance(started_ms, int)):
        raise MalformedError("target without whole numbers")
    return target


def packed_record(record: CrashRecord) -> list[Any]:
    """Convert a crash record to plain lists."""
    return [
        record.content,
        record.generation,
        sorted([crash.target, crash.at_ms, crash.alone] for crash in record.crashes),
        record.trials,
        record.last_ms,
        record.was_shared,
    ]


def unpacked_record(parts: Any) -> CrashRecord:
    """Convert the output of `packed_record` back."""
    content, generation, crashes, trials, last_ms, was_shared = as_sequence(parts, 6)
    return CrashRecord(
        ContentDigest(_as_text(content)),
        as_whole(generation),
        frozenset(map(_unpacked_crash, as_sequence(crashes))),
        as_whole(trials),
        as_number(last_ms),
        as_flag(was_shared),
    )


def _unpacked_crash(parts: Any) -> Crash:
    target, at_ms, alone = as_sequence(parts, 3)
    return Crash(TargetIdentity(_as_text(target)), as_number(at_ms), as_flag(alone))


def unpacked_records(parts: Any) -> list[CrashRecord]:
    """Convert a list of packed crash records back."""
    return [unpacked_record(record) for record in as_sequence(parts)]


def packed_node(node: NodeAddress) -> tuple[Any, ...]:
    """Convert a node to a plain tuple."""
    return astuple(node)


def unpacked_node(parts: Any) -> NodeAddress:
    """Convert the output of `packed_node` back."""
    host, incarnation, ip, port, domain, caller_address, capacity = as_sequence(
        parts, 7
    )
    return NodeAddress(
        HostId(_as_text(host)),
        Incarnation(_as_text(incarnation)),
        _as_text(ip),
        as_whole(port, 1, MAX_PORT),
        DomainId(_as_text(domain)),
        _as_text(caller_address),
        as_whole(capacity, most=MAX_CAPACITY),
    )


def packed_view(view: View) -> list[Any]:
    """Convert a view to plain lists."""
    return [
        view.number,
        [[*packed_node(entry.node), entry.joined] for entry in view.entries],
        [[*packed_node(entry.node), entry.joined] for entry in view.fenced],
    ]


def unpacked_view(parts: Any) -> View:
    """Convert the output of `packed_view` back."""
    number, entries, fenced = as_sequence(parts, 3)
    return View(
        as_whole(number, most=MAX_VIEW_NUMBER),
        _view_entries(entries),
        _view_entries(fenced),
    )


def _view_entries(packed: Any) -> tuple[ViewEntry, ...]:
    return tuple(_view_entry(as_sequence(entry)) for entry in as_sequence(packed))


def _view_entry(parts: Sequence[Any]) -> ViewEntry:
    *node, joined = parts or (None,)
    return ViewEntry(unpacked_node(node), as_whole(joined, most=MAX_VIEW_NUMBER))


def unpacked_open_nodes(parts: Any) -> list[tuple[str, str]]:
    """Return the caller addresses and failure domains of open nodes."""
    return [_open_node(*as_sequence(entry, 2)) for entry in as_sequence(parts)]


def _open_node(address: Any, domain: Any) -> tuple[str, str]:
    return _as_text(address), _as_text(domain)


def _as_text(value: Any) -> str:
    # Accepts whatever a node can send: else nodes would refuse each other's documents.
    if not isinstance(value, str) or not is_encodable(value):
        raise MalformedError(f"{value!r} is no text")
    return value


def packed_steps(addresses: Sequence[str], left: Mapping[str, int]) -> bytes:
    """Convert the eighths of capacity left of listed hosts to two bits for each.

    The order is that of the list of open nodes. Addresses would take most of the bytes:
    a wave of load changes the steps of a third of a fleet each second. Trailing hosts
    with `LEFT_MAX` are left out.
    """
    packed = bytearray(-(-len(addresses) // STEPS_PER_BYTE))
    for position, address in enumerate(addresses):
        missing = LEFT_MAX - left.get(address, LEFT_MAX)
        index, offset = divmod(position, STEPS_PER_BYTE)
        packed[index] |= missing << offset * STEP_BITS
    return bytes(packed).rstrip(b"\0")


def unpacked_steps(addresses: Sequence[str], packed: bytes) -> dict[str, int]:
    """Convert the output of `packed_steps` back, without hosts at `LEFT_MAX`."""
    left = {}
    for position, address in enumerate(addresses[: len(packed) * STEPS_PER_BYTE]):
        index, offset = divmod(position, STEPS_PER_BYTE)
        missing = packed[index] >> offset * STEP_BITS & STEP_MASK
        if missing:
            left[address] = LEFT_MAX - missing
    return left
