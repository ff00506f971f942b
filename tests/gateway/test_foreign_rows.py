"""Rows, documents and messages of other writers cost no other row and no process."""

import asyncio
import json
import random
from dataclasses import fields, replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from crocusspindle.clock import now_ms, wall_ms
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.errors import MalformedError, PeerError
from crocusspindle.gateway.exchange import REQUEST, Exchange
from crocusspindle.gateway.fleet_state import FleetState, HeldKeys
from crocusspindle.gateway.held_requests import held_requests
from crocusspindle.gateway.messages import (
    Ping,
    State,
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.gateway.packed_documents import (
    unpacked_node,
    unpacked_open_nodes,
    unpacked_records,
    unpacked_targets,
    unpacked_view,
)
from crocusspindle.gateway.platform_reader import PlatformReader, ReadReason
from crocusspindle.metrics import Metrics
from crocusspindle.platform.documents import parse_configuration
from crocusspindle.platform.fleet_platform import Changes, StoredRow, Table
from crocusspindle.platform.table_store import TableStore
from crocusspindle_standins.on_platform.fleet import Fleet

SOUND = ["i-1", "i-2"]
VERSION = StoreVersion(0, 7)
NODE = ["g0", "00aa", "127.0.0.1", 7340, "a", "127.0.0.1:80", 100]
RECORD = ["x", 1, [["i-1", 5.0, True]], 0, 1.8e12, True]

texts = st.text(st.characters(exclude_categories=()), max_size=8)
scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([2**53, 2**63, 2**64, -(2**64), 10**20, 10**400, 0, -1])
    | st.floats()
    | texts
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner),
    max_leaves=6,
)


def target_entry():
    return {
        "address": "127.0.0.1:9000",
        "born": 1_790_000_000_000,
        "information": {"service": "books", "version": "v", "zone": "a", "slots": 2},
        "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
    }


def places_in(document):
    """Return the paths to all values inside a document."""
    items = []
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    return [(name,) for name, _ in items] + [
        (name, *rest) for name, value in items for rest in places_in(value)
    ]


def changed(document, place, value):
    """Return a copy of a document with another value in one place."""
    copy = json.loads(json.dumps(document))
    inner = copy
    for name in place[:-1]:
        inner = inner[name]
    inner[place[-1]] = value
    return copy


@st.composite
def altered(draw, document):
    return changed(document, draw(st.sampled_from(places_in(document))), draw(values))


def as_bytes(document) -> bytes:
    return json.dumps(document).encode()


def foreign_values(document):
    return altered(document).map(as_bytes) | values.map(as_bytes) | st.binary()


class Rows(TableStore):
    """Return the rows of a test in place of a store's."""

    def __init__(self, rows):
        super().__init__("unused")
        self.rows = rows

    async def read(self, table):
        rows = self.rows.get(table, {})
        stored = [StoredRow(key, VERSION, value) for key, value in rows.items()]
        return Changes(stored, VERSION)


def state_after_reading(rows) -> FleetState:
    """Return the state of a node that has read all tables once."""
    fleet_state = FleetState(parse_configuration)

    async def read():
        reader = PlatformReader(Rows(rows), fleet_state, random.Random(1))
        await reader.read_once(ReadReason.NO_READER)

    asyncio.run(read())
    return fleet_state


def state_of_a_peer(sender: FleetState) -> FleetState:
    """Return the state of a node that has heard of all that another node knows."""
    peer = FleetState(parse_configuration)
    datagram = encode_datagram(pack(sender.state_for(peer.held_keys())))
    assert peer.apply_state(unpack(decode_datagram(datagram)), now_ms())
    return peer


def identities(fleet_state: FleetState) -> list[str]:
    return [target.identity for target in fleet_state.targets.content]


CUT_PAIR = changed(target_entry(), ("information", "zone"), "a \ud83d")
LONG_NUMBER = changed(target_entry(), ("born",), 10**20)
DEEP = as_bytes(target_entry())[:-1] + b',"x":' + b"[" * 2_000 + b"]" * 2_000 + b"}"


