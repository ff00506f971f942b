"""Limit the rate of bytes that a node sends."""

from typing import Final

BURST_MS: Final = 250.0
"""Longest idle time whose unused allowance is kept for a burst: shorter than the delay
that a heartbeat may have."""


class ByteRateLimiter:
    """Allow a node to send bytes up to a rate.

    Made for a whole fleet that requests the documents of its state from one node at the
    same moment. Guards against a queue of seconds on that node's link, behind which its
    heartbeats arrive too late, so that every node considers it lost and requests the
    documents from the next one.
    """

    def __init__(self, bytes_per_ms: float) -> None:
        self._bytes_per_ms = bytes_per_ms
        self._next_ms = 0.0

    def try_consume(self, length: int, now_ms: float) -> bool:
        """Return True if a length may be sent now, and count it if so.

        A length beyond the allowance is not split or refused: it delays the next one.
        """
        if self._next_ms > now_ms:
            return False
        # Allowance unused for longer than this expires.
        begin_ms = max(self._next_ms, now_ms - BURST_MS)
        self._next_ms = begin_ms + length / self._bytes_per_ms
        return True
