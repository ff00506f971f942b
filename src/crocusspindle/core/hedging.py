"""Send late idempotent requests to a second target."""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.attempts import Attempts
from crocusspindle.core.decisions import Decision
from crocusspindle.core.home_settings import HomeSettings
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.retries import Budget
from crocusspindle.core.roster import Roster
from crocusspindle.ids import AttemptId, RequestId

_HEDGES_KEPT: Final = 64
"""Hedges remembered before ended ones are swept out."""

_DEAD_AFTER: Final = 2.0
"""A first attempt twice as old as a late one is probably on a mute target: of
exponential times, 0.25 % are as long."""


class Hedging:
    """Open hedges within their budget and take them back for first attempts."""

    def __init__(
        self, settings: HomeSettings, roster: Roster, attempts: Attempts
    ) -> None:
        self.budget = Budget(settings.hedge_fraction, settings.hedge_floor_per_s)
        self._max_attempts = settings.max_attempts
        self._roster = roster
        self._attempts = attempts
        self._hedges: list[AttemptId] = []

    def hedge(
        self,
        attempt_id: AttemptId,
        requests: Mapping[RequestId, PendingRequest],
        now_ms: float,
    ) -> list[Decision]:
        """Send the request of a late attempt to a second target, once.

        Load: one slow or mute target among good ones. Harm prevented: callers
        waiting for its timeout. Only a free slot is used; without one it is tried
        again later.
        """
        attempt = self._attempts.get(attempt_id)
        if attempt is None or attempt.cancelled:
            return []
        pending = requests[attempt.request]
        if pending.hedged or pending.stopped or pending.started:
            return []
        if pending.attempts >= self._max_attempts:
            return []
        candidates = self._roster.with_room(now_ms)
        slots = self._roster.place(pending, candidates, 1, now_ms)
        if slots is None or not self.budget.take(now_ms):
            self._attempts.arm_hedge(pending, attempt, now_ms)
            return []
        pending.hedged = True
        dispatch = self._attempts.open(pending, slots, now_ms)
        self._remember(dispatch.attempt)
        return [dispatch]

    def give_way(
        self,
        wanted: int,
        requests: Mapping[RequestId, PendingRequest],
        now_ms: float,
    ) -> list[Decision]:
        """Cancel hedges whose slots queued requests need.

        Load: a group near its capacity. Harm prevented: first attempts that wait
        while second ones, which may be of no use, run. The hedged request keeps
        its first attempt, gets its token back and may be hedged again.
        """
        decisions: list[Decision] = []
        wanted -= self._attempts.ending
        while wanted > 0 and (hedge := self._pop_waiting()) is not None:
            pending = requests[hedge.request]
            if not self._may_yield(pending, now_ms):
                continue
            wanted -= 1
            pending.running.remove(hedge)
            pending.tried.discard(hedge.slots.target.target)
            pending.attempts -= 1
            pending.hedged = False
            pending.may_have_run = True
            self.budget.give_back()
            decisions += self._attempts.cancel([hedge], now_ms)
            self._attempts.arm_hedge(pending, pending.running[0], now_ms)
        return decisions

    def _remember(self, attempt: AttemptId) -> None:
        if len(self._hedges) >= _HEDGES_KEPT:
            self._hedges = [each for each in self._hedges if each in self._attempts]
        self._hedges.append(attempt)

    def _pop_waiting(self) -> Attempt | None:
        """Return the latest hedge that has no answer yet, or None."""
        while self._hedges:
            attempt = self._attempts.get(self._hedges.pop())
            if attempt is None or attempt.cancelled or attempt.started_ms is not None:
                continue
            return attempt
        return None

    def _may_yield(self, pending: PendingRequest, now_ms: float) -> bool:
        """Return True unless the hedge is the request's only real attempt."""
        if len(pending.running) == 1:
            return False
        late_ms = self._attempts.hedge_after_ms() or 0.0
        age_ms = now_ms - pending.running[0].dispatched_ms
        return age_ms < _DEAD_AFTER * late_ms
