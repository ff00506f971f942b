"""Serve one caller's request: admit it, send it to a target, respond."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar, Final

from aiohttp import web

from crocusspindle.caller_connections import drop_body
from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.configuration import (
    LOWEST_PRIORITY,
    Configuration,
    CustomerRule,
)
from crocusspindle.core.departure import Departure
from crocusspindle.core.spend_result import Admitted, OverRate
from crocusspindle.core.versioned_state import VersionedState
from crocusspindle.gateway import instruments
from crocusspindle.gateway.admission import Admission
from crocusspindle.gateway.attempt_runner import AttemptRunner
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.fleet_state import UNCONFIRMED_AGE_MS, FleetState
from crocusspindle.gateway.hand_over import HandOver
from crocusspindle.gateway.hand_over_headers import HandedOver, refusal_headers
from crocusspindle.gateway.quota import NO_KEEPER_RETRY_MS, Quota
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import (
    GIVEN_UP_REASON,
    LEAVING_REASON,
    LEAVING_RETRY_MS,
    MEMORY_REASON,
    HeldResponse,
    Refusal,
    refusal_response,
    send_target_response,
)
from crocusspindle.gateway.target_client import AttemptResult
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger
from crocusspindle.metrics import Metrics

MAX_TOKEN_WAIT_FRACTION: Final = 0.125
"""Fraction of the latency objective that a request may wait for a token."""


KEEPER_WAIT_FRACTION: Final = 0.5
"""Fraction of the latency objective that a request may wait for a quota keeper that is
about to start. Typical requests still complete within the other half. One whose
deadline is later may wait until a latency objective before it: its caller gets a late
response instead of none."""

REFUSAL_INTERVAL_S: Final = 0.05
"""How often a leaving node looks for waiting requests that can't end in time."""


@dataclass(slots=True)
class ProcessedRequest:
    """Hold the result of a request before any of it is sent to the caller."""

    request_id: str
    began_ms: float
    context: RequestContext | None = None
    result: AttemptResult | None = None
    refusal: Refusal | None = None
    handed_over: HandedOver | None = None

    def release(self) -> None:
        """Free the bodies of the request and its responses."""
        if self.context is not None:
            self.context.release()
        if self.result is not None:
            self.result.discard()


