"""Measure how much of the host's processor share this node uses."""

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.capacity_left import LOAD_MAX
from crocusspindle.core.load_steps import next_load
from crocusspindle.gateway import instruments
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.settings import GatewaySettings
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

SAMPLE_INTERVAL_MS: Final = 250.0
"""Each sample wakes an idle process."""

PERIOD_MS: Final = 1_000.0
"""The load is measured over this. Collections of garbage and single large requests are
shorter, waves of load longer."""

PRESSED_LOAD: Final = LOAD_MAX // 2 + 1
"""Load from which a host gets fewer callers."""


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold the processor time used until a moment, and how late its timer fired."""

    at_ms: float
    processor_s: float
    late_ms: float


class HostLoad(Service):
    """Report the load in eighths of the processor share with this node's pings."""

    name: ClassVar[str] = "load"
    needs: ClassVar[tuple[str, ...]] = ("membership",)

    def __init__(
        self,
        settings: GatewaySettings,
        membership: Membership,
        metrics: Metrics,
        processor_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._cores = settings.cores
        self._membership = membership
        self._metrics = metrics
        self._processor_s = processor_s
        self._log = Logger("load")
        self._samples: deque[Sample] = deque()
        self.eighths = 0

    async def start(self) -> None:
        """Begin to measure."""
        self._membership.load = lambda: self.eighths
        self._metrics.set(instruments.HOST_LOAD, self.eighths)
        self._add_sample(now_ms(), 0.0)
        self.spawn(self._measure())

    async def _measure(self) -> None:
        while True:
            due_ms = now_ms() + SAMPLE_INTERVAL_MS
            await asyncio.sleep(SAMPLE_INTERVAL_MS / 1e3)
            self.record(now_ms(), now_ms() - due_ms)

    def record(self, at_ms: float, late_ms: float) -> None:
        """Record that a timer fired, and update the load."""
        self._add_sample(at_ms, max(0.0, late_ms))
        first, last = self._samples[0], self._samples[-1]
        # Just after the start, the work of the start would count as a second's.
        period_ms = max(PERIOD_MS, last.at_ms - first.at_ms)
        used_ms = (last.processor_s - first.processor_s) * 1e3
        late_sum_ms = sum(s.late_ms for s in self._samples if s is not first)
        previous = self.eighths
        self.eighths = next_load(
            previous, used_ms / period_ms / self._cores, late_sum_ms / period_ms
        )
        if self.eighths == previous:
            return
        self._metrics.set(instruments.HOST_LOAD, self.eighths)
        if (self.eighths >= PRESSED_LOAD) != (previous >= PRESSED_LOAD):
            log_state_change(
                self._log,
                "host load changed",
                eighths=self.eighths,
                used_ms=round(used_ms),
                late_ms=round(late_sum_ms),
                period_ms=round(period_ms),
            )

    def _add_sample(self, at_ms: float, late_ms: float) -> None:
        self._samples.append(Sample(at_ms, self._processor_s(), late_ms))
        # The first sample is the last one from before the period.
        while self._samples[0] is not self._samples[-1] and (
            self._samples[1].at_ms <= at_ms - PERIOD_MS
        ):
            self._samples.popleft()
