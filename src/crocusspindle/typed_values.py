"""Check values that other programs wrote, and return them with their types.

Python accepts values that no message between nodes can carry: texts cut within a
surrogate pair, whole numbers of any length, numbers that aren't finite. They are found
where they are read, not where they are encoded.
"""

import json
import re
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgpack

from crocusspindle.errors import MalformedError

MAX_TEXT_LENGTH: Final = 255
MAX_WHOLE: Final = (1 << 53) - 1
"""Largest whole number that every JSON and msgpack implementation holds exactly."""

_CONTROL: Final = re.compile(r"[\x00-\x1f\x7f]")
_SURROGATE: Final = re.compile(r"[\ud800-\udfff]")


def decode_json(data: bytes | str) -> Any:
    """Decode a JSON document; raise ``MalformedError`` if it can't be decoded."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise MalformedError(f"not JSON: {error}") from error


def decode_msgpack(data: bytes) -> Any:
    """Decode a msgpack document; raise ``MalformedError`` if it can't be decoded."""
    try:
        return msgpack.unpackb(data)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
        raise MalformedError(f"not msgpack: {error!r}") from error


def as_mapping(value: Any) -> Mapping[str, Any]:
    """Return a table; raise ``MalformedError`` for another value."""
    if not isinstance(value, Mapping):
        raise MalformedError(f"is no table but {_type_name(value)}")
    return value


def as_sequence(value: Any, length: int | None = None) -> Sequence[Any]:
    """Return a list, of ``length`` if given; raise ``MalformedError`` otherwise."""
    if not isinstance(value, list | tuple):
        raise MalformedError(f"is no list but {_type_name(value)}")
    if length is not None and len(value) != length:
        raise MalformedError(f"has {len(value)} items instead of {length}")
    return value


def as_text(value: Any, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a text that can be encoded and has no control characters.

    Raise ``MalformedError`` for another value, an empty text, or more than
    ``max_length`` characters.
    """
    if not isinstance(value, str):
        raise MalformedError(f"is no text but {_type_name(value)}")
    if not 0 < len(value) <= max_length:
        raise MalformedError(f"has {len(value)} characters, not 1 to {max_length}")
    if _CONTROL.search(value):
        raise MalformedError("has control characters")
    if not is_encodable(value):
        raise MalformedError("has half of a surrogate pair")
    return value


def is_encodable(text: str) -> bool:
    """Return True if a text can be encoded as UTF-8."""
    return _SURROGATE.search(text) is None


def as_whole(value: Any, least: int = 0, most: int = MAX_WHOLE) -> int:
    """Return a whole number; raise ``MalformedError`` if it isn't within the bounds."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedError(f"is no whole number but {_type_name(value)}")
    if not least <= value <= most:
        raise MalformedError(f"is not within {least} to {most}")
    return value


def as_number(value: Any, least: float = 0.0, most: float = float(MAX_WHOLE)) -> float:
    """Return a number; raise ``MalformedError`` if it isn't within the bounds."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"is no number but {_type_name(value)}")
    if not least <= value <= most:
        raise MalformedError(f"is not within {least:g} to {most:g}")
    return float(value)


def as_flag(value: Any) -> bool:
    """Return a truth value; raise ``MalformedError`` for another value."""
    if not isinstance(value, bool):
        raise MalformedError(f"is neither true nor false but {_type_name(value)}")
    return value


def _type_name(value: Any) -> str:
    return type(value).__name__
