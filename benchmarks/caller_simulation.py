"""Simulate callers that discover hosts, in virtual time.

Each caller keeps some connections. A new one goes to a uniformly picked address of the
caller's last answer; one to an address that a new answer lacks is closed. A host's load
is the work of its connections relative to its capacity.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.capacity_left import CapacityLeft
from crocusspindle.core.host_choice import HostChoice, OpenHost
from crocusspindle.core.load_steps import next_load
from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId, Incarnation

TICK_S: Final = 0.25
LISTS_KEPT_TICKS: Final = 2
"""The reader's list reaches all hosts with their next ping."""

LOAD_TICKS: Final = 4
"""Ticks in the second over which a host measures its load."""

CONNECTIONS: Final = 4
CONNECTION_S: Final = 8.0
"""Mean time after which a caller closes a connection by itself."""

VALID_S: Final = (2.0, 2.0, 6.0)
"""Times for which callers keep an answer, each as frequent as the others."""

Choose = Callable[[HostChoice, str, str, random.Random], list[str]]
"""Return the addresses for a domain and a caller's IP address."""


def by_caller(choice: HostChoice, domain: str, ip: str, _: random.Random) -> list[str]:
    """Choose by weighted rendezvous hashing of the caller's address."""
    return choice.addresses(domain, ip)


def by_draw(choice: HostChoice, domain: str, _: str, rng: random.Random) -> list[str]:
    """Draw by the same weights, again for each answer."""
    return choice.addresses(domain, f"{rng.getrandbits(64)}")


@dataclass(slots=True)
class Caller:
    """Hold a caller, its last answer and the addresses of its connections."""

    ip: str
    domain: str
    valid_s: float
    ask_at_s: float
    answer: list[str] = field(default_factory=list)
    connections: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Host:
    """Hold a host, and the work that it has from roles, relative to its capacity."""

    address: str
    domain: str
    capacity: float
    role_load: float = 0.0


@dataclass(slots=True)
class Totals:
    """Hold what was counted since the last reset."""

    answers: int = 0
    changed_answers: int = 0
    connection_s: float = 0.0
    moved: int = 0
    abroad_s: float = 0.0
    work: float = 0.0
    excess: float = 0.0
    list_changes: int = 0
    shortest_answer: int = 1_000


class CallerSimulation:
    """Run callers against hosts; ``demand`` is the work of a domain's callers by time.

    Work is in the units of the hosts' capacity.
    """

    def __init__(
        self,
        hosts: Sequence[Host],
        callers: Mapping[str, int],
        demand: Callable[[str, float], float],
        seed: int,
        choose: Choose = by_caller,
        reports_load: Callable[[Host], bool] = lambda host: True,
    ) -> None:
        self.hosts = {host.address: host for host in hosts}
        self.now_s = 0.0
        self.totals = Totals()
        self.loads: dict[str, float] = {}
        self.left: dict[str, int] = {}
        self.tracker = CapacityLeft()
        self._rng = random.Random(seed)
        self._demand = demand
        self._choose = choose
        self._reports_load = reports_load
        self._reported: dict[str, int] = {}
        self._recent: dict[str, list[float]] = {}
        self._previously_listed: set[str] = set()
        self._lists: list[HostChoice] = []
        self._count = dict(callers)
        self.callers = [
            Caller(
                f"10.{number}.{index // 250}.{index % 250}",
                domain,
                VALID_S[index % len(VALID_S)],
                self._rng.uniform(0.0, 2.0),
            )
            for number, (domain, count) in enumerate(callers.items())
            for index in range(count)
        ]

    def run(self, for_s: float) -> Totals:
        """Run for a time and return what was counted in it."""
        self.totals = Totals()
        end_s = self.now_s + for_s
        while self.now_s < end_s - TICK_S / 2:
            self._update_list()
            for caller in self.callers:
                self._act(caller)
            self._measure()
            self.now_s += TICK_S
        return self.totals

    def _update_list(self) -> None:
        for address, load in self._reported.items():
            if address in self.hosts:
                reported = load if self._reports_load(self.hosts[address]) else None
                self.tracker.record(HostId(address), reported, self.now_s * 1e3)
        listed = {host.address: _node(host) for host in self.hosts.values()}
        left = self.tracker.update(
            listed, self._previously_listed, self.left, self.now_s * 1e3
        )
        self.totals.list_changes += left != self.left
        self.left, self._previously_listed = left, set(listed)
        hosts = [
            OpenHost(host.address, host.domain, host.capacity, left.get(address, 4))
            for address, host in sorted(self.hosts.items())
        ]
        self._lists = [*self._lists, HostChoice(hosts)][-LISTS_KEPT_TICKS:]

    def _act(self, caller: Caller) -> None:
        if self.now_s >= caller.ask_at_s:
            caller.ask_at_s = self.now_s + caller.valid_s
            answer = self._choose(self._lists[0], caller.domain, caller.ip, self._rng)
            self.totals.answers += 1
            self.totals.changed_answers += bool(caller.answer) and (
                answer != caller.answer
            )
            self.totals.shortest_answer = min(self.totals.shortest_answer, len(answer))
            caller.answer = answer
            kept = [a for a in caller.connections if a in answer]
            self.totals.moved += len(caller.connections) - len(kept)
            caller.connections = kept
        caller.connections = [
            address
            for address in caller.connections
            if address in self.hosts and self._rng.random() >= TICK_S / CONNECTION_S
        ]
        reachable = [a for a in caller.answer if a in self.hosts]
        while reachable and len(caller.connections) < CONNECTIONS:
            caller.connections.append(self._rng.choice(reachable))

    def _measure(self) -> None:
        work: dict[str, float] = defaultdict(float)
        for caller in self.callers:
            each = self._demand(caller.domain, self.now_s) / self._count[caller.domain]
            for address in caller.connections:
                work[address] += each / CONNECTIONS
                abroad = self.hosts[address].domain != caller.domain
                self.totals.abroad_s += abroad * TICK_S
                self.totals.connection_s += TICK_S
        for host in self.hosts.values():
            address = host.address
            self.loads[address] = work[address] / host.capacity + host.role_load
            excess = max(0.0, self.loads[address] - 1.0) * host.capacity
            self.totals.work += work[address] * TICK_S
            self.totals.excess += min(excess, work[address]) * TICK_S
            recent = self._recent.setdefault(address, [])
            recent.append(self.loads[address])
            del recent[:-LOAD_TICKS]
            used = sum(recent) / len(recent)
            previous = self._reported.get(address, 0)
            self._reported[address] = next_load(previous, used, 0.0)


def _node(host: Host) -> NodeAddress:
    return NodeAddress(
        HostId(host.address),
        Incarnation("1"),
        host.address,
        0,
        DomainId(host.domain),
        host.address,
    )
