"""Hold the settings of a node that serves on the platform."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from crocusspindle.core.memory_bound import BYTES_PER_MB
from crocusspindle.ids import DomainId, HostId
from crocusspindle.response_bounds import MAX_BODY_BYTES

VIEW_FENCE_FRACTION: Final = 0.6
"""Fraction of the revocation time for which a node may act on a view that is no longer
confirmed. After it, requests with a key need not be served any more, so that a quota
keeper which stops then affects no caller."""

UNITS_PER_CORE: Final = 100.0
"""Units of host capacity per processor core."""

BYTES_PER_MS: Final = 125.0
"""Bytes per millisecond of a link of one Mbit/s."""

DOCUMENTS_LINK_FRACTION: Final = 0.25
"""Fraction of a host's link for documents to other nodes; the rest is for callers, who
connect at the same time."""


@dataclass(frozen=True)
class Bounds:
    """Hold the guarantees that the deployment requires.

    In each `budget_window_ms`, a service's retries are at most the fraction
    `budget_ratio` of its requests plus `budget_extra`. In each `quota_window_ms`, a
    customer gets at most its quota plus the fraction `quota_overshoot` of it plus
    `quota_slack` requests.
    """

    revocation_ms: float = 5_000.0
    grace_ms: float = 6_000.0
    propagation_ms: float = 2_000.0
    where_valid_ms: float = 5_000.0
    budget_ratio: float = 0.2
    budget_window_ms: float = 10_000.0
    budget_extra: float = 50.0
    quota_window_ms: float = 5_000.0
    quota_overshoot: float = 0.1
    quota_slack: float = 20.0
    floor_share: float = 0.7
    fail_closed: bool = True

    @property
    def view_fence_ms(self) -> float:
        """Return how long a node may act on a view after it was last confirmed."""
        return self.revocation_ms * VIEW_FENCE_FRACTION


@dataclass(frozen=True)
class GatewaySettings:
    """Hold a node's addresses, names, capacity and bounds.

    ``memory_mb`` is the memory of the host; if infinite, bodies are not bounded.
    ``file_descriptors`` is how many each process may open.
    ``response_mb`` is the longest body of a target's response.
    """

    host: HostId
    domain: DomainId
    ip: str
    caller_address: str
    ready_address: str
    where_address: str
    peer_port: int
    metrics_port: int
    platform_form: str
    platform: Mapping[str, Any]
    bounds: Bounds = field(default_factory=Bounds)
    link_mbit_s: float = 1_000.0
    cores: float = 1.0
    memory_mb: float = math.inf
    file_descriptors: float = math.inf
    response_mb: float = MAX_BODY_BYTES / BYTES_PER_MB

    @property
    def capacity(self) -> int:
        """Return the capacity of the host in the units of `NodeAddress`."""
        return max(1, round(min(self.link_mbit_s, self.cores * UNITS_PER_CORE)))

    @property
    def max_response_bytes(self) -> float:
        """Return how many bytes a response's body may have."""
        return self.response_mb * BYTES_PER_MB

    @property
    def document_bytes_per_ms(self) -> float:
        """Return the rate limit for documents sent to other nodes."""
        return self.link_mbit_s * BYTES_PER_MS * DOCUMENTS_LINK_FRACTION
