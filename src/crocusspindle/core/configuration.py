"""Hold one version of the fleet's configuration and look up its rules."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from crocusspindle.ids import CustomerId, KeyDigest, ServiceId

LOWEST_PRIORITY: Final = 9


class RequestKind(Enum):
    """Classify the requests of a route by what may be done with them."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"

    @property
    def idempotent(self) -> bool:
        """Return True if a request may run more than once."""
        return self is RequestKind.SAFE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Hold the weight with which a service gets a route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class RouteRule:
    """Hold the services and the limits for requests of a host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    timeout_ms: float
    aim_ms: float
    attempts: int
    priority: int = LOWEST_PRIORITY
    public: bool = False


@dataclass(frozen=True, slots=True)
class CustomerRule:
    """Hold a customer's rate and burst over the fleet; a rate of 0 means no limit."""

    customer: CustomerId
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Hold how long a service's targets are cold, and the rate they tolerate then.

    Without a rate, cold targets have no limit.
    """

    warm_up_ms: float = 0.0
    cold_per_s: float | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the sizes of callers' requests and the time that they may take."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True)
class Configuration:
    """Hold one version of the routes, customers, API keys, limits and services."""

    version: int
    routes: Mapping[str, Mapping[str, RouteRule]]
    customers: Mapping[CustomerId, CustomerRule]
    keys: Mapping[KeyDigest, CustomerId]
    limits: CallerLimits = field(default_factory=CallerLimits)
    services: Mapping[ServiceId, ServiceRule] = field(default_factory=dict)

    def route(self, host: str, path: str) -> RouteRule | None:
        """Return the route of the longest prefix, by one lookup per path segment."""
        prefixes = self.routes.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            rule = prefixes.get(path[: end + 1])
            if rule is not None:
                return rule
        return None

    def customer_of(self, key: str) -> CustomerRule | None:
        """Return the customer that an API key belongs to, None if unknown."""
        customer = self.keys.get(key_digest(key))
        return None if customer is None else self.customers[customer]


def key_digest(key: str) -> KeyDigest:
    """Return the digest that identifies a key; the key itself is not stored."""
    return KeyDigest(hashlib.sha256(key.encode()).digest())


def choose_service(
    weighted_services: tuple[WeightedService, ...], draw: float
) -> ServiceId:
    """Return the service for a draw from [0, 1), in proportion to the weights."""
    total = sum(weighted.weight for weighted in weighted_services)
    point = draw * total
    for weighted in weighted_services:
        point -= weighted.weight
        if point < 0:
            return weighted.service
    return weighted_services[-1].service
