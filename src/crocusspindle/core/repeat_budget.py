"""Bound the repeated sendings to one service over a sliding window."""

import math
from collections import deque
from collections.abc import Iterable
from typing import Final

from crocusspindle.core.repeat_record import RepeatRecord, Slot

EXTRA_PARTS: Final = (0.7, 0.12, 0.05)
"""Parts of the fixed allowance that placers use, by their rank for the service. Entries
that get no word from the first ask the next: all of them must fit into the whole."""

FIRST_EXTRA_PART: Final = 0.1
"""Part that a placer uses while it does not know what its predecessors used, and both
must fit into the whole."""

RATIO_PART: Final = 0.9
"""Part of the ratio that is used; the rest covers repeats whose request was counted
at the edge of another window, and all that a placer uses of the ratio while it does
not know what its predecessors used."""

SLOTS: Final = 20
"""Parts of the window by which placers tell one another what they counted."""

HEARD_MS: Final = 1_500.0
"""A placer that takes over and heard its predecessor this recently knows its counts."""

TELL_MS: Final = 250.0
UNTOLD_PART: Final = 0.02
"""Part of the bound that a placer uses before it tells the others: what a placer that
is lost has not told is used once more by its successor."""


class RepeatBudget:
    """Count requests and repeats of one service, with those of its other placers.

    The load is a service most of whose targets refuse or fail: each request would be
    sent several times, and the service gets several times its load just when it can
    carry least. Above the bound a repeat is refused and the caller told so.

    The duty moves to another host when one comes, leaves or is silent. A placer that
    knew only its own counts would allow a share of its own requests beside what its
    predecessor had used of the same window.
    """

    def __init__(self, ratio: float, extra: float, window_ms: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._since_ms = math.nan
        self._heard_ms = -math.inf
        self._window_ms = window_ms
        self._rank = 0
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self._number = 0
        self._told_ms = -math.inf
        self._untold = 0
        self._others: dict[str, RepeatRecord] = {}

    def knows_since(self, since_ms: float) -> None:
        """Note that all that was placed from a time on was placed or told here."""
        if math.isnan(self._since_ms) or since_ms < self._since_ms:
            self._since_ms = since_ms

    def set_rank(self, rank: int, now_ms: float) -> None:
        """Note this placer's rank; who moves up may not know what was used there."""
        if rank < self._rank and now_ms - self._heard_ms > HEARD_MS:
            self._since_ms = now_ms
        self._rank = rank

    def request(self, now_ms: float) -> None:
        """Note a request's first sending."""
        if math.isnan(self._since_ms):
            self._since_ms = now_ms
        self._requests.append(now_ms)

    def repeat(self, now_ms: float) -> bool:
        """Take one repeat; return False if the window allows no more."""
        self._forget(now_ms)
        if self._used(now_ms) + 1 > self._allowed(now_ms):
            return False
        self._repeats.append(now_ms)
        self._untold += 1
        return True

    def is_due_to_tell(self, now_ms: float) -> bool:
        """Return True if the other placers should hear what was counted here."""
        if self._untold and self._untold > UNTOLD_PART * self._allowed(now_ms):
            return True
        return now_ms - self._told_ms >= TELL_MS and bool(self._requests)

    def _used(self, now_ms: float) -> int:
        since_ms = now_ms - self._window_ms
        told = (record.repeats_since(since_ms) for record in self._others.values())
        return len(self._repeats) + sum(told)

    def _allowed(self, now_ms: float) -> float:
        since_ms = now_ms - self._window_ms
        part = EXTRA_PARTS[min(self._rank, len(EXTRA_PARTS) - 1)]
        if not self._since_ms <= since_ms:
            spare = self._ratio * (1.0 - RATIO_PART) * len(self._requests)
            return spare + self._extra * min(part, FIRST_EXTRA_PART)
        told = (record.requests_since(since_ms) for record in self._others.values())
        requests = len(self._requests) + sum(told)
        return self._ratio * RATIO_PART * requests + self._extra * part

    def _forget(self, now_ms: float) -> None:
        since_ms = now_ms - self._window_ms
        for times in (self._requests, self._repeats):
            while times and times[0] <= since_ms:
                times.popleft()
        gone = [
            origin
            for origin, record in self._others.items()
            if record.newest_ms <= since_ms
        ]
        for origin in gone:
            del self._others[origin]

    def give_back(self) -> None:
        """Return the newest repeat, which was not sent for want of a slot."""
        if self._repeats:
            self._repeats.pop()

    def state(self, now_ms: float) -> tuple[int, float]:
        """Return how many repeats were used in the window, and how many it allows."""
        return self._used(now_ms), self._allowed(now_ms)

    def known_ms(self, now_ms: float) -> float:
        """Return for how long all that was placed is known here."""
        if math.isnan(self._since_ms):
            return 0.0
        return min(self._window_ms, now_ms - self._since_ms)

    def records(self, own: str, now_ms: float) -> list[RepeatRecord]:
        """Return what was counted here under a name of its own, and by others."""
        self._forget(now_ms)
        self._told_ms = now_ms
        self._untold = 0
        self._number += 1
        slots = _slots(self._requests, self._repeats, self._window_ms / SLOTS, now_ms)
        mine = [RepeatRecord(own, self._number, slots)] if slots else []
        return mine + list(self._others.values())

    def hear(
        self,
        own: str,
        records: Iterable[RepeatRecord],
        known_ms: float,
        now_ms: float,
    ) -> None:
        """Take over what another placer told, which knew all for a time."""
        for record in records:
            held = self._others.get(record.origin)
            if record.origin != own and (held is None or held.number < record.number):
                self._others[record.origin] = record
        self._heard_ms = now_ms
        if known_ms > 0.0:
            self.knows_since(now_ms - known_ms)


def _slots(
    requests: Iterable[float],
    repeats: Iterable[float],
    length_ms: float,
    now_ms: float,
) -> tuple[Slot, ...]:
    counts: dict[int, list[int]] = {}
    for place, times in enumerate((requests, repeats)):
        for time_ms in times:
            number = int((now_ms - time_ms) / length_ms)
            counts.setdefault(number, [0, 0])[place] += 1
    return tuple(
        # All of a slot counts as of its end: forgotten too late rather than too early.
        Slot(now_ms - number * length_ms, *counts[number])
        for number in sorted(counts)
    )
