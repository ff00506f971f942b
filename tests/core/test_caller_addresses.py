"""Check the addresses that callers get while nodes start and leave."""

from crocusspindle.core.caller_addresses import MAX_ADDRESSES, caller_addresses
from crocusspindle.core.members import ViewMember
from crocusspindle.ids import DomainId, MemberId


def member(number: int) -> ViewMember:
    name, address = MemberId(f"n{number}@1"), f"10.0.0.{number}:80"
    return ViewMember(name, DomainId("a"), "r", address, "10.0.0.9:1", 0)


def test_only_serving_members_are_returned_in_order():
    members = [member(number) for number in (3, 1, 2)]
    found = caller_addresses(members, lambda name: name != "n1@1", members[1])
    assert found == [("10.0.0.3:80", "a"), ("10.0.0.2:80", "a")]


def test_a_leaving_node_without_echoes_returns_its_own_address():
    """The echoes of all peers are late while this node is about to stop.

    No member seems to serve. Without any address callers would fail at once although
    this node still serves them.
    """
    members = [member(number) for number in (3, 1, 2)]
    found = caller_addresses(members, lambda name: False, members[1])
    assert found == [("10.0.0.1:80", "a")]


def test_a_node_that_has_just_started_returns_the_members():
    """A caller reaches a node that is not a member and has received no echoes yet.

    Without any address callers would fail at once while the whole fleet serves.
    """
    found = caller_addresses([member(1), member(2)], lambda name: False, None)
    assert found == [("10.0.0.1:80", "a"), ("10.0.0.2:80", "a")]


def test_the_number_of_addresses_is_bounded():
    members = [member(number) for number in range(MAX_ADDRESSES + 9)]
    assert len(caller_addresses(members, lambda name: True, None)) == MAX_ADDRESSES
