"""Order the versions of a store that may be restored from a copy."""

from typing import Final, NamedTuple


class StoreVersion(NamedTuple):
    """Hold a version and the era of the store in which it was given out.

    A restore from a copy begins an era, in which versions of earlier ones are given out
    again. So the era is compared first, and a bare number tells nothing.
    """

    era: int
    number: int


FIRST_ERA: Final = 0
"""Era of a store that names none."""

UNKNOWN_ERA: Final = -1
"""Era at a node that has not heard of any."""

NO_VERSION: Final = StoreVersion(UNKNOWN_ERA, -1)
"""Version of what was never read; older than any version."""


def absent_row(era: int) -> StoreVersion:
    """Return the version that a condition names for a row that must not exist."""
    return StoreVersion(era, 0)
