"""Hold a customer's token bucket over a sliding window.

In any span of s seconds, up to a window, a customer may send rate times s requests plus
the burst. A plain token bucket never forgets an admission: a customer that stays over
its rate gets the burst once and then only the rate, though its bound allows the burst
again after a window. A customer over its rate for many seconds, as after its limit was
lowered, would be refused requests within its bound: a sixth of the bound for a burst of
one second's rate and a window of five seconds.

Admissions older than the window are therefore ignored. The bound holds within any
window, also across two keepers: the requests that one keeper admits and the tokens that
the next one, which opens empty, refills in the rest of the window add up to the bound.

A returned token is taken out of the admissions it was counted in. What is left are the
admissions of requests that may run, so a return never allows more than the bound.
"""

from collections import deque
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.spend_result import NOT_RETURNABLE

STEPS_PER_WINDOW: Final = 100
"""Time steps of a window. Admissions of one step count together, at the time of the
last: that is on the safe side, and bounds the work per request at any rate."""


@dataclass(slots=True, eq=False)
class _Step:
    """Count the admissions of one time step, by the times of its first and last one."""

    first_ms: float
    last_ms: float
    spent: float


class WindowBucket:
    """Count admissions within the window, and compute the tokens left."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._steps: deque[_Step] = deque()
        # Numbers of the tokens that can be returned, in the order of their spending.
        # Each belongs to an admission that still counts: the bound limits them too.
        self._returnable: dict[int, _Step] = {}

    def open(self, tokens: float, rule: CustomerRule, now_ms: float) -> None:
        """Start with these tokens, as if the rest of the burst had just been spent."""
        self.close()
        spent = _burst(rule) - tokens
        if spent > 0.0:
            self._steps.append(_Step(now_ms, now_ms, spent))

    def close(self) -> None:
        """Forget all admissions; their tokens can't be returned any more."""
        self._steps.clear()
        self._returnable.clear()

    @property
    def returnable(self) -> int:
        """Return how many tokens can be returned."""
        return len(self._returnable)

    def tokens(self, rule: CustomerRule, now_ms: float) -> float:
        """Return the tokens available now; negative after the limit was lowered."""
        self._forget(now_ms)
        per_ms = rule.rate_per_s / 1e3
        available = _burst(rule)
        spent = 0.0
        for step in reversed(self._steps):
            spent += step.spent
            available = min(
                available, _burst(rule) + per_ms * (now_ms - step.last_ms) - spent
            )
        return available

    def wait_ms(self, rule: CustomerRule, now_ms: float) -> float:
        """Return the time until the next token is available."""
        self._forget(now_ms)
        per_ms = rule.rate_per_s / 1e3
        missing = 1.0 - _burst(rule)
        ready_ms = now_ms
        for step in reversed(self._steps):
            missing += step.spent
            expires_ms = step.last_ms + self._window_ms
            ready_ms = max(ready_ms, min(expires_ms, step.last_ms + missing / per_ms))
        return ready_ms - now_ms

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        while self._steps and self._steps[0].last_ms <= since_ms:
            self._steps.popleft()
        while self._returnable:
            number, step = next(iter(self._returnable.items()))
            if step.last_ms > since_ms:
                break
            del self._returnable[number]

    def record_admission(self, now_ms: float, token: int = NOT_RETURNABLE) -> None:
        """Count one admission, whose token may be returned by its number."""
        step = self._steps[-1] if self._steps else None
        step_ms = self._window_ms / STEPS_PER_WINDOW
        if step is None or now_ms - step.first_ms >= step_ms:
            step = _Step(now_ms, now_ms, 0.0)
            self._steps.append(step)
        step.last_ms = now_ms
        step.spent += 1.0
        if token != NOT_RETURNABLE:
            self._returnable[token] = step

    def take_back(self, token: int, now_ms: float) -> bool:
        """Uncount the admission of a returned token; return False if it is unknown."""
        self._forget(now_ms)
        step = self._returnable.pop(token, None)
        if step is None:
            return False
        step.spent -= 1.0
        return True


@dataclass(frozen=True, slots=True)
class TokenForecast:
    """Tell when a bucket's next tokens are available, as of ``now_ms``.

    The next one is exact. Later ones are expected at the customer's rate, and come
    sooner when admissions leave the window: a forecast is never too early.
    """

    rule: CustomerRule
    now_ms: float
    first_wait_ms: float

    @classmethod
    def of(
        cls, bucket: WindowBucket, rule: CustomerRule, now_ms: float
    ) -> "TokenForecast":
        """Return the forecast for a bucket."""
        return cls(rule, now_ms, bucket.wait_ms(rule, now_ms))

    def wait_ms(self, count: float) -> float:
        """Return the time until the last of so many tokens."""
        return self.first_wait_ms + (count - 1.0) / self.rule.rate_per_s * 1e3

    def is_due(self, count: float, until_ms: float) -> bool:
        """Return True if the last of so many tokens is available by a time."""
        return self.now_ms + self.wait_ms(count) <= until_ms


def _burst(rule: CustomerRule) -> float:
    # A customer without a burst still gets its rate, one request at a time.
    return max(1.0, rule.burst)
