"""Authenticate, admit and run callers' requests, and report their outcome."""

import asyncio
import itertools
import secrets
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import ClientError, web
from aiohttp.http_exceptions import HttpProcessingError

from crocusspindle import instruments
from crocusspindle.caller_connections import drop_body
from crocusspindle.clock import now_ms
from crocusspindle.core.caller_addresses import caller_addresses
from crocusspindle.core.decisions import Outcome
from crocusspindle.core.directory import key_digest
from crocusspindle.core.loans import Ineligible, OverRate, Spent
from crocusspindle.core.memory_bound import MemoryBound
from crocusspindle.core.model import Customer, Route
from crocusspindle.core.operation_records import OperationName, StoredResponse
from crocusspindle.core.rendezvous import order
from crocusspindle.gateway.held_memory import (
    PAUSED_BYTES,
    STALL_MS,
    HeldBytes,
    HeldMemory,
    RequestMemory,
)
from crocusspindle.ids import CustomerId, DomainId, MemberId, OperationKey
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.services import error_responses
from crocusspindle.services.caller_response import (
    ResponseRecorder,
    relay_response,
    repeated_response,
)
from crocusspindle.services.control import ControlService
from crocusspindle.services.error_responses import ErrorResponse, RefusedError
from crocusspindle.services.hand_over import (
    CallerRequest,
    CoordinatorResponse,
    HandOverService,
    HandOverState,
)
from crocusspindle.services.handed_over_request import RequestFailure
from crocusspindle.services.operations import (
    OperationGrant,
    OperationsService,
    fingerprint_of,
)
from crocusspindle.services.peers import Peers
from crocusspindle.services.rates import RatesService
from crocusspindle.services.targets import CUSTOMER, REQUEST_ID, TIMEOUT, forwarded
from crocusspindle.settings_schema import NodeSettings

WHERE_PATH: Final = "/.well-known/crocusspindle/where"
OWN_PATH_PREFIX: Final = "/.well-known/crocusspindle/"
OPERATION_KEY: Final = "Idempotency-Key"
MAX_OPERATION_KEY_CHARS: Final = 200
BODY_ERRORS: Final = (
    ClientError,
    HttpProcessingError,
    ConnectionError,
    web.RequestPayloadError,
)
MAX_TIMEOUT_MS: Final = 600_000.0

PRIVATE_HEADERS: Final = frozenset(
    {
        "authorization",
        "expect",
        "host",
        "content-length",
        CUSTOMER.lower(),
        TIMEOUT.lower(),
        REQUEST_ID.lower(),
    }
)
"""Not forwarded: a target must not see the caller's key, nor may a caller set the
customer, deadline or request id that targets receive."""


