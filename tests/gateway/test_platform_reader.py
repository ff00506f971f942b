"""Follow the platform's tables through outages, lost history and invalid entries."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core import target_list
from crocusspindle.core.store_version import FIRST_ERA, StoreVersion
from crocusspindle.errors import PlatformUnavailableError
from crocusspindle.gateway import platform_reader as module
from crocusspindle.gateway import store_probe
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.platform_reader import PlatformReader, ReadReason
from crocusspindle.platform.documents import parse_configuration, parse_target
from crocusspindle.platform.fleet_platform import (
    Changes,
    HistoryLostError,
    StoredRow,
    Table,
)
from crocusspindle.platform.table_store import TableStore
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run


def entry(service: str = "books") -> bytes:
    document = {
        "address": "127.0.0.1:9000",
        "information": {"service": service, "zone": "a", "slots": 2},
        "status": {"state": "ready"},
    }
    return json.dumps(document).encode()


def at(number: int) -> StoreVersion:
    return StoreVersion(FIRST_ERA, number)


class Store:
    """Hold rows of targets; simulate outages, lost history and old state."""

    def __init__(self):
        self.rows = {"t1": entry(), "t2": entry()}
        self.removed: list[str] = []
        self.version = 1
        self.era = FIRST_ERA
        self.unreachable = False
        self.unreachable_tables: frozenset[Table] = frozenset()
        self.feed_s: dict[Table, float] = {}
        self.drops_history: frozenset[Table] = frozenset()
        self.frozen = False
        self.evacuated: dict[str, bytes] = {}
        self.ended_evacuations: list[str] = []
        self.old_state: tuple[dict[str, bytes], int] | None = None

    async def read(self, table):
        self._begin_call(table)
        rows, version = self.old_state or (self.rows, self.version)
        if table is not Table.TARGETS:
            rows = self.evacuated if table is Table.CONFIGURATION else {}
        stored = [StoredRow(key, at(1), value) for key, value in rows.items()]
        return Changes(stored, at(version))

    async def follow(self, table, after, wait_ms):
        await asyncio.sleep(self.feed_s.get(table, 0.02))
        self._begin_call(table)
        if self.drops_history and table in self.drops_history:
            self.drops_history -= {table}
            raise HistoryLostError("gone")
        rows = []
        if table is Table.CONFIGURATION:
            rows = [
                StoredRow(key, at(1), value) for key, value in self.evacuated.items()
            ]
            rows += [StoredRow(key, at(1), None) for key in self.ended_evacuations]
            self.ended_evacuations = []
        if table is Table.TARGETS:
            rows = [StoredRow(key, at(1), value) for key, value in self.rows.items()]
            rows += [StoredRow(key, at(1), None) for key in self.removed]
            self.removed = []
        return Changes(rows, at(self.version))

    def _begin_call(self, table):
        if self.unreachable or table in self.unreachable_tables:
            raise PlatformUnavailableError("away")
        self.version += not self.frozen

    def configuration(self, rows):
        return None

    def evacuated_domain(self, key):
        return TableStore("unused").evacuated_domain(key)

    def parse_target(self, key, value):
        return parse_target(key, value)

    async def close(self):
        pass


@asynccontextmanager
async def reading(monkeypatch):
    """Read a store with short intervals."""
    for name, value in (
        ("POLL_INTERVAL_S", 0.02),
        ("OUTAGE_AFTER_MS", 150.0),
    ):
        monkeypatch.setattr(module, name, value)
    monkeypatch.setattr(target_list, "RENEWAL_GRACE_MS", 300.0)
    monkeypatch.setattr(store_probe, "RETRY_MS", 20.0)
    monkeypatch.setattr(store_probe, "RETRY_MAX_MS", 20.0)
    store = Store()
    fleet_state = FleetState(parse_configuration)
    store.fleet_state = fleet_state
    platform_reader = PlatformReader(store, fleet_state, random.Random(1))
    await platform_reader.start()
    platform_reader.request_reads(60_000.0, ReadReason.PINGED)
    await asyncio.sleep(0.1)
    store.platform_reader = platform_reader
    yield store, fleet_state
    await platform_reader.cancel_tasks()


@pytest.fixture
async def reader_of_store(monkeypatch):
    async with reading(monkeypatch) as store_and_state:
        yield store_and_state


@pytest.fixture
def in_virtual_time(monkeypatch):
    """Return a function that runs a check where a busy machine can't delay it."""

    def run_check(check):
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))

        async def read_and_check():
            async with reading(monkeypatch) as (store, fleet_state):
                await check(store, fleet_state)

        run(loop, read_and_check())

    return run_check


def listed(fleet_state) -> list[str]:
    return [target.identity for target in fleet_state.targets.content]


async def test_removed_target_is_dropped_at_once(reader_of_store):
    store, fleet_state = reader_of_store
    assert listed(fleet_state) == ["t1", "t2"]
    del store.rows["t2"]
    store.removed.append("t2")
    await asyncio.sleep(0.1)
    assert listed(fleet_state) == ["t1"]


def test_entries_that_expire_during_an_outage_get_a_grace_period(
    in_virtual_time,
):
    """The store is unreachable, targets can't renew their entries, and all expire.

    Without a grace period the service would have no targets when the store is back.
    Targets that renew within the period stay listed; the others are dropped.
    """

    async def check(store, fleet_state):
        store.unreachable = True
        await asyncio.sleep(0.3)
        expired, store.rows = store.rows, {}
        store.removed = list(expired)
        store.unreachable = False
        await asyncio.sleep(0.15)
        assert listed(fleet_state) == ["t1", "t2"]
        store.rows["t1"] = expired["t1"]
        await asyncio.sleep(0.5)
        assert listed(fleet_state) == ["t1"]

    in_virtual_time(check)


async def test_lost_history_is_replaced_by_a_full_read(reader_of_store):
    """A target leaves while the history is dropped, so no feed reports it."""
    store, fleet_state = reader_of_store
    del store.rows["t1"]
    store.drops_history = frozenset({Table.TARGETS})
    await asyncio.sleep(0.15)
    assert listed(fleet_state) == ["t2"]


async def test_reader_after_an_idle_period_drops_targets_that_left_meanwhile(
    reader_of_store,
):
    """A node is the reader, then idle while another node reads, then the reader again.

    A target left in between. An idle period is no outage: kept for a grace period of
    two seconds, the target would get work long after it left.
    """
    store, fleet_state = reader_of_store
    await make_idle(store)
    del store.rows["t2"]
    fleet_state.update_targets(
        [parse_target("t1", store.rows["t1"])], at(store.version), now_ms()
    )
    store.platform_reader.request_reads(60_000.0, ReadReason.PINGED)
    await asyncio.sleep(0.1)
    assert listed(fleet_state) == ["t1"]


async def test_target_removed_as_the_reads_end_does_not_stay_listed(
    reader_of_store, monkeypatch
):
    """Guards against a reader that goes on from a position of an earlier period, and
    never hears again of a removal before it.
    """
    monkeypatch.setattr(module, "OUTAGE_AFTER_MS", 2_000.0)
    store, fleet_state = reader_of_store
    # Missing entries are kept for a while.
    fleet_state.store_regained_at_ms = now_ms()
    store.feed_s = {Table.TARGETS: 0.1}
    await asyncio.sleep(0.06)
    del store.rows["t2"]
    store.removed.append("t2")
    store.platform_reader._requested_until_ms = 0.0
    await asyncio.sleep(0.15)
    assert not store.platform_reader.active and not store.removed
    store.feed_s = {}
    store.platform_reader.request_reads(60_000.0, ReadReason.PINGED)
    await asyncio.sleep(0.6)
    assert listed(fleet_state) == ["t1"]


def test_entries_not_renewed_after_an_outage_are_dropped_without_a_new_version(
    in_virtual_time,
):
    """The store is back without an entry, and nothing else changes after that.

    The version of the list is the same at the end of the grace period.
    """

    async def check(store, fleet_state):
        store.unreachable = True
        await asyncio.sleep(0.3)
        del store.rows["t2"]
        store.removed = ["t2"]
        store.frozen = True
        store.unreachable = False
        await asyncio.sleep(0.1)
        assert listed(fleet_state) == ["t1", "t2"]
        await asyncio.sleep(0.5)
        assert listed(fleet_state) == ["t1"]

    in_virtual_time(check)


async def test_reader_that_was_cut_off_restores_no_target(reader_of_store):
    """One node loses the store, others continue to read, and a target leaves.

    When the node reaches the store again the entry is missing, as after an outage of
    the store. Kept for two seconds and published, the target would get work from the
    whole fleet ten seconds after it left.
    """
    store, fleet_state = reader_of_store

    async def apply_peers_list():
        peers = [parse_target("t1", store.rows["t1"])]
        fleet_state.update_targets(peers, at(store.version), now_ms())

    store.platform_reader.query_peers = apply_peers_list
    store.unreachable = True
    await asyncio.sleep(0.3)
    del store.rows["t2"]
    store.removed.append("t2")
    lists = []
    fleet_state.add_listener(lambda: lists.append(listed(fleet_state)))
    store.unreachable = False
    await asyncio.sleep(0.2)
    after_peers = lists[lists.index(["t1"]) :]
    assert all(names == ["t1"] for names in after_peers)


def test_second_reader_gives_expired_entries_the_same_grace_period(
    in_virtual_time,
):
    """No node reached the store, and another reader regains it a moment sooner.

    The list that it publishes still holds the expired entries. A reader that concluded
    that there was no outage would drop them all at its first read.
    """

    async def check(store, fleet_state):
        store.unreachable = True
        await asyncio.sleep(0.3)
        expired, store.rows = store.rows, {}
        store.removed = list(expired)

        async def apply_first_readers_list():
            in_force = fleet_state.targets.content
            fleet_state.update_targets(in_force, at(store.version), now_ms())
            fleet_state.store_regained_at_ms = now_ms()

        store.platform_reader.query_peers = apply_first_readers_list
        store.unreachable = False
        await asyncio.sleep(0.15)
        assert listed(fleet_state) == ["t1", "t2"]
        await asyncio.sleep(0.5)
        assert listed(fleet_state) == []

    in_virtual_time(check)


