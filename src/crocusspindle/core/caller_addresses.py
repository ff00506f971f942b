"""Choose the addresses that are returned to a customer's callers."""

from collections.abc import Callable, Sequence
from typing import Final

from crocusspindle.core.members import ViewMember
from crocusspindle.ids import DomainId, MemberId

MAX_ADDRESSES: Final = 6
"""Maximum number of addresses in one response: first the holders of the customer's
shares, and enough others that two remain if a failure domain is lost."""


def caller_addresses(
    ranked: Sequence[ViewMember],
    serves: Callable[[MemberId], bool],
    own: ViewMember | None,
) -> list[tuple[str, DomainId]]:
    """Return addresses and failure domains of the members that serve, best first.

    If the echoes of all peers are late while this node is about to leave, no member
    seems to serve. An empty list would leave callers without an address; a leaving node
    serves as long as callers may cache its address, so it returns its own. A node that
    has just started is not a member and has received nothing yet; it returns the
    members of the agreed view.
    """
    serving = [member for member in ranked if serves(member.member)]
    if not serving:
        serving = [*ranked] if own is None else [own]
    return [
        (member.caller_address, member.domain) for member in serving[:MAX_ADDRESSES]
    ]
