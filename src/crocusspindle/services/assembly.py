"""Build the services of one node from its settings."""

import pkgutil
import secrets
import socket
from importlib import import_module
from typing import Final

from aiohttp import web

from crocusspindle import platform as platform_package
from crocusspindle.core.members import ViewMember
from crocusspindle.errors import Finding, SettingsError
from crocusspindle.ids import DomainId, MemberId
from crocusspindle.kernel import Kernel
from crocusspindle.metrics import Metrics, metrics_app
from crocusspindle.platform.adapter import PlatformAdapter, adapters
from crocusspindle.services.backend import BackendService
from crocusspindle.services.control import ControlService, unix_ms
from crocusspindle.services.coordinator import CoordinatorService
from crocusspindle.services.entry import EntryService
from crocusspindle.services.follower import FollowerService
from crocusspindle.services.gauges import watch_node
from crocusspindle.services.hand_over import HandOverService
from crocusspindle.services.ledger import LedgerService
from crocusspindle.services.operations import OperationsService
from crocusspindle.services.operator_port import operator_app
from crocusspindle.services.peers import Peers, fleet_credential
from crocusspindle.services.platform_service import PlatformService
from crocusspindle.services.ports import CallerPort, HttpPort, PeerPort, PeerServer
from crocusspindle.services.rates import RatesService
from crocusspindle.settings import fleet_key
from crocusspindle.settings_schema import NodeSettings
from crocusspindle.tls import NodeTls

BACKLOG: Final = 512

__all__ = ["build", "platform_adapter"]


def build(settings: NodeSettings) -> Kernel:
    """Return the kernel of a node whose services are ready to start.

    Raises ``SettingsError`` for an unknown platform adapter and ``OSError`` for a
    port that is in use.
    """
    caller_socket = _listen(settings.caller.host, settings.caller.port)
    peer_socket = _listen(settings.peer.host, settings.peer.port)
    operator_socket = _listen(settings.operator.host, settings.operator.port)
    own_member = _member(settings, caller_socket, peer_socket)
    credential = fleet_credential(fleet_key(settings.fleet), settings.fleet.name)
    metrics = Metrics(settings.node.name, settings.node.domain)
    tls = NodeTls.from_config(settings)
    platform = PlatformService(platform_adapter(settings), metrics)
    timings, limits = settings.timings, settings.limits

    kernel = Kernel(timings.drain_ms)
    control = ControlService(own_member, timings)
    peers = Peers(own_member.member, credential, timings, control, tls.peer_client)
    rates = RatesService(control, peers, timings, metrics)
    coordinator = CoordinatorService(control, peers, limits, metrics)
    follower = FollowerService(control, peers, platform, timings, limits)
    ledger = LedgerService(control, peers, platform, timings, limits, metrics)
    operations = OperationsService(control, peers, ledger)
    hand_over = HandOverService(control, peers, coordinator, timings)
    entry = EntryService(
        settings, control, peers, rates, hand_over, operations, metrics
    )
    backend = BackendService(
        control, peers, rates, coordinator, ledger, follower, platform, timings
    )
    server = PeerServer(control, rates, coordinator, ledger)
    caller_port = CallerPort(
        caller_socket,
        settings.caller,
        entry,
        coordinator,
        timings.where_max_age_ms,
        tls.caller,
    )
    watch_node(metrics, control, peers, coordinator, lambda: caller_port.connections)

    async def build_operator_app() -> web.Application:
        return operator_app(backend, settings.operator.principals, metrics)

    async def build_metrics_app() -> web.Application:
        return metrics_app(metrics)

    kernel.add("platform", platform)
    kernel.add("certificates", tls.reloader)
    kernel.add("control", control)
    kernel.add("peers", peers)
    kernel.add("rates", rates)
    kernel.add("home", coordinator)
    kernel.add("peer_port", PeerPort(peer_socket, server, credential, tls.peer_server))
    kernel.add("follower", follower)
    kernel.add("ledger", ledger)
    kernel.add("operations", operations)
    kernel.add("hand_over", hand_over)
    kernel.add("entry", entry)
    kernel.add("backend", backend)
    kernel.add("caller_port", caller_port)
    operator_port = HttpPort(
        operator_socket, build_operator_app, ("backend",), tls.operator
    )
    kernel.add("operator_port", operator_port)
    if settings.metrics is not None:
        metrics_socket = _listen(settings.metrics.host, settings.metrics.port)
        kernel.add("metrics_port", HttpPort(metrics_socket, build_metrics_app))
    return kernel


def _member(
    settings: NodeSettings, caller_socket: socket.socket, peer_socket: socket.socket
) -> ViewMember:
    advertised = settings.caller.advertise or _address(caller_socket)
    return ViewMember(
        member=MemberId(f"{settings.node.name}-{secrets.token_hex(4)}"),
        domain=DomainId(settings.node.domain),
        region=settings.node.region,
        caller_address=advertised,
        peer_address=settings.peer.advertise or _address(peer_socket),
        joined_unix_ms=unix_ms(),
    )


def platform_adapter(settings: NodeSettings) -> PlatformAdapter:
    """Return the adapter that the settings name.

    Raises ``SettingsError`` for an unknown one.
    """
    # Importing a module of the package registers its adapter, so a new platform needs
    # one file and no change elsewhere.
    for module in pkgutil.iter_modules(platform_package.__path__):
        import_module(f"{platform_package.__name__}.{module.name}")
    registered = adapters()
    name = settings.platform.adapter
    if name not in registered:
        names = ", ".join(sorted(registered))
        finding = Finding("settings", "platform.adapter", f"must be one of {names}")
        raise SettingsError([finding])
    return registered[name].from_config(settings.platform.options)


def _listen(host: str, port: int) -> socket.socket:
    listening = socket.create_server((host, port), backlog=BACKLOG, reuse_port=False)
    listening.setblocking(False)
    return listening


def _address(listening: socket.socket) -> str:
    host, port = listening.getsockname()[:2]
    return f"{host}:{port}"
