"""Send one request to one target, once, and classify the outcome."""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Final

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.target_signals import NO_SIGNALS, TargetSignals
from crocusspindle.gateway.body_sizes import BodySizes
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.held_memory import RequestMemory, uncounted
from crocusspindle.gateway.port_probe import PortAnswer, probe
from crocusspindle.gateway.response_body import ResponseBody
from crocusspindle.gateway.strict_connector import (
    WithheldError,
    check_before_sending,
    single_use_session,
)
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.response_bounds import (
    MAX_BODY_BYTES,
    ResponseBound,
    ResponseBoundError,
)
from crocusspindle.services.targets import forwarded

NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
"""Statuses that guarantee to a caller that its request was not run."""

CONNECTION_LOST: Final = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientOSError,
    aiohttp.ClientPayloadError,
)
BOUND_OUTCOMES: Final = {
    ResponseBound.BODY_BYTES: AttemptOutcome.ERROR,
    ResponseBound.BODY_TIME: AttemptOutcome.SILENT,
}
"""Outcomes of attempts whose head arrived and whose body exceeded a bound. The path is
sound then, unlike after a response that broke off."""

MAX_RESPONDED: Final = 64
"""Targets remembered as having responded. One of them tells whether a lost connection
is a failure of its target or of this node's path."""

MAX_LOGGED_SIGNALS: Final = 256
"""Bound on the remembered values. They are forgotten together, and logged once more."""
SERVER_ERROR: Final = 500
MISDIRECTED: Final = 421
SUCCESS_STATUSES: Final = range(200, 300)


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Hold a request to a target: its head, and a buffered or streamed body.

    ``memory`` counts the responses to it. If ``may_compare``, another target may be
    asked for the same before an unusual body is passed on.
    """

    request_id: str
    method: str
    raw_path: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    memory: RequestMemory = field(default_factory=uncounted)
    may_compare: bool = False


@dataclass(slots=True)
class TargetResponse:
    """Hold a target's response, whose body may still be read."""

    status: int
    headers: list[tuple[str, str]]
    content: ResponseBody

    @property
    def body(self) -> bytes:
        """Return what is read of the body and not yet written to the caller."""
        return self.content.joined()


@dataclass(slots=True)
class AttemptResult:
    """Hold the result of one attempt."""

    outcome: AttemptOutcome
    latency_ms: float
    target_response: TargetResponse | None = None
    detail: str = ""
    signals: TargetSignals = NO_SIGNALS
    exceeded: ResponseBound | None = None

    @property
    def is_whole(self) -> bool:
        """Return True if a valid response was read to its end."""
        return (
            self.outcome is AttemptOutcome.ANSWERED
            and self.target_response is not None
            and self.target_response.content.is_complete
        )

    def discard(self) -> None:
        """Free the response, which no caller gets."""
        if self.target_response is not None:
            self.target_response.content.close()


RecordSignals = Callable[[ListedTarget, TargetSignals], None]
MaySend = Callable[[ListedTarget], bool]


def _may_send(target: ListedTarget) -> bool:
    """Return True; the default."""
    return True


