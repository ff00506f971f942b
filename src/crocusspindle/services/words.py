"""Put refusals and failures into words for callers."""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from aiohttp import web

from crocusspindle.clock import now_ms
from crocusspindle.core.decisions import Outcome
from crocusspindle.services.handed_over import GivenUp

OUTCOME: Final = "Crocusspindle-Outcome"
RETRY_AFTER_MS: Final = "Crocusspindle-Retry-After-Ms"
RAN: Final = "ran"
REPEATED: Final = "Crocusspindle-Repeated-Answer"

OUTCOME_WORDS: Final[Mapping[Outcome | None, str]] = {
    None: RAN,
    Outcome.NOT_RUN: "not-run",
    Outcome.UNKNOWN: "unknown",
}


@dataclass(frozen=True)
class Word:
    """Hold the final word on a request that gets no target's answer."""

    status: int
    reason: str
    detail: str
    outcome: Outcome | None = Outcome.NOT_RUN
    """None says that the request ran."""
    retry_at_ms: float | None = None
    headers: Mapping[str, str] = field(default_factory=dict)

    def response(self, request: str) -> web.Response:
        """Return the HTTP response, with when to come back if that helps."""
        content: dict[str, Any] = {
            "outcome": OUTCOME_WORDS[self.outcome],
            "reason": self.reason,
            "detail": self.detail,
            "request": request,
        }
        headers = {OUTCOME: OUTCOME_WORDS[self.outcome], **self.headers}
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
    """End the handling of a request with a word to its caller."""

    def __init__(self, word: Word) -> None:
        super().__init__(word.detail)
        self.word = word


STATUS_BY_REASON: Final[Mapping[str, int]] = {
    "operation-key-reused": 422,
    "operation-in-progress": 409,
}


def given_up_word(given_up: GivenUp) -> Word:
    """Return the word for a request that the fleet gave up."""
    if given_up.outcome is Outcome.NOT_RUN:
        return Word(
            status=STATUS_BY_REASON.get(given_up.reason, 503),
            reason=given_up.reason,
            detail="the request was not run; it may be sent again",
            retry_at_ms=given_up.retry_at_ms,
        )
    return Word(
        status=STATUS_BY_REASON.get(given_up.reason, 504),
        reason=given_up.reason,
        detail="the request may have run; repeat it only with its Idempotency-Key",
        outcome=Outcome.UNKNOWN,
        retry_at_ms=given_up.retry_at_ms,
    )


UNAUTHENTICATED: Final = Word(
    401,
    "key",
    "the key is missing, unknown or withdrawn",
    headers={"WWW-Authenticate": "Bearer"},
)
INTERNAL: Final = Word(
    500,
    "internal",
    "the node failed; the request may have run",
    outcome=Outcome.UNKNOWN,
)
ANSWER_NOT_KEPT: Final = Word(
    410,
    "answer-not-kept",
    "the operation ran once; its answer was too long to keep",
    outcome=None,
)
NO_ROUTE: Final = Word(404, "route", "no service is reached by this path")
NOT_APPROVED: Final = Word(403, "approval", "the service's owner has not approved you")
SLOW_SENDER: Final = Word(408, "slow-sender", "the body did not arrive in time")
CUT_SENDER: Final = Word(400, "body-cut", "the body ended early")
BAD_TIMEOUT: Final = Word(
    400, "timeout", "Crocusspindle-Timeout-Ms must be a number of ms above 0"
)
BAD_OPERATION_KEY: Final = Word(
    400, "operation-key", "Idempotency-Key must have 1 to 200 visible characters"
)
TOO_MANY_CONNECTIONS: Final = Word(
    503, "connections", "this node has too many connections; use another address"
)
