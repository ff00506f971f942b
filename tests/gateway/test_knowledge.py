"""Tell peers what is believed, and take what they tell."""

import json

from crocusspindle.clock import now_ms
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.view import NodeAddress, View, ViewEntry
from crocusspindle.gateway.knowledge import Held, Knowledge
from crocusspindle.gateway.messages import State, pack, packed, unpack, unpacked
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


def seat(number: int) -> ViewEntry:
    node = NodeAddress(
        HostId(f"n{number}"),
        Incarnation(f"{number:08x}"),
        "127.0.0.1",
        7340,
        DomainId("a"),
        "127.0.0.1:80",
    )
    return ViewEntry(node, 1)


def sent(state: State) -> State:
    """Return a state as it arrives at the other node."""
    arrived = unpack(unpacked(packed(pack(state))))
    assert isinstance(arrived, State)
    return arrived


def state_for(told: Knowledge, asker: Knowledge) -> State:
    return sent(told.state_for(asker.held()))


def informed() -> Knowledge:
    knowledge = Knowledge(parse_configuration)
    knowledge.take_targets([target(n) for n in range(5)], 7, now_ms())
    knowledge.take_view(View(3, tuple(seat(n) for n in range(5))), now_ms())
    knowledge.take_open_nodes([("127.0.0.1:80", "a")])
    return knowledge


def test_a_node_that_knows_nothing_tells_nothing():
    """All processes were killed, and one that has the store asks others for more.

    They hold nothing yet. An empty list taken for an answer ended the asking process,
    just when nobody else served; and a list of no targets would have been as bad.
    """
    asker, newcomer = informed(), Knowledge(parse_configuration)
    assert asker.take_state(state_for(newcomer, asker), now_ms())
    assert len(asker.targets.content) == 5
    assert asker.open_nodes == [("127.0.0.1:80", "a")]


def test_a_newcomer_learns_everything_and_later_only_changes():
    reader, newcomer = informed(), Knowledge(parse_configuration)
    whole = state_for(reader, newcomer)
    assert newcomer.take_state(whole, now_ms())
    assert newcomer.targets.content == reader.targets.content
    assert newcomer.view.content == reader.view.content
    reader.take_view(View(4, tuple(seat(n) for n in range(4))), now_ms())
    change = state_for(reader, newcomer)
    assert change.targets is None
    assert len(packed(pack(change))) < len(packed(pack(whole))) / 2
    assert newcomer.take_state(change, now_ms())
    assert newcomer.view.content == reader.view.content


def test_a_node_that_missed_a_push_says_so_and_proves_nothing():
    """A pushed view builds on one that was lost on its way.

    A proof taken with it would let a quota keeper act on a view that is out of force.
    """
    reader, node = informed(), Knowledge(parse_configuration)
    node.take_state(state_for(reader, node), now_ms())
    confirmed_at_ms = node.view.confirmed_at_ms
    reader.take_view(View(4, tuple(seat(n) for n in range(4))), now_ms())
    lost = reader.view.version
    reader.take_view(View(5, tuple(seat(n) for n in range(3))), now_ms())
    held = Held(
        -1, reader.targets_digest, lost, reader.open_digest, reader.crash_digest
    )
    push = sent(reader.state_for(held))
    assert not node.take_state(push, now_ms() + 50.0)
    assert node.view.version == 3
    assert node.view.confirmed_at_ms == confirmed_at_ms


def configuration(version: int, text: str) -> bytes:
    document = {"version": f"{version:08x}", "routes": {}, "note": text}
    return json.dumps(document).encode()


def test_a_node_with_another_text_of_the_same_version_learns_the_next():
    """The operator's tool wrote a version twice, with its fields in another order.

    The reader holds one text, a node the other, and what changed since then fits only
    the reader's. The node would serve the old routes and the withdrawn keys for good.
    """
    reader, node = Knowledge(parse_configuration), Knowledge(parse_configuration)
    node.take_configuration(configuration(5, "first text" * 9), now_ms())
    reader.take_configuration(configuration(5, "another text" * 9), now_ms())
    reader.take_configuration(configuration(6, "another text!" * 9), now_ms())
    assert not node.take_state(state_for(reader, node), now_ms())
    assert node.take_state(state_for(reader, node), now_ms())
    assert node.configuration.version == 6
