"""Share learned concurrency limits of targets with the other placers."""

from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.gateway import instruments
from crocusspindle.gateway.messages import TargetLimitNote
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.ids import ServiceId
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

MIN_INTERVAL_MS: Final = 1_000.0
RENEWAL_MS: Final = 4_000.0
"""Interval at which unchanged limits are sent again. Less than half of the time after
which a received limit expires, so that one lost note loses nothing."""

MAX_LIMITS: Final = 500
"""Limits in one note, some 20 KB."""


class LimitSharing:
    """Log changes of limits, and notify the placers that may take over."""

    def __init__(self, ranks: PlacerRanks, metrics: Metrics) -> None:
        self._ranks = ranks
        self._metrics = metrics
        self._sent_ms: dict[ServiceId, float] = {}
        self._pending: set[ServiceId] = set()
        self._limited: dict[ServiceId, int] = {}
        self._log = Logger("placing")

    def publish(self, service: ServiceId, placer: ServicePlacer) -> None:
        """Log and count the changes of a service's limits; send them if due."""
        changes = placer.limit_changes()
        for change in changes:
            log_state_change(
                self._log,
                "target concurrency changed",
                service=service,
                target=change.target,
                limit=change.limit,
                slots=change.slots,
                lower_mean=round(change.lower_mean, 2),
                upper_mean=round(change.upper_mean, 2),
            )
        if changes:
            self._pending.add(service)
        if service in self._pending or self._limited.get(service):
            self._send_if_due(service, placer)

    def _send_if_due(self, service: ServiceId, placer: ServicePlacer) -> None:
        since_ms = now_ms() - self._sent_ms.get(service, float("-inf"))
        if since_ms < (MIN_INTERVAL_MS if service in self._pending else RENEWAL_MS):
            return
        self._sent_ms[service] = now_ms()
        self._pending.discard(service)
        limits = placer.lowered_limits()
        self._limited[service] = len(limits)
        self._metrics.set(instruments.TARGET_LIMITS, sum(self._limited.values()))
        note = TargetLimitNote(service, list(limits.items())[:MAX_LIMITS])
        self._ranks.notify_others(service, note)

    @staticmethod
    def receive(note: TargetLimitNote, placer: ServicePlacer) -> None:
        """Start with the limits of another placer."""
        limits = [(TargetIdentity(target), limit) for target, limit in note.limits]
        placer.receive_limits(limits, now_ms())
