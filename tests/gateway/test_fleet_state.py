"""Send the fleet's state to peers, and apply what they send."""

import json

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.gateway.fleet_state import FleetState, HeldKeys
from crocusspindle.gateway.messages import (
    State,
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.ids import DomainId, HostId, Incarnation, ServiceId
from crocusspindle.platform.documents import parse_configuration


def target(number: int) -> ListedTarget:
    return ListedTarget(
        TargetIdentity(f"t{number}"),
        ServiceId("books"),
        f"127.0.0.1:{number}",
        DomainId("a"),
        2,
        Readiness.READY,
    )


def view_entry(number: int) -> ViewEntry:
    node = NodeAddress(
        HostId(f"n{number}"),
        Incarnation(f"{number:08x}"),
        "127.0.0.1",
        7340,
        DomainId("a"),
        "127.0.0.1:80",
    )
    return ViewEntry(node, 1)


def decoded_copy(state: State) -> State:
    """Return a state as it arrives at the other node."""
    arrived = unpack(decode_datagram(encode_datagram(pack(state))))
    assert isinstance(arrived, State)
    return arrived


def state_for(sender: FleetState, node: FleetState) -> State:
    return decoded_copy(sender.state_for(node.held_keys()))


def make_fleet_state() -> FleetState:
    fleet_state = FleetState(parse_configuration)
    fleet_state.update_targets(
        [target(n) for n in range(5)], StoreVersion(1, 7), now_ms()
    )
    fleet_state.update_view(View(3, tuple(view_entry(n) for n in range(5))), now_ms())
    fleet_state.update_open_nodes([("127.0.0.1:80", "a")])
    return fleet_state


def test_node_without_state_sends_no_documents():
    """All processes are killed, and one that reaches the store queries the others.

    They hold no state yet. An empty document must not stop the querying process while
    no other node serves, nor may an empty list of targets replace its own.
    """
    node, new_node = make_fleet_state(), FleetState(parse_configuration)
    assert node.apply_state(state_for(new_node, node), now_ms())
    assert len(node.targets.content) == 5
    assert node.open_nodes == [("127.0.0.1:80", "a")]


def test_new_node_gets_full_documents_and_then_deltas():
    reader, new_node = make_fleet_state(), FleetState(parse_configuration)
    full = state_for(reader, new_node)
    assert new_node.apply_state(full, now_ms())
    assert new_node.targets.content == reader.targets.content
    assert new_node.view.content == reader.view.content
    reader.update_view(View(4, tuple(view_entry(n) for n in range(4))), now_ms())
    change = state_for(reader, new_node)
    assert change.targets is None
    assert len(encode_datagram(pack(change))) < len(encode_datagram(pack(full))) / 2
    assert new_node.apply_state(change, now_ms())
    assert new_node.view.content == reader.view.content


def test_node_that_missed_a_push_does_not_apply_or_confirm_the_next():
    """A pushed view has a lost one as its base.

    A confirmation taken from it would let a quota keeper act on an outdated view.
    """
    reader, node = make_fleet_state(), FleetState(parse_configuration)
    node.apply_state(state_for(reader, node), now_ms())
    confirmed_at_ms = node.view.confirmed_at_ms
    reader.update_view(View(4, tuple(view_entry(n) for n in range(4))), now_ms())
    lost = reader.view.version
    reader.update_view(View(5, tuple(view_entry(n) for n in range(3))), now_ms())
    held = HeldKeys(
        -1, reader.targets_digest, lost, reader.open_digest, reader.crash_digest
    )
    push = decoded_copy(reader.state_for(held))
    assert not node.apply_state(push, now_ms() + 50.0)
    assert node.view.version == 3
    assert node.view.confirmed_at_ms == confirmed_at_ms


def configuration(version: int, text: str) -> bytes:
    document = {"version": f"{version:08x}", "routes": {}, "note": text}
    return json.dumps(document).encode()


def test_node_with_another_text_of_the_same_version_gets_the_next_one():
    """The operator's tool wrote a version twice, with different texts.

    The reader holds one text and a node the other, so deltas from the reader do not
    apply. The node would keep serving old routes and withdrawn keys.
    """
    reader, node = FleetState(parse_configuration), FleetState(parse_configuration)
    node.update_configuration(configuration(5, "first text" * 9), now_ms())
    reader.update_configuration(configuration(5, "another text" * 9), now_ms())
    reader.update_configuration(configuration(6, "another text!" * 9), now_ms())
    assert not node.apply_state(state_for(reader, node), now_ms())
    assert node.apply_state(state_for(reader, node), now_ms())
    assert node.configuration.version == 6


def test_evacuation_reaches_a_node_before_it_can_serve():
    """Guards against a node that starts and sends to a domain that is evacuated."""
    reader, new_node = make_fleet_state(), FleetState(parse_configuration)
    reader.update_evacuated({DomainId("a")}, StoreVersion(1, 8), now_ms())
    state = reader.state_for(new_node.held_keys()).without_documents()
    new_node.apply_state(decoded_copy(state), now_ms())
    assert new_node.evacuated.content == {"a"}


def test_older_state_does_not_end_an_evacuation():
    """Guards against a reader with an older list that revives evacuated targets."""
    reader, node = make_fleet_state(), make_fleet_state()
    node.update_evacuated({DomainId("a")}, StoreVersion(1, 9), now_ms())
    reader.update_evacuated((), StoreVersion(1, 8), now_ms())
    node.apply_state(state_for(reader, node), now_ms())
    assert node.evacuated.content == {"a"}
    reader.update_evacuated((), StoreVersion(1, 10), now_ms())
    node.apply_state(state_for(reader, node), now_ms())
    assert node.evacuated.content == frozenset()


def test_peer_of_an_older_era_wins_nothing():
    """Guards against a host that was suspended while the store was restored."""
    node, suspended = make_fleet_state(), make_fleet_state()
    restored = []
    node.on_restored = lambda: restored.append(node.store_era)
    for state in (node, suspended):
        state.advance_era(1)
    suspended.update_targets([target(9)], StoreVersion(1, 90), now_ms())
    suspended.update_evacuated({DomainId("a")}, StoreVersion(1, 90), now_ms())
    node.advance_era(2)
    node.update_targets([target(1)], StoreVersion(2, 5), now_ms())
    node.update_evacuated((), StoreVersion(2, 5), now_ms())
    node.apply_state(state_for(suspended, node), now_ms())
    assert node.targets.content == (target(1),)
    assert node.evacuated.content == frozenset()
    assert node.store_era == 2 and restored == [2]
    suspended.apply_state(state_for(node, suspended), now_ms())
    assert suspended.targets.content == (target(1),)
    assert suspended.evacuated.content == frozenset()
    assert suspended.store_era == 2


def test_state_in_force_stays_so_when_the_store_is_restored():
    """Guards against a fleet that has no list between a restore and its next read."""
    node = make_fleet_state()
    node.advance_era(1)
    before = (node.targets, node.view, node.configuration)
    node.advance_era(2)
    assert (node.targets, node.view, node.configuration) == before
    assert len(node.targets.content) == 5


def test_first_era_that_a_node_hears_of_is_no_restore():
    node = make_fleet_state()
    node.on_restored = lambda: pytest.fail("the store was not restored")
    node.advance_era(7)
    node.advance_era(7)
    node.advance_era(6)
    assert node.store_era == 7
