"""Choose the hosts whose addresses a discovery answer lists, by capacity left.

Made for hosts of different size and load, and for load that differs by failure domain.
A caller picks uniformly from its answer, so a host's share of the callers is the
fraction of the answers that list it.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.capacity_left import LEFT_MAX
from crocusspindle.core.rendezvous import sample_by_share

MAX_ADDRESSES: Final = 64
MIN_ADDRESSES: Final = 2
"""With fewer hosts than this in the caller's domain, those of all domains are listed;
a caller with one address has none when that host ends."""

MAX_ANSWERS: Final = 1_024
"""Callers whose answers are kept, up to 600 bytes each."""

MAX_OVER_MEAN: Final = 2.0
"""A host counts with at most this multiple of the mean fraction of capacity left. In a
loaded fleet, the one host that is idle would otherwise get many times its share."""

LOADED_LEFT: Final = 2.0
"""Mean eighths of capacity left below which a domain is loaded above three quarters."""

MAX_ABROAD: Final = 0.5
"""Fraction of a loaded domain's traffic that other domains get at most. Traffic between
domains has a price, and its effect shows only after some seconds."""


@dataclass(frozen=True, slots=True)
class OpenHost:
    """Hold a host that accepts callers.

    ``left`` is the capacity that it has left, in eighths of ``capacity``.
    """

    address: str
    domain: str
    capacity: float
    left: int = LEFT_MAX


def caller_capacity(capacity: float) -> float:
    """Return the capacity of a host for callers, from that for roles.

    The square root: in proportion, two hosts of twenty times the capacity of the others
    would take two thirds of the callers of a domain of twenty hosts, and one that loses
    its paths or its power would fail a third of them.
    """
    return math.sqrt(capacity)


class HostChoice:
    """Choose hosts for callers from one list of open hosts."""

    def __init__(self, hosts: Iterable[OpenHost]) -> None:
        self._by_domain: dict[str, list[OpenHost]] = {}
        for host in hosts:
            self._by_domain.setdefault(host.domain, []).append(host)
        self._shares: dict[str, dict[str, float]] = {}
        # Callers ask again every few seconds, and each answer takes a hash a host.
        self._answers: dict[tuple[str, str], list[str]] = {}

    def addresses(self, domain: str, caller: str) -> list[str]:
        """Return the addresses for a caller in a domain, in text order.

        ``caller`` is the caller's IP address. It gets the same hosts until their
        capacity left changes, and of two hosts in its domain the one with twice the
        capacity left is listed for twice as many callers.
        """
        answer = self._answers.get((domain, caller))
        if answer is None:
            if len(self._answers) >= MAX_ANSWERS:
                self._answers.clear()
            answer = self._answers[domain, caller] = self._choose(domain, caller)
        return answer

    def _choose(self, domain: str, caller: str) -> list[str]:
        if domain not in self._by_domain:
            domain = ""
        shares = self._shares.get(domain)
        if shares is None:
            shares = self._shares[domain] = self._shares_for(domain)
        key = b"caller " + caller.encode()
        return sorted(sample_by_share(key, shares, MIN_ADDRESSES, MAX_ADDRESSES))

    def in_domain(self, domain: str) -> list[str]:
        """Return the addresses of all hosts of a domain, in text order."""
        return sorted(host.address for host in self._by_domain.get(domain, []))

    def _shares_for(self, domain: str) -> dict[str, float]:
        local = self._by_domain.get(domain, [])
        if len(local) < MIN_ADDRESSES:
            everywhere = [h for hosts in self._by_domain.values() for h in hosts]
            return _relative_shares(everywhere)
        shares = _relative_shares(local)
        return shares | self._shares_abroad(domain, sum(shares.values()))

    def _shares_abroad(self, domain: str, local_share: float) -> dict[str, float]:
        """Return the shares of other domains' hosts for a loaded domain.

        They grow from zero with the load of the domain and the capacity that others
        have left, without a threshold at which all callers would move together. A
        domain that takes callers has too much left to send its own away.
        """
        missing = LOADED_LEFT - _mean_left(self._by_domain[domain])
        spare = {
            other: max(0.0, _mean_left(hosts) - LOADED_LEFT)
            for other, hosts in self._by_domain.items()
            if other != domain
        }
        abroad = MAX_ABROAD * min(1.0, missing, max(spare.values(), default=0.0))
        if abroad <= 0.0:
            return {}
        weights = {
            host.address: host.capacity * host.left * spare[other]
            for other in spare
            for host in self._by_domain[other]
            if spare[other] > 0.0
        }
        factor = local_share * abroad / (1.0 - abroad) / sum(weights.values())
        return {
            address: min(1.0, weight * factor) for address, weight in weights.items()
        }


def _relative_shares(hosts: Sequence[OpenHost]) -> dict[str, float]:
    """Return each host's share, relative to the one with most capacity left."""
    if not hosts:
        return {}
    left_bound = MAX_OVER_MEAN * _mean_left(hosts)
    weights = {
        host.address: host.capacity * min(host.left, left_bound) for host in hosts
    }
    return _relative(weights)


def _relative(weights: Mapping[str, float]) -> dict[str, float]:
    largest = max(weights.values())
    return {address: weight / largest for address, weight in weights.items()}


def _mean_left(hosts: Sequence[OpenHost]) -> float:
    """Return the mean capacity left in eighths, weighted by capacity."""
    capacity = sum(host.capacity for host in hosts)
    return sum(host.capacity * host.left for host in hosts) / capacity
