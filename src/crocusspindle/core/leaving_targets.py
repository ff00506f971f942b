"""Store the targets that said that they are about to stop."""

from collections.abc import Iterable
from dataclasses import replace
from typing import Final

from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity

RETENTION_MS: Final = 600_000.0
"""How long a target is remembered that is not listed. Its entry may return when the
platform's service does."""


class LeavingTargets:
    """Hold the targets that said they are leaving, whatever the list says of them now.

    A target that has started again under its identity is not leaving.
    """

    def __init__(self) -> None:
        self._started_ms: dict[TargetIdentity, int] = {}
        self._seen_ms: dict[TargetIdentity, float] = {}

    def record(self, target: TargetIdentity, started_ms: int, now_ms: float) -> bool:
        """Record a leaving target; return False if it was known."""
        known_ms = self._started_ms.get(target)
        is_new = known_ms is None or known_ms < started_ms
        if is_new:
            self._started_ms[target] = started_ms
        self._seen_ms[target] = now_ms
        return is_new

    def record_listed(self, listed: Iterable[ListedTarget], now_ms: float) -> None:
        """Record the targets whose entries say that they are leaving.

        Another list may name them as ready: that of a reader that has not read these
        entries, or of a store that was restored from a copy. Of targets that tell no
        start, only the newest list counts.
        """
        for target in listed:
            if target.readiness is Readiness.DRAINING and target.started_ms > 0:
                self.record(target.identity, target.started_ms, now_ms)

    def is_leaving(self, target: ListedTarget) -> bool:
        """Return True if a target has said that it is leaving."""
        started_ms = self._started_ms.get(target.identity)
        return started_ms is not None and started_ms >= target.started_ms

    def mark(self, listed: Iterable[ListedTarget], now_ms: float) -> list[ListedTarget]:
        """Return the targets; those that are leaving accept no work."""
        if not self._started_ms:
            return list(listed)
        marked = [self._mark(target, now_ms) for target in listed]
        self._forget(now_ms)
        return marked

    def _mark(self, target: ListedTarget, now_ms: float) -> ListedTarget:
        if not self.is_leaving(target):
            return target
        self._seen_ms[target.identity] = now_ms
        if target.readiness is not Readiness.READY:
            return target
        return replace(target, readiness=Readiness.DRAINING)

    def _forget(self, now_ms: float) -> None:
        for target, seen_ms in list(self._seen_ms.items()):
            if seen_ms + RETENTION_MS < now_ms:
                del self._seen_ms[target], self._started_ms[target]
