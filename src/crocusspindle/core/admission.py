"""Decide which queued requests are refused and when their callers may retry."""

import random
from collections.abc import Mapping
from math import ceil
from typing import Final

from crocusspindle.core.attempts import Attempts
from crocusspindle.core.decisions import Arrival, RefusalReason, Refuse
from crocusspindle.core.fair_queue import FairQueue
from crocusspindle.core.requests import PendingRequest
from crocusspindle.core.retry_times import RetryTimes
from crocusspindle.core.target_pool import TargetPool
from crocusspindle.ids import RequestId

NO_TARGET_RETRY_MS: Final = 1_000.0
"""The host list lags by seconds, so retrying more than once a second is useless."""


class Admission:
    """Refuse requests on arrival that would wait past their deadline."""

    def __init__(
        self,
        max_queued: int,
        queue: FairQueue[RequestId],
        target_pool: TargetPool,
        attempts: Attempts,
        generator: random.Random,
    ) -> None:
        self._max_queued = max_queued
        self._queue = queue
        self._target_pool = target_pool
        self._attempts = attempts
        self._retry_times = RetryTimes(generator)

    def find_refusal(
        self,
        pending: PendingRequest,
        requests: Mapping[RequestId, PendingRequest],
        now_ms: float,
    ) -> Refuse | None:
        """Return the refusal caused by a newly queued request, or None.

        Above capacity, callers would otherwise wait for a response that comes too
        late, and slots would be spent on it.
        """
        if len(self._queue) > self._max_queued:
            return self._make_room(requests, now_ms)
        arrival = pending.arrival
        wait_ms = self.wait_ms(self._queue.ahead_of(arrival.request) + 1, now_ms)
        spare_ms = pending.latest_start_ms - now_ms - wait_ms
        if spare_ms >= 0.0:
            return None
        # The queue advances by whole places, so round the excess up to whole ones.
        place_ms = max(self.wait_ms(1, now_ms), 1e-3)
        excess_ms = ceil(-spare_ms / place_ms) * place_ms
        retry_at_ms = self.retry_time_ms(arrival, excess_ms, now_ms)
        return Refuse(arrival.request, RefusalReason.WAIT_TOO_LONG, retry_at_ms)

    def latest_start_ms(self, arrival: Arrival, now_ms: float) -> float:
        """Return the latest time at which an attempt can still finish in time.

        Above capacity, queued requests wait until close to their deadline. Started
        later than this, they would be cut off while running, which wastes slots and
        leaves their outcome unknown. At most half of the time is reserved, since
        short work mixed with long work has short deadlines.
        """
        half_ms = (arrival.deadline_ms - now_ms) / 2.0
        return arrival.deadline_ms - min(self._attempts.typical_ms(), half_ms)

    def wait_ms(self, places: int, now_ms: float) -> float:
        """Return how long the queue takes to advance by ``places``, 0 if unknown."""
        drain_per_ms = self._target_pool.drain_per_ms(now_ms)
        if drain_per_ms is None:
            return 0.0
        return places / drain_per_ms if drain_per_ms > 0 else NO_TARGET_RETRY_MS

    def retry_time_ms(self, arrival: Arrival, wait_ms: float, now_ms: float) -> float:
        """Return when the customer may retry, ``wait_ms`` from now or later."""
        share = self._queue.share_of(arrival.customer)
        spacing_ms = self.wait_ms(1, now_ms) / max(share, 1e-6)
        return self._retry_times.next_for(arrival.customer, now_ms, wait_ms, spacing_ms)

    def _make_room(
        self, requests: Mapping[RequestId, PendingRequest], now_ms: float
    ) -> Refuse | None:
        """Refuse the last request of the customer with most queued for its weight.

        A burst of one customer that fills the queue must not cause the refusal of
        another customer's request.
        """
        victim = self._queue.last_request_over_share()
        if victim is None:
            return None
        wait_ms = self.wait_ms(self._queue.ahead_of(victim) + 1, now_ms)
        retry_at_ms = self.retry_time_ms(requests[victim].arrival, wait_ms, now_ms)
        return Refuse(victim, RefusalReason.QUEUE_FULL, retry_at_ms)
