"""Check a caller's request against the configuration before anything is spent on it."""

import asyncio
from collections.abc import AsyncIterator
from typing import Final

from aiohttp import web
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import Configuration, CustomerRule, RouteRule
from crocusspindle.core.request_content import content_digest
from crocusspindle.gateway.answers import Refusal
from crocusspindle.gateway.case import BODY_BUFFER_BYTES, Case
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.sender import Outgoing
from crocusspindle.services.targets import forwarded

PROOF_MARGIN_MS: Final = 200.0
"""Kept from the time to a withdrawal's end for a request on its way to the check."""

PATIENCE_MS: Final = 60_000.0
"""The time of a caller that does not say how long it waits."""

FINISH_MS: Final = 5.0
"""Kept for the answer to reach the caller within the route's time."""


class Admission:
    """Find a request's route and customer, and take its body."""

    def __init__(
        self, bounds: LiveBounds, dialect: Dialect, knowledge: Knowledge
    ) -> None:
        self._bounds = bounds
        self._dialect = dialect
        self._knowledge = knowledge

    async def admit(
        self, request: web.BaseRequest, request_id: str, began_ms: float
    ) -> Case:
        """Return what is known of a request; raise ``Refusal`` if it may not run."""
        configuration = await self._knowledge.first_configuration()
        if configuration is None:
            raise Refusal(503, "no-configuration", 500.0)
        route = self._route(configuration, request)
        customer = self._customer(configuration, route, request)
        self._check_length(configuration, request)
        time_left_ms = self._time_left_ms(request)
        ends_ms = began_ms + min(time_left_ms, route.timeout_ms - FINISH_MS)
        first = await self._first_part(configuration, request, ends_ms)
        body: bytes | AsyncIterator[bytes] | None = first
        length = len(first or b"")
        if first is not None and length > BODY_BUFFER_BYTES:
            body = _streamed(first, request, configuration.limits.body_bytes)
            length = request.content_length or 0
        outgoing = Outgoing(
            request_id,
            request.method,
            request.raw_path,
            self._headers(request, customer, body),
            body,
        )
        content = content_digest(
            request.method,
            route.host,
            request.raw_path,
            customer.customer if customer is not None else None,
            (first or b"")[:BODY_BUFFER_BYTES],
            length,
        )
        return Case(request_id, route, customer, outgoing, content, began_ms, ends_ms)

    def is_idempotent(self, request: web.BaseRequest) -> bool:
        """Return True if a request is known to be one that may run more than once."""
        configuration = self._knowledge.configuration.content
        if configuration is None or request.body_exists:
            return False
        try:
            return self._route(configuration, request).kind.idempotent
        except Refusal:
            return False

    def _route(
        self, configuration: Configuration, request: web.BaseRequest
    ) -> RouteRule:
        host = request.headers.get("Host", "").rpartition(":")
        name = (host[0] if host[1] and host[2].isdigit() else "".join(host)).lower()
        path = request.raw_path.partition("?")[0]
        route = configuration.route(name, path)
        if route is not None:
            return route
        if self._is_old(self._knowledge.configuration.age_ms(now_ms())):
            # A newer version may hold the route; only the newest may say no.
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
        age_ms = self._knowledge.configuration.age_ms(now_ms())
        allowed_ms = self._bounds.now.revocation_ms - PROOF_MARGIN_MS
        if self._bounds.now.fail_closed and age_ms > allowed_ms:
            # The key may have been withdrawn without this node's knowing.
            raise Refusal(503, "proof-too-old", 1_000.0, {"proof_age_ms": age_ms})
        rule = configuration.customer_of(request.headers.get(self._dialect.key, ""))
        if rule is not None:
            return rule
        if self._is_old(age_ms):
            raise Refusal(503, "old-configuration", 500.0, {"proof_age_ms": age_ms})
        raise Refusal(401, "unknown-key")

    def _is_old(self, age_ms: float) -> bool:
        return age_ms > self._bounds.now.propagation_ms

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
            return PATIENCE_MS

    async def _first_part(
        self, configuration: Configuration, request: web.BaseRequest, ends_ms: float
    ) -> bytes | None:
        """Return the whole body, or the first part of one that is too long to hold."""
        if not request.body_exists:
            return None
        await _invite_body(request)
        first = bytearray()
        limit = configuration.limits.body_bytes
        while len(first) <= BODY_BUFFER_BYTES:
            part = await self._part(request, ends_ms)
            if not part:
                break
            first += part
            if len(first) > limit:
                raise Refusal(413, "body-too-long")
        return bytes(first)

    @staticmethod
    async def _part(request: web.BaseRequest, ends_ms: float) -> bytes:
        left_s = max(0.0, (ends_ms - now_ms()) / 1e3)
        try:
            async with asyncio.timeout(left_s):
                return await request.content.readany()
        except TimeoutError as error:
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
        for name in (self._dialect.key, self._dialect.customer, "Expect"):
            headers.popall(name, None)
        if isinstance(body, bytes) or body is None:
            headers.popall("Content-Length", None)
        if customer is not None:
            headers[self._dialect.customer] = customer.customer
        return headers


async def _invite_body(request: web.BaseRequest) -> None:
    # Some callers send a long body only once they hear that it is wanted, and would
    # wait out a second or more of their time otherwise.
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0


async def _streamed(
    first: bytes, request: web.BaseRequest, limit: int
) -> AsyncIterator[bytes]:
    yield first
    length = len(first)
    async for part in request.content.iter_any():
        length += len(part)
        if length > limit:
            raise ValueError("the body is longer than the limit")
        yield part
