import asyncio

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.decisions import Outcome
from crocusspindle.core.groups import partition_targets
from crocusspindle.core.members import MemberView, ViewMember
from crocusspindle.errors import PeerError
from crocusspindle.ids import ViewNumber
from crocusspindle.services.hand_over import (
    CallerRequest,
    CoordinatorResponse,
    HandOverService,
    HandOverState,
)
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

REFUSED = wire.AnswerFrame(
    refusal=wire.Refusal(outcome="not_run", reason="queue-full", retry_after_ms=5.0)
)
CLAIM = wire.AnswerFrame(claim=wire.Claim())


class FakeLink:
    """Stand in for a coordinator: send frames, then be lost or silent."""

    def __init__(self, *frames, silent=False):
        self.frames = list(frames)
        self.sent = []
        self.silent = silent

    async def send(self, frame):
        self.sent.append(frame.WhichOneof("frame"))

    async def receive(self):
        if self.frames:
            return self.frames.pop(0)
        if self.silent:
            await asyncio.sleep(60)
        raise PeerError("lost")


class FakeControl:
    draining = False

    def __init__(self):
        members = [
            ViewMember(f"n{n}", f"d{n}", "r", f"h:{n}", f"p:{n}", 0) for n in range(3)
        ]
        self.view = MemberView(ViewNumber(1), tuple(members))
        self.own_member = ViewMember("entry", "d0", "r", "h:9", "p:9", 0)
        self.groups = {"desk": partition_targets("desk", ["t:1"])}


class FakePeers:
    def usable(self, member):
        return True


class HandOverWithLinks(HandOverService):
    """Hand requests over to prepared links instead of peers."""

    def __init__(self, links):
        timings = TimingSettings(hand_over_ms=50)
        super().__init__(FakeControl(), FakePeers(), None, timings)
        self.links = list(links)

    async def _open(self, state, coordinator):
        return self.links.pop(0)


def call(idempotent, deadline_ms=400):
    return CallerRequest(
        request="1",
        customer="ward",
        service="desk",
        method="GET" if idempotent else "POST",
        path="/desk/x",
        headers=[],
        weight=1.0,
        deadline_ms=now_ms() + deadline_ms,
        idempotent=idempotent,
        may_hedge=False,
        credential=b"",
    )


CASES = {
    "refused at once": (True, [FakeLink(REFUSED)], Outcome.NOT_RUN),
    "a read's coordinator lost, the next refuses": (
        True,
        [FakeLink(), FakeLink(REFUSED)],
        Outcome.UNKNOWN,
    ),
    "a read's coordinator silent, the next refuses": (
        True,
        [FakeLink(silent=True), FakeLink(REFUSED)],
        Outcome.UNKNOWN,
    ),
    "an order's coordinator lost before its claim": (
        False,
        [FakeLink(), FakeLink(REFUSED)],
        Outcome.NOT_RUN,
    ),
    "an order's coordinator lost after its claim": (
        False,
        [FakeLink(CLAIM)],
        Outcome.UNKNOWN,
    ),
    "an order's coordinator silent after its claim": (
        False,
        [FakeLink(CLAIM, silent=True)],
        Outcome.UNKNOWN,
    ),
}


@pytest.mark.parametrize("name", CASES)
async def test_outcome_of_a_request_whose_coordinator_is_lost(name):
    """A coordinator fails or is silent with a request, and another one refuses it.

    With the outcome "not run" the caller sends it again, although a read may still
    run at a paused coordinator, or an order at one that has its grant.
    """
    idempotent, links, outcome = CASES[name]
    links = [FakeLink(*link.frames, silent=link.silent) for link in links]
    result = await HandOverWithLinks(links).run(HandOverState(call(idempotent)))
    assert not isinstance(result, CoordinatorResponse)
    assert result.outcome is outcome


async def test_no_grant_after_the_dispatch_deadline_of_an_operation():
    """An order is queued so long that its ledger nodes may have cancelled it."""
    link = FakeLink(CLAIM)
    state = HandOverState(call(False), dispatch_by_ms=now_ms() - 1)
    result = await HandOverWithLinks([link]).run(state)
    assert result.outcome is Outcome.NOT_RUN
    assert "grant" not in link.sent
