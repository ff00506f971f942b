"""Decide when an idempotent request is hedged at a second target.

Made for a service some of whose targets hang. Guards against answers that miss the
latency objective because the second attempt began too late, and a service that gets
much of its work twice because it began too early.
"""

from typing import Final

from crocusspindle.core.latency_sample import LatencySample

UNUSUAL_QUANTILE: Final = 0.95
"""Work that lasts longer than this quantile of its route's is worth a second attempt:
one healthy request in twenty gets one, a quarter of the typical bound on retries."""

IN_TIME_QUANTILE: Final = 0.9
"""Nine in ten second attempts are to finish in time."""

EARLIEST_QUANTILE: Final = 0.75
"""However tight the latency objective, three in four healthy answers come without a
second attempt."""

UNKNOWN_AIM_FRACTION: Final = 0.5
"""Fraction of the latency objective after which to hedge while there are too few
latencies to compare with."""


def hedge_after_ms(sample: LatencySample, aim_ms: float) -> float:
    """Return the age at which to hedge, given what is left of the latency objective."""
    if not sample.has_enough_samples:
        return max(sample.typical_ms, aim_ms * UNKNOWN_AIM_FRACTION)
    latest_ms = aim_ms - sample.quantile_ms(IN_TIME_QUANTILE)
    unusual_ms = sample.quantile_ms(UNUSUAL_QUANTILE)
    return max(sample.quantile_ms(EARLIEST_QUANTILE), min(unusual_ms, latest_ms))
