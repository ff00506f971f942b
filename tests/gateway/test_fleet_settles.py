"""Start whole fleets in virtual time and see them come to rest."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook
import pytest

from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

LARGE = HostSize(200.0, 2.15)
SMALL = HostSize(10.0, 0.43)
TARGETS = 198

READY_AFTER_S = 10.0
"""Callers come twelve seconds after the hosts start at the earliest."""

IN_FORCE_S = 2.0
"""A change is in force everywhere within this of the store's acknowledgement."""

KNOWS_S = 0.5
"""A process that starts while callers wait knows what to serve within a heartbeat."""

WRITES_PER_S = 200.0
"""What the store carries in one part of a table."""

NAMED_S = 1.0
"""A caller waits half of its aim for a keeper, which is 0.8 s on the large fleets; the
rest is the start of the first process."""

REPLACED_S = 3.0
"""A fifth of the time in which a fleet has to serve again."""

FORGOTTEN_S = 12.0
"""Members that nobody hears are put out after ten seconds, and a heartbeat or two."""

READERS = 2
"""One reads, and another one may be on its way to resting."""

CALLS_PER_S = 20.0
"""Three tables followed at a call per half second by each of them, and some writes."""

START_CALLS_PER_HOST = 5.0
"""A host writes its row, reads who else is there, and reads each table once at most."""

