"""Serve a node's ports: callers, readiness, discovery, metrics."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from statistics import fmean
from typing import Any, ClassVar, Final

from aiohttp import web

from crocusspindle.caller_connections import (
    BoundServer,
    abort_connections,
    close_connections,
)
from crocusspindle.clock import now_ms
from crocusspindle.connection_table import ConnectionTable
from crocusspindle.core.capacity_left import LEFT_MAX
from crocusspindle.core.configuration import CallerLimits
from crocusspindle.core.connection_bound import ConnectionBound
from crocusspindle.core.departure import give_up_after_ms
from crocusspindle.core.host_choice import HostChoice, OpenHost, caller_capacity
from crocusspindle.gateway import instruments
from crocusspindle.gateway.caller_port import CallerServer
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.entry import Entry
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.line_log import LineHandler
from crocusspindle.gateway.listener import Listener
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.response_body import unbound_kernel_buffer
from crocusspindle.gateway.settings import GatewaySettings
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

WHERE_VALID_S: Final = 2.0
"""Callers cache the addresses of nodes this long, some three times as long, and only
then avoid a node that leaves. A shorter time would cost each caller a request a
second."""

ACCEPTING_FRACTION: Final = 0.62
"""Fraction of the grace period in which a leaving node accepts new connections. Callers
that cached its address connect until then; what may not end in time is refused."""

REFUSALS_MS: Final = 100.0
"""How long before running requests are given up a leaving node refuses those that
certainly have not run."""

LAST_RESPONSES_MS: Final = 100.0
"""How long a node sends responses after it has given up what still runs."""

OWN_CONNECTIONS: Final = 32
"""Connections of the platform's checks and of what reads the metrics."""

OWN_HEAD_BYTES: Final = 1 << 20
"""Memory of the heads of their requests."""

READY_MARGIN_MS: Final = 500.0
"""A node reports itself not ready this long before the revocation time has passed since
the last confirmation of its configuration, so that callers have moved to other nodes
when it must refuse keys."""


