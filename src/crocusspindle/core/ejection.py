"""Bound the capacity that a coordinator may eject.

Guards against ejecting too much when all targets of a group look bad, and when two
coordinators without contact evaluate one group at once. The targets that both leave in
service could otherwise be fewer than the floor, so that healthy targets idle while
callers wait.

Two coordinators may have different evidence, so if each may eject targets of capacity
c, both together can eject 2c. Without communication the floor f holds for both if and
only if c <= (1 - f) / 2. A larger c needs an agreement on which coordinator may use it;
docs/design/health.md compares the two.
"""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.health_state import HealthState
from crocusspindle.core.model import TargetState
from crocusspindle.core.target_record import TargetRecord
from crocusspindle.ids import TargetId

IN_SERVICE: Final = frozenset({HealthState.HEALTHY, HealthState.SUSPECT})

LOSS_MARGIN: Final = 0.2
"""Minimum difference in loss to swap two targets, above the noise of 20 requests."""


class EjectionBudget:
    """Compute how much of a group's capacity is and may be out of service.

    Slots are counted as stated in the host list, so that all coordinators agree.
    Leaving targets count neither as capacity nor as removed.
    """

    def __init__(
        self,
        records: Mapping[TargetId, TargetRecord],
        floor_fraction: float,
        coordinators_at_once: int,
    ) -> None:
        self._records = records
        self._floor_fraction = floor_fraction
        self._coordinators_at_once = coordinators_at_once

    def live(self) -> list[TargetRecord]:
        """Return the targets that count as capacity."""
        live = TargetState.LIVE
        return [r for r in self._records.values() if r.target.state is live]

    def serving(self) -> list[TargetRecord]:
        """Return the live targets in service."""
        return [record for record in self.live() if record.state in IN_SERVICE]

    def out_of_service(self) -> list[TargetRecord]:
        """Return the live targets out of service, the least bad first."""
        ejected = [record for record in self.live() if record.state not in IN_SERVICE]
        return sorted(ejected, key=lambda record: record.loss)

    def spare_slots(self) -> int:
        """Return the slots that may still be ejected, below 0 if too many are."""
        total_slots = sum(record.target.slots for record in self.live())
        removable_slots = (1.0 - self._floor_fraction) * total_slots
        # Round down, but tolerate floating-point error as in (1 - 0.8) * 10.
        limit_slots = int(removable_slots / self._coordinators_at_once + 1e-9)
        return limit_slots - sum(
            record.target.slots for record in self.out_of_service()
        )

    def has_room(self, record: TargetRecord) -> bool:
        """Return True if a target in service may be ejected."""
        if record.target.state is TargetState.LEAVING:
            return True
        return record.target.slots <= self.spare_slots()

    def find_replacement(
        self, record: TargetRecord, loss: float
    ) -> TargetRecord | None:
        """Return a target out of service to use instead, less bad by a margin."""
        missing_slots = record.target.slots - self.spare_slots()
        for other in self.out_of_service():
            if other.loss + LOSS_MARGIN > loss:
                return None
            if other.target.slots >= missing_slots:
                return other
        return None
