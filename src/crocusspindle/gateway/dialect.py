"""Define which words a platform has to give for what the product says."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Dialect:
    """Hold header names, paths and the form of the answer to where to connect.

    `target_limit_per_s` reads from an answer's headers how many requests a second its
    target takes from the whole fleet, None if it says nothing; it raises
    ``InvalidInputError`` for what is no such number.
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
    where_answer: Callable[[Sequence[str], float], bytes]
