"""Check a caller's request against the configuration before it costs resources."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import Configuration, CustomerRule, RouteRule
from crocusspindle.core.departure import Departure
from crocusspindle.core.memory_bound import LARGE_BODY_BYTES
from crocusspindle.core.request_content import content_digest
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.hand_over_headers import REQUEST_HEADERS, HandedOver
from crocusspindle.gateway.held_memory import (
    PAUSED_BYTES,
    STALL_MS,
    HeldBytes,
    HeldMemory,
    RequestMemory,
)
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.request_context import BODY_BUFFER_BYTES, RequestContext
from crocusspindle.gateway.responses import (
    LEAVING_REASON,
    LEAVING_RETRY_MS,
    MEMORY_REASON,
    Refusal,
)
from crocusspindle.gateway.target_client import OutgoingRequest
from crocusspindle.services.targets import forwarded

CONFIRMATION_MARGIN_MS: Final = 200.0
"""A key is refused this long before the revocation time has passed since its last
confirmation, to cover requests in transit."""

DEFAULT_TIMEOUT_MS: Final = 60_000.0
"""Timeout of a caller that sends no valid timeout header."""

RESPONSE_MARGIN_MS: Final = 5.0
"""Part of the route's timeout reserved for delivering the response to the caller."""

MEMORY_WAIT_FRACTION: Final = 0.5
"""Fraction of a request's time that its body may wait for memory. Those that waited
until their deadlines were sent in their last milliseconds, and got 504."""

MEMORY_RETRY_MS: Final = 1_000.0
"""Slow callers and long bodies hold memory for seconds."""


