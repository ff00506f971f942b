"""Show how a node stands at each scrape."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.health_state import HealthState
from crocusspindle.metrics import Instrument, Metrics
from crocusspindle.services.control import ControlService
from crocusspindle.services.home import HomeService
from crocusspindle.services.peers import Peers

Reading = Iterable[tuple[float, Mapping[str, str]]]


def watch_node(
    metrics: Metrics,
    control: ControlService,
    peers: Peers,
    home: HomeService,
    connections: Callable[[], int],
) -> None:
    """Read the node's gauges from its services at each scrape."""

    def members() -> float:
        return 0 if control.view is None else len(control.view.members)

    def connected() -> float:
        return sum(peers.connected(member.member) for member in peers.members())

    def stamp_age() -> Reading:
        age_ms = control.fitness.stamp_age_ms(now_ms())
        return [] if age_ms is None else [(age_ms, {})]

    single: Mapping[Instrument, Callable[[], float]] = {
        instruments.FIT: control.is_eligible,
        instruments.MEMBERS: members,
        instruments.PEERS: connected,
        instruments.TICKET: lambda: control.log.applied,
        instruments.CALLER_CONNECTIONS: connections,
        instruments.HEARTBEAT_BYTES: lambda: control.heartbeat_bytes,
    }
    for instrument, read in single.items():
        metrics.observe(instrument, _alone(read))
    metrics.observe(instruments.STAMP_AGE_MS, stamp_age)
    metrics.observe(instruments.QUEUED, lambda: _by_service(_queued(home)))
    metrics.observe(instruments.EJECTED, lambda: _by_service(_ejected(home)))


def _alone(read: Callable[[], float]) -> Callable[[], Reading]:
    return lambda: [(float(read()), {})]


def _by_service(values: Counter[str]) -> Reading:
    return [(value, {"service": service}) for service, value in values.items()]


def _queued(home: HomeService) -> Counter[str]:
    found: Counter[str] = Counter()
    for service, status, _ in home.groups():
        found[service] += status.load.queued
    return found


def _ejected(home: HomeService) -> Counter[str]:
    found: Counter[str] = Counter()
    for service, _, targets in home.groups():
        found[service] += sum(one.state is HealthState.EJECTED for one in targets)
    return found
