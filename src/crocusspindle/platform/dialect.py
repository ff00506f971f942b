"""Define the platform's headers, paths and responses."""

import json
import math
from collections.abc import Mapping, Sequence
from typing import Final

from crocusspindle.errors import Finding, InvalidInputError
from crocusspindle.gateway.dialect import Dialect

READINESS_PATH: Final = "/-/readiness"
WHERE_PATH: Final = "/-/resolve"
LIMIT_HEADER: Final = "Server-Limit"


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
        target_limit_per_s=_target_limit_per_s,
        caller_domain=_caller_domain,
        where_response=_where_response,
    )


def _target_limit_per_s(headers: Mapping[str, str]) -> float | None:
    text = headers.get(LIMIT_HEADER)
    if text is None:
        return None
    try:
        limit_per_s = float(text)
    except ValueError:
        limit_per_s = math.nan
    if math.isfinite(limit_per_s) and limit_per_s >= 0.0:
        return limit_per_s
    message = f"{text!r} is not a rate in requests per second"
    raise InvalidInputError([Finding("answer", LIMIT_HEADER, message)])


def _caller_domain(query: Mapping[str, str]) -> str:
    return query.get("zone", "")


def _where_response(addresses: Sequence[str], valid_s: float) -> bytes:
    return json.dumps({"addresses": list(addresses), "ttl_s": valid_s}).encode()
