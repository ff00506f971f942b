"""Convert a host's measured load to the steps that it reports."""

from typing import Final

from crocusspindle.core.capacity_left import LOAD_MAX

LATE_FRACTION: Final = 0.25
"""Fraction of a period by which the timers of a late event loop fire late in sum. A
process that waits this long for a processor delays all its requests, also if it uses
less than its share. One large document or collection of garbage takes less."""

CHANGE_STEPS: Final = 0.75
"""Steps by which the load differs from the reported one before that changes. Rounding
alone would report each small change of a load between two steps."""


def next_load(previous: int, used: float, late: float) -> int:
    """Return the load to report, in eighths of the processor share.

    ``used`` is the fraction of the host's processor share that was used in the last
    period, ``late`` the fraction of it by which timers fired late.
    """
    if late >= LATE_FRACTION:
        return LOAD_MAX
    steps = min(used, 1.0) * LOAD_MAX
    return round(steps) if abs(steps - previous) >= CHANGE_STEPS else previous
