"""Know how long the bodies of a service are, and when one is longer by far."""

from dataclasses import dataclass
from typing import Final

from crocusspindle.ids import ServiceId

USUAL_BYTES: Final = 1 << 20
"""A body up to this size is never unusual."""

MAX_WITHHELD_BYTES: Final = 4 << 20
"""Bytes of a body that are held at most to see whether it is unusual."""

UNUSUAL_FACTOR: Final = 4
"""Ratio to the longest whole body of the service from which a body is unusual."""

MIN_BODIES: Final = 8
"""Whole bodies of a service before any is unusual."""

MAX_SERVICES: Final = 4_096
"""Services remembered; above it the oldest is forgotten."""


@dataclass(slots=True)
class _Seen:
    bodies: int = 0
    longest_bytes: int = 0


class BodySizes:
    """Remember the longest whole body of each service."""

    def __init__(self) -> None:
        self._seen: dict[ServiceId, _Seen] = {}

    def record(self, service: ServiceId, size: int) -> None:
        """Record a body that was read to its end."""
        seen = self._seen.get(service)
        if seen is None:
            if len(self._seen) >= MAX_SERVICES:
                del self._seen[next(iter(self._seen))]
            seen = self._seen[service] = _Seen()
        seen.bodies += 1
        seen.longest_bytes = max(seen.longest_bytes, size)

    def unusual_bytes(self, service: ServiceId) -> int | None:
        """Return the size above which a body is unusual, None if none is."""
        seen = self._seen.get(service)
        if seen is None or seen.bodies < MIN_BODIES:
            return None
        size = max(USUAL_BYTES, UNUSUAL_FACTOR * seen.longest_bytes)
        return size if size <= MAX_WITHHELD_BYTES else None
