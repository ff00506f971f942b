"""Keep the targets of a group with their slots and weights."""

from collections.abc import Iterable
from typing import Final

from crocusspindle.core.decisions import TargetStatus
from crocusspindle.core.latency_window import LatencyWindow
from crocusspindle.core.model import Target
from crocusspindle.core.placement import (
    PROBATION_WEIGHT,
    Candidate,
    TargetWeights,
    choose,
    choose_trial,
)
from crocusspindle.core.requests import PendingRequest
from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import DomainId, TargetId

_DEFAULT_HOLD_MS: Final = 50.0
"""Slot holding time assumed before the first response. It sets only the pause of a
target after a shed request; no request is refused because of it."""

_LOW_WEIGHT: Final = 0.15
"""At or below this weight a target is used only if no better one is available soon.
Targets that only the floor keeps in service, and cold ones at first, have 0.1. A
suspect's 0.25 is above, since only work can confirm or clear a suspicion."""

_LOW_WEIGHT_INTERVAL_MS: Final = 1_000.0
"""A low-weight target still gets one idempotent request per interval, since without
work it could never show that it has recovered. The retry tokens cover the failures."""


class TargetPool:
    """Track which targets have free slots and how fast the group drains its queue."""

    def __init__(self, weights: TargetWeights, domain: DomainId | None) -> None:
        self._weights = weights
        self._domain = domain
        self._targets: dict[TargetId, TargetSlots] = {}
        self._live: list[TargetSlots] = []
        self._holds = LatencyWindow()
        self._capacity = 0
        self._capacity_at_ms = float("-inf")

    def update(self, targets: Iterable[Target]) -> None:
        """Set the listed targets; an unlisted one is kept while attempts run on it."""
        listed = {target.target: target for target in targets}
        for target_id, target in listed.items():
            slots = self._targets.get(target_id)
            if slots is None:
                self._targets[target_id] = TargetSlots(target)
            else:
                slots.target = target
                slots.is_listed = True
        for target_id in [key for key in self._targets if key not in listed]:
            self._targets[target_id].is_listed = False
            self._drop_if_unused(self._targets[target_id])
        self._live = [slots for slots in self._targets.values() if slots.accepts_new]
        self._capacity_at_ms = float("-inf")

    def release(self, slots: TargetSlots) -> None:
        """Free the slot of an attempt that says nothing about the target's limit."""
        slots.released()
        self._drop_if_unused(slots)

    def succeed(self, slots: TargetSlots, latency_ms: float, has_queued: bool) -> None:
        """Free the slot of an answered request and update the target's limit."""
        slots.succeeded(latency_ms, has_queued)
        self._drop_if_unused(slots)

    def shed(self, slots: TargetSlots, now_ms: float) -> None:
        """Free the slot of a shed request and lower the target's limit."""
        slots.shed(now_ms, self.hold_ms or _DEFAULT_HOLD_MS)
        self._drop_if_unused(slots)

    def record_hold(self, hold_ms: float) -> None:
        """Record for how long an attempt held its slot."""
        self._holds.add(hold_ms)

    @property
    def hold_ms(self) -> float | None:
        """Return the mean time for which a request holds a slot, None if unknown."""
        return self._holds.mean_ms

    @property
    def accepts_new(self) -> bool:
        """Return True if any target is listed and not leaving."""
        return bool(self._live)

    def with_room(self, now_ms: float) -> list[Candidate]:
        """Return the targets with a free slot and their weights."""
        return [
            (slots, self._weights.weight(slots.target.target, now_ms))
            for slots in self._live
            if slots.has_room(now_ms)
        ]

    def place(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
        queued_count: int,
        now_ms: float,
    ) -> TargetSlots | None:
        """Return the target for the next attempt of a request, or None.

        ``queued_count`` is the number of queued requests, including this one.
        """
        if pending.arrival.idempotent and pending.attempts == 0:
            trial = choose_trial(
                candidates, lambda target: self._weights.needs_trial(target, now_ms)
            )
            if trial is not None:
                return trial
        chosen = choose(candidates, pending.tried, self._domain)
        if chosen is not None and self._should_wait(
            chosen, pending, queued_count, now_ms
        ):
            return None
        return chosen

    def _should_wait(
        self,
        chosen: TargetSlots,
        pending: PendingRequest,
        queued_count: int,
        now_ms: float,
    ) -> bool:
        """Return True if a request should wait for a better target than this.

        If only bad targets that the floor keeps in service have free slots, work
        would be lost on them although a good slot is about to become free. While no
        more requests are queued than there are good slots, one becomes free within
        the holding time of a request; beyond that the low-weight targets are used.
        """
        if self._weight(chosen, now_ms) > _LOW_WEIGHT:
            return False
        idle_ms = now_ms - chosen.last_dispatch_ms
        may_test = pending.arrival.idempotent and not pending.attempts
        if may_test and not chosen.running and idle_ms >= _LOW_WEIGHT_INTERVAL_MS:
            return False
        good = [
            slots for slots in self._live if self._weight(slots, now_ms) > _LOW_WEIGHT
        ]
        if all(slots.target.target in pending.tried for slots in good):
            return False
        return queued_count <= sum(slots.limit for slots in good)

    def has_untried(self, tried: set[TargetId], now_ms: float) -> bool:
        """Return True if a target in service, free or not, has not been tried."""
        return any(
            slots.target.target not in tried and self._is_in_service(slots, now_ms)
            for slots in self._live
        )

    def capacity(self, now_ms: float) -> int:
        """Return how many requests the targets in service run concurrently.

        Cached per ``now_ms``, since several estimates of one event need it.
        """
        if now_ms != self._capacity_at_ms:
            in_service = [
                slots for slots in self._live if self._is_in_service(slots, now_ms)
            ]
            self._capacity = sum(slots.limit for slots in in_service)
            self._capacity_at_ms = now_ms
        return self._capacity

    def drain_per_ms(self, now_ms: float) -> float | None:
        """Return how fast the queue drains with all slots busy, None if unknown.

        By Little's law: the concurrency divided by the holding time of a slot.
        """
        if self.hold_ms is None:
            return None
        return self.capacity(now_ms) / max(self.hold_ms, 1e-3)

    def status(self, now_ms: float) -> tuple[TargetStatus, ...]:
        """Return the status of all targets, shown to operators."""
        return tuple(
            TargetStatus(
                target=target_id,
                running=slots.running,
                limit=slots.limit,
                weight=self._weights.weight(target_id, now_ms),
                leaving=not slots.accepts_new,
            )
            for target_id, slots in self._targets.items()
        )

    def _is_in_service(self, slots: TargetSlots, now_ms: float) -> bool:
        return self._weight(slots, now_ms) > PROBATION_WEIGHT

    def _weight(self, slots: TargetSlots, now_ms: float) -> float:
        return self._weights.weight(slots.target.target, now_ms)

    def _drop_if_unused(self, slots: TargetSlots) -> None:
        if not slots.is_listed and slots.running == 0:
            self._targets.pop(slots.target.target, None)
