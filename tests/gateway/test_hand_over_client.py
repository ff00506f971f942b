"""Tests of what a node makes of the responses of those it hands requests over to."""

import random
from types import SimpleNamespace

import pytest
from aiohttp import web
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.policies import Policies
from crocusspindle.gateway.hand_over import HandOver
from crocusspindle.gateway.hand_over_headers import (
    ATTEMPTS,
    HandedOver,
    refusal_headers,
)
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import Refusal
from crocusspindle.gateway.target_client import OutgoingRequest
from crocusspindle.ids import ContentDigest, HostId, ServiceId
from crocusspindle.platform.dialect import dialect

BOOKS = ServiceId("books")
TAKERS = [HostId("n1"), HostId("n2"), HostId("n3")]
ANSWERS = {
    "answers": lambda: web.Response(text="whole"),
    "fails": lambda: web.Response(status=500, text="the target's"),
    "has no path": lambda: refusal(503, "no-path"),
    "lost its path": lambda: refusal(503, "no-path", attempts=1),
    "leaves": lambda: refusal(503, "leaving"),
    "leaves at work": lambda: refusal(502, "leaving"),
    "is over rate": lambda: refusal(429, "rate"),
    "lost its target": lambda: refusal(502, "target-broken"),
    "gives up": lambda: refusal(504, "given-up", attempts=1),
}


def refusal(status, reason, attempts=0):
    headers = {**refusal_headers(reason, attempts), "Retry-After": "0.250"}
    return web.Response(status=status, headers=headers)


class Takers:
    """Respond as told, one node after the other, and count what arrives."""

    def __init__(self, behaviours):
        self.behaviours = list(behaviours)
        self.arrived = 0
        self.marks = []

    async def respond(self, request):
        self.marks.append(HandedOver.from_headers("own", request.headers))
        await request.read()
        behaviour = self.behaviours[self.arrived]
        self.arrived += 1
        if behaviour == "breaks":
            request.transport.abort()
            raise ConnectionResetError
        if behaviour == "sends no status":
            request.transport.write(b"HTTP/1.1 000 None\r\n\r\nwhole")
            request.transport.close()
            raise ConnectionResetError
        return ANSWERS[behaviour]()


async def send(
    behaviours, idempotent=False, running_attempts=0, takers=None, **options
):
    """Hand one request over; return its end, the arrivals and the context."""
    takers = takers or Takers(behaviours)
    runner = web.ServerRunner(web.Server(takers.respond))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    ranks = SimpleNamespace(
        ranked=lambda service: TAKERS, address=lambda host: ("127.0.0.1", site.port)
    )
    node = SimpleNamespace(host=HostId("own"), ip="127.0.0.1", peer_port=1)
    hand_over = HandOver(
        node,
        dialect(),
        None,
        SimpleNamespace(configuration=SimpleNamespace(version=3)),
        SimpleNamespace(introduce=lambda to: None),
        SimpleNamespace(ranks=ranks),
        Policies.without(["named-hand-over"]),
        SimpleNamespace(add=lambda *_, **__: None),
        random.Random(1),
    )
    kind = SimpleNamespace(idempotent=idempotent)
    route = SimpleNamespace(kind=kind, attempts=2)
    outgoing = OutgoingRequest("r", "POST", "/orders/1", CIMultiDict(), b"pay")
    content, began_ms = ContentDigest("c"), now_ms()
    context = RequestContext(
        "r", route, None, outgoing, content, began_ms, began_ms + 2_000.0
    )
    context.running_attempts = running_attempts
    await hand_over.start()
    try:
        end = await hand_over.send(context, BOOKS, **options)
    except Refusal as error:
        end = error
    finally:
        await hand_over.stop()
        await runner.cleanup()
    return end, takers.arrived, context


@pytest.mark.parametrize("first", ["has no path", "leaves"])
async def test_a_request_that_a_node_did_not_take_goes_to_the_next(first):
    result, arrived, _ = await send([first, "answers"])
    assert arrived == 2 and result.target_response.body == b"whole"


@pytest.mark.parametrize(
    ("first", "idempotent", "status"),
    [("has no path", False, 503), ("breaks", True, 502)],
)
async def test_a_leaving_node_hands_over_to_no_further_node(first, idempotent, status):
    """Guards against work that a leaving node starts late and cuts off.

    The first node took until too late.
    """
    takers = Takers([first, "answers"])
    end, arrived, _ = await send(
        [], idempotent, takers=takers, may_start=lambda context: takers.arrived == 0
    )
    assert arrived == 1 and end.status == status


@pytest.mark.parametrize(
    "first",
    ["leaves at work", "lost its target", "breaks", "sends no status", "gives up"],
)
async def test_an_order_that_may_run_elsewhere_is_not_sent_again(first):
    """Guards against an order that runs twice, or is refused as not run."""
    end, arrived, context = await send([first, "answers"])
    assert arrived == 1 and context.may_have_run
    if isinstance(end, Refusal):
        assert end.status == 502
    else:
        assert end.target_response is None and end.outcome.may_have_run


@pytest.mark.parametrize("first", ["breaks", "sends no status", "gives up"])
async def test_an_idempotent_request_whose_taker_is_lost_goes_to_another(first):
    """Guards against a request that fails though another node may serve it."""
    result, arrived, context = await send([first, "answers"], idempotent=True)
    assert arrived == 2 and result.target_response.body == b"whole"
    assert context.running_attempts == 0


async def test_a_refusal_of_the_request_itself_is_final():
    end, arrived, context = await send(["is over rate", "answers"])
    assert arrived == 1 and (end.status, end.reason) == (429, "rate")
    assert end.retry_after_ms == 250.0 and context.certainly_not_run


async def test_the_failure_of_a_target_is_forwarded_as_it_is():
    result, arrived, _ = await send(["fails", "answers"], idempotent=True)
    assert arrived == 1 and result.target_response.status == 500


async def test_a_request_that_nobody_takes_is_refused_as_not_run():
    end, arrived, context = await send(["has no path"] * len(TAKERS))
    assert arrived == len(TAKERS) and (end.status, end.reason) == (503, "no-path")
    assert end.retry_after_ms > 0.0 and context.certainly_not_run


async def test_a_hedge_that_is_handed_over_counts_the_attempt_that_still_runs():
    """Guards against a request that runs on more targets than its route allows."""
    takers = Takers(["breaks", "answers"])
    await send((), idempotent=True, running_attempts=1, takers=takers)
    assert takers.marks[0].arrived_attempts == 1


async def test_what_a_taker_sent_before_it_refused_counts_for_the_next():
    """Guards against attempts of two takers of which only one counts as a retry."""
    takers = Takers(["lost its path", "has no path", "answers"])
    await send((), takers=takers)
    assert [mark.arrived_attempts for mark in takers.marks] == [0, 1, 1]


async def test_a_mark_of_an_older_version_has_no_count():
    mark = HandedOver("own", 5.0, 1, True, 2)
    headers = mark.headers()
    assert HandedOver.from_headers("own", headers) == mark
    del headers[ATTEMPTS]
    assert HandedOver.from_headers("own", headers).arrived_attempts == 1
