"""Estimate how much work arrives at a service, and how much it can carry."""

import math
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.decayed_rate import DecayedRate
from crocusspindle.ids import NO_CUSTOMER, CustomerId

SAMPLE_WEIGHT: Final = 0.05
"""Weight of the newest answer in the mean latency: the last twenty or so count."""

MIN_OBSERVED_MS: Final = 200.0
"""Time after which a new placer trusts the rate of all requests together."""

MAX_CUSTOMERS: Final = 1_024
"""Customers whose rates are kept. Beyond it, and beyond twice as many as had recent
requests the last time, those without are dropped."""

FORGOTTEN_PER_MS: Final = 1e-4
"""A customer below this rate, one request in ten seconds, may be dropped."""

ACTIVE_PER_MS: Final = 2e-4
"""A customer above this rate counts as active: it sent a request within two seconds."""

ACTIVE_REFRESH_MS: Final = 100.0
"""Interval at which the active customers are counted again."""


@dataclass(slots=True)
class _CustomerLoad:
    rate: DecayedRate
    weight: float = 1.0


class ServiceLoad:
    """Track the rates of first attempts and the mean latency of answers.

    Rates are kept for the whole service, for each priority, and for each customer with
    each priority.
    """

    def __init__(self, now_ms: float) -> None:
        self._began_ms = now_ms
        self._total = DecayedRate(now_ms, MIN_OBSERVED_MS)
        self._by_priority: dict[int, DecayedRate] = {}
        self._by_customer: dict[tuple[int, CustomerId], _CustomerLoad] = {}
        self._active_weights: dict[int, float] = {}
        self._active_counted_ms = -math.inf
        self._max_customers = MAX_CUSTOMERS
        self.mean_latency_ms = math.nan

    def record_arrival(
        self,
        now_ms: float,
        priority: int = 0,
        customer: CustomerId = NO_CUSTOMER,
        weight: float = 1.0,
    ) -> None:
        """Count one request; ``weight`` is its customer's in fair queueing."""
        self._total.record(now_ms)
        load = self._by_customer.get((priority, customer))
        if load is None:
            self._drop_idle_customers(now_ms)
            load = _CustomerLoad(DecayedRate(self._began_ms))
            self._by_customer[priority, customer] = load
            self._by_priority.setdefault(priority, DecayedRate(self._began_ms))
        load.rate.record(now_ms)
        load.weight = weight
        self._by_priority[priority].record(now_ms)

    def _drop_idle_customers(self, now_ms: float) -> None:
        if len(self._by_customer) < self._max_customers:
            return
        self._by_customer = {
            key: load
            for key, load in self._by_customer.items()
            if load.rate.per_ms(now_ms) > FORGOTTEN_PER_MS
        }
        # With more active customers than that, each new one would take another pass.
        self._max_customers = max(MAX_CUSTOMERS, 2 * len(self._by_customer))

    def active_weight(self, priority: int, now_ms: float) -> float:
        """Return the weights together of the active customers of a priority."""
        if now_ms - self._active_counted_ms >= ACTIVE_REFRESH_MS:
            self._active_counted_ms = now_ms
            self._active_weights.clear()
            for (other, _), load in self._by_customer.items():
                if load.rate.per_ms(now_ms) > ACTIVE_PER_MS:
                    total = self._active_weights.get(other, 0.0)
                    self._active_weights[other] = total + load.weight
        return self._active_weights.get(priority, 0.0)

    def rate_per_ms(self, now_ms: float) -> float:
        """Return the recent rate of requests."""
        return self._total.per_ms(now_ms)

    def rate_above_per_ms(self, priority: int, now_ms: float) -> float:
        """Return the rate of the requests with a higher priority than this one."""
        return sum(
            rate.per_ms(now_ms)
            for other, rate in self._by_priority.items()
            if other < priority
        )

    def rate_of_others_per_ms(
        self, priority: int, customer: CustomerId, now_ms: float
    ) -> float:
        """Return the rate of the other customers' requests with the same priority."""
        total = self._by_priority.get(priority)
        own = self._by_customer.get((priority, customer))
        if total is None:
            return 0.0
        own_per_ms = 0.0 if own is None else own.rate.per_ms(now_ms)
        return max(0.0, total.per_ms(now_ms) - own_per_ms)

    def record_answer(self, latency_ms: float) -> None:
        """Record the latency of one answer."""
        if math.isnan(self.mean_latency_ms):
            self.mean_latency_ms = latency_ms
        self.mean_latency_ms += SAMPLE_WEIGHT * (latency_ms - self.mean_latency_ms)

    def spare_per_ms(self, slots: float, now_ms: float) -> float:
        """Return the rate that the slots carry beyond the requests that arrive."""
        if math.isnan(self.mean_latency_ms):
            return 0.0
        return slots / max(1.0, self.mean_latency_ms) - self.rate_per_ms(now_ms)
