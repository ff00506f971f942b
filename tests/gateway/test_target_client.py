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


def listed_target(target: PlatformTarget) -> ListedTarget:
    return ListedTarget(
        TargetIdentity(target.identity),
        ServiceId(target.service),
        target.address,
        DomainId(target.zone),
        target.slots,
        Readiness.READY,
    )


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
    listed = listed_target(target)
    headers = CIMultiDict({"X-Request-Id": "r1"})
    outgoing = OutgoingRequest("r1", "GET", path, headers, None)
    result = await client.send(listed, outgoing, now_ms() + 2_000.0)
    assert result.outcome is outcome


async def stream():
    yield b"a body"


@pytest.mark.parametrize("body", [None, b"a body", stream()])
async def test_nothing_is_sent_to_a_target_that_left_while_connecting(target, body):
    """Guards against a request that reaches a target too late after its leaving."""
    asked = []

    def may_send(listed: ListedTarget) -> bool:
        asked.append(listed)
        return False

    client = TargetClient(dialect(), may_send=may_send)
    await client.start()
    listed = listed_target(target)
    headers = CIMultiDict({"X-Request-Id": "r1"})
    outgoing = OutgoingRequest("r1", "POST", "/orders/1", headers, body)
    result = await client.send(listed, outgoing, now_ms() + 2_000.0)
    await client.stop()
    assert result.outcome is AttemptOutcome.WITHHELD
    assert not result.outcome.arrived and not result.outcome.may_have_run
    assert asked == [listed]
    assert not target.arrivals


async def test_a_withheld_stream_can_be_sent_to_another_target(target):
    """Guards against a streamed body that is used up though nothing was sent."""
    answers = iter([False, True])
    client = TargetClient(dialect(), may_send=lambda listed: next(answers))
    await client.start()
    listed = listed_target(target)
    headers = CIMultiDict({"X-Request-Id": "r1"})
    outgoing = OutgoingRequest("r1", "POST", "/orders/1", headers, stream())
    first = await client.send(listed, outgoing, now_ms() + 2_000.0)
    second = await client.send(listed, outgoing, now_ms() + 2_000.0)
    await client.stop()
    assert first.outcome is AttemptOutcome.WITHHELD
    assert second.outcome is AttemptOutcome.ANSWERED
    assert second.target_response.body.endswith(b"a body")
