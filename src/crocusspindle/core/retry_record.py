"""Hold one placer's counts of a service's requests and retries."""

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimeSlice:
    """Hold the counts of one time slice of the window, up to its end."""

    ended_ms: float
    requests: int
    retries: int


@dataclass(frozen=True, slots=True)
class RetryRecord:
    """Hold the counts of one process; a higher number is newer."""

    origin: str
    number: int
    time_slices: Sequence[TimeSlice]

    @property
    def newest_ms(self) -> float:
        """Return the end of the newest time slice."""
        return max(
            (time_slice.ended_ms for time_slice in self.time_slices), default=-math.inf
        )

    def requests_since(self, since_ms: float) -> int:
        """Return the count of first attempts since a time."""
        return sum(
            time_slice.requests
            for time_slice in self.time_slices
            if time_slice.ended_ms > since_ms
        )

    def retries_since(self, since_ms: float) -> int:
        """Return the count of retries since a time."""
        return sum(
            time_slice.retries
            for time_slice in self.time_slices
            if time_slice.ended_ms > since_ms
        )
