"""Estimate how often targets of a service turn gray, and for how long."""

import math
from typing import Final

DECAY_MS: Final = 60_000.0
"""Time constant: long enough for several gray failures of each target of a small
service, and short enough to notice an hour of faults. A factor of two in the
estimates matters little."""

PRIOR_ONSET_INTERVAL_MS: Final = 100_000.0
"""Prior interval between a target's onsets of gray failure: a service begins with one
onset of one target in this time, which observed ones soon outweigh."""

PRIOR_GRAY_SHARE: Final = 0.05
"""Prior share of time for which targets are gray, over the same interval."""


class GrayOnsetRate:
    """Count onsets of gray failure, and how long targets are healthy or not."""

    def __init__(self, now_ms: float) -> None:
        self._onsets = 1.0
        self._healthy_ms = PRIOR_ONSET_INTERVAL_MS * (1.0 - PRIOR_GRAY_SHARE)
        self._gray_ms = PRIOR_ONSET_INTERVAL_MS * PRIOR_GRAY_SHARE
        self._updated_ms = now_ms

    def record_time(self, healthy: int, unhealthy: int, now_ms: float) -> None:
        """Add the time since the last call for each healthy or unhealthy target."""
        passed_ms = now_ms - self._updated_ms
        if passed_ms <= 0.0:
            return
        decay = math.exp(-passed_ms / DECAY_MS)
        prior_gray_ms = PRIOR_ONSET_INTERVAL_MS * PRIOR_GRAY_SHARE
        prior_healthy_ms = PRIOR_ONSET_INTERVAL_MS - prior_gray_ms
        self._onsets = 1.0 + (self._onsets - 1.0) * decay
        healthy_ms = (self._healthy_ms - prior_healthy_ms) * decay + healthy * passed_ms
        gray_ms = (self._gray_ms - prior_gray_ms) * decay + unhealthy * passed_ms
        self._healthy_ms = prior_healthy_ms + healthy_ms
        self._gray_ms = prior_gray_ms + gray_ms
        self._updated_ms = now_ms

    def record_onset(self, was_healthy: bool) -> None:
        """Count a target that turned gray, unless it was already on trial for that."""
        self._onsets += was_healthy

    @property
    def mean_gray_ms(self) -> float:
        """Return the mean duration of a gray failure."""
        return self._gray_ms / self._onsets

    @property
    def gray_share(self) -> float:
        """Return the share of time for which targets are gray."""
        return self._gray_ms / (self._gray_ms + self._healthy_ms)

    def probability(self, success_age_ms: float) -> float:
        """Return the probability that a target is gray, by the age of its last success.

        It first grows with that age at the onset rate, and converges to the share of
        time for which targets are gray at all: an old success is no more evidence than
        none.
        """
        gray_share = self.gray_share
        onsets = max(0.0, success_age_ms) * self._onsets / self._healthy_ms
        return gray_share * (1.0 - math.exp(-onsets / gray_share))
