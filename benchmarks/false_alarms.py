"""Count false alarms of the sequential tests over many healthy service-days.

Runs the recursions of ``crocusspindle.core.evidence`` over arrays with one column per
target and known healthy rates. ``benchmarks.health`` compares the counts with those of
``GroupHealth`` at thresholds low enough to see any there.
"""

from dataclasses import dataclass
from math import exp

import numpy as np
import numpy.typing as npt

from crocusspindle.core.evidence import FailureTest
from crocusspindle.core.health_state import HealthSettings

PARALLEL_TARGETS = 8192
BIN_NATS = 0.5
BINS = 80
EXTRAPOLATION_NATS = 12.0

FloatArray = npt.NDArray[np.float64]


@dataclass(frozen=True)
class FalseAlarms:
    """Hold how many excursions of all tests reached each level of evidence.

    ``reached[i]`` counts the excursions whose peak is at least ``i * BIN_NATS``.
    """

    samples: int
    reached: FloatArray

    def per_samples(self, threshold_nats: float, samples: float) -> float:
        """Return the false alarms expected in a number of healthy samples."""
        reached = float(self.reached[int(threshold_nats / BIN_NATS)])
        return reached * samples / self.samples

    def extrapolated_per_samples(self, threshold_nats: float, samples: float) -> float:
        """Return the false alarms expected from a level that many excursions reach.

        Each nat above it divides them by e, as the likelihood ratio is a martingale.
        """
        false_alarms = self.per_samples(EXTRAPOLATION_NATS, samples)
        return false_alarms * exp(EXTRAPOLATION_NATS - threshold_nats)

    def upper_bound_per_samples(self, threshold_nats: float, samples: float) -> float:
        """Return the upper end of the 95 % interval; 3 events if none occurred."""
        reached = float(self.reached[int(threshold_nats / BIN_NATS)])
        upper_bound = 3.0 if reached == 0.0 else reached + 2.0 * reached**0.5 + 2.0
        return upper_bound * samples / self.samples


class Excursions:
    """Keep many sums that are floored at 0; count excursions by their peak."""

    def __init__(self) -> None:
        self._nats = np.zeros(PARALLEL_TARGETS)
        self._peaks = np.zeros(PARALLEL_TARGETS)
        self.ended = np.zeros(BINS, dtype=np.int64)

    def step(self, gains: FloatArray, cost: float = 0.0) -> None:
        """Add the gains, update the peaks, then subtract the cost."""
        self._nats += gains
        np.maximum(self._peaks, self._nats, out=self._peaks)
        self._nats -= cost
        returned = np.flatnonzero(self._nats <= 0.0)
        peaks = self._peaks[returned]
        self._nats[returned] = 0.0
        self._peaks[returned] = 0.0
        # Lower peaks are not counted: the counts hold for levels from 4 nats on.
        high = peaks[peaks >= 4.0]
        bins = np.minimum((high / BIN_NATS).astype(np.int64), BINS - 1)
        self.ended += np.bincount(bins, minlength=BINS)


def count_false_alarms(
    samples: int, seed: int, error_rate: float, settings: HealthSettings
) -> FalseAlarms:
    """Return the false alarms in about this many samples of healthy targets."""
    rng = np.random.default_rng(seed)
    healthy_rate = max(error_rate, settings.min_failure_rate)
    tests = [
        FailureTest.between(healthy_rate, loss_fraction)
        for loss_fraction in (settings.mild_loss_fraction, settings.hard_loss_fraction)
    ]
    failures = [Excursions() for _ in tests]
    slow = Excursions()
    gain = 1.0 - 1.0 / settings.slow_factor
    cost = float(np.log(settings.slow_factor))
    steps = samples // PARALLEL_TARGETS
    for _ in range(steps):
        failed = rng.random(PARALLEL_TARGETS, dtype=np.float32) < error_rate
        for test, sums in zip(tests, failures, strict=True):
            sums.step(np.where(failed, test.failure_nats, test.success_nats))
        # Between two answers, the hazard of the running requests grows by an
        # exponential of mean 1, however many slots they use.
        slow.step(gain * rng.standard_exponential(PARALLEL_TARGETS), cost)
    ended = slow.ended + sum(sums.ended for sums in failures)
    return FalseAlarms(
        steps * PARALLEL_TARGETS, np.cumsum(ended[::-1])[::-1].astype(np.float64)
    )
