"""Limit the request rate to a target that reports a limit or is cold."""

import math
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity

BURST_S: Final = 0.5
"""Requests missed in a pause up to this length may follow as a burst; otherwise part of
the rate would be lost where requests arrive unevenly."""

MIN_LIMIT_PER_S: Final = 0.1
"""Lowest limit applied: a target that reports a limit of 0 still gets requests at this
rate, so that a changed limit is noticed."""

RESPONSES_WITHOUT_LIMIT: Final = 2
"""Number of responses without a limit that clear it. Only responses to requests sent
after the limit was last reported count."""


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Hold the rate limit that a target's response names, None if it names none.

    ``sent_ms`` is when the request was sent: responses may arrive out of order.
    """

    target: TargetIdentity
    limit_per_s: float | None
    sent_ms: float


class RateLimit:
    """Hold one target's rate limit in a token bucket.

    An overloaded target reports how many requests per second it accepts from all hosts
    together. Requests beyond that limit overload it further. A cold target tolerates
    the rate that its service's rule names; the lower limit applies. This host may use a
    share of it.
    """

    def __init__(self) -> None:
        self._share = 1.0
        self._reported_per_ms = math.inf
        self._cold_per_ms = math.inf
        self._cold_until_ms = -math.inf
        # The lower of the two, kept because each placement asks for it at each target.
        self._per_ms = math.inf
        self._request_sent_ms = -math.inf
        self._response_ms = -math.inf
        self._sent_without_limit_ms = -math.inf
        self._responses_without_limit = 0
        self._tokens = 0.0
        self._filled_at_ms = -math.inf

    def _update_rate(self) -> None:
        self._per_ms = min(self._reported_per_ms, self._cold_per_ms)

    @property
    def is_active(self) -> bool:
        """Return True while a limit is in force."""
        return self._per_ms < math.inf

    def is_cold(self, now_ms: float) -> bool:
        """Return True while the target counts as cold."""
        return now_ms < self._cold_until_ms

    @property
    def reported_per_s(self) -> float | None:
        """Return the limit that the target reported, None without one."""
        if self._reported_per_ms == math.inf:
            return None
        return self._reported_per_ms * 1e3

    @property
    def sent_ms(self) -> float:
        """Return when the request was sent whose response named the limit."""
        return self._request_sent_ms

    def apply_report(self, report: LimitReport, now_ms: float) -> bool:
        """Apply the limit that a response names; return True if it changed."""
        if report.limit_per_s is None:
            return self._apply_missing_limit(report)
        # Hosts relay a report for seconds, also after a newer response named no limit.
        if report.sent_ms < max(self._request_sent_ms, self._sent_without_limit_ms):
            return False
        per_ms = max(MIN_LIMIT_PER_S, report.limit_per_s) / 1e3
        self._request_sent_ms = report.sent_ms
        self._response_ms = now_ms
        self._responses_without_limit = 0
        if per_ms == self._reported_per_ms:
            return False
        self._begin_or_fill(now_ms)
        self._reported_per_ms = per_ms
        self._update_rate()
        self._tokens = min(self._tokens, self._burst)
        return True

    def _begin_or_fill(self, now_ms: float) -> None:
        if self.is_active:
            self._fill(now_ms)
        else:
            # Other hosts may have sent requests just before: begin without tokens.
            self._tokens, self._filled_at_ms = 0.0, now_ms

    def _apply_missing_limit(self, report: LimitReport) -> bool:
        is_reported = self._reported_per_ms < math.inf
        if not is_reported or report.sent_ms <= self._response_ms:
            return False
        self._sent_without_limit_ms = max(self._sent_without_limit_ms, report.sent_ms)
        self._responses_without_limit += 1
        if self._responses_without_limit < RESPONSES_WITHOUT_LIMIT:
            return False
        self._reported_per_ms = math.inf
        self._update_rate()
        return True

    def limit_while_cold(self, per_s: float, until_ms: float, now_ms: float) -> bool:
        """Limit a cold target until a time; return False if it is limited already."""
        if until_ms <= max(now_ms, self._cold_until_ms):
            return False
        self._begin_or_fill(now_ms)
        self._cold_until_ms = until_ms
        self._cold_per_ms = max(MIN_LIMIT_PER_S, per_s) / 1e3
        self._update_rate()
        self._tokens = min(self._tokens, self._burst)
        return True

    def end_due_limit(self, now_ms: float) -> None:
        """End the limit of a target that is warm again."""
        if not self.is_cold(now_ms):
            self._cold_per_ms = math.inf
            self._update_rate()

    def set_share(self, share: float, now_ms: float) -> None:
        """Set the share of the rate that this host may use, from 0 to 1."""
        if share == self._share:
            return
        if self.is_active:
            self._fill(now_ms)
        self._share = share
        self._tokens = min(self._tokens, self._burst)

    def empty(self, now_ms: float) -> None:
        """Begin without tokens: other hosts may have sent requests just before."""
        if self.is_active:
            self._fill(now_ms)
        self._tokens = min(self._tokens, 0.0)

    def allows(self, now_ms: float) -> bool:
        """Return True if the limit admits one more request now."""
        if self._per_ms < math.inf:
            self.end_due_limit(now_ms)
        if self._per_ms == math.inf:
            return True
        if self._share == 0.0:
            return False
        self._fill(now_ms)
        return self._tokens >= 1.0

    def record_sent(self, now_ms: float) -> None:
        """Count one request that this or another host sent to the target."""
        if self.is_active:
            self._fill(now_ms)
            self._tokens -= 1.0

    def sustained_concurrency(self, typical_ms: float) -> float:
        """Return the concurrency that the limit sustains at a typical latency."""
        return self._shared_per_ms * typical_ms

    @property
    def _shared_per_ms(self) -> float:
        return self._per_ms if self._share == 1.0 else self._per_ms * self._share

    @property
    def _burst(self) -> float:
        return max(1.0, self._shared_per_ms * 1e3 * BURST_S)

    def _fill(self, now_ms: float) -> None:
        earned = max(0.0, now_ms - self._filled_at_ms) * self._shared_per_ms
        self._tokens = min(self._burst, self._tokens + earned)
        self._filled_at_ms = max(self._filled_at_ms, now_ms)
