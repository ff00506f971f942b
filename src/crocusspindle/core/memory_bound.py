"""Decide what a host does as bodies of slow callers and targets fill its memory.

Sized for hosts of 150 to 550 MB that hold some hundred bodies of up to 1 MB, many for
callers that read 2 KB/s. Guards against a process that is ended for its memory and
loses all its requests, a slow caller that keeps a slot of a target busy, and customers
that are refused because another one reads slowly.
"""

import math
from dataclasses import dataclass
from enum import Enum
from typing import Final

from crocusspindle.ids import CustomerId

BYTES_PER_MB: Final = 1_000_000

IDLE_PROCESS_MB: Final = 75.0
"""Memory of a process that holds no bodies, at most: interpreter, libraries, fleet
state and connections."""

BOUND_FRACTION: Final = 0.6
"""Fraction of the remaining memory that bodies may take. The rest is for fragmentation
of the heap, copies in transit and what the kernel holds of each connection."""

MIN_BOUND_BYTES: Final = 4 * BYTES_PER_MB
"""Bound of a host that is smaller than the assumed process: a few bodies at a time."""

BACK_PRESSURE_FRACTION: Final = 0.5
REFUSAL_FRACTION: Final = 0.75

LARGE_BODY_BYTES: Final = 1 << 16
"""Requests with longer bodies are refused first: few requests, most of the memory."""

END_FRACTION: Final = 0.9
"""Fraction of its threshold below which a measure counts as ended, so that a level near
the threshold does not log a line for each body."""


class HeldKind(Enum):
    """State what held bytes are."""

    REQUEST = "request"
    RESPONSE = "response"


class Measure(Enum):
    """Name a measure against rising memory; the values are the names used in logs."""

    BACK_PRESSURE = "back-pressure"
    REFUSAL = "refusal"
    DROP = "drop"


_THRESHOLD_FRACTIONS: Final = {
    Measure.BACK_PRESSURE: BACK_PRESSURE_FRACTION,
    Measure.REFUSAL: REFUSAL_FRACTION,
    Measure.DROP: 1.0,
}


@dataclass(slots=True, eq=False)
class Holding:
    """Hold how many bytes of one body are in memory, and for which customer.

    All requests without a customer count as those of one. A request's body ``is_whole``
    once no more of it is to be read.
    """

    customer: CustomerId | None
    kind: HeldKind
    size: int = 0
    is_open: bool = True
    is_whole: bool = False


def bound_bytes(memory_mb: float) -> float:
    """Return how many bytes of bodies a host with this much memory may hold."""
    spare_bytes = (memory_mb - IDLE_PROCESS_MB) * BYTES_PER_MB
    return max(float(MIN_BOUND_BYTES), spare_bytes * BOUND_FRACTION)


