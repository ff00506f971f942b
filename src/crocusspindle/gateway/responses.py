"""Respond to callers: forward a target's response, or state why there is none."""

import asyncio
from collections.abc import Mapping
from typing import Final

from aiohttp import web

from crocusspindle.clock import now_ms
from crocusspindle.errors import CrocusspindleError
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.target_client import READ_BYTES, TargetResponse

RETRYABLE_STATUSES: Final = frozenset({429, 503})
CLOSING_STATUSES: Final = frozenset({400, 408, 413})
"""After these statuses the rest of the request may still be arriving."""


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


async def send_target_response(
    request: web.BaseRequest, target_response: TargetResponse, deadline_ms: float
) -> web.StreamResponse:
    """Forward a target's response; abort the connection if it is truncated."""
    if target_response.open_response is None:
        response = web.Response(
            status=target_response.status, body=target_response.body
        )
        _copy_headers(target_response, response)
        return response
    stream = web.StreamResponse(status=target_response.status)
    _copy_headers(target_response, stream)
    try:
        await stream.prepare(request)
        await stream.write(target_response.body)
        async with asyncio.timeout(max(0.0, (deadline_ms - now_ms()) / 1e3)):
            while chunk := await target_response.open_response.content.read(READ_BYTES):
                await stream.write(chunk)
        await stream.write_eof()
    except BaseException:
        # A truncated response must not look complete.
        if request.transport is not None:
            request.transport.abort()
        raise
    finally:
        target_response.open_response.close()
    return stream


def _copy_headers(
    target_response: TargetResponse, response: web.StreamResponse
) -> None:
    complete = target_response.open_response is None
    response.headers.popall("Content-Type", None)
    for name, text in target_response.headers:
        if complete and name.lower() == "content-length":
            continue
        response.headers.add(name, text)
