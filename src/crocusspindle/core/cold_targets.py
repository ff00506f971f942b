"""Track which targets may be cold, from successive lists of targets.

A cold target is slow, and crashes if it gets many requests at once. What the list says
of it may be seconds old, so a target that has just appeared, or gets no work until now,
counts as cold whatever its entry says.
"""

import math
from collections.abc import Mapping

from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity


class ColdTargets:
    """Hold since when each target may be cold."""

    def __init__(self) -> None:
        self._listed: Mapping[TargetIdentity, ListedTarget] | None = None
        self._since_ms: dict[TargetIdentity, float] = {}

    def update(
        self, listed: Mapping[TargetIdentity, ListedTarget], now_ms: float
    ) -> None:
        """Compare a new list of targets with the previous one."""
        self._since_ms = {
            identity: now_ms if self._becomes_cold(target) else self.since_ms(identity)
            for identity, target in listed.items()
        }
        self._listed = dict(listed)

    def since_ms(self, target: TargetIdentity) -> float:
        """Return when a target may last have become cold, minus infinity if never."""
        return self._since_ms.get(target, -math.inf)

    def _becomes_cold(self, target: ListedTarget) -> bool:
        if self._listed is None:
            # On a node that has just started, every target is new.
            return target.cold
        previous = self._listed.get(target.identity)
        if previous is None or previous.started_ms != target.started_ms:
            return True
        was_evacuated = previous.readiness is Readiness.EVACUATED
        if was_evacuated and target.readiness is not Readiness.EVACUATED:
            return True
        return target.cold and not previous.cold
