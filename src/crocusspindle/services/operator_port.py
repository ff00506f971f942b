"""Serve the operators' HTTP API: tickets, the audit trail and the fleet's status."""

import asyncio
import dataclasses
import json
import math
from collections.abc import Awaitable, Callable, Mapping, Sequence
from enum import Enum
from http import HTTPStatus
from typing import Any, Final

from aiohttp import web

from crocusspindle import instruments
from crocusspindle.errors import (
    CrocusspindleError,
    Finding,
    NodeIneligibleError,
    PlatformUnavailableError,
    PlatformUnknownError,
    TicketConflictError,
    TicketError,
)
from crocusspindle.ids import TicketNumber
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.services.operator_api import OperatorBackend
from crocusspindle.services.operator_permissions import (
    check_permissions,
    find_principal,
)
from crocusspindle.settings_schema import Principal, Role

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

MAX_TICKET_BYTES: Final = 4 * 1024 * 1024
"""Maximum ticket size: all 32,000 routes at about 100 bytes each."""

MAX_TICKETS_READ: Final = 4
"""Tickets that are read at a time."""

BODY_TIMEOUT_S: Final = 15.0
MAX_LIST_LIMIT: Final = 1_000
DEFAULT_LIST_LIMIT: Final = 100
RETRY_AFTER_MS: Final = 1_000.0
MAX_NUMBER: Final = 2**63 - 1

_LOG: Final = Logger("operator")
_PRINCIPAL: Final = web.RequestKey("principal", Principal)


class _RefusalError(Exception):
    """Refuse a request with a status and findings."""

    def __init__(
        self, status: int, error: str, findings: Sequence[Finding] = ()
    ) -> None:
        super().__init__(error)
        self.status = status
        self.findings = findings


def operator_app(
    backend: OperatorBackend,
    principals: Sequence[Principal],
    metrics: Metrics | None = None,
) -> web.Application:
    """Return the application of the operator port."""
    port = _OperatorPort(backend, principals, metrics)
    app = web.Application(middlewares=[port.respond], client_max_size=MAX_TICKET_BYTES)
    app.router.add_post("/v1/tickets", port.submit)
    app.router.add_post("/v1/tickets/validate", port.validate)
    app.router.add_get("/v1/tickets", port.tickets)
    app.router.add_get("/v1/tickets/{number}", port.ticket)
    app.router.add_get("/v1/audit", port.audit)
    app.router.add_get("/v1/status", port.status)
    return app


class _OperatorPort:
    def __init__(
        self,
        backend: OperatorBackend,
        principals: Sequence[Principal],
        metrics: Metrics | None,
    ) -> None:
        self._backend = backend
        self._principals = tuple(principals)
        self._metrics = metrics
        self._reading = asyncio.Semaphore(MAX_TICKETS_READ)

    async def _read_ticket(self, request: web.Request) -> bytes:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                await self._reading.acquire()
        except TimeoutError:
            raise _RefusalError(503, "too many tickets are being sent") from None
        try:
            return await _read_body(request)
        finally:
            self._reading.release()

    @web.middleware
    async def respond(self, request: web.Request, handler: Handler) -> web.Response:
        """Authenticate, and turn every error into a JSON response."""
        try:
            request[_PRINCIPAL] = self._authenticate(request)
            response = await handler(request)
            assert isinstance(response, web.Response)
        except asyncio.CancelledError:
            raise
        except Exception as error:
            response = _error_response(error)
        if self._metrics is not None:
            status = str(response.status)
            self._metrics.add(instruments.OPERATOR_CALLS, status=status)
        return response

    async def submit(self, request: web.Request) -> web.Response:
        """Check a ticket and the permissions of its sender, then record it."""
        principal = request[_PRINCIPAL]
        if principal.role is Role.VIEWER:
            raise _RefusalError(403, "viewers submit no tickets")
        document = await self._read_ticket(request)
        summary = await self._backend.validate(document)
        findings = check_permissions(principal, summary)
        if findings:
            raise _RefusalError(403, "not allowed", findings)
        result = await self._backend.submit(document, principal)
        if not result.repeated:
            log_state_change(
                _LOG, "ticket recorded", number=result.number, who=principal.name
            )
        return _json(result, status=200 if result.repeated else 201)

    async def validate(self, request: web.Request) -> web.Response:
        """Check a ticket and the permissions of its sender; record nothing."""
        summary = await self._backend.validate(await self._read_ticket(request))
        findings = check_permissions(request[_PRINCIPAL], summary)
        if findings:
            raise _RefusalError(403, "not allowed", findings)
        return _json(summary)

    async def ticket(self, request: web.Request) -> web.Response:
        """Return one ticket."""
        number = _number(request.match_info["number"], "number", minimum=1)
        record = await self._backend.ticket(TicketNumber(number))
        if record is None:
            raise _RefusalError(404, f"there is no ticket {number}")
        return _json(record)

    async def tickets(self, request: web.Request) -> web.Response:
        """List tickets."""
        after, limit = _page(request)
        return _json({"tickets": await self._backend.tickets(after, limit)})

    async def audit(self, request: web.Request) -> web.Response:
        """List audit entries."""
        after, limit = _page(request)
        return _json({"audit": await self._backend.audit(after, limit)})

    async def status(self, request: web.Request) -> web.Response:
        """Return the status of the fleet."""
        return _json(await self._backend.status())

    def _authenticate(self, request: web.Request) -> Principal:
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        principal = find_principal(self._principals, key.strip())
        if scheme.lower() != "bearer" or principal is None:
            raise _RefusalError(401, "an operator key is needed")
        return principal


