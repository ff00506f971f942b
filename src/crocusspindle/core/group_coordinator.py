"""Coordinate the requests to one group of targets: queue, place, refuse, retry, hedge.

A driver feeds events in and carries the decisions out. The code does no input or
output and has no clock or source of randomness of its own, so that processes and
tests in virtual time run the same code.
"""

import random
from collections import deque
from collections.abc import Iterable

from crocusspindle.core.admission import NO_TARGET_RETRY_MS, Admission
from crocusspindle.core.attempts import Attempts
from crocusspindle.core.coordinator_settings import CoordinatorSettings
from crocusspindle.core.decisions import (
    Arrival,
    AttemptEnd,
    Cancel,
    CoordinatorLoad,
    CoordinatorStatus,
    Decision,
    Dispatch,
    Fail,
    Finish,
    Outcome,
    RefusalReason,
    Refuse,
    TargetStatus,
)
from crocusspindle.core.fair_queue import FairQueue
from crocusspindle.core.hedging import Hedging
from crocusspindle.core.model import Target
from crocusspindle.core.placement import TargetWeights
from crocusspindle.core.requests import Attempt, PendingRequest
from crocusspindle.core.retry_tokens import RetryTokens
from crocusspindle.core.target_pool import TargetPool
from crocusspindle.core.timers import TimerKind, Timers
from crocusspindle.ids import AttemptId, CustomerId, RequestId

__all__ = [
    "Arrival",
    "AttemptEnd",
    "Cancel",
    "CoordinatorLoad",
    "CoordinatorSettings",
    "CoordinatorStatus",
    "Decision",
    "Dispatch",
    "Fail",
    "Finish",
    "GroupCoordinator",
    "Outcome",
    "RefusalReason",
    "Refuse",
    "TargetStatus",
    "TargetWeights",
]


