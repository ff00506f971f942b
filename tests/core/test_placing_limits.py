"""Place steady load on targets some of which report a rate limit."""

import heapq
import random

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import DomainId, HostId, ServiceId

SENDER = HostId("n0")
WORK_MS = 100.0
AIM_MS = 800.0
DEADLINE_MS = 2_000.0


class LoadSimulation:
    """Send requests at random to a service some of whose targets report a limit."""

    def __init__(self, targets, limits_per_s, requests_per_s, urgent_fraction=0.5):
        self.placer = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0))
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
        self.urgent_fraction = urgent_fraction
        self.rng = random.Random(1)
        self.running, self.waiting, self.number = [], [], 0
        self.sent = {target.identity: [] for target in listed}
        self.outcomes = {0: [], 1: []}

    def run(self, for_ms):
        """Run for a time in steps of a millisecond."""
        for at_ms in range(for_ms):
            while self.running and self.running[0][0] <= at_ms:
                self._end_attempt(*heapq.heappop(self.running))
            if self.rng.random() < self.per_ms:
                self._send_request(at_ms)
            self.placer.process_due(float(at_ms))
            self._process_decided(at_ms)

    def _send_request(self, at_ms):
        priority = int(self.rng.random() >= self.urgent_fraction)
        request = PlacementRequest(
            SENDER,
            DomainId("a"),
            "pages",
            True,
            priority,
            AIM_MS,
            at_ms + DEADLINE_MS,
        )
        self._handle_decision(
            self.placer.request_placement(request, float(at_ms)), priority, at_ms, at_ms
        )

    def _handle_decision(self, decision, priority, sent_ms, at_ms):
        if isinstance(decision, QueuedRequest):
            self.waiting.append((decision, priority, sent_ms))
        elif isinstance(decision, PlacementRefused):
            self.outcomes[priority].append((None, at_ms - sent_ms))
        else:
            self.number += 1
            self.sent[decision.target.identity].append(at_ms)
            end = (at_ms + WORK_MS, self.number, decision, priority, sent_ms)
            heapq.heappush(self.running, end)

    def _process_decided(self, at_ms):
        settled = [entry for entry in self.waiting if entry[0].settled is not None]
        self.waiting = [entry for entry in self.waiting if entry[0].settled is None]
        for waiting, priority, sent_ms in settled:
            self._handle_decision(waiting.settled, priority, sent_ms, at_ms)

    def _end_attempt(self, at_ms, _, placed, priority, sent_ms):
        target = placed.target.identity
        limit = self.limits.get(target)
        self.placer.limits.update_reported(
            LimitReport(target, limit, at_ms - WORK_MS), at_ms
        )
        self.placer.ended(
            target, placed.grant, AttemptOutcome.ANSWERED, SENDER, WORK_MS, at_ms
        )
        self.outcomes[priority].append((target, at_ms - sent_ms))

    def on_time_share(self, priority):
        """Return the fraction of a priority's requests that were answered on time."""
        outcomes = self.outcomes[priority]
        on_time = [1 for target, ms in outcomes if target is not None and ms <= AIM_MS]
        return len(on_time) / len(outcomes)


def max_in_window(times, from_ms, window_ms=4_000):
    counted = [at for at in times if at >= from_ms]
    return max(
        (sum(at <= other < at + window_ms for other in counted) for at in counted),
        default=0,
    )


@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 3.0])
def test_steady_load_avoids_targets_that_reported_a_limit(limit_per_s):
    """Guards against load that goes on where targets have reported a lower limit."""
    load = LoadSimulation(6, [limit_per_s] * 3, requests_per_s=40.0)
    load.run(20_000)
    for target in load.limits:
        max_attempts = max_in_window(load.sent[target], from_ms=2_000)
        assert max_attempts <= 1.5 * 4.0 * limit_per_s + 5.0
        assert len(load.sent[target]) >= 0.5 * 18.0 * limit_per_s
    assert load.on_time_share(0) >= 0.99 and load.on_time_share(1) >= 0.99


def test_where_all_targets_are_limited_urgent_requests_go_first():
    """Guards against urgent requests that wait behind others for a scarce rate."""
    load = LoadSimulation(6, [4.0] * 6, requests_per_s=40.0, urgent_fraction=0.3)
    load.run(20_000)
    assert load.on_time_share(0) >= 0.9
    assert 0.2 <= load.on_time_share(1) <= 0.7
    for target in load.limits:
        assert max_in_window(load.sent[target], 2_000) <= 1.5 * 4.0 * 4.0 + 5.0


def test_callers_beyond_the_rate_are_refused_early():
    """Guards against requests that wait for a slot which no rate limit will open."""
    load = LoadSimulation(4, [0.5] * 4, requests_per_s=40.0)
    load.run(20_000)
    refused = [
        waited
        for outcomes in load.outcomes.values()
        for target, waited in outcomes
        if target is None
    ]
    late = [waited for waited in refused if waited > DEADLINE_MS / 2]
    assert len(late) <= 0.1 * len(refused)


def test_a_placer_counts_the_attempts_of_other_placers():
    """Guards against two placers at once that each allow the whole limit."""
    placer = LoadSimulation(1, [], 0.0).placer
    target = TargetIdentity("t0")
    placer.limits.update_reported(LimitReport(target, 1.0, 0.0), 0.0)
    for at_ms in (1_000.0, 2_000.0, 3_000.0):
        placer.limits.count_attempt(LimitReport(target, 1.0, 0.0), at_ms)
        request = PlacementRequest(
            SENDER, DomainId("a"), "pages", True, 0, AIM_MS, at_ms + 2_000.0
        )
        assert not isinstance(
            placer.request_placement(request, at_ms), PlacementGranted
        )


def test_a_placer_without_a_share_of_all_rates_names_a_time_to_return():
    """Guards against callers that are told never to come back.

    Limits last, while another placer is heard again or a new view comes in a moment.
    """
    load = LoadSimulation(3, [4.0] * 3, requests_per_s=4.0)
    load.run(5_000)
    load.placer.limits.set_share(0.0, 5_000.0)
    request = PlacementRequest(
        SENDER, DomainId("a"), "pages", True, 1, AIM_MS, 5_000.0 + DEADLINE_MS
    )
    refusals = [load.placer.request_placement(request, 5_000.0) for _ in range(20)]
    assert all(isinstance(refused, PlacementRefused) for refused in refusals)
    assert max(refused.retry_after_ms for refused in refusals) <= 1_500.0
