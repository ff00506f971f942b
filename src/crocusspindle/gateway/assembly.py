"""Build the services of a node that serves on the platform."""

import math
import random
import secrets

from crocusspindle.connection_table import ConnectionTable
from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.connection_bound import (
    ConnectionBound,
    max_connections,
    max_head_bytes,
)
from crocusspindle.core.departure import Departure
from crocusspindle.core.memory_bound import MemoryBound, bound_bytes
from crocusspindle.core.policies import Policies
from crocusspindle.core.reader_choice import ReaderChoice
from crocusspindle.core.view import NodeAddress
from crocusspindle.errors import Finding, SettingsError
from crocusspindle.gateway.admission import Admission
from crocusspindle.gateway.age_watch import AgeWatch
from crocusspindle.gateway.attempt_runner import AttemptRunner
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.entry import Entry
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.hand_over import HandOver
from crocusspindle.gateway.held_memory import HeldMemory
from crocusspindle.gateway.host_load import HostLoad
from crocusspindle.gateway.line_log import LineHandler
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.paths import Paths
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.placing import Placing
from crocusspindle.gateway.platform_reader import PlatformReader
from crocusspindle.gateway.ports import Ports
from crocusspindle.gateway.quota import Quota
from crocusspindle.gateway.reload import LiveBounds, Reload
from crocusspindle.gateway.settings import GatewaySettings
from crocusspindle.gateway.settings_source import SettingsSource
from crocusspindle.gateway.target_client import TargetClient
from crocusspindle.ids import Incarnation
from crocusspindle.kernel import Kernel
from crocusspindle.metrics import Metrics
from crocusspindle.platform.fleet_platform import FleetPlatform, forms


def platform_of(settings: GatewaySettings) -> FleetPlatform:
    """Build the configured platform; raise ``SettingsError`` if it is unknown."""
    platform_type = forms().get(settings.platform_form)
    if platform_type is None:
        known_forms = ", ".join(sorted(forms()))
        message = f"{settings.platform_form!r} is unknown; known forms: {known_forms}"
        raise SettingsError([Finding("settings", "platform.form", message)])
    return platform_type.from_config(settings.platform)


def _memory_bound(settings: GatewaySettings) -> MemoryBound:
    if math.isinf(settings.memory_mb):
        return MemoryBound()
    return MemoryBound(bound_bytes(settings.memory_mb))


def _connection_bound(settings: GatewaySettings) -> ConnectionBound:
    return ConnectionBound(
        max_connections(settings.memory_mb, settings.file_descriptors),
        max_head_bytes(settings.memory_mb),
    )


def build(
    source: SettingsSource,
    settings: GatewaySettings,
    dialect: Dialect,
    lines: LineHandler,
    policies: Policies,
    began_ms: float,
) -> Kernel:
    """Build a node's services; raise ``SettingsError`` for an unknown platform."""
    rng = random.Random(secrets.randbits(64))
    node = NodeAddress(
        settings.host,
        Incarnation(secrets.token_hex(4)),
        settings.ip,
        settings.peer_port,
        settings.domain,
        settings.caller_address,
        settings.capacity,
    )
    bounds = LiveBounds(settings.bounds)
    metrics = Metrics(settings.host, settings.domain)
    platform = platform_of(settings)
    exchange = Exchange((settings.ip, settings.peer_port), rng, metrics)
    fleet_state = FleetState(platform.parse_configuration)
    platform_reader = PlatformReader(platform, fleet_state, rng)
    quota = Quota(node, bounds, exchange, fleet_state, metrics, rng, began_ms)
    reader_choice = ReaderChoice(node.host, rng)
    document_limiter = ByteRateLimiter(settings.document_bytes_per_ms)
    membership = Membership(
        node,
        exchange,
        fleet_state,
        platform_reader,
        quota.expired_entry_keys,
        reader_choice,
        document_limiter,
        rng,
    )
    crashes = CrashSharing(exchange, fleet_state, metrics)
    placers = Placers(node, bounds, exchange, fleet_state, policies, crashes, metrics)
    placing = Placing(exchange, placers, rng, crashes, bounds)
    memory = HeldMemory(_memory_bound(settings), metrics)
    departure = Departure()
    admission = Admission(bounds, dialect, fleet_state, memory, departure)
    paths = Paths(placers, metrics, rng)
    hand_over = HandOver(
        node,
        dialect,
        exchange,
        fleet_state,
        membership,
        placers,
        policies,
        metrics,
        rng,
    )
    client = TargetClient(
        dialect,
        placing.record_signals,
        placing.may_send,
        settings.max_response_bytes,
    )
    attempt_runner = AttemptRunner(
        node, client, placing, paths, hand_over, policies, metrics, rng, departure
    )
    entry = Entry(
        admission,
        dialect,
        fleet_state,
        attempt_runner,
        hand_over,
        quota,
        crashes,
        metrics,
        departure,
    )
    ports = Ports(
        settings,
        dialect,
        fleet_state,
        membership,
        entry,
        metrics,
        bounds,
        lines,
        ConnectionTable(_connection_bound(settings)),
    )
    # Planned restarts may overlap; SIGKILL ends a process that must not drain.
    kernel = Kernel(
        settings.bounds.grace_ms,
        second_stop_ends_drain=False,
        drains_after_failure=True,
    )
    for service in (
        exchange,
        fleet_state,
        platform_reader,
        AgeWatch(fleet_state, platform_reader),
        quota,
        membership,
        HostLoad(settings, membership, metrics),
        crashes,
        placers,
        placing,
        paths,
        hand_over,
        entry,
        ports,
        Reload(source, settings, bounds, kernel),
    ):
        kernel.add(service.name, service)
    return kernel
