"""Relay responses, complete or visibly truncated, and record those of operations."""

import hashlib
from collections.abc import Awaitable

from aiohttp import web

from crocusspindle.core.operation_records import StoredResponse
from crocusspindle.services import error_responses
from crocusspindle.services.error_responses import RefusedError
from crocusspindle.services.hand_over import CoordinatorResponse
from crocusspindle.services.peers import PEER_FAILURES
from crocusspindle.services.targets import REQUEST_ID

FLEET_HEADERS = frozenset({REQUEST_ID.lower(), error_responses.OUTCOME.lower()})


class ResponseRecorder:
    """Keep a copy of a response while it is relayed, up to a size limit."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._digest = hashlib.sha256()
        self._body: bytearray | None = bytearray()

    def add(self, chunk: bytes) -> None:
        """Record the next chunk of the body."""
        self._digest.update(chunk)
        if self._body is None:
            return
        self._body += chunk
        if len(self._body) > self._limit_bytes:
            self._body = None

    def stored_response(self, response: CoordinatorResponse) -> StoredResponse:
        """Return the response to store, without a body that exceeds the limit."""
        body = None if self._body is None else bytes(self._body)
        return StoredResponse(
            response.status, self._digest.digest(), tuple(response.headers), body
        )


async def relay_response(
    request: web.BaseRequest,
    request_id: str,
    coordinator_response: CoordinatorResponse,
    recorder: ResponseRecorder | None,
) -> web.StreamResponse:
    """Relay a response to its caller; abort the connection if it is truncated.

    A caller would regard a truncated response with a regular end as complete. An
    aborted connection shows the truncation, whatever length the target announced.

    A caller that disconnects may repeat a named operation to get its response, so
    ``recorder`` receives the whole body all the same.
    """
    response = web.StreamResponse(status=coordinator_response.status)
    for header, text in coordinator_response.headers:
        if header.lower() not in FLEET_HEADERS:
            response.headers.add(header, text)
    response.headers[REQUEST_ID] = request_id
    response.headers[error_responses.OUTCOME] = error_responses.OUTCOME_TEXTS[
        coordinator_response.outcome
    ]
    connected = await _deliver(response.prepare(request), recorder)
    try:
        async for chunk in coordinator_response.body_chunks():
            if recorder is not None:
                recorder.add(chunk)
            if connected:
                connected = await _deliver(response.write(chunk), recorder)
    except PEER_FAILURES:
        if request.transport is not None:
            request.transport.abort()
        raise
    if connected:
        await _deliver(response.write_eof(), recorder)
    return response


async def _deliver(write: Awaitable[object], recorder: ResponseRecorder | None) -> bool:
    """Return True if the caller is connected; raise if not and nothing is recorded."""
    try:
        await write
    except ConnectionError:
        if recorder is None:
            raise
        return False
    return True


def repeated_response(stored: StoredResponse, request_id: str) -> web.Response:
    """Return the stored response of an operation that has run."""
    if stored.body is None:
        raise RefusedError(error_responses.RESPONSE_NOT_KEPT)
    response = web.Response(status=stored.status, body=stored.body)
    for header, text in stored.headers:
        if header.lower() not in FLEET_HEADERS | {"content-length"}:
            response.headers[header] = text
    response.headers[REQUEST_ID] = request_id
    response.headers[error_responses.OUTCOME] = error_responses.RAN
    response.headers[error_responses.REPEATED_RESPONSE] = "true"
    return response
