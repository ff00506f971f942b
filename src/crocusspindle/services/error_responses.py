"""Build the responses to refused and failed requests."""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from aiohttp import web

from crocusspindle.clock import now_ms
from crocusspindle.core.decisions import Outcome
from crocusspindle.services.handed_over_request import RequestFailure

OUTCOME: Final = "Crocusspindle-Outcome"
RETRY_AFTER_MS: Final = "Crocusspindle-Retry-After-Ms"
RAN: Final = "ran"
REPEATED_RESPONSE: Final = "Crocusspindle-Repeated-Answer"

OUTCOME_TEXTS: Final[Mapping[Outcome | None, str]] = {
    None: RAN,
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}


@dataclass(frozen=True)
class ErrorResponse:
    """Describe the response to a request that gets no target's response."""

    status: int
    reason: str
    detail: str
    outcome: Outcome | None = Outcome.NOT_RUN
    """None means that the request ran."""
    retry_at_ms: float | None = None
    headers: Mapping[str, str] = field(default_factory=dict)

    def response(self, request: str) -> web.Response:
        """Return the HTTP response, with the retry time if there is one."""
        content: dict[str, Any] = {
            "outcome": OUTCOME_TEXTS[self.outcome],
            "reason": self.reason,
            "detail": self.detail,
            "request": request,
        }
        headers = {OUTCOME: OUTCOME_TEXTS[self.outcome], **self.headers}
        if self.retry_at_ms is not None:
            wait_ms = max(1, math.ceil(self.retry_at_ms - now_ms()))
            content["retry_after_ms"] = wait_ms
            headers[RETRY_AFTER_MS] = str(wait_ms)
            headers["Retry-After"] = str(math.ceil(wait_ms / 1e3))
        return web.Response(
            status=self.status,
            text=json.dumps(content),
            content_type="application/json",
            headers=headers,
        )


class RefusedError(Exception):
    """End the handling of a request with an error response to its caller."""

    def __init__(self, error_response: ErrorResponse) -> None:
        super().__init__(error_response.detail)
        self.error_response = error_response


STATUS_BY_REASON: Final[Mapping[str, int]] = {
    "operation-key-reused": 422,
    "operation-in-progress": 409,
}


def failure_response(failure: RequestFailure) -> ErrorResponse:
    """Return the error response to a request that the fleet refused or failed."""
    if failure.outcome is Outcome.NOT_RUN:
        return ErrorResponse(
            status=STATUS_BY_REASON.get(failure.reason, 503),
            reason=failure.reason,
            detail="the request was not run; it may be sent again",
            retry_at_ms=failure.retry_at_ms,
        )
    return ErrorResponse(
        status=STATUS_BY_REASON.get(failure.reason, 504),
        reason=failure.reason,
        detail="the request may have run; repeat it only with its Idempotency-Key",
        outcome=Outcome.UNKNOWN,
        retry_at_ms=failure.retry_at_ms,
    )


UNAUTHENTICATED: Final = ErrorResponse(
    401,
    "key",
    "the key is missing, unknown or withdrawn",
    headers={"WWW-Authenticate": "Bearer"},
)
INTERNAL: Final = ErrorResponse(
    500,
    "internal",
    "the node failed; the request may have run",
    outcome=Outcome.UNKNOWN,
)
RESPONSE_NOT_KEPT: Final = ErrorResponse(
    410,
    "answer-not-kept",
    "the operation ran once; its answer was too long to keep",
    outcome=None,
)
NO_ROUTE: Final = ErrorResponse(404, "route", "no service is reached by this path")
NOT_APPROVED: Final = ErrorResponse(
    403, "approval", "the service's owner has not approved you"
)
SLOW_SENDER: Final = ErrorResponse(
    408, "slow-sender", "the body did not arrive in time"
)
BODY_MEMORY: Final = ErrorResponse(
    503, "memory", "this node holds too many bodies; use another address"
)
TRUNCATED_BODY: Final = ErrorResponse(400, "body-cut", "the body ended early")
BAD_TIMEOUT: Final = ErrorResponse(
    400, "timeout", "Crocusspindle-Timeout-Ms must be a number of ms above 0"
)
BAD_OPERATION_KEY: Final = ErrorResponse(
    400, "operation-key", "Idempotency-Key must have 1 to 200 visible characters"
)
TOO_MANY_CONNECTIONS: Final = ErrorResponse(
    503, "connections", "this node has too many connections; use another address"
)
