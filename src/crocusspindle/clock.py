"""Read the monotonic clock that all stored deadlines use."""

import time


def now_ms() -> float:
    """Return the monotonic clock in milliseconds.

    It goes on while the process is paused, so a deadline that passed during a
    pause is seen as passed at the next look.
    """
    return time.monotonic_ns() / 1e6


def remaining_s(deadline_ms: float) -> float:
    """Return the seconds left to a deadline, never below zero."""
    return max(0.0, (deadline_ms - now_ms()) / 1e3)
