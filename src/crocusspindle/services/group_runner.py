"""Carry out the decisions of one home for one group of targets."""

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
from crocusspindle.services.handed_over import (
    Answered,
    GivenUp,
    HandedOver,
    Through,
    refusal_reason,
)
from crocusspindle.services.targets import AttemptResult, TargetClient, TargetRequest
from crocusspindle.wire import fleet_pb2 as wire

CANCELLED: Final = "cancelled"
CLIENT_ERROR: Final = 400
SERVER_ERROR: Final = 500
RETRY_MS: Final = 1_000.0
DECLINE_MS: Final = 5_000.0
"""As long as the judge waits before it says so again; a cut path then shows itself
in the heartbeats, or is whole again."""

HEALTH_TICK_S: Final = 0.1
"""Detection within 2 s wants the age of running requests looked at often; ten
looks a second cost a group of 16 targets little."""


class Rights(Protocol):
    """Say what this node may do at this moment."""

    def is_eligible(self) -> bool:
        """Return True if the node may begin new work now."""

    def key_active(self, credential: bytes) -> bool:
        """Return True if the key is still in use."""

    def approved(self, service: ServiceId, customer: CustomerId) -> bool:
        """Return True if the service's owner lets the customer call it."""


HealthSink = Callable[["GroupRunner", HealthChange], None]
OpinionSource = Callable[[TargetId], Awaitable[bool]]


