"""Cache the holders of customers across views that do not move their shares."""

from collections import deque
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.holders import HolderCandidate, HolderSelector, holder_count
from crocusspindle.core.model import Customer
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import CustomerId, DomainId, MemberId

MAX_CACHED_CUSTOMERS: Final = 65_536
"""Customers whose holders are cached."""

MAX_CHANGES: Final = 64
"""Maximum number of view changes that are checked to validate a cached entry.

With 5,400 members, one of which starts or stops every four seconds, choosing two
holders again takes 600 hashes, which most requests would pay after each view. Checking
a change costs one comparison, so beyond some hundred changes choosing again is cheaper.
"""


@dataclass(frozen=True, slots=True)
class _Change:
    joined: tuple[HolderCandidate, ...]
    left: frozenset[MemberId]
    same_domains: bool


class HolderCache:
    """Find the holders of customers in the newest view."""

    def __init__(self) -> None:
        self._members: frozenset[HolderCandidate] = frozenset()
        self._domain_of: dict[MemberId, DomainId] = {}
        self._selector = HolderSelector(())
        self._domain_count = 0
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._version = 0
        self._cached: dict[CustomerId, tuple[int, int, tuple[MemberId, ...]]] = {}

    def install(
        self, members: tuple[HolderCandidate, ...], selector: HolderSelector
    ) -> None:
        """Apply the members of a newer view."""
        members_now = frozenset(members)
        domain_of = {member.member: member.domain for member in members}
        domains = set(domain_of.values())
        self._changes.append(
            _Change(
                tuple(members_now - self._members),
                frozenset(member.member for member in self._members - members_now),
                domains == set(self._domain_of.values()),
            )
        )
        self._version += 1
        self._members, self._domain_of = members_now, domain_of
        self._selector, self._domain_count = selector, len(domains)

    def forget(self, customer: CustomerId) -> None:
        """Drop a customer's cached holders."""
        self._cached.pop(customer, None)

    def holders(self, limit: Customer) -> tuple[MemberId, ...]:
        """Return the holders of a customer."""
        count = holder_count(limit.rate_per_s, limit.burst)
        cached = self._cached.get(limit.customer)
        if cached is not None and self._is_current(limit.customer, count, cached):
            chosen = cached[2]
        else:
            chosen = self._selector.holders(limit.customer, count)
        if cached is None and len(self._cached) >= MAX_CACHED_CUSTOMERS:
            self._cached.clear()
        if cached is None or cached[0] != self._version or cached[2] is not chosen:
            self._cached[limit.customer] = (self._version, count, chosen)
        return chosen

    def _is_current(
        self,
        customer: CustomerId,
        count: int,
        cached: tuple[int, int, tuple[MemberId, ...]],
    ) -> bool:
        """Return True if no view since the entry was cached has moved a share.

        With the same failure domains a share moves only if its holder leaves or if a
        member with a higher score joins in the holder's domain.
        """
        version, cached_count, holders = cached
        changes_since = self._version - version
        if cached_count != count or changes_since > len(self._changes):
            return False
        if changes_since and count > self._domain_count:
            return False
        key = customer.encode()
        for change in list(self._changes)[len(self._changes) - changes_since :]:
            if not change.same_domains or not change.left.isdisjoint(holders):
                return False
            for joiner in change.joined:
                for holder in holders:
                    if self._domain_of.get(holder) == joiner.domain and (
                        score(key, joiner.member),
                        joiner.member,
                    ) > (score(key, holder), holder):
                        return False
        return True