DATAGRAMS_PER_HOST_S = 20.0
"""A host asks twice a second and is answered; the rest is room for one start."""


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays a scene on a fleet."""

    def play_on(
        sizes: list[HostSize],
        scene: Callable[[VirtualFleet], Awaitable[None]],
        targets: int = TARGETS,
    ) -> None:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def whole() -> None:
            await scene(VirtualFleet(loop, sizes, targets, seed=1))

        with logbook.NullHandler().applicationbound():
            run(loop, whole())

    return play_on


async def restart_all(fleet: VirtualFleet) -> None:
    """Kill all processes at once and start them again a second later."""
    for name in list(fleet.nodes):
        await fleet.kill(name)
    await asyncio.sleep(1.0)
    await fleet.start_all()


async def assert_rests(fleet: VirtualFleet, for_s: float) -> None:
    """Look for a while: one view that names all, few readers, few messages."""
    views, calls, sent = fleet.views(), fleet.store.calls.total(), fleet.sent()
    assert len(views) == 1
    assert fleet.named() == len(fleet.nodes)
    assert len(fleet.readers()) <= READERS
    await asyncio.sleep(for_s)
    assert fleet.views() == views
    assert fleet.store.calls.total() - calls <= CALLS_PER_S * for_s
    assert fleet.sent() - sent <= DATAGRAMS_PER_HOST_S * len(fleet.nodes) * for_s


@pytest.mark.parametrize(
    ("large", "small"), [(0, 30), (8, 125), (0, 133), (8, 292), (0, 300)]
)
def test_a_fleet_that_starts_comes_to_rest(play, large, small):
    """A hundred hosts and more start at once, most of them with a narrow link.

    The view of the members changed several times a second for as long as the fleet
    ran, and nearly every host read the store for itself. Callers heard that nobody
    kept their customer, or waited for one placer after the other.
    """

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S - 2.0)
        per_host = fleet.sent() / len(fleet.nodes) / (READY_AFTER_S - 2.0)
        assert per_host <= DATAGRAMS_PER_HOST_S
        calls = fleet.store.calls.total() - CALLS_PER_S * (READY_AFTER_S - 2.0)
        assert calls <= START_CALLS_PER_HOST * len(fleet.nodes)
        await assert_rests(fleet, 2.0)

    play([LARGE] * large + [SMALL] * small, scene)


def test_rows_that_the_store_refuses_come_back_ever_more_rarely(play):
    """Guards against hosts that keep a store busy with rows that it refuses."""

    async def scene(fleet: VirtualFleet) -> None:
        fleet.store.writes_per_s = 25.0
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        assert fleet.named() == len(fleet.nodes)
        assert fleet.store.refused_writes <= 2 * len(fleet.nodes)

    play([LARGE] * 8 + [SMALL] * 142, scene)


def test_targets_that_come_and_go_do_not_send_hosts_to_the_store(play):
    """Guards against hosts that fall behind the list and read it for themselves."""

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        calls = fleet.store.calls.total()
        for _ in range(20):
            fleet.replace_targets(6)
            await asyncio.sleep(0.5)
        assert fleet.store.calls.total() - calls <= CALLS_PER_S * 10.0
        await asyncio.sleep(1.0)
        digests = {node.knowledge.targets_digest for node in fleet.nodes.values()}
        assert len(digests) == 1

    play([SMALL] * 150, scene, targets=900)


def test_a_configuration_that_no_datagram_holds_comes_from_the_store(play):
    """Guards against a reader taken for silent since its answer cannot be sent."""

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        calls = fleet.store.calls.total()
        fleet.configure(routes=1_500)
        await asyncio.sleep(IN_FORCE_S)
        versions = {n.knowledge.configuration.version for n in fleet.nodes.values()}
        assert len(versions) == 1
        await asyncio.sleep(3.0)
        await assert_rests(fleet, 2.0)
        rest = CALLS_PER_S * (IN_FORCE_S + 5.0)
        assert fleet.store.calls.total() - calls <= 3 * len(fleet.nodes) + rest

    play([LARGE] * 2 + [SMALL] * 46, scene)


@pytest.mark.parametrize(("large", "small"), [(8, 125), (0, 133)])
def test_a_fleet_goes_on_without_its_reader(play, large, small):
    """The host that reads for all loses power.

    Everyone finds the next one by itself. If they found different ones, the members
    would be named and put out by turns, and their duties would move each time.
    """

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        (reader,) = fleet.readers()
        await fleet.kill(reader)
        await asyncio.sleep(6.0)
        await assert_rests(fleet, 2.0)
        assert len(fleet.views()) == 1

    play([LARGE] * large + [SMALL] * small, scene)


@pytest.mark.parametrize(("large", "small"), [(8, 125), (0, 133), (18, 275)])
def test_a_fleet_that_was_killed_as_a_whole_is_named_again_at_once(play, large, small):
    """All processes are killed at the same moment and started again within a second.

    Until the view names the new ones, no customer has a keeper: callers were refused
    for eight seconds at this size, where they are owed service long before.
    """

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        await restart_all(fleet)
        await asyncio.sleep(KNOWS_S)
        known = [n.knowledge.configuration.content for n in fleet.nodes.values()]
        assert None not in known
        await asyncio.sleep(2.0 - KNOWS_S)
        assert fleet.named() == len(fleet.nodes)
        assert len(fleet.views()) == 1
        await asyncio.sleep(6.0)
        await assert_rests(fleet, 2.0)

    play([LARGE] * large + [SMALL] * small, scene)


@pytest.mark.parametrize(("large", "small"), [(8, 125), (18, 275)])
def test_a_restarted_fleet_knows_what_to_serve_before_its_rows_are_written(
    play, large, small
):
    """Guards against hosts that wait for a busy store to write before they read."""

    async def scene(fleet: VirtualFleet) -> None:
        fleet.store.writes_per_s = WRITES_PER_S
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        await restart_all(fleet)
        await asyncio.sleep(KNOWS_S)
        known = [n.knowledge.configuration.content for n in fleet.nodes.values()]
        assert None not in known
        await asyncio.sleep(2.0 - KNOWS_S)
        assert fleet.named() == len(fleet.nodes)
        await asyncio.sleep(6.0)
        await assert_rests(fleet, 2.0)

    play([LARGE] * large + [SMALL] * small, scene)


@pytest.mark.parametrize("hosts", [3, 5, 8])
def test_a_reader_whose_first_proofs_were_old_is_asked_again(play, hosts):
    """Guards against a host that reads for itself for good after a slow start."""

    async def scene(fleet: VirtualFleet) -> None:
        fleet.store.call_s = 0.4
        await fleet.start_all()
        await asyncio.sleep(2.0)
        fleet.store.call_s = 0.01
        await asyncio.sleep(READY_AFTER_S - 2.0)
        for node in fleet.nodes.values():
            assert len(node.knowledge.open_nodes) == hosts
        assert len(fleet.readers()) <= 1

    play([LARGE] * hosts, scene)


@pytest.mark.parametrize("cut_s", [4.0, 12.0])
def test_a_host_that_was_cut_off_asks_the_others_reader_again(play, cut_s):
    """A host loses the way to all its peers, and finds every one of them silent.

    When the way is back it is offered to callers only once it asks the reader that all
    ask. If it remembered the silence for longer, it would make a reader of its own of
    whomever it tries next, and callers would be told two different lists of hosts.
    """

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        (reader,) = fleet.readers()
        name = next(name for name in fleet.nodes if name != reader)
        fleet.cut_off(name)
        await asyncio.sleep(cut_s)
        fleet.rejoin(name)
        await asyncio.sleep(5.0)
        assert fleet.named() == len(fleet.nodes)
        open_lists = {node.knowledge.open_digest for node in fleet.nodes.values()}
        assert len(open_lists) == 1
        addresses = {address for address, _ in fleet.nodes[name].knowledge.open_nodes}
        assert fleet.nodes[name].address.caller_address in addresses
        assert len(fleet.readers()) <= READERS

    play([LARGE] * 2 + [SMALL] * 34, scene)


def test_hosts_that_come_back_first_are_named_at_once(play):
    """Guards against callers that have no keeper until half of the hosts are back."""

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        names = list(fleet.nodes)
        for name in names:
            await fleet.kill(name)
        first = list(fleet.sizes)[:18]
        for name in first:
            await fleet.start(name)
        await asyncio.sleep(NAMED_S)
        assert fleet.named() == len(first)
        for name in list(fleet.sizes)[18:]:
            await fleet.start(name)
        await asyncio.sleep(NAMED_S)
        assert fleet.named() == len(fleet.nodes)
        await asyncio.sleep(6.0)
        await assert_rests(fleet, 2.0)

    play([LARGE] * 18 + [SMALL] * 275, scene)


def test_a_host_that_was_put_out_for_its_cut_does_not_change_the_view(play):
    """Guards against a view that names a cut-off host and puts it out by turns."""

    async def scene(fleet: VirtualFleet) -> None:
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S)
        for name in list(fleet.sizes)[:3]:
            fleet.cut_off(name)
        await asyncio.sleep(5.0)
        before = max(fleet.views())
        await asyncio.sleep(7.0)
        assert max(fleet.views()) <= before + 1

    play([LARGE] * 4 + [SMALL] * 36, scene)


@pytest.mark.parametrize("hosts", [12, 60])
def test_a_fleet_whose_hosts_were_all_replaced_finds_itself(play, hosts):
    """Guards against hosts that ask only readers of a view whose members are gone."""

    async def scene(fleet: VirtualFleet) -> None:
        names = list(fleet.sizes)
        for name in names[:hosts]:
            await fleet.start(name)
        await asyncio.sleep(READY_AFTER_S)
        for name in names[:hosts]:
            await fleet.kill(name)
        for name in names[hosts:]:
            await fleet.start(name)
        await asyncio.sleep(REPLACED_S)
        known = [n.knowledge.configuration.content for n in fleet.nodes.values()]
        assert None not in known
        assert fleet.named() == len(fleet.nodes)
        await asyncio.sleep(FORGOTTEN_S)
        await assert_rests(fleet, 2.0)

    play([SMALL] * 2 * hosts, scene)
