"""Share one host's crash records with the whole fleet."""

import asyncio

import logbook
import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.crash_watch import CrashWatch
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest, ServiceId
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

CONTENT = ContentDigest("crashing")
SMALL = HostSize(10.0, 0.43)
READY_AFTER_S = 10.0
KNOWN_WITHIN_S = 1.0


@pytest.fixture
def run_scenario(monkeypatch):
    """Return a function that runs a scenario on a fleet that has started."""

    def run_on_fleet(scenario, hosts=30):
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def run_all():
            fleet = VirtualFleet(loop, [SMALL] * hosts, targets=60, seed=1)
            await fleet.start_all()
            await asyncio.sleep(READY_AFTER_S)
            await scenario(fleet)

        with logbook.NullHandler().applicationbound():
            run(loop, run_all())

    return run_on_fleet


def report_two_crashes(node):
    """Report two crashes of targets that ran only the request to a host's placer."""
    watch = CrashWatch(node.fleet_state.crashes)
    for target in ("t0", "t1"):
        watch.ended(TargetIdentity(target), CONTENT, [], AttemptOutcome.CRASHED, 0.0)
    node.crashes.record_crashes(ServiceId("service-0"), node.placers.ranks, watch)


def count_quarantining_hosts(fleet):
    """Return the number of hosts that hold the request in quarantine."""
    return sum(node.crashes.is_held(CONTENT) for node in fleet.nodes.values())


@pytest.mark.parametrize("hosts", [30, 133])
def test_every_host_knows_a_held_request_within_a_second(run_scenario, hosts):
    """Guards against hosts that still send a request which others have quarantined."""

    async def scenario(fleet):
        report_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(KNOWN_WITHIN_S)
        assert count_quarantining_hosts(fleet) == hosts

    run_scenario(scenario, hosts)


def test_held_request_survives_a_restart_of_all_processes(run_scenario):
    """Guards against crash records that are kept in memory only."""

    async def scenario(fleet):
        report_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(2 * KNOWN_WITHIN_S)
        for name in list(fleet.nodes):
            await fleet.kill(name)
        await fleet.start_all()
        await asyncio.sleep(READY_AFTER_S / 2)
        assert count_quarantining_hosts(fleet) == len(fleet.nodes)

    run_scenario(scenario)


def test_crash_record_is_written_to_the_store_once(run_scenario):
    """Guards against a reader that writes records which the store holds already."""

    async def scenario(fleet):
        report_two_crashes(next(iter(fleet.nodes.values())))
        await asyncio.sleep(2 * KNOWN_WITHIN_S)
        written = fleet.store.version
        await asyncio.sleep(5.0)
        assert fleet.store.version == written

    run_scenario(scenario)


def test_host_that_was_cut_off_receives_a_held_request(run_scenario):
    """Guards against a lost note that is not sent again."""

    async def scenario(fleet):
        names = list(fleet.nodes)
        fleet.cut_off(names[0])
        report_two_crashes(fleet.nodes[names[1]])
        await asyncio.sleep(2.0)
        fleet.rejoin(names[0])
        await asyncio.sleep(3.0)
        assert count_quarantining_hosts(fleet) == len(fleet.nodes)

    run_scenario(scenario)


def test_host_that_was_cut_off_publishes_its_crash_records(run_scenario):
    """Guards against records that are lost because their host was cut off."""

    async def scenario(fleet):
        names = list(fleet.nodes)
        fleet.cut_off(names[0])
        report_two_crashes(fleet.nodes[names[0]])
        await asyncio.sleep(2.0)
        fleet.rejoin(names[0])
        await asyncio.sleep(3.0)
        assert count_quarantining_hosts(fleet) == len(fleet.nodes)

    run_scenario(scenario)
