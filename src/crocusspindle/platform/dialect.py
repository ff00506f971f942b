"""Define the platform's headers, paths and responses."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Final

from crocusspindle.core.target_signals import TargetSignals
from crocusspindle.errors import Finding
from crocusspindle.gateway.dialect import Dialect

READINESS_PATH: Final = "/-/readiness"
WHERE_PATH: Final = "/-/resolve"
LIMIT_HEADER: Final = "Server-Limit"
LEAVING_HEADER: Final = "Server-Leaving"
RETRY_AFTER_HEADER: Final = "Retry-After"
SIGNAL_PREFIX: Final = "server-"
KNOWN_SIGNALS: Final = frozenset({LIMIT_HEADER.lower(), LEAVING_HEADER.lower()})
RETRY_AFTER_STATUS: Final = 503
MAX_NUMBER: Final = 1e9
"""Larger values are malformed: they would keep requests from a target for good."""


def dialect() -> Dialect:
    """Return the platform's names for the product's headers, paths and responses."""
    return Dialect(
        request_id="X-Request-Id",
        time_left_ms="X-Deadline-Milliseconds",
        key="X-Api-Key",
        customer="X-Tenant",
        target_identity="X-Expected-Instance",
        target_stamp="X-Server-Stamp",
        not_run="X-Not-Executed",
        readiness_path=READINESS_PATH,
        where_path=WHERE_PATH,
        target_signals=_target_signals,
        caller_domain=_caller_domain,
        where_response=_where_response,
    )


def _target_signals(status: int, headers: Mapping[str, str]) -> TargetSignals:
    refused: list[Finding] = []
    retry_after_s = None
    if status == RETRY_AFTER_STATUS:
        retry_after_s = _parse_number(
            headers, RETRY_AFTER_HEADER, "a time in seconds", refused
        )
    return TargetSignals(
        limit_per_s=_parse_number(
            headers, LIMIT_HEADER, "a rate in requests per second", refused
        ),
        retry_after_ms=None if retry_after_s is None else retry_after_s * 1e3,
        is_leaving=_is_leaving(headers, refused),
        refused=tuple(refused),
        unknown=tuple(
            name
            for name in headers
            if name.lower().startswith(SIGNAL_PREFIX)
            and name.lower() not in KNOWN_SIGNALS
        ),
    )


def _parse_number(
    headers: Mapping[str, str], name: str, meaning: str, refused: list[Finding]
) -> float | None:
    """Return a header's number; add a finding if it is malformed."""
    text = headers.get(name)
    if text is None:
        return None
    # Python's float() also accepts underscores and digits of other scripts.
    try:
        number = float(text) if text.isascii() and "_" not in text else math.nan
    except ValueError:
        number = math.nan
    if 0.0 <= number <= MAX_NUMBER:
        return number
    refused.append(Finding("response", name, f"{text!r} is not {meaning}"))
    return None


def _is_leaving(headers: Mapping[str, str], refused: list[Finding]) -> bool:
    text = headers.get(LEAVING_HEADER)
    if text is not None and text.strip() not in ("0", "1"):
        message = f"{text!r} is neither 0 nor 1"
        refused.append(Finding("response", LEAVING_HEADER, message))
    return text is not None and text.strip() == "1"


def _caller_domain(query: Mapping[str, str]) -> str:
    return query.get("zone", "")


def _where_response(addresses: Sequence[str], valid_s: float) -> bytes:
    return json.dumps({"addresses": list(addresses), "ttl_s": valid_s}).encode()
