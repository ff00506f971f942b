"""Configure logging from the settings, as text or JSON."""

import sys
from typing import Final, TextIO

import logbook

from crocusspindle.log_lines import format_json, record_fields, redact
from crocusspindle.settings_schema import LogFormat, LogSettings


def set_up_logs(
    settings: LogSettings, stream: TextIO | None = None
) -> logbook.NestedSetup:
    """Log the whole process to a stream, by default stderr.

    The returned setup's ``pop_application`` undoes it.
    """
    handler = logbook.StreamHandler(
        stream or sys.stderr, level=settings.level.value.upper()
    )
    handler.formatter = _FORMATTERS[settings.format]
    setup = logbook.NestedSetup(
        [logbook.NullHandler(), handler, logbook.Processor(redact)]
    )
    setup.push_application()
    return setup


def _format_text(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields = record_fields(record)
    head = " ".join(
        str(fields.pop(name)) for name in ("time", "level", "logger", "message")
    )
    tail = "".join(f" {name}={value}" for name, value in fields.items())
    text = head + tail
    return f"{text}\n{record.formatted_exception}" if record.exc_info else text


_FORMATTERS: Final = {LogFormat.JSON: format_json, LogFormat.TEXT: _format_text}
