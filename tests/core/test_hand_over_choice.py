"""Tests of the choice of a node to hand requests over to."""

from collections import Counter

from crocusspindle.core.hand_over_choice import (
    MAX_NODES_TRIED,
    REFUSED_MS,
    HandOverChoice,
    nodes_named,
)
from crocusspindle.ids import DomainId, HostId, ServiceId

BOOKS = ServiceId("books")
NODES = [HostId(f"n{number}") for number in range(12)]
REACHING = [(node, DomainId("ab"[number % 2])) for number, node in enumerate(NODES)]


def test_nodes_of_the_senders_domain_are_named_first():
    named = nodes_named(HostId("n0"), DomainId("a"), REACHING)
    domains = [dict(REACHING)[node] for node in named]
    assert domains == sorted(domains) and "n0" not in named


def test_many_senders_are_spread_over_the_nodes_with_a_path():
    """Guards against a few nodes that carry all that many can't send."""
    first = Counter(
        nodes_named(HostId(f"cut-{number}"), DomainId("c"), REACHING)[0]
        for number in range(240)
    )
    assert len(first) == len(NODES) and max(first.values()) <= 240 / len(NODES) * 2


def test_named_nodes_are_tried_before_other_members():
    choice = HandOverChoice(HostId("own"))
    nodes = choice.nodes(BOOKS, NODES[:2], [*NODES, HostId("own")], 0.0)
    assert nodes[:2] == NODES[:2] and len(nodes) == MAX_NODES_TRIED
    assert "own" not in nodes


def test_without_a_word_of_the_placer_all_members_get_their_turn():
    choice = HandOverChoice(HostId("own"))
    first = {choice.nodes(BOOKS, [], NODES, 0.0)[0] for _ in range(100)}
    assert first == set(NODES)


def test_a_node_that_refused_is_tried_last_and_not_left_out():
    """Guards against a request that is refused though a node may take it again."""
    choice = HandOverChoice(HostId("own"))
    for node in NODES:
        choice.record_refusal(BOOKS, node, 0.0)
    assert len(choice.nodes(BOOKS, NODES[:1], NODES, 10.0)) == MAX_NODES_TRIED
    choice = HandOverChoice(HostId("own"))
    choice.record_refusal(BOOKS, NODES[0], 0.0)
    assert NODES[0] not in choice.nodes(BOOKS, NODES[:1], NODES, 10.0)
    assert choice.nodes(BOOKS, NODES[:1], NODES, REFUSED_MS + 1.0)[0] == NODES[0]
    assert choice.nodes(ServiceId("other"), NODES[:1], NODES, 10.0)[0] == NODES[0]
