"""Call a store that is restored from a copy between calls."""

import pytest
from aiohttp import web

from crocusspindle.core.store_version import (
    FIRST_ERA,
    UNKNOWN_ERA,
    StoreVersion,
    absent_row,
)
from crocusspindle.errors import PlatformUnavailableError, PlatformUnknownError
from crocusspindle.platform.fleet_platform import HistoryLostError, Table
from crocusspindle.platform.table_store import TableStore
from crocusspindle_standins.on_platform.store import StoreMode
from crocusspindle_standins.on_platform.store import TableStore as StandIn


@pytest.fixture
async def stand_in():
    store = StandIn()
    runner = web.AppRunner(store.app())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    store.address = f"127.0.0.1:{site.port}"
    yield store
    await runner.cleanup()


@pytest.fixture
async def client(stand_in):
    made = TableStore(stand_in.address)
    yield made
    await made.close()


async def test_versions_have_the_era_of_the_response(stand_in, client):
    assert client.era == UNKNOWN_ERA
    await stand_in.put("servers", "t1", b"{}")
    before = await client.read(Table.TARGETS)
    assert before.version == before.rows[0].version == StoreVersion(1, 1)
    await stand_in.restore(stand_in.copy())
    after = await client.read(Table.TARGETS)
    assert after.version == StoreVersion(2, 1) and client.era == 2


@pytest.mark.parametrize("era", [None, -1, "", "1e3", "9" * 40])
async def test_a_store_that_names_no_valid_era_has_one(stand_in, client, era):
    stand_in.era = era
    changes = await client.read(Table.TARGETS)
    assert changes.version == StoreVersion(FIRST_ERA, 0)


async def test_a_refusal_tells_the_era_too(stand_in, client):
    stand_in.era, stand_in.mode = 5, StoreMode.BUSY
    with pytest.raises(PlatformUnavailableError):
        await client.read(Table.TARGETS)
    assert client.era == 5


@pytest.mark.parametrize("lost_versions", [0, 1, 3])
async def test_a_feed_does_not_go_on_from_a_version_of_another_era(
    stand_in, client, lost_versions
):
    """Guards against changes under versions that were given out again."""
    await stand_in.put("servers", "t1", b"{}")
    copy = stand_in.copy()
    for _ in range(lost_versions):
        await stand_in.put("servers", "t2", b"{}")
    followed = (await client.read(Table.TARGETS)).version
    await stand_in.restore(copy)
    for _ in range(lost_versions):
        await stand_in.put("servers", "t3", b"{}")
    with pytest.raises(HistoryLostError):
        await client.follow(Table.TARGETS, followed, 10.0)


async def test_a_condition_of_another_era_is_a_conflict(stand_in, client):
    """Guards against a condition that names a version given out again."""
    written = await client.put("view", b"first", absent_row(UNKNOWN_ERA))
    assert written is None
    await client.read(Table.FLEET)
    written = await client.put("view", b"first", absent_row(1))
    assert written == StoreVersion(1, 1)
    await stand_in.restore(stand_in.copy())
    assert await client.put("view", b"unseen restore", written) is None
    assert client.era == 2
    assert await client.put("view", b"known restore", written) is None
    newest = (await client.read(Table.FLEET)).rows[0]
    assert newest.value != b"known restore"
    assert await client.put("view", b"second", newest.version) is not None


async def test_a_late_response_of_an_older_era_counts_for_nothing(stand_in, client):
    """Guards against rows and acknowledgements that a restore has undone."""
    stand_in.era = 2
    await client.read(Table.FLEET)
    stand_in.era = 1
    with pytest.raises(PlatformUnavailableError):
        await client.read(Table.TARGETS)
    with pytest.raises(PlatformUnknownError):
        await client.put("host/a", b"", None)
