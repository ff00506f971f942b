"""Define the configuration given by change tickets and the platform's host list.

Times named ``now_ms`` and deadlines are milliseconds of the process's own
monotonic clock, unless a name says ``unix``.
"""

from dataclasses import dataclass
from enum import Enum

from crocusspindle.ids import CustomerId, DomainId, KeyDigest, ServiceId, TargetId


class TargetState(Enum):
    """Name the state of a target in the host list; a leaving one gets no new work."""

    LIVE = "live"
    LEAVING = "leaving"


class KeyState(Enum):
    """Name the state of a customer's key; a withdrawn one may not be used."""

    ACTIVE = "active"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True, slots=True)
class Target:
    """Describe one target of a service as in the host list.

    ``slots`` is the number that the list states; the fleet learns the actual one.
    """

    target: TargetId
    service: ServiceId
    domain: DomainId
    slots: int
    state: TargetState = TargetState.LIVE


@dataclass(frozen=True, slots=True)
class Customer:
    """Hold the rate and burst of one customer over the whole fleet.

    ``weight`` is the customer's weight in fair queueing.
    """

    customer: CustomerId
    rate_per_s: float
    burst: int
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class CustomerKey:
    """Assign a key, known only by its digest, to a customer."""

    digest: KeyDigest
    customer: CustomerId
    state: KeyState = KeyState.ACTIVE


@dataclass(frozen=True, slots=True)
class Route:
    """Map a path prefix to a service.

    Requests of methods outside ``idempotent_methods`` run at most once.
    """

    prefix: str
    service: ServiceId
    idempotent_methods: frozenset[str] = frozenset({"GET", "HEAD", "OPTIONS"})


@dataclass(frozen=True, slots=True)
class Service:
    """Hold the settings of one service.

    ``floor_fraction`` of the service's capacity is never ejected.
    """

    service: ServiceId
    floor_fraction: float = 0.5
    timeout_ms: float = 10_000.0
    hedge: bool = True


@dataclass(frozen=True, slots=True)
class Approval:
    """Record that a service's owner allows a customer to call it."""

    service: ServiceId
    customer: CustomerId
    approved_by: str
