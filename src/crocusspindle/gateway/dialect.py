"""Define the platform's names for headers, paths and responses."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from crocusspindle.core.target_signals import TargetSignals


@dataclass(frozen=True)
class Dialect:
    """Hold header names, paths, and the functions that parse and encode their content.

    `key` is the header of a caller's API key. A target sets `target_stamp` in each
    successful response, and `not_run` if it did not run the request. Callers discover
    the addresses of nodes at `where_path`: `caller_domain` parses the query, and
    `where_response` encodes the addresses and for how many seconds they are valid.

    `target_signals` reads from a response's status and headers what they tell of its
    target. Malformed values have no effect; the signals name them.
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
    target_signals: Callable[[int, Mapping[str, str]], TargetSignals]
    caller_domain: Callable[[Mapping[str, str]], str]
    where_response: Callable[[Sequence[str], float], bytes]
