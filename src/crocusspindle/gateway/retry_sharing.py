"""Share the counts of a service's retries between the nodes that may place for it.

Hedges count as retries.
"""

import math
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.retry_record import RetryRecord, TimeSlice
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway.messages import RepeatsNote
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.ids import ServiceId
from crocusspindle.log_lines import Logger, log_state_change

MIN_LOG_INTERVAL_MS: Final = 1_000.0


class RetrySharing:
    """Hold the retry budgets and exchange their counts with other placers."""

    def __init__(
        self, node: NodeAddress, bounds: LiveBounds, ranks: PlacerRanks
    ) -> None:
        self._own_incarnation = node.incarnation
        self._bounds = bounds
        self._ranks = ranks
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._logged_ms = -math.inf
        self._log = Logger("placing")

    def budget(self, service: ServiceId) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._bounds.current
            budget = RetryBudget(
                bounds.budget_ratio, bounds.budget_extra, bounds.budget_window_ms
            )
            budget.set_rank(self._ranks.own_rank(service), now_ms())
            budget.set_known_since(self._ranks.notified_since_ms(service))
            self._budgets[service] = budget
        return budget

    def update_ranks(self) -> None:
        """Apply new ranks and publish the counts, with which a successor continues."""
        for service, budget in self._budgets.items():
            budget.set_rank(self._ranks.own_rank(service), now_ms())
            self._publish(service, budget)

    def publish_if_due(self, service: ServiceId) -> None:
        """Publish the counts to the other placers if they are due."""
        budget = self.budget(service)
        if budget.is_publish_due(now_ms()):
            self._publish(service, budget)

    def _publish(self, service: ServiceId, budget: RetryBudget) -> None:
        at_ms = now_ms()
        records = [
            _record_fields(counted_record, at_ms)
            for counted_record in budget.records(self._own_incarnation, at_ms)
        ]
        known_ms = round(budget.known_ms(at_ms))
        self._ranks.notify_others(service, RepeatsNote(service, known_ms, records))

    def receive(self, note: RepeatsNote) -> None:
        """Merge the counts of another placer."""
        at_ms = now_ms()
        records = [
            RetryRecord(
                origin,
                number,
                tuple(
                    TimeSlice(at_ms - age_ms, *counts)
                    for age_ms, *counts in time_slices
                ),
            )
            for origin, number, time_slices in note.records
        ]
        budget = self.budget(ServiceId(note.service))
        budget.receive(self._own_incarnation, records, note.known_ms, at_ms)

    def log_bound(self, service: ServiceId) -> None:
        """Log the state of a service's retry budget.

        At most one line a second is written for all services together. Each refusal
        has its own log line at the node where the request entered.
        """
        at_ms = now_ms()
        if at_ms < self._logged_ms + MIN_LOG_INTERVAL_MS:
            return
        self._logged_ms = at_ms
        budget = self.budget(service)
        used, allowed = budget.state(at_ms)
        log_state_change(
            self._log,
            "repeats at their bound",
            service=service,
            rank=self._ranks.own_rank(service),
            used=used,
            allowed=round(allowed),
            known_ms=round(budget.known_ms(at_ms)),
            reserved_for=budget.highest_priority(at_ms),
        )


def _record_fields(record: RetryRecord, at_ms: float) -> list[object]:
    time_slices = [
        [round(at_ms - time_slice.ended_ms), time_slice.requests, time_slice.retries]
        for time_slice in record.time_slices
    ]
    return [record.origin, record.number, time_slices]
