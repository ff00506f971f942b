"""Define the schema of a node's settings.

Each field's description is its line in the settings reference for operators.
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
    """Refuse unknown keys and stay unchanged after the check."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class TlsSettings(Section):
    """Name the certificate that a port shows."""

    certificate_file: Path = Field(description="PEM file of the certificate chain.")
    key_file: Path = Field(description="PEM file of the private key.")


class PeerTlsSettings(TlsSettings):
    """Name the certificate of the node and the authority of all nodes."""

    ca_file: Path = Field(
        description="PEM file of the authority that signs every node's certificate."
    )


class IdentitySettings(Section):
    """Name the node and its place."""

    name: Name = Field(description="Name of the host, unique within the fleet.")
    domain: Name = Field(description="Failure domain of the host.")
    region: Name = Field(default="local", description="Region of the host.")


class CallerSettings(Section):
    """Set the port for callers and what one connection may hold."""

    host: str = Field(description="IP number to listen on.")
    port: Port = Field(description="Port to listen on; 0 takes a free one.")
    advertise: str | None = Field(
        default=None,
        pattern=ADDRESS_PATTERN,
        description="The `host:port` that callers are told; else the one listened on.",
    )
    tls: TlsSettings | None = Field(default=None, description="TLS of the caller port.")
    max_header_bytes: int = Field(
        default=16_384,
        ge=1024,
        description="Most bytes of one header line; above it: 400.",
    )
    body_buffer_bytes: int = Field(
        default=262_144,
        ge=4096,
        description="Most bytes of a body held in memory at once.",
    )
    slow_sender_ms: PositiveMs = Field(
        default=15_000,
        description="Longest silence of a sender within a request; then 408.",
    )
    max_connections: PositiveInt = Field(
        default=2_000, description="Most callers' connections at once; above it: 503."
    )


class PeerSettings(Section):
    """Set the port for the other nodes of the fleet."""

    host: str = Field(description="IP number to listen on, reached by the peers.")
    port: Port = Field(description="Port to listen on; 0 takes a free one.")
    advertise: str | None = Field(
        default=None,
        pattern=ADDRESS_PATTERN,
        description="The `host:port` that peers are told; else the one listened on.",
    )
    tls: PeerTlsSettings | None = Field(
        default=None, description="Mutual TLS between nodes."
    )


class Role(Enum):
    """Tell what a principal may do at the operator port."""

    OPERATOR = "operator"
    OWNER = "owner"
    VIEWER = "viewer"


class Principal(Section):
    """Describe someone who may use the operator port."""

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
            raise ValueError("services belong to principals of role owner, and only")
        return self


class OperatorSettings(Section):
    """Set the port for operators and who may use it."""

    host: str = Field(description="IP number to listen on.")
    port: Port = Field(description="Port to listen on; 0 takes a free one.")
    tls: TlsSettings | None = Field(
        default=None, description="TLS of the operator port."
    )
    principals: tuple[Principal, ...] = Field(
        description="Who may use the port, and as what; at least one."
    )

    @model_validator(mode="after")
    def _check_unique(self) -> "OperatorSettings":
        if not self.principals:
            raise ValueError("there must be at least one principal")
        if len({p.key_sha256 for p in self.principals}) != len(self.principals):
            raise ValueError("two principals share a key")
        if len({p.name for p in self.principals}) != len(self.principals):
            raise ValueError("two principals share a name")
        return self


class MetricsSettings(Section):
    """Set the scrape endpoint."""

    host: str = Field(description="IP number to listen on.")
    port: Port = Field(description="Port to listen on; 0 takes a free one.")


class FleetSettings(Section):
    """Name the fleet and where its nodes find their shared key."""

    name: Name = Field(description="Name of the fleet, the same on each node.")
    key_file: Path | None = Field(
        default=None, description="File with the key that nodes show each other."
    )
    key_env: str | None = Field(
        default=None,
        description="Environment variable with that key, in place of a file.",
    )

    @model_validator(mode="after")
    def _check_key(self) -> "FleetSettings":
        if (self.key_file is None) == (self.key_env is None):
            raise ValueError("give one of key_file and key_env")
        return self


