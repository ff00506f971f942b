"""Tell the fleet under which requests targets crash, and refuse those requests."""

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
from crocusspindle.gateway.knowledge import Knowledge, packed_record, unpacked_record
from crocusspindle.gateway.messages import CrashNote, Done
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.ids import ContentDigest, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

SILENT_S: Final = 0.3
"""A host that is silent for so long learns of crashes from the reader, or its row."""


class CrashSharing(Service):
    """Keep every host's table of crashes the same."""

    name: ClassVar[str] = "crashes"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "knowledge")

    def __init__(
        self, exchange: Exchange, knowledge: Knowledge, metrics: Metrics
    ) -> None:
        self._exchange = exchange
        self._knowledge = knowledge
        self._metrics = metrics
        self._log = Logger("crashes")

    async def start(self) -> None:
        """Begin to listen."""
        self._exchange.handle(CrashNote, self._crash_note)

    async def _crash_note(self, note: CrashNote, sender: Address) -> Done:
        told = [unpacked_record(parts) for parts in note.records]
        for record in self._knowledge.take_crashes(told):
            self._log_record("crash record heard", record, told_by=sender[0])
        return Done()

    def refusal(self, content: ContentDigest) -> PlacementRefused | None:
        """Return the refusal of a request that is held; None if it may be sent."""
        left_ms = self._knowledge.crashes.held_until_ms(content) - wall_ms()
        return PlacementRefused("held", left_ms) if left_ms > 0.0 else None

    def is_held(self, content: ContentDigest) -> bool:
        """Return True if a request may only be sent as a trial."""
        return self._knowledge.crashes.is_held(content)

    def is_suspect(self, content: ContentDigest) -> bool:
        """Return True if targets have crashed under a request."""
        isolation = self._knowledge.crashes.isolation(content)
        return isolation is not Isolation.NONE

    def take(self, service: ServiceId, ranks: PlacerRanks, watch: CrashWatch) -> None:
        """Take over what the placer of a service has seen, and tell who must know."""
        changed: dict[ContentDigest, CrashRecord] = {}
        table = self._knowledge.crashes
        for seen in watch.reports():
            self._metrics.add(instruments.CRASHES, service=service)
            log_state_change(
                self._log,
                "target crashed",
                service=service,
                target=seen.target,
                contents=sorted(seen.contents),
            )
            changed |= {r.content: r for r in table.record_crash(seen, wall_ms())}
        for content in watch.answered():
            cleared = table.clear(content, wall_ms())
            if cleared is not None:
                changed[content] = cleared
        for record in changed.values():
            self._log_record("crash record changed", record)
        self._tell(service, ranks, changed.values())

    def begin_trial(
        self, service: ServiceId, ranks: PlacerRanks, content: ContentDigest
    ) -> None:
        """Count a trial of a held request before it is sent."""
        record = self._knowledge.crashes.begin_trial(content, wall_ms())
        if record is not None:
            self._log_record("trial of a held request", record)
            self._tell(service, ranks, (record,))

    def _tell(
        self, service: ServiceId, ranks: PlacerRanks, records: Iterable[CrashRecord]
    ) -> None:
        shared = [packed_record(record) for record in records if record.is_shared]
        own = [packed_record(record) for record in records if not record.is_shared]
        if own:
            ranks.tell_others(service, CrashNote(own))
        if shared:
            self._knowledge.renew_crash_form()
            self.spawn(self._tell_all(CrashNote(shared)))

    async def _tell_all(self, note: CrashNote) -> None:
        view = self._knowledge.view.content
        entries: Sequence[Address] = (
            ()
            if view is None
            else [(seat.node.ip, seat.node.peer_port) for seat in view.entries]
        )
        asks = (self._exchange.ask(to, note, SILENT_S, SILENT_S) for to in entries)
        await asyncio.gather(*asks)

    def _log_record(self, message: str, record: CrashRecord, **more: str) -> None:
        held = self.is_held(record.content)
        left_ms = self._knowledge.crashes.held_until_ms(record.content) - wall_ms()
        log_state_change(
            self._log,
            message,
            content=record.content,
            generation=record.generation,
            targets=sorted(crash.target for crash in record.crashes),
            trials=record.trials,
            held_ms=round(left_ms) if held else None,
            **more,
        )
