"""Format log lines as fields or JSON, and redact secrets."""

import json
import re
from collections.abc import Mapping
from typing import Any, Final

import logbook

Logger = logbook.Logger

REDACTED: Final = "[redacted]"
_SECRET_NAME: Final = re.compile(
    r"(^|[_-])(key|authorization|secret|token|password)$", re.IGNORECASE
)
_SECRET_TEXT: Final = re.compile(r"(?i)\bbearer\s+\S+")


def log_state_change(logger: logbook.Logger, change: str, /, **fields: Any) -> None:
    """Log one line for a state change, with its fields."""
    logger.info(change, extra=fields)


def redact(record: logbook.LogRecord) -> None:
    """Redact bearer keys and the values of fields named like a secret.

    A key in a log outlives its withdrawal and is exposed to all readers of logs.
    """
    record.msg = _redacted("msg", record.msg)
    for name, value in list(record.extra.items()):
        record.extra[name] = _redacted(name, value)


def _redacted(name: str, value: Any) -> Any:
    if _SECRET_NAME.search(name):
        return REDACTED
    if isinstance(value, Mapping):
        return {str(key): _redacted(str(key), item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [_redacted("", item) for item in value]
    if isinstance(value, str):
        return _SECRET_TEXT.sub(f"Bearer {REDACTED}", value)
    return value


def record_fields(record: logbook.LogRecord) -> dict[str, Any]:
    """Return the fields of a record's log line."""
    return {
        "time": record.time.isoformat(timespec="milliseconds") + "Z",
        "level": record.level_name.lower(),
        "logger": record.channel,
        "message": record.message,
        **record.extra,
    }


def format_json(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    """Return a record as one line of JSON."""
    fields = record_fields(record)
    if record.exc_info:
        fields["exception"] = record.formatted_exception
    return json.dumps(fields, default=str, separators=(",", ":"))
