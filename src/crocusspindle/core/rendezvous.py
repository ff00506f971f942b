"""Order members for a key by rendezvous (highest random weight) hashing."""

from collections.abc import Iterable
from typing import TypeVar

import xxhash

Name = TypeVar("Name", bound=str)


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
