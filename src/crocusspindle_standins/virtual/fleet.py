"""Run the nodes of a fleet in virtual time, and inspect their state."""

import asyncio
import json
import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.policies import ALL_POLICIES
from crocusspindle.core.reader_choice import ReaderChoice
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway.age_watch import AgeWatch
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.platform_reader import PlatformReader, view_key
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.settings import (
    BYTES_PER_MS,
    DOCUMENTS_LINK_FRACTION,
    UNITS_PER_CORE,
    Bounds,
)
from crocusspindle.ids import DomainId, HostId, Incarnation, ServiceId
from crocusspindle.metrics import Metrics
from crocusspindle.platform.fleet_platform import Table
from crocusspindle_standins.virtual.loop import VirtualLoop
from crocusspindle_standins.virtual.network import Link, Network
from crocusspindle_standins.virtual.store import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    Store,
    StoreClient,
    target_row,
)

PEER_PORT: Final = 7_340
START_SPREAD_S: Final = 0.3
START_UNIX_MS: Final = 1_000_000
DOMAINS: Final = ("a", "b", "c", "d")
ROUTES: Final = 60


@dataclass(frozen=True, slots=True)
class HostSize:
    """Hold a host's capacity."""

    link_mbit_s: float
    cores: float = 1.0

    @property
    def capacity(self) -> int:
        """Return the capacity that the host reports."""
        return round(min(self.link_mbit_s, self.cores * UNITS_PER_CORE))


class Node:
    """Run the services of one host that keep its fleet state fresh."""

    def __init__(
        self,
        address: NodeAddress,
        size: HostSize,
        store: Store,
        rng: random.Random,
    ) -> None:
        self.address = address
        platform = StoreClient(store, address.host)
        metrics = Metrics(address.host, address.domain)
        self.exchange = Exchange((address.ip, address.peer_port), rng, metrics)
        self.fleet_state = FleetState(platform.parse_configuration)
        self.platform_reader = PlatformReader(platform, self.fleet_state, rng)
        self.crashes = CrashSharing(self.exchange, self.fleet_state, metrics)
        self.placers = Placers(
            address,
            LiveBounds(Bounds()),
            self.exchange,
            self.fleet_state,
            ALL_POLICIES,
            self.crashes,
            metrics,
        )
        self.membership = Membership(
            address,
            self.exchange,
            self.fleet_state,
            self.platform_reader,
            set,
            ReaderChoice(address.host, rng),
            ByteRateLimiter(size.link_mbit_s * BYTES_PER_MS * DOCUMENTS_LINK_FRACTION),
            rng,
        )
        self.age_watch = AgeWatch(self.fleet_state, self.platform_reader)
        self.membership.is_ready = lambda: self.fleet_state.view.content is not None

    async def start(self) -> None:
        """Start the services in order of dependency."""
        for service in (
            self.exchange,
            self.platform_reader,
            self.age_watch,
            self.membership,
            self.crashes,
            self.placers,
        ):
            await service.start()

    async def kill(self) -> None:
        """End all services at once, as a killed process does."""
        await self.exchange.stop()
        for service in (
            self.placers,
            self.crashes,
            self.membership,
            self.age_watch,
            self.platform_reader,
            self.exchange,
        ):
            await service.cancel_tasks()


