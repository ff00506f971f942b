"""Tests of long request bodies that run at one target at once."""

from dataclasses import replace

import pytest

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.concurrency_limit import MIN_PROBE_INTERVAL
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_tracker import MAX_BODY_BYTES
from crocusspindle.ids import DomainId, HostId, ServiceId

SENDER = HostId("n0")
TARGET = TargetIdentity("t0")
MB = 1 << 20
REQUEST = PlacementRequest(SENDER, DomainId("a"), "up", False, 0, 800.0, 2_000.0)


@pytest.fixture
def placer():
    made = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0))
    listed = ListedTarget(
        TARGET, ServiceId("books"), "10.0.0.1:80", DomainId("a"), 6, Readiness.READY
    )
    made.set_targets([listed], 0.0)
    return made


def ask(placer, body_bytes):
    """Request the target."""
    return placer.request_placement(replace(REQUEST, body_bytes=body_bytes), 0.0)


@pytest.mark.parametrize(
    ("running", "length", "is_granted"),
    [
        ([], MAX_BODY_BYTES + 1, True),
        ([0, 0], MAX_BODY_BYTES + 1, True),
        ([1], MAX_BODY_BYTES, False),
        ([40 * MB], 24 * MB, True),
        ([40 * MB], 25 * MB, False),
        ([30 * MB, 30 * MB], 5 * MB, False),
        ([MAX_BODY_BYTES + 1], 0, True),
        ([MAX_BODY_BYTES + 1], 1, False),
    ],
)
def test_a_target_gets_no_more_bodies_than_it_has_memory_for(
    placer, running, length, is_granted
):
    """Guards against long uploads that fill a target's memory while slots are free."""
    for body_bytes in running:
        assert isinstance(ask(placer, body_bytes), PlacementGranted)
    assert isinstance(ask(placer, length), PlacementGranted) is is_granted


def test_a_long_body_starts_once_another_one_ends(placer):
    """Guards against an upload that waits though its target has memory again."""
    first = ask(placer, 40 * MB)
    waiting = ask(placer, 40 * MB)
    assert isinstance(waiting, QueuedRequest)
    assert isinstance(ask(placer, 0), QueuedRequest | PlacementGranted)
    placer.ended(TARGET, first.grant, AttemptOutcome.ANSWERED, SENDER, 10.0, 10.0)
    assert isinstance(waiting.settled, PlacementGranted)


def test_a_probe_above_the_learned_limit_needs_memory_as_well(placer):
    """Guards against a probe whose body exceeds what a target may hold."""
    placer.receive_limits([(TARGET, 5)], 0.0)
    probe = replace(REQUEST, idempotent=True, body_bytes=40 * MB)
    for _ in range(6 * MIN_PROBE_INTERVAL):
        granted = ask(placer, 0)
        placer.ended(TARGET, granted.grant, AttemptOutcome.ANSWERED, SENDER, 10.0, 0.0)
    for _ in range(5):
        assert isinstance(ask(placer, 10 * MB), PlacementGranted)
    assert not isinstance(placer.request_placement(probe, 0.0), PlacementGranted)
    probe = replace(probe, body_bytes=0)
    assert isinstance(placer.request_placement(probe, 0.0), PlacementGranted)
