"""Convert the documents of the fleet's state to plain lists and back."""

from collections.abc import Sequence
from dataclasses import astuple
from typing import Any

from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.ids import ContentDigest, DomainId, HostId, Incarnation, ServiceId


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