class VirtualFleet:
    """Hold hosts, their links and the store."""

    def __init__(
        self, loop: VirtualLoop, sizes: Sequence[HostSize], targets: int, seed: int
    ) -> None:
        self._rng = random.Random(seed)
        self.store = Store()
        self.network = Network(loop)
        loop.network = self.network
        self.sizes = {f"n{number:03}": size for number, size in enumerate(sizes)}
        self.nodes: dict[str, Node] = {}
        self._versions = 1
        self._targets: list[TargetIdentity] = []
        self.listed: dict[TargetIdentity, ListedTarget] = {}
        self.evacuated: frozenset[DomainId] = frozenset()
        for number in range(targets):
            self._list_target(number)
        self.configure(ROUTES)

    def _list_target(self, number: int) -> None:
        target = ListedTarget(
            TargetIdentity(f"i-{self._rng.getrandbits(40):010x}"),
            ServiceId(f"service-{number % 3}"),
            f"10.9.{number // 250}.{number % 250}:8422",
            DomainId(DOMAINS[number % len(DOMAINS)]),
            2,
            Readiness.READY,
            started_ms=START_UNIX_MS,
        )
        self._targets.append(target.identity)
        self.write_target(target)

    def write_target(self, target: ListedTarget) -> None:
        """Write the row of a target, as the target does itself."""
        self.listed[target.identity] = target
        self.store.put(Table.TARGETS, target.identity, target_row(target))

    def leave(self, target: TargetIdentity) -> None:
        """Let a target say that it leaves."""
        leaving = replace(self.listed[target], readiness=Readiness.DRAINING)
        self.write_target(leaving)

    def remove_target(self, target: TargetIdentity) -> None:
        """Remove the row of a target that has left."""
        del self.listed[target]
        self._targets.remove(target)
        self.store.put(Table.TARGETS, target, None)

    def evacuate(self, domain: DomainId) -> None:
        """Evacuate a failure domain as an operator does."""
        self.evacuated |= {domain}
        self.store.put(Table.CONFIGURATION, EVACUATION_PREFIX + domain, b"{}")

    def take_back(self, domain: DomainId) -> None:
        """End the evacuation of a failure domain."""
        self.evacuated -= {domain}
        self.store.put(Table.CONFIGURATION, EVACUATION_PREFIX + domain, None)

    def writers_of_lost_rows(self, rng: random.Random) -> list[Callable[[], None]]:
        """Return functions that each write again some of what a restore has undone."""
        targets = sorted(self.listed.keys() | self.store.tables[Table.TARGETS].keys())
        rng.shuffle(targets)
        writers: list[Callable[[], None]] = [
            partial(self._write_again, [TargetIdentity(name) for name in part])
            for part in (targets[number::8] for number in range(8))
        ]
        writers += [self._write_configuration, self._write_evacuations_again]
        rng.shuffle(writers)
        return writers

    def _write_again(self, targets: Sequence[TargetIdentity]) -> None:
        rows = self.store.tables[Table.TARGETS]
        for target in targets:
            listed = self.listed.get(target)
            value = None if listed is None else target_row(listed)
            row = rows.get(target)
            if value != (None if row is None else row.value):
                self.store.put(Table.TARGETS, target, value)

    def _write_configuration(self) -> None:
        self.store.put(Table.CONFIGURATION, CONFIGURATION_KEY, self._configuration)

    def _write_evacuations_again(self) -> None:
        for domain in map(DomainId, DOMAINS):
            is_evacuated = domain in self.evacuated
            row = self.store.tables[Table.CONFIGURATION].get(EVACUATION_PREFIX + domain)
            if is_evacuated != (row is not None and row.value is not None):
                change = self.evacuate if is_evacuated else self.take_back
                change(domain)

    def configure(self, routes: int) -> None:
        """Write a configuration as long as that of so many routes, at 12 words each."""
        words = (f"{self._rng.getrandbits(40):010x}" for _ in range(routes * 12))
        self._versions += 1
        document = {
            "version": f"{self._versions:08}",
            "routes": {},
            "services": {},
            "tenants": {},
            "note": " ".join(words),
        }
        self._configuration = json.dumps(document).encode()
        self._write_configuration()

    @property
    def configuration_version(self) -> int:
        """Return the version of the configuration that was written last."""
        return int(f"{self._versions:08}", 16)

    def replace_targets(self, count: int) -> None:
        """Replace random targets of the list with new ones."""
        for _ in range(count):
            number = self._rng.randrange(len(self._targets))
            self.remove_target(self._targets[number])
            self._list_target(number)

    async def start_all(self) -> None:
        """Start all hosts as a platform does: within 0.3 s, in random order."""
        names = list(self.sizes)
        self._rng.shuffle(names)
        for name in names:
            await asyncio.sleep(START_SPREAD_S / len(names))
            await self.start(name)

    async def start(self, name: str) -> None:
        """Start a new process on a host."""
        number = list(self.sizes).index(name)
        ip = f"10.1.{number // 250}.{number % 250}"
        self.network.links.setdefault(ip, Link(self.sizes[name].link_mbit_s))
        address = NodeAddress(
            HostId(name),
            Incarnation(f"{self._rng.getrandbits(32):08x}"),
            ip,
            PEER_PORT,
            DomainId(DOMAINS[number % len(DOMAINS)]),
            f"{ip}:8782",
            self.sizes[name].capacity,
        )
        self.nodes[name] = Node(address, self.sizes[name], self.store, self._rng)
        await self.nodes[name].start()

    async def kill(self, name: str) -> None:
        """Kill the process on a host without a shutdown."""
        await self.nodes.pop(name).kill()

    def cut_off(self, name: str) -> None:
        """Cut a host off from all other hosts; it still reaches the store."""
        self.network.cut_off.add(self.nodes[name].address.ip)

    def rejoin(self, name: str) -> None:
        """Reconnect a host that was cut off."""
        self.network.cut_off.discard(self.nodes[name].address.ip)

    def views(self) -> Counter[int]:
        """Return how many nodes have each view version in force."""
        return Counter(node.fleet_state.view.version for node in self.nodes.values())

    def count_listed_processes(self) -> int:
        """Return how many running processes the store's view lists."""
        row = self.store.tables[Table.FLEET].get(view_key(self.store.era))
        if row is None or row.value is None:
            return 0
        _, entries, _ = json.loads(row.value)
        listed = {entry[1] for entry in entries}
        running = {node.address.incarnation for node in self.nodes.values()}
        return len(listed & running)

    def readers(self) -> list[str]:
        """Return the hosts that are reading the store."""
        return [
            name for name, node in self.nodes.items() if node.platform_reader.active
        ]

    def sent_datagrams(self) -> int:
        """Return how many datagrams were sent."""
        return sum(link.sent_datagrams for link in self.network.links.values())

    def sent_bytes(self) -> int:
        """Return how many bytes of datagrams were sent."""
        return sum(link.sent_bytes for link in self.network.links.values())
