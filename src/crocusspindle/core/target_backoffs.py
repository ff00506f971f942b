"""Store until when this node sends nothing to targets that asked it to back off."""

from collections.abc import Mapping
from dataclasses import dataclass

from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.ids import ServiceId


@dataclass(frozen=True, slots=True)
class _Backoff:
    """Hold the end of a backoff, and which start of the target asked for it."""

    started_ms: int
    until_ms: float


class TargetBackoffs:
    """Hold the backoffs that targets asked this node for.

    A target that refuses a request asks the node that sent it to back off; other nodes
    may go on. A target that has started again has asked for nothing.
    """

    def __init__(self) -> None:
        self._backoffs: dict[TargetIdentity, _Backoff] = {}

    def record(
        self, target: ListedTarget, retry_after_ms: float, now_ms: float
    ) -> None:
        """Begin a backoff. Of several, the one that ends last counts."""
        self._backoffs = {
            identity: backoff
            for identity, backoff in self._backoffs.items()
            if backoff.until_ms > now_ms
        }
        until_ms = max(now_ms + retry_after_ms, self.until_ms(target))
        self._backoffs[target.identity] = _Backoff(target.started_ms, until_ms)

    def until_ms(self, target: ListedTarget) -> float:
        """Return the end of the backoff from a target, 0 without one."""
        backoff = self._backoffs.get(target.identity)
        if backoff is None or target.started_ms > backoff.started_ms:
            return 0.0
        return backoff.until_ms

    def active(
        self,
        targets: Mapping[TargetIdentity, ListedTarget],
        service: ServiceId,
        now_ms: float,
    ) -> frozenset[TargetIdentity]:
        """Return the targets of a service from which this node backs off."""
        return frozenset(
            identity
            for identity in self._backoffs
            if (target := targets.get(identity)) is not None
            and target.service == service
            and self.until_ms(target) > now_ms
        )
