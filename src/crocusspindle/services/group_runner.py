"""Execute the decisions of the coordinator of one group of targets."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from typing import Final, Protocol

from multidict import CIMultiDict

from crocusspindle.clock import now_ms
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
    Refuse,
)
from crocusspindle.core.group_coordinator import GroupCoordinator
from crocusspindle.core.health import GroupHealth
from crocusspindle.core.health_state import (
    GroupSuspect,
    HealthChange,
    Sample,
    SecondOpinionWanted,
    TargetHealth,
)
from crocusspindle.core.health_state import Outcome as HealthOutcome
from crocusspindle.core.model import Target
from crocusspindle.core.placement import PROBATION_WEIGHT
from crocusspindle.errors import PeerError
from crocusspindle.ids import AttemptId, CustomerId, RequestId, ServiceId, TargetId
from crocusspindle.services.group_meter import GroupMeter
from crocusspindle.services.handed_over_request import (
    HandedOverRequest,
    RequestFailure,
    ResponseReceived,
    ResponseTransfer,
    refusal_reason,
)
from crocusspindle.services.targets import AttemptResult, TargetClient, TargetRequest
from crocusspindle.wire import fleet_pb2 as wire

CANCELLED: Final = "cancelled"
MIN_CLIENT_ERROR_STATUS: Final = 400
SERVER_ERROR: Final = 500
RETRY_MS: Final = 1_000.0
DECLINE_MS: Final = 5_000.0
"""Health evaluation reports a suspected group again at this interval. By then a broken
path shows in the heartbeats, or works again."""

HEALTH_CHECK_INTERVAL_S: Final = 0.1
"""Detection within 2 s needs frequent checks of the age of running attempts; ten a
second cost little for a group of 16 targets."""


class DispatchPermissions(Protocol):
    """Report whether this node may dispatch now, and for whom."""

    def is_eligible(self) -> bool:
        """Return True if the node may take new requests now."""

    def key_active(self, credential: bytes) -> bool:
        """Return True if the key is active."""

    def approved(self, service: ServiceId, customer: CustomerId) -> bool:
        """Return True if the service's owner has approved the customer."""


HealthSink = Callable[["GroupRunner", HealthChange], None]
OpinionSource = Callable[[TargetId], Awaitable[bool]]


