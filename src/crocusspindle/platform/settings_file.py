"""Translate the platform's settings file into the product's settings."""

import math
import os
import resource
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final

from crocusspindle.core.memory_bound import BYTES_PER_MB
from crocusspindle.errors import Finding, SettingsError
from crocusspindle.gateway.settings import Bounds, GatewaySettings
from crocusspindle.ids import DomainId, HostId
from crocusspindle.response_bounds import MAX_BODY_BYTES

PATH_ENV: Final = "CROCUSSPINDLE_SETTINGS"
METRICS_PORT: Final = 9464
"""The port ``metrics`` in the platform's deploy file: the exporter's default."""


def settings_path(given: str | None) -> Path:
    """Return the settings path; raise ``SettingsError`` if none is given."""
    path = given or os.environ.get(PATH_ENV)
    if not path:
        message = f"name a file or set {PATH_ENV}"
        raise SettingsError([Finding("command line", "settings", message)])
    return Path(path)


def read_settings(path: Path) -> GatewaySettings:
    """Read the file; raise ``SettingsError`` with all findings."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError([Finding(str(path), ".", str(error))]) from error
    return translate(document, str(path))


def translate(document: Mapping[str, Any], source: str) -> GatewaySettings:
    """Translate a parsed file; raise ``SettingsError`` with all findings."""
    findings: list[Finding] = []

    def text(*names: str) -> str:
        value: Any = document
        for name in names:
            value = value.get(name) if isinstance(value, Mapping) else None
        if not isinstance(value, str) or not value:
            findings.append(Finding(source, ".".join(names), "must be a string"))
            return ""
        return value

    ports = document.get("internal_ports")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        findings.append(Finding(source, "internal_ports", "must contain a port"))
        ports = [0]
    text("platform", "address")
    limits = document.get("limits", {})
    settings = GatewaySettings(
        host=HostId(text("node")),
        domain=DomainId(text("zone")),
        ip=text("ip_address"),
        caller_address=text("listen", "front"),
        ready_address=text("listen", "ready"),
        where_address=text("listen", "directory"),
        peer_port=ports[0],
        metrics_port=METRICS_PORT,
        platform_form=text("platform", "form"),
        platform=document.get("platform", {}),
        bounds=_bounds(document.get("bounds", {}), source, findings),
        link_mbit_s=_positive(limits, "link_mbps", 1_000.0, source, findings),
        cores=_positive(limits, "cores", 1.0, source, findings)
        * _positive(limits, "cpu_share", 1.0, source, findings),
        memory_mb=_positive(limits, "memory_mb", math.inf, source, findings),
        file_descriptors=_positive(
            limits, "file_descriptors", _own_descriptors(), source, findings
        ),
        response_mb=_positive(
            limits, "response_mb", MAX_BODY_BYTES / BYTES_PER_MB, source, findings
        ),
    )
    if findings:
        raise SettingsError(findings)
    return settings


def _own_descriptors() -> float:
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if most == resource.RLIM_INFINITY else float(most)


def _positive(
    limits: Any, name: str, default: float, source: str, findings: list[Finding]
) -> float:
    """Return a limit of the host or its default; add a finding if it is invalid."""
    value = limits.get(name, default) if isinstance(limits, Mapping) else None
    if isinstance(value, int | float) and not isinstance(value, bool) and value > 0:
        return float(value)
    findings.append(Finding(source, f"limits.{name}", "must be a number above 0"))
    return default


def _bounds(entries: Any, source: str, findings: list[Finding]) -> Bounds:
    defaults = Bounds()
    if not isinstance(entries, Mapping):
        findings.append(Finding(source, "bounds", "must be a table"))
        return defaults

    def number(name: str, default: float, scale: float = 1.0) -> float:
        value = entries.get(name)
        if value is None:
            return default
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value) or value < 0:
            message = "must be a finite number of at least 0"
            findings.append(Finding(source, f"bounds.{name}", message))
            return default
        return float(value) * scale

    return Bounds(
        revocation_ms=number("revocation_s", defaults.revocation_ms, 1e3),
        grace_ms=number("grace_s", defaults.grace_ms, 1e3),
        propagation_ms=number("config_propagation_s", defaults.propagation_ms, 1e3),
        where_valid_ms=number("ttl_max_s", defaults.where_valid_ms, 1e3),
        budget_ratio=number("budget_ratio", defaults.budget_ratio),
        budget_window_ms=number("budget_window_s", defaults.budget_window_ms, 1e3),
        budget_extra=number("budget_extra_attempts", defaults.budget_extra),
        quota_window_ms=number("quota_window_s", defaults.quota_window_ms, 1e3),
        quota_overshoot=number("quota_overshoot", defaults.quota_overshoot),
        quota_slack=number("quota_slack", defaults.quota_slack),
        floor_share=number("floor_share", defaults.floor_share),
        fail_closed=bool(entries.get("fail_closed", defaults.fail_closed)),
    )
