"""Define the types of identifiers used throughout the fleet."""

from typing import Final, NewType

MemberId = NewType("MemberId", str)
"""One process of one node: a restarted node is a new member."""

DomainId = NewType("DomainId", str)
"""A failure domain."""

CustomerId = NewType("CustomerId", str)
NO_CUSTOMER: Final = CustomerId("")
"""The customer of requests that name none."""

ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
"""The ``host:port`` of one target."""

RequestId = NewType("RequestId", int)
"""A request, unique within the node that places it."""

AttemptId = NewType("AttemptId", int)
"""One attempt of a request at one target, unique within a group coordinator."""

OperationKey = NewType("OperationKey", str)
"""The caller's name for one non-idempotent operation."""

TicketNumber = NewType("TicketNumber", int)
ViewNumber = NewType("ViewNumber", int)
KeyDigest = NewType("KeyDigest", bytes)
"""The SHA-256 digest of a customer's key, 32 bytes."""

HostId = NewType("HostId", str)
"""The name of one host, the same after each restart."""

Incarnation = NewType("Incarnation", str)
"""One process on a host; a restart makes a new one."""

ContentDigest = NewType("ContentDigest", str)
"""Digest of a request's content and customer: equal for each repetition of it."""

NO_CONTENT: Final = ContentDigest("")
"""Digest of a request of which only the attempt is known."""

GrantId = NewType("GrantId", int)
"""One granted placement, unique within the placer that made it."""
