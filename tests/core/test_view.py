"""Change the view of the members, and hold beliefs with their proofs."""

from dataclasses import replace

from crocusspindle.core.proof import Belief
from crocusspindle.core.view import NodeAddress, members_changed, next_view
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


def test_large_hosts_have_nearly_all_duties_of_a_mixed_fleet():
    """Eight large hosts and 125 small ones start, and each duty falls to one of them.

    By name alone 19 of 20 duties fell to small hosts: a placer of 300 requests a second
    was passed over for being slow, and two placers at once gave the same slots away.
    """
    sizes = {f"n{number}": 200 if number < 8 else 10 for number in range(133)}
    nodes = {
        HostId(name): replace(node(name), capacity=capacity)
        for name, capacity in sizes.items()
    }
    view = next_view(None, nodes)
    heads = [view.ranked(f"placer {number}")[0] for number in range(500)]
    assert sum(sizes[host] == 200 for host in heads) > 0.9 * len(heads)
    assert len(set(heads)) > 8
