"""Take callers' requests: who asks, may they, and what became of it."""

import asyncio
import itertools
import secrets
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import ClientError, web
from aiohttp.http_exceptions import HttpProcessingError

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.caller_addresses import caller_addresses
from crocusspindle.core.decisions import Outcome
from crocusspindle.core.directory import key_digest
from crocusspindle.core.loans import Ineligible, OverRate, Spent
from crocusspindle.core.model import Customer, Route
from crocusspindle.core.operation_records import OperationName, StoredResponse
from crocusspindle.core.rendezvous import order
from crocusspindle.ids import CustomerId, DomainId, MemberId, OperationKey
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.services import words
from crocusspindle.services.caller_response import (
    KeptParts,
    kept_response,
    pass_on,
)
from crocusspindle.services.control import ControlService
from crocusspindle.services.hand_over import (
    CallerRequest,
    Handling,
    HandOverService,
    HomeAnswer,
)
from crocusspindle.services.handed_over import GivenUp
from crocusspindle.services.operations import (
    Begun,
    OperationsService,
    fingerprint_of,
)
from crocusspindle.services.peers import Peers
from crocusspindle.services.rates import RatesService
from crocusspindle.services.targets import CUSTOMER, DEADLINE, REQUEST_ID, forwarded
from crocusspindle.services.words import RefusedError, Word
from crocusspindle.settings_schema import NodeSettings

WHERE_PATH: Final = "/.well-known/crocusspindle/where"
OWN_PATHS: Final = "/.well-known/crocusspindle/"
OPERATION_KEY: Final = "Idempotency-Key"
OPERATION_KEY_MAX: Final = 200
LONGEST_TIMEOUT_MS: Final = 600_000.0

PRIVATE_HEADERS: Final = frozenset(
    {
        "authorization",
        "expect",
        "host",
        "content-length",
        CUSTOMER.lower(),
        DEADLINE.lower(),
        REQUEST_ID.lower(),
    }
)
"""The caller's key must not reach a target, nor may a caller name another customer."""


