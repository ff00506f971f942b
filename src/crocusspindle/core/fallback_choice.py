"""Choose a target from this node's own knowledge when no placer answers."""

import random
from collections.abc import Iterable

from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity


class FallbackChoice:
    """Avoid targets that failed here recently or that a placer ejected.

    Made for a node that is cut off from its peers but not from targets. It serves by
    its own counts rather than refuse.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._avoid_until_ms: dict[TargetIdentity, float] = {}
        self._running: dict[TargetIdentity, int] = {}

    def avoid(self, target: TargetIdentity, until_ms: float) -> None:
        """Give a target no work until a time."""
        self._avoid_until_ms[target] = until_ms

    def choose(
        self, targets: Iterable[ListedTarget], now_ms: float
    ) -> ListedTarget | None:
        """Return the less loaded of two ready targets drawn at random."""
        ready = [
            target
            for target in targets
            if target.readiness is Readiness.READY
            and self._avoid_until_ms.get(target.identity, 0.0) <= now_ms
            and self._running.get(target.identity, 0) < target.slots
        ]
        if not ready:
            return None
        candidates = self._rng.sample(ready, min(2, len(ready)))
        return min(candidates, key=lambda entry: self._running.get(entry.identity, 0))

    def began(self, target: TargetIdentity) -> None:
        """Count a request that this node placed by itself."""
        self._running[target] = self._running.get(target, 0) + 1

    def ended(self, target: TargetIdentity) -> None:
        """Count the end of such a request."""
        remaining = self._running.get(target, 1) - 1
        if remaining > 0:
            self._running[target] = remaining
        else:
            self._running.pop(target, None)
