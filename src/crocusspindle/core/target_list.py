"""Follow the entries of targets through outages and restores of the store.

While the store is away, entries of running targets expire. A restored store holds a
copy that is some seconds old, and targets write their entries again at their own pace.
What the fleet knew before counts until then, for a limited time.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from crocusspindle.core.departed_targets import DepartedTargets
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)

RENEWAL_GRACE_MS: Final = 2_000.0
"""Entries that expired during a store outage are renewed within this after its end."""

SILENT_ENTRY_MS: Final = 6_000.0
"""The platform removes entries of silent targets sooner, after three of the intervals
at which targets write."""


class NoEntry(Enum):
    """State why a key has no entry of a target."""

    REMOVED = "removed"
    UNUSABLE = "unusable"


Entry = ListedTarget | NoEntry


@dataclass(frozen=True, slots=True)
class KnownBefore:
    """Hold what a node knows besides the store's rows.

    ``in_force`` is the list that it applied last, ``departed`` the targets that left
    its lists. ``store_regained_ms`` is when an outage of the store ended, and
    ``era_began_ms`` when its last restore became known.
    """

    in_force: Iterable[ListedTarget]
    departed: DepartedTargets
    store_regained_ms: float
    era_began_ms: float


class TargetList:
    """Hold the targets by the rows that a reader has read."""

    def __init__(self) -> None:
        self._targets: dict[TargetIdentity, ListedTarget] = {}
        self._missing: set[TargetIdentity] = set()
        self._held_back: dict[TargetIdentity, ListedTarget] = {}

    @property
    def targets(self) -> list[ListedTarget]:
        """Return the targets."""
        return list(self._targets.values())

    def reset(self, in_force: Iterable[ListedTarget]) -> None:
        """Start from the list in force, so that only targets removed since are missing.

        Rows from a node's last period as a reader are stale.
        """
        self.adopt(in_force)
        self._missing.clear()
        self._held_back.clear()

    def adopt(self, in_force: Iterable[ListedTarget]) -> None:
        """Apply the list of a node that has read the store meanwhile."""
        self._targets = {target.identity: target for target in in_force}
        self._missing &= self._targets.keys()

    def replace_all(
        self,
        entries: Mapping[TargetIdentity, Entry],
        era: int,
        known: KnownBefore,
        now_ms: float,
    ) -> None:
        """Apply all rows of the store in an era."""
        self._held_back = {}
        if now_ms < known.era_began_ms + SILENT_ENTRY_MS:
            self._held_back = {
                name: entry
                for name, entry in entries.items()
                if isinstance(entry, ListedTarget)
                and self._may_stand_only_in_copy(entry, era, known.departed)
            }
        current = {n: e for n, e in entries.items() if n not in self._held_back}
        self._missing |= self._targets.keys() - current.keys()
        self.update(current, known, now_ms)

    def update(
        self,
        entries: Mapping[TargetIdentity, Entry],
        known: KnownBefore,
        now_ms: float,
    ) -> None:
        """Apply rows that have changed, and the time that has passed."""
        for name, entry in entries.items():
            self._apply(name, entry)
        if now_ms >= known.era_began_ms + SILENT_ENTRY_MS:
            # The platform has removed the entries of targets that wrote nothing.
            self._targets.update(self._held_back)
            self._held_back = {}
        self._drop_missing(known, now_ms)

    def _may_stand_only_in_copy(
        self, entry: ListedTarget, era: int, departed: DepartedTargets
    ) -> bool:
        """Return True if a target had left before the era, or has started anew since.

        Nothing runs at its address, or a target of another service.
        """
        known = self._targets.get(entry.identity)
        if known is None:
            return departed.had_left(entry, era)
        return entry.started_ms < known.started_ms

    def _apply(self, name: TargetIdentity, entry: Entry) -> None:
        self._held_back.pop(name, None)
        known = self._targets.get(name)
        if entry is NoEntry.REMOVED:
            if known is not None:
                self._missing.add(name)
            return
        self._missing.discard(name)
        if isinstance(entry, NoEntry):
            self._targets.pop(name, None)
            return
        self._targets[name] = keep_leaving(entry, known)

    def _drop_missing(self, known: KnownBefore, now_ms: float) -> None:
        # Dropped at the end of an outage, expired entries would leave a service without
        # targets for two seconds. What another reader has dropped is not kept.
        kept: set[TargetIdentity] = set()
        if now_ms < known.store_regained_ms + RENEWAL_GRACE_MS:
            kept = self._missing & {target.identity for target in known.in_force}
        for name in self._missing - kept:
            self._targets.pop(name, None)
        self._missing = kept


def keep_leaving(entry: ListedTarget, known: ListedTarget | None) -> ListedTarget:
    """Return an entry that is draining if this start of the target is known to be.

    A target that has said that it leaves does not take it back, but an entry of before
    that may come back. Of a target that tells no start, the entry counts.
    """
    if (
        known is not None
        and known.readiness is Readiness.DRAINING
        and 0 < entry.started_ms <= known.started_ms
    ):
        return replace(entry, readiness=Readiness.DRAINING)
    return entry
