"""Remember holders through views that do not concern them."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.holders import Placement, ViewMember, holder_count
from crocusspindle.core.model import Customer
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import CustomerId, DomainId, MemberId

MAX_PLACEMENTS: Final = 65_536
"""Customers whose holders are remembered."""

MAX_CHANGES: Final = 64
"""Views by which a remembered placement is brought up to date.

Made for 5,400 members, of whom one starts or goes every four seconds: choosing two
holders anew takes 600 hashes, and most requests would pay it after each view. A
change costs one comparison, so beyond some hundred choosing anew is no dearer.
"""


@dataclass(frozen=True, slots=True)
class _Change:
    joined: tuple[ViewMember, ...]
    left: frozenset[MemberId]
    same_domains: bool


class Placements:
    """Find the holders of customers in the newest view."""

    def __init__(self) -> None:
        self._members: frozenset[ViewMember] = frozenset()
        self._domain_of: dict[MemberId, DomainId] = {}
        self._placement = Placement(())
        self._domains = 0
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._at = 0
        self._known: dict[CustomerId, tuple[int, int, tuple[MemberId, ...]]] = {}

    def install(self, members: tuple[ViewMember, ...], placement: Placement) -> None:
        """Take the members of a newer view."""
        now = frozenset(members)
        domain_of = {each.member: each.domain for each in members}
        domains = set(domain_of.values())
        self._changes.append(
            _Change(
                tuple(now - self._members),
                frozenset(each.member for each in self._members - now),
                domains == set(self._domain_of.values()),
            )
        )
        self._at += 1
        self._members, self._domain_of = now, domain_of
        self._placement, self._domains = placement, len(domains)

    def forget(self, customer: CustomerId) -> None:
        """Drop what is known of a customer."""
        self._known.pop(customer, None)

    def holders(self, limit: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer."""
        count = holder_count(limit.rate_per_s, limit.burst)
        known = self._known.get(limit.customer)
        if known is not None and self._holds(limit.customer, count, known):
            found = known[2]
        else:
            found = self._placement.holders(limit.customer, count)
        if known is None and len(self._known) >= MAX_PLACEMENTS:
            self._known.clear()
        if known is None or known[0] != self._at or known[2] is not found:
            self._known[limit.customer] = (self._at, count, found)
        return found

    def _holds(
        self,
        customer: CustomerId,
        count: int,
        known: tuple[int, int, tuple[MemberId, ...]],
    ) -> bool:
        """Return True if no view since has moved one of the customer's shares.

        With the same failure domains a share moves only if its holder leaves or a
        member of the holder's own domain joins that stands before it.
        """
        at, known_count, found = known
        behind = self._at - at
        if known_count != count or behind > len(self._changes):
            return False
        if behind and count > self._domains:
            return False
        key = customer.encode()
        for change in list(self._changes)[len(self._changes) - behind :]:
            if not change.same_domains or not change.left.isdisjoint(found):
                return False
            for joiner in change.joined:
                for holder in found:
                    if self._domain_of.get(holder) == joiner.domain and (
                        score(key, joiner.member),
                        joiner.member,
                    ) > (score(key, holder), holder):
                        return False
        return True
