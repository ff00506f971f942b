"""Test changes of the member view, and versioned states with confirmations."""

from dataclasses import replace

import pytest

from crocusspindle.core.versioned_state import VersionedState
from crocusspindle.core.view import (
    NodeAddress,
    View,
    members_changed,
    next_view,
    precedes_era,
)
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(host: str, incarnation: str = "1") -> NodeAddress:
    return NodeAddress(
        HostId(host), Incarnation(incarnation + host), "::1", 1, DomainId("a"), "::1:2"
    )


def present(*names: str) -> dict[HostId, NodeAddress]:
    return {HostId(name): node(name) for name in names}


def test_a_member_that_stays_keeps_the_number_of_its_first_view():
    first = next_view(None, present("a", "b"))
    second = next_view(first, present("a", "b", "c"))
    joined = {entry.node.host: entry.joined for entry in second.entries}
    assert joined == {"a": 1, "b": 1, "c": 2}


def test_an_absent_member_is_fenced_until_its_key_expires():
    first = next_view(None, present("a", "b"))
    second = next_view(first, present("a"))
    assert [entry.node.host for entry in second.fenced] == ["b"]
    assert next_view(second, present("a", "c")).fenced == second.fenced
    expired = {entry.key for entry in second.fenced}
    assert next_view(second, present("a", "c"), expired).fenced == ()


def test_a_member_that_returns_joins_anew():
    first = next_view(None, present("a", "b"))
    back = next_view(next_view(first, present("a")), present("a", "b"))
    assert {entry.node.host: entry.joined for entry in back.entries} == {"a": 1, "b": 3}


def test_a_new_process_on_a_host_is_a_change():
    view = next_view(None, present("a"))
    assert not members_changed(view, present("a"))
    assert members_changed(view, {HostId("a"): node("a", "2")})


def test_an_older_version_replaces_nothing():
    """A slow read returns the version before the one in force.

    Applying it would serve a removed route and a withdrawn key.
    """
    state: VersionedState[str, int] = VersionedState(-1)
    assert state.update("new", 7, 100.0)
    assert not state.update("old", 6, 200.0)
    assert (state.content, state.version, state.confirmed_at_ms) == ("new", 7, 100.0)


def test_only_a_confirmation_of_the_known_version_counts():
    """A reader confirms version 8 as the newest while this node has version 7."""
    state: VersionedState[str, int] = VersionedState(-1)
    state.update("seven", 7, 100.0)
    state.confirm(8, 900.0)
    assert state.age_ms(1_000.0) == 900.0
    state.confirm(7, 800.0)
    state.confirm(7, 300.0)
    assert state.age_ms(1_000.0) == 200.0


def mixed_fleet(large: int, small: int, sizes: tuple[int, int]) -> View:
    """Return the view of hosts of two sizes; the large ones come first by name."""
    capacities = [sizes[0]] * large + [sizes[1]] * small
    names = [f"n{number:03}" for number in range(large + small)]
    nodes = {
        HostId(name): replace(node(name), capacity=capacity)
        for name, capacity in zip(names, capacities, strict=True)
    }
    return next_view(None, nodes)


def heads_of(view: View, roles: int) -> list[HostId]:
    return [view.ranked(f"placer {number}")[0] for number in range(roles)]


@pytest.mark.parametrize(
    ("large", "small", "sizes"),
    [(8, 125, (200, 10)), (8, 125, (100, 10)), (18, 275, (200, 20))],
)
def test_large_hosts_have_nearly_all_roles_of_a_mixed_fleet(large, small, sizes):
    """Guards against busy services for which a small host places too slowly."""
    view = mixed_fleet(large, small, sizes)
    heads = heads_of(view, 500)
    on_large = sum(view.by_host[head].node.capacity == sizes[0] for head in heads)
    assert on_large >= 0.98 * len(heads)
    assert len(set(heads)) >= large


def test_small_hosts_have_the_roles_when_the_large_ones_are_lost():
    """Guards against roles without a host once all large hosts lost power."""
    heads = heads_of(mixed_fleet(0, 125, (200, 10)), 500)
    assert len(set(heads)) > 100


def test_first_members_by_rank_are_of_different_failure_domains():
    """Guards against a domain whose loss takes a placer and its successors with it."""
    domains = {f"n{number}": DomainId("abcd"[number % 4]) for number in range(20)}
    nodes = {
        HostId(name): replace(node(name), domain=domain)
        for name, domain in domains.items()
    }
    view = next_view(None, nodes)
    for role in (f"placer s{number}" for number in range(50)):
        ranked = view.ranked_across_domains(role, 3)
        assert len({domains[host] for host in ranked[:3]}) == 3
        assert ranked[0] == view.ranked(role)[0]
        assert sorted(ranked) == sorted(nodes)


def test_members_of_a_single_domain_keep_their_rank():
    view = next_view(None, present("a", "b", "c", "d"))
    assert view.ranked_across_domains("role", 3) == view.ranked("role")


@pytest.mark.parametrize("era", [0, 1, 1_795_000_000])
def test_only_the_first_view_of_a_fleet_is_first(era):
    """Guards against full buckets after a restore: customers have spent tokens."""
    first = next_view(None, present("a"), era=era)
    assert first.is_first and not precedes_era(first, era)
    assert not next_view(first, present("a", "b"), era=era).is_first
    assert not next_view(first, present("a", "b"), era=era + 1).is_first


def test_views_of_a_new_era_follow_all_those_that_the_store_lost():
    """Guards against two views of one number: one that a restore has undone, and the
    one that a writer that did not know it wrote in its place.
    """
    kept = next_view(None, present("a", "b"), era=1)
    lost = kept
    for names in ("a", "ab", "a"):
        lost = next_view(lost, present(*names), era=1)
    rewritten = next_view(kept, present("a", "b"), era=2)
    assert precedes_era(lost, 2) and not precedes_era(rewritten, 2)
    assert rewritten.number > lost.number
    assert next_view(lost, present("a"), era=2).number == rewritten.number
