"""Read configuration and targets once they were confirmed too long ago."""

import asyncio
import itertools

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.gateway.age_watch import (
    CONFIGURATION_AGE_LIMIT_MS,
    LIST_AGE_LIMIT_MS,
    PEER_QUERIES,
    RETRY_S,
    START_DELAY_S,
    AgeWatch,
)
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.platform.documents import parse_configuration
from crocusspindle.platform.fleet_platform import Table
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run

BOTH = (Table.TARGETS, Table.CONFIGURATION)
CALL_TIMEOUT_S = 1.0
FOLLOW_S = 0.5
FIRST_REFRESH_S = 0.2
"""The watch begins later than the state of this test reaches its limit."""

PROPAGATION_MS = 2_000.0


class Reader:
    """Record when the node read; confirm the tables that the store responds for.

    ``followed`` is a table that the node's reader goes on to confirm.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        responds: tuple[Table, ...],
        active: bool = False,
        followed: Table | None = None,
        hangs: bool = False,
        peers_know: bool = False,
    ) -> None:
        self.fleet_state, self.responds, self.active = fleet_state, responds, active
        self.followed, self.hangs, self.peers_know = followed, hangs, peers_know
        self.read_s: list[float] = []
        self.peer_queries = 0
        self.oldest_ms = 0.0

    def confirm(self, table: Table) -> None:
        if table is Table.TARGETS:
            self.fleet_state.update_targets([], StoreVersion(1, 1), now_ms())
        else:
            state = self.fleet_state.configuration
            state.confirm(state.version, now_ms())

    async def read_once(self, reason, tables) -> None:
        self.read_s.append(now_ms() / 1e3)
        assert tables == BOTH
        if self.hangs:
            await asyncio.sleep(CALL_TIMEOUT_S)
        for table in tables:
            if table not in self.responds:
                return
            self.confirm(table)

    async def query_peers(self) -> None:
        self.peer_queries += 1
        if self.peers_know:
            for table in BOTH:
                self.confirm(table)

    async def follow(self) -> None:
        while True:
            await asyncio.sleep(FOLLOW_S)
            if self.followed is not None:
                self.confirm(self.followed)

    async def observe(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            if self.read_s and now_ms() / 1e3 > self.read_s[0] + FIRST_REFRESH_S:
                age_ms = self.fleet_state.configuration.age_ms(now_ms())
                self.oldest_ms = max(self.oldest_ms, age_ms)


def watch(monkeypatch, responds: tuple[Table, ...], for_s: float = 9.0, **options):
    """Return a reader whose node watched its state for a while."""
    loop = VirtualLoop()
    monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))
    readers = []

    async def scenario() -> None:
        fleet_state = FleetState(parse_configuration)
        reader = Reader(fleet_state, responds, **options)
        readers.append(reader)
        for table in BOTH:
            reader.confirm(table)
        service = AgeWatch(fleet_state, reader)
        await service.start()
        others = [
            asyncio.create_task(work()) for work in (reader.follow, reader.observe)
        ]
        await asyncio.sleep(for_s)
        for task in others:
            task.cancel()
        await service.cancel_tasks()

    run(loop, scenario())
    return readers[0]


@pytest.mark.parametrize(
    ("followed", "limit_ms"),
    [
        (None, LIST_AGE_LIMIT_MS),
        (Table.CONFIGURATION, LIST_AGE_LIMIT_MS),
        (Table.TARGETS, CONFIGURATION_AGE_LIMIT_MS),
    ],
)
def test_state_is_read_whenever_it_reaches_the_age_limit(
    monkeypatch, followed: Table | None, limit_ms: float
):
    """Guards against state that grows older than a change of it may be unknown."""
    read_s = watch(monkeypatch, BOTH, followed=followed).read_s
    assert read_s[0] - 1_000.0 == pytest.approx(START_DELAY_S, abs=0.1)
    gaps_s = [later - read for read, later in itertools.pairwise(read_s)]
    assert gaps_s == pytest.approx([limit_ms / 1e3] * len(gaps_s), abs=0.1)
    assert len(gaps_s) >= 3


def test_a_store_that_does_not_respond_is_called_once(monkeypatch):
    """Guards against hosts that all call a store that is away, again and again."""
    assert len(watch(monkeypatch, ()).read_s) == 1
    assert len(watch(monkeypatch, (), for_s=RETRY_S + 4.0).read_s) == 2


@pytest.mark.parametrize("active", [True, False])
def test_a_node_whose_calls_fail_asks_its_peers(monkeypatch, active: bool):
    """Guards against a node that alone misses what all others have read."""
    assert watch(monkeypatch, (), active=active).peer_queries == PEER_QUERIES
    longer = watch(monkeypatch, (), active=active, for_s=RETRY_S + 4.0)
    assert longer.peer_queries == 2 * PEER_QUERIES
    assert watch(monkeypatch, BOTH, active=active).peer_queries == 0


def test_a_node_whose_calls_hang_asks_its_peers_meanwhile(monkeypatch):
    """Guards against a node that waits for the store while its peers know more."""
    reader = watch(monkeypatch, (), hangs=True, peers_know=True)
    assert len(reader.read_s) >= 3
    assert reader.peer_queries == len(reader.read_s)
    assert reader.oldest_ms <= PROPAGATION_MS


def test_a_table_that_cannot_be_read_does_not_delay_the_other(monkeypatch):
    """Guards against an old list of targets while only the configuration fails."""
    gaps_s = [
        later - read
        for read, later in itertools.pairwise(
            watch(monkeypatch, (Table.TARGETS,)).read_s
        )
    ]
    assert gaps_s == pytest.approx([LIST_AGE_LIMIT_MS / 1e3] * len(gaps_s), abs=0.1)
    assert len(gaps_s) >= 3
