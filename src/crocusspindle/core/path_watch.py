"""Tell of which services this node reaches no target any more.

Made for a node whose paths to targets fail while callers, the store and the other nodes
still reach it. One target that breaks or refuses connections may have failed by itself;
several in a row, with no response from any in between, are a failure of this node's
paths.
"""

import math
import random
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ServiceId

FAILING_TARGETS: Final = 2
"""Targets of a service that fail in a row until its paths count as lost. A wrong
conclusion costs a hop through another node and a probe."""

FAILING_MS: Final = 10_000.0
"""Time after which a failure no longer counts with later ones."""


PROBE_MS: Final = 500.0
"""Time between probes of lost paths, with a spread of a quarter either way."""

PROBE_MAX_MS: Final = 4_000.0
RELAPSE_MS: Final = 5_000.0
"""Paths that are lost again within this time are probed half as often as before."""


@dataclass(slots=True)
class _ServicePaths:
    """Hold the targets of a service that failed since the last response."""

    failed_ms: dict[TargetIdentity, float] = field(default_factory=dict)
    lost_ms: float | None = None
    probe_at_ms: float = math.inf


class PathWatch:
    """Track whether this node reaches the targets of each service."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._services: dict[ServiceId, _ServicePaths] = {}
        self._probe_ms: dict[ServiceId, float] = {}
        self._returned_ms: dict[ServiceId, float] = {}

    def record(
        self,
        service: ServiceId,
        target: TargetIdentity,
        outcome: AttemptOutcome,
        ready_targets: int,
        now_ms: float,
    ) -> bool:
        """Record an attempt's outcome; return True if the paths are lost by it."""
        if not outcome.fails_path:
            return False
        paths = self._services.setdefault(service, _ServicePaths())
        paths.failed_ms[target] = now_ms
        recent = sum(at > now_ms - FAILING_MS for at in paths.failed_ms.values())
        is_certain = outcome is AttemptOutcome.DISCONNECTED
        if paths.lost_ms is None and (
            is_certain or recent >= min(FAILING_TARGETS, ready_targets)
        ):
            paths.lost_ms = now_ms
            relapsed = now_ms - self._returned_ms.get(service, -math.inf) < RELAPSE_MS
            probe_ms = self._probe_ms.get(service, PROBE_MS) * 2 if relapsed else 0.0
            self._probe_ms[service] = min(PROBE_MAX_MS, max(PROBE_MS, probe_ms))
            self._schedule_probe(service, paths, now_ms)
            return True
        return False

    def _schedule_probe(
        self, service: ServiceId, paths: _ServicePaths, now_ms: float
    ) -> None:
        spread = self._rng.uniform(0.75, 1.25)
        paths.probe_at_ms = now_ms + self._probe_ms[service] * spread

    def due_probes(self, now_ms: float) -> list[ServiceId]:
        """Return the services whose lost paths are due for a probe."""
        due = []
        for service, paths in self._services.items():
            if paths.lost_ms is not None and now_ms >= paths.probe_at_ms:
                self._schedule_probe(service, paths, now_ms)
                due.append(service)
        return due

    def record_reached(
        self, service: ServiceId, began_ms: float, now_ms: float
    ) -> float | None:
        """Record that a target responded to an attempt, or accepted a probe.

        Return since when the paths were lost, None if they were not. If the attempt
        began before the last failure, only its old connection lives on.
        """
        paths = self._services.get(service)
        if paths is None or began_ms <= max(paths.failed_ms.values()):
            return None
        del self._services[service]
        if paths.lost_ms is not None:
            self._returned_ms[service] = now_ms
        return paths.lost_ms

    def is_lost(self, service: ServiceId) -> bool:
        """Return True if this node reaches no target of a service."""
        paths = self._services.get(service)
        return paths is not None and paths.lost_ms is not None

    def lost_services(self) -> list[ServiceId]:
        """Return the services of which this node reaches no target."""
        return [service for service in self._services if self.is_lost(service)]

    def failing(self, service: ServiceId) -> list[TargetIdentity]:
        """Return the targets of a service that failed since its last response."""
        paths = self._services.get(service)
        return [] if paths is None else list(paths.failed_ms)

    def forget(self, service: ServiceId) -> None:
        """Forget a service that has no targets any more."""
        for by_service in (self._services, self._probe_ms, self._returned_ms):
            by_service.pop(service, None)
