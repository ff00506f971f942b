"""Hold the state of one request while it is served."""

from dataclasses import dataclass, field, replace
from typing import Final

from crocusspindle.core.configuration import CustomerRule, RouteRule
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.gateway.hand_over_headers import HandedOver
from crocusspindle.gateway.placing import Placement
from crocusspindle.gateway.target_client import OutgoingRequest
from crocusspindle.ids import ContentDigest

BODY_BUFFER_BYTES: Final = 1 << 20
"""Bodies up to this size are buffered before the request is sent, so that a refused
attempt can be retried. Longer bodies are streamed and sent once."""


@dataclass
class RequestContext:
    """Hold one request, its attempts and the fields of its log line.

    ``handed_over`` is set if another node handed the request over to this one.
    ``streamed_bytes`` is the length of a body that is streamed, or what is known of it.
    ``unusual`` has the attempts whose responses had an unusual body.
    """

    request_id: str
    route: RouteRule
    customer: CustomerRule | None
    outgoing: OutgoingRequest
    content: ContentDigest
    began_ms: float
    deadline_ms: float
    unusual: list[Placement] = field(default_factory=list)
    attempt_records: list[dict[str, object]] = field(default_factory=list)
    tried_targets: set[TargetIdentity] = field(default_factory=set)
    running_attempts: int = 0
    arrived_attempts: int = 0
    may_have_run: bool = False
    may_have_arrived: bool = False
    quota_wait_ms: float = 0.0
    token_returned: bool = False
    caller_key: str | None = None
    handed_over: HandedOver | None = None
    streamed_bytes: int = BODY_BUFFER_BYTES
    _dropped_bytes: int = 0

    @property
    def certainly_not_run(self) -> bool:
        """Return True if no target runs the request or may have run it."""
        return self.running_attempts == 0 and not self.may_have_run

    @property
    def certainly_not_arrived(self) -> bool:
        """Return True if the request has reached no target and no other node.

        A target that refused it has still spent work on it, and another node may have
        sent it to such a target.
        """
        return self.certainly_not_run and not self.may_have_arrived

    @property
    def body_bytes(self) -> int:
        """Return the length of the body, or ``streamed_bytes`` if it is streamed."""
        body = self.outgoing.body
        if body is None:
            return self._dropped_bytes
        return len(body) if isinstance(body, bytes) else self.streamed_bytes

    def drop_body(self) -> None:
        """Free the body once no further attempt can need it."""
        self._dropped_bytes = self.body_bytes
        self.outgoing = replace(self.outgoing, body=None)
        self.outgoing.memory.release_body()

    def release(self) -> None:
        """Free all that the request holds."""
        self.drop_body()
        self.outgoing.memory.release()

    @property
    def priority(self) -> int:
        """Return the customer's priority if it has one, else the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
