"""Keep the targets of a group with their slots and fitness."""

from collections.abc import Iterable
from typing import Final

from crocusspindle.core.decisions import TargetStatus
from crocusspindle.core.latencies import LatencyWindow
from crocusspindle.core.model import Target
from crocusspindle.core.placement import (
    PROBATION_WEIGHT,
    Candidate,
    Fitness,
    choose,
    choose_trial,
)
from crocusspindle.core.requests import PendingRequest
from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import DomainId, TargetId

_UNKNOWN_HOLD_MS: Final = 50.0
"""Holding time assumed before the first answer; only a pause after a shed request
rests on it, and nobody is refused by it."""

_DOUBTFUL_WEIGHT: Final = 0.15
"""Health gives 0.1 to a target that only the floor keeps in service, and to a cold
one at first; a suspect's 0.25 lies above, since suspicion must be tested by work."""

_TEST_EVERY_MS: Final = 1_000.0
"""A doubtful target still gets an idempotent request a second, which the retry budget
bears: without work it could never show that it is well again."""


class Roster:
    """Know which targets have room, and how fast the group drains its queue."""

    def __init__(self, health: Fitness, domain: DomainId | None) -> None:
        self._health = health
        self._domain = domain
        self._targets: dict[TargetId, TargetSlots] = {}
        self._live: list[TargetSlots] = []
        self._holds = LatencyWindow()
        self._capacity = 0
        self._capacity_at_ms = float("-inf")

    def update(self, targets: Iterable[Target]) -> None:
        """Take the listed targets; one that is gone stays while work runs on it."""
        listed = {target.target: target for target in targets}
        for target_id, target in listed.items():
            slots = self._targets.get(target_id)
            if slots is None:
                self._targets[target_id] = TargetSlots(target)
            else:
                slots.target = target
                slots.present = True
        for target_id in [key for key in self._targets if key not in listed]:
            self._targets[target_id].present = False
            self._drop_if_gone(self._targets[target_id])
        self._live = [slots for slots in self._targets.values() if slots.takes_new]
        self._capacity_at_ms = float("-inf")

    def release(self, slots: TargetSlots) -> None:
        """Free a slot that says nothing about the target's limit."""
        slots.released()
        self._drop_if_gone(slots)

    def succeed(self, slots: TargetSlots, latency_ms: float, wanted: bool) -> None:
        """Free the slot of an answered request and learn from it."""
        slots.succeeded(latency_ms, wanted)
        self._drop_if_gone(slots)

    def shed(self, slots: TargetSlots, now_ms: float) -> None:
        """Free the slot of a shed request and learn from it."""
        slots.shed(now_ms, self.hold_ms or _UNKNOWN_HOLD_MS)
        self._drop_if_gone(slots)

    def held(self, hold_ms: float) -> None:
        """Note for how long an attempt held its slot."""
        self._holds.add(hold_ms)

    @property
    def hold_ms(self) -> float | None:
        """Return the mean time that a request holds a slot, None if unknown."""
        return self._holds.mean_ms

    @property
    def takes_new(self) -> bool:
        """Return True if some target is listed and not leaving."""
        return bool(self._live)

    def with_room(self, now_ms: float) -> list[Candidate]:
        """Return the targets that may get new work now, with their weights."""
        return [
            (slots, self._health.weight(slots.target.target, now_ms))
            for slots in self._live
            if slots.has_room(now_ms)
        ]

    def place(
        self,
        pending: PendingRequest,
        candidates: list[Candidate],
        waiting: int,
        now_ms: float,
    ) -> TargetSlots | None:
        """Return the target for the next attempt of a request, or None.

        ``waiting`` counts the queued requests, this one included.
        """
        if pending.arrival.idempotent and pending.attempts == 0:
            trial = choose_trial(
                candidates, lambda target: self._health.wants_trial(target, now_ms)
            )
            if trial is not None:
                return trial
        chosen = choose(candidates, pending.tried, self._domain)
        if chosen is not None and self._better_waits(chosen, pending, waiting, now_ms):
            return None
        return chosen

    def _better_waits(
        self, chosen: TargetSlots, pending: PendingRequest, waiting: int, now_ms: float
    ) -> bool:
        """Return True if a request should wait for a better target than this.

        Load: bad targets that the floor keeps in service, and free slots only
        there. Harm prevented: work lost on them while a good slot is about to be
        free. With no more waiting than the good slots, one is free within the
        holding time of a request; with more, doubtful capacity is used.
        """
        if self._weight(chosen, now_ms) > _DOUBTFUL_WEIGHT:
            return False
        idle_ms = now_ms - chosen.last_dispatch_ms
        may_test = pending.arrival.idempotent and not pending.attempts
        if may_test and not chosen.running and idle_ms >= _TEST_EVERY_MS:
            return False
        good = [
            slots
            for slots in self._live
            if self._weight(slots, now_ms) > _DOUBTFUL_WEIGHT
        ]
        if all(slots.target.target in pending.tried for slots in good):
            return False
        return waiting <= sum(slots.limit for slots in good)

    def has_untried(self, tried: set[TargetId], now_ms: float) -> bool:
        """Return True if a fit target, free or not, has not been tried."""
        return any(
            slots.target.target not in tried and self._is_fit(slots, now_ms)
            for slots in self._live
        )

    def capacity(self, now_ms: float) -> int:
        """Return how many requests the fit targets run at a time.

        Several estimates within one event rest on it, so it is kept for that long.
        """
        if now_ms != self._capacity_at_ms:
            fit = [slots for slots in self._live if self._is_fit(slots, now_ms)]
            self._capacity = sum(slots.limit for slots in fit)
            self._capacity_at_ms = now_ms
        return self._capacity

    def drain_per_ms(self, now_ms: float) -> float | None:
        """Return how fast the queue drains with all slots busy, None if unknown.

        Little's law: requests that run at a time over the time that each holds
        its slot.
        """
        if self.hold_ms is None:
            return None
        return self.capacity(now_ms) / max(self.hold_ms, 1e-3)

    def status(self, now_ms: float) -> tuple[TargetStatus, ...]:
        """Return a snapshot for operators."""
        return tuple(
            TargetStatus(
                target=target_id,
                running=slots.running,
                limit=slots.limit,
                weight=self._health.weight(target_id, now_ms),
                leaving=not slots.takes_new,
            )
            for target_id, slots in self._targets.items()
        )

    def _is_fit(self, slots: TargetSlots, now_ms: float) -> bool:
        return self._weight(slots, now_ms) > PROBATION_WEIGHT

    def _weight(self, slots: TargetSlots, now_ms: float) -> float:
        return self._health.weight(slots.target.target, now_ms)

    def _drop_if_gone(self, slots: TargetSlots) -> None:
        if not slots.present and slots.running == 0:
            self._targets.pop(slots.target.target, None)
