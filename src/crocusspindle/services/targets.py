"""Send one attempt to one target over HTTP and classify its end."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from typing import Final

import aiohttp
from multidict import CIMultiDict

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.connected_socket import connected_socket
from crocusspindle.core.decisions import AttemptEnd
from crocusspindle.ids import CustomerId, TargetId
from crocusspindle.shielded_connector import ShieldedConnector

REQUEST_ID: Final = "Crocusspindle-Request-Id"
CUSTOMER: Final = "Crocusspindle-Customer"
TIMEOUT: Final = "Crocusspindle-Timeout-Ms"
TARGET_OUTCOME: Final = "Target-Outcome"
NOT_RUN: Final = "not-run"
SERVER_ERROR: Final = 500

CONNECT_TIMEOUT_S: Final = 0.3
"""A new connection takes about 1 ms; a lost first packet is resent after 200 ms. After
a longer time the target counts as unreachable, and another one costs less."""

RESPONSE_BUFFER_BYTES: Final = 65_536
"""A response up to this size is buffered before any of it is passed on, so that a
truncated one can still be retried at another target. Longer ones are streamed."""

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
"""RFC 9110, section 7.6.1: valid for a single connection only."""


@dataclass(frozen=True)
class TargetRequest:
    """Hold a request for a target; a streamed body can be sent once."""

    request: str
    customer: CustomerId
    method: str
    path: str
    headers: CIMultiDict[str]
    deadline_ms: float
    body: bytes | AsyncIterator[bytes] | None = None


@dataclass
class TargetResponse:
    """Hold a response whose body may still be arriving after its start."""

    status: int
    headers: list[tuple[str, str]]
    body_start: bytes
    open_response: aiohttp.ClientResponse | None = None


@dataclass
class AttemptResult:
    """Hold how an attempt ended, with the response if there is one."""

    end: AttemptEnd
    latency_ms: float
    target_response: TargetResponse | None = None
    detail: str = ""
    started_ms: float = field(default_factory=now_ms)


def forwarded(headers: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the end-to-end headers, which are forwarded to the next hop."""
    connection_headers = {
        name.strip().lower() for name in headers.get("Connection", "").split(",")
    }
    dropped = HOP_BY_HOP | connection_headers
    return [
        (name, text) for name, text in headers.items() if name.lower() not in dropped
    ]


class TargetClient:
    """Send attempts to targets, each on a new connection.

    A reused connection can deliver a late or duplicated response of the previous
    request, or be broken without notice. Either gives a caller a wrong response or
    none. A new connection costs about 1 ms and can do neither.
    """

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client."""
        self._session = aiohttp.ClientSession(
            connector=ShieldedConnector(limit=0, force_close=True),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def stop(self) -> None:
        """Close the client and its open connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, target: TargetId, request: TargetRequest) -> AttemptResult:
        """Send a request and return how it ended, by its deadline."""
        sent_at_ms = now_ms()
        try:
            async with asyncio.timeout(remaining_s(request.deadline_ms)):
                response = await self._open(target, request)
                result = await self._evaluate(response, request)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            result = AttemptResult(AttemptEnd.UNSENT, 0.0, detail=str(error))
        except TimeoutError:
            result = AttemptResult(AttemptEnd.SILENT, 0.0, detail="no response in time")
        except (aiohttp.ClientError, OSError) as error:
            result = AttemptResult(AttemptEnd.FAILED, 0.0, detail=repr(error))
        result.latency_ms = now_ms() - sent_at_ms
        return result

    async def try_target(self, target: TargetId, deadline_ms: float) -> bool:
        """Return True if the target accepts a connection by the deadline."""
        try:
            async with connected_socket(target, remaining_s(deadline_ms)):
                return True
        except OSError:
            return False

    async def _open(
        self, target: TargetId, request: TargetRequest
    ) -> aiohttp.ClientResponse:
        if self._session is None:
            raise RuntimeError("the target client is not started")
        remaining_ms = remaining_s(request.deadline_ms) * 1e3
        headers = CIMultiDict(request.headers)
        headers[REQUEST_ID] = request.request
        headers[CUSTOMER] = request.customer
        headers[TIMEOUT] = f"{remaining_ms:.0f}"
        return await self._session.request(
            request.method,
            f"http://{target}{request.path}",
            headers=headers,
            data=request.body,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )

    async def _evaluate(
        self, response: aiohttp.ClientResponse, request: TargetRequest
    ) -> AttemptResult:
        # A target that mixes up responses would give one customer another's data, so
        # an echoed request id must match.
        echoed = response.headers.get(REQUEST_ID)
        if echoed is not None and echoed != request.request:
            response.close()
            return AttemptResult(
                AttemptEnd.FAILED, 0.0, detail="response to another request"
            )
        if response.headers.get(TARGET_OUTCOME) == NOT_RUN:
            response.close()
            return AttemptResult(AttemptEnd.SHED, 0.0)
        body_start = await self._read_body_start(response)
        target_response = TargetResponse(
            response.status, forwarded(response.headers), body_start, response
        )
        if response.content.at_eof():
            target_response.open_response = None
            response.release()
        failed = response.status >= SERVER_ERROR
        end = AttemptEnd.FAILED if failed else AttemptEnd.ANSWERED
        return AttemptResult(end, 0.0, target_response)

    async def _read_body_start(self, response: aiohttp.ClientResponse) -> bytes:
        buffer = bytearray()
        while len(buffer) < RESPONSE_BUFFER_BYTES:
            chunk = await response.content.read(RESPONSE_BUFFER_BYTES - len(buffer))
            if not chunk:
                break
            buffer += chunk
        return bytes(buffer)
