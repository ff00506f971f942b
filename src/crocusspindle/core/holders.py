"""Choose the members that hold the shares of a customer's rate and burst."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.rendezvous import order, score
from crocusspindle.ids import CustomerId, DomainId, MemberId

RATE_PER_HOLDER_PER_S: Final = 64.0
"""Requests per second for which one more holder is added.

64/s is half of what a node serves on average at the design size (700,000/s over 5,400
nodes), so that no node is saturated by one customer, while customers below that rate
have the fewest, largest shares.
"""

LOSS_TOLERANT_HOLDERS: Final = 4
BURST_PER_HOLDER: Final = 8
"""A customer whose burst allows it has four holders: a holder that fails removes a
quarter of the rate until its successor opens, and callers at up to three quarters of
their rate are refused nothing. With two holders, at 80 % of the rate, 43 of 1,000
requests were refused in the minute after a loss, and 355 of 1,000 in an outage. With
eight tokens per holder each one keeps whole tokens."""

MIN_SPLIT_BURST: Final = 2
MAX_HOLDERS: Final = 8
"""Maximum number of holders: a borrower then has at most seven possible lenders."""


@dataclass(frozen=True, slots=True)
class HolderCandidate:
    """Identify one member of a view and its failure domain."""

    member: MemberId
    domain: DomainId


def holder_count(rate_per_s: float, burst: int) -> int:
    """Return how many shares a customer's rate and burst are split into.

    A share whose burst is below one never holds a whole token, and each request would
    have to collect fractions. So a burst below two is never split. From two on there
    are two holders, in two failure domains, so that half remains if one is lost;
    further holders depend on rate and burst.
    """
    if burst < MIN_SPLIT_BURST:
        return 1
    by_rate = math.ceil(rate_per_s / RATE_PER_HOLDER_PER_S)
    desired = max(2, min(LOSS_TOLERANT_HOLDERS, burst // BURST_PER_HOLDER), by_rate)
    return min(desired, MAX_HOLDERS, burst)


class HolderSelector:
    """Find holders among the members of one view."""

    def __init__(self, members: Iterable[HolderCandidate]) -> None:
        self._by_domain: dict[DomainId, list[MemberId]] = {}
        self.size = 0
        for member in members:
            self._by_domain.setdefault(member.domain, []).append(member.member)
            self.size += 1

    def holders(self, customer: CustomerId, count: int) -> tuple[MemberId, ...]:
        """Return up to ``count`` holders, in different failure domains first.

        Domains are ordered by rendezvous hashing, and one member of each is chosen by
        rendezvous hashing. With 5,400 members two holders then cost the hashes of two
        domains rather than of all. When a member leaves, only its shares move, and
        they stay in their domain.
        """
        key = customer.encode()
        domains = order(key, self._by_domain)
        if count <= len(domains):
            return tuple(
                self._highest_scored(key, domain) for domain in domains[:count]
            )
        return self._round_robin(key, domains, count)

    def _highest_scored(self, key: bytes, domain: DomainId) -> MemberId:
        return max(
            self._by_domain[domain], key=lambda member: (score(key, member), member)
        )

    def _round_robin(
        self, key: bytes, domains: Sequence[DomainId], count: int
    ) -> tuple[MemberId, ...]:
        ranked = [order(key, self._by_domain[domain]) for domain in domains]
        chosen: list[MemberId] = []
        for rank in range(max(map(len, ranked), default=0)):
            chosen += [members[rank] for members in ranked if rank < len(members)]
        return tuple(chosen[:count])


def holders_of(
    customer: CustomerId,
    rate_per_s: float,
    burst: int,
    members: Sequence[HolderCandidate],
) -> tuple[MemberId, ...]:
    """Return the holders of a customer's equal shares."""
    return HolderSelector(members).holders(customer, holder_count(rate_per_s, burst))
