"""Restore the store from a copy while fleets run in virtual time."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import logbook
import pytest

from crocusspindle.core.listed_target import Readiness
from crocusspindle.core.view import NodeAddress, View, next_view
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.platform_reader import PlatformReader, view_key
from crocusspindle.ids import DomainId, HostId, Incarnation
from crocusspindle.platform.fleet_platform import Table
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run
from crocusspindle_standins.virtual.store import Store, StoreClient

HOST_SIZE = HostSize(100.0, 1.0)
HOSTS = 12
TARGETS = 30
STARTED_S = 6.0
JOINED_S = 1.0
"""Time after the store's return in which callers are served as before."""

DRAIN_S = 2.0
"""A leaving target gets no new work later than this after its acknowledgement."""


@pytest.fixture
def run_scenario(monkeypatch):
    """Return a function that runs a scenario on a virtual fleet that has started."""

    def run_on_fleet(
        scenario: Callable[[VirtualFleet], Awaitable[None]],
        seed: int,
        hosts: int = HOSTS,
    ) -> None:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def run_all() -> None:
            fleet = VirtualFleet(loop, [HOST_SIZE] * hosts, TARGETS, seed)
            await fleet.start_all()
            await asyncio.sleep(STARTED_S)
            await scenario(fleet)

        with logbook.NullHandler().applicationbound():
            run(loop, run_all())

    return run_on_fleet


async def be_away(fleet: VirtualFleet, for_s: float) -> None:
    """Refuse all calls for a time."""
    fleet.store.refuses = lambda host: True
    await asyncio.sleep(for_s)
    fleet.store.refuses = lambda host: False


def hosts_that_list(fleet: VirtualFleet, target, readiness: Readiness) -> list[str]:
    """Return the hosts whose list in force has a target in a state."""
    return [
        name
        for name, node in fleet.nodes.items()
        for listed in node.fleet_state.targets.content or ()
        if listed.identity == target and listed.readiness is readiness
    ]


@pytest.mark.parametrize("written_after", [0, 1, 30])
def test_host_does_not_go_on_from_a_version_of_before_a_restore(
    run_scenario, written_after
):
    """Guards against a leaving target whose entry has a version taken for known."""

    async def scenario(fleet: VirtualFleet) -> None:
        copy = fleet.store.copy()
        for _ in range(3):
            fleet.configure(routes=10)
        await asyncio.sleep(1.0)
        fleet.store.refuses = lambda host: True
        await asyncio.sleep(0.5)
        target = min(fleet.listed)
        fleet.store.restore(copy)
        fleet.leave(target)
        for _ in range(2 + written_after):
            fleet.configure(routes=10)
        fleet.store.refuses = lambda host: False
        await asyncio.sleep(DRAIN_S)
        assert not hosts_that_list(fleet, target, Readiness.READY)

    run_scenario(scenario, seed=1)


@pytest.mark.parametrize("written_after", [0, 1, 30])
@pytest.mark.parametrize("seed", range(6))
def test_leaving_target_is_seen_when_the_store_gives_out_versions_again(
    run_scenario, seed, written_after
):
    """Guards against readers that go on from a version of before a restore.

    The target's leaving is written under a version that they take for known.
    """

    async def scenario(fleet: VirtualFleet) -> None:
        rng = random.Random(seed)
        copy = fleet.store.copy()
        for _ in range(3):
            fleet.configure(routes=10)
        await asyncio.sleep(1.0)
        await be_away(fleet, rng.uniform(0.5, 2.5))
        fleet.store.restore(copy)
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        target = rng.choice(sorted(fleet.listed))
        fleet.leave(target)
        for _ in range(2 + written_after):
            fleet.configure(routes=10)
        await asyncio.sleep(DRAIN_S)
        assert not hosts_that_list(fleet, target, Readiness.READY)

    run_scenario(scenario, seed)


def reader_of(store: Store, host: str) -> PlatformReader:
    """Return a reader with a state of its own."""
    client = StoreClient(store, host)
    fleet_state = FleetState(client.parse_configuration)
    return PlatformReader(client, fleet_state, random.Random(1))


def view_of(*hosts: str, previous: View | None = None, era: int) -> View:
    """Return the view of some hosts that follows another one."""
    nodes = {
        HostId(host): NodeAddress(
            HostId(host), Incarnation(host), "10.0.0.1", 1, DomainId("a"), "10.0.0.1:2"
        )
        for host in hosts
    }
    return next_view(previous, nodes, era=era)


async def test_view_decided_before_a_restore_replaces_none_of_after_it():
    """Guards against two views of one number: the condition of a late writer names a
    version that the store has given out again.
    """
    store = Store()
    late, writer, reader = (reader_of(store, host) for host in ("n1", "n2", "n3"))
    copy = store.copy()
    await late.read_fleet()
    lost = view_of("n1", era=1)
    assert await late.write_view(lost, late.view_row_version)
    lost_version = late.view_row_version
    store.restore(copy)
    await writer.read_fleet()
    written = view_of("n1", "n2", era=2)
    assert await writer.write_view(written, writer.view_row_version)
    assert writer.view_row_version.number == lost_version.number
    decided_before = view_of("n1", "n3", previous=lost, era=1)
    assert not await late.write_view(decided_before, lost_version)
    await reader.read_fleet()
    assert reader._fleet_state.view.content == written
    assert await writer.write_view(
        view_of("n2", previous=written, era=2), writer.view_row_version
    )


async def test_views_of_earlier_eras_are_removed():
    """Guards against a row for each restore that all hosts read at their start."""
    store = Store()
    writer = reader_of(store, "n1")
    await writer.read_fleet()
    view = view_of("n1", era=1)
    assert await writer.write_view(view, writer.view_row_version)
    store.restore(store.copy())
    await writer.read_fleet()
    assert await writer.write_view(
        view_of("n1", previous=view, era=2), writer.view_row_version
    )
    rows = store.tables[Table.FLEET]
    assert [key for key, row in rows.items() if row.value is not None] == [view_key(2)]


@pytest.mark.parametrize("away_s", [2.0, 6.0, 12.0])
@pytest.mark.parametrize("share", [0.5, 1.0])
def test_hosts_that_start_while_the_store_is_away_join_at_its_return(
    run_scenario, share, away_s
):
    """Guards against hosts that wait for their next try though others have joined."""

    async def scenario(fleet: VirtualFleet) -> None:
        copy = fleet.store.copy()
        fleet.configure(routes=10)
        fleet.store.refuses = lambda host: True
        restarted = sorted(fleet.nodes)[: round(36 * share)]
        for host in restarted:
            await fleet.kill(host)
        await asyncio.sleep(0.5)
        for host in restarted:
            await fleet.start(host)
        await asyncio.sleep(away_s)
        fleet.store.restore(copy)
        fleet.store.refuses = lambda host: False
        await asyncio.sleep(JOINED_S)
        waiting = [
            host
            for host, node in fleet.nodes.items()
            if not node.membership.ready
            or node.fleet_state.configuration.content is None
        ]
        assert not waiting

    run_scenario(scenario, seed=1, hosts=36)