class Entry(Service):
    """Serve callers' requests."""

    name: ClassVar[str] = "entry"
    needs: ClassVar[tuple[str, ...]] = (
        "knowledge",
        "placing",
        "paths",
        "hand_over",
        "quota",
        "crashes",
    )

    def __init__(
        self,
        admission: Admission,
        dialect: Dialect,
        fleet_state: FleetState,
        attempt_runner: AttemptRunner,
        hand_over: HandOver,
        quota: Quota,
        crashes: CrashSharing,
        metrics: Metrics,
        departure: Departure,
    ) -> None:
        self._departure = departure
        self._crashes = crashes
        self._admission = admission
        self._dialect = dialect
        self._fleet_state = fleet_state
        self._attempt_runner = attempt_runner
        self._hand_over = hand_over
        self._quota = quota
        self._metrics = metrics
        self._log = Logger("entry")
        self._gave_up = False
        self._refuses_waiting = False
        self._processing: dict[int, tuple[ProcessedRequest, asyncio.Timeout]] = {}
        # Requests being processed or responded to, for the log lines of a drain.
        self.running = 0

    async def start(self) -> None:
        """Open the client for targets."""
        await self._attempt_runner.start()

    async def stop(self) -> None:
        """Close the client for targets."""
        await self._attempt_runner.stop()

    @property
    def leaving(self) -> bool:
        """Return True if this node is leaving."""
        return self._departure.is_leaving

    def leave(self, began_ms: float, grace_ms: float) -> None:
        """Start no work from now on that may not end within the grace period."""
        self._departure.begin(began_ms, grace_ms)
        self.spawn(self._refuse_late())

    def give_up(self) -> None:
        """Count requests that are cancelled from now on as given up by this node."""
        self._departure.give_up_ms = min(self._departure.give_up_ms, now_ms())
        self._gave_up = True

    def refuse_waiting(self) -> None:
        """Refuse the requests that certainly have not run, and all from now on."""
        self._refuses_waiting = True
        for processed, limit in self._processing.values():
            if processed.context is None or processed.context.certainly_not_run:
                _end_at_once(limit)

    def end_running(self) -> None:
        """End all requests that wait for a response, and tell their callers.

        Responses behind them on their connections are sent then. Those that have begun
        run on.
        """
        self._refuses_waiting = True
        for _, limit in self._processing.values():
            _end_at_once(limit)

    async def _refuse_late(self) -> None:
        while True:
            late = [
                key
                for key, (processed, _) in self._processing.items()
                if self._is_late(processed)
            ]
            # An attempt that was allowed before begins in this turn of the event loop.
            await asyncio.sleep(0)
            for key in late:
                if key not in self._processing:
                    continue
                processed, limit = self._processing[key]
                if self._is_late(processed):
                    _end_at_once(limit)
            await asyncio.sleep(REFUSAL_INTERVAL_S)

    def _refusal_as_leaving(self, processed: ProcessedRequest) -> Refusal:
        context = processed.context
        if context is None or context.certainly_not_run:
            return Refusal(503, LEAVING_REASON, LEAVING_RETRY_MS)
        # An attempt may also have begun between the decision to refuse and its effect.
        fields = self._count_given_up(processed, context)
        return Refusal(504, GIVEN_UP_REASON, fields=fields)

    def _is_late(self, processed: ProcessedRequest) -> bool:
        context = processed.context
        return (
            context is not None
            and context.certainly_not_run
            and not self._departure.allows(context.route, context.deadline_ms, now_ms())
        )

    def _log_cancelled(self, processed: ProcessedRequest) -> None:
        context = processed.context
        if context is None:
            return
        if self._gave_up:
            fields = self._count_given_up(processed, context)
            self._log_end(context, "given up", fields)
        else:
            self._log_end(context, "caller left")

    def _count_given_up(
        self, processed: ProcessedRequest, context: RequestContext
    ) -> dict[str, object]:
        waited_for = _waited_for(processed, context)
        self._metrics.add(instruments.GIVEN_UP, waited_for=waited_for)
        return {"waited_for": waited_for}

    def start_early(
        self, request: web.BaseRequest
    ) -> asyncio.Task[ProcessedRequest] | None:
        """Start a pipelined request before the responses ahead of it are sent.

        Return None while this node is leaving, and for a request that is not known to
        be idempotent. That must not start early: if its connection closes before the
        responses ahead of it are sent, the caller assumes that it was not read.
        """
        if self.leaving or not self._admission.is_idempotent(request):
            return None
        return asyncio.create_task(self._process(request))

    async def handle(
        self,
        request: web.BaseRequest,
        started: asyncio.Task[ProcessedRequest] | None = None,
    ) -> web.StreamResponse:
        """Respond to one request, which may have been started early."""
        try:
            processed = await (self._process(request) if started is None else started)
        except asyncio.CancelledError:
            if started is not None:
                # Its result may have arrived in the same turn of the event loop.
                started.add_done_callback(release_result)
            raise
        self.running += 1
        try:
            response = await self._respond(request, processed)
            if isinstance(response, HeldResponse):
                await response.send(request)
            return response
        finally:
            self.running -= 1
            processed.release()

    async def _process(self, request: web.BaseRequest) -> ProcessedRequest:
        request_id = request.headers.get(self._dialect.request_id, "")
        processed = ProcessedRequest(request_id, now_ms())
        self.running += 1
        limit = asyncio.timeout(0.0 if self._refuses_waiting else None)
        try:
            async with limit:
                self._processing[id(processed)] = (processed, limit)
                await self._send(request, processed)
        except Refusal as refusal:
            # Its traceback would keep the body that was read, in a reference cycle.
            refusal.__cause__ = refusal.__context__ = None
            processed.refusal = refusal.with_traceback(None)
        except TimeoutError:
            if not limit.expired():
                raise
            processed.refusal = self._refusal_as_leaving(processed)
        except asyncio.CancelledError:
            self._log_cancelled(processed)
            raise
        finally:
            self.running -= 1
            self._processing.pop(id(processed), None)
            if processed.result is None:
                processed.release()
        return processed

    async def _send(
        self, request: web.BaseRequest, processed: ProcessedRequest
    ) -> None:
        handed_over = processed.handed_over = self._hand_over.read_mark(request)
        if handed_over is None:
            await self._run(request, processed)
            return
        processed.began_ms -= handed_over.age_ms
        self._hand_over.begin_taken()
        try:
            await self._run(request, processed)
        finally:
            self._hand_over.end_taken()

    async def _run(self, request: web.BaseRequest, processed: ProcessedRequest) -> None:
        handed_over = processed.handed_over
        context = await self._admission.admit(
            request, processed.request_id, processed.began_ms, handed_over
        )
        processed.context = context
        self._check_not_held(context)
        # The node that handed it over has spent the customer's token.
        spent: Admitted | None = None
        if context.customer is not None and handed_over is None:
            spent = await self._spend(context, context.customer)
        try:
            processed.result = await self._attempt_runner.send(context)
        finally:
            if spent is not None and context.certainly_not_arrived:
                context.token_returned = self._quota.return_token(spent)
        context.drop_body()

    def _check_not_held(self, context: RequestContext) -> None:
        refused = self._crashes.refusal(context.content)
        if refused is not None:
            raise Refusal(503, refused.reason, refused.retry_after_ms)

    async def _respond(
        self, request: web.BaseRequest, processed: ProcessedRequest
    ) -> web.StreamResponse:
        context, refusal = processed.context, processed.refusal
        if context is not None and processed.result is not None:
            try:
                return await self._send_target_response(
                    request, context, processed.result
                )
            except asyncio.CancelledError:
                self._log_cancelled(processed)
                raise
            except Refusal as error:
                refusal = error
        assert refusal is not None
        if context is not None:
            refusal.context_fields = {
                **self._log_fields(context),
                **refusal.context_fields,
            }
        self._metrics.add(instruments.REFUSED, reason=refusal.reason)
        self._log_refusal(processed, refusal)
        response = refusal_response(refusal, processed.request_id, self._dialect)
        if refusal.reason == MEMORY_REASON and request.body_exists:
            drop_body(request, response)
        if self._hand_over.is_taken(request):
            arrived = 0 if context is None else context.arrived_attempts
            response.headers.update(refusal_headers(refusal.reason, arrived))
        return response

    async def _spend(self, context: RequestContext, customer: CustomerRule) -> Admitted:
        wait_limit_ms = context.route.aim_ms * MAX_TOKEN_WAIT_FRACTION
        wait_until_ms = max(
            context.began_ms + context.route.aim_ms * KEEPER_WAIT_FRACTION,
            context.deadline_ms - context.route.aim_ms,
        )
        priority = min(context.priority, LOWEST_PRIORITY)
        asked_ms = now_ms()
        try:
            decision = await self._quota.spend(
                customer, wait_limit_ms, wait_until_ms, priority
            )
        finally:
            context.quota_wait_ms = now_ms() - asked_ms
        if isinstance(decision, OverRate):
            raise Refusal(429, "rate", decision.retry_after_ms)
        if not isinstance(decision, Admitted):
            raise Refusal(503, "no-keeper", NO_KEEPER_RETRY_MS)
        return decision

    async def _send_target_response(
        self, request: web.BaseRequest, context: RequestContext, result: AttemptResult
    ) -> web.StreamResponse:
        if result.target_response is None:
            raise _refusal_after(context, result)
        if result.target_response.content.held.is_dropped:
            raise Refusal(502, MEMORY_REASON)
        response = await send_target_response(
            request, result.target_response, context.deadline_ms
        )
        latency_ms = now_ms() - context.began_ms
        self._metrics.record(
            instruments.REQUEST_MS, latency_ms, route=context.route.kind.value
        )
        self._log_end(context, str(response.status))
        return response

    def _log_fields(self, context: RequestContext) -> dict[str, object]:
        configuration = self._fleet_state.configuration
        return {
            "route": context.route.name,
            "kind": context.route.kind.value,
            "aim_ms": round(context.route.aim_ms),
            "customer": context.customer.customer if context.customer else None,
            "keeper": self._quota.keeper_of(context.customer)
            if context.customer
            else None,
            "view": self._fleet_state.view.version,
            "sends": context.attempt_records,
            "handed_over_by": context.handed_over and context.handed_over.sender,
            "body_bytes": context.body_bytes,
            "content": context.content,
            "quota_wait_ms": round(context.quota_wait_ms),
            "token_returned": context.token_returned,
            **self._departure.request_fields(context.began_ms),
            "version": configuration.version,
            "proof_age_ms": _age_ms(configuration),
        }

    def _log_end(
        self,
        context: RequestContext,
        outcome: str,
        fields: Mapping[str, object] | None = None,
    ) -> None:
        self._metrics.add(instruments.RESPONSES, outcome=outcome)
        self._log.info(
            "request ended",
            extra={
                "request": context.request_id,
                "outcome": outcome,
                "took_ms": round(now_ms() - context.began_ms),
                **(fields or {}),
                **self._log_fields(context),
            },
        )

    def _log_refusal(self, processed: ProcessedRequest, refusal: Refusal) -> None:
        configuration = self._fleet_state.configuration
        self._log.info(
            "request refused",
            extra={
                "request": processed.request_id,
                "outcome": str(refusal.status),
                "reason": refusal.reason,
                "retry_after_ms": refusal.retry_after_ms,
                "took_ms": round(now_ms() - processed.began_ms),
                "version": configuration.version,
                "proof_age_ms": _age_ms(configuration),
                **refusal.context_fields,
            },
        )


def _waited_for(processed: ProcessedRequest, context: RequestContext) -> str:
    """Return what a request waited for as the node gave it up."""
    if processed.result is not None:
        return "caller"
    # The attempts that were cancelled with it have just been recorded.
    return "place" if context.certainly_not_run else "response"


def _end_at_once(limit: asyncio.Timeout) -> None:
    # One that has expired, and whose request still ends, can't be set again.
    if limit.when() is None:
        limit.reschedule(asyncio.get_running_loop().time())


def release_result(task: asyncio.Task[ProcessedRequest]) -> None:
    """Free the result of a request that was started early for a caller that left."""
    if not task.cancelled() and task.exception() is None:
        task.result().release()


def _refusal_after(context: RequestContext, result: AttemptResult) -> Refusal:
    if not context.may_have_run:
        return Refusal(503, f"target-{result.outcome.value}", 200.0)
    if result.outcome is AttemptOutcome.SILENT:
        return Refusal(504, "target-silent")
    return Refusal(502, f"target-{result.outcome.value}")


def _age_ms(state: VersionedState[Configuration, int]) -> int:
    return round(min(state.age_ms(now_ms()), UNCONFIRMED_AGE_MS))
