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
    Handling,
    HandOverService,
    HomeAnswer,
)
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

REFUSED = wire.AnswerFrame(
    refusal=wire.Refusal(outcome="not_run", reason="queue-full", retry_after_ms=5.0)
)
CLAIM = wire.AnswerFrame(claim=wire.Claim())


class Link:
    """Stand for a home: play frames, then be lost or silent."""

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


class Control:
    draining = False

    def __init__(self):
        members = [
            ViewMember(f"n{n}", f"d{n}", "r", f"h:{n}", f"p:{n}", 0) for n in range(3)
        ]
        self.view = MemberView(ViewNumber(1), tuple(members))
        self.me = ViewMember("entry", "d0", "r", "h:9", "p:9", 0)
        self.groups = {"desk": partition_targets("desk", ["t:1"])}


class Peers:
    def usable(self, member):
        return True


class Service(HandOverService):
    """Hand over to prepared links instead of peers."""

    def __init__(self, links):
        timings = TimingSettings(hand_over_ms=50)
        super().__init__(Control(), Peers(), None, timings)
        self.links = list(links)

    async def _open(self, handling, home):
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
    "refused at once": (True, [Link(REFUSED)], Outcome.NOT_RUN),
    "a read's home lost, the next refuses": (
        True,
        [Link(), Link(REFUSED)],
        Outcome.UNKNOWN,
    ),
    "a read's home silent, the next refuses": (
        True,
        [Link(silent=True), Link(REFUSED)],
        Outcome.UNKNOWN,
    ),
    "an order's home lost before its claim": (
        False,
        [Link(), Link(REFUSED)],
        Outcome.NOT_RUN,
    ),
    "an order's home lost after its claim": (False, [Link(CLAIM)], Outcome.UNKNOWN),
    "an order's home silent after its claim": (
        False,
        [Link(CLAIM, silent=True)],
        Outcome.UNKNOWN,
    ),
}


@pytest.mark.parametrize("name", CASES)
async def test_the_word_for_a_request_whose_home_is_lost(name):
    """A home dies or falls silent with a request, and another refuses it.

    Told "not run", the caller sends it again, and a read that waits in a paused home
    or an order that it was allowed to send runs besides.
    """
    idempotent, links, outcome = CASES[name]
    links = [Link(*link.frames, silent=link.silent) for link in links]
    found = await Service(links).run(Handling(call(idempotent)))
    assert not isinstance(found, HomeAnswer)
    assert found.outcome is outcome


async def test_a_withdrawn_order_is_not_allowed_late():
    """An order waited so long that its ledger nodes may have given it up."""
    link = Link(CLAIM)
    handling = Handling(call(False), dispatch_by_ms=now_ms() - 1)
    found = await Service([link]).run(handling)
    assert found.outcome is Outcome.NOT_RUN
    assert "grant" not in link.sent
