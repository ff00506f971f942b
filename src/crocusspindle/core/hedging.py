"""Hedge late idempotent requests with an attempt on a second target."""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.attempts import Attempts
from crocusspindle.core.coordinator_settings import CoordinatorSettings
from crocusspindle.core.decisions import Decision
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.retry_tokens import RetryTokens
from crocusspindle.core.target_pool import TargetPool
from crocusspindle.ids import AttemptId, RequestId

_SWEEP_SIZE: Final = 64
"""Number of tracked hedges at which ended ones are swept."""

_SILENT_AGE_FACTOR: Final = 2.0
"""A first attempt older than this many hedging delays is probably on a silent target:
with exponential latencies only 0.25 % take as long."""


class Hedging:
    """Open hedges as tokens allow and preempt them for first attempts."""

    def __init__(
        self, settings: CoordinatorSettings, target_pool: TargetPool, attempts: Attempts
    ) -> None:
        self.tokens = RetryTokens(settings.hedge_fraction, settings.hedge_floor_per_s)
        self._max_attempts = settings.max_attempts
        self._target_pool = target_pool
        self._attempts = attempts
        self._hedges: list[AttemptId] = []

    def hedge(
        self,
        attempt_id: AttemptId,
        requests: Mapping[RequestId, PendingRequest],
        now_ms: float,
    ) -> list[Decision]:
        """Send the request of a late attempt to a second target, once.

        Callers need not wait for the timeout of one slow or silent target among
        healthy ones. Only a free slot is used; without one the timer is set again.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.cancelled:
            return []
        pending = requests[attempt.request]
        if pending.hedged or pending.stopped or pending.started:
            return []
        if pending.attempts >= self._max_attempts:
            return []
        candidates = self._target_pool.with_room(now_ms)
        slots = self._target_pool.place(pending, candidates, 1, now_ms)
        if slots is None or not self.tokens.try_spend(now_ms):
            self._attempts.arm_hedge(pending, attempt, now_ms)
            return []
        pending.hedged = True
        dispatch = self._attempts.open(pending, slots, now_ms)
        self._track(dispatch.attempt)
        return [dispatch]

    def preempt(
        self,
        needed_slots: int,
        requests: Mapping[RequestId, PendingRequest],
        now_ms: float,
    ) -> list[Decision]:
        """Cancel hedges whose slots queued requests need.

        Near capacity, first attempts must not wait for hedges, which may turn out to
        be unnecessary. The hedged request keeps its first attempt, its token is
        refunded and it may be hedged again.
        """
        decisions: list[Decision] = []
        needed_slots -= self._attempts.cancelling
        while needed_slots > 0 and (hedge := self._pop_unanswered()) is not None:
            pending = requests[hedge.request]
            if not self._may_preempt(pending, now_ms):
                continue
            needed_slots -= 1
            pending.running.remove(hedge)
            pending.tried.discard(hedge.slots.target.target)
            pending.attempts -= 1
            pending.hedged = False
            pending.may_have_run = True
            self.tokens.refund()
            decisions += self._attempts.cancel([hedge], now_ms)
            self._attempts.arm_hedge(pending, pending.running[0], now_ms)
        return decisions

    def _track(self, attempt: AttemptId) -> None:
        if len(self._hedges) >= _SWEEP_SIZE:
            self._hedges = [each for each in self._hedges if each in self._attempts]
        self._hedges.append(attempt)

    def _pop_unanswered(self) -> Attempt | None:
        """Remove and return the latest hedge without a first byte, or None."""
        while self._hedges:
            attempt = self._attempts.get(self._hedges.pop())
            if attempt is None or attempt.cancelled or attempt.started_ms is not None:
                continue
            return attempt
        return None

    def _may_preempt(self, pending: PendingRequest, now_ms: float) -> bool:
        """Return True unless the hedge is the only attempt likely to be answered."""
        if len(pending.running) == 1:
            return False
        late_ms = self._attempts.hedge_after_ms() or 0.0
        age_ms = now_ms - pending.running[0].dispatched_ms
        return age_ms < _SILENT_AGE_FACTOR * late_ms