class Admission:
    """Find a request's route and customer, and read its body."""

    def __init__(
        self,
        bounds: LiveBounds,
        dialect: Dialect,
        fleet_state: FleetState,
        memory: HeldMemory,
        departure: Departure,
    ) -> None:
        self._memory = memory
        self._departure = departure
        self._bounds = bounds
        self._dialect = dialect
        self._fleet_state = fleet_state

    async def admit(
        self,
        request: web.BaseRequest,
        request_id: str,
        began_ms: float,
        handed_over: HandedOver | None = None,
    ) -> RequestContext:
        """Return the context of a request; raise ``Refusal`` if it may not run."""
        configuration = await self._fleet_state.first_configuration()
        if configuration is None:
            raise Refusal(503, "no-configuration", 500.0)
        if (
            handed_over
            and handed_over.version > self._fleet_state.configuration.version
        ):
            # The node that admitted it may know a route or key that is new.
            raise Refusal(503, "old-configuration", 500.0)
        route = self._route(configuration, request)
        customer = self._customer(configuration, route, request)
        self._check_length(configuration, request)
        time_left_ms = self._time_left_ms(request)
        # The time left of a request that was handed over counts from its hand-over.
        left_from_ms = began_ms + (handed_over.age_ms if handed_over else 0.0)
        deadline_ms = min(
            left_from_ms + time_left_ms,
            began_ms + route.timeout_ms - RESPONSE_MARGIN_MS,
        )
        if not self._departure.allows(route, deadline_ms, now_ms()):
            raise Refusal(503, LEAVING_REASON, LEAVING_RETRY_MS)
        memory = self._memory.request(
            customer.customer if customer is not None else None, request_id
        )
        try:
            prefix = await self._read_prefix(
                configuration, request, deadline_ms, memory
            )
        except BaseException:
            memory.release()
            raise
        body: bytes | AsyncIterator[bytes] | None = prefix
        length = len(prefix or b"")
        if prefix is not None and length > BODY_BUFFER_BYTES:
            body = _stream_body(
                [prefix], request, configuration.limits.body_bytes, memory
            )
            length = request.content_length or 0
        outgoing = OutgoingRequest(
            request_id,
            request.method,
            request.raw_path,
            self._headers(request, customer, body),
            body,
            memory,
            may_compare=_may_run_twice(route, body),
        )
        content = content_digest(
            request.method,
            route.host,
            request.raw_path,
            customer.customer if customer is not None else None,
            (prefix or b"")[:BODY_BUFFER_BYTES],
            length,
        )
        return RequestContext(
            request_id,
            route,
            customer,
            outgoing,
            content,
            began_ms,
            deadline_ms,
            caller_key=request.headers.get(self._dialect.key),
            handed_over=handed_over,
            arrived_attempts=handed_over.arrived_attempts if handed_over else 0,
            streamed_bytes=length or BODY_BUFFER_BYTES,
        )

    def is_idempotent(self, request: web.BaseRequest) -> bool:
        """Return True if a request is known to have no body and an idempotent route."""
        configuration = self._fleet_state.configuration.content
        if configuration is None or request.body_exists:
            return False
        try:
            return self._route(configuration, request).kind.idempotent
        except Refusal:
            return False

    def _route(
        self, configuration: Configuration, request: web.BaseRequest
    ) -> RouteRule:
        parts = request.headers.get("Host", "").rpartition(":")
        host = (parts[0] if parts[1] and parts[2].isdigit() else "".join(parts)).lower()
        path = request.raw_path.partition("?")[0]
        route = configuration.route(host, path)
        if route is not None:
            return route
        if self._is_stale(self._fleet_state.configuration.age_ms(now_ms())):
            # A newer version may define the route, so stale state can't answer 404.
            raise Refusal(503, "old-configuration", 500.0)
        raise Refusal(404, "no-route")

    def _customer(
        self,
        configuration: Configuration,
        route: RouteRule,
        request: web.BaseRequest,
    ) -> CustomerRule | None:
        if route.public or not configuration.customers:
            return None
        age_ms = self._fleet_state.configuration.age_ms(now_ms())
        allowed_ms = self._bounds.current.revocation_ms - CONFIRMATION_MARGIN_MS
        if self._bounds.current.fail_closed and age_ms > allowed_ms:
            # The key may have been withdrawn without this node learning of it.
            raise Refusal(503, "proof-too-old", 1_000.0, {"proof_age_ms": age_ms})
        rule = configuration.customer_of(request.headers.get(self._dialect.key, ""))
        if rule is not None:
            return rule
        if self._is_stale(age_ms):
            raise Refusal(503, "old-configuration", 500.0, {"proof_age_ms": age_ms})
        raise Refusal(401, "unknown-key")

    def _is_stale(self, age_ms: float) -> bool:
        return age_ms > self._bounds.current.propagation_ms

    @staticmethod
    def _check_length(configuration: Configuration, request: web.BaseRequest) -> None:
        length = request.content_length
        if length is not None and length > configuration.limits.body_bytes:
            raise Refusal(413, "body-too-long")

    def _time_left_ms(self, request: web.BaseRequest) -> float:
        text = request.headers.get(self._dialect.time_left_ms, "")
        try:
            return max(0.0, float(text))
        except ValueError:
            return DEFAULT_TIMEOUT_MS

    async def _read_prefix(
        self,
        configuration: Configuration,
        request: web.BaseRequest,
        deadline_ms: float,
        memory: RequestMemory,
    ) -> bytes | None:
        """Return the whole body, or the prefix of one that is too long to buffer.

        Return None for a request without a body.
        """
        if not request.body_exists:
            return None
        length = request.content_length
        self._check_memory(length or 0)
        held = memory.body()
        held.resize(_buffered_bytes(length, 0))
        await _send_continue(request)
        wait_until_ms = now_ms() + (deadline_ms - now_ms()) * MEMORY_WAIT_FRACTION
        prefix = bytearray()
        limit = configuration.limits.body_bytes
        while len(prefix) <= BODY_BUFFER_BYTES:
            if not await self._memory.may_read_body(held, wait_until_ms):
                raise Refusal(503, MEMORY_REASON, MEMORY_RETRY_MS)
            chunk = await self._read_chunk(request, deadline_ms, held)
            if not chunk:
                break
            if length is None and len(prefix) <= LARGE_BODY_BYTES:
                self._check_memory(len(prefix) + len(chunk))
            prefix += chunk
            held.resize(len(prefix) + _buffered_bytes(length, len(prefix)))
            if len(prefix) > limit:
                raise Refusal(413, "body-too-long")
        is_streamed = len(prefix) > BODY_BUFFER_BYTES
        held.finish(len(prefix) + (PAUSED_BYTES if is_streamed else 0))
        return bytes(prefix)

    def _check_memory(self, length: int) -> None:
        if self._memory.refuses_body(length):
            raise Refusal(503, MEMORY_REASON, MEMORY_RETRY_MS)

    @staticmethod
    async def _read_chunk(
        request: web.BaseRequest, deadline_ms: float, held: HeldBytes
    ) -> bytes:
        while True:
            left_ms = deadline_ms - now_ms()
            try:
                async with asyncio.timeout(max(0.0, min(left_ms, STALL_MS)) / 1e3):
                    return await request.content.readany()
            except TimeoutError as error:
                if held.must_progress or (left_ms <= STALL_MS and held.has_waited):
                    # It makes room for others, or its own time was lost here.
                    raise Refusal(503, MEMORY_REASON, MEMORY_RETRY_MS) from error
                if left_ms <= STALL_MS:
                    raise Refusal(408, "body-too-slow") from error
            except (ValueError, web.RequestPayloadError) as error:
                raise Refusal(400, "malformed-body") from error

    def _headers(
        self,
        request: web.BaseRequest,
        customer: CustomerRule | None,
        body: bytes | AsyncIterator[bytes] | None,
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(forwarded(request.headers))
        own_names = (self._dialect.key, self._dialect.customer, "Expect")
        for name in (*own_names, *REQUEST_HEADERS):
            headers.popall(name, None)
        if isinstance(body, bytes) or body is None:
            headers.popall("Content-Length", None)
        if customer is not None:
            headers[self._dialect.customer] = customer.customer
        return headers


def _may_run_twice(route: RouteRule, body: bytes | AsyncIterator[bytes] | None) -> bool:
    """Return True if a request may be sent to a second target."""
    is_buffered = isinstance(body, bytes | None)
    return is_buffered and route.kind.idempotent and route.attempts > 1


def _buffered_bytes(length: int | None, read: int) -> int:
    """Return how much of the rest of a body the connection may hold."""
    return PAUSED_BYTES if length is None else min(PAUSED_BYTES, length - read)


async def _send_continue(request: web.BaseRequest) -> None:
    # Some callers send a long body only after "100 Continue", and otherwise wait for
    # a second or more of their timeout.
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0


async def _stream_body(
    prefix: list[bytes], request: web.BaseRequest, limit: int, memory: RequestMemory
) -> AsyncIterator[bytes]:
    length = len(prefix[0])
    # The list is the only reference, so that the prefix is freed once it is sent.
    yield prefix.pop()
    memory.body().resize(PAUSED_BYTES)
    async for chunk in request.content.iter_any():
        length += len(chunk)
        if length > limit:
            raise ValueError("request body exceeds the size limit")
        yield chunk
