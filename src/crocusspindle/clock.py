"""Read the monotonic clock that all stored deadlines use."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds, counting suspended time.

    The plain monotonic clock stands still while a host is suspended: a node that
    wakes would take a proof of minutes ago for fresh, and serve a key that was
    withdrawn meanwhile. The boot clock goes on, so a deadline that passed during
    a suspension is seen as passed at the next look.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / 1e6


def wall_ms() -> int:
    """Return the time of day in whole milliseconds, for what outlives a process."""
    return round(time.time() * 1e3)


def remaining_s(deadline_ms: float) -> float:
    """Return the seconds left to a deadline, never below zero."""
    return max(0.0, (deadline_ms - now_ms()) / 1e3)
