"""Choose when the caller of a refused request may retry."""

import random
from typing import Final

from crocusspindle.ids import CustomerId

_MAX_RETRY_DELAY_MS: Final = 30_000.0
"""Longest time from a refusal to the retry time. Capacity and demand change before a
longer forecast would hold."""

_MAX_CUSTOMERS: Final = 4_096
"""Past retry times are dropped once those of this many customers are kept, and of
twice as many as remained the last time."""


class RetryTimes:
    """Assign each refused request a retry time, spread at the rate of service.

    Many requests of a customer above its share may be refused at once. The same retry
    time for all would cause the next burst, so each gets the next place at the rate at
    which its customer is served.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._next_ms: dict[CustomerId, float] = {}
        self._max_customers = _MAX_CUSTOMERS

    def next_for(
        self,
        customer: CustomerId,
        now_ms: float,
        wait_ms: float,
        spacing_ms: float,
    ) -> float:
        """Return a time ``wait_ms`` from now or later, spaced from the previous one.

        It is at most 30 s from now: a longer wait or spacing is cut.
        """
        earliest_ms = now_ms + wait_ms
        # The coordinators of a service refuse the same callers; without jitter these
        # would all retry at the same moments.
        spacing_ms *= self._random.uniform(0.5, 1.5)
        planned_ms = max(earliest_ms, self._next_ms.get(customer, 0.0) + spacing_ms)
        planned_ms = min(planned_ms, now_ms + _MAX_RETRY_DELAY_MS)
        if len(self._next_ms) >= self._max_customers:
            self._next_ms = {
                key: value for key, value in self._next_ms.items() if value > now_ms
            }
            self._max_customers = max(_MAX_CUSTOMERS, 2 * len(self._next_ms))
        self._next_ms[customer] = planned_ms
        return max(planned_ms, now_ms)