class MemoryBound:
    """Count the held bytes by customer, and decide on the measures.

    Without a bound it only counts.
    """

    def __init__(self, bound: float = math.inf) -> None:
        self.bound = bound
        self.held_bytes = 0
        self.in_force: frozenset[Measure] = frozenset()
        self._by_customer: dict[CustomerId | None, int] = {}
        # In the order in which they were added.
        self._holdings: dict[CustomerId | None, dict[Holding, None]] = {}

    @property
    def is_bounded(self) -> bool:
        """Return True if there is a bound."""
        return math.isfinite(self.bound)

    def add(self, holding: Holding) -> None:
        """Begin to count a body."""
        self._holdings.setdefault(holding.customer, {})[holding] = None
        self._count(holding.customer, holding.size)

    def resize(self, holding: Holding, size: int) -> None:
        """Set how many bytes of a body are held; has no effect once it is removed."""
        if holding.is_open:
            self._count(holding.customer, size - holding.size)
            holding.size = size

    def remove(self, holding: Holding) -> None:
        """End counting a body; has no effect if it is removed already."""
        if not holding.is_open:
            return
        self.resize(holding, 0)
        holding.is_open = False
        of_customer = self._holdings[holding.customer]
        del of_customer[holding]
        if not of_customer:
            del self._holdings[holding.customer]
            del self._by_customer[holding.customer]

    def _count(self, customer: CustomerId | None, added: int) -> None:
        self.held_bytes += added
        self._by_customer[customer] = self._by_customer.get(customer, 0) + added

    def held_by(self, customer: CustomerId | None) -> int:
        """Return how many bytes are held for a customer."""
        return self._by_customer.get(customer, 0)

    @property
    def largest_customer(self) -> CustomerId | None:
        """Return the customer that holds most, None also if nothing is held."""
        return max(self._by_customer, key=self.held_by, default=None)

    def may_read_body(self, holding: Holding) -> bool:
        """Return True if more of a request's body may be read now.

        Above half of the bound, customers that hold less than an equal part of that
        half read on; each other one reads one body at a time, the oldest, and above
        three quarters only that of its oldest request, so that others follow as that
        ends. Short bodies don't wait: they take little.
        """
        if holding.size <= LARGE_BODY_BYTES:
            return True
        limit = self.bound * BACK_PRESSURE_FRACTION
        if self.held_bytes < limit or self._is_below_part(holding.customer, limit):
            return True
        if self.held_bytes >= self.bound:
            return False
        skips_whole = self.held_bytes < self.bound * REFUSAL_FRACTION
        requests = (
            held
            for held in self._holdings.get(holding.customer, {})
            if held.kind is HeldKind.REQUEST and not (skips_whole and held.is_whole)
        )
        return holding is next(requests, None)

    def refuses_body(self, length: int) -> bool:
        """Return True if a new request with a body of this length is refused.

        Short ones are refused only while the bound is full of requests' bodies.
        """
        if length <= LARGE_BODY_BYTES:
            is_full = length > 0 and self.held_bytes >= self.bound
            return is_full and self.response_to_drop() is None
        return self.held_bytes >= self.bound * REFUSAL_FRACTION

    @property
    def presses_back(self) -> bool:
        """Return True while bodies wait for memory."""
        return self.held_bytes >= self.bound * BACK_PRESSURE_FRACTION

    def may_read_ahead(self, customer: CustomerId | None) -> bool:
        """Return True if a response may be read faster than its caller takes it.

        If the responses of a few customers fill three quarters of the bound, the rest
        is for customers that hold less than an equal part.
        """
        limit = self.bound * REFUSAL_FRACTION
        if self.held_bytes < limit:
            return True
        return self.held_bytes < self.bound and self._is_below_part(customer, limit)

    def _is_below_part(self, customer: CustomerId | None, limit: float) -> bool:
        customers = max(1, len(self._holdings))
        return self.held_by(customer) < limit / customers

    def response_to_drop(self) -> Holding | None:
        """Return the response to drop at the bound, if there is one.

        It is the largest one of the customer that holds most: others' requests go on,
        and one lost response frees most.
        """
        if self.held_bytes < self.bound:
            return None
        by_size = sorted(self._by_customer, key=self.held_by, reverse=True)
        for customer in by_size:
            responses = [
                held
                for held in self._holdings[customer]
                if held.kind is HeldKind.RESPONSE and held.size > 0
            ]
            if responses:
                return max(responses, key=lambda held: held.size)
        return None

    def changes(self) -> list[tuple[Measure, bool]]:
        """Return the measures that begin (True) or end (False) with the bytes held."""
        changed = []
        for measure, fraction in _THRESHOLD_FRACTIONS.items():
            was_in_force = measure in self.in_force
            threshold = self.bound * fraction * (END_FRACTION if was_in_force else 1.0)
            if (self.held_bytes >= threshold) is not was_in_force:
                changed.append((measure, not was_in_force))
        self.in_force ^= {measure for measure, _ in changed}
        return changed
