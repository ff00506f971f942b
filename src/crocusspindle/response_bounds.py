"""Bound what a target may send in a response."""

from dataclasses import dataclass
from enum import Enum
from typing import Final

import aiohttp

MAX_INTERIM: Final = 16
"""Interim responses (1xx) before the response to a request."""

MAX_HEAD_BYTES: Final = 65_536
"""Bytes up to the end of a response's head, with all interim responses."""

MAX_FRAMING_BYTES: Final = 65_536
"""Bytes of a response that are part of neither its head nor its body: sizes and
extensions of chunks, trailers, and what follows its end."""

FRAMING_FACTOR: Final = 16
"""The same for each byte of the body, which may come in chunks of a byte."""

INTERIM_STATUSES: Final = frozenset(range(100, 200)) - {101}
FINAL_STATUSES: Final = frozenset(range(200, 600))
"""RFC 9110, section 15. No request asks for 101."""

SLICE_BYTES: Final = 4_096
"""Bytes of a head that are parsed at a time. They may hold a hundred messages."""

MAX_BODY_BYTES: Final = 128_000_000
"""Bytes of a response's body, unless the settings name another bound."""


class ResponseBound(Enum):
    """Name a bound on responses, as in logs and metrics.

    - ``INTERIM``: too many interim responses.
    - ``HEAD``: too many bytes up to the end of the head.
    - ``FRAMING``: too many bytes beside head and body.
    - ``PARSER``: bytes that the HTTP library refuses: a line or field that is too long,
      too many fields, or no response at all.
    - ``MALFORMED``: a head that the library lets pass and that no valid response has.
    - ``BODY_BYTES``: a body of too many bytes, declared or sent.
    - ``BODY_TIME``: a body that did not end by the request's deadline.
    - ``BODY_UNUSUAL``: a body without a length, longer by far than any of its service.
    """

    INTERIM = "interim"
    HEAD = "head"
    FRAMING = "framing"
    PARSER = "parser"
    MALFORMED = "malformed"
    BODY_BYTES = "body-bytes"
    BODY_TIME = "body-time"
    BODY_UNUSUAL = "body-unusual"


class ResponseBoundError(aiohttp.ClientError):
    """Report a response that exceeds a bound."""

    def __init__(self, bound: ResponseBound, text: str) -> None:
        super().__init__(text)
        self.bound = bound


@dataclass(slots=True)
class ResponseBounds:
    """Count what a connection has received for one response.

    ``has_head`` is True once the head of the response is complete.
    """

    has_head: bool = False
    _interim: int = 0
    _head_bytes: int = 0
    _rest_bytes: int = 0

    def add_message(self, status: int) -> None:
        """Count a head; raise ``ResponseBoundError`` for too many interim ones."""
        if status not in INTERIM_STATUSES:
            self.has_head = True
            return
        self._interim += 1
        if self._interim > MAX_INTERIM:
            raise ResponseBoundError(
                ResponseBound.INTERIM, f"more than {MAX_INTERIM} interim responses"
            )

    def add_head(self, received: int) -> None:
        """Count bytes before the end of the head; raise ``ResponseBoundError``."""
        self._head_bytes += received
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ResponseBoundError(
                ResponseBound.HEAD, f"head of more than {MAX_HEAD_BYTES} bytes"
            )

    def add_rest(self, received: int, body_bytes: int) -> None:
        """Count bytes after the head; raise ``ResponseBoundError``.

        ``body_bytes`` is how much of the body has arrived.
        """
        self._rest_bytes += received
        framing_bytes = self._rest_bytes - body_bytes
        if framing_bytes > MAX_FRAMING_BYTES + FRAMING_FACTOR * body_bytes:
            raise ResponseBoundError(
                ResponseBound.FRAMING, f"{framing_bytes} bytes beside the body"
            )
