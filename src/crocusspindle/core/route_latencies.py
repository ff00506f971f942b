"""Hold the recent latencies of a service's routes, separately for each route.

One service does short and long work. Compared with both together, a short request that
hangs looks like long work for seconds, and is neither hedged in time nor counted
against its target.
"""

from collections import OrderedDict
from typing import Final

from crocusspindle.core.latency_sample import LatencySample

ROUTES_MAX: Final = 256
"""Routes remembered for each service, some 5 KB each; the least recently used goes
first."""

INITIAL_AIM_FRACTION: Final = 0.25
"""Fraction of the latency objective that a route's work is assumed to take until the
first answers: an operator sets an objective that typical work meets with room to
spare."""


class RouteLatencies:
    """Keep a sample of latencies for each route of a service, and one for all."""

    def __init__(self, per_route: bool = True) -> None:
        self._per_route = per_route
        self._samples: OrderedDict[str, LatencySample] = OrderedDict()
        self._all = LatencySample(0.0)

    def add(self, route: str, aim_ms: float, latency_ms: float) -> None:
        """Add the latency of work that succeeded."""
        self._all.add(latency_ms)
        self._route_sample(route, aim_ms).add(latency_ms)

    def sample_for(self, route: str, aim_ms: float) -> LatencySample:
        """Return the sample with which to compare work of a route.

        That is the route's own once it has enough values. Until then all work of the
        service is the best estimate, and at first a fraction of the latency objective.
        """
        route_sample = self._route_sample(route, aim_ms)
        if self._per_route and route_sample.has_enough_samples:
            return route_sample
        return self._all if self._all.has_enough_samples else route_sample

    @property
    def mean_ms(self) -> float:
        """Return the mean latency of all work, 0 until there are enough values."""
        return self._all.typical_ms

    @property
    def min_suspicious_ms(self) -> float:
        """Return the age up to which no work of the service is suspicious.

        Short work may have waited at its target for a slot that long work held.
        """
        return self._all.typical_ms

    def _route_sample(self, route: str, aim_ms: float) -> LatencySample:
        sample = self._samples.get(route)
        if sample is None:
            sample = LatencySample(aim_ms * INITIAL_AIM_FRACTION)
            self._samples[route] = sample
            if len(self._samples) > ROUTES_MAX:
                self._samples.popitem(last=False)
        self._samples.move_to_end(route)
        return sample
