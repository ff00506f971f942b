"""Compare the throughput of two concurrency levels by their mean latencies.

With n requests running, a target answers n / (mean latency at n) requests per unit of
time. One request more gains nothing once the latency rises in the same proportion.
"""

import math


class Mean:
    """Average samples."""

    __slots__ = ("count", "total")

    def __init__(self) -> None:
        self.count = 0
        self.total = 0.0

    def add(self, value: float) -> None:
        """Add a sample."""
        self.count += 1
        self.total += value

    @property
    def mean(self) -> float:
        """Return the mean, 0 without samples."""
        return self.total / self.count if self.count else 0.0


def max_rise(lower_level: int, share: float = 1.0) -> float:
    """Return the largest rise in latency that still justifies one request more.

    At ``share`` 1 the throughput of the two levels is equal; a smaller share requires
    that a part of the added request's throughput is gained.
    """
    return 1.0 + share / lower_level


def accepts_probe(
    lower_level: int, mean_before: float, mean_of_probe: float, share: float
) -> bool:
    """Return True if a level above the limit increased throughput."""
    return mean_of_probe / max(mean_before, 1e-9) < max_rise(lower_level, share)


def loss_in_errors(
    lower_level: int,
    lower_mean: float,
    lower_error: float,
    upper_mean: float,
    upper_error: float,
    min_loss: float = 0.0,
    share: float = 1.0,
) -> float:
    """Return by how many standard errors the upper level has less throughput.

    The errors are those of the two means, which must be positive. The result is
    negative if the upper level has more throughput, or loses less than the fraction
    ``min_loss`` of the lower one's. ``share`` is that of ``max_rise``. Logarithms
    are compared, as a slowdown multiplies the error of the mean as well.
    """
    excess = math.log(upper_mean / lower_mean) - math.log(max_rise(lower_level, share))
    excess += math.log(1.0 - min_loss)
    error = math.hypot(upper_error / upper_mean, lower_error / lower_mean)
    return excess / error if error else math.copysign(math.inf, excess)
