"""Attempt one request until it is answered or may not be retried."""

import asyncio
import functools
import random
from dataclasses import replace
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.configuration import LOWEST_PRIORITY, choose_service
from crocusspindle.core.departure import Departure
from crocusspindle.core.placement_request import AttemptKind, PlacementRequest
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_signals import NO_SIGNALS
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway import instruments
from crocusspindle.gateway.hand_over import NO_PATH_RETRY_MS, HandOver
from crocusspindle.gateway.paths import Paths
from crocusspindle.gateway.placing import Placement, Placing
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import (
    LEAVING_REASON,
    LEAVING_RETRY_MS,
    Refusal,
)
from crocusspindle.gateway.target_client import AttemptResult, TargetClient
from crocusspindle.ids import NO_CUSTOMER, ServiceId
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.response_bounds import ResponseBound, ResponseBoundError

HEDGE_RETRY_MS: Final = 150.0
"""Delay before a refused hedge is requested again. Slots become free often, and a
request whose target hangs has no other way to complete."""

RETRY_POLL_S: Final = 0.05
"""How often a retry that waits for its target checks whether it may still start."""

MAX_TARGETS_TRIED: Final = 4
"""Maximum number of targets to which a request is sent if none of them runs it. If half
of the targets refuse, one request in sixteen meets four that do."""


