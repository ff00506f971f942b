"""Order members for a key by rendezvous (highest random weight) hashing."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, TypeVar

import xxhash

Name = TypeVar("Name", bound=str)

SCORE_RANGE: Final = 2.0**64
MAX_UNIFORM: Final = 1.0 - 2.0**-53
"""The largest float below 1, so that the logarithm is never 0."""


def score(key: bytes, member: str) -> int:
    """Return the 64-bit score of a member for a key."""
    return int(xxhash.xxh3_64_intdigest(member.encode() + b"\0" + key))


def order(key: bytes, members: Iterable[Name]) -> list[Name]:
    """Return the members from the highest to the lowest score for a key.

    When one of N members leaves, only the keys for which it ranked first move: 1 / N
    of all. Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
    1998.
    """
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )


def order_by_weight(key: bytes, weights: Mapping[Name, float]) -> list[Name]:
    """Return the members by rank for a key, each first in proportion to its weight.

    The order of two members does not depend on the others, so that only the keys of a
    member that joins, leaves or changes its weight move. Schindelhauer and Schomaker,
    "Weighted distributed hash tables", 2005.
    """

    def rank(member: Name) -> tuple[float, str]:
        uniform = (score(key, member) + 1) / SCORE_RANGE
        return (-math.log(min(uniform, MAX_UNIFORM)) / weights[member], member)

    return sorted(weights, key=rank)


def sample_by_share(
    key: bytes, shares: Mapping[Name, float], at_least: int, at_most: int
) -> list[Name]:
    """Return a sample of the members for a key, by rank.

    Each member is in the samples of exactly the fraction of the keys that ``shares``
    gives for it, above 0 to 1, unless the sample is too small or too large: then the
    members that rank first are taken. If a share changes, only that fraction of keys
    changes its sample. Ohlsson, "Sequential Poisson sampling", 1998.
    """

    ranks = {
        member: (score(key, member) + 1) / SCORE_RANGE / share
        for member, share in shares.items()
    }
    ranked = sorted(ranks, key=lambda member: (ranks[member], member))
    within = sum(rank <= 1.0 for rank in ranks.values())
    return ranked[: min(at_most, max(at_least, within))]
