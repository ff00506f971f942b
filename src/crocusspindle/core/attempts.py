"""Follow the attempts that run and learn from how they end."""

from itertools import count
from typing import Final

from crocusspindle.core.decisions import AttemptEnd, Cancel, Decision, Dispatch
from crocusspindle.core.home_settings import HomeSettings
from crocusspindle.core.latencies import LatencyWindow
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.roster import Roster
from crocusspindle.core.slots import TargetSlots
from crocusspindle.core.timers import TimerKind, Timers
from crocusspindle.ids import AttemptId

_LOST_REPORT_MS: Final = 1_000.0
"""A cancelled attempt whose end is not reported within a second frees its slot;
otherwise a driver's lost report would take the slot for good."""

_USUAL_QUANTILE: Final = 0.95
"""Time kept back for the answer of a queued request. A wrong refusal costs the
caller a return; a cut request has no known outcome and its work is lost. With the
median, 11 % of all requests ended so at 70 % capacity, with this 1.2 %, and as many
were answered in time."""

_SHORTEST_HEDGE_MS: Final = 1.0
"""Below a millisecond the answer is on its way already."""


class Attempts:
    """Open, cancel and close attempts."""

    def __init__(self, settings: HomeSettings, roster: Roster, timers: Timers) -> None:
        self._settings = settings
        self._roster = roster
        self._timers = timers
        self._running: dict[AttemptId, Attempt] = {}
        self._numbers = count(1)
        self._first_bytes = LatencyWindow()
        self.ending = 0
        """How many cancelled attempts still hold their slot."""

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
        """Send a request to a target."""
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
        """Note the first byte of an answer."""
        attempt.started_ms = now_ms
        self._first_bytes.add(now_ms - attempt.dispatched_ms)

    def close(
        self,
        attempt_id: AttemptId,
        end: AttemptEnd,
        latency_ms: float,
        wanted: bool,
        now_ms: float,
    ) -> Attempt | None:
        """Free the slot of an attempt and learn from its end.

        ``wanted`` says that requests wait for slots.
        """
        attempt = self._running.pop(attempt_id, None)
        if attempt is None:
            return None
        if attempt.cancelled:
            self.ending -= 1
        slots = attempt.slots
        if end is AttemptEnd.SHED:
            self._roster.shed(slots, now_ms)
        elif end is AttemptEnd.ANSWERED and not attempt.cancelled:
            self._roster.succeed(slots, latency_ms, wanted)
            if attempt.started_ms is None:
                self._first_bytes.add(latency_ms)
        else:
            self._roster.release(slots)
        if end not in {AttemptEnd.SHED, AttemptEnd.UNSENT}:
            self._roster.held(now_ms - attempt.dispatched_ms)
        return attempt

    def cancel(self, attempts: list[Attempt], now_ms: float) -> list[Decision]:
        """Abort attempts; each keeps its slot until its end is reported."""
        decisions: list[Decision] = []
        for attempt in attempts:
            if not attempt.cancelled:
                attempt.cancelled = True
                self.ending += 1
                self._timers.add(
                    now_ms + _LOST_REPORT_MS, TimerKind.LOST_REPORT, attempt.attempt
                )
                decisions.append(Cancel(attempt.attempt))
        return decisions

    def hedge_after_ms(self) -> float | None:
        """Return when an attempt is late, None before that is learnt."""
        late_ms = self._first_bytes.quantile_ms(self._settings.hedge_quantile)
        return None if late_ms is None else max(late_ms, _SHORTEST_HEDGE_MS)

    def usual_ms(self) -> float:
        """Return the time in which an answer can be expected, 0 if unknown."""
        return self._first_bytes.quantile_ms(_USUAL_QUANTILE) or 0.0

    def arm_hedge(
        self, pending: PendingRequest, attempt: Attempt, now_ms: float
    ) -> None:
        """Set the timer at which the attempt is late."""
        arrival = pending.arrival
        after_ms = self.hedge_after_ms()
        if not arrival.idempotent or not arrival.may_hedge or pending.hedged:
            return
        if after_ms is not None and now_ms + after_ms < arrival.deadline_ms:
            self._timers.add(now_ms + after_ms, TimerKind.HEDGE, attempt.attempt)

    def _deadline_ms(self, pending: PendingRequest, now_ms: float) -> float:
        """Return when an attempt counts as silent.

        An idempotent request leaves half of its time for another target, unless
        three times the 95th percentile needs more: a mute target would otherwise
        use up the caller's whole deadline.
        """
        deadline_ms = pending.arrival.deadline_ms
        usual_ms = self.hedge_after_ms()
        attempts_left = self._settings.max_attempts - pending.attempts
        if not pending.arrival.idempotent or usual_ms is None or attempts_left <= 0:
            return deadline_ms
        half_ms = (deadline_ms - now_ms) / 2.0
        return min(deadline_ms, now_ms + max(half_ms, 3.0 * usual_ms))
