"""Convert the documents of the fleet's state to plain lists and back."""

from collections.abc import Mapping, Sequence
from dataclasses import astuple
from typing import Any, Final

from crocusspindle.core.capacity_left import LEFT_MAX
from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.ids import ContentDigest, DomainId, HostId, Incarnation, ServiceId

STEP_BITS: Final = 2
STEPS_PER_BYTE: Final = 8 // STEP_BITS
STEP_MASK: Final = (1 << STEP_BITS) - 1


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


def unpacked_targets(parts: Sequence[Sequence[Any]]) -> list[ListedTarget]:
    """Convert the output of `packed_targets` back."""
    return [
        ListedTarget(
            TargetIdentity(identity),
            ServiceId(service),
            address,
            DomainId(domain),
            slots,
            Readiness(readiness),
            *cold_state,
        )
        for identity, service, address, domain, slots, readiness, *cold_state in parts
    ]


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


def unpacked_record(parts: Sequence[Any]) -> CrashRecord:
    """Convert the output of `packed_record` back."""
    content, generation, crashes, trials, last_ms, was_shared = parts
    return CrashRecord(
        ContentDigest(content),
        generation,
        frozenset(
            Crash(TargetIdentity(target), at_ms, alone)
            for target, at_ms, alone in crashes
        ),
        trials,
        last_ms,
        was_shared,
    )


def packed_node(node: NodeAddress) -> tuple[Any, ...]:
    """Convert a node to a plain tuple."""
    return astuple(node)


def unpacked_node(parts: Sequence[Any]) -> NodeAddress:
    """Convert the output of `packed_node` back."""
    host, incarnation, ip, port, domain, caller_address, capacity = parts
    return NodeAddress(
        HostId(host),
        Incarnation(incarnation),
        ip,
        port,
        DomainId(domain),
        caller_address,
        capacity,
    )


def packed_view(view: View) -> list[Any]:
    """Convert a view to plain lists."""
    return [
        view.number,
        [[*packed_node(entry.node), entry.joined] for entry in view.entries],
        [[*packed_node(entry.node), entry.joined] for entry in view.fenced],
    ]


def unpacked_view(parts: Sequence[Any]) -> View:
    """Convert the output of `packed_view` back."""
    number, entries, fenced = parts
    return View(number, _view_entries(entries), _view_entries(fenced))


def _view_entries(packed: Sequence[Sequence[Any]]) -> tuple[ViewEntry, ...]:
    return tuple(ViewEntry(unpacked_node(entry[:-1]), entry[-1]) for entry in packed)


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
