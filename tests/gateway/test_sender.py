"""See what a sending tells of the target that broke it off."""

import pytest
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.gateway.sender import Outgoing, Sender
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.dialect import dialect
from crocusspindle_standins.on_platform.target import StampedTarget, Trouble


@pytest.fixture
async def target():
    made = StampedTarget("t0", "books", "a")
    await made.start("127.0.0.1")
    yield made
    await made.stop()


@pytest.fixture
async def sender():
    made = Sender(dialect())
    await made.start()
    yield made
    await made.stop()


@pytest.mark.parametrize(
    ("path", "trouble", "ending"),
    [
        ("/pages/oak", Trouble.NONE, AttemptOutcome.ANSWERED),
        ("/pages/oak", Trouble.RESETS, AttemptOutcome.BROKEN),
        ("/pages/crashes", Trouble.NONE, AttemptOutcome.CRASHED),
    ],
)
async def test_a_process_that_ended_is_told_from_one_that_breaks_connections(
    target, sender, path, trouble, ending
):
    """Guards against crashes that look like a gray target's resets."""
    target.trouble = trouble
    listed = ListedTarget(
        TargetIdentity(target.identity),
        ServiceId(target.service),
        target.address,
        DomainId(target.zone),
        target.slots,
        Readiness.READY,
    )
    headers = CIMultiDict({"X-Request-Id": "r1"})
    outgoing = Outgoing("r1", "GET", path, headers, None)
    sent = await sender.send(listed, outgoing, now_ms() + 2_000.0)
    assert sent.ending is ending
