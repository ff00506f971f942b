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

MIN_INTERVAL_S: Final = 0.1
"""Least time between two readings of the file."""


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
        self._timer: asyncio.TimerHandle | None = None
        self._next_s = 0.0
        self._log = Logger("reload")

    async def start(self) -> None:
        """Install the signal handler and watch the file."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.request)
        self.spawn(self._watch())

    def request(self) -> None:
        """Read the settings soon, once for all requests until then.

        Signals that come faster than settings are read would take all processor time.
        """
        if self._timer is None:
            wait_s = max(self._next_s - asyncio.get_running_loop().time(), 0.0)
            self._read_after(wait_s)

    def _read_after(self, wait_s: float) -> None:
        self._timer = asyncio.get_running_loop().call_later(wait_s, self._read_settled)

    def _read_settled(self) -> None:
        wait_s = self._source.unsettled_s
        if wait_s > 0.0:
            self._read_after(wait_s)
            return
        self._timer = None
        self._next_s = asyncio.get_running_loop().time() + MIN_INTERVAL_S
        self._reload()

    async def stop(self) -> None:
        """Ignore the signal from now on; without a handler it would end the process."""
        if self._timer is not None:
            self._timer.cancel()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, _ignore_signal)

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            if self._source.has_changed:
                self.request()

    def _reload(self) -> None:
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
