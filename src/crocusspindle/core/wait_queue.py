"""Order the queued requests of one service for its free slots.

Those that can still be on time go first, by priority, with a part reserved for the
lower ones. Requests of one priority are served fairly among customers, and those of
one customer by the time up to which they can be on time.
"""

import math
from collections.abc import Iterator
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Final

from crocusspindle.core.fair_queue import FairQueue
from crocusspindle.core.placement_request import QueuedRequest
from crocusspindle.core.priority_shares import PriorityShares
from crocusspindle.ids import CustomerId

_MAX_LEFT_BEHIND: Final = 256
"""Requests that are no longer queued but still in the order by time, before they are
dropped from it. Under overload, most requests are refused at once."""


class WaitQueue:
    """Hold queued requests, and yield them in the order in which they get slots."""

    def __init__(self) -> None:
        self.shares = PriorityShares()
        self._on_time: dict[int, QueuedRequest] = {}
        self._late: dict[int, QueuedRequest] = {}
        self._fair: dict[int, FairQueue[int]] = {}
        self._numbers = count()
        self._becomes_late: list[tuple[float, int, QueuedRequest]] = []

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return len(self._on_time) + len(self._late)

    def add(self, entry: QueuedRequest) -> None:
        """Queue a request."""
        request = entry.request
        self._on_time[id(entry)] = entry
        heappush(
            self._becomes_late, (entry.on_time_until_ms, next(self._numbers), entry)
        )
        if len(self._becomes_late) > _MAX_LEFT_BEHIND + 2 * len(self._on_time):
            self._drop_left_behind()
        fair = self._fair.setdefault(request.priority, FairQueue())
        fair.push(
            id(entry),
            request.customer,
            queue_weight(request.weight),
            entry.on_time_until_ms,
        )

    def _drop_left_behind(self) -> None:
        self._becomes_late = [
            item for item in self._becomes_late if id(item[2]) in self._on_time
        ]
        heapify(self._becomes_late)

    def remove(self, entry: QueuedRequest) -> None:
        """Drop a request that is not served, whether or not it is queued."""
        self._late.pop(id(entry), None)
        if self._on_time.pop(id(entry), None) is not None:
            self._fair[entry.request.priority].remove(id(entry))

    def take(self, entry: QueuedRequest, now_ms: float) -> None:
        """Drop a request that is served, and charge its customer."""
        if not entry.request.retry:
            self.shares.record_grant(entry.request.priority, now_ms, waited=True)
        self._late.pop(id(entry), None)
        if self._on_time.pop(id(entry), None) is not None:
            self._fair[entry.request.priority].take(id(entry))

    def ahead_of(self, entry: QueuedRequest, now_ms: float) -> int:
        """Return how many queued requests will be served before one on time."""
        self._separate_late(now_ms)
        priority = entry.request.priority
        higher = sum(
            len(fair) for other, fair in self._fair.items() if other < priority
        )
        return higher + self.ahead_in_priority(entry)

    def ahead_in_priority(self, entry: QueuedRequest) -> int:
        """Return how many requests of its priority will be served before one."""
        return self._fair[entry.request.priority].ahead_of(id(entry))

    def share_of(self, priority: int, customer: CustomerId) -> float:
        """Return the fraction of a priority's capacity that a customer gets now."""
        fair = self._fair.get(priority)
        return 1.0 if fair is None else fair.share_of(customer)

    def is_late(self, entry: QueuedRequest) -> bool:
        """Return True if a queued request waits behind those that can be on time."""
        return id(entry) in self._late

    def position_of(self, entry: QueuedRequest) -> int:
        """Return how many of its customer's requests go before a request."""
        return self._fair[entry.request.priority].position_of(id(entry))

    def late(self, now_ms: float) -> list[QueuedRequest]:
        """Return the requests that can no longer be on time, in order of service."""
        self._separate_late(now_ms)
        return sorted(
            self._late.values(),
            key=lambda entry: (entry.request.priority, entry.queued_ms),
        )

    def on_time(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Yield the requests that can still be on time, in order of service."""
        self._separate_late(now_ms)
        orders = {
            priority: fair.in_order() for priority, fair in self._fair.items() if fair
        }
        heads = {priority: next(order) for priority, order in orders.items()}
        position = 0
        while heads:
            priority = self.shares.next_priority(heads, position, now_ms)
            yield self._on_time[heads[priority]]
            position += 1
            following = next(orders[priority], None)
            if following is None:
                del heads[priority]
            else:
                heads[priority] = following

    def in_order(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Yield all queued requests, those first that can still be on time."""
        yield from self.on_time(now_ms)
        yield from self.late(now_ms)

    def _separate_late(self, now_ms: float) -> None:
        while self._becomes_late and self._becomes_late[0][0] <= now_ms:
            self.demote(heappop(self._becomes_late)[2])

    def demote(self, entry: QueuedRequest) -> None:
        """Let a request wait behind all that can still be on time."""
        if self._on_time.pop(id(entry), None) is not None:
            self._fair[entry.request.priority].remove(id(entry))
            self._late[id(entry)] = entry


def queue_weight(rate_per_s: float) -> float:
    """Return the weight in fair queueing of a customer with a rate, 0 if unlimited.

    The square root of the rate lies between equal weights, by which a large customer
    gets no more than a small one, and its rate, by which small customers lose as large
    a part of their requests as the one that fills the service.
    """
    return rate_per_s**0.5 if 0.0 < rate_per_s < math.inf else 1.0