async def _read_body(request: web.Request) -> bytes:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except TimeoutError:
        raise _RefusalError(408, "the ticket did not arrive in time") from None


def _page(request: web.Request) -> tuple[TicketNumber, int]:
    after = _number(request.query.get("after", "0"), "after", minimum=0)
    limit = _number(
        request.query.get("limit", str(DEFAULT_LIST_LIMIT)), "limit", minimum=1
    )
    return TicketNumber(after), min(limit, MAX_LIST_LIMIT)


def _number(text: str, name: str, minimum: int) -> int:
    if text.isascii() and text.isdigit() and minimum <= int(text[:20]) <= MAX_NUMBER:
        return int(text)
    finding = Finding("request", name, f"must be a whole number from {minimum}")
    raise _RefusalError(400, "wrong request", [finding])


def _error_response(error: Exception) -> web.Response:
    status, findings, headers = 500, [], {}
    text = str(error)
    if isinstance(error, _RefusalError):
        status, findings = error.status, list(error.findings)
    elif isinstance(error, TicketError):
        status, findings, text = 400, list(error.findings), "wrong ticket"
    elif isinstance(error, TicketConflictError):
        status = 409
    elif isinstance(error, NodeIneligibleError | PlatformUnavailableError):
        status = 503
        wait_ms = getattr(error, "retry_after_ms", RETRY_AFTER_MS)
        headers["Retry-After"] = str(max(1, math.ceil(wait_ms / 1000)))
    elif isinstance(error, PlatformUnknownError):
        # The write may have taken effect. After "failed" the operator might change the
        # ticket and get a conflict; submitting the same ticket again is idempotent.
        status = 504
        text = f"outcome unknown, submit the same ticket again: {error}"
    elif isinstance(error, web.HTTPException):
        status, text = error.status, error.reason
    elif not isinstance(error, CrocusspindleError):
        _LOG.error("operator call failed", exc_info=True)
        text = "internal error"
    if status == HTTPStatus.UNAUTHORIZED:
        headers["WWW-Authenticate"] = "Bearer"
    body = {"error": text, "findings": findings}
    return _json(body, status=status, headers=headers)


def _json(
    data: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> web.Response:
    text = json.dumps(_finite(json.loads(json.dumps(data, default=_plain))))
    return web.Response(
        text=text, status=status, headers=headers, content_type="application/json"
    )


def _finite(value: Any) -> Any:
    """Replace non-finite numbers by null: strict JSON parsers reject them."""
    if isinstance(value, float) and not math.isfinite(value):
        return None
    if isinstance(value, dict):
        return {name: _finite(item) for name, item in value.items()}
    if isinstance(value, list):
        return [_finite(item) for item in value]
    return value


def _plain(value: Any) -> Any:
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {f.name: getattr(value, f.name) for f in dataclasses.fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, Mapping):
        return dict(value)
    if isinstance(value, Sequence | frozenset | set):
        return list(value)
    return str(value)
