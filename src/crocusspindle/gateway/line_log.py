"""Write log lines to standard output without blocking."""

import logging
import os
import time
from typing import Final

import logbook
from logbook.compat import RedirectLoggingHandler

from crocusspindle.log_lines import format_json, redact

LINES_PER_S: Final = 400
"""Several times the peak rate of a node. Lines above it are dropped and counted: a
flood of them must not take processor time from requests."""

STDOUT: Final = 1


class LineHandler(logbook.Handler):  # type: ignore[misc]  # logbook has no types
    """Write one JSON line per record, rate-limited, and count the dropped records."""

    def __init__(self, descriptor: int = STDOUT) -> None:
        super().__init__(level=logbook.INFO)
        self._descriptor = descriptor
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or drop it above the rate or if the write would block."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines = second, 0
        self._lines += 1
        if self._lines > LINES_PER_S:
            self.dropped += 1
            return
        line = format_json(record, self) + "\n"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            # The pipe is full or closed; blocking would stall the node.
            self.dropped += 1


def set_up_lines(descriptor: int = STDOUT) -> LineHandler:
    """Send all log records of the process to a descriptor, without blocking.

    Those of the libraries as well: by default they are written to standard error, and
    the process stands still once a pipe that nothing reads is full.
    """
    os.set_blocking(descriptor, False)
    handler = LineHandler(descriptor)
    setup = logbook.NestedSetup(
        [logbook.NullHandler(), handler, logbook.Processor(redact)]
    )
    setup.push_application()
    logging.getLogger().handlers = [RedirectLoggingHandler()]
    return handler
