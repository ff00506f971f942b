"""Simulate callers that follow the capacity left of hosts, in virtual time."""

import math
from collections.abc import Callable

import pytest

from benchmarks.caller_simulation import (
    CONNECTION_S,
    CallerSimulation,
    Host,
    by_caller,
    by_draw,
)

SIZES = [
    *(Host(f"s{number:02}:80", "a", 43.0) for number in range(19)),
    *(Host(f"z{number}:80", "a", 215.0) for number in range(2)),
]
SIZES_CAPACITY = sum(host.capacity for host in SIZES)
DOMAIN_CAPACITY = 21 * 30.0
THREE_DOMAINS = [
    Host(f"{domain}{number:02}:80", domain, 30.0)
    for domain in "abc"
    for number in range(21)
]
WARM_UP_S = 20.0
RUN_S = 40.0

OWN_MOVES_PER_S = 1.0 / CONNECTION_S
"""Rate at which callers close a connection by themselves."""


def constant(level: float, capacity: float) -> Callable[[str, float], float]:
    return lambda domain, now_s: level * capacity


def wave(period_s: float, apart_s: float, mean: float, swing: float):
    """Return a demand that peaks in domain after domain."""

    def demand(domain: str, now_s: float) -> float:
        phase = 2 * math.pi * (now_s - "abc".index(domain) * apart_s) / period_s
        return DOMAIN_CAPACITY * (mean + swing * math.sin(phase))

    return demand


def three_domains(demand, seed=1, choose=by_caller) -> CallerSimulation:
    callers = dict.fromkeys("abc", 170)
    return CallerSimulation(THREE_DOMAINS, callers, demand, seed, choose)


def ignoring_load(choice, domain, ip, rng):
    """Choose as without capacities: every host of the domain."""
    return choice.in_domain(domain)


def excess_fraction(totals) -> float:
    """Return the fraction of the work that exceeds its host's capacity."""
    return totals.excess / totals.work


def moves_per_s(totals) -> float:
    return totals.moved / totals.connection_s


@pytest.mark.parametrize("level", [0.8, 0.95])
def test_small_hosts_beside_large_ones_are_not_overrun(level):
    """19 hosts of 0.43 cores and 2 of 2.15 in a domain with 500 callers.

    With equal shares, the small hosts refuse a fifth of the work while the large ones
    are idle.
    """
    excess = {}
    for choose in (ignoring_load, by_caller):
        demand = constant(level, SIZES_CAPACITY)
        simulation = CallerSimulation(SIZES, {"a": 500}, demand, 1, choose)
        simulation.run(WARM_UP_S)
        totals = simulation.run(RUN_S)
        excess[choose] = excess_fraction(totals)
    assert excess[ignoring_load] > 0.08
    assert excess[by_caller] < 0.25 * excess[ignoring_load]
    assert moves_per_s(totals) < 0.25 * OWN_MOVES_PER_S


def test_callers_of_hosts_that_are_not_loaded_do_not_move():
    """Guards against connections that are closed although nothing is loaded."""
    simulation = three_domains(constant(0.3, DOMAIN_CAPACITY))
    totals = simulation.run(RUN_S)
    assert totals.moved == totals.list_changes == totals.abroad_s == 0


@pytest.mark.parametrize(
    "demand", [wave(12.0, 1.0, 0.55, 0.45), wave(30.0, 10.0, 0.55, 0.55)]
)
def test_waves_in_three_domains_do_not_move_herds(demand):
    """Peaks reach three domains one after the other, up to the whole capacity.

    Guards against a herd that swings from domain to domain: it would close connections
    and overload the domain that it reaches as that one's own peak arrives.
    """
    excess = {}
    for choose in (ignoring_load, by_caller):
        simulation = three_domains(demand, choose=choose)
        simulation.run(WARM_UP_S)
        totals = simulation.run(RUN_S)
        excess[choose] = excess_fraction(totals)
    assert excess[by_caller] <= excess[ignoring_load] + 0.005
    assert moves_per_s(totals) < 0.5 * OWN_MOVES_PER_S
    assert totals.abroad_s < 0.15 * totals.connection_s


