"""Hand requests over to a node that reaches targets, and take those of others."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import ClassVar, Final

import aiohttp
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.hand_over_choice import HandOverChoice
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway import instruments
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.hand_over_headers import (
    ATTEMPTS,
    REFUSED,
    HandedOver,
    arrived_attempts,
)
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.messages import ReachingAnswer, ReachingAsk
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.placing import PEER_SILENT_S
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import (
    GIVEN_UP_REASON,
    LEAVING_REASON,
    LEAVING_RETRY_MS,
    Refusal,
)
from crocusspindle.gateway.strict_connector import single_use_session
from crocusspindle.gateway.target_client import (
    CONNECTION_LOST,
    NOT_RUN_STATUSES,
    SERVER_ERROR,
    AttemptResult,
    TargetResponse,
    read_prefix,
)
from crocusspindle.ids import HostId, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger
from crocusspindle.metrics import Metrics
from crocusspindle.services.targets import forwarded

NO_PATH_RETRY_MS: Final = 1_000.0
"""A node without paths probes them about once a second."""

NAMED_VALID_MS: Final = 300.0
"""How long the nodes that a placer named are used without asking again."""

MAX_TAKEN: Final = 64
"""Requests of other nodes that a node runs at once. A small host has memory for as many
bodies beside those of its own callers."""

TRY_ELSEWHERE: Final = frozenset(
    {
        "no-path",
        "hand-over-full",
        "leaving",
        "malformed-hand-over",
        "no-configuration",
        "not-a-member",
        "old-configuration",
        "memory",
    }
)
"""Refusals that concern the node that took the request, not the request."""

MayStart = Callable[[RequestContext], bool]


def _may_start(context: RequestContext) -> bool:
    """Return True; the default."""
    return True


class HandOver(Service):
    """Hand requests over to another node, once, and bound those taken from others."""

    name: ClassVar[str] = "hand_over"
    needs: ClassVar[tuple[str, ...]] = (
        "exchange",
        "knowledge",
        "membership",
        "placers",
    )

    def __init__(
        self,
        node: NodeAddress,
        dialect: Dialect,
        exchange: Exchange,
        fleet_state: FleetState,
        membership: Membership,
        placers: Placers,
        policies: Policies,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._membership = membership
        self._dialect = dialect
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._placers = placers
        self._policies = policies
        self._metrics = metrics
        self._rng = rng
        self._choice = HandOverChoice(node.host)
        self._named: dict[ServiceId, tuple[float, list[HostId]]] = {}
        self._taken = 0
        self._log = Logger("hand_over")
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the client for other nodes."""
        # Other nodes know this one by its address.
        self._session = single_use_session(self._node.ip)

    async def stop(self) -> None:
        """Close the client for other nodes."""
        if self._session is not None:
            await self._session.close()

    async def send(
        self,
        context: RequestContext,
        service: ServiceId,
        may_start: MayStart = _may_start,
    ) -> AttemptResult:
        """Return the response to a request that another node runs.

        ``may_start`` is asked before each node. Raise ``Refusal`` if no node takes the
        request, or with the reason of the one that did.
        """
        reason, retry_after_ms = "no-path", NO_PATH_RETRY_MS
        for host in await self._nodes(service):
            if now_ms() >= context.deadline_ms:
                break
            if not may_start(context):
                reason, retry_after_ms = LEAVING_REASON, LEAVING_RETRY_MS
                break
            result = await self._send_to(host, context, service)
            if result is not None and not self._may_try_another(context, result):
                return result
            if result is not None:
                result.discard()
            if not isinstance(context.outgoing.body, bytes | None):
                # A streamed body can't be sent again.
                break
        if context.may_have_run:
            raise Refusal(502, "hand-over-lost")
        raise Refusal(503, reason, retry_after_ms)

    @staticmethod
    def _may_try_another(context: RequestContext, result: AttemptResult) -> bool:
        lost = result.outcome is AttemptOutcome.BROKEN
        idempotent = context.route.kind.idempotent
        return lost and idempotent and context.arrived_attempts < context.route.attempts

    async def _nodes(self, service: ServiceId) -> list[HostId]:
        named: list[HostId] = []
        if self._policies.has(Policy.NAMED_HAND_OVER):
            named = await self._named_nodes(service)
        members = self._placers.ranks.ranked(service)
        return self._choice.nodes(service, named, members, now_ms())

    async def _named_nodes(self, service: ServiceId) -> list[HostId]:
        """Return the nodes that the service's placer names."""
        until_ms, named = self._named.get(service, (0.0, []))
        if now_ms() < until_ms:
            return self._rng.sample(named, len(named))
        for placer in self._placers.ranks.ranked(service)[:2]:
            to = self._placers.ranks.address(placer)
            if to is None:
                continue
            answer = await self._exchange.request(
                to, ReachingAsk(service), PEER_SILENT_S, PEER_SILENT_S
            )
            if isinstance(answer, ReachingAnswer):
                named = [HostId(host) for host in answer.hosts]
                self._named[service] = (now_ms() + NAMED_VALID_MS, named)
                return named
        return []

    async def _send_to(
        self, host: HostId, context: RequestContext, service: ServiceId
    ) -> AttemptResult | None:
        """Return the result of one node; None if it did not take the request."""
        address = self._placers.ranks.address(host)
        if address is None:
            return None
        # This node may serve callers before the taker's view names it.
        self._membership.introduce(address)
        began_ms = now_ms()
        outcome, detail = AttemptOutcome.ABANDONED, ""
        context.running_attempts += 1
        try:
            result = await self._try_exchange(f"{address[0]}:{address[1]}", context)
            if isinstance(result, Refusal):
                says_not_run = result.status in NOT_RUN_STATUSES
                outcome = AttemptOutcome.SHED if says_not_run else AttemptOutcome.ERROR
                detail = result.reason
            else:
                outcome, detail = result.outcome, result.detail
        finally:
            if outcome.fails_path or detail in TRY_ELSEWHERE:
                self._choice.record_refusal(service, host, now_ms())
                self._named.pop(service, None)
            self._record(context, host, outcome, detail, began_ms)
        if isinstance(result, Refusal):
            # A taker that leaves says 502 of what may have run.
            if outcome is AttemptOutcome.SHED and result.reason in TRY_ELSEWHERE:
                return None
            raise result
        return result if outcome.arrived else None

    async def _try_exchange(
        self, address: str, context: RequestContext
    ) -> AttemptResult | Refusal:
        """Return the response of a node, its refusal, or how the connection failed."""
        try:
            async with asyncio.timeout(remaining_s(context.deadline_ms)):
                return await self._exchange_with(address, context)
        except aiohttp.ConnectionTimeoutError as error:
            outcome, detail = AttemptOutcome.UNREACHED, str(error)
        except aiohttp.ClientConnectorError as error:
            outcome, detail = AttemptOutcome.CLOSED, str(error)
        except TimeoutError:
            outcome, detail = AttemptOutcome.SILENT, "no response before the deadline"
        except (*CONNECTION_LOST, aiohttp.ClientError, OSError, ValueError) as error:
            outcome, detail = AttemptOutcome.BROKEN, repr(error)
        return AttemptResult(outcome, 0.0, detail=detail)

    def _record(
        self,
        context: RequestContext,
        host: HostId,
        outcome: AttemptOutcome,
        detail: str,
        began_ms: float,
    ) -> None:
        context.running_attempts -= 1
        context.arrived_attempts += outcome.may_have_run
        context.may_have_run |= outcome.may_have_run
        context.may_have_arrived |= outcome.arrived
        context.attempt_records.append(
            {
                "handed_to": host,
                "ending": outcome.value,
                "after_ms": round(began_ms - context.began_ms),
                "latency_ms": round(now_ms() - began_ms),
                "detail": detail,
            }
        )
        self._metrics.add(instruments.HANDED_OVER, ending=outcome.value)

    async def _exchange_with(
        self, address: str, context: RequestContext
    ) -> AttemptResult | Refusal:
        assert self._session is not None
        outgoing = context.outgoing
        headers = self._headers(context)
        response = await self._session.request(
            outgoing.method,
            URL(f"http://{address}{outgoing.raw_path}", encoded=True),
            headers=headers,
            data=outgoing.body,
            allow_redirects=False,
            read_bufsize=outgoing.memory.process.read_buffer_bytes,
        )
        try:
            reason = response.headers.get(REFUSED)
            content = await read_prefix(response, outgoing.memory)
            if reason == GIVEN_UP_REASON:
                content.close()
                # As if the connection had broken: another node may do better.
                return AttemptResult(AttemptOutcome.BROKEN, 0.0, detail=reason)
            if reason is not None:
                content.close()
                # What the other node sent before it refused reached targets as well.
                new = arrived_attempts(response.headers) - int(headers[ATTEMPTS])
                context.arrived_attempts += max(0, new)
                return _refusal(response, reason)
            result = TargetResponse(
                response.status, forwarded(response.headers), content
            )
        except BaseException:
            response.close()
            raise
        failed = response.status >= SERVER_ERROR
        outcome = AttemptOutcome.ERROR if failed else AttemptOutcome.ANSWERED
        return AttemptResult(outcome, 0.0, result)

    def _headers(self, context: RequestContext) -> CIMultiDict[str]:
        headers = CIMultiDict(context.outgoing.headers)
        headers.popall(self._dialect.customer, None)
        if context.caller_key is not None:
            headers[self._dialect.key] = context.caller_key
        left_ms = max(1, int(remaining_s(context.deadline_ms) * 1e3))
        headers[self._dialect.time_left_ms] = str(left_ms)
        mark = HandedOver(
            self._node.ip,
            now_ms() - context.began_ms,
            self._fleet_state.configuration.version,
            bool(context.attempt_records),
            # Without the one that hands it over. An attempt that hedges may run here.
            context.arrived_attempts + context.running_attempts - 1,
        )
        headers.update(mark.headers())
        return headers

    def read_mark(self, request: web.BaseRequest) -> HandedOver | None:
        """Return how a request was handed over, None for one of a caller.

        Raise ``Refusal`` if its sender neither is a member nor has introduced itself.
        """
        if not self.is_taken(request):
            return None
        sender = request.remote or ""
        is_member = self._placers.ranks.is_member(sender)
        if not is_member and not self._membership.has_introduced_itself(sender):
            raise Refusal(503, "not-a-member")
        return HandedOver.from_headers(sender, request.headers)

    def is_taken(self, request: web.BaseRequest) -> bool:
        """Return True if a request came in at the port for other nodes."""
        transport = request.transport
        name = None if transport is None else transport.get_extra_info("sockname")
        return name is not None and name[1] == self._node.peer_port

    def begin_taken(self) -> None:
        """Count a request of another node; raise ``Refusal`` if there are too many."""
        if self._taken >= MAX_TAKEN:
            raise Refusal(503, "hand-over-full", NO_PATH_RETRY_MS)
        self._taken += 1
        self._metrics.add(instruments.TAKEN)

    def end_taken(self) -> None:
        """Count the end of such a request."""
        self._taken -= 1


def _refusal(response: aiohttp.ClientResponse, reason: str) -> Refusal:
    retry_after_ms: float | None = None
    with suppress(KeyError, ValueError):
        retry_after_ms = float(response.headers["Retry-After"]) * 1e3
    return Refusal(response.status, reason, retry_after_ms)
