"""Define the schema of a node's settings.

Each field's description appears in the settings reference for operators.
"""

from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Final

from pydantic import BaseModel, ConfigDict, Field, model_validator

Port = Annotated[int, Field(ge=0, le=65535)]
PositiveMs = Annotated[float, Field(gt=0, le=86_400_000)]
PositiveInt = Annotated[int, Field(ge=1)]
Fraction = Annotated[float, Field(ge=0, le=1)]
Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]

ADDRESS_PATTERN: Final = r"^(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9.-]+):[0-9]{1,5}$"


class Section(BaseModel):
    """Base class of sections: rejects unknown keys; immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class TlsSettings(Section):
    """Settings of the certificate that a port presents."""

    certificate_file: Path = Field(description="PEM file of the certificate chain.")
    key_file: Path = Field(description="PEM file of the private key.")


class PeerTlsSettings(TlsSettings):
    """Settings of the node's certificate and of the CA of all nodes."""

    ca_file: Path = Field(
        description="PEM file of the CA that signs every node's certificate."
    )


class IdentitySettings(Section):
    """Settings of the node's name and location."""

    name: Name = Field(description="Name of the host, unique within the fleet.")
    domain: Name = Field(description="Failure domain of the host.")
    region: Name = Field(default="local", description="Region of the host.")


class CallerSettings(Section):
    """Settings of the caller port and the limits of its connections."""

    host: str = Field(description="IP address to listen on.")
    port: Port = Field(description="Port to listen on; 0 picks a free one.")
    advertise: str | None = Field(
        default=None,
        pattern=ADDRESS_PATTERN,
        description="The `host:port` given to callers; default: the listen address.",
    )
    tls: TlsSettings | None = Field(default=None, description="TLS of the caller port.")
    max_header_bytes: int = Field(
        default=16_384,
        ge=1024,
        description="Maximum bytes of the request line and of each header line; "
        "above it: 400. A head of more than twice as much: 431.",
    )
    body_buffer_bytes: int = Field(
        default=262_144,
        ge=4096,
        description="Maximum bytes of a body buffered in memory at once.",
    )
    slow_sender_ms: PositiveMs = Field(
        default=15_000,
        description="Maximum time without data within a request; then 408.",
    )
    max_connections: PositiveInt = Field(
        default=2_000,
        description="Maximum number of open caller connections; above it: 503. "
        "Idle ones are closed first, and beyond an eighth more new ones.",
    )
    held_body_bytes: PositiveInt = Field(
        default=67_108_864,
        description="Maximum bytes of all bodies buffered in memory; new ones get 503 "
        "above it, and from three quarters of it if they are longer than 64 KiB.",
    )


class PeerSettings(Section):
    """Settings of the port for the other nodes of the fleet."""

    host: str = Field(description="IP address to listen on, reachable by the peers.")
    port: Port = Field(description="Port to listen on; 0 picks a free one.")
    advertise: str | None = Field(
        default=None,
        pattern=ADDRESS_PATTERN,
        description="The `host:port` given to peers; default: the listen address.",
    )
    tls: PeerTlsSettings | None = Field(
        default=None, description="Mutual TLS between nodes."
    )


class Role(Enum):
    """Role of a principal at the operator port."""

    OPERATOR = "operator"
    OWNER = "owner"
    VIEWER = "viewer"


class Principal(Section):
    """Settings of one user of the operator port."""

    name: Name = Field(description="Name written to the audit trail.")
    role: Role = Field(
        description="`operator` submits tickets, `owner` approves customers for its "
        "services, `viewer` reads."
    )
    services: tuple[str, ...] = Field(
        default=(), description="Services that an owner owns."
    )
    key_sha256: str = Field(
        pattern=r"^[0-9a-f]{64}$",
        description="SHA-256 digest of the operator key, in lower-case hex.",
    )

    @model_validator(mode="after")
    def _check_services(self) -> "Principal":
        if (self.role is Role.OWNER) != bool(self.services):
            raise ValueError(
                "services are required for role owner and forbidden otherwise"
            )
        return self


class OperatorSettings(Section):
    """Settings of the operator port and its principals."""

    host: str = Field(description="IP address to listen on.")
    port: Port = Field(description="Port to listen on; 0 picks a free one.")
    tls: TlsSettings | None = Field(
        default=None, description="TLS of the operator port."
    )
    principals: tuple[Principal, ...] = Field(
        description="The users of the port and their roles; at least one."
    )

    @model_validator(mode="after")
    def _check_unique(self) -> "OperatorSettings":
        if not self.principals:
            raise ValueError("there must be at least one principal")
        if len({p.key_sha256 for p in self.principals}) != len(self.principals):
            raise ValueError("two principals have the same key")
        if len({p.name for p in self.principals}) != len(self.principals):
            raise ValueError("two principals have the same name")
        return self


