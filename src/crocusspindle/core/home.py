"""Decide for one group of targets: queue, place, refuse, retry and hedge.

A driver feeds events in and carries the decisions out. There is no input, output,
clock or randomness here, so processes and tests in virtual time run the same code.
"""

import random
from collections import deque
from collections.abc import Iterable

from crocusspindle.core.admission import NO_TARGET_RETRY_MS, Admission
from crocusspindle.core.attempts import Attempts
from crocusspindle.core.decisions import (
    Arrival,
    AttemptEnd,
    Cancel,
    Decision,
    Dispatch,
    Fail,
    Finish,
    HomeLoad,
    HomeStatus,
    Outcome,
    RefusalReason,
    Refuse,
    TargetStatus,
)
from crocusspindle.core.fair_queue import FairQueue
from crocusspindle.core.hedging import Hedging
from crocusspindle.core.home_settings import HomeSettings
from crocusspindle.core.model import Target
from crocusspindle.core.placement import Fitness
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.retries import Budget
from crocusspindle.core.roster import Roster
from crocusspindle.core.timers import TimerKind, Timers
from crocusspindle.ids import AttemptId, CustomerId, RequestId

__all__ = [
    "Arrival",
    "AttemptEnd",
    "Cancel",
    "Decision",
    "Dispatch",
    "Fail",
    "Finish",
    "Fitness",
    "Home",
    "HomeLoad",
    "HomeSettings",
    "HomeStatus",
    "Outcome",
    "RefusalReason",
    "Refuse",
    "TargetStatus",
]


