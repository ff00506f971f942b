"""Choose the members that hold the shares of a customer's rate and burst."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.rendezvous import order, score
from crocusspindle.ids import CustomerId, DomainId, MemberId

RATE_PER_HOLDER_PER_S: Final = 64.0
"""Requests a second for which one more holder is worth its fraction.

Made for the largest customers: 64/s is half of what a node serves on average at
the size to design for (700,000/s over 5,400 nodes), so that no node is filled by
one customer, while everybody below it has the fewest, largest fractions.
"""

HOLDERS_FOR_LOSS: Final = 4
BURST_PER_HOLDER: Final = 8
"""A customer whose burst allows it has four holders: one that dies takes a quarter of
the rate along until its heir opens, and callers at up to three quarters of their rate
are refused nothing. With two holders 43 of 1,000 at 80 % were refused over the minute
after a loss, and 355 of 1,000 in an outage. Eight tokens a holder keep whole ones in
each."""

LEAST_CUT_BURST: Final = 2
MAX_HOLDERS: Final = 8
"""Holders of the largest customer: a borrower then asks seven others at most."""


@dataclass(frozen=True, slots=True)
class ViewMember:
    """Name one member of a view and its failure domain."""

    member: MemberId
    domain: DomainId


def holder_count(rate_per_s: float, burst: int) -> int:
    """Return how many shares a customer's rate and burst are cut into.

    Made for small customers: a share whose burst is below one never holds a whole
    token, and each request would have to collect fractions. So a burst below two
    is never cut. From two on there are two holders, in two failure domains, so
    that a lost holder leaves half; more come only with the rate.
    """
    if burst < LEAST_CUT_BURST:
        return 1
    by_rate = math.ceil(rate_per_s / RATE_PER_HOLDER_PER_S)
    wanted = max(2, min(HOLDERS_FOR_LOSS, burst // BURST_PER_HOLDER), by_rate)
    return min(wanted, MAX_HOLDERS, burst)


class Placement:
    """Find holders among the members of one view."""

    def __init__(self, members: Iterable[ViewMember]) -> None:
        self._by_domain: dict[DomainId, list[MemberId]] = {}
        self.size = 0
        for member in members:
            self._by_domain.setdefault(member.domain, []).append(member.member)
            self.size += 1

    def holders(self, customer: CustomerId, count: int) -> tuple[MemberId, ...]:
        """Return up to ``count`` holders, in different failure domains first.

        Domains are ordered by rendezvous hashing and one member is chosen by
        rendezvous hashing inside each. Made for 5,400 members: two holders cost
        the hashes of two domains rather than of all. When a member leaves, only
        the shares that it held move, and they stay in their domain.
        """
        key = customer.encode()
        domains = order(key, self._by_domain)
        if count <= len(domains):
            return tuple(self._best(key, domain) for domain in domains[:count])
        return self._round_robin(key, domains, count)

    def _best(self, key: bytes, domain: DomainId) -> MemberId:
        return max(
            self._by_domain[domain], key=lambda member: (score(key, member), member)
        )

    def _round_robin(
        self, key: bytes, domains: Sequence[DomainId], count: int
    ) -> tuple[MemberId, ...]:
        ranked = [order(key, self._by_domain[domain]) for domain in domains]
        chosen: list[MemberId] = []
        for depth in range(max(map(len, ranked), default=0)):
            chosen += [members[depth] for members in ranked if depth < len(members)]
        return tuple(chosen[:count])


def holders_of(
    customer: CustomerId,
    rate_per_s: float,
    burst: int,
    members: Sequence[ViewMember],
) -> tuple[MemberId, ...]:
    """Return the holders of a customer's shares, each of an equal share."""
    return Placement(members).holders(customer, holder_count(rate_per_s, burst))
