"""Notice when a service is overloaded, and who uses its room meanwhile."""

import math
from collections import Counter
from collections.abc import Iterable
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


class _Counts:
    """Count by customer; ``total`` includes customers that are no longer counted."""

    __slots__ = ("by_customer", "total")

    def __init__(self) -> None:
        self.total = 0
        self.by_customer: Counter[CustomerId] = Counter()

    def add(self, customer: CustomerId) -> None:
        self.total += 1
        self.by_customer[customer] += 1

    def keep(self, customers: Iterable[CustomerId]) -> None:
        self.by_customer = Counter(
            {key: self.by_customer[key] for key in customers if key in self.by_customer}
        )


class OverloadWatch:
    """Count by customer while requests of a service are refused as full."""

    def __init__(self) -> None:
        self._began_ms = math.nan
        self._refused_ms = -math.inf
        self._changes: list[OverloadChange] = []
        self._requests = _Counts()
        self._granted = _Counts()
        self._refused = _Counts()

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

    def _count(self, counts: _Counts, customer: CustomerId) -> None:
        counts.add(customer)
        if len(counts.by_customer) > MAX_CUSTOMERS:
            self._drop_small_customers()

    def _drop_small_customers(self) -> None:
        all_counts = (self._requests, self._granted, self._refused)
        customers = {key for counts in all_counts for key in counts.by_customer}
        granted = self._granted.by_customer
        kept = nlargest(MAX_CUSTOMERS // 2, customers, key=granted.__getitem__)
        for counts in all_counts:
            counts.keep(kept)

    def end_if_over(self, now_ms: float) -> None:
        """End the overload if no request was refused for `ENDS_AFTER_MS`."""
        if not self.is_overloaded or now_ms - self._refused_ms < ENDS_AFTER_MS:
            return
        self._changes.append(
            OverloadChange(
                False,
                self._refused_ms - self._began_ms,
                self._requests.total,
                self._granted.total,
                self._refused.total,
                tuple(
                    CustomerUse(
                        customer,
                        self._requests.by_customer[customer],
                        granted,
                        self._refused.by_customer[customer],
                    )
                    for customer, granted in self._granted.by_customer.most_common(
                        CUSTOMERS_REPORTED
                    )
                ),
            )
        )
        self._began_ms = math.nan
        self._requests = _Counts()
        self._granted = _Counts()
        self._refused = _Counts()

    def changes(self) -> list[OverloadChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
