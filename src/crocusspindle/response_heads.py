"""Check the heads of responses for what the HTTP library lets pass."""

import re
from collections.abc import Mapping, Sequence
from typing import Final

from aiohttp import HttpVersion11
from aiohttp.http_parser import RawResponseMessage

from crocusspindle.response_bounds import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    ResponseBound,
    ResponseBoundError,
)

STATUSES: Final = INTERIM_STATUSES | FINAL_STATUSES

LINES: Final = re.compile(
    rb"[\r\n]*+HTTP/1\.[01] \d{3}[\t -~\x80-\xff]*+\r?\n"
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t -~\x80-\xff]*+\r?\n)*+"
)
"""Status line and fields: RFC 9110, section 5; RFC 9112, sections 2 to 5. The parser
tells little of other lines: it joins one that begins with a blank to the one before."""

BLANK_LINE: Final = re.compile(rb"\r?\n")
MAX_LOGGED_BYTES: Final = 40

CODINGS: Final[Mapping[bool, Sequence[list[str]]]] = {
    True: ([], ["chunked"]),
    False: ([],),
}
"""Transfer codings of a response, by whether its version has any, to a request
without ``TE``: RFC 9112, sections 6.1 and 7."""


def check_head(message: RawResponseMessage) -> None:
    """Raise ``ResponseBoundError`` for an invalid status or transfer coding."""
    if message.code not in STATUSES:
        raise _malformed(f"status {message.code:03}")
    codings = message.headers.getall("Transfer-Encoding", [])
    allowed = CODINGS[message.version >= HttpVersion11]
    if [coding.strip().lower() for coding in codings] not in allowed:
        raise _malformed(f"transfer codings {codings}")


class HeadText:
    """Hold the bytes of heads, and check their lines."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, part: bytes) -> None:
        """Take bytes before they are parsed."""
        self._parts.append(part)

    def end_head(self) -> None:
        """Check the first head, which the parser has found to be complete.

        Raise ``ResponseBoundError`` if it has a line that is not valid in HTTP/1.
        """
        text = b"".join(self._parts)
        lines = LINES.match(text)
        checked = lines.end() if lines else 0
        blank_line = BLANK_LINE.match(text, checked)
        if lines is None or blank_line is None:
            line = text[checked:].partition(b"\n")[0]
            # Values may be secret.
            raise _malformed(f"line {line.partition(b':')[0][:MAX_LOGGED_BYTES]!r}")
        self._parts = [text[blank_line.end() :]]


def _malformed(text: str) -> ResponseBoundError:
    return ResponseBoundError(ResponseBound.MALFORMED, text)
