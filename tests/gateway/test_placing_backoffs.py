"""Tests of placing requests while this node backs off from targets."""

import asyncio
import random
from dataclasses import replace

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.policies import ALL_POLICIES
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.core.target_signals import TargetSignals
from crocusspindle.core.view import View
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.messages import (
    Done,
    EndedNote,
    LeavingNote,
    PlaceAnswer,
    PlaceAsk,
    RefusedAnswer,
)
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.placing import Placement, Placing
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import ContentDigest, DomainId, ServiceId
from crocusspindle.metrics import Metrics
from crocusspindle.platform.documents import parse_configuration
from tests.gateway.test_fleet_state import view_entry

SERVICE = ServiceId("books")
TARGETS = [
    ListedTarget(
        TargetIdentity(name),
        SERVICE,
        f"10.9.0.{number}:80",
        DomainId("a"),
        2,
        Readiness.READY,
    )
    for number, name in enumerate(("t0", "t1"))
]
RETRY_AFTER_MS = 3_000.0
REQUEST = PlacementRequest(
    sender=view_entry(0).node.host,
    domain=DomainId("a"),
    route="pages",
    idempotent=True,
    priority=0,
    aim_ms=800.0,
    deadline_ms=0.0,
)


class PlacerExchange:
    """Grant the first target that a request does not exclude, after a queue's wait."""

    def __init__(self) -> None:
        self.asks: list[PlaceAsk] = []
        self.outcomes: list[EndedNote] = []
        self.notes: list[LeavingNote] = []
        self.at_ask = lambda: None
        self.wait_s = 0.0
        self.refusal: RefusedAnswer | None = None

    def handle_late_response(self, message_type, handler) -> None:
        """Ignore the handler."""

    def handle(self, message_type, handler) -> None:
        """Ignore the handler."""

    def notify(self, to, note) -> None:
        """Record a note to another placer."""
        self.notes.append(note)

    async def request(self, to, content, silent_s, limit_s):
        """Respond as a placer does."""
        if isinstance(content, EndedNote):
            self.outcomes.append(content)
            return Done()
        self.asks.append(content)
        if self.refusal is not None:
            return self.refusal
        granted = next(t for t in TARGETS if t.identity not in content.excluded)
        self.at_ask()
        await asyncio.sleep(self.wait_s)
        return PlaceAnswer(len(self.asks), granted.identity, 100)


@pytest.fixture
async def exchange():
    return PlacerExchange()


@pytest.fixture
async def placing(exchange):
    fleet_state = FleetState(parse_configuration)
    node = view_entry(0).node
    metrics = Metrics(node.host, node.domain)
    crashes = CrashSharing(exchange, fleet_state, metrics)
    bounds = LiveBounds(Bounds())
    placers = Placers(
        node, bounds, exchange, fleet_state, ALL_POLICIES, crashes, metrics
    )
    made = Placing(exchange, placers, random.Random(1), crashes, LiveBounds(Bounds()))
    fleet_state.add_listener(placers._apply_fleet_state)
    fleet_state.update_view(View(1, (view_entry(0),)), now_ms())
    fleet_state.update_targets(TARGETS, StoreVersion(1, 1), now_ms())
    fleet_state.notify()
    yield made
    await made.cancel_tasks()


async def place(placing):
    return await placing.place(SERVICE, replace(REQUEST, deadline_ms=now_ms() + 2_000))


async def test_a_placer_is_told_which_targets_to_exclude(exchange, placing):
    placing.record_signals(TARGETS[0], TargetSignals(retry_after_ms=RETRY_AFTER_MS))
    placement = await place(placing)
    assert isinstance(placement, Placement) and placement.target == TARGETS[1]
    assert [ask.excluded for ask in exchange.asks] == [["t0"]]


async def test_a_grant_that_may_not_be_used_any_more_is_returned(exchange, placing):
    """Guards against a request that was queued as its target asked for a backoff."""
    exchange.at_ask = lambda: placing.record_signals(
        TARGETS[0], TargetSignals(retry_after_ms=RETRY_AFTER_MS)
    )
    placement = await place(placing)
    assert isinstance(placement, Placement) and placement.target == TARGETS[1]
    assert [ask.counted for ask in exchange.asks] == [False, True]
    await asyncio.sleep(0)
    assert [(note.target, note.grant) for note in exchange.outcomes] == [("t0", 1)]