def test_domain_above_its_capacity_sends_some_callers_abroad():
    """Guards against refusals in one domain while the next one is half idle."""

    def demand(domain: str, now_s: float) -> float:
        return DOMAIN_CAPACITY * (1.2 if domain == "a" else 0.45)

    excess = {}
    for choose in (ignoring_load, by_caller):
        simulation = three_domains(demand, choose=choose)
        simulation.run(WARM_UP_S)
        totals = simulation.run(RUN_S)
        excess[choose] = excess_fraction(totals)
    assert excess[by_caller] < 0.5 * excess[ignoring_load]
    assert 0.02 < totals.abroad_s / totals.connection_s < 0.15
    assert max(simulation.loads[host.address] for host in THREE_DOMAINS[21:]) < 1.0


def test_loaded_fleet_keeps_using_all_hosts():
    """Guards against a fleet whose callers crowd on few hosts when all are loaded."""
    simulation = three_domains(constant(1.1, DOMAIN_CAPACITY))
    simulation.run(WARM_UP_S)
    totals = simulation.run(RUN_S)
    ignoring = three_domains(constant(1.1, DOMAIN_CAPACITY), choose=ignoring_load)
    ignoring.run(WARM_UP_S)
    assert excess_fraction(totals) < excess_fraction(ignoring.run(RUN_S)) + 0.005
    assert min(simulation.loads.values()) > 0.5
    assert moves_per_s(totals) < 0.1 * OWN_MOVES_PER_S
    assert totals.abroad_s == 0


def test_host_with_roles_gets_fewer_callers():
    """A reader uses half of its processor share for its role.

    Guards against a reader that is late for all hosts because of its callers.
    """
    hosts = [Host("r:80", "a", 30.0, role_load=0.5), *THREE_DOMAINS[1:21]]
    simulation = CallerSimulation(
        hosts, {"a": 500}, constant(0.6, DOMAIN_CAPACITY), seed=1
    )
    simulation.run(WARM_UP_S)
    assert simulation.left["r:80"] < 4
    loads = []
    for _ in range(20):
        simulation.run(1.0)
        loads.append(simulation.loads["r:80"])
    assert sum(loads) / len(loads) < 0.9


def test_hosts_that_come_and_go_keep_their_share():
    """Guards against a restarted host that is overrun, or left without callers."""
    simulation = three_domains(constant(0.85, DOMAIN_CAPACITY))
    simulation.run(WARM_UP_S)
    peaks, after = [], []
    for number in range(4):
        address = f"a{number:02}:80"
        host = simulation.hosts.pop(address)
        simulation.run(4.0)
        simulation.hosts[address] = host
        loads = []
        for _ in range(10):
            simulation.run(1.0)
            loads.append(simulation.loads[address])
        peaks.append(max(loads))
        after.append(loads[-1])
    assert max(peaks) < 1.6
    assert min(after) > 0.4


def test_old_hosts_without_a_load_serve_beside_new_ones():
    """A third of the hosts is of a version that reports no load, which counts as 0."""
    simulation = CallerSimulation(
        THREE_DOMAINS,
        dict.fromkeys("abc", 170),
        constant(0.7, DOMAIN_CAPACITY),
        seed=1,
        reports_load=lambda host: int(host.address[1:3]) % 3 != 0,
    )
    simulation.run(WARM_UP_S)
    mean = dict.fromkeys(simulation.hosts, 0.0)
    for _ in range(20):
        totals = simulation.run(1.0)
        assert excess_fraction(totals) < 0.05
        for address, load in simulation.loads.items():
            mean[address] += load / 20
    old = [mean[address] for address in mean if int(address[1:3]) % 3 == 0]
    new = [mean[address] for address in mean if int(address[1:3]) % 3 != 0]
    assert sum(old) / len(old) < 0.95
    assert min(new) > 0.4


@pytest.mark.parametrize("level", [0.6, 0.95])
def test_stable_answers_move_fewer_callers_than_drawn_ones(level):
    """Guards against answers that change for a caller while no weight changes."""
    moves, excess = {}, {}
    for choose in (by_caller, by_draw):
        demand = constant(level, SIZES_CAPACITY)
        simulation = CallerSimulation(SIZES, {"a": 500}, demand, 2, choose)
        simulation.run(WARM_UP_S)
        totals = simulation.run(RUN_S)
        moves[choose], excess[choose] = moves_per_s(totals), excess_fraction(totals)
    assert moves[by_caller] < 0.2 * moves[by_draw]
    assert excess[by_caller] <= excess[by_draw]
