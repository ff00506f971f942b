"""Decide which requests wait for a slot of a service, start next or are refused.

Made for a service that is full for some seconds. Requests that can meet their latency
objective go first, by priority and then by age. Late ones use slots that would idle: a
late answer is worth more to its caller than none. A request that would not be served
before its deadline is refused at once, with the time to retry after.
"""

import math
from collections.abc import Iterator
from typing import Final

from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.placement_request import (
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.service_load import ServiceLoad
from crocusspindle.core.wait_queue import WaitQueue

MIN_WAIT_MS: Final = 40.0
RETRY_MIN_MS: Final = 100.0
DEADLINE_QUANTILE: Final = 0.75
"""Quantile of the latency that must fit before the deadline: a late request is queued
only if three in four of its kind would still finish."""


def refused_as_full(wait_ms: float) -> PlacementRefused:
    """Return the refusal of a service that expects a free slot after a time."""
    return PlacementRefused("full", max(RETRY_MIN_MS, wait_ms))


class PlacementQueue:
    """Hold the queued placement requests of one service."""

    def __init__(self, policies: Policies, now_ms: float) -> None:
        self._policies = policies
        self._queue = WaitQueue()
        self._load = ServiceLoad(now_ms)

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

    def record_arrival(self, now_ms: float) -> None:
        """Count a request's first attempt."""
        self._load.record_arrival(now_ms)

    def record_answer(self, latency_ms: float) -> None:
        """Record the latency of one answer."""
        self._load.record_answer(latency_ms)

    def enqueue(
        self,
        request: PlacementRequest,
        sample: LatencySample,
        open_slots: float,
        now_ms: float,
    ) -> QueuedRequest | PlacementRefused:
        """Queue a request if it can still finish in time, or refuse it."""
        ahead = self._queue.ahead_of(request.priority, now_ms)
        wait_ms = (ahead + 1) * sample.typical_ms / open_slots
        on_time_ms = _on_time_limit_ms(request, sample, now_ms)
        limit_ms = max(on_time_ms, self._late_limit_ms(request, sample, now_ms))
        if wait_ms > on_time_ms:
            wait_ms = self._late_wait_ms(open_slots, now_ms)
        if wait_ms > limit_ms or not self._policies.has(Policy.QUEUEING):
            return refused_as_full(min(wait_ms, limit_ms))
        waiting = QueuedRequest(request, now_ms, now_ms + on_time_ms, now_ms + limit_ms)
        self._queue.add(waiting)
        return waiting

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
        return (len(self._queue) + 1) / spare_per_ms if spare_per_ms > 0 else math.inf

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
        if now_ms < waiting.on_time_until_ms:
            return True
        return self._load.spare_per_ms(open_slots, now_ms) > 0.0

    def can_meet_deadline(
        self, waiting: QueuedRequest, open_slots: float, now_ms: float
    ) -> bool:
        """Return True if a request may still be served before its deadline.

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

    def drop_settled(self) -> None:
        """Drop the requests that have a decision."""
        self._queue.drop_settled()

    def remove(self, waiting: QueuedRequest) -> None:
        """Drop a request whose caller has left."""
        self._queue.remove(waiting)


def _on_time_limit_ms(
    request: PlacementRequest, sample: LatencySample, now_ms: float
) -> float:
    # Half of what the latency objective leaves beside the typical latency: the other
    # half is for work that takes longer.
    left_ms = request.deadline_ms - now_ms
    spare_ms = min(request.aim_ms, left_ms) - sample.typical_ms
    return max(MIN_WAIT_MS, spare_ms / 2)