class GroupCoordinator:
    """Queue the requests of one group of targets and decide when and where they run."""

    def __init__(
        self,
        settings: CoordinatorSettings,
        weights: TargetWeights,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._target_pool = TargetPool(weights, settings.domain)
        self._requests: dict[RequestId, PendingRequest] = {}
        self._queue: FairQueue[RequestId] = FairQueue()
        self._retries: deque[RequestId] = deque()
        self._timers = Timers(self._is_live)
        self._retry_tokens = RetryTokens(
            settings.retry_fraction, settings.retry_floor_per_s
        )
        self._attempts = Attempts(settings, self._target_pool, self._timers)
        self._hedging = Hedging(settings, self._target_pool, self._attempts)
        self._admission = Admission(
            settings.max_queued,
            self._queue,
            self._target_pool,
            self._attempts,
            generator,
        )
        self._now_ms = 0.0

    @classmethod
    def from_config(
        cls,
        settings: CoordinatorSettings,
        weights: TargetWeights,
        generator: random.Random,
    ) -> "GroupCoordinator":
        """Return a coordinator without targets."""
        return cls(settings, weights, generator)

    def set_targets(self, targets: Iterable[Target], now_ms: float) -> list[Decision]:
        """Set the group's targets; attempts on leaving and unlisted ones continue."""
        self._target_pool.update(targets)
        return self._advance(now_ms)

    def arrive(self, arrival: Arrival, now_ms: float) -> list[Decision]:
        """Queue, dispatch or refuse a new request; a duplicate is ignored."""
        if arrival.request in self._requests:
            return []
        if arrival.deadline_ms <= now_ms:
            reason = RefusalReason.DEADLINE_UNREACHABLE
            return [Refuse(arrival.request, reason, now_ms)]
        if not self._target_pool.accepts_new:
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
            refusal = self._admission.find_refusal(pending, self._requests, now_ms)
            if refusal is not None:
                self._drop(refusal.request)
                decisions.append(refusal)
        if arrival.request in self._requests:
            due_ms = arrival.deadline_ms
            if arrival.request in self._queue:
                due_ms = pending.latest_start_ms
            self._timers.add(due_ms, TimerKind.DEADLINE, arrival.request)
        return decisions

    def started(self, attempt: AttemptId, now_ms: float) -> list[Decision]:
        """Record the first byte of a response and cancel the other attempts."""
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
        """Handle the end of an attempt; a second report of it is ignored."""
        if end is AttemptEnd.SHED and not self._settings.shed_is_not_run:
            end = AttemptEnd.FAILED
        has_queued = bool(self._queue)
        found = self._attempts.close(attempt, end, latency_ms, has_queued, now_ms)
        if found is None:
            return []
        decisions: list[Decision] = []
        pending = self._requests.get(found.request)
        if pending is not None and _applies_to_request(pending, found):
            pending.running.remove(found)
            decisions = self._apply_end(pending, found, end, now_ms)
        return decisions + self._advance(now_ms)

    def withdraw(self, request: RequestId, now_ms: float) -> list[Decision]:
        """Give up a request whose caller left or moved to another coordinator.

        A request without a running attempt ends at once. A running attempt is
        cancelled and its report ends the request, since it may still show that
        nothing was sent. Non-idempotent work continues: a payment cancelled half-way
        has no known outcome, one that runs to its end has.
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
        """Give up a customer's queued requests; running ones get no retry."""
        return self._withdraw_all(
            [
                pending
                for pending in self._requests.values()
                if pending.arrival.customer == customer
            ],
            now_ms,
        )

    def revoke(self, credential: bytes, now_ms: float) -> list[Decision]:
        """Give up the requests queued under a withdrawn key.

        Requests wait up to their deadline, and a withdrawn key would keep working
        for as long. Running requests get no retry or hedge.
        """
        return self._withdraw_all(
            [
                pending
                for pending in self._requests.values()
                if pending.arrival.credential == credential
            ],
            now_ms,
        )

    def tick(self, now_ms: float) -> list[Decision]:
        """Handle due timers and changed target weights."""
        return self._advance(now_ms)

    def next_tick_ms(self) -> float | None:
        """Return when to call ``tick`` if no other event comes first, or None."""
        due = self._timers.next_ms()
        if not self._queue and not self._retries:
            return due
        poll = self._now_ms + self._settings.poll_ms
        return poll if due is None else min(due, poll)

    def load(self) -> CoordinatorLoad:
        """Return the load by which entries choose a group, as of the last event."""
        now_ms = self._now_ms
        capacity = self._target_pool.capacity(now_ms)
        running = len(self._attempts)
        queued = len(self._queue) + len(self._retries)
        ahead = max(0, queued + running + 1 - capacity)
        wait_ms = self._admission.wait_ms(ahead, now_ms) if ahead else 0.0
        return CoordinatorLoad(queued, running, capacity, wait_ms)

    def snapshot(self) -> CoordinatorStatus:
        """Return the status shown to operators, as of the last event."""
        return CoordinatorStatus(
            load=self.load(),
            targets=self._target_pool.status(self._now_ms),
            queued_by_customer=tuple(self._queue.customers()),
            retry_tokens=self._retry_tokens.available,
            hedge_tokens=self._hedging.tokens.available,
            hedge_after_ms=self._attempts.hedge_after_ms(),
        )

    def _advance(self, now_ms: float) -> list[Decision]:
        """Handle due timers, then dispatch to free slots."""
        self._now_ms = now_ms
        decisions: list[Decision] = []
        while (due := self._timers.pop_due(now_ms)) is not None:
            kind, subject = due
            if kind is TimerKind.DEADLINE:
                decisions += self._expire(RequestId(subject), now_ms)
            elif kind is TimerKind.HEDGE:
                decisions += self._hedging.hedge(
                    AttemptId(subject), self._requests, now_ms
                )
            else:
                decisions += self.ended(
                    AttemptId(subject), AttemptEnd.SILENT, 0.0, now_ms
                )
        return decisions + self._dispatch_queued(now_ms)

    def _dispatch_queued(self, now_ms: float) -> list[Decision]:
        """Dispatch queued requests while there are free slots, retries first.

        A retry has already waited once. Retry tokens bound the retries of requests that
        may have run, so that they cannot starve the queue.
        """
        if not self._queue and not self._retries:
            return []
        decisions: list[Decision] = []
        candidates = self._target_pool.with_room(now_ms)
        for _ in range(len(self._retries)):
            request = self._retries.popleft()
            queued_count = len(self._queue) + len(self._retries) + 1
            pending = self._requests[request]
            slots = self._target_pool.place(pending, candidates, queued_count, now_ms)
            if slots is None:
                self._retries.append(request)
            else:
                decisions.append(self._attempts.open(pending, slots, now_ms))
                candidates = self._target_pool.with_room(now_ms)
        while (head := self._queue.peek()) is not None:
            queued_count = len(self._queue) + len(self._retries)
            pending = self._requests[head]
            slots = self._target_pool.place(pending, candidates, queued_count, now_ms)
            if slots is None:
                break
            self._queue.pop()
            decisions.append(self._attempts.open(pending, slots, now_ms))
            if not slots.has_room(now_ms):
                candidates = [each for each in candidates if each[0] is not slots]
            self._retry_tokens.deposit()
            self._hedging.tokens.deposit()
        return decisions + self._hedging.preempt(
            len(self._queue) + len(self._retries), self._requests, now_ms
        )

    def _apply_end(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        end: AttemptEnd,
        now_ms: float,
    ) -> list[Decision]:
        """Finish, retry or fail a request after the end of one of its attempts."""
        request = attempt.request
        if end is AttemptEnd.ANSWERED:
            decisions: list[Decision] = [Finish(request, attempt.attempt)]
            decisions += self._attempts.cancel(pending.running, now_ms)
            self._drop(request)
            return decisions
        if end is AttemptEnd.SHED:
            # Not counted as an attempt: shedding is bounded, since it lowers the limit
            # or pauses the target. In a new group, whose targets' limits are not learnt
            # yet, requests would otherwise use up their attempts and fail.
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

        A request that may have run is sent again only if it is idempotent and a
        token is available. One that certainly did not run costs its targets almost
        nothing and needs no token.
        """
        arrival = pending.arrival
        if pending.stopped or pending.attempts >= self._settings.max_attempts:
            return False
        if pending.may_have_run and not arrival.idempotent:
            return False
        if now_ms >= pending.latest_start_ms:
            return False
        if not self._target_pool.has_untried(pending.tried, now_ms):
            return False
        certainly_not_run = end in {AttemptEnd.SHED, AttemptEnd.UNSENT}
        return certainly_not_run or self._retry_tokens.try_spend(now_ms)

    def _expire(self, request: RequestId, now_ms: float) -> list[Decision]:
        """Refuse or fail a request that can no longer be answered in time."""
        pending = self._requests[request]
        arrival = pending.arrival
        if pending.running and now_ms < arrival.deadline_ms:
            self._timers.add(arrival.deadline_ms, TimerKind.DEADLINE, request)
            return []
        if request in self._queue:
            retry_at_ms = self._admission.retry_time_ms(arrival, 0.0, now_ms)
            self._drop(request)
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
        retry_at_ms = self._admission.retry_time_ms(arrival, wait_ms, now_ms)
        self._drop(arrival.request)
        return Fail(arrival.request, pending.outcome, retry_at_ms, last_attempt)

    def _withdraw_all(
        self, stopped: list[PendingRequest], now_ms: float
    ) -> list[Decision]:
        decisions: list[Decision] = []
        for pending in stopped:
            pending.stopped = True
            if pending.running:
                continue
            if pending.arrival.request in self._queue:
                request = pending.arrival.request
                self._drop(request)
                decisions.append(Refuse(request, RefusalReason.REVOKED, now_ms))
            else:
                decisions.append(self._fail(pending, now_ms))
        return decisions + self._advance(now_ms)

    def _drop(self, request: RequestId) -> None:
        del self._requests[request]
        if not self._queue.remove(request) and request in self._retries:
            self._retries.remove(request)

    def _is_live(self, kind: TimerKind, subject: int) -> bool:
        if kind is TimerKind.DEADLINE:
            return RequestId(subject) in self._requests
        return AttemptId(subject) in self._attempts


def _applies_to_request(pending: PendingRequest, attempt: Attempt) -> bool:
    """Return True if the end of the attempt is to be applied to its request.

    A cancelled attempt is applied only if its request was withdrawn, and never if it
    is a hedge that was preempted.
    """
    return attempt in pending.running and (pending.stopped or not attempt.cancelled)
