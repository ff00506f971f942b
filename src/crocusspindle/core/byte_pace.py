"""Bound how many bytes a node gives away in a time."""

from typing import Final

BURST_MS: Final = 250.0
"""What a calm time leaves to be sent at once: less than what a heartbeat may wait."""


class BytePace:
    """Allow bytes at a rate.

    The load is a whole fleet that asks one node for whole lists at the same moment. The
    harm prevented: a queue of seconds on that node's link, behind which its heartbeats
    come too late, so that everyone takes it for gone and asks the next.
    """

    def __init__(self, bytes_per_ms: float) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._due_ms = 0.0

    def take(self, length: int, now_ms: float) -> bool:
        """Return True if so many bytes may be sent now."""
        if self._due_ms > now_ms:
            return False
        # What was not used for longer than a burst is gone.
        begin_ms = max(self._due_ms, now_ms - BURST_MS)
        self._due_ms = begin_ms + length / self._bytes_per_ms
        return True
