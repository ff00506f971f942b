"""Remember the limits that targets have named to this node."""

from collections.abc import Iterable
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitSaid

REMEMBERED_MS: Final = 10_000.0
"""A target that still has a limit has named it again within this, if it gets work."""


class ToldLimits:
    """Hold limits, for placers that may not know them.

    A placer that has just taken over has heard no answer yet. Its first asks tell it.
    """

    def __init__(self) -> None:
        self._said: dict[TargetIdentity, LimitSaid] = {}

    def hear(self, said: LimitSaid) -> None:
        """Take over what an answer said, which this node has passed on."""
        known = self._said.get(said.target)
        if known is not None and known.asked_ms > said.asked_ms:
            return
        if said.limit_per_s is None:
            self._said.pop(said.target, None)
        else:
            self._said[said.target] = said

    def recent(self, now_ms: float) -> list[LimitSaid]:
        """Return the limits that are not forgotten yet."""
        if not self._said:
            return []
        since_ms = now_ms - REMEMBERED_MS
        self._said = {t: s for t, s in self._said.items() if s.asked_ms > since_ms}
        return list(self._said.values())


def packed_limits(
    limits: Iterable[LimitSaid], now_ms: float
) -> list[tuple[str, float, int]]:
    """Return limits as plain lists; what says nothing is left out."""
    return [
        (said.target, said.limit_per_s, round(now_ms - said.asked_ms))
        for said in limits
        if said.limit_per_s is not None
    ]


def unpacked_limits(
    parts: Iterable[tuple[str, float, int]], now_ms: float
) -> list[LimitSaid]:
    """Return the limits of `packed_limits`."""
    return [
        LimitSaid(TargetIdentity(target), limit_per_s, now_ms - age_ms)
        for target, limit_per_s, age_ms in parts
    ]