class GroupRunner:
    """Drive the deciding core of one group with real time and sockets."""

    def __init__(
        self,
        name: str,
        settings: CoordinatorSettings,
        health: GroupHealth,
        client: TargetClient,
        rights: Rights,
        generator: random.Random,
        on_health: HealthSink,
        opinion: OpinionSource,
        meter: GroupMeter,
    ) -> None:
        self.name = name
        self._home = GroupCoordinator.from_config(settings, health, generator)
        self._health = health
        self._client = client
        self._rights = rights
        self._on_health = on_health
        self._opinion = opinion
        self._meter = meter
        self._requests: dict[RequestId, HandedOver] = {}
        self._attempts: dict[AttemptId, asyncio.Task[None]] = {}
        self._outstanding: dict[TargetId, dict[AttemptId, float]] = {}
        self.declines_until_ms = 0.0
        self._results: dict[AttemptId, AttemptResult] = {}
        self._side_tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._health_task = asyncio.create_task(self._watch_health())

    async def close(self) -> None:
        """Cancel what runs."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = [self._health_task, *self._attempts.values(), *self._side_tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def busy(self) -> bool:
        """Return True while requests wait or run here."""
        return bool(self._requests or self._attempts)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the group's targets from the host list."""
        listed = list(targets)
        now = now_ms()
        self._report(self._health.set_targets(listed, now))
        self._carry_out(self._home.set_targets(listed, now))

    def arrive(self, request: HandedOver) -> None:
        """Take a request; its final answer comes through its future."""
        self._requests[request.number] = request
        self._meter.arrived(request.number, now_ms())
        head = request.head
        arrival = Arrival(
            request=request.number,
            customer=CustomerId(head.customer),
            weight=head.weight,
            deadline_ms=request.deadline_ms,
            idempotent=request.repeatable,
            may_hedge=head.may_hedge and request.repeatable,
            credential=head.credential,
        )
        self._carry_out(self._home.arrive(arrival, now_ms()))

    def withdraw(self, request: HandedOver) -> None:
        """Give up a request that its entry no longer wants."""
        self._carry_out(self._home.withdraw(request.number, now_ms()))

    def forget(self, request: HandedOver) -> None:
        """Drop a request whose answer is through."""
        self._requests.pop(request.number, None)
        self._meter.forget(request.number)

    def revoke(self, credential: bytes) -> None:
        """Give up what is queued under a withdrawn key."""
        self._carry_out(self._home.revoke(credential, now_ms()))

    def load(self) -> CoordinatorLoad:
        """Return how loaded the group is."""
        return self._home.load()

    def status(self) -> tuple[CoordinatorStatus, tuple[TargetHealth, ...]]:
        """Return what operators see of the group."""
        now = now_ms()
        return self._home.snapshot(), self._health.snapshot(now)

    def _carry_out(self, decisions: Iterable[Decision]) -> None:
        for decision in decisions:
            self._carry_out_one(decision)
        self._arm_timer()

    def _carry_out_one(self, decision: Decision) -> None:
        match decision:
            case Dispatch():
                self._meter.began(decision.request, decision.attempt, now_ms())
                self._dispatch(decision)
            case Cancel(attempt):
                if attempt in self._attempts:
                    self._attempts[attempt].cancel()
            case Finish(request, attempt):
                self._answer(request, attempt, None)
            case Refuse(request, reason, retry_at_ms):
                refused = GivenUp(Outcome.NOT_RUN, refusal_reason(reason), retry_at_ms)
                self._conclude(request, refused)
            case Fail():
                self._fail(decision)

    def _dispatch(self, dispatch: Dispatch) -> None:
        now = now_ms()
        if self._health.weight(dispatch.target, now) <= PROBATION_WEIGHT:
            self._health.trial_sent(dispatch.target, now)
        task = asyncio.create_task(self._attempt(dispatch))
        self._attempts[dispatch.attempt] = task

    def _answer(
        self, request: RequestId, attempt: AttemptId, outcome: Outcome | None
    ) -> None:
        result = self._results.pop(attempt, None)
        if result is None or result.answer is None:
            given_up = GivenUp(Outcome.UNKNOWN, "no-answer", now_ms() + RETRY_MS)
            self._conclude(request, given_up)
            return
        self._conclude(request, Answered(result.answer, outcome))

    def _fail(self, failed: Fail) -> None:
        # A whole 5xx of the last target tells the caller more than a word of
        # ours, but it doesn't say whether the work was done.
        last = failed.last_attempt
        result = None if last is None else self._results.get(last)
        if last is not None and result is not None and result.answer is not None:
            self._answer(failed.request, last, failed.outcome)
            return
        reason = "target-failed" if failed.outcome is Outcome.UNKNOWN else "not-sent"
        given_up = GivenUp(failed.outcome, reason, failed.retry_at_ms)
        self._conclude(failed.request, given_up)

    def _conclude(self, request: RequestId, final: Answered | GivenUp) -> None:
        handed = self._requests.get(request)
        if handed is not None:
            handed.conclude(final)

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due_ms = self._home.next_tick_ms()
        if due_ms is None:
            self._timer = None
            return
        wait_s = max(0.0, due_ms - now_ms()) / 1e3
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._carry_out(self._home.tick(now_ms()))

    async def _attempt(self, dispatch: Dispatch) -> None:
        result = AttemptResult(AttemptEnd.SILENT, 0.0, detail=CANCELLED)
        began_ms = now_ms()
        try:
            result = await self._send(dispatch)
            await self._let_finish(dispatch, result)
        finally:
            # Also after a cancellation: the core frees the slot only when it is
            # told the end.
            del self._attempts[dispatch.attempt]
            never_sent = dispatch.attempt not in self._outstanding.get(
                dispatch.target, {}
            )
            if result.detail == CANCELLED and never_sent:
                result.end = AttemptEnd.UNSENT
            self._outstanding.get(dispatch.target, {}).pop(dispatch.attempt, None)
            self._note_end(dispatch, result, now_ms() - began_ms)

    async def _send(self, dispatch: Dispatch) -> AttemptResult:
        request = self._requests.get(dispatch.request)
        if request is None:
            return AttemptResult(AttemptEnd.UNSENT, 0.0, detail="withdrawn")
        if not await request.claim():
            return AttemptResult(AttemptEnd.UNSENT, 0.0, detail="not granted")
        head = request.head
        if not self._may_send(head):
            self.withdraw(request)
            return AttemptResult(AttemptEnd.UNSENT, 0.0, detail="no right to send")
        sending = TargetRequest(
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
        return await self._client.send(dispatch.target, sending)

    def _may_send(self, head: wire.RequestHead) -> bool:
        """Return True if the request may still go to a target.

        Checked at the moment of use: the process may have been paused, or the key or
        the owner's approval withdrawn, since the request was queued.
        """
        if not self._rights.is_eligible() or not self._rights.key_active(
            head.credential
        ):
            return False
        service, customer = ServiceId(head.service), CustomerId(head.customer)
        return self._rights.approved(service, customer)

    async def _let_finish(self, dispatch: Dispatch, result: AttemptResult) -> None:
        """Hand a long answer on and keep the slot until it is through."""
        if result.answer is None or result.answer.rest is None:
            return
        self._carry_out(self._home.started(dispatch.attempt, now_ms()))
        request = self._requests.get(dispatch.request)
        if request is None or request.final.done():
            result.answer.rest.close()
            return
        request.conclude(Answered(result.answer, None))
        through = await request.answered_through()
        if through is Through.TARGET_BROKE:
            result.end = AttemptEnd.FAILED
        elif through is Through.ENTRY_GONE:
            # A caller that hung up says nothing about the target.
            result.end = AttemptEnd.SILENT
            result.detail = CANCELLED

    def _note_end(
        self, dispatch: Dispatch, result: AttemptResult, latency_ms: float
    ) -> None:
        now = now_ms()
        self._meter.ended(dispatch.request, dispatch.attempt, result.end, now)
        if result.answer is not None:
            self._results[dispatch.attempt] = result
        judged = _judged(result)
        if judged is not None:
            sample = Sample(dispatch.target, judged, latency_ms)
            self._report(self._health.observe(sample, now))
        self._carry_out(self._home.ended(dispatch.attempt, result.end, latency_ms, now))
        self._results.pop(dispatch.attempt, None)

    def _report(self, changes: Iterable[HealthChange]) -> None:
        for change in changes:
            self._on_health(self, change)
            if isinstance(change, GroupSuspect):
                # All look bad from here while another domain reaches them: the
                # path or this node is at fault, and the next home serves better.
                self.declines_until_ms = now_ms() + DECLINE_MS
            if isinstance(change, SecondOpinionWanted):
                task = asyncio.create_task(self._ask_opinion(change.target))
                self._side_tasks.add(task)
                task.add_done_callback(self._side_tasks.discard)

    async def _ask_opinion(self, target: TargetId) -> None:
        # Without any peer to ask, the core's own wait runs out and it decides on
        # its own evidence.
        with suppress(PeerError):
            reached = await self._opinion(target)
            self._report(self._health.second_opinion(target, reached, now_ms()))
            self._carry_out(self._home.tick(now_ms()))

    def _judge_outstanding(self, now: float) -> None:
        """Let the health judge see how long targets have not answered."""
        for target, sent in list(self._outstanding.items()):
            if not sent:
                del self._outstanding[target]
                continue
            ages_ms = [now - at_ms for at_ms in sent.values()]
            self._report(self._health.outstanding(target, ages_ms, now))

    async def _watch_health(self) -> None:
        while True:
            await asyncio.sleep(HEALTH_TICK_S)
            self._judge_outstanding(now_ms())
            self._report(self._health.tick(now_ms()))
            self._carry_out(self._home.tick(now_ms()))


def _judged(result: AttemptResult) -> HealthOutcome | None:
    """Return what an attempt says of its target's health, if anything."""
    if result.end is AttemptEnd.UNSENT:
        return HealthOutcome.REFUSED if result.latency_ms else None
    if result.end is AttemptEnd.SHED:
        return HealthOutcome.SHED
    if result.end is AttemptEnd.SILENT:
        cancelled = result.detail == CANCELLED
        return HealthOutcome.ABANDONED if cancelled else HealthOutcome.TIMEOUT
    if result.end is AttemptEnd.FAILED:
        return HealthOutcome.ERROR
    status = result.answer.status if result.answer is not None else SERVER_ERROR
    return HealthOutcome.CALLER_ERROR if status >= CLIENT_ERROR else HealthOutcome.OK
