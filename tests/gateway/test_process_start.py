"""Serve the callers of a node just after the start of its process."""

import asyncio
import json
import math
import random

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.policies import ALL_POLICIES
from crocusspindle.core.spend_result import Admitted, NotKept
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.core.view import View
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.fleet_state import FIRST_READ_TIMEOUT_MS, FleetState
from crocusspindle.gateway.messages import NotMineAnswer, PlaceAsk, SpendAnswer
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.placing import Placement, Placing
from crocusspindle.gateway.quota import STARTUP_PERIOD_MS, Quota
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import CustomerId, DomainId, ServiceId
from crocusspindle.metrics import Metrics
from crocusspindle.platform.documents import parse_configuration
from tests.gateway.test_fleet_state import make_fleet_state, view_entry

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


def placing_alone(fleet_state):
    """Build the placing service of a node that is the only member."""
    node = view_entry(0).node
    rng = random.Random(1)
    metrics = Metrics(node.host, node.domain)
    exchange = Exchange((node.ip, node.peer_port), rng, metrics)
    crashes = CrashSharing(exchange, fleet_state, metrics)
    bounds = LiveBounds(Bounds())
    placers = Placers(
        node, bounds, exchange, fleet_state, ALL_POLICIES, crashes, metrics
    )
    placing = Placing(exchange, placers, rng, crashes, LiveBounds(Bounds()))
    exchange.handle(PlaceAsk, placers._place_ask)
    fleet_state.add_listener(placers._apply_fleet_state)
    fleet_state.update_view(View(1, (view_entry(0),)), now_ms())
    fleet_state.notify()
    return placing


def make_request():
    return PlacementRequest(
        sender=view_entry(0).node.host,
        domain=DomainId("a"),
        route="pages",
        idempotent=True,
        priority=0,
        aim_ms=800.0,
        deadline_ms=now_ms() + 2_000.0,
    )


class KeeperExchange:
    """Respond for a quota keeper that grants tokens only after some requests."""

    def __init__(self, refused_requests: int) -> None:
        self.requests = 0
        self._refused_requests = refused_requests
        self.limit_ms = math.nan

    async def request(self, to, message, *_):
        self.requests += 1
        self.limit_ms = message.wait_limit_ms
        return (
            SpendAnswer(0.0)
            if self.requests > self._refused_requests
            else NotMineAnswer()
        )


def quota(keeper_exchange: KeeperExchange, started_ms: float) -> Quota:
    fleet_state = make_fleet_state()
    fleet_state.started_ms = started_ms
    fleet_state.update_view(View(4, (view_entry(0), view_entry(1))), now_ms())
    bounds = LiveBounds(Bounds())
    node = view_entry(0).node
    metrics = Metrics(node.host, node.domain)
    return Quota(
        node,
        bounds,
        keeper_exchange,
        fleet_state,
        metrics,
        random.Random(1),
        now_ms(),
    )


async def test_first_caller_waits_for_the_first_configuration():
    """All processes are killed, and callers reconnect as soon as one of them listens.

    The configuration arrives a tenth of a second later. Without a wait, callers would
    be refused after the fault is over.
    """
    fleet_state = make_fleet_state()
    pending = asyncio.create_task(fleet_state.first_configuration())
    await asyncio.sleep(0.02)
    assert not pending.done()
    fleet_state.update_configuration(DOCUMENT, now_ms())
    configuration = await asyncio.wait_for(pending, 0.1)
    assert configuration is not None and configuration.version == 1


async def test_wait_for_the_first_configuration_is_limited():
    """The platform is unreachable when a process starts, possibly for hours."""
    fleet_state = make_fleet_state()
    fleet_state.started_ms = now_ms() - FIRST_READ_TIMEOUT_MS
    assert await asyncio.wait_for(fleet_state.first_configuration(), 0.01) is None


async def test_callers_of_a_new_process_wait_for_the_next_quota_keeper():
    """A whole fleet has restarted, and the view still names the old processes.

    The view with the new ones follows within half a second, which is less than half of
    the callers' latency objective.
    """
    keeper_exchange = KeeperExchange(refused_requests=4)
    result = await quota(keeper_exchange, now_ms()).spend(RULE, 0.0, now_ms() + 500.0)
    assert isinstance(result, Admitted)
    assert keeper_exchange.requests == 5
    # A keeper starts without tokens, and all waiting callers request theirs at once.
    assert 100.0 < keeper_exchange.limit_ms < 300.0


async def test_established_node_refuses_soon_without_a_quota_keeper():
    """A quota keeper lost power, and its successor has to wait for seconds."""
    keeper_exchange = KeeperExchange(refused_requests=1_000)
    began_ms = now_ms()
    old_ms = now_ms() - STARTUP_PERIOD_MS
    result = await quota(keeper_exchange, old_ms).spend(RULE, 0.0, began_ms + 5_000.0)
    assert isinstance(result, NotKept)
    assert now_ms() - began_ms < 200.0
    assert keeper_exchange.limit_ms == 0.0


async def test_request_waits_for_the_first_list_of_targets():
    """Guards against a service that seems to have no targets right after a start."""
    fleet_state = FleetState(parse_configuration)
    placing = placing_alone(fleet_state)
    pending = asyncio.create_task(placing.place(SERVICE, make_request()))
    await asyncio.sleep(0.02)
    assert not pending.done()
    fleet_state.update_targets([TARGET], StoreVersion(1, 1), now_ms())
    placement = await asyncio.wait_for(pending, 0.5)
    assert isinstance(placement, Placement) and placement.target == TARGET


async def test_wait_for_the_first_list_of_targets_is_limited():
    fleet_state = FleetState(parse_configuration)
    fleet_state.started_ms = now_ms() - FIRST_READ_TIMEOUT_MS
    placement = await asyncio.wait_for(
        placing_alone(fleet_state).place(SERVICE, make_request()), 0.1
    )
    assert isinstance(placement, PlacementRefused) and placement.reason == "no-target"


async def test_the_last_queued_request_is_answered_with_the_arrival_that_starts_it():
    """Guards against a granted slot that idles until the queue is processed again."""
    fleet_state = FleetState(parse_configuration)
    placing = placing_alone(fleet_state)
    fleet_state.update_targets([TARGET], StoreVersion(1, 1), now_ms())
    fleet_state.notify()
    placer = placing._placers._placer(SERVICE)
    await placing._placers.cancel_tasks()  # which process the queue regularly
    for _ in range(TARGET.slots):
        await placing.place(SERVICE, make_request())
    queued = asyncio.create_task(placing.place(SERVICE, make_request()))
    await asyncio.sleep(0.01)
    assert placer.queued
    for tracker in placer.trackers().values():
        for grant in tracker.grants.values():
            grant.until_ms = 0.0
    placer._refreshed_ms = -math.inf
    await placing.place(SERVICE, make_request())
    assert not placer.queued
    placement = await asyncio.wait_for(queued, 1.0)
    assert isinstance(placement, Placement)
