"""Translate the platform's documents into the product's data model."""

import re
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar

from crocusspindle.core.configuration import (
    LOWEST_PRIORITY,
    CallerLimits,
    Configuration,
    CustomerRule,
    RequestKind,
    RouteRule,
    ServiceRule,
    WeightedService,
    key_digest,
)
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.errors import Finding, InvalidInputError, MalformedError
from crocusspindle.ids import CustomerId, DomainId, KeyDigest, ServiceId
from crocusspindle.typed_values import (
    MAX_WHOLE,
    as_mapping,
    as_sequence,
    as_text,
    as_whole,
    decode_json,
)

SOURCE: Final = "configuration"
STATES: Final = {"ready": Readiness.READY, "draining": Readiness.DRAINING}
MAX_PORT: Final = 65_535
MAX_SLOTS: Final = 65_535
MAX_PATH_LENGTH: Final = 8_192
MAX_SECONDS: Final = 1e9
MAX_VERSION: Final = (1 << 63) - 1
_ADDRESS: Final = re.compile(r"[A-Za-z0-9._\-\[\]:]+:([0-9]{1,5})")

_ERRORS: Final = (AttributeError, KeyError, OverflowError, TypeError, ValueError)
"""What conversions raise for values that another program wrote."""

Rule = TypeVar("Rule")


def parse_configuration(value: bytes) -> Configuration:
    """Parse a configuration; raise ``InvalidInputError`` with all findings."""
    try:
        document = as_mapping(decode_json(value))
        version = as_whole(int(document["version"], 16), most=MAX_VERSION)
    except _ERRORS as error:
        raise InvalidInputError([Finding(SOURCE, ".", repr(error))]) from error
    findings: list[Finding] = []
    routes: dict[str, dict[str, RouteRule]] = {}
    for route in _rules(document, "routes", _route, findings).values():
        routes.setdefault(route.host, {})[route.prefix] = route
    customers: dict[CustomerId, CustomerRule] = {}
    keys: dict[KeyDigest, CustomerId] = {}
    for rule, digests in _rules(document, "tenants", _customer, findings).values():
        customers[rule.customer] = rule
        keys.update(dict.fromkeys(digests, rule.customer))
    services = {
        ServiceId(name): rule
        for name, rule in _rules(document, "services", _service, findings).items()
    }
    limits = CallerLimits()
    try:
        limits = _limits(as_mapping(document.get("limits", {})))
    except _ERRORS as error:
        findings.append(Finding(SOURCE, "limits", repr(error)))
    if findings:
        raise InvalidInputError(findings)
    return Configuration(version, routes, customers, keys, limits, services)


def _rules(
    document: Mapping[str, Any],
    section: str,
    parse: Callable[[str, Mapping[str, Any]], Rule],
    findings: list[Finding],
) -> dict[str, Rule]:
    """Return the rules of a section by name; add a finding for each malformed one."""
    try:
        entries = as_mapping(document.get(section, {}))
    except MalformedError as error:
        findings.append(Finding(SOURCE, section, repr(error)))
        return {}
    rules: dict[str, Rule] = {}
    for name, entry in entries.items():
        try:
            rules[name] = parse(as_text(name), as_mapping(entry))
        except _ERRORS as error:
            findings.append(Finding(SOURCE, f"{section}.{name}", repr(error)))
    return rules


def _route(name: str, entry: Mapping[str, Any]) -> RouteRule:
    weighted_services = tuple(
        WeightedService(ServiceId(as_text(item["service"])), _number(item["weight"]))
        for item in map(as_mapping, as_sequence(entry.get("split", ())))
    ) or (WeightedService(ServiceId(as_text(entry["service"])), 1.0),)
    timeout_s = _number(entry["timeout_s"], MAX_SECONDS)
    aim_s = _number(entry.get("target_latency_s", timeout_s), MAX_SECONDS)
    return RouteRule(
        name=name,
        host=as_text(entry["host"]).lower(),
        prefix=as_text(entry["prefix"], MAX_PATH_LENGTH),
        kind=RequestKind(entry.get("kind", "unsafe")),
        weighted_services=weighted_services,
        timeout_ms=timeout_s * 1e3,
        aim_ms=aim_s * 1e3,
        attempts=as_whole(int(entry.get("attempts", 1))),
        priority=_priority(entry.get("priority", LOWEST_PRIORITY)),
        public=bool(entry.get("public", False)),
    )


