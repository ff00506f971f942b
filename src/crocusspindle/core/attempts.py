"""Track running attempts and learn the latencies of ended ones."""

from itertools import count
from typing import Final

from crocusspindle.core.coordinator_settings import CoordinatorSettings
from crocusspindle.core.decisions import AttemptEnd, Cancel, Decision, Dispatch
from crocusspindle.core.latency_window import LatencyWindow
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.slots import TargetSlots
from crocusspindle.core.target_pool import TargetPool
from crocusspindle.core.timers import TimerKind, Timers
from crocusspindle.ids import AttemptId

_LOST_REPORT_MS: Final = 1_000.0
"""A cancelled attempt whose end is not reported within this time frees its slot, so
that a report lost by the driver does not occupy the slot for good."""

_TYPICAL_QUANTILE: Final = 0.95
"""Quantile of the time to first byte that is reserved for the response to a queued
request. An unnecessary refusal costs the caller a retry, but a request that is cut off
has no known outcome and its work is lost. At 70 % capacity 11 % of all requests are
cut off with the median and 1.2 % with this, and as many are answered in time."""

_MIN_HEDGE_MS: Final = 1.0
"""Minimum hedging delay: within a millisecond the response is already on its way."""


class Attempts:
    """Open, cancel and close attempts."""

    def __init__(
        self, settings: CoordinatorSettings, target_pool: TargetPool, timers: Timers
    ) -> None:
        self._settings = settings
        self._target_pool = target_pool
        self._timers = timers
        self._running: dict[AttemptId, Attempt] = {}
        self._numbers = count(1)
        self._first_bytes = LatencyWindow()
        self.cancelling = 0
        """Number of cancelled attempts that still hold their slot."""

    def __len__(self) -> int:
        return len(self._running)

    def __contains__(self, attempt: AttemptId) -> bool:
        return attempt in self._running

    def get(self, attempt: AttemptId) -> Attempt | None:
        """Return a running attempt, or None."""
        return self._running.get(attempt)

    def open(
        self, pending: PendingRequest, slots: TargetSlots, now_ms: float
    ) -> Dispatch:
        """Start an attempt of a request on a target."""
        request = pending.arrival.request
        attempt = Attempt(AttemptId(next(self._numbers)), request, slots, now_ms)
        self._running[attempt.attempt] = attempt
        pending.attempts += 1
        pending.running.append(attempt)
        pending.tried.add(slots.target.target)
        slots.dispatched(now_ms)
        self.arm_hedge(pending, attempt, now_ms)
        return Dispatch(
            request=request,
            attempt=attempt.attempt,
            target=slots.target.target,
            deadline_ms=self._deadline_ms(pending, now_ms),
        )

    def start(self, attempt: Attempt, now_ms: float) -> None:
        """Record the first byte of a response."""
        attempt.started_ms = now_ms
        self._first_bytes.add(now_ms - attempt.dispatched_ms)

    def close(
        self,
        attempt_id: AttemptId,
        end: AttemptEnd,
        latency_ms: float,
        has_queued: bool,
        now_ms: float,
    ) -> Attempt | None:
        """Free the slot of an attempt and learn from its end.

        ``has_queued`` is True if requests wait for slots.
        """
        attempt = self._running.pop(attempt_id, None)
        if attempt is None:
            return None
        if attempt.cancelled:
            self.cancelling -= 1
        slots = attempt.slots
        if end is AttemptEnd.SHED:
            self._target_pool.shed(slots, now_ms)
        elif end is AttemptEnd.ANSWERED and not attempt.cancelled:
            self._target_pool.succeed(slots, latency_ms, has_queued)
            if attempt.started_ms is None:
                self._first_bytes.add(latency_ms)
        else:
            self._target_pool.release(slots)
        if end not in {AttemptEnd.SHED, AttemptEnd.UNSENT}:
            self._target_pool.record_hold(now_ms - attempt.dispatched_ms)
        return attempt

    def cancel(self, attempts: list[Attempt], now_ms: float) -> list[Decision]:
        """Cancel attempts; each holds its slot until its end is reported."""
        decisions: list[Decision] = []
        for attempt in attempts:
            if not attempt.cancelled:
                attempt.cancelled = True
                self.cancelling += 1
                self._timers.add(
                    now_ms + _LOST_REPORT_MS, TimerKind.LOST_REPORT, attempt.attempt
                )
                decisions.append(Cancel(attempt.attempt))
        return decisions

    def hedge_after_ms(self) -> float | None:
        """Return the age at which an attempt is hedged, None while it is unknown."""
        late_ms = self._first_bytes.quantile_ms(self._settings.hedge_quantile)
        return None if late_ms is None else max(late_ms, _MIN_HEDGE_MS)

    def typical_ms(self) -> float:
        """Return the time within which a response typically begins, 0 if unknown."""
        return self._first_bytes.quantile_ms(_TYPICAL_QUANTILE) or 0.0

    def arm_hedge(
        self, pending: PendingRequest, attempt: Attempt, now_ms: float
    ) -> None:
        """Set the timer that hedges the attempt once it is late."""
        arrival = pending.arrival
        after_ms = self.hedge_after_ms()
        if not arrival.idempotent or not arrival.may_hedge or pending.hedged:
            return
        if after_ms is not None and now_ms + after_ms < arrival.deadline_ms:
            self._timers.add(now_ms + after_ms, TimerKind.HEDGE, attempt.attempt)

    def _deadline_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Return when an attempt times out.

        An attempt of an idempotent request gets half of the remaining time, or three
        times the hedging delay if that is longer. A silent target would otherwise use
        up the caller's whole deadline. The last attempt gets all of the time, and so
        does any attempt before latencies are known.
        """
        deadline_ms = pending.arrival.deadline_ms
        hedge_after_ms = self.hedge_after_ms()
        attempts_left = self._settings.max_attempts - pending.attempts
        if (
            not pending.arrival.idempotent
            or hedge_after_ms is None
            or attempts_left <= 0
        ):
            return deadline_ms
        half_ms = (deadline_ms - now_ms) / 2.0
        return min(deadline_ms, now_ms + max(half_ms, 3.0 * hedge_after_ms))