@settings(deadline=None, max_examples=150, derandomize=True)
@example(as_bytes(CUT_PAIR))
@example(as_bytes(LONG_NUMBER))
@example(DEEP)
@example(b"[" * 2_000)
@given(foreign_values(target_entry()))
def test_a_foreign_target_row_leaves_the_other_targets_in_force(value):
    """Guards against one row that ends each process that reads it."""
    sound = as_bytes(target_entry())
    rows = {"i-1": sound, "a-foreign": value, "i-2": sound}
    fleet_state = state_after_reading({Table.TARGETS: rows})
    peer = state_of_a_peer(fleet_state)
    assert set(SOUND) <= set(identities(peer)) == set(identities(fleet_state))


@settings(deadline=None, max_examples=150, derandomize=True)
@example("host/g0", as_bytes(changed(NODE, (6,), "100")))
@example("host/g0", as_bytes(changed(NODE, (0,), "g \ud83d")))
@example("crash/x", as_bytes(changed(RECORD, (4,), "late")))
@example("view/0", as_bytes([2**70, [], []]))
@given(
    st.sampled_from(["host/g0", "crash/x", "view/0"]),
    foreign_values(NODE)
    | foreign_values(RECORD)
    | foreign_values([3, [[*NODE, 1]], [[*NODE, 2]]]),
)
def test_a_foreign_row_of_the_fleet_leaves_the_others_in_force(key, value):
    """Guards against a row of the fleet's table that ends each process."""
    sound = as_bytes(["g9", *NODE[1:]])
    rows = {"host/g9": sound, key: value, "crash/y": as_bytes(["y", *RECORD[1:]])}
    fleet_state = state_after_reading({Table.FLEET: rows})
    assert fleet_state.crashes.record("y") is not None
    assert state_of_a_peer(fleet_state).crashes.record("y") is not None


CONFIGURATION = {
    "version": "0000000c",
    "routes": {
        "all": {"host": "h", "prefix": "/", "timeout_s": 1.5, "service": "s"},
        "split": {
            "host": "h",
            "prefix": "/b/",
            "timeout_s": 2,
            "split": [{"service": "s", "weight": 90}],
            "attempts": 2,
            "priority": 1,
        },
    },
    "services": {"s": {"warm_up_s": 3, "cold_per_s": 7.5}},
    "tenants": {"club": {"api_keys": ["k"], "per_s": 5, "burst": 5, "priority": 1}},
    "limits": {"header_bytes": 100, "body_bytes": 200, "idle_timeout_s": 15},
}


@settings(deadline=None, max_examples=100, derandomize=True)
@example("a\nb")
@example("x" * 190)
@given(texts)
def test_evacuations_of_any_domain_are_passed_on(domain):
    """Guards against a row for which nodes refuse each other's state."""
    rows = {"evacuate/" + domain: b"", "evacuate/a": b""}
    state = state_after_reading(
        {Table.CONFIGURATION: rows, Table.TARGETS: {"i-1": as_bytes(target_entry())}}
    )
    assert "a" in state_of_a_peer(state).evacuated.content


@settings(deadline=None, max_examples=300, derandomize=True)
@example(as_bytes({**CONFIGURATION, "tenants": None}))
@example(as_bytes({**CONFIGURATION, "routes": []}))
@example(as_bytes({**CONFIGURATION, "version": "f" * 40}))
@example(as_bytes(changed(CONFIGURATION, ("tenants", "club", "per_s"), 1e999)))
@example(as_bytes(changed(CONFIGURATION, ("limits", "body_bytes"), 1e999)))
@example(b"[" * 2_000)
@given(foreign_values(CONFIGURATION))
def test_a_malformed_configuration_leaves_the_targets_in_force(value):
    """Guards against a configuration that ends each process that reads it."""
    targets = {"i-1": as_bytes(target_entry())}
    rows = {Table.CONFIGURATION: {"config": value}, Table.TARGETS: targets}
    peer = state_of_a_peer(state_after_reading(rows))
    assert identities(peer) == ["i-1"]


@settings(deadline=None, max_examples=300, derandomize=True)
@given(
    st.sampled_from(
        [
            unpacked_node,
            unpacked_open_nodes,
            unpacked_records,
            unpacked_targets,
            unpacked_view,
        ]
    ),
    values | st.lists(values, max_size=8) | altered([NODE, RECORD]),
)
def test_a_malformed_document_of_a_peer_is_reported_as_such(unpacked, parts):
    """Guards against a peer's document that ends the process that applies it."""
    try:
        unpacked(parts)
    except MalformedError:
        return