class EntryService(Service):
    """Serve the port for callers."""

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
        self._numbers = itertools.count(1)
        self._prefix = secrets.token_hex(6)
        self._named: set[asyncio.Task[web.StreamResponse]] = set()
        self.running = 0

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        name = f"{self._prefix}-{next(self._numbers)}"
        began_ms = now_ms()
        service, caller = "none", "none"
        self.running += 1
        try:
            customer, credential = self._authenticate(request)
            caller = customer.customer
            if request.path.startswith(OWN_PATHS):
                return self._own(request, customer)
            route = self._route(request, customer)
            service = route.service
            response = await self._serve(request, name, customer, credential, route)
        except RefusedError as refused:
            reason = refused.word.reason
            self._metrics.add(instruments.REFUSALS, service=service, reason=reason)
            response = refused.word.response(name)
        except Exception as error:
            # A fault of ours must not leave the caller guessing: what it asked for
            # may have run.
            log_state_change(self._logger, "request failed", error=repr(error))
            self._logger.debug("request failed", exc_info=True)
            response = words.INTERNAL.response(name)
        finally:
            self.running -= 1
        self._count(response, service, caller, began_ms)
        return response

    def _count(
        self, response: web.StreamResponse, service: str, caller: str, began_ms: float
    ) -> None:
        outcome = response.headers.get(words.OUTCOME, words.RAN)
        self._metrics.add(instruments.REQUESTS, service=service, outcome=outcome)
        self._metrics.add(
            instruments.CUSTOMER_REQUESTS, customer=caller, outcome=outcome
        )
        self._metrics.record(
            instruments.REQUEST_MS, now_ms() - began_ms, service=service
        )

    def _authenticate(self, request: web.BaseRequest) -> tuple[Customer, bytes]:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        directory = self._control.directory
        customer_id = directory.authenticate(key.strip())
        customer = None if customer_id is None else directory.customer(customer_id)
        if scheme.lower() != "bearer" or customer is None:
            raise RefusedError(words.UNAUTHENTICATED)
        return customer, key_digest(key.strip())

    def _route(self, request: web.BaseRequest, customer: Customer) -> Route:
        route = self._control.directory.route(request.path)
        if route is None:
            raise RefusedError(words.NO_ROUTE)
        if not self._control.directory.approved(route.service, customer.customer):
            raise RefusedError(words.NOT_APPROVED)
        return route

    def _own(self, request: web.BaseRequest, customer: Customer) -> web.Response:
        if request.path != WHERE_PATH:
            raise RefusedError(words.NO_ROUTE)
        self._check_fit(customer.customer)
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
        """Return where a customer's callers go, best first.

        Holders of the customer's shares spend without asking anyone. The rest
        follow in an order of the customer's own, so that customers spread.
        """
        view = self._control.view
        if view is None:
            return []
        key = customer.customer.encode()
        ranked = [*self._rates.holders(customer), *order(key, view.names)]
        members = [
            member
            for member_id in dict.fromkeys(ranked)
            if (member := view.find(member_id)) is not None
        ]
        own = view.find(self._control.me.member)
        return caller_addresses(members, self._serves, own)

    def _serves(self, member: MemberId) -> bool:
        if member == self._control.me.member:
            return self._control.is_eligible() and not self._control.draining
        return self._peers.usable(member)

    def _check_fit(self, customer: CustomerId) -> None:
        if self._control.is_eligible():
            return
        # Cut off from the fleet, this node may hold withdrawn keys and spent
        # shares. Its callers learn at once where else to go.
        view = self._control.view
        others = [] if view is None else order(customer.encode(), view.names)
        elsewhere = (
            [
                member.caller_address
                for name in others
                if (member := view.find(name)) and name != self._control.me.member
            ]
            if view is not None
            else []
        )
        detail = "this node is cut off; other addresses: " + ", ".join(elsewhere[:3])
        retry_at_ms = now_ms() + self._settings.timings.heartbeat_ms
        raise RefusedError(Word(503, "unfit", detail, retry_at_ms=retry_at_ms))

    async def _serve(
        self,
        request: web.BaseRequest,
        name: str,
        customer: Customer,
        credential: bytes,
        route: Route,
    ) -> web.StreamResponse:
        self._check_fit(customer.customer)
        deadline_ms = self._deadline_ms(request, route)
        body, rest = await self._body(request)
        spent = await self._spend(customer)
        idempotent = request.method in route.idempotent_methods
        service = self._control.directory.service(route.service)
        call = CallerRequest(
            request=name,
            customer=customer.customer,
            service=route.service,
            method=request.method,
            path=request.raw_path if hasattr(request, "raw_path") else request.path_qs,
            headers=_to_target(request),
            weight=customer.weight * customer.rate_per_s,
            deadline_ms=deadline_ms,
            idempotent=idempotent,
            may_hedge=idempotent and service is not None and service.hedge,
            credential=credential,
            body=body,
            rest=rest,
        )
        return await self._follow(request, call, spent)

    async def _follow(
        self, request: web.BaseRequest, call: CallerRequest, spent: Spent
    ) -> web.StreamResponse:
        """Run a request, to its end if its caller named the operation.

        A caller that loses its connection ends what it asked for. Not so a payment:
        ended half way, it would stay unknown for as long as its key counts, and the
        caller that repeats it could never learn the answer.
        """
        if call.idempotent or OPERATION_KEY not in request.headers:
            return await self._run(request, call, spent)
        task = asyncio.create_task(self._run(request, call, spent))
        self.running += 1
        self._named.add(task)
        task.add_done_callback(self._end_named)
        return await asyncio.shield(task)

    def _end_named(self, task: asyncio.Task[web.StreamResponse]) -> None:
        self.running -= 1
        self._named.discard(task)
        # A refusal that nobody waits for any more is no fault to report.
        if not task.cancelled():
            task.exception()

    async def _run(
        self, request: web.BaseRequest, call: CallerRequest, spent: Spent
    ) -> web.StreamResponse:
        begun = await self._begin(request, call)
        if isinstance(begun, StoredResponse):
            self._rates.refund(call.customer, spent)
            return kept_response(begun, call.request)
        if isinstance(begun, GivenUp):
            self._rates.refund(call.customer, spent)
            raise RefusedError(words.given_up_word(begun))
        by_ms = None if begun is None else begun.dispatch_by_ms
        handling = Handling(call, dispatch_by_ms=by_ms)
        try:
            found = await self._hand_over.run(handling)
            if not isinstance(found, GivenUp):
                return await self._answer(request, call, found, begun)
            if found.outcome is Outcome.NOT_RUN:
                self._rates.refund(call.customer, spent)
                if begun is not None:
                    self._operations.released(begun)
            raise RefusedError(words.given_up_word(found))
        finally:
            await handling.close()

    async def _answer(
        self,
        request: web.BaseRequest,
        call: CallerRequest,
        found: HomeAnswer,
        begun: Begun | None,
    ) -> web.StreamResponse:
        if begun is None:
            return await pass_on(request, call.request, found, None)
        kept = KeptParts(self._settings.limits.answer_kept_bytes)
        response = await pass_on(request, call.request, found, kept)
        self._operations.finished(begun, kept.answer(found))
        return response

    async def _begin(
        self, request: web.BaseRequest, call: CallerRequest
    ) -> Begun | StoredResponse | GivenUp | None:
        key = request.headers.get(OPERATION_KEY)
        if call.idempotent or key is None:
            return None
        if not 0 < len(key) <= OPERATION_KEY_MAX or not key.isprintable():
            raise RefusedError(words.BAD_OPERATION_KEY)
        name = OperationName(call.customer, OperationKey(key))
        return await self._operations.begin(
            name, fingerprint_of(call.method, call.path, call.body)
        )

    def _deadline_ms(self, request: web.BaseRequest, route: Route) -> float:
        service = self._control.directory.service(route.service)
        longest_ms = LONGEST_TIMEOUT_MS if service is None else service.timeout_ms
        text = request.headers.get(DEADLINE)
        if text is None:
            return now_ms() + longest_ms
        try:
            asked_ms = float(text)
        except ValueError:
            raise RefusedError(words.BAD_TIMEOUT) from None
        if not 0 < asked_ms < float("inf"):
            raise RefusedError(words.BAD_TIMEOUT)
        return now_ms() + min(asked_ms, longest_ms)

    async def _body(
        self, request: web.BaseRequest
    ) -> tuple[bytes, AsyncIterator[bytes] | None]:
        """Return the body's first part, and the rest if it is longer.

        A short body is here before the request is queued, so that a slow sender
        holds no slot and the request can be repeated.
        """
        if not request.body_exists:
            return b"", None
        limit = self._settings.caller.body_buffer_bytes
        first = bytearray()
        while len(first) < limit:
            part = await self._part(request)
            if not part:
                return bytes(first), None
            first += part
        return bytes(first), self._rest(request)

    async def _rest(self, request: web.BaseRequest) -> AsyncIterator[bytes]:
        while part := await self._part(request):
            yield part

    async def _part(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(self._settings.caller.slow_sender_ms / 1e3):
                return await request.content.readany()
        except TimeoutError:
            raise RefusedError(words.SLOW_SENDER) from None
        except (ClientError, HttpProcessingError, ConnectionError):
            raise RefusedError(words.CUT_SENDER) from None

    async def _spend(self, customer: Customer) -> Spent:
        result = await self._rates.spend(customer.customer)
        if isinstance(result, Spent):
            return result
        if isinstance(result, Ineligible):
            self._check_fit(customer.customer)
        retry_at_ms = now_ms() + self._settings.timings.heartbeat_ms
        if isinstance(result, OverRate):
            retry_at_ms = result.retry_at_ms
            self._metrics.add(instruments.SHARE_REFUSALS, customer=customer.customer)
        raise RefusedError(
            Word(
                429,
                "rate",
                f"over the rate of {customer.rate_per_s:g}/s, burst {customer.burst}",
                retry_at_ms=retry_at_ms,
            )
        )


def _to_target(request: web.BaseRequest) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in forwarded(request.headers)
        if name.lower() not in PRIVATE_HEADERS
    ]