def _customer(
    name: str, entry: Mapping[str, Any]
) -> tuple[CustomerRule, list[KeyDigest]]:
    priority = entry.get("priority")
    rule = CustomerRule(
        customer=CustomerId(name),
        rate_per_s=_number(entry.get("per_s") or 0.0),
        burst=_number(entry.get("burst") or 0.0),
        priority=None if priority is None else _priority(priority),
    )
    keys = as_sequence(entry.get("api_keys", ()))
    return rule, [key_digest(str(key)) for key in keys]


def _service(name: str, entry: Mapping[str, Any]) -> ServiceRule:
    cold_per_s = entry.get("cold_per_s")
    return ServiceRule(
        warm_up_ms=_number(entry.get("warm_up_s", 0.0), MAX_SECONDS) * 1e3,
        cold_per_s=None if cold_per_s is None else _number(cold_per_s),
    )


def _limits(entry: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    header_timeout_s = entry.get("header_timeout_s", defaults.header_timeout_ms / 1e3)
    idle_timeout_s = entry.get("idle_timeout_s", defaults.idle_timeout_ms / 1e3)
    return CallerLimits(
        header_bytes=as_whole(int(entry.get("header_bytes", defaults.header_bytes))),
        body_bytes=as_whole(int(entry.get("body_bytes", defaults.body_bytes))),
        header_timeout_ms=_number(header_timeout_s, MAX_SECONDS) * 1e3,
        idle_timeout_ms=_number(idle_timeout_s, MAX_SECONDS) * 1e3,
    )


def _number(value: Any, most: float = float(MAX_WHOLE)) -> float:
    number = float(value)
    if not 0.0 <= number <= most:
        raise MalformedError(f"{number} is not within 0 to {most:g}")
    return number


def _priority(value: Any) -> int:
    return as_whole(int(value), least=-MAX_WHOLE)


def parse_target(key: str, value: bytes) -> ListedTarget:
    """Parse an entry of the list of targets.

    Other programs write entries too: fields may be missing or of another type. A
    partly parsed entry would send requests to an address that belongs to others, so
    such an entry raises ``MalformedError``.
    """
    entry = as_mapping(decode_json(value))
    information = _field(entry, "information", as_mapping)
    status = _field(entry, "status", as_mapping)
    return ListedTarget(
        identity=TargetIdentity(as_text(key)),
        service=ServiceId(_field(information, "service", as_text)),
        address=_field(entry, "address", _as_address),
        domain=DomainId(_field(information, "zone", as_text)),
        slots=_field(information, "slots", _as_slots),
        readiness=_field(status, "state", _as_readiness),
        cold=_is_cold(status.get("cold_remaining_s", 0)),
        started_ms=_field(entry, "born", as_whole) if "born" in entry else 0,
    )


def _field(entry: Mapping[str, Any], name: str, convert: Callable[[Any], Rule]) -> Rule:
    if name not in entry:
        raise MalformedError(f"{name} is missing")
    try:
        return convert(entry[name])
    except MalformedError as error:
        raise MalformedError(f"{name} {error}") from error


def _as_address(value: Any) -> str:
    address = as_text(value)
    matched = _ADDRESS.fullmatch(address)
    if matched is None or not 0 < int(matched[1]) <= MAX_PORT:
        raise MalformedError("is no address with a port")
    return address


def _as_slots(value: Any) -> int:
    return as_whole(value, 1, MAX_SLOTS)


def _as_readiness(value: Any) -> Readiness:
    state = as_text(value)
    if state not in STATES:
        raise MalformedError("is no known state")
    return STATES[state]


def _is_cold(remaining_s: Any) -> bool:
    # A time that can't be read may hide a cold target, which too many requests crash.
    is_number = isinstance(remaining_s, int | float)
    return not is_number or not remaining_s <= 0
