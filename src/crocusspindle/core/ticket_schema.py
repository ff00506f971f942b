"""Define change tickets: typed content, document format and content hash.

A ticket carries the complete new state of each item that it changes, so a node that
applies tickets in order needs no other input to compute the resulting state.
"""

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Final, Literal

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    TypeAdapter,
    ValidationError,
)

from crocusspindle.core.model import (
    Approval,
    Customer,
    CustomerKey,
    KeyState,
    Route,
    Service,
)
from crocusspindle.errors import Finding, TicketError
from crocusspindle.ids import CustomerId, KeyDigest, ServiceId, TicketNumber
from crocusspindle.yaml_document import LineMap, read_document

MAX_ENTRIES: Final = 10_000
"""Entries of one ticket. Larger changes are split into several tickets, so applying
one never blocks a node's requests for more than tens of milliseconds."""

STORED: Final = "stored ticket"

Name = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$", max_length=128)
]
Text = Annotated[str, StringConstraints(min_length=1, max_length=4096)]
HexDigest = Annotated[str, StringConstraints(pattern=r"^[0-9a-fA-F]{64}$")]
Prefix = Annotated[str, StringConstraints(pattern=r"^/[^\s?#]*$", max_length=1024)]
Method = Annotated[str, StringConstraints(pattern=r"^[A-Z]+$", max_length=32)]
Rate = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False, strict=True)]


class _Strict(BaseModel):
    """Reject unknown keys and implicit type conversions."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class _Customer(_Strict):
    rate_per_s: Rate
    burst: Annotated[int, Field(ge=1, le=1_000_000_000)]
    weight: Annotated[float, Field(gt=0, le=1e6, allow_inf_nan=False)] = 1.0


class _Key(_Strict):
    customer: Name
    state: Literal["active", "withdrawn"]


class _Service(_Strict):
    floor_fraction: Annotated[float, Field(ge=0, le=1, allow_inf_nan=False)] = 0.5
    timeout_ms: Annotated[float, Field(gt=0, le=3_600_000, allow_inf_nan=False)] = (
        10_000.0
    )
    hedge: bool = True


class _Route(_Strict):
    service: Name
    idempotent_methods: Annotated[list[Method], Field(max_length=32)] = ["GET", "HEAD"]


class _Approval(_Strict):
    approved_by: Text


class _Document(_Strict):
    number: Annotated[int, Field(ge=1, le=2**53)]
    author: Text
    reason: Text
    customers: dict[Name, _Customer | None] = {}
    keys: dict[HexDigest, _Key | None] = {}
    services: dict[Name, _Service | None] = {}
    routes: dict[Prefix, _Route | None] = {}
    approvals: dict[Name, dict[Name, _Approval | None]] = {}


_DOCUMENT: Final = TypeAdapter(_Document)


@dataclass(frozen=True, slots=True, order=True)
class ApprovalId:
    """Identify a service owner's approval of one customer."""

    service: ServiceId
    customer: CustomerId


