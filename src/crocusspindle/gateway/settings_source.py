"""Read a settings file that another program may be writing."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.errors import SettingsError
from crocusspindle.gateway.settings import GatewaySettings
from crocusspindle.log_lines import Logger, log_state_change

START_WAIT_MS: Final = 10_000.0
"""How long a starting node waits for valid settings. One that ended at once would be
started by its supervisor again and again until the file is whole."""

RETRY_S: Final = 0.1
SETTLE_S: Final = 0.05
"""A file that was changed this recently may be incomplete, yet valid."""


class SettingsSource:
    """Read one settings file, and tell whether it has changed since.

    Parameters
    ----------
    parse
        Reads the file; raises ``SettingsError`` with all findings.
    sleep
        Blocks the thread for some seconds.
    """

    def __init__(
        self,
        path: Path,
        parse: Callable[[Path], GatewaySettings],
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._path = path
        self._parse = parse
        self._sleep = sleep
        self._content: bytes | None = None
        self._log = Logger("settings")

    def read(self) -> GatewaySettings:
        """Read the file; raise ``SettingsError`` with all findings."""
        self._content = self._current_content()
        return self._parse(self._path)

    @property
    def has_changed(self) -> bool:
        """Return True if the file differs from what was last read.

        The time of a file's change is too coarse to tell two quick writes apart.
        """
        return self._current_content() != self._content

    @property
    def unsettled_s(self) -> float:
        """Return how long to wait (s) until the file counts as completely written."""
        try:
            age_s = time.time() - self._path.stat().st_mtime
        except OSError:
            return 0.0
        return SETTLE_S - age_s if 0.0 <= age_s < SETTLE_S else 0.0

    def wait_until_valid(self, until_ms: float) -> GatewaySettings:
        """Read the file, again and again while it is invalid; block the thread.

        Raises ``SettingsError`` if it is still invalid at the deadline.
        """
        reported = ""
        while True:
            try:
                return self.read()
            except SettingsError as error:
                if now_ms() >= until_ms:
                    raise
                if str(error) != reported:
                    reported = str(error)
                    log_state_change(
                        self._log, "waiting for valid settings", findings=reported
                    )
            self._sleep(RETRY_S)

    def _current_content(self) -> bytes | None:
        try:
            return self._path.read_bytes()
        except OSError:
            return None
