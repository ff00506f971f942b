"""Load a node's settings from YAML and report all findings together."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from crocusspindle.errors import Finding, SettingsError
from crocusspindle.settings_schema import FleetSettings, NodeSettings
from crocusspindle.yaml_document import YamlDocument, read_document

__all__ = ["NodeSettings", "check_settings", "fleet_key", "load_settings"]

_MIN_FLEET_KEY_BYTES = 16


def load_settings(path: str | Path) -> NodeSettings:
    """Read and validate a settings file; raise ``SettingsError`` with all findings."""
    source = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = Finding(source, ".", f"cannot be read: {error}")
        raise SettingsError([finding]) from error
    return check_settings(text, source)


def check_settings(text: str, source: str) -> NodeSettings:
    """Validate settings given as text; raise ``SettingsError`` with all findings."""
    document = read_document(text, source)
    findings = list(document.findings)
    content = document.content
    if document.readable and not _is_mapping(content):
        findings.append(document.finding((), "must be a mapping"))
    if not _is_mapping(content):
        raise SettingsError(findings)
    try:
        settings = NodeSettings.model_validate(content)
    except ValidationError as error:
        findings.extend(_schema_findings(error, document))
        raise SettingsError(_in_order(findings)) from error
    if findings:
        raise SettingsError(_in_order(findings))
    return settings


def fleet_key(
    settings: FleetSettings, environment: Mapping[str, str] = os.environ
) -> bytes:
    """Return the shared key of the nodes; raise ``SettingsError`` if there is none."""
    if settings.key_file is not None:
        path, source = "fleet.key_file", str(settings.key_file)
        try:
            key = settings.key_file.read_bytes().strip()
        except OSError as error:
            raise SettingsError([Finding(source, path, str(error))]) from error
    else:
        path, source = "fleet.key_env", settings.key_env or ""
        key = environment.get(source, "").encode()
    if len(key) < _MIN_FLEET_KEY_BYTES:
        message = f"the key must have at least {_MIN_FLEET_KEY_BYTES} bytes"
        raise SettingsError([Finding(source, path, message)])
    return key


def _is_mapping(content: Any) -> bool:
    return isinstance(content, Mapping) and all(isinstance(key, str) for key in content)


def _schema_findings(error: ValidationError, document: YamlDocument) -> list[Finding]:
    return [
        document.finding(tuple(detail["loc"]), _message(detail["type"], detail["msg"]))
        for detail in error.errors(include_url=False, include_input=False)
    ]


def _message(error_type: str, message: str) -> str:
    if error_type == "extra_forbidden":
        return "unknown key"
    if error_type == "missing":
        return "is missing"
    return message.removeprefix("Value error, ")


def _in_order(findings: list[Finding]) -> list[Finding]:
    return sorted(findings, key=lambda finding: (finding.line, finding.path))