class MetricsSettings(Section):
    """Settings of the scrape endpoint."""

    host: str = Field(description="IP address to listen on.")
    port: Port = Field(description="Port to listen on; 0 picks a free one.")


class FleetSettings(Section):
    """Settings of the fleet's name and of its nodes' shared key."""

    name: Name = Field(description="Name of the fleet, the same on each node.")
    key_file: Path | None = Field(
        default=None, description="File with the shared key of the nodes."
    )
    key_env: str | None = Field(
        default=None,
        description="Environment variable with that key, instead of a file.",
    )

    @model_validator(mode="after")
    def _check_key(self) -> "FleetSettings":
        if (self.key_file is None) == (self.key_env is None):
            raise ValueError("give exactly one of key_file and key_env")
        return self


class PlatformSettings(Section):
    """Settings of the platform adapter: its name and, beside it, its options."""

    model_config = ConfigDict(extra="allow", frozen=True, hide_input_in_errors=True)

    adapter: str = Field(
        default="http", description="Name of a registered platform adapter."
    )

    @property
    def options(self) -> dict[str, Any]:
        """Return the keys beside ``adapter``, for the adapter's ``from_config``."""
        return dict(self.model_extra or {})


class TimingSettings(Section):
    """Settings of intervals and time limits."""

    heartbeat_ms: PositiveMs = Field(
        default=500, description="Time between heartbeats of a peer connection."
    )
    freshness_ms: PositiveMs = Field(
        default=4_000,
        description="Maximum age of the freshness timestamp of a node that takes new "
        "work.",
    )
    silence_ms: PositiveMs = Field(
        default=5_000,
        description="Time without contact until a member is removed from the view.",
    )
    poll_ms: PositiveMs = Field(
        default=1_000, description="Time between a poller's reads of the ticket log."
    )
    platform_timeout_ms: PositiveMs = Field(
        default=1_000, description="Timeout of a platform call."
    )
    hand_over_ms: PositiveMs = Field(
        default=150,
        description="Maximum wait for a group coordinator to confirm that a request is "
        "queued.",
    )
    where_max_age_ms: PositiveMs = Field(
        default=15_000, description="How long a caller may cache the list of addresses."
    )
    drain_ms: PositiveMs = Field(
        default=20_000,
        description="Maximum time that a planned stop waits for requests.",
    )
    operation_retention_ms: PositiveMs = Field(
        default=3_600_000,
        description="How long the outcome of an operation key is kept.",
    )

    @model_validator(mode="after")
    def _check_order(self) -> "TimingSettings":
        if self.freshness_ms < 2 * self.poll_ms:
            raise ValueError("freshness_ms must be at least twice poll_ms")
        if self.silence_ms <= self.freshness_ms:
            raise ValueError("silence_ms must be above freshness_ms")
        if self.drain_ms < self.where_max_age_ms:
            raise ValueError("drain_ms must be at least where_max_age_ms")
        return self


class LimitSettings(Section):
    """Settings of the limits of load and memory."""

    retry_fraction: Fraction = Field(
        default=0.1, description="Maximum retries, as a fraction of requests."
    )
    hedge_fraction: Fraction = Field(
        default=0.05, description="Maximum hedged requests, as a fraction of requests."
    )
    answer_kept_bytes: PositiveInt = Field(
        default=65_536,
        description="Largest response kept for a repeated operation key.",
    )
    operation_memory_bytes: PositiveInt = Field(
        default=16_777_216,
        description="Maximum memory in bytes for outcomes of operation keys.",
    )
    pollers_per_domain: PositiveInt = Field(
        default=3, description="Nodes of a failure domain that read the ticket log."
    )


class LogFormat(Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(Section):
    """Settings of the log's format and level."""

    format: LogFormat = Field(
        default=LogFormat.TEXT, description="Format of log lines."
    )
    level: LogLevel = Field(
        default=LogLevel.INFO, description="Least severe level logged."
    )


class NodeSettings(Section):
    """All settings of one node."""

    node: IdentitySettings = Field(description="The node and its location.")
    caller: CallerSettings = Field(description="The port for callers.")
    peer: PeerSettings = Field(description="The port for the other nodes.")
    operator: OperatorSettings = Field(description="The port for operators.")
    metrics: MetricsSettings | None = Field(
        default=None, description="The scrape endpoint."
    )
    fleet: FleetSettings = Field(description="Settings common to all nodes.")
    platform: PlatformSettings = Field(description="The platform adapter.")
    timings: TimingSettings = Field(
        default_factory=TimingSettings,
        description="Intervals and time limits.",
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings,
        description="Limits of load and memory.",
    )
    log: LogSettings = Field(default_factory=LogSettings, description="The log.")
    unpack_path: Path | None = Field(
        default=None,
        description="In-memory folder into which the binary unpacks its native parts.",
    )