class EntryService(Service):
    """Serve requests that arrive on the port for callers."""

    name = "entry"
    needs = ("control", "peers", "rates", "hand_over", "operations")

    def __init__(
        self,
        settings: NodeSettings,
        control: ControlService,
        peers: Peers,
        rates: RatesService,
        hand_over: HandOverService,
        operations: OperationsService,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._control = control
        self._peers = peers
        self._rates = rates
        self._hand_over = hand_over
        self._operations = operations
        self._metrics = metrics
        self._logger = Logger("entry")
        self._request_numbers = itertools.count(1)
        self._request_id_prefix = secrets.token_hex(6)
        bound = MemoryBound(settings.caller.held_body_bytes)
        self._memory = HeldMemory(bound)
        self._named_operations: set[asyncio.Task[web.StreamResponse]] = set()
        self.running = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request of a caller."""
        name = f"{self._request_id_prefix}-{next(self._request_numbers)}"
        started_ms = now_ms()
        service, caller = "none", "none"
        self.running += 1
        try:
            customer, credential = self._authenticate(request)
            caller = customer.customer
            if request.path.startswith(OWN_PATH_PREFIX):
                return self._serve_own_path(request, customer)
            route = self._route(request, customer)
            service = route.service
            response = await self._serve(request, name, customer, credential, route)
        except RefusedError as refused:
            reason = refused.error_response.reason
            self._metrics.add(instruments.REFUSALS, service=service, reason=reason)
            response = refused.error_response.response(name)
            if refused.error_response is error_responses.BODY_MEMORY:
                drop_body(request, response)
        except Exception as error:
            # After an internal error the request may have run, and the response has to
            # say so.
            log_state_change(self._logger, "request failed", error=repr(error))
            self._logger.debug("request failed", exc_info=True)
            response = error_responses.INTERNAL.response(name)
        finally:
            self.running -= 1
        self._record_metrics(response, service, caller, started_ms)
        return response

    def _record_metrics(
        self, response: web.StreamResponse, service: str, caller: str, started_ms: float
    ) -> None:
        outcome = response.headers.get(error_responses.OUTCOME, error_responses.RAN)
        self._metrics.add(instruments.REQUESTS, service=service, outcome=outcome)
        self._metrics.add(
            instruments.CUSTOMER_REQUESTS, customer=caller, outcome=outcome
        )
        self._metrics.record(
            instruments.REQUEST_MS, now_ms() - started_ms, service=service
        )

    def _authenticate(self, request: web.BaseRequest) -> tuple[Customer, bytes]:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        directory = self._control.directory
        customer_id = directory.authenticate(key.strip())
        customer = None if customer_id is None else directory.customer(customer_id)
        if scheme.lower() != "bearer" or customer is None:
            raise RefusedError(error_responses.UNAUTHENTICATED)
        return customer, key_digest(key.strip())

    def _route(self, request: web.BaseRequest, customer: Customer) -> Route:
        route = self._control.directory.route(request.path)
        if route is None:
            raise RefusedError(error_responses.NO_ROUTE)
        if not self._control.directory.approved(route.service, customer.customer):
            raise RefusedError(error_responses.NOT_APPROVED)
        return route

    def _serve_own_path(
        self, request: web.BaseRequest, customer: Customer
    ) -> web.Response:
        if request.path != WHERE_PATH:
            raise RefusedError(error_responses.NO_ROUTE)
        self._check_eligible(customer.customer)
        addresses = [
            {"address": address, "domain": domain}
            for address, domain in self._addresses(customer)
        ]
        max_age_ms = self._settings.timings.where_max_age_ms
        return web.json_response(
            {"addresses": addresses, "max_age_ms": max_age_ms},
            headers={"Cache-Control": f"private, max-age={int(max_age_ms / 1e3)}"},
        )

    def _addresses(self, customer: Customer) -> list[tuple[str, DomainId]]:
        """Return the addresses for a customer's callers, best first.

        Holders of the customer's shares spend tokens without a loan. The other
        members follow in the customer's rendezvous order, which spreads customers.
        """
        view = self._control.view
        if view is None:
            return []
        key = customer.customer.encode()
        ranked_ids = [*self._rates.holders(customer), *order(key, view.names)]
        members = [
            member
            for member_id in dict.fromkeys(ranked_ids)
            if (member := view.find(member_id)) is not None
        ]
        own = view.find(self._control.own_member.member)
        return caller_addresses(members, self._serves, own)

    def _serves(self, member: MemberId) -> bool:
        if member == self._control.own_member.member:
            return self._control.is_eligible() and not self._control.draining
        return self._peers.usable(member)

    def _check_eligible(self, customer: CustomerId) -> None:
        if self._control.is_eligible():
            return
        # An isolated node may hold withdrawn keys and spent shares. The refusal
        # names other nodes, so that callers can move at once.
        view = self._control.view
        others = [] if view is None else order(customer.encode(), view.names)
        other_addresses = (
            [
                member.caller_address
                for name in others
                if (member := view.find(name))
                and name != self._control.own_member.member
            ]
            if view is not None
            else []
        )
        detail = "this node is cut off; other addresses: " + ", ".join(
            other_addresses[:3]
        )
        retry_at_ms = now_ms() + self._settings.timings.heartbeat_ms
        raise RefusedError(ErrorResponse(503, "unfit", detail, retry_at_ms=retry_at_ms))

    async def _serve(
        self,
        request: web.BaseRequest,
        name: str,
        customer: Customer,
        credential: bytes,
        route: Route,
    ) -> web.StreamResponse:
        self._check_eligible(customer.customer)
        deadline_ms = self._deadline_ms(request, route)
        memory = self._memory.request(customer.customer, name)
        try:
            body, body_rest = await self._read_body(request, deadline_ms, memory)
            spent = await self._spend_token(customer)
            idempotent = request.method in route.idempotent_methods
            service = self._control.directory.service(route.service)
            call = CallerRequest(
                request=name,
                customer=customer.customer,
                service=route.service,
                method=request.method,
                path=request.raw_path
                if hasattr(request, "raw_path")
                else request.path_qs,
                headers=_target_headers(request),
                weight=customer.weight * customer.rate_per_s,
                deadline_ms=deadline_ms,
                idempotent=idempotent,
                may_hedge=idempotent and service is not None and service.hedge,
                credential=credential,
                body=body,
                body_rest=body_rest,
            )
            return await self._run_detached_if_named(request, call, spent)
        finally:
            memory.release()

    async def _run_detached_if_named(
        self, request: web.BaseRequest, call: CallerRequest, spent: Spent
    ) -> web.StreamResponse:
        """Run a request; a named operation runs on if its caller disconnects.

        A lost connection cancels any other request. A cancelled operation would stay
        unknown for as long as its key is kept, and a caller that repeats it could
        never get the response.
        """
        if call.idempotent or OPERATION_KEY not in request.headers:
            return await self._run(request, call, spent)
        task = asyncio.create_task(self._run(request, call, spent))
        self.running += 1
        self._named_operations.add(task)
        task.add_done_callback(self._end_named_operation)
        return await asyncio.shield(task)

    def _end_named_operation(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.running -= 1
        self._named_operations.discard(task)
        # Retrieves the exception, so that asyncio does not report a refusal whose
        # caller has disconnected.
        if not task.cancelled():
            task.exception()

    async def _run(
        self, request: web.BaseRequest, call: CallerRequest, spent: Spent
    ) -> web.StreamResponse:
        begin_result = await self._begin_operation(request, call)
        if isinstance(begin_result, StoredResponse):
            self._rates.refund(call.customer, spent)
            return repeated_response(begin_result, call.request)
        if isinstance(begin_result, RequestFailure):
            self._rates.refund(call.customer, spent)
            raise RefusedError(error_responses.failure_response(begin_result))
        dispatch_by_ms = None if begin_result is None else begin_result.dispatch_by_ms
        state = HandOverState(call, dispatch_by_ms=dispatch_by_ms)
        try:
            result = await self._hand_over.run(state)
            if not isinstance(result, RequestFailure):
                return await self._respond(request, call, result, begin_result)
            if result.outcome is Outcome.NOT_RUN:
                self._rates.refund(call.customer, spent)
                if begin_result is not None:
                    self._operations.report_released(begin_result)
            raise RefusedError(error_responses.failure_response(result))
        finally:
            await state.close()

    async def _respond(
        self,
        request: web.BaseRequest,
        call: CallerRequest,
        result: CoordinatorResponse,
        grant: OperationGrant | None,
    ) -> web.StreamResponse:
        if grant is None:
            return await relay_response(request, call.request, result, None)
        recorder = ResponseRecorder(self._settings.limits.answer_kept_bytes)
        response = await relay_response(request, call.request, result, recorder)
        self._operations.report_finished(grant, recorder.stored_response(result))
        return response

    async def _begin_operation(
        self, request: web.BaseRequest, call: CallerRequest
    ) -> OperationGrant | StoredResponse | RequestFailure | None:
        key = request.headers.get(OPERATION_KEY)
        if call.idempotent or key is None:
            return None
        if not 0 < len(key) <= MAX_OPERATION_KEY_CHARS or not key.isprintable():
            raise RefusedError(error_responses.BAD_OPERATION_KEY)
        name = OperationName(call.customer, OperationKey(key))
        return await self._operations.begin(
            name, fingerprint_of(call.method, call.path, call.body)
        )

    def _deadline_ms(self, request: web.BaseRequest, route: Route) -> float:
        service = self._control.directory.service(route.service)
        max_ms = MAX_TIMEOUT_MS if service is None else service.timeout_ms
        text = request.headers.get(TIMEOUT)
        if text is None:
            return now_ms() + max_ms
        try:
            requested_ms = float(text)
        except ValueError:
            raise RefusedError(error_responses.BAD_TIMEOUT) from None
        if not 0 < requested_ms < float("inf"):
            raise RefusedError(error_responses.BAD_TIMEOUT)
        return now_ms() + min(requested_ms, max_ms)

    async def _read_body(
        self, request: web.BaseRequest, deadline_ms: float, memory: RequestMemory
    ) -> tuple[bytes, AsyncIterator[bytes] | None]:
        """Return the start of the body, and an iterator over the rest of a longer one.

        A short body is read completely before the request is queued, so that a slow
        sender holds no slot and the request can be retried.
        """
        if not request.body_exists:
            return b"", None
        limit = self._settings.caller.body_buffer_bytes
        length = request.content_length
        reserved = limit if length is None else min(length, limit)
        if self._memory.refuses_body(reserved):
            raise RefusedError(error_responses.BODY_MEMORY)
        # What the connection holds beside the buffer counts, too.
        held = memory.body()
        held.resize(reserved + min(reserved, PAUSED_BYTES))
        body_start = bytearray()
        while len(body_start) < limit:
            chunk = await self._read_start_chunk(request, deadline_ms, held)
            if not chunk:
                held.finish(len(body_start))
                return bytes(body_start), None
            body_start += chunk
        held.finish(len(body_start) + PAUSED_BYTES)
        return bytes(body_start), self._read_rest(request)

    async def _read_start_chunk(
        self, request: web.BaseRequest, deadline_ms: float, held: HeldBytes
    ) -> bytes:
        """Read a part of the body before its request is sent anywhere.

        While bodies fill the memory, one that stands still makes room for others.
        """
        until_ms = min(deadline_ms, now_ms() + self._settings.caller.slow_sender_ms)
        while True:
            try:
                wait_ms = max(0.0, min(until_ms - now_ms(), STALL_MS))
                async with asyncio.timeout(wait_ms / 1e3):
                    return await request.content.readany()
            except TimeoutError:
                if held.must_progress:
                    raise RefusedError(error_responses.BODY_MEMORY) from None
                if now_ms() >= until_ms:
                    raise RefusedError(error_responses.SLOW_SENDER) from None
            except BODY_ERRORS:
                raise RefusedError(error_responses.TRUNCATED_BODY) from None

    async def _read_rest(self, request: web.BaseRequest) -> AsyncIterator[bytes]:
        while chunk := await self._read_chunk(request):
            yield chunk

    async def _read_chunk(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(self._settings.caller.slow_sender_ms / 1e3):
                return await request.content.readany()
        except TimeoutError:
            raise RefusedError(error_responses.SLOW_SENDER) from None
        except BODY_ERRORS:
            raise RefusedError(error_responses.TRUNCATED_BODY) from None

    async def _spend_token(self, customer: Customer) -> Spent:
        result = await self._rates.spend(customer.customer)
        if isinstance(result, Spent):
            return result
        if isinstance(result, Ineligible):
            self._check_eligible(customer.customer)
        retry_at_ms = now_ms() + self._settings.timings.heartbeat_ms
        if isinstance(result, OverRate):
            retry_at_ms = result.retry_at_ms
            self._metrics.add(instruments.SHARE_REFUSALS, customer=customer.customer)
        raise RefusedError(
            ErrorResponse(
                429,
                "rate",
                f"over the rate of {customer.rate_per_s:g}/s, burst {customer.burst}",
                retry_at_ms=retry_at_ms,
            )
        )


def _target_headers(request: web.BaseRequest) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in forwarded(request.headers)
        if name.lower() not in PRIVATE_HEADERS
    ]