class AttemptRunner:
    """Place and send requests; retry and hedge those that may run more than once."""

    def __init__(
        self,
        node: NodeAddress,
        client: TargetClient,
        placing: Placing,
        paths: Paths,
        hand_over: HandOver,
        policies: Policies,
        metrics: Metrics,
        rng: random.Random,
        departure: Departure,
    ) -> None:
        self._node = node
        self._departure = departure
        self._placing = placing
        self._paths = paths
        self._hand_over = hand_over
        self._hands_over = policies.has(Policy.HAND_OVER)
        self._metrics = metrics
        self._rng = rng
        self._client = client
        self._log = Logger("attempts")

    async def start(self) -> None:
        """Open the client for targets."""
        await self._client.start()

    async def stop(self) -> None:
        """Close the client for targets."""
        await self._client.stop()

    async def send(self, context: RequestContext) -> AttemptResult:
        """Return the last attempt's result.

        Raise ``Refusal`` if no target is granted and the last attempt, if there was
        one, did not run the request.
        """
        service = choose_service(context.route.weighted_services, self._rng.random())
        last_result: AttemptResult | None = None
        while True:
            if not self._may_start(context):
                return _last_or_refuse(last_result)
            if self._hands_over and self._paths.is_lost(service):
                return await self._send_elsewhere(context, service, last_result)
            kind = _next_kind(context)
            placement = await self._wait_for_placement(
                context, service, kind, last_result
            )
            if isinstance(placement, AttemptResult):
                return placement
            if not self._may_start(context):
                # It has waited for its target until too late.
                self._placing.return_unsent(placement)
                return _last_or_refuse(last_result)
            if last_result is not None:
                last_result.discard()
            last_result = await self._attempt_with_hedge(
                context, placement, service, kind
            )
            if not self._should_retry(context, last_result):
                return last_result

    def _may_start(self, context: RequestContext) -> bool:
        return self._departure.allows(context.route, context.deadline_ms, now_ms())

    def _expects_end(self, context: RequestContext) -> bool:
        return self._departure.expects_end(context.route, context.deadline_ms, now_ms())

    async def _send_elsewhere(
        self,
        context: RequestContext,
        service: ServiceId,
        last_result: AttemptResult | None,
    ) -> AttemptResult:
        if context.handed_over is None:
            if last_result is not None:
                last_result.discard()
            return await self._hand_over.send(context, service, self._may_start)
        if last_result is not None and last_result.outcome.may_have_run:
            return last_result
        raise Refusal(503, "no-path", NO_PATH_RETRY_MS)

    async def _wait_for_placement(
        self,
        context: RequestContext,
        service: ServiceId,
        kind: AttemptKind,
        last_result: AttemptResult | None,
    ) -> Placement | AttemptResult:
        """Request a target; end with what there is once a retry may not start."""
        placing = self._request_placement(context, service, kind, last_result)
        if not context.may_have_run:
            # A leaving node refuses it while it waits.
            return await placing
        waiting = asyncio.create_task(placing)
        try:
            while True:
                done, _ = await asyncio.wait((waiting,), timeout=RETRY_POLL_S)
                if done:
                    return waiting.result()
                if not self._may_start(context):
                    self._end_wait(waiting)
                    return _last_or_refuse(last_result)
        except asyncio.CancelledError:
            self._end_wait(waiting)
            raise

    def _end_wait(self, waiting: asyncio.Task[Placement | AttemptResult]) -> None:
        waiting.cancel()
        waiting.add_done_callback(self._return_late_placement)

    def _return_late_placement(
        self, waiting: asyncio.Task[Placement | AttemptResult]
    ) -> None:
        if waiting.cancelled() or waiting.exception() is not None:
            return
        placement = waiting.result()
        if isinstance(placement, Placement):
            self._placing.return_unsent(placement)

    async def _request_placement(
        self,
        context: RequestContext,
        service: ServiceId,
        kind: AttemptKind,
        last_result: AttemptResult | None,
    ) -> Placement | AttemptResult:
        placement_request = PlacementRequest(
            sender=self._node.host,
            domain=self._node.domain,
            route=context.route.name,
            idempotent=context.route.kind.idempotent,
            priority=min(context.priority, LOWEST_PRIORITY),
            aim_ms=max(0.0, context.route.aim_ms - (now_ms() - context.began_ms)),
            deadline_ms=context.deadline_ms,
            retry=kind.is_retry,
            hedge=kind is AttemptKind.HEDGE,
            counted=kind is not AttemptKind.FIRST,
            body_bytes=context.body_bytes,
            content=context.content,
            excluded=frozenset(context.tried_targets),
            customer=context.customer.customer if context.customer else NO_CUSTOMER,
        )
        placement = await self._placing.place(service, placement_request)
        if isinstance(placement, Placement):
            self._metrics.add(instruments.PLACED, service=service, kind=kind.value)
            return placement
        if last_result is not None and last_result.outcome.may_have_run:
            return last_result
        fields = {"service": service, "placer": placement.placer}
        raise Refusal(503, placement.reason, placement.retry_after_ms, fields)

    def _should_retry(self, context: RequestContext, result: AttemptResult) -> bool:
        """Return True if the request should be sent to another target."""
        if result.outcome is AttemptOutcome.ANSWERED:
            return False
        streamed = not isinstance(context.outgoing.body, bytes | None)
        is_unread = result.outcome is AttemptOutcome.WITHHELD
        if (streamed and not is_unread) or now_ms() >= context.deadline_ms:
            return False
        if not result.outcome.may_have_run:
            return len(context.tried_targets) < MAX_TARGETS_TRIED
        return (
            context.route.kind.idempotent
            and context.arrived_attempts < context.route.attempts
        )

    async def _attempt_with_hedge(
        self,
        context: RequestContext,
        placement: Placement,
        service: ServiceId,
        kind: AttemptKind,
    ) -> AttemptResult:
        """Send; hedge to a second target if an idempotent request gets no response."""
        first = asyncio.create_task(self._attempt(context, placement, kind))
        second: asyncio.Task[AttemptResult] | None = None
        chosen: AttemptResult | None = None
        try:
            wait_ms = placement.hedge_after_ms
            while second is None and self._may_hedge(context, wait_ms):
                done, _ = await asyncio.wait((first,), timeout=wait_ms / 1e3)
                if done or not self._may_hedge(context, 0.0):
                    break
                second = await self._start_hedge(context, service)
                wait_ms = HEDGE_RETRY_MS
            if second is None:
                chosen = await first
            else:
                chosen = await _first_answered(first, second)
            return chosen
        finally:
            attempts = [task for task in (first, second) if task is not None]
            for task in attempts:
                task.cancel()
            # Wait until both have recorded their outcomes for this request's log line.
            for result in await asyncio.gather(*attempts, return_exceptions=True):
                if isinstance(result, AttemptResult) and result is not chosen:
                    result.discard()

    def _apply_bounds(
        self, context: RequestContext, placement: Placement, result: AttemptResult
    ) -> None:
        """Count a bound that a response exceeds, now or while it is passed on."""
        if result.exceeded is not None:
            self._metrics.add(instruments.EXCEEDED, bound=result.exceeded.value)
        if _is_unusual(result):
            context.unusual.append(placement)
            # If others send as much, it is what was asked for.
            context.outgoing = replace(context.outgoing, may_compare=False)
        if result.is_whole:
            for other in context.unusual:
                self._placing.report_body_failure(other)
            context.unusual.clear()
        if result.target_response is not None:
            result.target_response.content.on_exceeded = functools.partial(
                self._record_exceeded, context, placement
            )

    def _record_exceeded(
        self, context: RequestContext, placement: Placement, error: ResponseBoundError
    ) -> None:
        self._metrics.add(instruments.EXCEEDED, bound=error.bound.value)
        log_state_change(
            self._log,
            "response exceeded a bound",
            request=context.request_id,
            target=placement.target.identity,
            service=placement.service,
            bound=error.bound.value,
            detail=str(error),
        )
        self._placing.report_body_failure(placement)

    def _may_hedge(self, context: RequestContext, wait_ms: float) -> bool:
        # The first attempt runs on in any case, and a second one may end before it.
        return (
            now_ms() + wait_ms < context.deadline_ms
            and self._expects_end(context)
            and context.route.kind.idempotent
            and context.arrived_attempts == 0
            and context.route.attempts > 1
            and isinstance(context.outgoing.body, bytes | None)
        )

    async def _start_hedge(
        self, context: RequestContext, service: ServiceId
    ) -> asyncio.Task[AttemptResult] | None:
        if self._hands_over and self._paths.is_lost(service):
            if context.handed_over is not None:
                return None
            return asyncio.create_task(self._hedge_elsewhere(context, service))
        try:
            placement = await self._request_placement(
                context, service, AttemptKind.HEDGE, None
            )
        except Refusal:
            return None
        if isinstance(placement, AttemptResult):
            return None
        return asyncio.create_task(self._attempt(context, placement, AttemptKind.HEDGE))

    async def _hedge_elsewhere(
        self, context: RequestContext, service: ServiceId
    ) -> AttemptResult:
        try:
            return await self._hand_over.send(context, service, self._expects_end)
        except Refusal as refusal:
            # The first attempt may still get a response.
            return AttemptResult(AttemptOutcome.SHED, 0.0, detail=refusal.reason)

    async def _attempt(
        self, context: RequestContext, placement: Placement, kind: AttemptKind
    ) -> AttemptResult:
        began_ms = now_ms()
        context.tried_targets.add(placement.target.identity)
        context.running_attempts += 1
        list_fields = self._placing.list_fields()
        departure_fields = self._departure.attempt_fields(context.route, began_ms)
        outcome, result = AttemptOutcome.ABANDONED, None
        try:
            result = await self._client.send(
                placement.target, context.outgoing, context.deadline_ms
            )
            outcome = result.outcome
            self._apply_bounds(context, placement, result)
            if outcome is AttemptOutcome.CRASHED:
                await self._placing.report_crash(
                    placement, context.content, result.latency_ms
                )
            return result
        finally:
            latency_ms = now_ms() - began_ms
            signals = result.signals if result else NO_SIGNALS
            if outcome is AttemptOutcome.WITHHELD:
                self._placing.return_unsent(placement)
            elif outcome is not AttemptOutcome.CRASHED:
                is_unusual = result is not None and _is_unusual(result)
                self._placing.report_outcome(
                    placement,
                    context.content,
                    # Another target's response shows whether it was a failure.
                    AttemptOutcome.ABANDONED if is_unusual else outcome,
                    latency_ms,
                    signals.limit_per_s,
                )
            self._paths.record(placement.target, outcome, began_ms)
            if outcome is AttemptOutcome.ANSWERED:
                self._departure.durations.record(context.route, latency_ms, now_ms())
            context.running_attempts -= 1
            context.arrived_attempts += outcome.arrived
            context.may_have_run |= outcome.may_have_run
            context.may_have_arrived |= outcome.arrived
            context.attempt_records.append(
                {
                    "target": placement.target.identity,
                    "domain": placement.target.domain,
                    "placer": placement.placer,
                    "kind": kind.value,
                    "ending": outcome.value,
                    "after_ms": round(began_ms - context.began_ms),
                    "latency_ms": round(latency_ms),
                    "detail": result.detail if result else "",
                    "limit_per_s": signals.limit_per_s,
                    "retry_after_ms": signals.retry_after_ms,
                    "leaving": signals.is_leaving,
                    **list_fields,
                    **departure_fields,
                }
            )
            self._metrics.add(instruments.ATTEMPTS, ending=outcome.value)


def _is_unusual(result: AttemptResult) -> bool:
    return result.exceeded is ResponseBound.BODY_UNUSUAL


def _last_or_refuse(last_result: AttemptResult | None) -> AttemptResult:
    """Return the last attempt's result if it may have run, else raise ``Refusal``."""
    if last_result is not None and last_result.outcome.may_have_run:
        return last_result
    if last_result is not None:
        last_result.discard()
    raise Refusal(503, LEAVING_REASON, LEAVING_RETRY_MS)


def _next_kind(context: RequestContext) -> AttemptKind:
    if context.arrived_attempts > 0:
        return AttemptKind.RETRY
    was_placed = context.handed_over is not None and context.handed_over.was_placed
    if context.attempt_records or was_placed:
        return AttemptKind.AGAIN
    return AttemptKind.FIRST


async def _first_answered(
    first: asyncio.Task[AttemptResult], second: asyncio.Task[AttemptResult]
) -> AttemptResult:
    running = {first, second}
    result: AttemptResult | None = None
    while running:
        done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            result = task.result()
            if result.outcome is AttemptOutcome.ANSWERED:
                return result
    assert result is not None
    return result
