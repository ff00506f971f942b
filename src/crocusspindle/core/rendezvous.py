"""Order members for a key by rendezvous (highest random weight) hashing."""

import math
from collections.abc import Iterable, Mapping
from typing import Final, TypeVar

import xxhash

Name = TypeVar("Name", bound=str)

SCORES: Final = 2.0**64
SHARE_MAX: Final = 1.0 - 2.0**-53
"""The largest share below 1: its logarithm is not 0."""


def score(key: bytes, member: str) -> int:
    """Return the 64-bit weight of a member for a key."""
    return int(xxhash.xxh3_64_intdigest(member.encode() + b"\0" + key))


def order(key: bytes, members: Iterable[Name]) -> list[Name]:
    """Return the members from the heaviest to the lightest for a key.

    When one of N members leaves, only the keys that it headed move: 1 / N of
    all. Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return sorted(
        members, key=lambda member: (score(key, member), member), reverse=True
    )


def order_by_weight(key: bytes, weights: Mapping[Name, float]) -> list[Name]:
    """Return the members for a key, each first as often as its weight is of all.

    The order of two members does not depend on the others, so that only the keys of a
    member that comes, leaves or changes its weight move. Schindelhauer and Schomaker,
    "Weighted distributed hash tables", 2005.
    """

    def rank(member: Name) -> tuple[float, str]:
        share = (score(key, member) + 1) / SCORES
        return (-math.log(min(share, SHARE_MAX)) / weights[member], member)

    return sorted(weights, key=rank)
