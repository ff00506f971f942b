"""Read the monotonic clock that all stored deadlines use."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, counting suspended time.

    CLOCK_MONOTONIC stops while a host is suspended: a resumed node would treat a
    freshness confirmation that is minutes old as current, and serve a key that was
    withdrawn meanwhile. CLOCK_BOOTTIME keeps running, so a deadline that passed
    during the suspension has expired at the next read.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def wall_ms() -> int:
    """Return the Unix time in whole milliseconds, for values that outlive a process."""
    return round(time.time() * 1e3)


def remaining_s(deadline_ms: float) -> float:
    """Return the seconds left until a deadline, never below zero."""
    return max(0.0, (deadline_ms - now_ms()) / 1e3)
