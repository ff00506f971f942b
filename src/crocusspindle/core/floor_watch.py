"""Keep enough of a service's targets in use while its callers go unserved.

The load is a service many of whose targets were ejected within seconds. Some of them
are sound again, or were never gray, and the rest would carry all the work: callers are
refused while sound targets idle.
"""

import math
from collections import deque
from collections.abc import Collection
from typing import Final

from crocusspindle.core.listed_target import Readiness
from crocusspindle.core.target_gauge import (
    OVERDUE_NATS,
    SOUND_AGAIN_MS,
    Ending,
    Standing,
    TargetGauge,
)

PRESSED_SHARE: Final = 0.8
UNSERVED_SHARE: Final = 0.05
"""Half of the tenth from which on a service is owed its floor of targets: others of its
requests are refused before they come here."""

LEAST_ENDINGS: Final = 10
WINDOW_MS: Final = 2_000.0
"""For this long a service may leave a sound target without work."""

UNUSED_PART: Final = 0.6
"""Part of that time after which a target is due: the rest is for a request to come."""

PRESSING_PART: Final = 0.75
"""Part of that time after which there is none left to wait for a near request."""

FLOOR_MARGIN: Final = 0.15
"""How far above its floor a service keeps the share of its targets that get work: some
of those that seem sound are not."""

RELAPSED_PART: Final = 0.5
"""Part of its ejection after which a target that failed at its return counts as sound
again: sooner, and most of the work that is owed would go to targets that stay bad."""

PROPER_MS: Final = 6_000.0
"""A target that has not failed for this long is sound as far as can be told: a failure
after a return counts as a relapse up to the same time."""

BUSY_ENDINGS: Final = 1.5
"""From so many endings a target and window on, a calm service keeps its floor as well:
when trouble begins, no targets have been left out before."""


OWED_MS: Final = 20.0
"""A hundredth of the window: a target that becomes due may wait this much longer."""


class FloorWatch:
    """Follow how many go unserved, and bring ejected targets back while many do."""

    def __init__(self, floor_share: float) -> None:
        self._floor_share = floor_share
        self._unserved: deque[tuple[float, bool]] = deque()
        self.pressed = False
        self._short = False
        self._owed: list[TargetGauge] = []
        self._owed_at_ms = -math.inf

    def ended(self, ending: Ending, now_ms: float) -> None:
        """Note how a sending ended."""
        unserved = ending not in (Ending.ANSWERED, Ending.ABANDONED)
        self._unserved.append((now_ms, unserved))
        while self._unserved[0][0] < now_ms - WINDOW_MS:
            self._unserved.popleft()

    def may_eject(self, gauges: Collection[TargetGauge]) -> bool:
        """Return True if suspicion may take one more target out.

        While slots are short, targets on trial count as out: they take one request at a
        time, and most of a service on trial would refuse its callers with slots that
        idle. With slots to spare a suspect costs requests, and being out costs none.
        """
        ready, out = _ready_and_out(gauges)
        if self._short:
            out = [gauge for gauge in ready if gauge.standing is not Standing.WELL]
        return len(out) + 1 <= self._room(ready)

    def _room(self, ready: list[TargetGauge]) -> int:
        return max(1, math.floor(len(ready) * (1.0 - self._floor_share)))

    def keep(self, gauges: Collection[TargetGauge], queued: int, now_ms: float) -> None:
        """Let targets that may be sound again go on trial if the rest are too few.

        The oldest failures go first. Before the rest are nearly full or callers go
        unserved, an early trial only costs requests.
        """
        ready, out = _ready_and_out(gauges)
        self._short = _is_short(ready, queued)
        self.pressed = self._short or self._is_unserved(ready, now_ms)
        if not self.pressed:
            return
        excess = len(out) - math.floor(len(ready) * (1.0 - self._floor_share))
        out.sort(key=lambda gauge: gauge.last_failed_ms)
        for gauge in out[: max(0, excess)]:
            if now_ms - gauge.last_failed_ms >= SOUND_AGAIN_MS:
                gauge.begin_trial(now_ms)

    def _is_unserved(self, ready: list[TargetGauge], now_ms: float) -> bool:
        while self._unserved and self._unserved[0][0] < now_ms - WINDOW_MS:
            self._unserved.popleft()
        lost = sum(unserved for _, unserved in self._unserved)
        lost += _overdue(ready, now_ms)
        return lost > UNSERVED_SHARE * max(LEAST_ENDINGS, len(self._unserved))

    def forget_owed(self) -> None:
        """Look for owed targets anew at the next request: the list has changed."""
        self._owed_at_ms = -math.inf

    def owed(self, gauges: Collection[TargetGauge], now_ms: float) -> list[TargetGauge]:
        """Return the targets of which one should get the next request, if any.

        All are looked at once in a while; in between only those found then.
        """
        if now_ms - self._owed_at_ms >= OWED_MS:
            self._owed_at_ms = now_ms
            self._owed = self._look_for_owed(gauges, now_ms)
            return self._owed
        return [
            gauge
            for gauge in self._owed
            if self.unused(gauge, now_ms) and _seems_sound(gauge, now_ms)
        ]

    def _look_for_owed(
        self, gauges: Collection[TargetGauge], now_ms: float
    ) -> list[TargetGauge]:
        """Return the targets that are owed work now.

        The load is a service many of whose targets lose their work while others are
        sound, but far, slow or long unproved, or were ejected and are sound again. Each
        request for itself is best off elsewhere; all together leave them without any
        work, and the service with fewer targets than it is owed.
        """
        if not self.pressed and len(self._unserved) < BUSY_ENDINGS * len(gauges):
            # So little work would all go by turns, wherever it is best off.
            return []
        if not any(self.unused(gauge, now_ms) for gauge in gauges):
            return []
        sound = [gauge for gauge in gauges if _seems_sound(gauge, now_ms)]
        unused = [gauge for gauge in sound if self.unused(gauge, now_ms)]
        proper = [gauge for gauge in unused if _is_proper(gauge, now_ms)]
        if self.pressed and proper:
            # Work is safest there, if farther or slower, and few may be left.
            return proper
        used_share = 1.0 - len(unused) / max(1, len(sound))
        margin = FLOOR_MARGIN if self.pressed else 0.0
        return unused if used_share < self._floor_share + margin else []

    @staticmethod
    def is_pressing(gauge: TargetGauge, now_ms: float) -> bool:
        """Return True if a target must get work from wherever it comes next."""
        return now_ms - gauge.last_used_ms >= WINDOW_MS * PRESSING_PART

    @staticmethod
    def unused(gauge: TargetGauge, now_ms: float) -> bool:
        """Return True if a target is due for a request."""
        return now_ms - gauge.last_used_ms >= WINDOW_MS * UNUSED_PART


