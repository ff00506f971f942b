"""Hold one request on its way through the entry."""

from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.configuration import CustomerRule, RouteRule
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.gateway.sender import Outgoing
from crocusspindle.ids import ContentDigest

BODY_BUFFER_BYTES: Final = 1 << 20
"""A body up to this size is here before the request is sent, so that a refused sending
can be repeated; longer ones stream and are sent once."""


@dataclass
class Case:
    """Hold one request on its way, and what its log line tells."""

    request_id: str
    route: RouteRule
    customer: CustomerRule | None
    outgoing: Outgoing
    content: ContentDigest
    began_ms: float
    ends_ms: float
    sends: list[dict[str, object]] = field(default_factory=list)
    tried: set[TargetIdentity] = field(default_factory=set)
    arrived: int = 0
    may_have_run: bool = False
    quota_wait_ms: float = 0.0

    @property
    def body_bytes(self) -> int:
        """Return the length of the body, or of the part that is here."""
        body = self.outgoing.body
        if body is None:
            return 0
        return len(body) if isinstance(body, bytes) else BODY_BUFFER_BYTES

    @property
    def priority(self) -> int:
        """Return the customer's rank, else the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority
