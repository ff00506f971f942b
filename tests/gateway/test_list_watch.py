"""Read the list of targets once it was confirmed too long ago."""

import asyncio
import itertools

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.list_watch import (
    LIST_AGE_LIMIT_MS,
    RETRY_S,
    START_DELAY_S,
    ListWatch,
)
from crocusspindle.platform.documents import parse_configuration
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run


class Reader:
    """Record when the list was read; confirm it if the store responds."""

    def __init__(self, fleet_state: FleetState, responds: bool, active: bool) -> None:
        self.fleet_state, self.responds, self.active = fleet_state, responds, active
        self.read_s: list[float] = []
        self.peer_queries = 0

    async def read_once(self, reason, tables) -> None:
        self.read_s.append(now_ms() / 1e3)
        if self.responds:
            self.fleet_state.update_targets([], StoreVersion(1, 1), now_ms())

    async def query_peers(self) -> None:
        self.peer_queries += 1


def watch(monkeypatch, responds: bool, active: bool = False, for_s: float = 9.0):
    """Return a reader whose node watched its list for a while."""
    loop = VirtualLoop()
    monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))
    readers = []

    async def scenario() -> None:
        fleet_state = FleetState(parse_configuration)
        fleet_state.update_targets([], StoreVersion(1, 1), now_ms())
        readers.append(Reader(fleet_state, responds, active))
        service = ListWatch(fleet_state, readers[0])
        await service.start()
        await asyncio.sleep(for_s)
        await service.cancel_tasks()

    run(loop, scenario())
    return readers[0]


def test_a_list_is_read_whenever_it_reaches_the_age_limit(monkeypatch):
    """Guards against a list that grows older than a leaving target may be unknown."""
    read_s = watch(monkeypatch, responds=True).read_s
    limit_s = LIST_AGE_LIMIT_MS / 1e3
    assert read_s[0] - 1_000.0 == pytest.approx(START_DELAY_S, abs=0.1)
    gaps_s = [later - read for read, later in itertools.pairwise(read_s)]
    assert gaps_s == pytest.approx([limit_s] * len(gaps_s), abs=0.1)
    assert len(gaps_s) >= 3


def test_a_store_that_does_not_respond_is_called_once(monkeypatch):
    """Guards against hosts that all call a store that is away, again and again."""
    assert len(watch(monkeypatch, responds=False).read_s) == 1
    assert len(watch(monkeypatch, responds=False, for_s=RETRY_S + 4.0).read_s) == 2


def test_a_reader_whose_calls_hang_asks_its_peers(monkeypatch):
    """Guards against a reader that alone misses what all others have read."""
    assert watch(monkeypatch, responds=False, active=True).peer_queries == 2
    assert watch(monkeypatch, responds=False).peer_queries == 0
