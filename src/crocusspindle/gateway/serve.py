"""Run a node that serves on the platform until it is stopped."""

import os
from collections.abc import Callable
from typing import Final

from crocusspindle import kernel
from crocusspindle.clock import now_ms
from crocusspindle.core.policies import Policies
from crocusspindle.gateway import assembly
from crocusspindle.gateway.line_log import set_up_lines
from crocusspindle.gateway.settings_source import START_WAIT_MS, SettingsSource
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform import dialect, settings_file, table_store

# Importing `table_store` registers its platform.
__all__ = ["serve", "table_store"]

WITHOUT_ENV: Final = "CROCUSSPINDLE_WITHOUT"
"""Comma-separated names of policies to switch off, to compare with a fleet that lacks
them."""


def serve(
    path: str | None, began_ms: float, on_stopped: Callable[[], None] | None = None
) -> None:
    """Serve until a signal stops it; raise ``SettingsError`` with all findings.

    Parameters
    ----------
    began_ms
        Start of this process (ms). A small host takes seconds to load its modules.
    on_stopped
        Called when all services have stopped without a failure.
    """
    settings_path = settings_file.settings_path(path)
    policies = Policies.from_names(os.environ.get(WITHOUT_ENV, ""))
    lines = set_up_lines()
    loading_ms = round(now_ms() - began_ms)
    log_state_change(Logger("serve"), "starting", loading_ms=loading_ms)
    platform_dialect = dialect.dialect()
    source = SettingsSource(settings_path, settings_file.read_settings)
    settings = source.wait_until_valid(now_ms() + START_WAIT_MS)
    kernel.run(
        lambda: assembly.build(
            source, settings, platform_dialect, lines, policies, began_ms
        ),
        on_stopped,
    )
