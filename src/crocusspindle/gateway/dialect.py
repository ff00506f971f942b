"""Define the platform's names for headers, paths and responses."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """Hold header names, paths, and the functions that parse and encode their content.

    `target_limit_per_s` reads from a response's headers the requests per second that
    its target accepts from the whole fleet, None if there is no such header. It raises
    ``InvalidInputError`` if the value is not such a number.
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
