"""Tell of which services this node reaches no target any more.

Made for a node whose paths to targets fail while callers, the store and the other nodes
still reach it. One target that breaks or refuses connections may have failed by itself;
several in a row, with no response from any in between, are a failure of this node's
paths.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.ids import ServiceId

FAILING_TARGETS: Final = 2
"""Targets of a service that fail in a row until its paths count as lost. A wrong
conclusion costs a hop through another node and a probe."""

FAILING_MS: Final = 10_000.0
"""Time after which a failure no longer counts with later ones."""


@dataclass(slots=True)
class _ServicePaths:
    """Hold the targets of a service that failed since the last response."""

    failed_ms: dict[TargetIdentity, float] = field(default_factory=dict)
    lost_ms: float | None = None


class PathWatch:
    """Track whether this node reaches the targets of each service."""

    def __init__(self) -> None:
        self._services: dict[ServiceId, _ServicePaths] = {}

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
            return True
        return False

    def record_reached(self, service: ServiceId, began_ms: float) -> float | None:
        """Record that a target responded to an attempt, or accepted a probe.

        Return since when the paths were lost, None if they were not. If the attempt
        began before the last failure, only its old connection lives on.
        """
        paths = self._services.get(service)
        if paths is None or began_ms <= max(paths.failed_ms.values()):
            return None
        del self._services[service]
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

    def keep(self, services: Iterable[ServiceId]) -> None:
        """Forget the services that have no targets any more."""
        for service in self._services.keys() - set(services):
            del self._services[service]
