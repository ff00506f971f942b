"""Tests of the outcome of an attempt whose connection the target breaks."""

import pytest
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.gateway.target_client import OutgoingRequest, TargetClient
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.dialect import dialect
from crocusspindle_standins.on_platform.target import PlatformTarget, TargetFault


@pytest.fixture
async def target():
    started = PlatformTarget("t0", "books", "a")
    await started.start("127.0.0.1")
    yield started
    await started.stop()


@pytest.fixture
async def client():
    started = TargetClient(dialect())
    await started.start()
    yield started
    await started.stop()


@pytest.mark.parametrize(
    ("path", "fault", "outcome"),
    [
        ("/pages/oak", TargetFault.NONE, AttemptOutcome.ANSWERED),
        ("/pages/oak", TargetFault.RESETS, AttemptOutcome.BROKEN),
        ("/pages/crashes", TargetFault.NONE, AttemptOutcome.CRASHED),
    ],
)
async def test_an_exited_process_is_distinguished_from_broken_connections(
    target, client, path, fault, outcome
):
    """Guards against crashes that are mistaken for the resets of a gray target."""
    target.fault = fault
    listed = ListedTarget(
        TargetIdentity(target.identity),
        ServiceId(target.service),
        target.address,
        DomainId(target.zone),
        target.slots,
        Readiness.READY,
    )
    headers = CIMultiDict({"X-Request-Id": "r1"})
    outgoing = OutgoingRequest("r1", "GET", path, headers, None)
    result = await client.send(listed, outgoing, now_ms() + 2_000.0)
    assert result.outcome is outcome