class GroupRunner:
    """Run the coordinator of one group with real time and sockets."""

    def __init__(
        self,
        name: str,
        settings: CoordinatorSettings,
        health: GroupHealth,
        client: TargetClient,
        permissions: DispatchPermissions,
        rng: random.Random,
        on_health: HealthSink,
        second_opinion: OpinionSource,
        meter: GroupMeter,
    ) -> None:
        self.name = name
        self._coordinator = GroupCoordinator.from_config(settings, health, rng)
        self._health = health
        self._client = client
        self._permissions = permissions
        self._on_health = on_health
        self._second_opinion = second_opinion
        self._meter = meter
        self._requests: dict[RequestId, HandedOverRequest] = {}
        self._attempts: dict[AttemptId, asyncio.Task[None]] = {}
        self._outstanding: dict[TargetId, dict[AttemptId, float]] = {}
        self.declines_until_ms = 0.0
        self._results: dict[AttemptId, AttemptResult] = {}
        self._opinion_tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._health_task = asyncio.create_task(self._watch_health())

    async def close(self) -> None:
        """Cancel all attempts and tasks."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = [self._health_task, *self._attempts.values(), *self._opinion_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def busy(self) -> bool:
        """Return True while requests are queued or running here."""
        return bool(self._requests or self._attempts)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Update the group's targets from the host list."""
        listed = list(targets)
        now = now_ms()
        self._report(self._health.set_targets(listed, now))
        self._execute(self._coordinator.set_targets(listed, now))

    def arrive(self, request: HandedOverRequest) -> None:
        """Queue or dispatch a request; its result is set on its future."""
        self._requests[request.number] = request
        self._meter.arrived(request.number, now_ms())
        head = request.head
        arrival = Arrival(
            request=request.number,
            customer=CustomerId(head.customer),
            weight=head.weight,
            deadline_ms=request.deadline_ms,
            idempotent=request.retryable,
            may_hedge=head.may_hedge and request.retryable,
            credential=head.credential,
        )
        self._execute(self._coordinator.arrive(arrival, now_ms()))

    def withdraw(self, request: HandedOverRequest) -> None:
        """Give up a request; it continues if it is running and not idempotent."""
        self._execute(self._coordinator.withdraw(request.number, now_ms()))

    def forget(self, request: HandedOverRequest) -> None:
        """Drop a request whose entry awaits no result any more."""
        self._requests.pop(request.number, None)
        self._meter.forget(request.number)

    def revoke(self, credential: bytes) -> None:
        """Refuse the requests that are queued under a withdrawn key."""
        self._execute(self._coordinator.revoke(credential, now_ms()))

    def load(self) -> CoordinatorLoad:
        """Return the load of the group."""
        return self._coordinator.load()

    def status(self) -> tuple[CoordinatorStatus, tuple[TargetHealth, ...]]:
        """Return the coordinator's status and the health of its targets."""
        now = now_ms()
        return self._coordinator.snapshot(), self._health.snapshot(now)

    def _execute(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._execute_decision(decision)
        self._arm_timer()

    def _execute_decision(self, decision: Decision) -> None:
        match decision:
            case Dispatch():
                self._meter.began(decision.request, decision.attempt, now_ms())
                self._dispatch(decision)
            case Cancel(attempt):
                if attempt in self._attempts:
                    self._attempts[attempt].cancel()
            case Finish(request, attempt):
                self._respond(request, attempt, None)
            case Refuse(request, reason, retry_at_ms):
                refusal = RequestFailure(
                    Outcome.NOT_RUN, refusal_reason(reason), retry_at_ms
                )
                self._conclude(request, refusal)
            case Fail():
                self._fail(decision)

    def _dispatch(self, dispatch: Dispatch) -> None:
        now = now_ms()
        if self._health.weight(dispatch.target, now) <= PROBATION_WEIGHT:
            self._health.record_trial_sent(dispatch.target, now)
        task = asyncio.create_task(self._attempt(dispatch))
        self._attempts[dispatch.attempt] = task

    def _respond(
        self, request: RequestId, attempt: AttemptId, outcome: Outcome | None
    ) -> None:
        result = self._results.pop(attempt, None)
        if result is None or result.target_response is None:
            failure = RequestFailure(Outcome.UNKNOWN, "no-answer", now_ms() + RETRY_MS)
            self._conclude(request, failure)
            return
        self._conclude(request, ResponseReceived(result.target_response, outcome))

    def _fail(self, failed: Fail) -> None:
        # A complete 5xx response of the last target gives the caller more information
        # than an error of this node, but does not show whether the work was done.
        last = failed.last_attempt
        result = None if last is None else self._results.get(last)
        if (
            last is not None
            and result is not None
            and result.target_response is not None
        ):
            self._respond(failed.request, last, failed.outcome)
            return
        reason = "target-failed" if failed.outcome is Outcome.UNKNOWN else "not-sent"
        failure = RequestFailure(failed.outcome, reason, failed.retry_at_ms)
        self._conclude(failed.request, failure)

    def _conclude(
        self, request: RequestId, final_result: ResponseReceived | RequestFailure
    ) -> None:
        handed_over = self._requests.get(request)
        if handed_over is not None:
            handed_over.conclude(final_result)

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_ms = self._coordinator.next_tick_ms()
        if due_ms is None:
            self._timer = None
            return
        wait_s = max(0.0, due_ms - now_ms()) / 1e3
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._execute(self._coordinator.tick(now_ms()))

    async def _attempt(self, dispatch: Dispatch) -> None:
        result = AttemptResult(AttemptEnd.SILENT, 0.0, detail=CANCELLED)
        started_ms = now_ms()
        try:
            result = await self._send(dispatch)
            await self._await_transfer(dispatch, result)
        finally:
            # Also after a cancellation: the coordinator frees the slot only once the
            # end of the attempt is recorded.
            del self._attempts[dispatch.attempt]
            never_sent = dispatch.attempt not in self._outstanding.get(
                dispatch.target, {}
            )
            if result.detail == CANCELLED and never_sent:
                result.end = AttemptEnd.UNSENT
            self._outstanding.get(dispatch.target, {}).pop(dispatch.attempt, None)
            self._record_end(dispatch, result, now_ms() - started_ms)

    async def _send(self, dispatch: Dispatch) -> AttemptResult:
        request = self._requests.get(dispatch.request)
        if request is None:
            return AttemptResult(AttemptEnd.UNSENT, 0.0, detail="withdrawn")
        if not await request.claim():
            return AttemptResult(AttemptEnd.UNSENT, 0.0, detail="not granted")
        head = request.head
        if not self._may_send(head):
            self.withdraw(request)
            return AttemptResult(
                AttemptEnd.UNSENT, 0.0, detail="no longer permitted to send"
            )
        target_request = TargetRequest(
            request=head.request,
            customer=CustomerId(head.customer),
            method=head.method,
            path=head.path,
            headers=CIMultiDict((header.name, header.value) for header in head.headers),
            deadline_ms=dispatch.deadline_ms,
            body=await request.body(),
        )
        sent = self._outstanding.setdefault(dispatch.target, {})
        sent[dispatch.attempt] = now_ms()
        return await self._client.send(dispatch.target, target_request)

    def _may_send(self, head: wire.RequestHead) -> bool:
        """Return True if the request may still go to a target.

        Checked right before the attempt: since the request was queued, the process may
        have been paused, or the key or the owner's approval withdrawn.
        """
        if not self._permissions.is_eligible() or not self._permissions.key_active(
            head.credential
        ):
            return False
        service, customer = ServiceId(head.service), CustomerId(head.customer)
        return self._permissions.approved(service, customer)

    async def _await_transfer(self, dispatch: Dispatch, result: AttemptResult) -> None:
        """Pass a long response on, and keep the slot until its transfer ends."""
        if (
            result.target_response is None
            or result.target_response.open_response is None
        ):
            return
        self._execute(self._coordinator.started(dispatch.attempt, now_ms()))
        request = self._requests.get(dispatch.request)
        if request is None or request.final_result.done():
            result.target_response.open_response.close()
            return
        request.conclude(ResponseReceived(result.target_response, None))
        transfer = await request.wait_transferred()
        if transfer is ResponseTransfer.TARGET_FAILED:
            result.end = AttemptEnd.FAILED
        elif transfer is ResponseTransfer.ENTRY_LOST:
            # Counts as cancelled, not as failed: the caller may have disconnected.
            result.end = AttemptEnd.SILENT
            result.detail = CANCELLED

    def _record_end(
        self, dispatch: Dispatch, result: AttemptResult, latency_ms: float
    ) -> None:
        now = now_ms()
        self._meter.ended(dispatch.request, dispatch.attempt, result.end, now)
        if result.target_response is not None:
            self._results[dispatch.attempt] = result
        health_outcome = _health_outcome(result)
        if health_outcome is not None:
            sample = Sample(dispatch.target, health_outcome, latency_ms)
            self._report(self._health.observe(sample, now))
        self._execute(
            self._coordinator.ended(dispatch.attempt, result.end, latency_ms, now)
        )
        self._results.pop(dispatch.attempt, None)

    def _report(self, changes: Iterable[HealthChange]) -> None:
        for change in changes:
            self._on_health(self, change)
            if isinstance(change, GroupSuspect):
                # Most targets are suspected, or another domain reaches a silent one.
                # So the path or this node is likely at fault, and another coordinator
                # serves better.
                self.declines_until_ms = now_ms() + DECLINE_MS
            if isinstance(change, SecondOpinionWanted):
                task = asyncio.create_task(self._request_opinion(change.target))
                self._opinion_tasks.add(task)
                task.add_done_callback(self._opinion_tasks.discard)

    async def _request_opinion(self, target: TargetId) -> None:
        # Without a peer's reply, health evaluation times out waiting and decides on
        # local evidence.
        with suppress(PeerError):
            reached = await self._second_opinion(target)
            self._report(self._health.second_opinion(target, reached, now_ms()))
            self._execute(self._coordinator.tick(now_ms()))

    def _evaluate_outstanding(self, now: float) -> None:
        """Report the ages of unanswered attempts to health evaluation."""
        for target, sent in list(self._outstanding.items()):
            if not sent:
                del self._outstanding[target]
                continue
            ages_ms = [now - at_ms for at_ms in sent.values()]
            self._report(self._health.record_outstanding(target, ages_ms, now))

    async def _watch_health(self) -> None:
        while True:
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
            self._evaluate_outstanding(now_ms())
            self._report(self._health.tick(now_ms()))
            self._execute(self._coordinator.tick(now_ms()))


def _health_outcome(result: AttemptResult) -> HealthOutcome | None:
    """Return an attempt's outcome for health evaluation, None if it is no evidence.

    An attempt that was not sent has a latency only if connecting to the target failed.
    """
    if result.end is AttemptEnd.UNSENT:
        return HealthOutcome.REFUSED if result.latency_ms else None
    if result.end is AttemptEnd.SHED:
        return HealthOutcome.SHED
    if result.end is AttemptEnd.SILENT:
        cancelled = result.detail == CANCELLED
        return HealthOutcome.ABANDONED if cancelled else HealthOutcome.TIMEOUT
    if result.end is AttemptEnd.FAILED:
        return HealthOutcome.ERROR
    status = (
        result.target_response.status
        if result.target_response is not None
        else SERVER_ERROR
    )
    return (
        HealthOutcome.CALLER_ERROR
        if status >= MIN_CLIENT_ERROR_STATUS
        else HealthOutcome.OK
    )
