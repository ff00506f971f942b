"""Place steady load before targets, a part of which say how much they take."""

import heapq
import random

import pytest

from crocusspindle.core.asks import Ask, Placed, Refused, Waiting
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.repeat_budget import RepeatBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_gauge import Ending
from crocusspindle.ids import DomainId, HostId, ServiceId

SENDER = HostId("n0")
WORK_MS = 100.0
AIM_MS = 800.0
DEADLINE_MS = 2_000.0


class Load:
    """Send requests at random to a service in which some targets name a limit."""

    def __init__(self, targets, limits_per_s, requests_per_s, urgent_part=0.5):
        self.placer = ServicePlacer(0.7, RepeatBudget(0.2, 58.0, 10_000.0))
        self.limits = {
            TargetIdentity(f"t{n}"): limit for n, limit in enumerate(limits_per_s)
        }
        listed = [
            ListedTarget(
                TargetIdentity(f"t{n}"),
                ServiceId("books"),
                f"10.0.0.{n}:80",
                DomainId("a"),
                2,
                Readiness.READY,
            )
            for n in range(targets)
        ]
        self.placer.set_targets(listed, 0.0)
        self.per_ms = requests_per_s / 1e3
        self.urgent_part = urgent_part
        self.draw = random.Random(1)
        self.running, self.waiting, self.number = [], [], 0
        self.sent = {target.identity: [] for target in listed}
        self.outcomes = {0: [], 1: []}

    def play(self, for_ms):
        """Play a time in steps of a millisecond."""
        for at_ms in range(for_ms):
            while self.running and self.running[0][0] <= at_ms:
                self._end(*heapq.heappop(self.running))
            if self.draw.random() < self.per_ms:
                self._ask(at_ms)
            self.placer.settle(float(at_ms))
            self._look_at_waiting(at_ms)

    def _ask(self, at_ms):
        priority = int(self.draw.random() >= self.urgent_part)
        ask = Ask(
            SENDER,
            DomainId("a"),
            "pages",
            True,
            priority,
            AIM_MS,
            at_ms + DEADLINE_MS,
        )
        self._take(self.placer.ask(ask, float(at_ms)), priority, at_ms, at_ms)

    def _take(self, answer, priority, asked_ms, at_ms):
        if isinstance(answer, Waiting):
            self.waiting.append((answer, priority, asked_ms))
        elif isinstance(answer, Refused):
            self.outcomes[priority].append((None, at_ms - asked_ms))
        else:
            self.number += 1
            self.sent[answer.target.identity].append(at_ms)
            end = (at_ms + WORK_MS, self.number, answer, priority, asked_ms)
            heapq.heappush(self.running, end)

    def _look_at_waiting(self, at_ms):
        settled = [entry for entry in self.waiting if entry[0].settled is not None]
        self.waiting = [entry for entry in self.waiting if entry[0].settled is None]
        for waiting, priority, asked_ms in settled:
            self._take(waiting.settled, priority, asked_ms, at_ms)

    def _end(self, at_ms, _, placed, priority, asked_ms):
        target = placed.target.identity
        limit = self.limits.get(target)
        self.placer.take_limit(LimitReport(target, limit, at_ms - WORK_MS), at_ms)
        self.placer.ended(target, placed.grant, Ending.ANSWERED, SENDER, WORK_MS, at_ms)
        self.outcomes[priority].append((target, at_ms - asked_ms))

    def served(self, priority):
        """Return the part of a rank's requests that came in time."""
        found = self.outcomes[priority]
        timely = [1 for target, ms in found if target is not None and ms <= AIM_MS]
        return len(timely) / len(found)


def most_in_window(times, from_ms, window_ms=4_000):
    late = [at for at in times if at >= from_ms]
    return max(
        (sum(at <= other < at + window_ms for other in late) for at in late), default=0
    )


@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 3.0])
def test_steady_load_passes_by_targets_that_named_a_limit(limit_per_s):
    """Guards against load that goes on where targets have asked for less."""
    load = Load(6, [limit_per_s] * 3, requests_per_s=40.0)
    load.play(20_000)
    for target in load.limits:
        most = most_in_window(load.sent[target], from_ms=2_000)
        assert most <= 1.5 * 4.0 * limit_per_s + 5.0
        assert len(load.sent[target]) >= 0.5 * 18.0 * limit_per_s
    assert load.served(0) >= 0.99 and load.served(1) >= 0.99


def test_where_all_targets_are_limited_urgent_requests_go_first():
    """Guards against urgent requests that wait behind others for a scarce rate."""
    load = Load(6, [4.0] * 6, requests_per_s=40.0, urgent_part=0.3)
    load.play(20_000)
    assert load.served(0) >= 0.9
    assert 0.2 <= load.served(1) <= 0.7
    for target in load.limits:
        assert most_in_window(load.sent[target], 2_000) <= 1.5 * 4.0 * 4.0 + 5.0


def test_callers_beyond_the_rate_hear_so_and_do_not_wait_for_nothing():
    """Guards against requests that wait for a slot which no rate will open."""
    load = Load(4, [0.5] * 4, requests_per_s=40.0)
    load.play(20_000)
    refused = [
        waited
        for found in load.outcomes.values()
        for target, waited in found
        if target is None
    ]
    late = [waited for waited in refused if waited > DEADLINE_MS / 2]
    assert len(late) <= 0.1 * len(refused)


def test_a_placer_that_hears_of_others_sendings_keeps_the_sum():
    """Guards against two placers at once that each allow the whole limit."""
    placer = Load(1, [], 0.0).placer
    target = TargetIdentity("t0")
    placer.take_limit(LimitReport(target, 1.0, 0.0), 0.0)
    for at_ms in (1_000.0, 2_000.0, 3_000.0):
        placer.count_paced(LimitReport(target, 1.0, 0.0), at_ms)
        ask = Ask(SENDER, DomainId("a"), "pages", True, 0, AIM_MS, at_ms + 2_000.0)
        assert not isinstance(placer.ask(ask, at_ms), Placed)
