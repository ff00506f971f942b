"""Serve the callers of a node whose process has just started."""

import asyncio
import json
import math
import random

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.policies import ALL_POLICIES
from crocusspindle.core.quota_keeper import Admitted, NotKept
from crocusspindle.core.view import View
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.knowledge import FIRST_READ_MS, Knowledge
from crocusspindle.gateway.messages import NotMineAnswer, PlaceAsk, SpendAnswer
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.placing import Place, Placing
from crocusspindle.gateway.quota import SETTLING_MS, Quota
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import CustomerId, DomainId, ServiceId
from crocusspindle.metrics import Metrics
from crocusspindle.platform.documents import parse_configuration
from tests.gateway.test_knowledge import informed, seat

RULE = CustomerRule(CustomerId("club"), rate_per_s=10.0, burst=10.0)
DOCUMENT = json.dumps({"version": "00000001", "routes": {}}).encode()


SERVICE = ServiceId("books")
TARGET = ListedTarget(
    TargetIdentity("t0"),
    SERVICE,
    "10.9.0.1:80",
    DomainId("a"),
    2,
    Readiness.READY,
)


def placing_alone(knowledge):
    """Build the placing of a node that is the only member."""
    node = seat(0).node
    draw = random.Random(1)
    metrics = Metrics(node.host, node.domain)
    exchange = Exchange((node.ip, node.peer_port), draw, metrics)
    crashes = CrashSharing(exchange, knowledge, metrics)
    bounds = LiveBounds(Bounds())
    placers = Placers(node, bounds, exchange, knowledge, ALL_POLICIES, crashes)
    placing = Placing(exchange, placers, draw, crashes)
    exchange.handle(PlaceAsk, placers._place_ask)
    knowledge.listen(placers._learn)
    knowledge.take_view(View(1, (seat(0),)), now_ms())
    knowledge.tell()
    return placing


def an_ask():
    return PlacementRequest(
        sender=seat(0).node.host,
        domain=DomainId("a"),
        route="pages",
        idempotent=True,
        priority=0,
        aim_ms=800.0,
        deadline_ms=now_ms() + 2_000.0,
    )


class Keeper:
    """Answer for a keeper that opens after some asks, in place of the exchange."""

    def __init__(self, opens_after: int) -> None:
        self.asked = 0
        self._opens_after = opens_after
        self.limit_ms = math.nan

    async def ask(self, to, message, *_):
        self.asked += 1
        self.limit_ms = message.wait_limit_ms
        return SpendAnswer(0.0) if self.asked > self._opens_after else NotMineAnswer()


def quota(keeper: Keeper, born_ms: float) -> Quota:
    knowledge = informed()
    knowledge.born_ms = born_ms
    knowledge.take_view(View(4, (seat(0), seat(1))), now_ms())
    bounds = LiveBounds(Bounds())
    return Quota(seat(0).node, bounds, keeper, knowledge, now_ms())


async def test_a_caller_that_comes_first_waits_for_the_first_configuration():
    """All processes are killed, and callers connect again as soon as one listens.

    The configuration is there a tenth of a second later; sent away, they would be
    refused though nothing is wrong any more.
    """
    knowledge = informed()
    asked = asyncio.create_task(knowledge.first_configuration())
    await asyncio.sleep(0.02)
    assert not asked.done()
    knowledge.take_configuration(DOCUMENT, now_ms())
    found = await asyncio.wait_for(asked, 0.1)
    assert found is not None and found.version == 1


async def test_nobody_waits_for_a_configuration_that_does_not_come():
    """The platform is away when a process starts, and may be for hours."""
    knowledge = informed()
    knowledge.born_ms = now_ms() - FIRST_READ_MS
    assert await asyncio.wait_for(knowledge.first_configuration(), 0.01) is None


async def test_callers_of_a_new_process_wait_for_the_keeper_that_is_to_come():
    """A whole fleet has started again, and the view still names the old processes.

    The view that names the new ones is half a second away, and half of the callers'
    aim is more than that.
    """
    keeper = Keeper(opens_after=4)
    answer = await quota(keeper, now_ms()).spend(RULE, 0.0, now_ms() + 500.0)
    assert isinstance(answer, Admitted)
    assert keeper.asked == 5
    # It opens without tokens, and the callers that waited are all there at once.
    assert 100.0 < keeper.limit_ms < 300.0


async def test_a_node_that_is_up_refuses_soon_when_there_is_no_keeper():
    """A keeper lost power, and its heir has to wait for seconds."""
    keeper = Keeper(opens_after=1_000)
    began_ms = now_ms()
    old_ms = now_ms() - SETTLING_MS
    answer = await quota(keeper, old_ms).spend(RULE, 0.0, began_ms + 5_000.0)
    assert isinstance(answer, NotKept)
    assert now_ms() - began_ms < 200.0
    assert keeper.limit_ms == 0.0


async def test_a_request_waits_for_the_first_list_of_targets():
    """Guards against a service that seems to have no targets right after a start."""
    knowledge = Knowledge(parse_configuration)
    placing = placing_alone(knowledge)
    asked = asyncio.create_task(placing.place(SERVICE, an_ask()))
    await asyncio.sleep(0.02)
    assert not asked.done()
    knowledge.take_targets([TARGET], 1, now_ms())
    place = await asyncio.wait_for(asked, 0.5)
    assert isinstance(place, Place) and place.target == TARGET


async def test_nobody_waits_for_a_list_of_targets_that_does_not_come():
    knowledge = Knowledge(parse_configuration)
    knowledge.born_ms = now_ms() - FIRST_READ_MS
    place = await asyncio.wait_for(
        placing_alone(knowledge).place(SERVICE, an_ask()), 0.1
    )
    assert isinstance(place, PlacementRefused) and place.reason == "no-target"
