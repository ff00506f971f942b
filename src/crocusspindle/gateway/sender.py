"""Send one request to one target, once, and judge how it ended."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Final

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.listed_target import ListedTarget
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.errors import InvalidInputError
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.strict_connector import strict_connector
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.services.targets import CONNECT_TIMEOUT_S, forwarded

BUFFER_BYTES: Final = 1 << 20
"""An answer up to this size is taken whole before any of it goes on, so that one that
breaks off is never passed on as if it were whole."""

READ_BYTES: Final = 1 << 16
PROMISES: Final = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request was not run."""

CONNECTION_LOST: Final = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
)
CRASH_CHECK_S: Final = 0.1
"""A target that lives takes a connection within a few milliseconds."""

SERVER_ERROR: Final = 500
MISDIRECTED: Final = 421
SUCCESS: Final = range(200, 300)


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold what is sent: the head as it came and a body, whole or streaming."""

    request_id: str
    method: str
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None


@dataclass(slots=True)
class Answer:
    """Hold a target's whole answer, or its first part and the rest."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    rest: aiohttp.ClientResponse | None = None


@dataclass(slots=True)
class Sent:
    """Tell how a sending ended."""

    ending: AttemptOutcome
    latency_ms: float
    answer: Answer | None = None
    detail: str = ""
    limit_per_s: float | None = None


class Sender:
    """Send requests, each on a connection of its own.

    A kept connection can hold a late or doubled answer of the request before, or
    have been forgotten by the target. Either gives a caller the wrong answer or none.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._log = Logger("sender")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session."""
        self._session = aiohttp.ClientSession(
            connector=strict_connector(),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                "User-Agent",
                "Accept",
                "Accept-Encoding",
                "Content-Type",
            ),
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )
        # The library sends a GET again by itself when a connection breaks. Every
        # sending counts against the fleet's bound on repeats, so it must be ours.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self, target: ListedTarget, outgoing: Outgoing, deadline_ms: float
    ) -> Sent:
        """Send a request and return how it ended, by its deadline."""
        began_ms = now_ms()
        try:
            async with asyncio.timeout(remaining_s(deadline_ms)):
                sent = await self._exchange(target, outgoing, deadline_ms)
        except aiohttp.ConnectionTimeoutError as error:
            sent = Sent(AttemptOutcome.UNREACHED, 0.0, detail=str(error))
        except aiohttp.ClientConnectorError as error:
            sent = Sent(AttemptOutcome.CLOSED, 0.0, detail=str(error))
        except TimeoutError:
            sent = Sent(AttemptOutcome.SILENT, 0.0, detail="no answer in time")
        except CONNECTION_LOST as error:
            sent = Sent(await self._loss(target), 0.0, detail=repr(error))
        except (aiohttp.ClientError, OSError, ValueError) as error:
            sent = Sent(AttemptOutcome.BROKEN, 0.0, detail=repr(error))
        sent.latency_ms = now_ms() - began_ms
        return sent

    async def _loss(self, target: ListedTarget) -> AttemptOutcome:
        # A gray target that breaks connections takes the next one; the port of a
        # process that ended refuses it.
        host, _, port = target.address.rpartition(":")
        try:
            async with asyncio.timeout(CRASH_CHECK_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionError:
            return AttemptOutcome.CRASHED
        except (TimeoutError, OSError):
            return AttemptOutcome.BROKEN
        writer.close()
        return AttemptOutcome.BROKEN

    async def _exchange(
        self, target: ListedTarget, outgoing: Outgoing, deadline_ms: float
    ) -> Sent:
        assert self._session is not None
        headers = CIMultiDict(outgoing.headers)
        headers[self._dialect.target_identity] = target.identity
        left_ms = max(1, int(remaining_s(deadline_ms) * 1e3))
        headers[self._dialect.time_left_ms] = str(left_ms)
        response = await self._session.request(
            outgoing.method,
            URL(f"http://{target.address}{outgoing.raw_path}", encoded=True),
            headers=headers,
            data=outgoing.body,
            allow_redirects=False,
        )
        try:
            sent = await self._judge(response, outgoing)
            if sent.ending is not AttemptOutcome.MISDIRECTED:
                sent.limit_per_s = self._limit_per_s(target, response)
            return sent
        except BaseException:
            response.close()
            raise

    def _limit_per_s(
        self, target: ListedTarget, response: aiohttp.ClientResponse
    ) -> float | None:
        try:
            return self._dialect.target_limit_per_s(response.headers)
        except InvalidInputError as error:
            log_state_change(
                self._log, "limit refused", target=target.identity, error=str(error)
            )
            return None

    async def _judge(
        self, response: aiohttp.ClientResponse, outgoing: Outgoing
    ) -> Sent:
        echoed = response.headers.get(self._dialect.request_id)
        if echoed is not None and echoed != outgoing.request_id:
            response.close()
            return Sent(AttemptOutcome.BROKEN, 0.0, detail="answer of another request")
        refused = self._refusal(response)
        if refused is not None:
            response.close()
            return refused
        body, whole = await _first_part(response)
        if response.status in SUCCESS and not self._proper(response):
            response.close()
            return Sent(AttemptOutcome.BROKEN, 0.0, detail="not the target's answer")
        answer = Answer(response.status, forwarded(response.headers), body)
        if not whole:
            answer.rest = response
        failed = response.status >= SERVER_ERROR
        return Sent(
            AttemptOutcome.ERROR if failed else AttemptOutcome.ANSWERED, 0.0, answer
        )

    def _refusal(self, response: aiohttp.ClientResponse) -> Sent | None:
        if response.status == MISDIRECTED:
            return Sent(
                AttemptOutcome.MISDIRECTED, 0.0, detail="another target is there"
            )
        if self._dialect.not_run in response.headers:
            return Sent(AttemptOutcome.SHED, 0.0, detail=f"status {response.status}")
        if response.status in PROMISES:
            # Without the header nothing says that the request was not run, and the
            # status would tell the caller just that.
            return Sent(AttemptOutcome.ERROR, 0.0, detail=f"status {response.status}")
        return None

    def _proper(self, response: aiohttp.ClientResponse) -> bool:
        return (
            self._dialect.target_stamp in response.headers
            and "Content-Encoding" not in response.headers
        )


async def _first_part(response: aiohttp.ClientResponse) -> tuple[bytes, bool]:
    parts = bytearray()
    while len(parts) < BUFFER_BYTES:
        part = await response.content.read(READ_BYTES)
        if not part:
            return bytes(parts), True
        parts += part
    return bytes(parts), response.content.at_eof()
