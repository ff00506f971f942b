"""Choose the addresses that a customer's callers are told to use."""

from collections.abc import Callable, Sequence
from typing import Final

from crocusspindle.core.members import ViewMember
from crocusspindle.ids import DomainId, MemberId

ADDRESSES_MAX: Final = 6
"""Addresses in one answer: holders of the customer's shares first, and enough others
that a lost failure domain leaves two."""


def caller_addresses(
    ranked: Sequence[ViewMember],
    serves: Callable[[MemberId], bool],
    own: ViewMember | None,
) -> list[tuple[str, DomainId]]:
    """Return addresses and failure domains of those that serve, best first.

    The load is a busy host whose peers' echoes are all late for a moment while this
    node is about to leave, so that nobody seems to serve. An empty list would leave
    callers with nowhere to go; a leaving node still serves for as long as callers may
    keep its address, so it names itself. A node that has just started is no member
    yet and has heard nobody; it names the members that the fleet agrees on.
    """
    named = [member for member in ranked if serves(member.member)]
    if not named:
        named = [*ranked] if own is None else [own]
    return [(member.caller_address, member.domain) for member in named[:ADDRESSES_MAX]]
