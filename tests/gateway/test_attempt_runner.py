"""Tests of how the attempts of one request are counted."""

import asyncio
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.configuration import RequestKind, RouteRule, WeightedService
from crocusspindle.core.departure import Departure
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.policies import Policies
from crocusspindle.gateway.attempt_runner import AttemptRunner
from crocusspindle.gateway.hand_over_headers import HandedOver
from crocusspindle.gateway.placing import Placement
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.target_client import AttemptResult, OutgoingRequest
from crocusspindle.ids import NO_CONTENT, DomainId, HostId, ServiceId

SERVICE = ServiceId("books")
ROUTE = RouteRule(
    "orders",
    "host.example",
    "/",
    RequestKind.UNSAFE,
    (WeightedService(SERVICE, 1.0),),
    4_000.0,
    1_000.0,
    2,
)


class Placing:
    """Grant a target to each placement request, and record the requests."""

    def __init__(self, hedge_after_ms=1_000.0):
        self.asked = []
        self.hedge_after_ms = hedge_after_ms

    async def place(self, service, request):
        self.asked.append(request)
        target = ListedTarget(
            TargetIdentity(f"t{len(self.asked)}"),
            service,
            "10.9.0.1:80",
            DomainId("a"),
            2,
            Readiness.READY,
        )
        return Placement(service, target, self.hedge_after_ms)

    def list_fields(self):
        return {}

    def report_outcome(self, *outcome):
        pass

    def return_unsent(self, placement):
        pass


class Client:
    """End attempts as told."""

    def __init__(self, outcomes):
        self.outcomes = list(outcomes)

    async def send(self, target, outgoing, deadline_ms):
        return AttemptResult(self.outcomes.pop(0), 0.0)


def make_runner(outcomes, placing, departure):
    """Return a runner whose attempts end as told."""
    return AttemptRunner(
        SimpleNamespace(host=HostId("n0"), domain=DomainId("a")),
        Client(outcomes),
        placing,
        SimpleNamespace(is_lost=lambda service: False, record=lambda *outcome: None),
        None,
        Policies(),
        SimpleNamespace(add=lambda *_, **__: None),
        random.Random(1),
        departure,
    )


def make_context(route=ROUTE, handed_over=None):
    """Return a request that has just begun."""
    began_ms = now_ms()
    return RequestContext(
        "r",
        route,
        None,
        OutgoingRequest("r", "POST", "/", CIMultiDict(), b""),
        NO_CONTENT,
        began_ms,
        began_ms + 4_000.0,
        handed_over=handed_over,
    )


async def attempts(outcomes, handed_over=None):
    """Send one request; return its placement requests and the kinds of attempts."""
    placing = Placing()
    context = make_context(handed_over=handed_over)
    await make_runner(outcomes, placing, Departure()).send(context)
    return placing.asked, [record["kind"] for record in context.attempt_records]


@pytest.mark.parametrize(
    "outcome",
    [AttemptOutcome.UNREACHED, AttemptOutcome.CLOSED, AttemptOutcome.WITHHELD],
)
async def test_a_request_whose_attempts_reach_no_target_is_counted_once(outcome):
    """Guards against lost connections that add to what the service may retry."""
    asked, kinds = await attempts([outcome, outcome, AttemptOutcome.ANSWERED])
    assert [request.counted for request in asked] == [False, True, True]
    assert not any(request.retry for request in asked)
    assert kinds == ["first", "again", "again"]


async def test_an_attempt_after_one_that_was_refused_is_a_retry():
    asked, kinds = await attempts([AttemptOutcome.SHED, AttemptOutcome.ANSWERED])
    assert [request.retry for request in asked] == [False, True]
    assert kinds == ["first", "retry"]


async def test_a_request_that_another_node_placed_is_not_counted_again():
    mark = HandedOver("10.1.0.1", 0.0, 1, was_placed=True, arrived_attempts=0)
    asked, kinds = await attempts([AttemptOutcome.ANSWERED], mark)
    assert asked[0].counted and kinds == ["again"]


GRACE_MS = 6_000.0
LATE_MS = 3_000.0


class FullPlacing(Placing):
    """Grant the first request a target; let retries wait for a place for ever."""

    def __init__(self, grants_at_end):
        super().__init__()
        self.grants_at_end = grants_at_end
        self.returned = []

    async def place(self, service, request):
        placement = await super().place(service, request)
        if request.retry:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                if not self.grants_at_end:
                    raise
        return placement

    def return_unsent(self, placement):
        self.returned.append(placement)


@pytest.mark.parametrize("grants_at_end", [False, True])
async def test_a_retry_that_waits_on_a_leaving_node_ends_with_what_it_has(
    grants_at_end,
):
    """Guards against a leaving node that has a target's response and sends none.

    A place that is granted as the wait ends is returned.
    """
    placing, departure = FullPlacing(grants_at_end), Departure()
    runner = make_runner([AttemptOutcome.ERROR], placing, departure)
    route = replace(ROUTE, kind=RequestKind.SAFE)
    sending = asyncio.create_task(runner.send(make_context(route)))
    async with asyncio.timeout(1):
        while len(placing.asked) < 2:
            await asyncio.sleep(0.01)
    departure.begin(now_ms() - LATE_MS, GRACE_MS)
    done, _ = await asyncio.wait((sending,), timeout=1)
    assert done and sending.result().outcome is AttemptOutcome.ERROR
    await asyncio.sleep(0.01)
    assert len(placing.returned) == grants_at_end


HEDGE_AFTER_MS = 50.0
FIRST_S = 0.2


async def test_a_leaving_node_starts_no_hedge_that_can_not_end():
    """Guards against work that a leaving node starts and cuts off at once.

    The node began to leave while the request waited to be hedged.
    """
    placing, departure = Placing(HEDGE_AFTER_MS), Departure()
    runner = make_runner([], placing, departure)

    async def send(*attempt):
        await asyncio.sleep(FIRST_S)
        return AttemptResult(AttemptOutcome.ANSWERED, 0.0)

    runner._client = SimpleNamespace(send=send)
    route = replace(ROUTE, kind=RequestKind.SAFE)
    sending = asyncio.create_task(runner.send(make_context(route)))
    async with asyncio.timeout(1):
        while not placing.asked:
            await asyncio.sleep(0)
    departure.begin(now_ms() - GRACE_MS, GRACE_MS)
    assert (await sending).outcome is AttemptOutcome.ANSWERED
    assert len(placing.asked) == 1
