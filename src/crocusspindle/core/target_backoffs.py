"""Store until when this node sends nothing to targets that asked it to back off."""

from collections.abc import Mapping

from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.ids import ServiceId


class TargetBackoffs:
    """Hold the backoffs that targets asked this node for.

    A target that refuses a request asks the node that sent it to back off; other nodes
    may go on. A backoff outlasts a restart of its target under its identity: whether
    the old process or the new one asked for it is not known while the list is old.
    """

    def __init__(self) -> None:
        self._until_ms: dict[TargetIdentity, float] = {}

    def record(
        self, target: TargetIdentity, retry_after_ms: float, now_ms: float
    ) -> None:
        """Begin a backoff. Of several, the one that ends last counts."""
        self._until_ms = {
            identity: until_ms
            for identity, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        self._until_ms[target] = max(now_ms + retry_after_ms, self.until_ms(target))

    def until_ms(self, target: TargetIdentity) -> float:
        """Return the end of the backoff from a target, 0 without one."""
        return self._until_ms.get(target, 0.0)

    def active(
        self,
        targets: Mapping[TargetIdentity, ListedTarget],
        service: ServiceId,
        now_ms: float,
    ) -> frozenset[TargetIdentity]:
        """Return the targets of a service from which this node backs off."""
        return frozenset(
            identity
            for identity, until_ms in self._until_ms.items()
            if until_ms > now_ms
            and (target := targets.get(identity)) is not None
            and target.service == service
        )
