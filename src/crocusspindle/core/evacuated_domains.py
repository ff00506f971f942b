"""Follow the evacuations of failure domains, also while the store is being restored."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from crocusspindle.ids import DomainId

KEPT_MS: Final = 2_000.0
"""Time after a restore in which an evacuation counts that the copy lacks. The operator
writes it again within this."""

HELD_BACK_MS: Final = 6_000.0
"""Time after a restore in which an evacuation that had ended before doesn't count. The
operator removes its row again within this."""


@dataclass(frozen=True, slots=True)
class _Assumption:
    """Hold what was known of a domain before a restore, and until when it counts."""

    is_evacuated: bool
    until_ms: float


class EvacuatedDomains:
    """Hold the domains whose rows say that they are evacuated."""

    def __init__(self, domains: Iterable[DomainId] = ()) -> None:
        self._rows = set(domains)
        self._assumptions: dict[DomainId, _Assumption] = {}

    def replace(
        self,
        rows: Collection[DomainId],
        ended: Collection[DomainId],
        restored_ms: float,
    ) -> None:
        """Apply all rows of the store, which was last restored at a time.

        ``ended`` are the domains whose evacuation had ended before the restore.
        """
        kept = _Assumption(True, restored_ms + KEPT_MS)
        held_back = _Assumption(False, restored_ms + HELD_BACK_MS)
        self._assumptions = {
            **dict.fromkeys(self._rows.difference(rows), kept),
            **dict.fromkeys(set(ended).intersection(rows), held_back),
        }
        self._rows = set(rows)

    def update(self, rows: Mapping[DomainId, bool]) -> None:
        """Apply rows that were written or removed (False)."""
        for domain, is_evacuated in rows.items():
            self._assumptions.pop(domain, None)
            if is_evacuated:
                self._rows.add(domain)
            else:
                self._rows.discard(domain)

    def in_force(self, now_ms: float) -> frozenset[DomainId]:
        """Return the domains whose targets get no new work."""
        self._assumptions = {
            domain: assumption
            for domain, assumption in self._assumptions.items()
            if now_ms < assumption.until_ms
        }
        evacuated = set(self._rows)
        for domain, assumption in self._assumptions.items():
            if assumption.is_evacuated:
                evacuated.add(domain)
            else:
                evacuated.discard(domain)
        return frozenset(evacuated)
