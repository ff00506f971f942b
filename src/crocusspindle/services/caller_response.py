"""Send answers to callers, whole or visibly cut, and keep those of operations."""

import hashlib
from collections.abc import Awaitable

from aiohttp import web

from crocusspindle.core.operation_records import StoredResponse
from crocusspindle.services import words
from crocusspindle.services.hand_over import HomeAnswer
from crocusspindle.services.peers import PEER_FAILURES
from crocusspindle.services.targets import REQUEST_ID
from crocusspindle.services.words import RefusedError

OWN_HEADERS = frozenset({REQUEST_ID.lower(), words.OUTCOME.lower()})


class KeptParts:
    """Keep a copy of an answer while it passes, up to a bound."""

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._digest = hashlib.sha256()
        self._body: bytearray | None = bytearray()

    def add(self, part: bytes) -> None:
        """Take the next part."""
        self._digest.update(part)
        if self._body is None:
            return
        self._body += part
        if len(self._body) > self._limit_bytes:
            self._body = None

    def answer(self, found: HomeAnswer) -> StoredResponse:
        """Return the answer to keep, without its body if that was too long."""
        body = None if self._body is None else bytes(self._body)
        return StoredResponse(
            found.status, self._digest.digest(), tuple(found.headers), body
        )


async def pass_on(
    request: web.BaseRequest, name: str, answer: HomeAnswer, kept: KeptParts | None
) -> web.StreamResponse:
    """Send an answer to its caller; break the connection if it is cut.

    A caller who gets the end of a shortened answer takes it for all of it. With a
    broken connection it knows, whatever length the target had announced.

    A caller that hung up may repeat a named operation and ask for its answer, so
    ``kept`` is filled to the end all the same.
    """
    response = web.StreamResponse(status=answer.status)
    for header, text in answer.headers:
        if header.lower() not in OWN_HEADERS:
            response.headers.add(header, text)
    response.headers[REQUEST_ID] = name
    response.headers[words.OUTCOME] = words.OUTCOME_WORDS[answer.outcome]
    listens = await _reached(response.prepare(request), kept)
    try:
        async for part in answer.parts():
            if kept is not None:
                kept.add(part)
            if listens:
                listens = await _reached(response.write(part), kept)
    except PEER_FAILURES:
        if request.transport is not None:
            request.transport.abort()
        raise
    if listens:
        await _reached(response.write_eof(), kept)
    return response


async def _reached(sending: Awaitable[object], kept: KeptParts | None) -> bool:
    """Return True if the caller still listens; raise if nothing is kept for it."""
    try:
        await sending
    except ConnectionError:
        if kept is None:
            raise
        return False
    return True


def kept_response(answer: StoredResponse, name: str) -> web.Response:
    """Return the kept answer of an operation that ran before."""
    if answer.body is None:
        raise RefusedError(words.ANSWER_NOT_KEPT)
    response = web.Response(status=answer.status, body=answer.body)
    for header, text in answer.headers:
        if header.lower() not in OWN_HEADERS | {"content-length"}:
            response.headers[header] = text
    response.headers[REQUEST_ID] = name
    response.headers[words.OUTCOME] = words.RAN
    response.headers[words.REPEATED] = "true"
    return response
