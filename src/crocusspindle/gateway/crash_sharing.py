"""Share which requests crash targets, and refuse those requests."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import ClassVar, Final

from crocusspindle.clock import wall_ms
from crocusspindle.core.crash_record import CrashRecord
from crocusspindle.core.crash_table import Isolation
from crocusspindle.core.crash_watch import CrashWatch
from crocusspindle.core.placement_request import PlacementRefused
from crocusspindle.gateway import instruments
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.messages import CrashNote, Done
from crocusspindle.gateway.packed_documents import packed_record, unpacked_records
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.ids import ContentDigest, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

PEER_TIMEOUT_S: Final = 0.3
"""Time after which a crash record is no longer sent to a silent host. It receives the
record from the reader or the store."""


class CrashSharing(Service):
    """Keep the crash tables of all hosts in agreement.

    Registered in the kernel as ``crashes``.
    """

    name: ClassVar[str] = "crashes"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge")

    def __init__(
        self, exchange: Exchange, fleet_state: FleetState, metrics: Metrics
    ) -> None:
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._metrics = metrics
        self._log = Logger("crashes")

    async def start(self) -> None:
        """Register the message handler."""
        self._exchange.handle(CrashNote, self._crash_note)

    async def _crash_note(self, note: CrashNote, sender: Address) -> Done:
        received = unpacked_records(note.records)
        for record in self._fleet_state.merge_crashes(received):
            self._log_record("crash record heard", record, told_by=sender[0])
        return Done()

    def refusal(self, content: ContentDigest) -> PlacementRefused | None:
        """Return the refusal of a held request; None if it may be sent."""
        left_ms = self._fleet_state.crashes.held_until_ms(content) - wall_ms()
        return PlacementRefused("held", left_ms) if left_ms > 0.0 else None

    def is_held(self, content: ContentDigest) -> bool:
        """Return True if a request is quarantined and may only be sent as a trial."""
        return self._fleet_state.crashes.is_held(content)

    def needs_isolation(self, content: ContentDigest) -> bool:
        """Return True if a request has to be isolated from other requests."""
        isolation = self._fleet_state.crashes.isolation(content)
        return isolation is not Isolation.NONE

    def record_crashes(
        self, service: ServiceId, ranks: PlacerRanks, watch: CrashWatch
    ) -> None:
        """Record what a service's placer observed, and publish the changed records."""
        changed: dict[ContentDigest, CrashRecord] = {}
        table = self._fleet_state.crashes
        for report in watch.reports():
            self._metrics.add(instruments.CRASHES, service=service)
            log_state_change(
                self._log,
                "target crashed",
                service=service,
                target=report.target,
                contents=sorted(report.contents),
            )
            changed |= {r.content: r for r in table.record_crash(report, wall_ms())}
        for content in watch.answered():
            cleared = table.clear(content, wall_ms())
            if cleared is not None:
                changed[content] = cleared
        for record in changed.values():
            self._log_record("crash record changed", record)
        self._publish(service, ranks, changed.values())

    def begin_held_trial(
        self, service: ServiceId, ranks: PlacerRanks, content: ContentDigest
    ) -> None:
        """Record a trial of a held request before it is sent."""
        record = self._fleet_state.crashes.begin_held_trial(content, wall_ms())
        if record is not None:
            self._log_record("trial of a held request", record)
            self._publish(service, ranks, (record,))

    def _publish(
        self, service: ServiceId, ranks: PlacerRanks, records: Iterable[CrashRecord]
    ) -> None:
        shared = [packed_record(record) for record in records if record.is_shared]
        unshared = [packed_record(record) for record in records if not record.is_shared]
        if unshared:
            ranks.notify_others(service, CrashNote(unshared))
        if shared:
            self._fleet_state.refresh_crash_encoding()
            self.spawn(self._publish_to_all(CrashNote(shared)))

    async def _publish_to_all(self, note: CrashNote) -> None:
        view = self._fleet_state.view.content
        addresses: Sequence[Address] = (
            ()
            if view is None
            else [(entry.node.ip, entry.node.peer_port) for entry in view.entries]
        )
        requests = (
            self._exchange.request(to, note, PEER_TIMEOUT_S, PEER_TIMEOUT_S)
            for to in addresses
        )
        await asyncio.gather(*requests)

    def _log_record(
        self, message: str, record: CrashRecord, **extra_fields: str
    ) -> None:
        held = self.is_held(record.content)
        left_ms = self._fleet_state.crashes.held_until_ms(record.content) - wall_ms()
        log_state_change(
            self._log,
            message,
            content=record.content,
            generation=record.generation,
            targets=sorted(crash.target for crash in record.crashes),
            trials=record.trials,
            held_ms=round(left_ms) if held else None,
            **extra_fields,
        )
