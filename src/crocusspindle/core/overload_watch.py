"""Notice when a service is overloaded, and who uses its room meanwhile."""

import math
from collections import Counter
from dataclasses import dataclass
from heapq import nlargest
from typing import Final

from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.ids import CustomerId

ENDS_AFTER_MS: Final = 2_000.0
"""An overload ends when no request was refused for so long. Shorter gaps would split
one overload into many."""

CUSTOMERS_REPORTED: Final = 5

MAX_CUSTOMERS: Final = 1_024
"""Customers counted at once. Beyond it, half are kept, those with the most grants: a
service may have 520,000 customers, and an overload may last for hours."""


@dataclass(frozen=True, slots=True)
class CustomerUse:
    """Count the requests of one customer during an overload."""

    customer: CustomerId
    requests: int
    granted: int
    refused: int


@dataclass(frozen=True, slots=True)
class OverloadChange:
    """Report that an overload began or ended.

    ``largest`` are the customers with the most grants since it began, the first of them
    with the most.
    """

    overloaded: bool
    lasted_ms: float = 0.0
    requests: int = 0
    granted: int = 0
    refused: int = 0
    largest: tuple[CustomerUse, ...] = ()


class OverloadWatch:
    """Count by customer while requests of a service are refused as full."""

    def __init__(self) -> None:
        self._began_ms = math.nan
        self._refused_ms = -math.inf
        self._changes: list[OverloadChange] = []
        self._requests: Counter[CustomerId] = Counter()
        self._granted: Counter[CustomerId] = Counter()
        self._refused: Counter[CustomerId] = Counter()
        # Of all customers, also those that are no longer counted.
        self._totals = [0, 0, 0]

    @property
    def is_overloaded(self) -> bool:
        """Return True from the first refusal until `ENDS_AFTER_MS` after the last."""
        return not math.isnan(self._began_ms)

    def record_request(self, request: PlacementRequest) -> None:
        """Count a first attempt."""
        if self.is_overloaded:
            self._count(self._requests, request.customer)

    def record_grant(self, request: PlacementRequest) -> None:
        """Count a first attempt that got a slot."""
        if self.is_overloaded and not request.retry:
            self._count(self._granted, request.customer)

    def record_refusal(self, request: PlacementRequest, now_ms: float) -> None:
        """Count a request that was refused as full."""
        if not self.is_overloaded:
            self._began_ms = now_ms
            self._count(self._requests, request.customer)
            self._changes.append(OverloadChange(True))
        self._refused_ms = now_ms
        self._count(self._refused, request.customer)

    @property
    def _counts(self) -> tuple[Counter[CustomerId], ...]:
        return self._requests, self._granted, self._refused

    def _count(self, counts: Counter[CustomerId], customer: CustomerId) -> None:
        counts[customer] += 1
        for column, other in enumerate(self._counts):
            self._totals[column] += other is counts
        if len(counts) > MAX_CUSTOMERS:
            self._drop_small_customers()

    def _drop_small_customers(self) -> None:
        customers: set[CustomerId] = set().union(*self._counts)
        kept = nlargest(MAX_CUSTOMERS // 2, customers, key=self._granted.__getitem__)
        for counts in self._counts:
            remaining = {key: counts[key] for key in kept if key in counts}
            counts.clear()
            counts.update(remaining)

    def end_if_over(self, now_ms: float) -> None:
        """End the overload if no request was refused for `ENDS_AFTER_MS`."""
        if not self.is_overloaded or now_ms - self._refused_ms < ENDS_AFTER_MS:
            return
        self._changes.append(
            OverloadChange(
                False,
                self._refused_ms - self._began_ms,
                *self._totals,
                tuple(
                    CustomerUse(
                        customer,
                        self._requests[customer],
                        granted,
                        self._refused[customer],
                    )
                    for customer, granted in self._granted.most_common(
                        CUSTOMERS_REPORTED
                    )
                ),
            )
        )
        self._began_ms = math.nan
        self._totals = [0, 0, 0]
        for counts in self._counts:
            counts.clear()

    def changes(self) -> list[OverloadChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
