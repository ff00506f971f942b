"""Notice when a service is overloaded, and who uses its room meanwhile."""

import math
from collections import Counter
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.ids import CustomerId

ENDS_AFTER_MS: Final = 2_000.0
"""An overload ends when no request was refused for so long. Shorter gaps would split
one overload into many."""

CUSTOMERS_REPORTED: Final = 5


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

    @property
    def is_overloaded(self) -> bool:
        """Return True from the first refusal until `ENDS_AFTER_MS` after the last."""
        return not math.isnan(self._began_ms)

    def record_request(self, request: PlacementRequest) -> None:
        """Count a first attempt."""
        if self.is_overloaded:
            self._requests[request.customer] += 1

    def record_grant(self, request: PlacementRequest) -> None:
        """Count a first attempt that got a slot."""
        if self.is_overloaded and not request.retry:
            self._granted[request.customer] += 1

    def record_refusal(self, request: PlacementRequest, now_ms: float) -> None:
        """Count a request that was refused as full."""
        if not self.is_overloaded:
            self._began_ms = now_ms
            self._requests[request.customer] += 1
            self._changes.append(OverloadChange(True))
        self._refused_ms = now_ms
        self._refused[request.customer] += 1

    def end_if_over(self, now_ms: float) -> None:
        """End the overload if no request was refused for `ENDS_AFTER_MS`."""
        if not self.is_overloaded or now_ms - self._refused_ms < ENDS_AFTER_MS:
            return
        self._changes.append(
            OverloadChange(
                False,
                self._refused_ms - self._began_ms,
                self._requests.total(),
                self._granted.total(),
                self._refused.total(),
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
        for counts in (self._requests, self._granted, self._refused):
            counts.clear()

    def changes(self) -> list[OverloadChange]:
        """Return the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
