"""Remember targets that left the list, for the case that the store is restored."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.listed_target import ListedTarget, TargetIdentity

RETENTION_MS: Final = 600_000.0
"""How long a departure is remembered; copies from which a store is restored are
younger."""


@dataclass(frozen=True, slots=True)
class Departure:
    """Hold which start of a target left, in which era of the store, and when."""

    started_ms: int
    era: int
    left_ms: float


class DepartedTargets:
    """Hold the targets whose entries were removed.

    A restored store lists them again, until the platform removes their silent entries
    once more. Nothing runs at their addresses, or targets of other services.
    """

    def __init__(self) -> None:
        self._departures: dict[TargetIdentity, Departure] = {}

    def update(
        self,
        previous: Iterable[ListedTarget],
        listed: Iterable[ListedTarget],
        era: int,
        now_ms: float,
    ) -> None:
        """Record which targets a list of an era lacks that the previous one had."""
        names = {target.identity for target in listed}
        for target in previous:
            if target.identity not in names:
                departure = Departure(target.started_ms, era, now_ms)
                self._departures[target.identity] = departure
        self._departures = {
            name: departure
            for name, departure in self._departures.items()
            if name not in names and departure.left_ms + RETENTION_MS > now_ms
        }

    def had_left(self, target: ListedTarget, era: int) -> bool:
        """Return True if this start of a target had left before an era began."""
        departure = self._departures.get(target.identity)
        return (
            departure is not None
            and departure.era < era
            and target.started_ms <= departure.started_ms
        )
