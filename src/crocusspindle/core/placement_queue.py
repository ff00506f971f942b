"""Decide who waits for a slot of a service, who starts next, and who is told to go.

The load is a service that is full for some seconds. Those who can be served in time go
first, by rank and then by age. Those who would be late take slots that would idle: a
late answer is worth more to its caller than none. Who would not be served before its
deadline is told at once, with when to come back.
"""

import math
from collections.abc import Iterator
from typing import Final

from crocusspindle.core.asks import Ask, Refused, Waiting
from crocusspindle.core.flow import Flow
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.wait_line import WaitLine

LEAST_WAIT_MS: Final = 40.0
RETRY_MIN_MS: Final = 100.0
SURE_PART: Final = 0.75
"""Who waits is given up when three in four such requests would not end in time."""


def refused_as_full(wait_ms: float) -> Refused:
    """Return the refusal of a service that expects room after a time."""
    return Refused("full", max(RETRY_MIN_MS, wait_ms))


class PlacementQueue:
    """Hold the asks that wait for one service."""

    def __init__(self, policies: Policies, now_ms: float) -> None:
        self._policies = policies
        self._line = WaitLine()
        self._flow = Flow(now_ms)

    def __len__(self) -> int:
        """Return how many asks wait."""
        return len(self._line)

    @property
    def work_ms(self) -> float:
        """Return the mean time that an answer takes, endless before the first one."""
        return math.inf if math.isnan(self._flow.work_ms) else self._flow.work_ms

    def arrived(self, now_ms: float) -> None:
        """Count a request that is to be sent for the first time."""
        self._flow.arrived(now_ms)

    def answered(self, latency_ms: float) -> None:
        """Take the time of one answer into account."""
        self._flow.answered(latency_ms)

    def join(
        self, ask: Ask, sample: LatencySample, open_slots: float, now_ms: float
    ) -> Waiting | Refused:
        """Let an ask wait if it has hope, or refuse it."""
        ahead = self._line.ahead_of(ask.priority, now_ms)
        wait_ms = (ahead + 1) * sample.usual_ms / open_slots
        prompt_ms = _prompt_limit_ms(ask, sample, now_ms)
        limit_ms = max(prompt_ms, self._late_limit_ms(ask, sample, now_ms))
        if wait_ms > prompt_ms:
            wait_ms = self._late_wait_ms(open_slots, now_ms)
        if wait_ms > limit_ms or not self._policies.has(Policy.QUEUEING):
            return refused_as_full(min(wait_ms, limit_ms))
        waiting = Waiting(ask, now_ms, now_ms + prompt_ms, now_ms + limit_ms)
        self._line.add(waiting)
        return waiting

    def _late_limit_ms(self, ask: Ask, sample: LatencySample, now_ms: float) -> float:
        if not self._policies.has(Policy.LATE_QUEUEING):
            return 0.0
        work_ms = sample.quantile_ms(SURE_PART) if sample.known else sample.usual_ms
        return ask.deadline_ms - now_ms - work_ms

    def _late_wait_ms(self, open_slots: float, now_ms: float) -> float:
        # Late work gets only what new requests leave. While these alone fill the
        # service it would wait for nothing.
        spare_per_ms = self._flow.spare_per_ms(open_slots, now_ms)
        return (len(self._line) + 1) / spare_per_ms if spare_per_ms > 0 else math.inf

    def in_order(self, now_ms: float) -> Iterator[Waiting]:
        """Yield all that wait, in the order in which slots are theirs."""
        return self._line.in_order(now_ms)

    def may_start(self, waiting: Waiting, open_slots: float, now_ms: float) -> bool:
        """Return True if an ask may take a slot that is free.

        A late one that takes the last slot of a full service makes the next late too.
        """
        if now_ms < waiting.prompt_until_ms:
            return True
        return self._flow.spare_per_ms(open_slots, now_ms) > 0.0

    def has_hope(self, waiting: Waiting, open_slots: float, now_ms: float) -> bool:
        """Return True if an ask may still be served before its deadline.

        While new requests alone fill the service, who is late waits for their burst to
        end. One that has lasted so long will hardly end in the time that is left, and
        whoever waits is told while there is still something else to do.
        """
        if now_ms >= waiting.give_up_ms:
            return False
        aimed_ms = waiting.asked_ms + waiting.ask.aim_ms
        patient_ms = (aimed_ms + waiting.give_up_ms) / 2
        if now_ms < patient_ms:
            return True
        return self._flow.spare_per_ms(open_slots, now_ms) > 0.0

    def drop_settled(self) -> None:
        """Forget those that have their answer."""
        self._line.drop_settled()

    def remove(self, waiting: Waiting) -> None:
        """Forget an ask whose caller has left."""
        self._line.remove(waiting)


def _prompt_limit_ms(ask: Ask, sample: LatencySample, now_ms: float) -> float:
    # Half of what the aim leaves beside the work itself: the other half is for work
    # that lasts longer than usual.
    left_ms = ask.deadline_ms - now_ms
    spare_ms = min(ask.aim_ms, left_ms) - sample.usual_ms
    return max(LEAST_WAIT_MS, spare_ms / 2)
