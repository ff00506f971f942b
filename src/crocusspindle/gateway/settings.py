"""Hold the settings of a node that serves on the platform."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from crocusspindle.ids import DomainId, HostId

VIEW_FENCE_PART: Final = 0.6
"""The part of the time to a withdrawal's end after which requests with a key are no
longer owed: a quota keeper that stops then costs no caller."""

HUNDREDTHS: Final = 100.0
"""What a core is, in the unit in which hosts tell what they carry."""

BYTES_PER_MS: Final = 125.0
"""What a link of one Mbit/s carries."""

CONTENTS_LINK_PART: Final = 0.25
"""The part of a host's link that lists for other nodes may take; the rest is for
callers, who come at the same time."""


@dataclass(frozen=True)
class Bounds:
    """Hold the promises that the deployment asks for."""

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
        """Return how long a node may act on a view after its proof began."""
        return self.revocation_ms * VIEW_FENCE_PART


@dataclass(frozen=True)
class GatewaySettings:
    """Hold where a node listens, what it is called, and its bounds."""

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

    @property
    def capacity(self) -> int:
        """Return what the host can carry, as `NodeAddress` counts it."""
        return max(1, round(min(self.link_mbit_s, self.cores * HUNDREDTHS)))

    @property
    def contents_bytes_per_ms(self) -> float:
        """Return how many bytes of whole lists may leave for other nodes."""
        return self.link_mbit_s * BYTES_PER_MS * CONTENTS_LINK_PART
