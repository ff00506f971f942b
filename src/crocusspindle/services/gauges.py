"""Export a node's state as gauges, read at each scrape."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.health_state import HealthState
from crocusspindle.metrics import Instrument, Metrics
from crocusspindle.services.control import ControlService
from crocusspindle.services.coordinator import CoordinatorService
from crocusspindle.services.peers import Peers

Measurements = Iterable[tuple[float, Mapping[str, str]]]


def watch_node(
    metrics: Metrics,
    control: ControlService,
    peers: Peers,
    coordinator: CoordinatorService,
    connections: Callable[[], int],
) -> None:
    """Register the node's gauges, which are read from its services at each scrape."""

    def members() -> float:
        return 0 if control.view is None else len(control.view.members)

    def connected() -> float:
        return sum(peers.connected(member.member) for member in peers.members())

    def stamp_age() -> Measurements:
        age_ms = control.node_eligibility.timestamp_age_ms(now_ms())
        return [] if age_ms is None else [(age_ms, {})]

    single_gauges: Mapping[Instrument, Callable[[], float]] = {
        instruments.FIT: control.is_eligible,
        instruments.MEMBERS: members,
        instruments.PEERS: connected,
        instruments.TICKET: lambda: control.log.applied,
        instruments.CALLER_CONNECTIONS: connections,
        instruments.HEARTBEAT_BYTES: lambda: control.heartbeat_bytes,
    }
    for instrument, read in single_gauges.items():
        metrics.observe(instrument, _single_measurement(read))
    metrics.observe(instruments.STAMP_AGE_MS, stamp_age)
    metrics.observe(instruments.QUEUED, lambda: _by_service(_queued(coordinator)))
    metrics.observe(instruments.EJECTED, lambda: _by_service(_ejected(coordinator)))


def _single_measurement(read: Callable[[], float]) -> Callable[[], Measurements]:
    return lambda: [(float(read()), {})]


def _by_service(values: Counter[str]) -> Measurements:
    return [(value, {"service": service}) for service, value in values.items()]


def _queued(coordinator: CoordinatorService) -> Counter[str]:
    counts: Counter[str] = Counter()
    for service, status, _ in coordinator.groups():
        counts[service] += status.load.queued
    return counts


def _ejected(coordinator: CoordinatorService) -> Counter[str]:
    counts: Counter[str] = Counter()
    for service, _, targets in coordinator.groups():
        counts[service] += sum(
            target.state is HealthState.EJECTED for target in targets
        )
    return counts