class TargetClient:
    """Send requests, each on a new connection.

    A reused connection can hold a late or duplicate response to the previous request,
    or have been closed by the target: the caller would get a wrong response or none.

    ``record_signals`` is called with the signals of each response but a 421, which
    another target sends, as soon as its head has arrived. ``may_send`` is asked once
    the connection to a target has opened: until then, news of the target may come.
    A response's body has ``max_body_bytes`` at most.
    """

    def __init__(
        self,
        dialect: Dialect,
        record_signals: RecordSignals | None = None,
        may_send: MaySend = _may_send,
        max_body_bytes: float = MAX_BODY_BYTES,
    ) -> None:
        self._max_body_bytes = max_body_bytes
        self._dialect = dialect
        self._may_send = may_send
        self._record_signals = record_signals
        self._log = Logger("sender")
        self._session: aiohttp.ClientSession | None = None
        self._logged: set[tuple[TargetIdentity, str]] = set()
        self._responded: dict[TargetIdentity, ListedTarget] = {}
        self._body_sizes = BodySizes()

    async def start(self) -> None:
        """Open the session."""
        self._session = single_use_session()

    async def stop(self) -> None:
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self, target: ListedTarget, outgoing: OutgoingRequest, deadline_ms: float
    ) -> AttemptResult:
        """Send a request and return its result by the deadline."""
        began_ms = now_ms()
        try:
            result = await self._exchange(target, outgoing, deadline_ms)
        except WithheldError as error:
            result = AttemptResult(AttemptOutcome.WITHHELD, 0.0, detail=str(error))
        except aiohttp.ConnectionTimeoutError as error:
            result = AttemptResult(AttemptOutcome.UNREACHED, 0.0, detail=str(error))
        except aiohttp.ClientConnectorError as error:
            result = AttemptResult(AttemptOutcome.CLOSED, 0.0, detail=str(error))
        except TimeoutError:
            result = AttemptResult(
                AttemptOutcome.SILENT, 0.0, detail="no response before the deadline"
            )
        except ResponseBoundError as error:
            outcome = BOUND_OUTCOMES.get(error.bound, AttemptOutcome.BROKEN)
            result = AttemptResult(
                outcome, 0.0, detail=repr(error), exceeded=error.bound
            )
        except aiohttp.ClientResponseError as error:
            result = AttemptResult(
                AttemptOutcome.BROKEN,
                0.0,
                detail=repr(error),
                exceeded=ResponseBound.PARSER,
            )
        except CONNECTION_LOST as error:
            result = AttemptResult(
                await self._classify_lost_connection(target), 0.0, detail=repr(error)
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            result = AttemptResult(AttemptOutcome.BROKEN, 0.0, detail=repr(error))
        result.latency_ms = now_ms() - began_ms
        return result

    async def _classify_lost_connection(self, target: ListedTarget) -> AttemptOutcome:
        # A gray target that breaks connections accepts the next one; the port of a
        # process that has exited refuses it.
        answer = await probe(target)
        if answer is PortAnswer.ACCEPTS:
            return AttemptOutcome.BROKEN
        control = self._control_target(target)
        if control and await probe(control) is not PortAnswer.ACCEPTS:
            return AttemptOutcome.DISCONNECTED
        is_refused = answer is PortAnswer.REFUSES
        return AttemptOutcome.CRASHED if is_refused else AttemptOutcome.BROKEN

    def _record_response(self, target: ListedTarget) -> None:
        self._responded.pop(target.identity, None)
        self._responded[target.identity] = target
        if len(self._responded) > MAX_RESPONDED:
            del self._responded[next(iter(self._responded))]

    def _control_target(self, target: ListedTarget) -> ListedTarget | None:
        """Return the target that responded last of those most like another one."""
        others = [
            other
            for other in self._responded.values()
            if other.identity != target.identity
        ]
        return max(
            reversed(others),
            key=lambda other: (
                other.service == target.service,
                other.domain == target.domain,
            ),
            default=None,
        )

    async def _exchange(
        self, target: ListedTarget, outgoing: OutgoingRequest, deadline_ms: float
    ) -> AttemptResult:
        response: aiohttp.ClientResponse | None = None
        left_s = remaining_s(deadline_ms)
        try:
            async with asyncio.timeout(left_s):
                response = await self._request(target, outgoing, left_s)
                return await self._read_response(target, response, outgoing)
        except TimeoutError:
            if response is None:
                raise
            raise ResponseBoundError(
                ResponseBound.BODY_TIME, "body did not end by the deadline"
            ) from None

    async def _request(
        self, target: ListedTarget, outgoing: OutgoingRequest, left_s: float
    ) -> aiohttp.ClientResponse:
        assert self._session is not None
        headers = CIMultiDict(outgoing.headers)
        headers[self._dialect.target_identity] = target.identity
        headers[self._dialect.time_left_ms] = str(max(1, int(left_s * 1e3)))
        token = check_before_sending.set(lambda: self._check_target(target))
        try:
            return await self._session.request(
                outgoing.method,
                URL(f"http://{target.address}{outgoing.raw_path}", encoded=True),
                headers=headers,
                data=outgoing.body,
                allow_redirects=False,
                read_bufsize=outgoing.memory.process.read_buffer_bytes,
            )
        finally:
            check_before_sending.reset(token)

    async def _read_response(
        self,
        target: ListedTarget,
        response: aiohttp.ClientResponse,
        outgoing: OutgoingRequest,
    ) -> AttemptResult:
        self._record_response(target)
        try:
            signals = self._read_signals(target, response)
            result = await self._classify_response(target, response, outgoing)
            result.signals = signals
            return result
        except BaseException:
            response.close()
            raise

    def _check_target(self, target: ListedTarget) -> None:
        if not self._may_send(target):
            raise WithheldError("the target gets no more work")

    def _read_signals(
        self, target: ListedTarget, response: aiohttp.ClientResponse
    ) -> TargetSignals:
        if response.status == MISDIRECTED:
            # Another target responds, and its signals are not about this one.
            return NO_SIGNALS
        signals = self._dialect.target_signals(response.status, response.headers)
        for finding in signals.refused:
            self._log_once("target signal refused", target, str(finding))
        for name in signals.unknown:
            self._log_once("target signal unknown", target, name)
        if self._record_signals is not None:
            self._record_signals(target, signals)
        return signals

    def _log_once(self, message: str, target: ListedTarget, text: str) -> None:
        # A target may repeat a malformed value in every response.
        key = (target.identity, text)
        if key in self._logged:
            return
        if len(self._logged) >= MAX_LOGGED_SIGNALS:
            self._logged.clear()
        self._logged.add(key)
        log_state_change(self._log, message, target=target.identity, signal=text)

    async def _classify_response(
        self,
        target: ListedTarget,
        response: aiohttp.ClientResponse,
        outgoing: OutgoingRequest,
    ) -> AttemptResult:
        echoed = response.headers.get(self._dialect.request_id)
        if echoed is not None and echoed != outgoing.request_id:
            response.close()
            return AttemptResult(
                AttemptOutcome.BROKEN, 0.0, detail="response to another request"
            )
        refused = self._classify_refusal(response)
        if refused is not None:
            response.close()
            return refused
        content = await self._read_content(target, response, outgoing)
        if response.status in SUCCESS_STATUSES and not self._is_valid_success(response):
            response.close()
            content.close()
            return AttemptResult(
                AttemptOutcome.BROKEN, 0.0, detail="response is not from the target"
            )
        target_response = TargetResponse(
            response.status, forwarded(response.headers), content
        )
        if content.is_unusual:
            return AttemptResult(
                AttemptOutcome.ERROR,
                0.0,
                target_response,
                "body longer by far than those of the service",
                exceeded=ResponseBound.BODY_UNUSUAL,
            )
        failed = response.status >= SERVER_ERROR
        return AttemptResult(
            AttemptOutcome.ERROR if failed else AttemptOutcome.ANSWERED,
            0.0,
            target_response,
        )

    async def _read_content(
        self,
        target: ListedTarget,
        response: aiohttp.ClientResponse,
        outgoing: OutgoingRequest,
    ) -> ResponseBody:
        service = target.service
        sizes = self._body_sizes
        content = ResponseBody(
            response,
            outgoing.memory.new_response(),
            sizes.unusual_bytes(service) if outgoing.may_compare else None,
            lambda size: sizes.record(service, size),
            self._max_body_bytes,
        )
        return await _with_prefix(content)

    def _classify_refusal(
        self, response: aiohttp.ClientResponse
    ) -> AttemptResult | None:
        if response.status == MISDIRECTED:
            return AttemptResult(
                AttemptOutcome.MISDIRECTED, 0.0, detail="another target at this address"
            )
        if self._dialect.not_run in response.headers:
            return AttemptResult(
                AttemptOutcome.SHED, 0.0, detail=f"status {response.status}"
            )
        if response.status in NOT_RUN_STATUSES:
            # These statuses guarantee the caller that the request was not run. Without
            # the target's header for that it may have run: don't pass them on.
            return AttemptResult(
                AttemptOutcome.ERROR, 0.0, detail=f"status {response.status}"
            )
        return None

    def _is_valid_success(self, response: aiohttp.ClientResponse) -> bool:
        # A success without the target's stamp, or with an encoded body, counts as sent
        # by something other than the target.
        return (
            self._dialect.target_stamp in response.headers
            and "Content-Encoding" not in response.headers
        )


async def read_prefix(
    response: aiohttp.ClientResponse, memory: RequestMemory
) -> ResponseBody:
    """Return a body of which the part to read before writing has been read."""
    return await _with_prefix(ResponseBody(response, memory.new_response()))


async def _with_prefix(content: ResponseBody) -> ResponseBody:
    try:
        await content.read_prefix()
    except BaseException:
        content.close()
        raise
    return content
