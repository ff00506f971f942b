"""Keep enough of a service's targets in use while its requests are not served.

Made for a service many of whose targets were ejected within seconds. Some of them are
healthy again, or were never gray, and the rest would carry all the work: callers would
be refused while healthy targets idle. The floor is the share of the ready targets that
suspicion must not eject, and of the healthy ones that must get work.
"""

import math
from collections import deque
from collections.abc import Collection
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import Readiness
from crocusspindle.core.target_tracker import (
    HEALTHY_AFTER_MS,
    SUSPICIOUS_AGE_NATS,
    EjectionState,
    TargetTracker,
)

BUSY_SLOT_SHARE: Final = 0.8
UNSERVED_SHARE: Final = 0.05
"""A service must keep its floor once a tenth of its requests go unserved. This is half
of that, as some requests are refused before they reach the placer."""

MIN_OUTCOMES: Final = 10
WINDOW_MS: Final = 2_000.0
"""Longest time for which a service may leave a healthy target without work."""

DUE_FRACTION: Final = 0.6
"""Fraction of the window after which a target is due: the rest is for a request to
arrive."""

URGENT_FRACTION: Final = 0.75
"""Fraction of the window after which no time is left to wait for a request of the
target's own domain."""

FLOOR_MARGIN: Final = 0.15
"""How far above its floor a service keeps the share of its targets in use: some of
those that seem healthy are not."""

RELAPSED_FRACTION: Final = 0.5
"""Fraction of its ejection after which a target that has relapsed counts as healthy
again: earlier, most floor requests would go to targets that stay faulty."""

LONG_HEALTHY_MS: Final = 6_000.0
"""A target without a failure for this long counts as reliably healthy. A failure in the
same time after a passed trial counts as a relapse."""

BUSY_OUTCOMES: Final = 1.5
"""Outcomes per target and window from which a service keeps its floor even while its
requests are served, so that no targets are unused when a fault begins."""


DUE_CHECK_MS: Final = 20.0
"""A hundredth of the window: a target that becomes due may wait this much longer."""


class FloorWatch:
    """Count unserved requests, and end ejections early while there are many."""

    def __init__(self, floor_share: float) -> None:
        self._floor_share = floor_share
        self._outcomes: deque[tuple[float, bool]] = deque()
        self.floor_at_risk = False
        self._slots_short = False
        self._due: list[TargetTracker] = []
        self._due_checked_ms = -math.inf

    def record_outcome(self, outcome: AttemptOutcome, now_ms: float) -> None:
        """Record the outcome of one attempt."""
        unserved = outcome not in (AttemptOutcome.ANSWERED, AttemptOutcome.ABANDONED)
        self._outcomes.append((now_ms, unserved))
        while self._outcomes[0][0] < now_ms - WINDOW_MS:
            self._outcomes.popleft()

    def may_eject(self, trackers: Collection[TargetTracker], now_ms: float) -> bool:
        """Return True if suspicion may eject one more target.

        Beyond the share that the floor leaves, a target may be ejected if most others
        show no failure: then no common cause makes healthy targets fail. Of the ejected
        ones, those that failed a moment ago are not healthy and take nothing from the
        floor. Counted there, a few targets that fail all day would keep the next one in
        use however often it fails, and its fast errors leave its slots free for the
        whole service.

        While slots are short, targets on trial count as ejected: they run few
        requests at a time, and a service with most targets on trial would refuse its
        callers while slots idle. With slots to spare, a suspect target fails requests,
        and its ejection fails none.
        """
        ready, ejected = _ready_and_ejected(trackers)
        if self._slots_short:
            ejected = [
                tracker
                for tracker in ready
                if tracker.ejection_state is not EjectionState.HEALTHY
            ]
        max_ejected = self._max_ejected(ready)
        if len(ejected) + 1 <= max_ejected:
            return True
        if self._slots_short:
            return False
        possibly_healthy = sum(
            now_ms - tracker.last_failed_ms >= HEALTHY_AFTER_MS for tracker in ejected
        )
        without_failure = sum(
            tracker.ejection_state is EjectionState.HEALTHY and not tracker.failure_nats
            for tracker in ready
        )
        return possibly_healthy + 1 <= max_ejected and 2 * without_failure > len(ready)

    def _max_ejected(self, ready: list[TargetTracker]) -> int:
        return max(1, math.floor(len(ready) * (1.0 - self._floor_share)))

    def end_ejections_early(
        self, trackers: Collection[TargetTracker], queued: int, now_ms: float
    ) -> None:
        """Begin trials of targets that may be healthy again if the rest are too few.

        The oldest failures go first. Before the rest are nearly full or requests go
        unserved, an early trial only fails requests.
        """
        ready, ejected = _ready_and_ejected(trackers)
        self._slots_short = _are_slots_short(ready, queued)
        self.floor_at_risk = self._slots_short or self._are_many_unserved(ready, now_ms)
        if not self.floor_at_risk:
            return
        excess = len(ejected) - math.floor(len(ready) * (1.0 - self._floor_share))
        ejected.sort(key=lambda tracker: tracker.last_failed_ms)
        for tracker in ejected[: max(0, excess)]:
            if now_ms - tracker.last_failed_ms >= HEALTHY_AFTER_MS:
                tracker.begin_trial(now_ms)

    def _are_many_unserved(self, ready: list[TargetTracker], now_ms: float) -> bool:
        while self._outcomes and self._outcomes[0][0] < now_ms - WINDOW_MS:
            self._outcomes.popleft()
        lost = sum(unserved for _, unserved in self._outcomes)
        lost += _count_hung(ready, now_ms)
        return lost > UNSERVED_SHARE * max(MIN_OUTCOMES, len(self._outcomes))

    def invalidate_due(self) -> None:
        """Search for due targets again at the next request: the list has changed."""
        self._due_checked_ms = -math.inf

    def due_targets(
        self, trackers: Collection[TargetTracker], now_ms: float
    ) -> list[TargetTracker]:
        """Return the targets of which one should get the next request, if any.

        All are checked every `DUE_CHECK_MS`; in between only those found then.
        """
        if now_ms - self._due_checked_ms >= DUE_CHECK_MS:
            self._due_checked_ms = now_ms
            self._due = self._find_due(trackers, now_ms)
            return self._due
        return [
            tracker
            for tracker in self._due
            if self.is_due(tracker, now_ms) and _seems_healthy(tracker, now_ms)
        ]

    def _find_due(
        self, trackers: Collection[TargetTracker], now_ms: float
    ) -> list[TargetTracker]:
        """Return the targets that are due for work now.

        Made for a service that loses the work of many targets while others are healthy,
        but in another domain, slow, without a recent success, or ejected and healthy
        again. Each request by itself is placed better elsewhere; together they leave
        these targets without work, and the service with fewer targets in use than its
        floor.
        """
        if not self.floor_at_risk and len(self._outcomes) < BUSY_OUTCOMES * len(
            trackers
        ):
            # With so little work, every request would go to the next due target and
            # none to the one that suits it best.
            return []
        if not any(self.is_due(tracker, now_ms) for tracker in trackers):
            return []
        healthy = [tracker for tracker in trackers if _seems_healthy(tracker, now_ms)]
        due = [tracker for tracker in healthy if self.is_due(tracker, now_ms)]
        long_healthy = [tracker for tracker in due if _is_long_healthy(tracker, now_ms)]
        if self.floor_at_risk and long_healthy:
            # Work is safest there, if slower or in another domain, and few may be left.
            return long_healthy
        used_fraction = 1.0 - len(due) / max(1, len(healthy))
        margin = FLOOR_MARGIN if self.floor_at_risk else 0.0
        return due if used_fraction < self._floor_share + margin else []

    @staticmethod
    def is_urgent(tracker: TargetTracker, now_ms: float) -> bool:
        """Return True if a target must get work from any domain's next request."""
        return now_ms - tracker.last_used_ms >= WINDOW_MS * URGENT_FRACTION

    @staticmethod
    def is_due(tracker: TargetTracker, now_ms: float) -> bool:
        """Return True if a target is due for a request."""
        return now_ms - tracker.last_used_ms >= WINDOW_MS * DUE_FRACTION


