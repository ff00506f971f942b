"""Watch whether this node reaches the targets of each service."""

import asyncio
import random
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness
from crocusspindle.core.path_watch import PathWatch
from crocusspindle.gateway import instruments
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.port_probe import PortAnswer, probe
from crocusspindle.ids import ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

PROBE_CHECK_S: Final = 0.1
PROBE_HOLD_S: Final = 0.05
"""How long a probed connection must live: a path may accept one and break it."""


class Paths(Service):
    """Record what this node's attempts show of its paths to targets."""

    name: ClassVar[str] = "paths"
    needs: ClassVar[tuple[str, ...]] = ("placers",)

    def __init__(self, placers: Placers, metrics: Metrics, rng: random.Random) -> None:
        self._placers = placers
        self._metrics = metrics
        self._rng = rng
        self._watch = PathWatch(rng)
        self._probing: asyncio.Task[None] | None = None
        self._log = Logger("paths")

    def is_lost(self, service: ServiceId) -> bool:
        """Return True if this node reaches no target of a service."""
        return self._watch.is_lost(service)

    def record(
        self, target: ListedTarget, outcome: AttemptOutcome, began_ms: float
    ) -> None:
        """Record the outcome of this node's attempt on a target."""
        if outcome.shows_path:
            self._record_reached(target.service, began_ms, "response")
            return
        ready_targets = len(self._ready_targets(target.service))
        if self._watch.record(
            target.service, target.identity, outcome, ready_targets, now_ms()
        ):
            log_state_change(
                self._log,
                "paths to targets lost",
                service=target.service,
                targets=self._watch.failing(target.service),
                ready=ready_targets,
                ending=outcome.value,
            )
            self._count_lost()
            if self._probing is None or self._probing.done():
                self._probing = self.spawn(self._probe_lost())

    async def _probe_lost(self) -> None:
        """Probe lost paths until there are none."""
        while self._watch.lost_services():
            await asyncio.sleep(PROBE_CHECK_S)
            for service in self._watch.due_probes(now_ms()):
                await self._probe(service)

    async def _probe(self, service: ServiceId) -> None:
        ready = self._ready_targets(service)
        if not ready:
            self._watch.forget(service)
            self._count_lost()
            return
        began_ms = now_ms()
        if await probe(self._rng.choice(ready), PROBE_HOLD_S) is PortAnswer.ACCEPTS:
            self._record_reached(service, began_ms, "probe")

    def _record_reached(
        self, service: ServiceId, began_ms: float, shown_by: str
    ) -> None:
        lost_ms = self._watch.record_reached(service, began_ms, now_ms())
        if lost_ms is not None:
            log_state_change(
                self._log,
                "paths to targets regained",
                service=service,
                shown_by=shown_by,
                lost_for_ms=round(now_ms() - lost_ms),
            )
            self._count_lost()

    def _count_lost(self) -> None:
        self._metrics.set(instruments.LOST_PATHS, len(self._watch.lost_services()))

    def _ready_targets(self, service: ServiceId) -> list[ListedTarget]:
        return [
            target
            for target in self._placers.targets_of(service)
            if target.readiness is Readiness.READY
        ]