class PlatformSettings(Section):
    """Choose the platform adapter; its options stand beside the name."""

    model_config = ConfigDict(extra="allow", frozen=True, hide_input_in_errors=True)

    adapter: str = Field(
        default="http", description="Name of a registered platform adapter."
    )

    @property
    def options(self) -> dict[str, Any]:
        """Return what stands beside ``adapter``, for the adapter's ``from_config``."""
        return dict(self.model_extra or {})


class TimingSettings(Section):
    """Set the periods and bounds of time."""

    heartbeat_ms: PositiveMs = Field(
        default=500, description="Time between heartbeats of a peer connection."
    )
    freshness_ms: PositiveMs = Field(
        default=4_000,
        description="Oldest freshness stamp with which a node takes new work.",
    )
    silence_ms: PositiveMs = Field(
        default=5_000,
        description="Silence after which a member is taken out of the view.",
    )
    poll_ms: PositiveMs = Field(
        default=1_000, description="Time between a poller's reads of the ticket log."
    )
    platform_timeout_ms: PositiveMs = Field(
        default=1_000, description="Longest platform call."
    )
    hand_over_ms: PositiveMs = Field(
        default=150,
        description="Longest wait for a home's word that a request is queued.",
    )
    where_max_age_ms: PositiveMs = Field(
        default=15_000, description="How long a caller may keep the list of addresses."
    )
    drain_ms: PositiveMs = Field(
        default=20_000,
        description="Longest time that a planned stop waits for requests.",
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
            raise ValueError("drain_ms must not be below where_max_age_ms")
        return self


class LimitSettings(Section):
    """Set the bounds of load and memory."""

    retry_fraction: Fraction = Field(
        default=0.1, description="Most retries, as a fraction of requests."
    )
    hedge_fraction: Fraction = Field(
        default=0.05, description="Most hedged requests, as a fraction of requests."
    )
    answer_kept_bytes: PositiveInt = Field(
        default=65_536, description="Largest answer kept for a repeated operation key."
    )
    operation_memory_bytes: PositiveInt = Field(
        default=16_777_216, description="Most memory for outcomes of operation keys."
    )
    pollers_per_domain: PositiveInt = Field(
        default=3, description="Nodes of a failure domain that read the ticket log."
    )


class LogFormat(Enum):
    """Choose how log lines look."""

    TEXT = "text"
    JSON = "json"


class LogLevel(Enum):
    """Choose the least severe level that is written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogSettings(Section):
    """Choose format and level of the log."""

    format: LogFormat = Field(
        default=LogFormat.TEXT, description="Format of log lines."
    )
    level: LogLevel = Field(
        default=LogLevel.INFO, description="Least severe level written."
    )


class NodeSettings(Section):
    """Hold all settings of one node."""

    node: IdentitySettings = Field(description="The node and its place.")
    caller: CallerSettings = Field(description="The port for callers.")
    peer: PeerSettings = Field(description="The port for the other nodes.")
    operator: OperatorSettings = Field(description="The port for operators.")
    metrics: MetricsSettings | None = Field(
        default=None, description="The scrape endpoint."
    )
    fleet: FleetSettings = Field(description="What all nodes share.")
    platform: PlatformSettings = Field(description="The platform adapter.")
    timings: TimingSettings = Field(
        default_factory=TimingSettings,
        description="Periods and bounds of time.",
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings,
        description="Bounds of load and memory.",
    )
    log: LogSettings = Field(default_factory=LogSettings, description="The log.")
    unpack_path: Path | None = Field(
        default=None,
        description="Folder in memory to which the binary unpacks its native parts.",
    )