class Home:
    """Decide for one group of targets."""

    def __init__(
        self, settings: HomeSettings, health: Fitness, generator: random.Random
    ) -> None:
        self._settings = settings
        self._roster = Roster(health, settings.domain)
        self._requests: dict[RequestId, PendingRequest] = {}
        self._queue = FairQueue()
        self._retries: deque[RequestId] = deque()
        self._timers = Timers(self._is_live)
        self._retry_budget = Budget(settings.retry_fraction, settings.retry_floor_per_s)
        self._attempts = Attempts(settings, self._roster, self._timers)
        self._hedging = Hedging(settings, self._roster, self._attempts)
        self._admission = Admission(
            settings.max_queued, self._queue, self._roster, self._attempts, generator
        )
        self._now_ms = 0.0

    @classmethod
    def from_config(
        cls, settings: HomeSettings, health: Fitness, generator: random.Random
    ) -> "Home":
        """Return a home without targets."""
        return cls(settings, health, generator)

    def set_targets(self, targets: Iterable[Target], now_ms: float) -> list[Decision]:
        """Take the group's targets; work on leaving and lost ones goes on."""
        self._roster.update(targets)
        return self._advance(now_ms)

    def arrive(self, arrival: Arrival, now_ms: float) -> list[Decision]:
        """Queue, dispatch or refuse a new request; a doubled one is ignored."""
        if arrival.request in self._requests:
            return []
        if arrival.deadline_ms <= now_ms:
            reason = RefusalReason.DEADLINE_UNREACHABLE
            return [Refuse(arrival.request, reason, now_ms)]
        if not self._roster.takes_new:
            retry_at_ms = now_ms + NO_TARGET_RETRY_MS
            return [Refuse(arrival.request, RefusalReason.NO_TARGET, retry_at_ms)]
        pending = PendingRequest(
            arrival, self._admission.latest_start_ms(arrival, now_ms)
        )
        self._requests[arrival.request] = pending
        self._queue.push(
            arrival.request, arrival.customer, arrival.weight, arrival.deadline_ms
        )
        decisions = self._advance(now_ms)
        if arrival.request in self._queue:
            refusal = self._admission.judge(pending, self._requests, now_ms)
            if refusal is not None:
                self._forget(refusal.request)
                decisions.append(refusal)
        if arrival.request in self._requests:
            due_ms = arrival.deadline_ms
            if arrival.request in self._queue:
                due_ms = pending.latest_start_ms
            self._timers.add(due_ms, TimerKind.DEADLINE, arrival.request)
        return decisions

    def started(self, attempt: AttemptId, now_ms: float) -> list[Decision]:
        """Note the first byte of an answer; rivals of this attempt are cancelled."""
        found = self._attempts.get(attempt)
        if found is None or found.cancelled or found.started_ms is not None:
            return []
        self._attempts.start(found, now_ms)
        pending = self._requests[found.request]
        return self._attempts.cancel(
            [rival for rival in pending.running if rival is not found], now_ms
        )

    def ended(
        self, attempt: AttemptId, end: AttemptEnd, latency_ms: float, now_ms: float
    ) -> list[Decision]:
        """Take the end of an attempt; the second report of one is ignored."""
        if end is AttemptEnd.SHED and not self._settings.shed_is_not_run:
            end = AttemptEnd.FAILED
        wanted = bool(self._queue)
        found = self._attempts.close(attempt, end, latency_ms, wanted, now_ms)
        if found is None:
            return []
        decisions: list[Decision] = []
        pending = self._requests.get(found.request)
        if pending is not None and _counts(pending, found):
            pending.running.remove(found)
            decisions = self._conclude(pending, found, end, now_ms)
        return decisions + self._advance(now_ms)

    def withdraw(self, request: RequestId, now_ms: float) -> list[Decision]:
        """Give up a request whose caller is gone or moved to another home.

        A request that does not run ends here. What runs is cancelled and ends with
        the report of its attempt, which may still tell that nothing was sent; but
        non-idempotent work goes on, since a payment cancelled half-way has no
        outcome and one that runs to its end has.
        """
        pending = self._requests.get(request)
        if pending is None:
            return []
        pending.stopped = True
        decisions: list[Decision] = []
        if not pending.running:
            decisions = [self._fail(pending, now_ms)]
        elif pending.arrival.idempotent:
            decisions = self._attempts.cancel(pending.running, now_ms)
        return decisions + self._advance(now_ms)

    def withdraw_customer(self, customer: CustomerId, now_ms: float) -> list[Decision]:
        """Give up what a customer has queued; what runs ends without a retry."""
        return self._stop(
            [
                pending
                for pending in self._requests.values()
                if pending.arrival.customer == customer
            ],
            now_ms,
        )

    def revoke(self, credential: bytes, now_ms: float) -> list[Decision]:
        """Give up what is queued under a withdrawn key.

        Requests wait up to their deadline; without this a key would work for as
        long after its withdrawal. What runs ends without a retry or hedge.
        """
        return self._stop(
            [
                pending
                for pending in self._requests.values()
                if pending.arrival.credential == credential
            ],
            now_ms,
        )

    def tick(self, now_ms: float) -> list[Decision]:
        """Act on what fell due and on changed fitness."""
        return self._advance(now_ms)

    def next_tick_ms(self) -> float | None:
        """Return when to tick next if nothing else happens, or None."""
        due = self._timers.next_ms()
        if not self._queue and not self._retries:
            return due
        poll = self._now_ms + self._settings.poll_ms
        return poll if due is None else min(due, poll)

    def load(self) -> HomeLoad:
        """Return the load that entries choose between groups by, as last seen."""
        now_ms = self._now_ms
        capacity = self._roster.capacity(now_ms)
        running = len(self._attempts)
        queued = len(self._queue) + len(self._retries)
        ahead = max(0, queued + running + 1 - capacity)
        wait_ms = self._admission.wait_ms(ahead, now_ms) if ahead else 0.0
        return HomeLoad(queued, running, capacity, wait_ms)

    def snapshot(self) -> HomeStatus:
        """Return what operators see, as of the last event."""
        return HomeStatus(
            load=self.load(),
            targets=self._roster.status(self._now_ms),
            queued_by_customer=tuple(self._queue.customers()),
            retry_tokens=self._retry_budget.tokens,
            hedge_tokens=self._hedging.budget.tokens,
            hedge_after_ms=self._attempts.hedge_after_ms(),
        )

    def _advance(self, now_ms: float) -> list[Decision]:
        """Act on due timers, then fill free slots."""
        self._now_ms = now_ms
        decisions: list[Decision] = []
        while (due := self._timers.pop_due(now_ms)) is not None:
            kind, subject = due
            if kind is TimerKind.DEADLINE:
                decisions += self._meet_deadline(RequestId(subject), now_ms)
            elif kind is TimerKind.HEDGE:
                decisions += self._hedging.hedge(
                    AttemptId(subject), self._requests, now_ms
                )
            else:
                decisions += self.ended(
                    AttemptId(subject), AttemptEnd.SILENT, 0.0, now_ms
                )
        return decisions + self._fill(now_ms)

    def _fill(self, now_ms: float) -> list[Decision]:
        """Dispatch queued requests while there are free slots, retries first.

        A retry waited once already and the budget keeps retries few, so they
        cannot starve the queue.
        """
        if not self._queue and not self._retries:
            return []
        decisions: list[Decision] = []
        candidates = self._roster.with_room(now_ms)
        for _ in range(len(self._retries)):
            request = self._retries.popleft()
            waiting = len(self._queue) + len(self._retries) + 1
            pending = self._requests[request]
            slots = self._roster.place(pending, candidates, waiting, now_ms)
            if slots is None:
                self._retries.append(request)
            else:
                decisions.append(self._attempts.open(pending, slots, now_ms))
                candidates = self._roster.with_room(now_ms)
        while (head := self._queue.peek()) is not None:
            waiting = len(self._queue) + len(self._retries)
            pending = self._requests[head]
            slots = self._roster.place(pending, candidates, waiting, now_ms)
            if slots is None:
                break
            self._queue.pop()
            decisions.append(self._attempts.open(pending, slots, now_ms))
            if not slots.has_room(now_ms):
                candidates = [each for each in candidates if each[0] is not slots]
            self._retry_budget.deposit()
            self._hedging.budget.deposit()
        return decisions + self._hedging.give_way(
            len(self._queue) + len(self._retries), self._requests, now_ms
        )

    def _conclude(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        end: AttemptEnd,
        now_ms: float,
    ) -> list[Decision]:
        """Decide what the end of an attempt means for its request."""
        request = attempt.request
        if end is AttemptEnd.ANSWERED:
            decisions: list[Decision] = [Finish(request, attempt.attempt)]
            decisions += self._attempts.cancel(pending.running, now_ms)
            self._forget(request)
            return decisions
        if end is AttemptEnd.SHED:
            # The target's limit is lowered or the target paused, which bounds the
            # sheddings; counted, a group's first seconds would give requests up.
            pending.tried.discard(attempt.slots.target.target)
            pending.attempts -= 1
        elif end is not AttemptEnd.UNSENT:
            pending.may_have_run = True
        if pending.running and attempt.started_ms is None:
            return []
        if attempt.started_ms is None and self._may_retry(pending, end, now_ms):
            self._retries.append(request)
            return []
        return [self._fail(pending, now_ms, attempt.attempt)]

    def _may_retry(
        self, pending: PendingRequest, end: AttemptEnd, now_ms: float
    ) -> bool:
        """Return True if the request may be sent again.

        A request that may have run is sent again only if it is idempotent, and
        within the budget. One that certainly did not run costs its targets next
        to nothing and takes no token.
        """
        arrival = pending.arrival
        if pending.stopped or pending.attempts >= self._settings.max_attempts:
            return False
        if pending.may_have_run and not arrival.idempotent:
            return False
        if now_ms >= pending.latest_start_ms:
            return False
        if not self._roster.has_untried(pending.tried, now_ms):
            return False
        certainly_not_run = end in {AttemptEnd.SHED, AttemptEnd.UNSENT}
        return certainly_not_run or self._retry_budget.take(now_ms)

    def _meet_deadline(self, request: RequestId, now_ms: float) -> list[Decision]:
        """Give up a request that can no longer be answered in time."""
        pending = self._requests[request]
        arrival = pending.arrival
        if pending.running and now_ms < arrival.deadline_ms:
            self._timers.add(arrival.deadline_ms, TimerKind.DEADLINE, request)
            return []
        if request in self._queue:
            retry_at_ms = self._admission.return_ms(arrival, 0.0, now_ms)
            self._forget(request)
            reason = RefusalReason.DEADLINE_UNREACHABLE
            return [Refuse(request, reason, retry_at_ms)]
        decisions = self._attempts.cancel(pending.running, now_ms)
        return [*decisions, self._fail(pending, now_ms)]

    def _fail(
        self,
        pending: PendingRequest,
        now_ms: float,
        last_attempt: AttemptId | None = None,
    ) -> Fail:
        arrival = pending.arrival
        wait_ms = self._admission.wait_ms(1, now_ms)
        retry_at_ms = self._admission.return_ms(arrival, wait_ms, now_ms)
        self._forget(arrival.request)
        return Fail(arrival.request, pending.outcome, retry_at_ms, last_attempt)

    def _stop(self, stopped: list[PendingRequest], now_ms: float) -> list[Decision]:
        decisions: list[Decision] = []
        for pending in stopped:
            pending.stopped = True
            if pending.running:
                continue
            if pending.arrival.request in self._queue:
                request = pending.arrival.request
                self._forget(request)
                decisions.append(Refuse(request, RefusalReason.REVOKED, now_ms))
            else:
                decisions.append(self._fail(pending, now_ms))
        return decisions + self._advance(now_ms)

    def _forget(self, request: RequestId) -> None:
        del self._requests[request]
        if not self._queue.remove(request) and request in self._retries:
            self._retries.remove(request)

    def _is_live(self, kind: TimerKind, subject: int) -> bool:
        if kind is TimerKind.DEADLINE:
            return RequestId(subject) in self._requests
        return AttemptId(subject) in self._attempts


def _counts(pending: PendingRequest, attempt: Attempt) -> bool:
    """Return True if the end of the attempt decides about its request.

    Of a withdrawn request the cancelled attempts do, but not a hedge that gave way.
    """
    return attempt in pending.running and (pending.stopped or not attempt.cancelled)
