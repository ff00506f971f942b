"""Name the identifiers that travel through the fleet."""

from typing import Final, NewType

MemberId = NewType("MemberId", str)
"""One start of one node: a restarted node is a new member."""

DomainId = NewType("DomainId", str)
"""A failure domain."""

CustomerId = NewType("CustomerId", str)
ServiceId = NewType("ServiceId", str)
TargetId = NewType("TargetId", str)
"""The ``host:port`` of one target."""

RequestId = NewType("RequestId", int)
"""A request, unique within the node that drives the deciding core."""

AttemptId = NewType("AttemptId", int)
"""One sending of a request to one target, unique within a home."""

OperationKey = NewType("OperationKey", str)
"""The caller's name for one non-idempotent operation."""

TicketNumber = NewType("TicketNumber", int)
ViewNumber = NewType("ViewNumber", int)
KeyDigest = NewType("KeyDigest", bytes)
"""The SHA-256 digest of a customer's key, 32 bytes."""

HostId = NewType("HostId", str)
"""The name of one host, the same over all its starts."""

Incarnation = NewType("Incarnation", str)
"""One start of the process on a host."""

ContentDigest = NewType("ContentDigest", str)
"""What a request asks and for whom: equal for each time that a caller repeats it."""

NO_CONTENT: Final = ContentDigest("")
"""Stands for a request of which only its sending is known."""

GrantId = NewType("GrantId", int)
"""One placement, unique within the placer that made it."""
