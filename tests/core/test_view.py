"""Change the view of the members, and hold beliefs with their proofs."""

from dataclasses import replace

import pytest

from crocusspindle.core.proof import Belief
from crocusspindle.core.view import NodeAddress, View, members_changed, next_view
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host), Incarnation(incarnation + host), "::1", 1, DomainId("a"), "::1:2"
    )


def present(*names: str) -> dict[HostId, NodeAddress]:
    return {HostId(name): node(name) for name in names}


def test_who_stays_keeps_the_number_of_its_joining():
    first = next_view(None, present("a", "b"))
    second = next_view(first, present("a", "b", "c"))
    joined = {seat.node.host: seat.joined for seat in second.seats}
    assert joined == {"a": 1, "b": 1, "c": 2}


def test_who_is_away_is_fenced_until_its_stay_is_over():
    first = next_view(None, present("a", "b"))
    second = next_view(first, present("a"))
    assert [seat.node.host for seat in second.fenced] == ["b"]
    assert next_view(second, present("a", "c")).fenced == second.fenced
    over = {seat.key for seat in second.fenced}
    assert next_view(second, present("a", "c"), over).fenced == ()


def test_who_comes_back_joins_anew():
    first = next_view(None, present("a", "b"))
    back = next_view(next_view(first, present("a")), present("a", "b"))
    assert {seat.node.host: seat.joined for seat in back.seats} == {"a": 1, "b": 3}


def test_a_new_process_on_a_host_is_a_change():
    view = next_view(None, present("a"))
    assert not members_changed(view, present("a"))
    assert members_changed(view, {HostId("a"): node("a", "2")})


def test_an_older_answer_replaces_nothing():
    """A slow read brings the version before the one in force.

    Taken, it would serve a route that was dropped and a key that was withdrawn.
    """
    belief: Belief[str] = Belief()
    assert belief.take("new", 7, 100.0)
    assert not belief.take("old", 6, 200.0)
    assert (belief.content, belief.version, belief.proved_at_ms) == ("new", 7, 100.0)


def test_only_a_proof_of_the_version_held_counts():
    """A reader shows that version 8 is the newest while version 7 is held here."""
    belief: Belief[str] = Belief()
    belief.take("seven", 7, 100.0)
    belief.prove(8, 900.0)
    assert belief.age_ms(1_000.0) == 900.0
    belief.prove(7, 800.0)
    belief.prove(7, 300.0)
    assert belief.age_ms(1_000.0) == 200.0


def mixed_fleet(large: int, small: int, sizes: tuple[int, int]) -> View:
    """Return the view of hosts of two sizes; the large ones come first by name."""
    capacities = [sizes[0]] * large + [sizes[1]] * small
    names = [f"n{number:03}" for number in range(large + small)]
    nodes = {
        HostId(name): replace(node(name), capacity=capacity)
        for name, capacity in zip(names, capacities, strict=True)
    }
    return next_view(None, nodes)


def heads_of(view: View, duties: int) -> list[HostId]:
    return [view.ranked(f"placer {number}")[0] for number in range(duties)]


@pytest.mark.parametrize(
    ("large", "small", "sizes"),
    [(8, 125, (200, 10)), (8, 125, (100, 10)), (18, 275, (200, 20))],
)
def test_large_hosts_have_nearly_all_duties_of_a_mixed_fleet(large, small, sizes):
    """Guards against busy services that a small host places too slowly."""
    view = mixed_fleet(large, small, sizes)
    heads = heads_of(view, 500)
    on_large = sum(view.by_host[head].node.capacity == sizes[0] for head in heads)
    assert on_large >= 0.98 * len(heads)
    assert len(set(heads)) >= large


def test_small_hosts_have_the_duties_when_the_large_ones_are_gone():
    """Guards against duties that nobody has once all large hosts lost power."""
    heads = heads_of(mixed_fleet(0, 125, (200, 10)), 500)
    assert len(set(heads)) > 100
