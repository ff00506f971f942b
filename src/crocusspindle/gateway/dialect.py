"""Define the platform's names for headers, paths and responses."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """Hold header names, paths, and the functions that parse and encode their content.

    `key` is the header of a caller's API key. A target sets `target_stamp` in each
    successful response, and `not_run` if it did not run the request. Callers discover
    the addresses of nodes at `where_path`: `caller_domain` parses the query, and
    `where_response` encodes the addresses and for how many seconds they are valid.

    `target_limit_per_s` reads from a response's headers the requests per second that
    its target accepts from the whole fleet; it returns None if the header is missing
    and raises ``InvalidInputError`` if its value is not a rate.
    """

    request_id: str
    time_left_ms: str
    key: str
    customer: str
    target_identity: str
    target_stamp: str
    not_run: str
    readiness_path: str
    where_path: str
    target_limit_per_s: Callable[[Mapping[str, str]], float | None]
    caller_domain: Callable[[Mapping[str, str]], str]
    where_response: Callable[[Sequence[str], float], bytes]