def _seems_healthy(tracker: TargetTracker, now_ms: float) -> bool:
    if tracker.listed.readiness is not Readiness.READY:
        return False
    healthy_after_ms = HEALTHY_AFTER_MS
    if tracker.ejection_state is EjectionState.EJECTED:
        # A target that has relapsed is less likely to be healthy.
        healthy_after_ms = max(
            healthy_after_ms, tracker.ejection_ms * RELAPSED_FRACTION
        )
    return now_ms - _failed_ms(tracker, now_ms) >= healthy_after_ms


def _is_long_healthy(tracker: TargetTracker, now_ms: float) -> bool:
    healthy = tracker.ejection_state is EjectionState.HEALTHY
    return healthy and now_ms - _failed_ms(tracker, now_ms) >= LONG_HEALTHY_MS


def _failed_ms(tracker: TargetTracker, now_ms: float) -> float:
    # A hung request was lost when it was sent. A target that hung briefly is healthy
    # again long before that request's deadline.
    return max(tracker.last_failed_ms, _newest_hung_ms(tracker, now_ms))


def _newest_hung_ms(tracker: TargetTracker, now_ms: float) -> float:
    begins_ms = (
        grant.began_ms
        for grant in tracker.grants.values()
        if grant.age_nats(now_ms - grant.began_ms) >= SUSPICIOUS_AGE_NATS
    )
    return max(begins_ms, default=-math.inf)


def _are_slots_short(ready: list[TargetTracker], queued: int) -> bool:
    # A target with a rate limit has idle slots that accept nothing.
    healthy = [
        tracker
        for tracker in ready
        if tracker.ejection_state is EjectionState.HEALTHY
        and not tracker.limit.is_active
    ]
    slots = sum(tracker.capacity for tracker in healthy)
    busy = sum(len(tracker.grants) for tracker in healthy)
    return queued > 0 or busy >= BUSY_SLOT_SHARE * slots


def _ready_and_ejected(
    trackers: Collection[TargetTracker],
) -> tuple[list[TargetTracker], list[TargetTracker]]:
    ready = [
        tracker for tracker in trackers if tracker.listed.readiness is Readiness.READY
    ]
    return ready, [
        tracker for tracker in ready if tracker.ejection_state is EjectionState.EJECTED
    ]


def _count_hung(trackers: Collection[TargetTracker], now_ms: float) -> int:
    # Hung work is lost long before its caller's deadline passes and reports it.
    return sum(
        grant.age_nats(now_ms - grant.began_ms) >= SUSPICIOUS_AGE_NATS
        for tracker in trackers
        for grant in tracker.grants.values()
    )
