"""Distribute hosts' loads by pings, and list hosts in discovery answers by them."""

import asyncio
import math
from collections import Counter
from dataclasses import fields
from types import SimpleNamespace

import logbook
import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.capacity_left import LEFT_MAX, LEFT_MIN, LOAD_MAX
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.gateway import fleet_state as fleet_state_module
from crocusspindle.gateway import messages
from crocusspindle.gateway.fleet_state import (
    CAPACITY_VALID_MS,
    NO_DIGEST,
    FleetState,
)
from crocusspindle.gateway.host_load import HostLoad
from crocusspindle.gateway.membership import _reported_load
from crocusspindle.gateway.messages import (
    Ping,
    State,
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.gateway.packed_documents import packed_steps, unpacked_steps
from crocusspindle.gateway.ports import Ports
from crocusspindle.ids import DomainId, HostId, Incarnation
from crocusspindle.metrics import Metrics
from crocusspindle.platform.documents import parse_configuration
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

SMALL = HostSize(10.0, 0.30)
LARGE = HostSize(200.0, 2.15)
READY_AFTER_S = 10.0
CALLERS = [f"10.7.{number // 250}.{number % 250}" for number in range(500)]
OPEN = [(f"10.0.0.{number:02}:80", "ab"[number % 2]) for number in range(10)]
LEFT = {OPEN[0][0]: 1, OPEN[3][0]: 3, OPEN[8][0]: 2}
LOADS_KNOWN_S = 2.5
"""A second between changes of the steps, and two intervals of pings."""

LOADED_BYTES_RATIO = 1.35
"""A wave of load changes the steps of 190 hosts each second: two bits for each host and
three digests, beside two pings and responses."""


@pytest.fixture
def run_scenario(monkeypatch):
    """Return a function that runs a scenario on a virtual fleet."""

    def run_on_fleet(sizes, scenario) -> None:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def run_all() -> None:
            fleet = VirtualFleet(loop, sizes, 198, seed=1)
            await fleet.start_all()
            await asyncio.sleep(READY_AFTER_S)
            await scenario(fleet)

        with logbook.NullHandler().applicationbound():
            run(loop, run_all())

    return run_on_fleet


def ports_of(fleet_state: FleetState) -> Ports:
    settings = SimpleNamespace(caller_address="own:80")
    return Ports(settings, None, fleet_state, None, None, None, None, SimpleNamespace())


def set_load(fleet: VirtualFleet, name: str, load: int) -> None:
    fleet.nodes[name].membership.load = lambda: load


def knowing(open_nodes=OPEN, left=None) -> FleetState:
    fleet_state = FleetState(parse_configuration)
    fleet_state.update_open_nodes(open_nodes)
    if left is not None:
        fleet_state.update_capacity_left(left)
    return fleet_state


def exchange_state(reader: FleetState, node: FleetState) -> State:
    """Let a node ping a reader and apply the response."""
    state = reader.state_for(
        node.held_keys(), held_capacity_digest=node.capacity_digest
    )
    arrived = unpack(decode_datagram(encode_datagram(pack(state))))
    node.apply_state(arrived, now_ms())
    return arrived


def test_load_of_a_host_reaches_the_answers_of_all_hosts(run_scenario):
    """Guards against a pressed host that gets callers from other hosts' answers."""

    async def scenario(fleet: VirtualFleet) -> None:
        name = "n004"
        address = fleet.nodes[name].address
        set_load(fleet, name, LOAD_MAX)
        await asyncio.sleep(LOADS_KNOWN_S + 2.0)
        for node in fleet.nodes.values():
            ports = ports_of(node.fleet_state)
            listed = Counter(
                a for c in CALLERS[:100] for a in ports._addresses(address.domain, c)
            )
            assert 10 <= listed.pop(address.caller_address) <= 40
            assert set(listed.values()) == {100}
        set_load(fleet, name, 1)
        await asyncio.sleep(15.0)
        for node in fleet.nodes.values():
            assert node.fleet_state.confirmed_capacity_left() == {}

    run_scenario([SMALL] * 40, scenario)


def test_large_hosts_are_listed_more_often_from_the_start(run_scenario):
    """A new reader has no loads yet; the sizes of hosts are in the view."""

    async def scenario(fleet: VirtualFleet) -> None:
        ports = ports_of(fleet.nodes["n030"].fleet_state)
        large = [fleet.nodes[name].address for name in ("n000", "n004")]
        listed = Counter(
            address for c in CALLERS for address in ports._addresses("a", c)
        )
        assert all(listed.pop(node.caller_address) == len(CALLERS) for node in large)
        assert max(listed.values()) < 0.3 * len(CALLERS)
        assert min(len(ports._addresses("a", c)) for c in CALLERS) >= 2

    sizes = [LARGE if number in (0, 4) else SMALL for number in range(84)]
    run_scenario(sizes, scenario)


def test_successor_of_a_reader_keeps_the_loads(run_scenario):
    """Guards against a herd to the loaded hosts when the reader is lost."""

    async def scenario(fleet: VirtualFleet) -> None:
        (reader,) = fleet.readers()
        loaded = [name for name in fleet.nodes if name != reader][:10]
        for name in loaded:
            set_load(fleet, name, LOAD_MAX)
        await asyncio.sleep(6.0)
        addresses = {fleet.nodes[n].address.caller_address for n in loaded}
        await fleet.kill(reader)
        for _ in range(24):
            await asyncio.sleep(0.25)
            for node in fleet.nodes.values():
                left = node.fleet_state.confirmed_capacity_left()
                assert {a for a in left if left[a] == LEFT_MIN} == addresses

    run_scenario([SMALL] * 40, scenario)


@pytest.mark.parametrize("loaded", [False, True])
def test_loads_cost_few_bytes_in_a_fleet_of_190_hosts(run_scenario, loaded):
    """Guards against a list that is pushed to all hosts whenever a load changes."""

    async def scenario(fleet: VirtualFleet) -> None:
        async def count(for_s: float) -> tuple[int, int]:
            sent_bytes, sent = fleet.sent_bytes(), fleet.sent_datagrams()
            await asyncio.sleep(for_s)
            return fleet.sent_bytes() - sent_bytes, fleet.sent_datagrams() - sent

        idle_bytes, idle_datagrams = await count(10.0)
        loop = asyncio.get_running_loop()
        for number, node in enumerate(fleet.nodes.values()):
            apart_s = number % 3

            def wave(apart_s: int = apart_s) -> int:
                phase = 2 * math.pi * (loop.time() - apart_s) / 12.0
                return round(4 + 4 * math.sin(phase))

            node.membership.load = wave if loaded else lambda: 1
        sent_bytes, datagrams = await count(10.0)
        assert datagrams <= 1.02 * idle_datagrams
        bound = LOADED_BYTES_RATIO if loaded else 1.02
        assert sent_bytes <= bound * idle_bytes

    run_scenario([SMALL] * 190, scenario)


def test_steps_of_the_capacity_left_survive_packing():
    addresses = [address for address, _ in OPEN]
    assert unpacked_steps(addresses, packed_steps(addresses, LEFT)) == LEFT
    assert packed_steps(addresses, {}) == b""
    assert unpacked_steps(addresses, b"") == {}
    assert unpacked_steps(addresses[:2], b"\xff\xff") == dict.fromkeys(addresses[:2], 1)


def test_capacity_left_is_sent_once_and_again_when_it_changes():
    """Guards against a list that is sent with each ping, or never again."""
    reader, node = knowing(left=LEFT), FleetState(parse_configuration)
    assert exchange_state(reader, node).capacity_left is not None
    assert node.confirmed_capacity_left() == LEFT
    assert exchange_state(reader, node).capacity_left is None
    reader.update_open_nodes(OPEN[1:])
    exchange_state(reader, node)
    assert set(node.confirmed_capacity_left()) == {OPEN[3][0], OPEN[8][0]}
    reader.update_capacity_left({})
    exchange_state(reader, node)
    assert node.confirmed_capacity_left() == {}
    assert exchange_state(reader, node).capacity_left is None


def test_capacity_left_of_another_list_is_not_applied():
    """Guards against steps that count for other hosts of a longer or shorter list."""
    reader, node = knowing(left=LEFT), knowing(OPEN[2:])
    state = reader.state_for(node.held_keys(), held_capacity_digest=NO_DIGEST)
    node.apply_state(messages.replace(state, open_nodes=None), now_ms())
    assert node.confirmed_capacity_left() == {}


def test_loads_expire_under_a_reader_that_sends_none(monkeypatch):
    """A reader of an older version took over: the last loads would count for ever."""
    node, at_ms = knowing(left=LEFT), now_ms()
    old_reader = knowing()
    for age_ms, expected in ((0.0, LEFT), (CAPACITY_VALID_MS + 1.0, {})):
        monkeypatch.setattr(
            fleet_state_module, "now_ms", lambda age_ms=age_ms: at_ms + age_ms + 100.0
        )
        exchange_state(old_reader, node)
        assert node.confirmed_capacity_left() == expected


def test_reader_that_has_no_loads_yet_sends_none():
    """Guards against a new process whose empty table replaces the loads of all."""
    new_reader, node = knowing(), knowing(left=LEFT)
    assert exchange_state(new_reader, node).capacity_digest == NO_DIGEST
    assert node.confirmed_capacity_left() == LEFT


def without_fields(content, *names):
    """Return a message's parts as a version without these fields sends them."""
    known = [f.name for f in fields(content) if f.name not in names]
    code = pack(content)[0]
    return [code, *(getattr(content, name) for name in known)]


def test_ping_of_the_previous_version_is_understood():
    ping = Ping("0000", (1, 2, 3, 4, 5), True, False)
    arrived = unpack(without_fields(ping, "load", "capacity_digest"))
    assert arrived == ping and arrived.load == 0


@pytest.mark.parametrize(
    ("load", "digest", "reported"), [(0, NO_DIGEST, None), (0, 1, 0), (3, NO_DIGEST, 3)]
)
def test_idle_host_is_told_from_one_without_a_load(load, digest, reported):
    """Guards against idle hosts that count as the others of a loaded domain."""
    ping = Ping("0000", (1, 2, 3, 4, 5), True, False, load, digest)
    assert _reported_load(unpack(pack(ping))) == reported


def test_previous_version_understands_a_reader_with_loads():
    """The previous version decodes the list of open nodes as pairs.

    A third element in an entry would make it drop the whole state: configuration,
    targets and view would expire on all hosts that are not updated yet.
    """
    reader = knowing(left=LEFT)
    state = reader.state_for(
        FleetState(parse_configuration).held_keys(), held_capacity_digest=NO_DIGEST
    )
    _, compressed = state.open_nodes
    node = FleetState(parse_configuration)
    encoding = node._apply_delta("open", (-1, compressed))
    pairs = [
        (address, domain) for address, domain in messages.msgpack.unpackb(encoding)
    ]
    assert pairs == OPEN
    parts = pack(state)
    known = [f.name for f in fields(State)]
    assert known[-2:] == ["capacity_digest", "capacity_left"]
    previous = parts[: 1 + len(known) - 2]
    assert unpack(previous).open_digest == reader.open_digest


def test_messages_without_loads_are_as_long_as_in_the_previous_version():
    """Versions that refuse longer messages get the same ones from an unloaded host."""
    ping = Ping("0000", (1, 2, 3, 4, 5), True, False)
    assert pack(ping) == without_fields(ping, "load", "capacity_digest")
    state = messages.replace(knowing().state_for(knowing().held_keys()), store_era=7)
    assert pack(state) == without_fields(state, "capacity_digest", "capacity_left")


async def test_answer_of_a_host_without_a_view_or_loads_lists_its_domain():
    """Guards against a host that has just started and fails discovery requests."""
    ports = ports_of(knowing())
    assert ports._addresses("a", "10.7.0.1") == [a for a, d in OPEN if d == "a"]


async def test_answers_follow_changes_of_view_and_loads():
    """Guards against answers from an outdated list."""
    fleet_state = knowing(left=LEFT)
    ports = ports_of(fleet_state)
    first = OPEN[0][0]

    def count() -> int:
        return sum(first in ports._addresses("a", caller) for caller in CALLERS)

    assert count() < 0.4 * len(CALLERS)
    fleet_state.update_capacity_left({})
    assert count() == len(CALLERS)
    entries = tuple(
        ViewEntry(
            NodeAddress(
                HostId(address),
                Incarnation("1"),
                "10.0.0.1",
                1,
                DomainId(domain),
                address,
                15 if address == first else 60,
            ),
            1,
        )
        for address, domain in OPEN
    )
    fleet_state.update_view(View(3, entries), now_ms())
    assert 0.4 * len(CALLERS) < count() < 0.6 * len(CALLERS)


class Processor:
    """Stand in for the processor time of this process."""

    def __init__(self) -> None:
        self.used_s = 0.0


def host_load(cores: float) -> tuple[HostLoad, Processor]:
    processor = Processor()
    settings = SimpleNamespace(cores=cores)
    metrics = Metrics("n1", "a")
    load = HostLoad(settings, SimpleNamespace(), metrics, lambda: processor.used_s)
    load.record(0.0, 0.0)
    return load, processor


@pytest.mark.parametrize(
    ("cores", "used", "expected"), [(0.3, 0.15, 4), (2.15, 0.55, 2), (0.3, 0.3, 8)]
)
def test_load_is_the_used_fraction_of_the_processor_share(cores, used, expected):
    """Guards against a host of 0.3 cores that is at its limit and reports 0.3."""
    load, processor = host_load(cores)
    for step in range(1, 31):
        processor.used_s += used * 0.1
        load.record(step * 100.0, 0.0)
    assert load.eighths == expected


def test_load_covers_the_last_second_only():
    """Guards against a host that is pressed and reports the mean since its start."""
    load, processor = host_load(0.5)
    for step in range(1, 101):
        load.record(step * 100.0, 0.0)
    for step in range(101, 111):
        processor.used_s += 0.05
        load.record(step * 100.0, 0.0)
    assert load.eighths == LOAD_MAX
    for step in range(111, 122):
        load.record(step * 100.0, 0.0)
    assert load.eighths == 0


def test_late_timers_count_as_full_load():
    """Guards against a host that gets no processor time and reports no load."""
    load, _ = host_load(0.5)
    for step in range(1, 11):
        load.record(step * 100.0, 30.0)
    assert load.eighths == LOAD_MAX
    for step in range(11, 31):
        load.record(step * 100.0, 1.0)
    assert load.eighths == 0


def test_left_max_has_a_code_in_two_bits():
    assert LEFT_MAX - LEFT_MIN < 4