def _seems_sound(gauge: TargetGauge, now_ms: float) -> bool:
    if gauge.listed.readiness is not Readiness.READY:
        return False
    again_ms = SOUND_AGAIN_MS
    if gauge.standing is Standing.EJECTED:
        # Who failed at its last return as well is less likely to be sound.
        again_ms = max(again_ms, gauge.ejection_ms * RELAPSED_PART)
    return now_ms - _failed_ms(gauge, now_ms) >= again_ms


def _is_proper(gauge: TargetGauge, now_ms: float) -> bool:
    well = gauge.standing is Standing.WELL
    return well and now_ms - _failed_ms(gauge, now_ms) >= PROPER_MS


def _failed_ms(gauge: TargetGauge, now_ms: float) -> float:
    # Work that hangs was lost when it was sent. A target that hung for a moment is
    # sound again long before that work's time is over.
    return max(gauge.last_failed_ms, _newest_overdue_ms(gauge, now_ms))


def _newest_overdue_ms(gauge: TargetGauge, now_ms: float) -> float:
    begins_ms = (
        grant.began_ms
        for grant in gauge.grants.values()
        if grant.age_nats(now_ms - grant.began_ms) >= OVERDUE_NATS
    )
    return max(begins_ms, default=-math.inf)


def _is_short(ready: list[TargetGauge], queued: int) -> bool:
    # A target that names a limit has idle slots which take nothing.
    well = [
        gauge
        for gauge in ready
        if gauge.standing is Standing.WELL and not gauge.limit.holds
    ]
    slots = sum(gauge.listed.slots for gauge in well)
    busy = sum(len(gauge.grants) for gauge in well)
    return queued > 0 or busy >= PRESSED_SHARE * slots


def _ready_and_out(
    gauges: Collection[TargetGauge],
) -> tuple[list[TargetGauge], list[TargetGauge]]:
    ready = [gauge for gauge in gauges if gauge.listed.readiness is Readiness.READY]
    return ready, [gauge for gauge in ready if gauge.standing is Standing.EJECTED]


def _overdue(gauges: Collection[TargetGauge], now_ms: float) -> int:
    # Work that hangs is lost long before its caller's time is over and says so.
    return sum(
        grant.age_nats(now_ms - grant.began_ms) >= OVERDUE_NATS
        for gauge in gauges
        for grant in gauge.grants.values()
    )