async def test_a_request_is_refused_while_all_targets_want_a_backoff(exchange, placing):
    """Guards against a wait for targets that this node may not use."""
    for target, retry_after_ms in zip(
        TARGETS, (RETRY_AFTER_MS, 2.0 * RETRY_AFTER_MS), strict=True
    ):
        placing.record_signals(target, TargetSignals(retry_after_ms=retry_after_ms))
    refused = await place(placing)
    assert isinstance(refused, PlacementRefused) and not exchange.asks
    assert refused.reason == "backoff"
    assert RETRY_AFTER_MS - 500.0 < refused.retry_after_ms <= RETRY_AFTER_MS


async def test_a_node_that_places_by_itself_backs_off_too(placing):
    """Guards against a node without a placer that ignores backoffs."""
    placing.record_signals(TARGETS[0], TargetSignals(retry_after_ms=RETRY_AFTER_MS))
    placing._placers.ranks._ranked[SERVICE] = []
    for _ in range(2):
        placement = await place(placing)
        assert isinstance(placement, Placement) and placement.target == TARGETS[1]


async def test_a_node_that_places_by_itself_avoids_targets_it_has_not_used(placing):
    """Guards against nodes that each send a limited target its first request."""
    placing._placers.ranks._ranked[SERVICE] = []
    placement = await place(placing)
    placing.report_outcome(
        placement, ContentDigest(""), AttemptOutcome.ANSWERED, 1.0, 2.0
    )
    refused = await place(placing)
    assert isinstance(refused, PlacementRefused) and refused.reason == "no-target"
    other = next(target for target in TARGETS if target != placement.target)
    unlimited = replace(placement, target=other)
    placing.report_outcome(
        unlimited, ContentDigest(""), AttemptOutcome.ANSWERED, 1.0, None
    )
    placement = await place(placing)
    assert isinstance(placement, Placement) and placement.target == other


async def test_a_backoff_that_ends_while_a_request_is_queued_does_not_count(
    exchange, placing
):
    """Guards against exclusions that outlast their backoffs."""
    placing.record_signals(TARGETS[0], TargetSignals(retry_after_ms=50.0))
    exchange.wait_s = 0.1
    exchange.at_ask = lambda: placing.record_signals(
        TARGETS[1], TargetSignals(retry_after_ms=RETRY_AFTER_MS)
    )
    placement = await place(placing)
    assert isinstance(placement, Placement) and placement.target == TARGETS[0]
    assert [ask.excluded for ask in exchange.asks] == [["t0"], ["t1"]]


async def test_a_placer_that_grants_a_leaving_target_is_asked_again(exchange, placing):
    """Guards against requests that lose their placer while its list is old."""
    placing.record_signals(TARGETS[0], TargetSignals(is_leaving=True))
    placement = await place(placing)
    assert isinstance(placement, Placement) and placement.target == TARGETS[1]
    assert placement.placer is not None
    assert [ask.excluded for ask in exchange.asks] == [[], ["t0"]]


async def test_a_refused_request_may_return_when_a_backoff_ends(exchange, placing):
    """Guards against callers that are sent away for the length of an ejection."""
    placing.record_signals(TARGETS[0], TargetSignals(retry_after_ms=300.0))
    exchange.refusal = RefusedAnswer("no-target", 10_000.0)
    refused = await place(placing)
    assert isinstance(refused, PlacementRefused) and refused.reason == "no-target"
    assert 0.0 < refused.retry_after_ms <= 300.0


async def test_nothing_may_be_sent_to_a_target_that_the_newest_list_lacks(placing):
    """Guards against a grant that is used after the news that its target left."""
    placement = await place(placing)
    assert placing.may_send(placement.target)
    fleet_state = placing._placers._fleet_state
    draining = [replace(t, readiness=Readiness.DRAINING) for t in TARGETS]
    for listed in (draining, [], TARGETS):
        version = StoreVersion(1, fleet_state.targets.version.number + 1)
        fleet_state.update_targets(listed, version, now_ms())
        fleet_state.notify()
        assert placing.may_send(placement.target) is (listed is TARGETS)


async def test_an_unsent_grant_is_returned_to_its_placer(exchange, placing):
    """Guards against a slot that stays taken though nothing was sent."""
    placement = await place(placing)
    placing.return_unsent(placement)
    await asyncio.sleep(0.05)
    assert [note.grant for note in exchange.outcomes] == [placement.grant]
