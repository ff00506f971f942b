"""Bound the capacity that a home may take out of service.

Made for a group whose targets all look bad, and for two homes that judge one group
at once and cannot hear each other. The harm prevented: the targets that both leave
in service are fewer than the floor, so healthy ones idle while callers wait.

A home that may eject any targets of capacity c can do so on other evidence than the
other home, so both together can take out 2c. Without a word between them the floor
f holds for both only if c <= (1 - f) / 2, and then it always holds. A larger share
needs an agreement on which home has it; docs/design/health.md weighs that.
"""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.health_state import HealthState
from crocusspindle.core.model import TargetState
from crocusspindle.core.target_record import TargetRecord
from crocusspindle.ids import TargetId

IN_SERVICE: Final = frozenset({HealthState.HEALTHY, HealthState.SUSPECT})

LOSS_MARGIN: Final = 0.2
"""Two targets change places only for a gain beyond the noise of 20 requests."""


class EjectionBudget:
    """Tell how much of a group's capacity is and may be out of service.

    Slots count as the host list claims them, so that all homes count alike; leaving
    targets count neither as capacity nor as removed.
    """

    def __init__(
        self,
        records: Mapping[TargetId, TargetRecord],
        floor_fraction: float,
        homes_at_once: int,
    ) -> None:
        self._records = records
        self._floor_fraction = floor_fraction
        self._homes_at_once = homes_at_once

    def live(self) -> list[TargetRecord]:
        """Return the targets that count as capacity."""
        live = TargetState.LIVE
        return [r for r in self._records.values() if r.target.state is live]

    def serving(self) -> list[TargetRecord]:
        """Return the live targets in service."""
        return [record for record in self.live() if record.state in IN_SERVICE]

    def removed(self) -> list[TargetRecord]:
        """Return the live targets out of service, the least bad first."""
        out = [record for record in self.live() if record.state not in IN_SERVICE]
        return sorted(out, key=lambda record: record.loss)

    def spare_slots(self) -> int:
        """Return the slots that may still go, below 0 if too many are out."""
        total_slots = sum(record.target.slots for record in self.live())
        removable_slots = (1.0 - self._floor_fraction) * total_slots
        # Rounded down, but for the noise of fractions such as (1 - 0.8) * 10.
        limit_slots = int(removable_slots / self._homes_at_once + 1e-9)
        return limit_slots - sum(record.target.slots for record in self.removed())

    def has_room(self, record: TargetRecord) -> bool:
        """Return True if a target in service may be ejected."""
        if record.target.state is TargetState.LEAVING:
            return True
        return record.target.slots <= self.spare_slots()

    def lesser_evil(self, record: TargetRecord, loss: float) -> TargetRecord | None:
        """Return an ejected target so much less bad that it should serve instead."""
        missing_slots = record.target.slots - self.spare_slots()
        for other in self.removed():
            if other.loss + LOSS_MARGIN > loss:
                return None
            if other.target.slots >= missing_slots:
                return other
        return None
