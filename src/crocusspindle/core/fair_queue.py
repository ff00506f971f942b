"""Queue requests fairly among customers.

Uses start-time fair queueing (Goyal, Vin and Cheng, 1996) rather than deficit round
robin. Both share by weight, but with rates from 0.2 to 500 a second a round robin
either sends 2,500 requests of the largest customer in a row or skips the smallest
2,500 times. Start tags interleave customers evenly, and one that was idle goes first.
"""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush, nlargest
from typing import Final, Generic, TypeVar

from crocusspindle.ids import CustomerId

Item = TypeVar("Item")
"""Identifies a queued request: hashable and unique in its queue."""

_MIN_WEIGHT: Final = 1e-6
"""A customer of weight 0 would wait forever behind all others."""

_IDLE_CREDIT: Final = 4.0
"""Requests by which a customer that was idle may exceed its share. At one request a
second, two may arrive close together, and the second would wait a second behind the
backlog of others. A credit of eight has no further benefit; at four, eight such
customers delay the others by 0.1 s once."""

_MIN_WEIGHT_TO_MEAN: Final = 0.1
"""Minimum weight, as a fraction of the mean weight of the customers with queued
requests. In a shortage this minimum serves the smallest customers in full. Rate limits,
enforced elsewhere, bound their demand, and together they gain at most a tenth of the
service."""

_MAX_STALE_HEADS: Final = 256
"""Heads left behind by requests that were served out of turn or removed, before they
are dropped."""

_MAX_IDLE_FLOWS: Final = 256
"""Above about this number of idle flows, they are dropped, except for half as many that
have used most of their credit, so that memory is proportional to the queue."""


@dataclass(slots=True)
class _Flow(Generic[Item]):
    configured_weight: float
    weight: float
    start_tag: float
    items: list[tuple[float, int, Item]] = field(default_factory=list)