@pytest.mark.parametrize(
    "value",
    [as_bytes(CUT_PAIR), as_bytes(LONG_NUMBER), DEEP, b"[" * 2_000],
    ids=["text", "number", "deep", "bytes"],
)
def test_a_rejected_row_is_counted_until_it_is_gone(value):
    """Guards against a row that is left out without a sign of it."""
    fleet_state = FleetState(parse_configuration)
    store = Rows({Table.TARGETS: {"i-1": as_bytes(target_entry()), "a-foreign": value}})
    reader = PlatformReader(store, fleet_state, random.Random(1))

    async def rejected_after_reading():
        await reader.read_once(ReadReason.NO_READER)
        return fleet_state.rejected_rows

    assert asyncio.run(rejected_after_reading()) == 1
    del store.rows[Table.TARGETS]["a-foreign"]
    assert asyncio.run(rejected_after_reading()) == 0


@pytest.mark.parametrize("left_out", [0, 1, 2])
def test_targets_of_nodes_of_earlier_versions_are_understood(left_out):
    """Guards against an upgrade in which nodes refuse each other's lists."""
    packed = ["i-1", "books", "127.0.0.1:80", "a", 2, "ready", True, 7]
    (target,) = unpacked_targets([packed[: len(packed) - left_out]])
    assert target.cold is (left_out < 2)
    assert target.started_ms == (0 if left_out else 7)


def test_held_requests_are_listed_beside_a_foreign_row():
    """Guards against one row that keeps all held requests from an operator."""
    crashes = [["i-1", wall_ms(), True], ["i-2", wall_ms(), True]]
    rows = {
        "crash/a": as_bytes("no record"),
        "crash/x": as_bytes(["x", 1, crashes, 0, wall_ms(), True]),
    }
    (held,) = asyncio.run(held_requests(Rows({Table.FLEET: rows})))
    assert held["content"] == "x"


STATE = State(1, 5, None, [0, 1], 3, 5, None, 4, 5, None, 6, None, 7, None, 8)


@settings(deadline=None, max_examples=300, derandomize=True)
@given(st.sampled_from(fields(State)).map(lambda field: field.name), values)
def test_a_malformed_state_is_reported_as_such(name, value):
    """Guards against a peer's message that ends the process that receives it."""
    try:
        message = unpack(pack(replace(STATE, **{name: value})))
        FleetState(parse_configuration).apply_state(message, now_ms())
    except (PeerError, MalformedError):
        return


async def test_a_message_that_its_handler_rejects_ends_no_service():
    """Guards against one datagram that ends the process that receives it."""
    failures = []
    exchange = Exchange(("127.0.0.1", 0), random.Random(1), Metrics("g0", "a"))
    exchange._on_failure = lambda name, error: failures.append(error)

    async def handle(ping, sender):
        return HeldKeys(*ping.held)

    exchange.handle(Ping, handle)
    ping = Ping("00aa", [1], True, False)
    exchange._receive(encode_datagram([REQUEST, 1, *pack(ping)]), ("127.0.0.1", 9))
    exchange._receive(encode_datagram([REQUEST, [1], *pack(ping)]), ("127.0.0.1", 9))
    await asyncio.sleep(0.05)
    assert not failures


async def test_processes_outlive_the_row_of_another_writer(tmp_path):
    """Guards against one row of the store that ends every gateway."""
    fleet = Fleet(tmp_path)
    try:
        await fleet.start()
        await fleet.store.put("servers", "a-foreign", as_bytes(CUT_PAIR))
        await fleet.store.put("fleet", "host/foreign", b"[" * 2_000)
        await asyncio.sleep(3.0)
        statuses = [(await fleet.call("/pages/1"))[0] for _ in fleet.gateways]
        assert [gateway.process.returncode for gateway in fleet.gateways] == [None] * 3
        assert statuses == [200] * 3
        lines = [line for gateway in fleet.gateways for line in gateway.lines()]
        rejected = {line["row"] for line in lines if line["message"] == "row rejected"}
        assert rejected == {"a-foreign", "host/foreign"}
    finally:
        await fleet.stop()
