"""Simulate in virtual time one customer that sends more than its rate."""

import heapq
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.quota_keeper import QuotaKeeper
from crocusspindle.core.spend_result import Admitted, OverRate, SpendResult
from crocusspindle.core.token_queue import ARRIVAL_TURN, TokenQueue, WaitingSpend
from crocusspindle.core.view import next_view
from crocusspindle.core.window_bucket import WindowBucket
from tests.core.quota_fixtures import CLUB, WINDOW_MS, keeper, present


@dataclass(frozen=True, slots=True)
class Route:
    """Send requests of a priority, each of which may wait for a token for a while."""

    priority: int
    per_s: float
    wait_limit_ms: float


@dataclass
class Counts:
    """Count the requests of one route by their results."""

    sent: int = 0
    served: int = 0
    waits_ms: list[float] = field(default_factory=list)
    refused_after_ms: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the fraction of the requests that got a token."""
        return self.served / max(1, self.sent)


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold the arrival of one request."""

    at_ms: float
    route: Route


def arrivals(
    routes: Iterable[Route], for_s: float, rng: random.Random
) -> list[Arrival]:
    """Return Poisson arrivals of all routes, by time."""
    times = []
    for route in routes:
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(route.per_s / 1e3)) < for_s * 1e3:
            times.append(Arrival(at_ms, route))
    return sorted(times, key=lambda arrival: arrival.at_ms)


def first_come(rule: CustomerRule, sent: list[Arrival]) -> dict[Route, Counts]:
    """Give tokens by arrival, in advance if the wait fits, as before this module."""
    bucket = WindowBucket(WINDOW_MS)
    counts: dict[Route, Counts] = {}
    for arrival in sent:
        count = counts.setdefault(arrival.route, Counts())
        count.sent += 1
        missing = 1.0 - bucket.tokens(rule, arrival.at_ms)
        wait_ms = max(0.0, missing / rule.rate_per_s * 1e3)
        if wait_ms <= arrival.route.wait_limit_ms:
            bucket.record_admission(arrival.at_ms)
            count.served += 1
            count.waits_ms.append(wait_ms)
        else:
            count.refused_after_ms.append(0.0)
    return counts


class OrderSimulation:
    """Give tokens by a keeper; hold what each route got and when tokens were used."""

    def __init__(self, rule: CustomerRule, arrival_turn: float = ARRIVAL_TURN) -> None:
        self._rule = rule
        self.owner: QuotaKeeper = keeper("a", next_view(None, present("a")), 0.0)
        self.owner.set_rules({CLUB: rule})
        self.owner._account(CLUB).queue = TokenQueue(arrival_turn)
        self.counts: dict[Route, Counts] = {}
        self.run_at_ms: list[float] = []
        self.refusals: list[tuple[float, Route, float]] = []
        self._waiting: dict[int, tuple[Arrival, WaitingSpend]] = {}

    def set_rule(self, rule: CustomerRule) -> None:
        """Apply a new configuration."""
        self._rule = rule
        self.owner.set_rules({CLUB: rule})

    def run(
        self, sent: list[Arrival], rules: Iterable[tuple[float, CustomerRule]] = ()
    ) -> dict[Route, Counts]:
        """Play the arrivals and the changes of the customer's rule."""
        events: list[tuple[float, int, Arrival | CustomerRule]]
        events = [(arrival.at_ms, n, arrival) for n, arrival in enumerate(sent)]
        events += [(at_ms, -1, rule) for at_ms, rule in rules]
        heapq.heapify(events)
        now_ms = 0.0
        while True:
            next_ms = self.owner.serve_waiting(CLUB, now_ms)
            self._settle(now_ms)
            wake_ms = math.inf
            if next_ms is not None:
                wake_ms = now_ms + max(1.0, min(20.0, next_ms))
            if events and events[0][0] <= wake_ms:
                now_ms, _, event = heapq.heappop(events)
                self.owner.set_view(self.owner._view, now_ms, now_ms)
                if isinstance(event, CustomerRule):
                    self.set_rule(event)
                else:
                    self._arrive(event)
            else:
                if math.isinf(wake_ms):
                    break
                now_ms = wake_ms
                self.owner.set_view(self.owner._view, now_ms, now_ms)
        return self.counts

    def _arrive(self, arrival: Arrival) -> None:
        self.counts.setdefault(arrival.route, Counts()).sent += 1
        result = self.owner.spend(
            CLUB, arrival.route.wait_limit_ms, arrival.at_ms, arrival.route.priority
        )
        if isinstance(result, WaitingSpend):
            self._waiting[id(result)] = (arrival, result)
        else:
            self._count(arrival, result, arrival.at_ms)
        self._settle(arrival.at_ms)

    def _settle(self, now_ms: float) -> None:
        for waiting in self.owner.settled():
            found = self._waiting.pop(id(waiting), None)
            if found is not None and waiting.settled is not None:
                self._count(found[0], waiting.settled, now_ms)

    def _count(self, arrival: Arrival, result: SpendResult, now_ms: float) -> None:
        count = self.counts[arrival.route]
        if isinstance(result, Admitted):
            count.served += 1
            count.waits_ms.append(now_ms - arrival.at_ms)
            self.run_at_ms.append(now_ms)
        else:
            assert isinstance(result, OverRate)
            count.refused_after_ms.append(now_ms - arrival.at_ms)
            self.refusals.append((now_ms, arrival.route, result.retry_after_ms))
