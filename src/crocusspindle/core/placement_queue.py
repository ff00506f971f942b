"""Decide which requests wait for a slot of a service, start next or are refused.

Made for a service that is full for some seconds: by a burst, or by one customer that
sends several times its usual rate. A request waits if a slot is expected in time for
its latency objective after those that go before it. When others that go before it
arrive and it no longer fits, it is refused then, while its caller can still do
something else. Late requests use slots that would idle: a late answer is worth more to
its caller than none.
"""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.overload_watch import OverloadWatch
from crocusspindle.core.placement_request import (
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.priority_shares import RESERVED_EVERY
from crocusspindle.core.retry_times import RetryTimes
from crocusspindle.core.service_load import ServiceLoad
from crocusspindle.core.wait_queue import WaitQueue, queue_weight

MIN_WAIT_MS: Final = 40.0
RETRY_MIN_MS: Final = 100.0
DEADLINE_QUANTILE: Final = 0.75
"""Quantile of the latency that must fit before the deadline: a late request is queued
only if three in four of its kind would still finish."""

ON_TIME_QUANTILE: Final = 0.9
"""Quantile of the latency that must fit into the latency objective after the wait."""

WAIT_MARGIN: Final = 1.2
"""Factor on the expected wait of a new request. The capacity of the next seconds is
known to about a fifth, and a request that turns out too late is refused late."""

FORECAST_MS: Final = 1_000.0
"""How far ahead the recent rate of requests is taken to last: as long as it is measured
over. A burst may end before a longer wait does."""

EXTENSION_STEPS: Final = 2
"""Iterations of the expected wait. Each adds the requests that arrive during it."""


@dataclass(frozen=True, slots=True)
class Capacity:
    """Hold the slots of a service, and the rate at which they become free if busy."""

    slots: float
    per_ms: float

    @classmethod
    def of_slots(cls, slots: float, mean_latency_ms: float) -> "Capacity":
        """Return the capacity of slots; a latency of 0 is unknown."""
        return cls(slots, slots / mean_latency_ms if mean_latency_ms > 0.0 else 0.0)


class PlacementQueue:
    """Hold the queued placement requests of one service."""

    def __init__(self, policies: Policies, now_ms: float) -> None:
        self._policies = policies
        self._queue = WaitQueue()
        self._load = ServiceLoad(now_ms)
        self._retry_times = RetryTimes(random.Random(0))
        self.overload = OverloadWatch()

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    @property
    def mean_latency_ms(self) -> float:
        """Return the mean latency of answers, infinite before the first one."""
        return (
            math.inf
            if math.isnan(self._load.mean_latency_ms)
            else self._load.mean_latency_ms
        )

    def record_arrival(self, request: PlacementRequest, now_ms: float) -> None:
        """Count a request's first attempt."""
        self._load.record_arrival(
            now_ms, request.priority, request.customer, queue_weight(request.weight)
        )
        self._queue.shares.record_arrival(request.priority, now_ms)
        self.overload.record_request(request)

    def record_immediate_grant(self, request: PlacementRequest, now_ms: float) -> None:
        """Count a first attempt that got a slot without waiting."""
        self._queue.shares.record_grant(request.priority, now_ms, waited=False)
        self.overload.record_grant(request)

    def record_answer(self, latency_ms: float) -> None:
        """Record the latency of one answer."""
        self._load.record_answer(latency_ms)

    def enqueue(
        self,
        request: PlacementRequest,
        sample: LatencySample,
        capacity: Capacity,
        now_ms: float,
    ) -> QueuedRequest | PlacementRefused:
        """Queue a request if it can still finish in time, or refuse it."""
        on_time_ms = _on_time_limit_ms(request, sample, now_ms)
        limit_ms = max(on_time_ms, self._late_limit_ms(request, sample, now_ms))
        waiting = QueuedRequest(request, now_ms, now_ms + on_time_ms, now_ms + limit_ms)
        self._queue.add(waiting)
        wait_ms = self._expected_wait_ms(waiting, capacity.per_ms, now_ms)
        if self._policies.has(Policy.QUEUEING):
            if wait_ms * WAIT_MARGIN <= on_time_ms:
                return waiting
            if self._late_wait_ms(capacity.slots, now_ms) <= limit_ms:
                self._queue.demote(waiting)
                return waiting
        refused = self._refuse(waiting, capacity.per_ms, wait_ms - on_time_ms, now_ms)
        self._queue.remove(waiting)
        return refused

    def _expected_wait_ms(
        self, waiting: QueuedRequest, capacity_per_ms: float, now_ms: float
    ) -> float:
        """Return the time to a slot, with the requests that go before it until then."""
        request = waiting.request
        ahead = self._queue.ahead_of(waiting, now_ms)
        same_priority = self._queue.ahead_in_priority(waiting)
        own = self._queue.position_of(waiting)
        weight = queue_weight(request.weight)
        others_weight = self._load.active_weight(request.priority, now_ms) - weight
        others_per_ms = self._load.rate_of_others_per_ms(
            request.priority, request.customer, now_ms
        )
        # Before this request the other customers are served at most by their share,
        # also those of which no request waits now.
        room = max(0.0, own * others_weight / weight - (same_priority - own))
        left_per_ms = self._left_per_ms(request.priority, capacity_per_ms, now_ms)
        owed = self._queue.shares.owed_grants(request.priority, now_ms)

        def wait_ms(arriving: float) -> float:
            by_order_ms = _time_ms(ahead + arriving + 1, left_per_ms)
            if same_priority >= owed:
                return by_order_ms
            reserved_per_ms = capacity_per_ms / RESERVED_EVERY
            return min(by_order_ms, _time_ms(same_priority + 1, reserved_per_ms))

        expected_ms = wait_ms(0.0)
        for _ in range(EXTENSION_STEPS):
            forecast_ms = min(expected_ms, FORECAST_MS)
            expected_ms = wait_ms(min(others_per_ms * forecast_ms, room))
        return expected_ms

    def _left_per_ms(
        self, priority: int, capacity_per_ms: float, now_ms: float
    ) -> float:
        """Return the rate of slots that higher priorities leave to one."""
        higher_per_ms = self._load.rate_above_per_ms(priority, now_ms)
        return max(0.0, capacity_per_ms - higher_per_ms)

    def _late_limit_ms(
        self, request: PlacementRequest, sample: LatencySample, now_ms: float
    ) -> float:
        if not self._policies.has(Policy.LATE_QUEUEING):
            return 0.0
        work_ms = (
            sample.quantile_ms(DEADLINE_QUANTILE)
            if sample.has_enough_samples
            else sample.typical_ms
        )
        return request.deadline_ms - now_ms - work_ms

    def _late_wait_ms(self, open_slots: float, now_ms: float) -> float:
        # Late requests get only the capacity that new ones leave. While these alone
        # fill the service, a late one would wait in vain.
        spare_per_ms = self._load.spare_per_ms(open_slots, now_ms)
        return len(self._queue) / spare_per_ms if spare_per_ms > 0 else math.inf

    def in_order(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Yield all queued requests, in the order in which they get slots."""
        return self._queue.in_order(now_ms)

    def may_start(
        self, waiting: QueuedRequest, open_slots: float, now_ms: float
    ) -> bool:
        """Return True if a request may take a free slot.

        A late one that takes the last slot of a full service makes the next one late
        too.
        """
        if not self._queue.is_late(waiting):
            return True
        return self._load.spare_per_ms(open_slots, now_ms) > 0.0

    def refuse_hopeless(self, capacity: Capacity, now_ms: float) -> None:
        """Refuse the queued requests that are not expected to be served in time."""
        if capacity.per_ms > 0.0:
            self._refuse_displaced(capacity, now_ms)
        for waiting in self._queue.late(now_ms):
            if not self._can_meet_deadline(waiting, capacity.slots, now_ms):
                self._settle_refused(waiting, capacity.per_ms, 0.0, now_ms)

    def _refuse_displaced(self, capacity: Capacity, now_ms: float) -> None:
        # Requests that go before them have arrived since they were queued.
        ahead = 0
        late_wait_ms = self._late_wait_ms(capacity.slots, now_ms)
        for waiting in list(self._queue.on_time(now_ms)):
            wait_ms = (ahead + 1) / capacity.per_ms
            late_by_ms = now_ms + wait_ms - waiting.on_time_until_ms
            if late_by_ms <= 0.0:
                ahead += 1
            elif now_ms + late_wait_ms <= waiting.give_up_ms:
                self._queue.demote(waiting)
            else:
                self._settle_refused(waiting, capacity.per_ms, late_by_ms, now_ms)

    def _settle_refused(
        self,
        waiting: QueuedRequest,
        capacity_per_ms: float,
        excess_ms: float,
        now_ms: float,
    ) -> None:
        waiting.settled = self._refuse(waiting, capacity_per_ms, excess_ms, now_ms)
        self._queue.remove(waiting)

    def _refuse(
        self,
        waiting: QueuedRequest,
        capacity_per_ms: float,
        excess_ms: float,
        now_ms: float,
    ) -> PlacementRefused:
        """Return the refusal, with the time at which the customer has room again."""
        self.overload.record_refusal(waiting.request, now_ms)
        request = waiting.request
        priority = request.priority
        left_per_ms = self._left_per_ms(priority, capacity_per_ms, now_ms)
        reserved_per_ms = capacity_per_ms / RESERVED_EVERY
        if left_per_ms <= reserved_per_ms:
            # Almost nothing is left now, by higher priorities or without a share of
            # any rate limit, which need not last.
            excess_ms = min(excess_ms, FORECAST_MS)
        rate_per_ms = max(left_per_ms, reserved_per_ms)
        rate_per_ms *= self._queue.share_of(priority, request.customer)
        spacing_ms = 1.0 / rate_per_ms if rate_per_ms > 0.0 else 0.0
        at_ms = self._retry_times.next_for(
            request.customer, now_ms, max(RETRY_MIN_MS, excess_ms), spacing_ms
        )
        return PlacementRefused("full", at_ms - now_ms)

    def _can_meet_deadline(
        self, waiting: QueuedRequest, open_slots: float, now_ms: float
    ) -> bool:
        """Return True if a late request may still be served before its deadline.

        While new requests alone fill the service, a late one waits for their burst to
        end. A burst that has lasted so long will hardly end in the time that is left,
        so the caller is refused while it can still do something else.
        """
        if now_ms >= waiting.give_up_ms:
            return False
        aim_ends_ms = waiting.queued_ms + waiting.request.aim_ms
        wait_until_ms = (aim_ends_ms + waiting.give_up_ms) / 2
        if now_ms < wait_until_ms:
            return True
        return self._load.spare_per_ms(open_slots, now_ms) > 0.0

    def take(self, waiting: QueuedRequest, now_ms: float) -> None:
        """Drop a request that got a slot, and charge its customer."""
        self._queue.take(waiting, now_ms)
        self.overload.record_grant(waiting.request)

    def remove(self, waiting: QueuedRequest) -> None:
        """Drop a request that is refused or whose caller has left."""
        self._queue.remove(waiting)


def _time_ms(requests: float, per_ms: float) -> float:
    return requests / per_ms if per_ms > 0.0 else math.inf


def _on_time_limit_ms(
    request: PlacementRequest, sample: LatencySample, now_ms: float
) -> float:
    work_ms = (
        sample.quantile_ms(ON_TIME_QUANTILE)
        if sample.has_enough_samples
        else sample.typical_ms
    )
    left_ms = request.deadline_ms - now_ms
    return max(MIN_WAIT_MS, min(request.aim_ms, left_ms) - work_ms)
