"""Send one attempt to one target over HTTP and judge how it ended."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Final

import aiohttp
from multidict import CIMultiDict

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.decisions import AttemptEnd
from crocusspindle.ids import CustomerId, TargetId

REQUEST_ID: Final = "Crocusspindle-Request-Id"
CUSTOMER: Final = "Crocusspindle-Customer"
DEADLINE: Final = "Crocusspindle-Timeout-Ms"
TARGET_OUTCOME: Final = "Target-Outcome"
NOT_RUN: Final = "not-run"
SERVER_ERROR: Final = 500

CONNECT_TIMEOUT_S: Final = 0.3
"""A new connection takes about 1 ms; a lost first packet is sent again after 200.
Longer means that nobody answers there, and another target costs less."""

ANSWER_BUFFER_BYTES: Final = 65_536
"""An answer up to this size is taken whole before any of it is handed on, so that
one which breaks off can still be asked for again elsewhere. Longer ones stream."""

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""RFC 9110, section 7.6.1: meant for one connection only."""


@dataclass(frozen=True)
class TargetRequest:
    """Hold what is sent to a target; the body is whole or streams once."""

    request: str
    customer: CustomerId
    method: str
    path: str
    headers: CIMultiDict[str]
    deadline_ms: float
    body: bytes | AsyncIterator[bytes] | None = None


@dataclass
class TargetAnswer:
    """Hold an answer whose first part is here and whose rest may still come."""

    status: int
    headers: list[tuple[str, str]]
    first: bytes
    rest: aiohttp.ClientResponse | None = None


@dataclass
class AttemptResult:
    """Tell how an attempt ended, with the answer if there is one."""

    end: AttemptEnd
    latency_ms: float
    answer: TargetAnswer | None = None
    detail: str = ""
    started_ms: float = field(default_factory=now_ms)


def forwarded(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers that go on to the next hop."""
    named = {name.strip().lower() for name in headers.get("Connection", "").split(",")}
    dropped = HOP_BY_HOP | named
    return [
        (name, text) for name, text in headers.items() if name.lower() not in dropped
    ]


class TargetClient:
    """Send attempts to targets, each on a connection of its own.

    A kept connection can hold a late or doubled answer of the request before, or
    have gone silent for good. Either gives a caller the wrong answer or none. A
    new connection costs about 1 ms and can have neither.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def stop(self) -> None:
        """Close the client and what still runs on it."""
        if self._session is not None:
            await self._session.close()

    async def send(self, target: TargetId, request: TargetRequest) -> AttemptResult:
        """Send a request and return how it ended, by its deadline."""
        began_ms = now_ms()
        try:
            async with asyncio.timeout(remaining_s(request.deadline_ms)):
                response = await self._open(target, request)
                result = await self._judge(response, request)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            result = AttemptResult(AttemptEnd.UNSENT, 0.0, detail=str(error))
        except TimeoutError:
            result = AttemptResult(AttemptEnd.SILENT, 0.0, detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            result = AttemptResult(AttemptEnd.FAILED, 0.0, detail=repr(error))
        result.latency_ms = now_ms() - began_ms
        return result

    async def try_target(self, target: TargetId, deadline_ms: float) -> bool:
        """Return True if the target accepts a connection by the deadline."""
        host, _, port = target.rpartition(":")
        try:
            async with asyncio.timeout(remaining_s(deadline_ms)):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def _open(
        self, target: TargetId, request: TargetRequest
    ) -> aiohttp.ClientResponse:
        if self._session is None:
            raise RuntimeError("the target client is not started")
        left_ms = remaining_s(request.deadline_ms) * 1e3
        headers = CIMultiDict(request.headers)
        headers[REQUEST_ID] = request.request
        headers[CUSTOMER] = request.customer
        headers[DEADLINE] = f"{left_ms:.0f}"
        return await self._session.request(
            request.method,
            f"http://{target}{request.path}",
            headers=headers,
            data=request.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )

    async def _judge(
        self, response: aiohttp.ClientResponse, request: TargetRequest
    ) -> AttemptResult:
        # A target that mixes up its answers would give one customer another's
        # page. Targets that echo the id are held to it.
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != request.request:
            response.close()
            return AttemptResult(AttemptEnd.FAILED, 0.0, detail="answer of another")
        if response.headers.get(TARGET_OUTCOME) == NOT_RUN:
            response.close()
            return AttemptResult(AttemptEnd.SHED, 0.0)
        first = await self._first_part(response)
        answer = TargetAnswer(
            response.status, forwarded(response.headers), first, response
        )
        if response.content.at_eof():
            answer.rest = None
            response.release()
        failed = response.status >= SERVER_ERROR
        end = AttemptEnd.FAILED if failed else AttemptEnd.ANSWERED
        return AttemptResult(end, 0.0, answer)

    async def _first_part(self, response: aiohttp.ClientResponse) -> bytes:
        parts = bytearray()
        while len(parts) < ANSWER_BUFFER_BYTES:
            part = await response.content.read(ANSWER_BUFFER_BYTES - len(parts))
            if not part:
                break
            parts += part
        return bytes(parts)