class FairQueue(Generic[Item]):
    """Order queued requests by customer weight, then by deadline.

    Keeps the backlog of a large customer from starving small ones, both when one
    customer exceeds its rate several times and when all exceed the capacity.
    """

    def __init__(self) -> None:
        self._flows: dict[CustomerId, _Flow[Item]] = {}
        self._heads: list[tuple[float, int, CustomerId]] = []
        self._entries: dict[Item, tuple[CustomerId, tuple[float, int, Item]]]
        self._entries = {}
        self._virtual_time = 0.0
        self._sequence = 0
        self._queued_weight = 0.0
        self._queued_customers = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request: Item) -> bool:
        return request in self._entries

    def push(
        self,
        request: Item,
        customer: CustomerId,
        weight: float,
        deadline_ms: float,
    ) -> None:
        """Queue a request behind those of its customer with an earlier deadline."""
        flow = self._flow(customer, weight)
        self._sequence += 1
        item = (deadline_ms, self._sequence, request)
        if not flow.items:
            self._queued_customers += 1
            self._queued_weight += flow.configured_weight
            earliest = self._virtual_time - _IDLE_CREDIT / flow.weight
            flow.start_tag = max(flow.start_tag, earliest)
            heappush(self._heads, (flow.start_tag, self._sequence, customer))
        insort(flow.items, item)
        self._drop_stale_heads_if_many()
        self._entries[request] = (customer, item)

    def pop(self) -> Item:
        """Remove and return the next request; raise IndexError if there is none."""
        request = self.peek()
        if request is None:
            raise IndexError("pop from an empty queue")
        self.take(request)
        return request

    def take(self, request: Item) -> None:
        """Remove a request that is served, and charge its customer for it.

        A request may be served before the one that is next, which no free slot suits.
        """
        customer, item = self._entries.pop(request)
        flow = self._flows[customer]
        flow.items.remove(item)
        self._virtual_time = max(self._virtual_time, flow.start_tag)
        flow.start_tag += 1.0 / flow.weight
        if flow.items:
            self._sequence += 1
            heappush(self._heads, (flow.start_tag, self._sequence, customer))
        self._update_if_idle(flow)
        self._drop_stale_heads_if_many()

    def _drop_stale_heads_if_many(self) -> None:
        if len(self._heads) <= _MAX_STALE_HEADS + 2 * self._queued_customers:
            return
        self._heads = [
            (flow.start_tag, flow.items[0][1], customer)
            for customer, flow in self._flows.items()
            if flow.items
        ]
        heapify(self._heads)

    def in_order(self) -> Iterator[Item]:
        """Yield the queued requests in the order in which they would be served."""
        heads = [
            (flow.start_tag, flow.items[0][1], customer, 0)
            for customer, flow in self._flows.items()
            if flow.items
        ]
        heapify(heads)
        while heads:
            tag, _, customer, position = heappop(heads)
            flow = self._flows[customer]
            yield flow.items[position][2]
            if position + 1 < len(flow.items):
                sequence = flow.items[position + 1][1]
                tag += 1.0 / flow.weight
                heappush(heads, (tag, sequence, customer, position + 1))

    def remove(self, request: Item) -> bool:
        """Remove a request; return True if it was queued."""
        found = self._entries.pop(request, None)
        if found is None:
            return False
        customer, item = found
        flow = self._flows[customer]
        flow.items.remove(item)
        self._update_if_idle(flow)
        return True

    def peek(self) -> Item | None:
        """Return the next request without removing it, or None."""
        while self._heads:
            tag, _, customer = self._heads[0]
            flow = self._flows.get(customer)
            if flow is not None and flow.items and flow.start_tag == tag:
                return flow.items[0][2]
            heappop(self._heads)  # stale: the customer's requests have been removed
        return None

    def ahead_of(self, request: Item) -> int:
        """Return how many queued requests will be served before this one.

        Counts what each other customer gets by its weight until then. This is a lower
        bound, since requests that arrive later may still be served first.
        """
        customer, _ = self._entries[request]
        own = self._flows[customer]
        position = self.position_of(request)
        tag = own.start_tag + position / own.weight
        return position + sum(
            min(len(flow.items), int((tag - flow.start_tag) * flow.weight) + 1)
            for flow in self._flows.values()
            if flow is not own and flow.items and flow.start_tag <= tag
        )

    def position_of(self, request: Item) -> int:
        """Return how many queued requests of its customer go before this one."""
        customer, item = self._entries[request]
        return bisect_left(self._flows[customer].items, item)

    def share_of(self, customer: CustomerId) -> float:
        """Return the fraction of the service that a customer gets now."""
        own = self._flows.get(customer)
        if own is None:
            return 1.0
        active = sum(flow.weight for flow in self._flows.values() if flow.items)
        return min(1.0, own.weight / active) if active > 0 else 1.0

    def last_request_over_share(self) -> Item | None:
        """Return the last request of the customer with most queued for its weight."""
        queued = [flow for flow in self._flows.values() if flow.items]
        if not queued:
            return None
        worst = max(queued, key=lambda flow: len(flow.items) / flow.weight)
        return worst.items[-1][2]

    def customers(self) -> Iterator[tuple[CustomerId, int]]:
        """Yield each customer with queued requests and their number."""
        for customer, flow in self._flows.items():
            if flow.items:
                yield customer, len(flow.items)

    def _flow(self, customer: CustomerId, weight: float) -> _Flow[Item]:
        flow = self._flows.get(customer)
        effective = self._effective_weight(weight)
        if flow is None:
            if len(self._flows) > _MAX_IDLE_FLOWS + 2 * self._queued_customers:
                self._drop_idle_flows()
            start_tag = self._virtual_time - _IDLE_CREDIT / effective
            flow = self._flows[customer] = _Flow(weight, effective, start_tag)
        elif flow.items:
            self._queued_weight += weight - flow.configured_weight
        flow.configured_weight = weight
        flow.weight = effective
        return flow

    def _effective_weight(self, weight: float) -> float:
        mean = self._queued_weight / max(1, self._queued_customers)
        return max(weight, _MIN_WEIGHT_TO_MEAN * mean, _MIN_WEIGHT)

    def _update_if_idle(self, flow: _Flow[Item]) -> None:
        if not self._entries:
            self._reset()
        elif not flow.items:
            self._queued_customers -= 1
            self._queued_weight -= flow.configured_weight

    def _drop_idle_flows(self) -> None:
        # The virtual time stands still while all that are served have credit left, so
        # that their flows would be kept for as long as the queue lasts.
        charged = [
            customer
            for customer, flow in self._flows.items()
            if not flow.items and self._used_credit(flow) > 0.0
        ]
        kept = set(
            nlargest(
                _MAX_IDLE_FLOWS // 2,
                charged,
                key=lambda customer: self._used_credit(self._flows[customer]),
            )
        )
        self._flows = {
            customer: flow
            for customer, flow in self._flows.items()
            if flow.items or customer in kept
        }

    def _used_credit(self, flow: _Flow[Item]) -> float:
        used = (flow.start_tag - self._virtual_time) * flow.weight
        return used + _IDLE_CREDIT

    def _reset(self) -> None:
        # No customer waits while the queue is empty, so past use is not charged.
        self._flows.clear()
        self._heads.clear()
        self._virtual_time = 0.0
        self._queued_weight = 0.0
        self._queued_customers = 0
