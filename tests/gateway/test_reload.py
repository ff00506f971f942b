"""Tests of settings that are read again while the node runs."""

import asyncio
import os
import signal
from types import SimpleNamespace

import pytest

from crocusspindle.gateway.reload import MIN_INTERVAL_S, LiveBounds, Reload
from crocusspindle.gateway.settings import Bounds
from crocusspindle.platform.settings_file import translate
from tests.platform.test_documents import SETTINGS as VALID_SETTINGS

SETTINGS = SimpleNamespace(bounds=Bounds())
SIGNALS = 50
QUEUED_SIGNALS = 100
READ_LIMIT_S = 10


class CountingSource:
    """Count how often settings are read."""

    unsettled_s = 0.0

    def __init__(self) -> None:
        self.reads = 0
        self.read_at_s: list[float] = []

    def read(self):
        """Return the same settings."""
        self.reads += 1
        self.read_at_s.append(asyncio.get_running_loop().time())
        return SETTINGS


@pytest.fixture
def source():
    return CountingSource()


@pytest.fixture
def reload(source, monkeypatch):
    monkeypatch.setattr(
        "crocusspindle.gateway.reload.GatewaySettings",
        SimpleNamespace(__dataclass_fields__={}),
    )
    kernel = SimpleNamespace(drain_ms=0.0)
    return Reload(source, SETTINGS, LiveBounds(Bounds()), kernel)


async def until_read(source, reads: int) -> None:
    async with asyncio.timeout(READ_LIMIT_S):
        while source.reads < reads:
            await asyncio.sleep(0)


async def test_many_signals_are_one_reading(reload, source):
    """Guards against a node that only reads settings while signals come in a row."""
    for _ in range(SIGNALS):
        reload.request()
    await until_read(source, 1)
    for _ in range(SIGNALS):
        reload.request()
        await asyncio.sleep(0)
    await until_read(source, 2)
    # The event loop may call a timer a millisecond early.
    first_s, second_s = source.read_at_s
    assert second_s - first_s >= MIN_INTERVAL_S - 0.002


async def test_settings_that_are_being_written_are_read_later(reload, source):
    """Guards against a reload of a file that is valid and incomplete."""
    source.unsettled_s = 0.001
    reload.request()
    await asyncio.sleep(0.02)
    assert source.reads == 0
    source.unsettled_s = 0.0
    await until_read(source, 1)


class SignalledSource:
    """Count how often the settings are read."""

    has_changed = False
    unsettled_s = 0.0

    def __init__(self) -> None:
        self.reads = 0
        self.read_again = asyncio.Event()

    def read(self):
        """Return the settings."""
        self.reads += 1
        self.read_again.set()
        return translate(VALID_SETTINGS, "file")


async def test_signals_that_are_queued_are_one_reading():
    """Guards against a node that does nothing but read its settings."""
    source = SignalledSource()
    settings = translate(VALID_SETTINGS, "file")
    reload = Reload(source, settings, LiveBounds(Bounds()), SimpleNamespace())
    await reload.start()
    for _ in range(QUEUED_SIGNALS):
        os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(5):
        await source.read_again.wait()
    for _ in range(QUEUED_SIGNALS):
        await asyncio.sleep(0)
    assert source.reads == 1
    source.read_again.clear()
    os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(5):
        await source.read_again.wait()
    await reload.stop()
    await reload.cancel_tasks()
    asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
