"""See that what one host knows of a crashing request is known to its fleet."""

import asyncio

import logbook
import pytest

from crocusspindle.core.crash_watch import CrashWatch
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.ids import ContentDigest, ServiceId
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

CONTENT = ContentDigest("crashing")
SMALL = HostSize(10.0, 0.43)
READY_AFTER_S = 10.0
KNOWN_WITHIN_S = 1.0


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays a scene on a fleet that has started."""

    def play_on(scene, hosts=30):
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def whole():
            fleet = VirtualFleet(loop, [SMALL] * hosts, targets=60, seed=1)
            await fleet.start_all()
            await asyncio.sleep(READY_AFTER_S)
            await scene(fleet)

        with logbook.NullHandler().applicationbound():
            run(loop, whole())

    return play_on


def see_two_crashes(node):
    """Have a host's placer see two targets crash under a request alone."""
    watch = CrashWatch(node.knowledge.crashes)
    for target in ("t0", "t1"):
        watch.ended(TargetIdentity(target), CONTENT, [], AttemptOutcome.CRASHED, 0.0)
    node.crashes.take(ServiceId("service-0"), node.ranks, watch)


def holding(fleet):
    """Return how many hosts hold the request back."""
    return sum(node.crashes.is_held(CONTENT) for node in fleet.nodes.values())


@pytest.mark.parametrize("hosts", [30, 133])
def test_every_host_knows_a_held_request_within_a_second(play, hosts):
    """Guards against hosts that send on what others have found out."""

    async def scene(fleet):
        see_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(KNOWN_WITHIN_S)
        assert holding(fleet) == hosts

    play(scene, hosts)


def test_a_held_request_outlives_all_processes(play):
    """Guards against a fleet that forgets with its processes."""

    async def scene(fleet):
        see_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(2 * KNOWN_WITHIN_S)
        for name in list(fleet.nodes):
            await fleet.kill(name)
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S / 2)
        assert holding(fleet) == len(fleet.nodes)

    play(scene)


def test_a_record_is_written_to_the_store_once(play):
    """Guards against a reader that writes what the store holds, over and over."""

    async def scene(fleet):
        see_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(2 * KNOWN_WITHIN_S)
        written = fleet.store.version
        await asyncio.sleep(5.0)
        assert fleet.store.version == written

    play(scene)


def test_a_host_that_was_cut_off_learns_of_a_held_request(play):
    """Guards against a note that is lost and never told again."""

    async def scene(fleet):
        names = list(fleet.nodes)
        fleet.cut_off(names[0])
        see_two_crashes(fleet.nodes[names[1]])
        await asyncio.sleep(2.0)
        fleet.rejoin(names[0])
        await asyncio.sleep(3.0)
        assert holding(fleet) == len(fleet.nodes)

    play(scene)


def test_a_host_that_was_cut_off_tells_what_it_saw(play):
    async def scene(fleet):
        names = list(fleet.nodes)
        fleet.cut_off(names[0])
        see_two_crashes(fleet.nodes[names[0]])
        await asyncio.sleep(2.0)
        fleet.rejoin(names[0])
        await asyncio.sleep(3.0)
        assert holding(fleet) == len(fleet.nodes)

    play(scene)
