"""Apply changed settings while the node runs."""

import asyncio
import signal
from typing import ClassVar, Final

from crocusspindle.errors import SettingsError
from crocusspindle.gateway.settings import Bounds, GatewaySettings
from crocusspindle.gateway.settings_source import SettingsSource
from crocusspindle.kernel import Kernel, Service
from crocusspindle.log_lines import Logger, log_state_change

FILE_CHECK_INTERVAL_S: Final = 2.0
"""Interval of checks of the file, which may change without a signal."""


class LiveBounds:
    """Hold the bounds in force."""

    def __init__(self, bounds: Bounds) -> None:
        self.current = bounds


class Reload(Service):
    """Read the settings again on SIGHUP and when their file has changed.

    Most bounds apply at once. The view fence and the quota window apply at the next
    start, as do the node's addresses and names and the memory bound. The retry budget
    and the floor share of a service are read when this node first uses them.
    Invalid settings are ignored: a node that stopped over a half-written file would
    drop its callers.
    """

    name: ClassVar[str] = "reload"

    def __init__(
        self,
        source: SettingsSource,
        settings: GatewaySettings,
        bounds: LiveBounds,
        kernel: Kernel,
    ) -> None:
        self._source = source
        self._settings = settings
        self._bounds = bounds
        self._kernel = kernel
        self._is_due = False
        self._log = Logger("reload")

    async def start(self) -> None:
        """Install the signal handler and watch the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self.spawn(self._watch())

    async def stop(self) -> None:
        """Ignore the signal from now on; without a handler it would end the process."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _ignore_signal)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            if self._source.has_changed:
                self._reload()

    def _reload(self) -> None:
        # Signals may come faster than the file can be read.
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._read)

    def _read(self) -> None:
        wait_s = self._source.unsettled_s
        if wait_s > 0.0:
            asyncio.get_running_loop().call_later(wait_s, self._read)
            return
        self._is_due = False
        try:
            settings = self._source.read()
        except SettingsError as error:
            log_state_change(self._log, "settings refused", findings=str(error))
            return
        changed = [
            name
            for name in GatewaySettings.__dataclass_fields__
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._bounds.current = settings.bounds
        self._kernel.drain_ms = settings.bounds.grace_ms
        log_state_change(self._log, "settings read again", changed=changed)


def _ignore_signal() -> None:
    """Do nothing."""
