"""Respond to callers: forward a target's response, or state why there is none."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Final

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import Payload

from crocusspindle.errors import CrocusspindleError
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.response_body import ResponseBody, bound_buffers
from crocusspindle.gateway.target_client import TargetResponse

RETRYABLE_STATUSES: Final = frozenset({429, 503})
LEAVING_REASON: Final = "leaving"
GIVEN_UP_REASON: Final = "given-up"
LEAVING_RETRY_MS: Final = 100.0
"""Callers may retry soon: another node accepts the request."""

CLOSING_STATUSES: Final = frozenset({400, 408, 413})
"""After these statuses the rest of the request may still be arriving."""


MEMORY_REASON: Final = "memory"


class Refusal(CrocusspindleError):
    """End a request with a response of the fleet itself."""

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_ms: float | None = None,
        fields: Mapping[str, object] | None = None,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.context_fields: Mapping[str, object] = fields or {}


def refusal_response(
    refusal: Refusal, request_id: str, dialect: Dialect
) -> web.Response:
    """Return the response for a refusal, with the reason as its body."""
    response = web.Response(status=refusal.status, text=f"{refusal.reason}\n")
    if request_id:
        response.headers[dialect.request_id] = request_id
    if refusal.status in RETRYABLE_STATUSES and refusal.retry_after_ms is not None:
        response.headers["Retry-After"] = f"{refusal.retry_after_ms / 1e3:.3f}"
    if refusal.status in CLOSING_STATUSES:
        response.force_close()
    return response


class HeldResponse(web.Response):
    """Respond with a whole body that counts as held until its caller has taken it."""

    def __init__(self, target_response: TargetResponse) -> None:
        super().__init__(status=target_response.status)
        self._content = target_response.content
        if self._content.size:
            self.body = _HeldPayload(self._content)
        _copy_headers(target_response, self)

    async def send(self, request: web.BaseRequest) -> None:
        """Send it, at the speed of its caller; abort the connection if that fails."""
        bound_buffers(request.transport)
        with _aborting(request, self._content):
            await self.prepare(request)
            await self.write_eof()


class _HeldPayload(Payload):
    """Write a body part by part, so that each is freed when it is taken."""

    def __init__(self, content: ResponseBody) -> None:
        super().__init__(content)
        self._content = content
        self._size = content.size

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the text of what is not yet written."""
        return self._content.joined().decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body at the speed of its caller."""

        async def write_part(part: bytes) -> None:
            await writer.write(part)
            await writer.drain()

        await self._content.write_to(write_part)


async def send_target_response(
    request: web.BaseRequest, target_response: TargetResponse, deadline_ms: float
) -> web.StreamResponse:
    """Forward a target's response; abort the connection if it is truncated.

    A complete one is returned to be sent.
    """
    content = target_response.content
    is_bounded = content.held.memory.bound.is_bounded
    if content.is_complete:
        if is_bounded:
            return HeldResponse(target_response)
        response = web.Response(status=target_response.status, body=content.joined())
        _copy_headers(target_response, response)
        return response
    stream = web.StreamResponse(status=target_response.status)
    _copy_headers(target_response, stream)
    if is_bounded:
        bound_buffers(request.transport)
    content.start_reading(deadline_ms)
    with _aborting(request, content):
        await stream.prepare(request)
        await content.write_to(stream.write)
        await stream.write_eof()
    return stream


@contextmanager
def _aborting(request: web.BaseRequest, content: ResponseBody) -> Iterator[None]:
    """Abort the connection if the response is dropped or fails.

    A truncated response must not look complete.
    """
    transport = request.transport

    def abort() -> None:
        if transport is not None:
            transport.abort()

    content.held.on_drop = abort
    try:
        yield
    except BaseException:
        abort()
        raise
    finally:
        content.close()


def _copy_headers(
    target_response: TargetResponse, response: web.StreamResponse
) -> None:
    complete = target_response.content.is_complete
    response.headers.popall("Content-Type", None)
    for name, text in target_response.headers:
        if complete and name.lower() == "content-length":
            continue
        response.headers.add(name, text)
