"""Reload settings on signals that come faster than the settings can be read."""

import asyncio
import os
import signal
from types import SimpleNamespace

from crocusspindle.gateway.reload import LiveBounds, Reload
from crocusspindle.gateway.settings import Bounds
from crocusspindle.platform.settings_file import translate
from tests.platform.test_documents import SETTINGS

SIGNALS = 100


class Source:
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
        return translate(SETTINGS, "file")


async def test_many_signals_are_one_reload():
    """Guards against a node that does nothing but read its settings."""
    source = Source()
    settings = translate(SETTINGS, "file")
    reload = Reload(source, settings, LiveBounds(Bounds()), SimpleNamespace())
    await reload.start()
    for _ in range(SIGNALS):
        os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(5):
        await source.read_again.wait()
    for _ in range(SIGNALS):
        await asyncio.sleep(0)
    assert source.reads == 1
    source.read_again.clear()
    os.kill(os.getpid(), signal.SIGHUP)
    async with asyncio.timeout(5):
        await source.read_again.wait()
    await reload.stop()
    await reload.cancel_tasks()
    asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
