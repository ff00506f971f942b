"""Test the retry budget, suspicion by latency, and the choice without a placer."""

import random

import pytest

from crocusspindle.core.fallback_choice import FallbackChoice
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.ids import DomainId, ServiceId

WINDOW_MS = 10_000.0


def allowed_retries(budget: RetryBudget, from_ms: float, to_ms: float) -> int:
    """Try to retry each of 40 requests a second, and return the retries allowed."""
    allowed = 0
    now_ms = from_ms
    while now_ms < to_ms:
        budget.request(now_ms)
        allowed += budget.retry(now_ms)
        now_ms += 25.0
    return allowed


def test_a_placer_and_its_successor_keep_within_the_fleets_bound():
    """A placer is lost while every request is refused once, and its successor goes on.

    The successor does not know the earlier retries. With a whole allowance of its own,
    the service would get half as many retries again during an incident.
    """
    first = RetryBudget(0.2, 58.0, WINDOW_MS)
    allowed_retries(first, 0.0, WINDOW_MS)
    before = allowed_retries(first, WINDOW_MS, WINDOW_MS + 5_000.0)
    successor = RetryBudget(0.2, 58.0, WINDOW_MS)
    after = allowed_retries(successor, WINDOW_MS + 5_000.0, 2 * WINDOW_MS)
    assert before + after <= 0.2 * 400 + 58


def test_a_placer_that_knows_its_window_uses_most_of_the_bound():
    budget = RetryBudget(0.2, 58.0, WINDOW_MS)
    allowed_retries(budget, 0.0, 2 * WINDOW_MS)
    used = allowed_retries(budget, 2 * WINDOW_MS, 3 * WINDOW_MS)
    assert 0.8 * (0.2 * 400 + 58) <= used <= 0.2 * 400 + 58


def test_suspicion_is_one_nat_on_average_for_healthy_latencies():
    rng = random.Random(5)
    sample = LatencySample(200.0)
    for _ in range(200):
        sample.add(rng.lognormvariate(5.0, 0.8))
    suspicions = [
        sample.suspicion_nats(rng.lognormvariate(5.0, 0.8)) for _ in range(2_000)
    ]
    assert sum(suspicions) / len(suspicions) == pytest.approx(1.0, abs=0.15)
    assert sample.suspicion_nats(60_000.0) > 5.0


def test_too_few_samples_raise_no_suspicion():
    """A service has just started; its first long request is no sign of a failure."""
    sample = LatencySample(200.0)
    sample.add(10.0)
    assert sample.suspicion_nats(5_000.0) == 0.0
    assert sample.typical_ms == 200.0


def listed(name: str, readiness: Readiness = Readiness.READY) -> ListedTarget:
    return ListedTarget(
        TargetIdentity(name), ServiceId("s"), "h:1", DomainId("a"), 2, readiness
    )


def test_without_a_placer_failed_and_draining_targets_are_avoided():
    """A node is cut off from all its peers, and serves with its own knowledge."""
    choice = FallbackChoice(random.Random(2))
    targets = [listed("t1"), listed("t2"), listed("t3", Readiness.DRAINING)]
    choice.avoid(TargetIdentity("t1"), 1_000.0)
    assert {choice.choose(targets, 500.0).identity for _ in range(20)} == {"t2"}
    chosen = {choice.choose(targets, 1_000.0).identity for _ in range(20)}
    assert chosen >= {"t1"}


def test_without_a_placer_slots_are_limited_by_the_nodes_own_count():
    choice = FallbackChoice(random.Random(2))
    targets = [listed("t1")]
    for _ in range(2):
        choice.began(choice.choose(targets, 0.0).identity)
    assert choice.choose(targets, 0.0) is None
    choice.ended(TargetIdentity("t1"))
    assert choice.choose(targets, 0.0) is not None