class Ports(Service):
    """Open and close the listeners."""

    name: ClassVar[str] = "ports"
    needs: ClassVar[tuple[str, ...]] = ("entry", "membership")

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        fleet_state: FleetState,
        membership: Membership,
        entry: Entry,
        metrics: Metrics,
        bounds: LiveBounds,
        lines: LineHandler,
        callers: ConnectionTable | None = None,
    ) -> None:
        self._bounds = bounds
        self._lines = lines
        self._settings = settings
        self._dialect = dialect
        self._fleet_state = fleet_state
        self._membership = membership
        self._entry = entry
        self._metrics = metrics
        self._log = Logger("ports")
        self._caller_listener: Listener | None = None
        self._hand_over_listener: Listener | None = None
        self._other_listeners: list[Listener] = []
        self._callers = ConnectionTable() if callers is None else callers
        self._caller_server = CallerServer(entry, self._limits, self._callers)
        self._choice = HostChoice([])
        self._choice_key: tuple[Any, ...] = ()
        self._all_open = False

    async def start(self) -> None:
        """Open all ports."""
        settings = self._settings
        self._caller_listener = await Listener.open(
            settings.caller_address, self._caller_server
        )
        # The datagrams between nodes use the same port number.
        self._hand_over_listener = await Listener.open(
            f"{settings.ip}:{settings.peer_port}", self._caller_server
        )
        own = ConnectionTable(ConnectionBound(OWN_CONNECTIONS, OWN_HEAD_BYTES))
        for address, handler, table in (
            (settings.ready_address, self._ready, own),
            (settings.where_address, self._where, self._callers),
            (f"{settings.ip}:{settings.metrics_port}", self._scrape, own),
        ):
            server = BoundServer(handler, table)
            self._other_listeners.append(await Listener.open(address, server))
        self._all_open = True
        self._membership.is_ready = self._is_ready

    def _limits(self) -> CallerLimits:
        configuration = self._fleet_state.configuration.content
        return CallerLimits() if configuration is None else configuration.limits

    def _is_ready(self) -> bool:
        age_ms = self._fleet_state.configuration.age_ms(now_ms())
        return (
            self._all_open
            and not self._membership.leaving
            and self._fleet_state.configuration.content is not None
            and self._fleet_state.targets.content is not None
            and self._fleet_state.view.content is not None
            and age_ms < self._bounds.current.revocation_ms - READY_MARGIN_MS
        )

    async def _ready(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._dialect.readiness_path:
            return web.Response(status=404)
        return web.Response(status=200 if self._is_ready() else 503)

    async def _where(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != self._dialect.where_path:
            return web.Response(status=404)
        domain = self._dialect.caller_domain(request.query)
        addresses = self._addresses(domain, request.remote or "")
        if not addresses:
            return web.Response(status=503)
        valid_s = min(WHERE_VALID_S, self._bounds.current.where_valid_ms / 1e3)
        body = self._dialect.where_response(addresses, valid_s)
        return web.Response(body=body, content_type="application/json")

    def _addresses(self, domain: str, caller_ip: str) -> list[str]:
        addresses = self._host_choice().addresses(domain, caller_ip)
        if not addresses and self._is_ready():
            addresses = [self._settings.caller_address]
        return addresses

    def _host_choice(self) -> HostChoice:
        state = self._fleet_state
        left = state.confirmed_capacity_left()
        key = (state.view.version, state.open_digest, dict(left))
        if key != self._choice_key:
            self._choice_key = key
            self._choice = HostChoice(self._open_hosts(left))
        return self._choice

    def _open_hosts(self, left: Mapping[str, int]) -> list[OpenHost]:
        view = self._fleet_state.view.content
        nodes = [] if view is None else [entry.node for entry in view.entries]
        capacities = {
            node.caller_address: caller_capacity(node.capacity) for node in nodes
        }
        # A host that has just joined may be open before the view names it.
        mean = fmean(capacities.values()) if capacities else 1.0
        return [
            OpenHost(
                address,
                domain,
                capacities.get(address, mean),
                left.get(address, LEFT_MAX),
            )
            for address, domain in self._fleet_state.open_nodes
        ]

    async def _scrape(self, request: web.BaseRequest) -> web.StreamResponse:
        self._metrics.set(instruments.LOG_DROPPED, self._lines.dropped)
        evacuated = self._fleet_state.evacuated.content or frozenset()
        self._metrics.set(instruments.EVACUATED, len(evacuated))
        self._metrics.set(instruments.STORE_ERA, self._fleet_state.store_era)
        stale_responses = self._fleet_state.stale_responses
        self._metrics.set(instruments.STALE_RESPONSES, stale_responses)
        self._metrics.set(instruments.REJECTED_ROWS, self._fleet_state.rejected_rows)
        self._metrics.set(instruments.CALLER_CONNECTIONS, len(self._callers))
        for reason, count in self._callers.closed.items():
            self._metrics.set(instruments.CLOSED_AT_BOUND, count, reason=reason.value)
        return web.Response(body=self._metrics.render(), content_type="text/plain")

    async def drain(self) -> None:
        """Leave the fleet; answer callers until it is time to give up."""
        began_ms = now_ms()
        grace_ms = self._bounds.current.grace_ms
        give_up_ms = began_ms + give_up_after_ms(grace_ms)
        self._membership.leave()
        self._entry.leave(began_ms, grace_ms)
        await self._close_hand_over_port()
        await asyncio.sleep(grace_ms * ACCEPTING_FRACTION / 1e3)
        await self._close_caller_port()
        self._log_connections("caller port closed")
        await close_connections(self._caller_server, give_up_ms - REFUSALS_MS)
        self._entry.refuse_waiting()
        for connection in self._caller_server.connections:
            # Slow callers get the responses that this process holds after its end.
            unbound_kernel_buffer(connection.transport)
        await close_connections(self._caller_server, give_up_ms)
        self._log_connections("drained")
        self._entry.end_running()
        await close_connections(self._caller_server, give_up_ms + LAST_RESPONSES_MS)

    def _log_connections(self, message: str) -> None:
        log_state_change(
            self._log,
            message,
            running=self._entry.running,
            connections=len(self._caller_server.connections),
        )

    async def _close_hand_over_port(self) -> None:
        if self._hand_over_listener is not None:
            await self._hand_over_listener.accept_and_close()
            self._hand_over_listener = None

    async def _close_caller_port(self) -> None:
        if self._caller_listener is not None:
            await self._caller_listener.accept_and_close()
            self._caller_listener = None

    async def stop(self) -> None:
        """Close all ports and connections at once."""
        for listener in (self._caller_listener, self._hand_over_listener):
            if listener is not None:
                listener.close()
        self._entry.give_up()
        abort_connections(self._caller_server)
        for listener in self._other_listeners:
            listener.close()


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
