"""Compare in virtual time what to do with the tokens of requests refused as full.

One service has a few slots. A customer sends several times its rate beside others whose
quota is never short. The placer queues requests by arrival, up to a wait limit.
"""

import heapq
import random
from dataclasses import dataclass, field
from enum import Enum

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.window_bucket import WindowBucket
from tests.core.quota_fixtures import CLUB, WINDOW_MS

SLOTS = 6
WORK_MS = 250.0
PLACE_LIMIT_MS = 250.0
ROUND_TRIP_MS = 4.0
"""Longest round trip between failure domains; `RESEND_S` is ten times as much."""


class Spending(Enum):
    """Select when a token is spent, and whether an unused one is returned."""

    KEPT = "spent first, not returned"
    RETURNED = "spent first, returned"
    AFTER_GRANT = "spent after the grant"


@dataclass
class Results:
    """Count the requests served, and the time that granted slots idled."""

    served: dict[str, int] = field(default_factory=lambda: {"club": 0, "others": 0})
    sent: dict[str, int] = field(default_factory=lambda: {"club": 0, "others": 0})
    idle_ms: float = 0.0

    def share(self, name: str) -> float:
        """Return the fraction of the requests that were served."""
        return self.served[name] / self.sent[name]


class ReturnSimulation:
    """Serve the customer and the others for some seconds."""

    def __init__(self, spending: Spending, rule: CustomerRule) -> None:
        self._spending = spending
        self._rule = rule
        self._bucket = WindowBucket(WINDOW_MS)
        self._free = SLOTS
        self._queue: list[tuple[float, str, int]] = []
        self._events: list[tuple[float, int, str, tuple]] = []
        self._number = 0
        self.results = Results()

    def run(self, rates: dict[str, float], for_s: float, seed: int) -> Results:
        """Play Poisson arrivals of the named senders, per second."""
        rng = random.Random(seed)
        for name, per_s in rates.items():
            at_ms = 0.0
            while (at_ms := at_ms + rng.expovariate(per_s / 1e3)) < for_s * 1e3:
                self._add(at_ms, "arrive", name)
        while self._events:
            now_ms, _, kind, arguments = heapq.heappop(self._events)
            getattr(self, f"_{kind}")(now_ms, *arguments)
        return self.results

    def _add(self, at_ms: float, kind: str, *arguments: object) -> None:
        self._number += 1
        heapq.heappush(self._events, (at_ms, self._number, kind, arguments))

    def _spend(self, now_ms: float) -> int | None:
        if self._bucket.tokens(self._rule, now_ms) < 1.0:
            return None
        self._number += 1
        self._bucket.record_admission(now_ms, self._number)
        return self._number

    def _arrive(self, now_ms: float, name: str) -> None:
        self.results.sent[name] += 1
        token: int | None = 0
        if name == "club" and self._spending is not Spending.AFTER_GRANT:
            token = self._spend(now_ms)
        if token is None:
            return
        wait_ms = (len(self._queue) + 1) * WORK_MS / SLOTS
        if not self._free and wait_ms > PLACE_LIMIT_MS:
            if token and self._spending is Spending.RETURNED:
                self._add(now_ms + ROUND_TRIP_MS, "give_back", token)
            return
        self._queue.append((now_ms, name, token))
        self._grant(now_ms)

    def _give_back(self, now_ms: float, token: int) -> None:
        self._bucket.take_back(token, now_ms)

    def _grant(self, now_ms: float) -> None:
        while self._free and self._queue:
            _, name, _ = self._queue.pop(0)
            self._free -= 1
            if name == "club" and self._spending is Spending.AFTER_GRANT:
                self.results.idle_ms += ROUND_TRIP_MS
                self._add(now_ms + ROUND_TRIP_MS, "ask", name)
            else:
                self._start(now_ms, name)

    def _ask(self, now_ms: float, name: str) -> None:
        if self._spend(now_ms) is not None:
            self._start(now_ms, name)
        else:
            self._end(now_ms)

    def _start(self, now_ms: float, name: str) -> None:
        self.results.served[name] += 1
        self._add(now_ms + WORK_MS, "end")

    def _end(self, now_ms: float) -> None:
        self._free += 1
        self._grant(now_ms)


def compare(
    spending: Spending, club_per_s: float, others_per_s: float, seed: int = 1
) -> Results:
    """Return the results of 30 s with a quota of 10/s and a burst of 10."""
    rule = CustomerRule(CLUB, rate_per_s=10.0, burst=10.0)
    rates = {"club": club_per_s, "others": others_per_s}
    return ReturnSimulation(spending, rule).run(rates, 30.0, seed)