@dataclass(frozen=True, slots=True)
class States:
    """Hold the complete new states that a ticket sets, sorted by name."""

    customers: tuple[Customer, ...] = ()
    keys: tuple[CustomerKey, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    approvals: tuple[Approval, ...] = ()


@dataclass(frozen=True, slots=True)
class Removals:
    """Hold the names that a ticket removes, sorted."""

    customers: tuple[CustomerId, ...] = ()
    keys: tuple[KeyDigest, ...] = ()
    services: tuple[ServiceId, ...] = ()
    routes: tuple[str, ...] = ()
    approvals: tuple[ApprovalId, ...] = ()


@dataclass(frozen=True, slots=True)
class Ticket:
    """Represent one numbered change: states to set and names to remove."""

    number: TicketNumber
    author: str
    reason: str
    set: States = field(default_factory=States)
    remove: Removals = field(default_factory=Removals)


def parse_ticket(document: bytes | str | Mapping[str, Any], source: str) -> Ticket:
    """Parse a ticket from YAML, JSON or a mapping.

    Raises ``TicketError`` with all findings.
    """
    content, lines = _content(document, source)
    try:
        parsed = _DOCUMENT.validate_python(content)
    except ValidationError as error:
        raise TicketError(_findings(error, source, lines)) from None
    ticket = _ticket(parsed)
    findings = _shape_findings(parsed, source, lines)
    if findings:
        raise TicketError(findings)
    return ticket


def _content(
    document: bytes | str | Mapping[str, Any], source: str
) -> tuple[Any, LineMap]:
    if isinstance(document, Mapping):
        return dict(document), LineMap()
    read = read_document(document, source)
    if read.findings:
        raise TicketError(read.findings)
    return read.content, read.lines


def encode_ticket(ticket: Ticket) -> bytes:
    """Encode a ticket in its canonical form, a JSON document."""
    document = {
        "number": ticket.number,
        "author": ticket.author,
        "reason": ticket.reason,
        "customers": _customers(ticket),
        "keys": _keys(ticket),
        "services": _services(ticket),
        "routes": _routes(ticket),
        "approvals": _approvals(ticket),
    }
    return json.dumps(
        document, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def decode_ticket(content: bytes) -> Ticket:
    """Decode a ticket from the bytes of a table row or a peer's message.

    Every node decodes every ticket, so this reads JSON only: YAML takes a second for
    10,000 entries. Raises ``TicketError``, also for unknown fields: a node running an
    older version stops instead of applying part of a ticket.
    """
    try:
        document = json.loads(content)
    except ValueError as error:
        raise TicketError([Finding(STORED, "document", str(error))]) from None
    if not isinstance(document, dict):
        raise TicketError([Finding(STORED, "document", "is not an object")])
    return parse_ticket(document, STORED)


def content_hash(ticket: Ticket) -> bytes:
    """Return the SHA-256 digest of the canonical form, including the author."""
    return hashlib.sha256(encode_ticket(ticket)).digest()


def _findings(
    error: ValidationError, source: str, lines: LineMap
) -> tuple[Finding, ...]:
    found = []
    for detail in error.errors(include_url=False, include_input=False):
        location = tuple(part for part in detail["loc"] if part != "[key]")
        path = ".".join(str(part) for part in location) or "document"
        found.append(Finding(source, path, detail["msg"], lines.line(location)))
    return tuple(found)


def _shape_findings(
    parsed: _Document, source: str, lines: LineMap
) -> tuple[Finding, ...]:
    found = []
    entries = len(parsed.customers) + len(parsed.keys) + len(parsed.services)
    entries += len(parsed.routes)
    entries += sum(len(by_customer) for by_customer in parsed.approvals.values())
    if entries == 0:
        found.append(Finding(source, "document", "has no entries", 1))
    if entries > MAX_ENTRIES:
        message = f"has {entries} entries, limit is {MAX_ENTRIES}"
        found.append(Finding(source, "document", message, 1))
    if len({digest.lower() for digest in parsed.keys}) != len(parsed.keys):
        location = lines.line(("keys",))
        found.append(
            Finding(source, "keys", "contains the same digest twice", location)
        )
    return tuple(found)


def _ticket(parsed: _Document) -> Ticket:
    return Ticket(
        TicketNumber(parsed.number),
        parsed.author,
        parsed.reason,
        _states(parsed),
        _removals(parsed),
    )


def _states(parsed: _Document) -> States:
    return States(
        customers=tuple(
            Customer(CustomerId(name), state.rate_per_s, state.burst, state.weight)
            for name, state in sorted(parsed.customers.items())
            if state is not None
        ),
        keys=tuple(
            CustomerKey(
                KeyDigest(bytes.fromhex(digest)),
                CustomerId(state.customer),
                KeyState(state.state),
            )
            for digest, state in sorted(_lowered(parsed.keys).items())
            if state is not None
        ),
        services=tuple(
            Service(
                ServiceId(name), state.floor_fraction, state.timeout_ms, state.hedge
            )
            for name, state in sorted(parsed.services.items())
            if state is not None
        ),
        routes=tuple(
            Route(prefix, ServiceId(state.service), frozenset(state.idempotent_methods))
            for prefix, state in sorted(parsed.routes.items())
            if state is not None
        ),
        approvals=tuple(
            Approval(ServiceId(service), CustomerId(customer), state.approved_by)
            for service, by_customer in sorted(parsed.approvals.items())
            for customer, state in sorted(by_customer.items())
            if state is not None
        ),
    )


def _removals(parsed: _Document) -> Removals:
    return Removals(
        customers=tuple(map(CustomerId, _removed(parsed.customers))),
        keys=tuple(
            KeyDigest(bytes.fromhex(name)) for name in _removed(_lowered(parsed.keys))
        ),
        services=tuple(map(ServiceId, _removed(parsed.services))),
        routes=tuple(_removed(parsed.routes)),
        approvals=tuple(
            ApprovalId(ServiceId(service), CustomerId(customer))
            for service, by_customer in sorted(parsed.approvals.items())
            for customer in _removed(by_customer)
        ),
    )


def _removed(entries: Mapping[str, object | None]) -> list[str]:
    return sorted(name for name, state in entries.items() if state is None)


def _lowered(keys: Mapping[str, _Key | None]) -> dict[str, _Key | None]:
    return {digest.lower(): state for digest, state in keys.items()}


def _customers(ticket: Ticket) -> dict[str, Any]:
    entries: dict[str, Any] = dict.fromkeys(ticket.remove.customers)
    for customer in ticket.set.customers:
        entries[customer.customer] = {
            "rate_per_s": float(customer.rate_per_s),
            "burst": customer.burst,
            "weight": float(customer.weight),
        }
    return entries


def _keys(ticket: Ticket) -> dict[str, Any]:
    entries: dict[str, Any] = {digest.hex(): None for digest in ticket.remove.keys}
    for key in ticket.set.keys:
        entries[key.digest.hex()] = {
            "customer": key.customer,
            "state": key.state.value,
        }
    return entries


def _services(ticket: Ticket) -> dict[str, Any]:
    entries: dict[str, Any] = dict.fromkeys(ticket.remove.services)
    for service in ticket.set.services:
        entries[service.service] = {
            "floor_fraction": float(service.floor_fraction),
            "timeout_ms": float(service.timeout_ms),
            "hedge": service.hedge,
        }
    return entries


def _routes(ticket: Ticket) -> dict[str, Any]:
    entries: dict[str, Any] = dict.fromkeys(ticket.remove.routes)
    for route in ticket.set.routes:
        entries[route.prefix] = {
            "service": route.service,
            "idempotent_methods": sorted(route.idempotent_methods),
        }
    return entries


def _approvals(ticket: Ticket) -> dict[str, dict[str, Any]]:
    entries: dict[str, dict[str, Any]] = {}
    for removed in ticket.remove.approvals:
        entries.setdefault(removed.service, {})[removed.customer] = None
    for approval in ticket.set.approvals:
        entries.setdefault(approval.service, {})[approval.customer] = {
            "approved_by": approval.approved_by
        }
    return entries