async def test_target_without_an_entry_in_a_peers_list_is_dropped(reader_of_store):
    """Guards against a target that a peer keeps for a while, and that stays listed for
    ever at a reader that adopted its list.
    """
    store, fleet_state = reader_of_store
    gone = parse_target("t3", entry())

    async def apply_peers_list():
        peers = [*fleet_state.targets.content, gone]
        fleet_state.update_targets(peers, at(store.version), now_ms())

    store.platform_reader.query_peers = apply_peers_list
    store.unreachable = True
    await asyncio.sleep(0.3)
    store.unreachable = False
    await asyncio.sleep(0.6)
    assert listed(fleet_state) == ["t1", "t2"]


@pytest.mark.parametrize("last", list(Table))
def test_return_of_the_store_is_reported_once_all_tables_are_read(
    in_virtual_time, monkeypatch, last
):
    """Guards against hosts that wait although a reader reaches the store again."""
    monkeypatch.setattr(module, "STORE_LOST_AFTER_MS", 100.0)

    async def check(store, fleet_state):
        reports = []
        store.platform_reader.on_store_regained = lambda: reports.append(now_ms())
        store.unreachable = True
        await asyncio.sleep(0.3)
        store.unreachable_tables = frozenset({last})
        store.unreachable = False
        await asyncio.sleep(0.2)
        assert not reports
        store.unreachable_tables = frozenset()
        await asyncio.sleep(0.2)
        assert len(reports) == 1

    in_virtual_time(check)


async def test_reader_without_the_store_reports_it(reader_of_store):
    """Guards against nodes that ping this reader until their state is stale.

    They switch to another reader once it reports that it has lost the store.
    """
    store, _ = reader_of_store
    assert not store.platform_reader.is_store_lost
    store.unreachable = True
    await asyncio.sleep(0.8)
    assert store.platform_reader.is_store_lost
    store.unreachable = False
    await asyncio.sleep(0.1)
    assert not store.platform_reader.is_store_lost


async def test_idle_node_does_not_report_the_store_as_lost(reader_of_store):
    """Guards against a node that skips itself as a reader and never tries again.

    Calls that failed before it became idle do not show if the store is reachable now.
    """
    store, _ = reader_of_store
    store.unreachable = True
    await asyncio.sleep(0.8)
    assert store.platform_reader.is_store_lost
    await make_idle(store)
    await asyncio.sleep(0.1)
    assert not store.platform_reader.is_store_lost


async def make_idle(store) -> None:
    store.platform_reader._requested_until_ms = 0.0
    await asyncio.sleep(0.1)
    assert not store.platform_reader.active


async def test_read_of_old_state_is_ignored(reader_of_store):
    """The store loses its history and then returns the state of some seconds ago.

    A target that has since reported that it leaves would get work again, permanently,
    since it reports this only once.
    """
    store, fleet_state = reader_of_store
    before = (dict(store.rows), store.version)
    del store.rows["t2"]
    store.removed.append("t2")
    await asyncio.sleep(0.1)
    assert listed(fleet_state) == ["t1"]
    confirmed_at_ms = fleet_state.targets.confirmed_at_ms
    store.old_state, store.drops_history = before, frozenset({Table.TARGETS})
    await asyncio.sleep(0.15)
    assert listed(fleet_state) == ["t1"]
    assert fleet_state.targets.confirmed_at_ms - confirmed_at_ms < 100
    store.old_state = None
    await asyncio.sleep(0.15)
    assert listed(fleet_state) == ["t1"]
    assert fleet_state.targets.confirmed_at_ms - confirmed_at_ms > 100


async def test_invalid_entry_lists_no_target(reader_of_store):
    store, fleet_state = reader_of_store
    store.rows["t2"] = b"\x00"
    await asyncio.sleep(0.1)
    assert listed(fleet_state) == ["t1"]


async def test_evacuation_begins_and_ends_with_its_row(reader_of_store):
    """Guards against an evacuation that goes unnoticed, or lasts beyond its end."""
    store, fleet_state = reader_of_store
    store.evacuated = {"evacuate/a": b"{}", "evacuate/b": b"not a document", "x": b""}
    await asyncio.sleep(0.1)
    assert fleet_state.evacuated.content == {"a", "b"}
    del store.evacuated["evacuate/a"]
    store.ended_evacuations.append("evacuate/a")
    await asyncio.sleep(0.1)
    assert fleet_state.evacuated.content == {"b"}


async def test_evacuation_that_ends_while_the_history_is_lost_is_over(reader_of_store):
    """Guards against a full read after which a deleted row still counts."""
    store, fleet_state = reader_of_store
    store.evacuated = {"evacuate/a": b"{}"}
    await asyncio.sleep(0.1)
    store.evacuated = {}
    store.drops_history = frozenset({Table.CONFIGURATION})
    await asyncio.sleep(0.1)
    assert fleet_state.evacuated.content == frozenset()
