"""Decide when a request is refused and when it may come back."""

import random
from typing import Final

from crocusspindle.ids import CustomerId

_LATEST_RETURN_MS: Final = 30_000.0
"""No caller is sent away for longer than this: capacity and demand change sooner
than a longer forecast holds."""

_RETURNS_KEPT: Final = 4_096
"""Customers whose next return is remembered; at the bound, past ones are dropped."""


class ReturnTimes:
    """Name each refused request a time to come back, spread over the drain.

    Load: a customer over its share, refused many times in a moment. Harm
    prevented: all of them told the same time, which makes the next burst. Each
    gets the next place at the pace at which its customer is served.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._next_ms: dict[CustomerId, float] = {}

    def next_for(
        self,
        customer: CustomerId,
        now_ms: float,
        wait_ms: float,
        spacing_ms: float,
    ) -> float:
        """Return a time not before ``wait_ms`` from now, after earlier ones."""
        earliest = now_ms + wait_ms
        # Homes of one service refuse the same callers; without a random part they
        # would send them back in step.
        spacing_ms *= self._random.uniform(0.5, 1.5)
        planned = max(earliest, self._next_ms.get(customer, 0.0) + spacing_ms)
        planned = min(planned, now_ms + _LATEST_RETURN_MS)
        if len(self._next_ms) >= _RETURNS_KEPT:
            self._next_ms = {
                key: value for key, value in self._next_ms.items() if value > now_ms
            }
        self._next_ms[customer] = planned
        return max(planned, now_ms)
