"""Estimate the share of a service's attempts that do not reach their target.

A sender that cannot reach a target may have lost its path to it. That says little about
the target while many paths are bad, and much while all are good.
"""

import math
from typing import Final

MIN_SHARE: Final = 0.03
"""Lowest share assumed, and the initial estimate: two senders that agree then suffice
to eject the target, since both paths would be bad once in a thousand times."""

SAMPLE_WEIGHT: Final = 0.02
"""Weight of the newest attempt: the last fifty or so count, about one second of
a service's attempts."""


class UnreachedShare:
    """Track the share of attempts that could not reach a target."""

    def __init__(self) -> None:
        self._share = MIN_SHARE

    def record(self, unreached: bool) -> None:
        """Record whether one attempt failed to reach its target."""
        self._share += SAMPLE_WEIGHT * (unreached - self._share)

    @property
    def unreached_nats(self) -> float:
        """Return the evidence against a target that one sender cannot reach."""
        return -math.log(max(MIN_SHARE, self._share))
