"""Order the requests that wait for a token of one customer.

Made for a customer that sends several times its rate for some seconds. Without an
order, tokens go to whichever request arrives when one is available, so urgent requests
are refused while others are served. In order of priority alone, the lower priorities
would get nothing for as long as the excess lasts.
"""

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass
from operator import itemgetter
from typing import Final

from crocusspindle.core.spend_result import SpendResult
from crocusspindle.core.window_bucket import TokenForecast

ARRIVAL_TURN: Final = 8
"""While requests wait by arrival, one token in this many goes to the first of them."""

FORECAST_TOLERANCE_MS: Final = 1.0
"""A waiting request is not refused for a forecast that is late by less: forecasts are
rounded, and the timer that serves the queue fires up to a millisecond late."""

_SHARE_MEMORY: Final = 64.0
"""Tokens over which the share of each priority is averaged: a fraction of a second for
a large customer, some seconds for a small one."""


@dataclass(slots=True, eq=False)
class WaitingSpend:
    """Hold a request that waits for a token, until ``settled`` has the decision.

    It waits until ``give_up_ms`` at most.
    """

    priority: int
    give_up_ms: float
    settled: SpendResult | None = None


_OrderKey = tuple[int, float, int]


class TokenQueue:
    """Hold the requests that wait for a token of one customer.

    A request that fits its wait limit waits in order: by priority, then by earliest
    deadline. One that does not fit there, or no longer since a more urgent one arrived,
    waits by arrival if it fits there. All priorities have the same chance to do so, in
    proportion to what they send: none starves, and no lower one has a larger share of
    its requests served than a higher one.
    """

    def __init__(self, arrival_turn: float = ARRIVAL_TURN) -> None:
        self._arrival_turn = arrival_turn
        self._in_order: list[tuple[_OrderKey, WaitingSpend]] = []
        self._by_arrival: deque[WaitingSpend] = deque()
        self._sequence = 0
        # Tokens given in order since the last turn by arrival.
        self._since_turn = 0.0
        self._recent_tokens: dict[int, float] = {}

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._in_order) + len(self._by_arrival)

    def add(self, waiting: WaitingSpend, forecast: TokenForecast) -> bool:
        """Queue a request; return False if it fits its wait limit nowhere."""
        tokens = self.tokens_until(waiting.priority, waiting.give_up_ms)
        if forecast.is_due(tokens, waiting.give_up_ms):
            self._sequence += 1
            key = (waiting.priority, waiting.give_up_ms, self._sequence)
            insort(self._in_order, (key, waiting))
            return True
        return self._add_by_arrival(waiting, forecast)

    def _add_by_arrival(self, waiting: WaitingSpend, forecast: TokenForecast) -> bool:
        tokens = self._tokens_by_arrival(len(self._by_arrival))
        if math.isinf(tokens) or not forecast.is_due(tokens, waiting.give_up_ms):
            return False
        self._by_arrival.append(waiting)
        return True

    def _index(self, priority: int, give_up_ms: float) -> int:
        # Behind the requests with the same deadline, all of which arrived before.
        key = (priority, give_up_ms, self._sequence + 1)
        return bisect_left(self._in_order, key, key=itemgetter(0))

    def _tokens_in_order(self, index: int) -> float:
        # All turns by arrival count, also those without a request yet. Otherwise
        # requests that begin to wait by arrival would displace others that were queued.
        turns = (self._since_turn + index) // (self._arrival_turn - 1)
        return index + 1 + turns

    def _tokens_by_arrival(self, index: int) -> float:
        return (index + 1) * self._arrival_turn - self._since_turn

    def pop(self) -> WaitingSpend:
        """Remove and return the request that gets the next token."""
        is_turn = self._since_turn >= self._arrival_turn - 1
        if self._by_arrival and (is_turn or not self._in_order):
            self._since_turn = 0.0
            return self._by_arrival.popleft()
        self._since_turn = min(self._since_turn + 1, self._arrival_turn - 1)
        return self._in_order.pop(0)[1]

    def remove(self, waiting: WaitingSpend) -> None:
        """Drop a request, whether or not it waits."""
        self._in_order = [entry for entry in self._in_order if entry[1] is not waiting]
        if waiting in self._by_arrival:
            self._by_arrival.remove(waiting)

    def clear(self) -> list[WaitingSpend]:
        """Drop and return all requests."""
        dropped = [waiting for _, waiting in self._in_order]
        dropped += self._by_arrival
        self._in_order.clear()
        self._by_arrival.clear()
        return dropped

    def drop_unfit(self, forecast: TokenForecast) -> list[WaitingSpend]:
        """Drop and return the requests that no longer fit their wait limits."""
        dropped: list[WaitingSpend] = []
        kept_by_arrival: deque[WaitingSpend] = deque()
        for waiting in self._by_arrival:
            due_ms = waiting.give_up_ms + FORECAST_TOLERANCE_MS
            tokens = self._tokens_by_arrival(len(kept_by_arrival))
            tokens = min(tokens, len(self._in_order) + len(kept_by_arrival) + 1)
            fits = forecast.is_due(tokens, due_ms)
            (kept_by_arrival if fits else dropped).append(waiting)
        self._by_arrival = kept_by_arrival
        kept_in_order: list[tuple[_OrderKey, WaitingSpend]] = []
        for entry in self._in_order:
            waiting = entry[1]
            due_ms = waiting.give_up_ms + FORECAST_TOLERANCE_MS
            tokens = self._tokens_in_order(len(kept_in_order))
            if forecast.is_due(tokens, due_ms):
                kept_in_order.append(entry)
            elif not self._add_by_arrival(waiting, forecast):
                dropped.append(waiting)
        self._in_order = kept_in_order
        return dropped

    def record_token(self, priority: int) -> None:
        """Count a token that a request got, with or without a wait."""
        for known in self._recent_tokens:
            self._recent_tokens[known] *= 1.0 - 1.0 / _SHARE_MEMORY
        self._recent_tokens[priority] = self._recent_tokens.get(priority, 0.0) + 1.0

    def tokens_until(self, priority: int, give_up_ms: float) -> float:
        """Return after how many tokens a new request would get one in order.

        Higher priorities are expected to use what they used of the last tokens, and all
        but the turns by arrival at most. Without that, requests would be queued that
        are refused when more urgent ones arrive.
        """
        index = self._index(priority, give_up_ms)
        ahead = index - self._index(priority, -math.inf)
        expected = math.ceil((ahead + 1) / self.share_of(priority))
        return max(self._tokens_in_order(index), expected)

    def share_of(self, priority: int) -> float:
        """Return the fraction of the tokens that higher priorities leave."""
        total = sum(self._recent_tokens.values())
        if total <= 0.0:
            return 1.0
        higher = sum(
            tokens for other, tokens in self._recent_tokens.items() if other < priority
        )
        return max(1.0 / ARRIVAL_TURN, 1.0 - higher / total)
