"""Store customers, keys, approvals, routes and services compactly.

Sized for 520,000 customers with as many keys in a process limited to 128 MB in total.
Lookups run for every request; there are at most a few thousand changes a day.
"""

import hashlib
import hmac
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final, TypeAlias

from crocusspindle.core.customer_table import (
    MAX_ID_BYTES,
    ROW_BYTES,
    CustomerTable,
    row_bytes,
)
from crocusspindle.core.model import (
    Approval,
    Customer,
    CustomerKey,
    KeyState,
    Route,
    Service,
)
from crocusspindle.core.record_table import RecordTable
from crocusspindle.core.routes import RouteTable
from crocusspindle.errors import Finding, TicketError
from crocusspindle.ids import CustomerId, KeyDigest, ServiceId

DIGEST_BYTES: Final = 32
BUCKET_HASH_BYTES: Final = 4
WITHDRAWN: Final = 0x8000_0000
"""Flag set in the customer row that the record of a withdrawn key holds."""

NUMBER_BYTES: Final = 2
MAX_NUMBERS: Final = 1 << 8 * NUMBER_BYTES
"""Limit on the services, and on the approvers, ever named in approvals."""

MAX_BURST: Final = 0xFFFF_FFFF

Item: TypeAlias = Customer | CustomerKey | Approval | Route | Service


@dataclass(frozen=True, slots=True)
class Put:
    """Set the whole new state of one item."""

    item: Item


@dataclass(frozen=True, slots=True)
class Remove:
    """Remove one item, identified by its key fields."""

    item: Item


Change: TypeAlias = Put | Remove


def number_bytes(number: int) -> bytes:
    """Encode the number of a service or approver for records."""
    return number.to_bytes(NUMBER_BYTES, "little")


def key_digest(key: str) -> KeyDigest:
    """Return the digest that identifies an API key.

    A header may contain bytes that are not UTF-8; these give an unknown key, not an
    error.
    """
    return KeyDigest(hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest())


class Directory:
    """Look up customers by key, their approvals, and routes by path."""

    def __init__(self) -> None:
        self.customer_table = CustomerTable()
        self.key_table = RecordTable(DIGEST_BYTES, ROW_BYTES)
        self.approval_table = RecordTable(ROW_BYTES + NUMBER_BYTES, NUMBER_BYTES)
        self.route_table = RouteTable()
        self.service_table: dict[ServiceId, Service] = {}
        self.service_names: list[str] = []
        self.approver_names: list[str] = []
        self._service_numbers: dict[str, int] = {}
        self._approver_numbers: dict[str, int] = {}

    # Changes.

    def apply(self, changes: Sequence[Change]) -> None:
        """Apply all changes of one ticket, or none.

        Raises `TicketError` with all findings. Nothing else runs between the changes,
        so no request sees only some of them.
        """
        findings = self.check(changes)
        if findings:
            raise TicketError(findings)
        for change in changes:
            if isinstance(change, Put):
                self.put(change.item)
            else:
                self.remove(change.item)

    def check(self, changes: Sequence[Change]) -> list[Finding]:
        """Return the findings that prevent applying the changes in order."""
        findings: list[Finding] = []
        known: dict[tuple[type[Item], str], bool] = {}
        for number, change in enumerate(changes):
            item = change.item
            if isinstance(change, Put):
                findings += [
                    Finding("ticket", f"changes[{number}]", message)
                    for message in self._violations(item, known)
                ]
            if isinstance(item, Customer):
                known[Customer, item.customer] = isinstance(change, Put)
            elif isinstance(item, Service):
                known[Service, item.service] = isinstance(change, Put)
        return findings

    def _violations(
        self, item: Item, known: dict[tuple[type[Item], str], bool]
    ) -> Iterator[str]:
        if isinstance(item, Customer):
            size = len(item.customer.encode())
            if not 0 < size <= MAX_ID_BYTES:
                yield f"customer id must have 1 to {MAX_ID_BYTES} bytes, not {size}"
            if not 0 <= item.burst <= MAX_BURST:
                yield f"burst {item.burst} is not between 0 and {MAX_BURST}"
        if isinstance(item, CustomerKey) and len(item.digest) != DIGEST_BYTES:
            yield f"key digest must have {DIGEST_BYTES} bytes"
        if isinstance(item, CustomerKey | Approval):
            exists = self.customer_table.row(item.customer) is not None
            if not known.get((Customer, item.customer), exists):
                yield f"customer {item.customer!r} is not known"
        if isinstance(item, Approval):
            for names in (self.service_names, self.approver_names):
                if len(names) >= MAX_NUMBERS:
                    yield f"more than {MAX_NUMBERS} services or approvers were named"
        if isinstance(item, Approval | Route):
            exists = item.service in self.service_table
            if not known.get((Service, item.service), exists):
                yield f"service {item.service!r} is not known"

    def put(self, item: Item) -> None:
        """Set the whole new state of one item."""
        match item:
            case Customer():
                self.put_customer(item)
            case CustomerKey():
                self.put_key(item)
            case Approval():
                self.put_approval(item)
            case Route():
                self.put_route(item)
            case Service():
                self.put_service(item)

    def remove(self, item: Item) -> None:
        """Remove one item."""
        match item:
            case Customer():
                self.remove_customer(item.customer)
            case CustomerKey():
                self.remove_key(item.digest)
            case Approval():
                self.remove_approval(item.service, item.customer)
            case Route():
                self.remove_route(item.prefix)
            case Service():
                self.remove_service(item.service)

    def put_customer(self, customer: Customer) -> Customer | None:
        """Set a customer and return its previous settings."""
        self._require(customer)
        previous = self.customer(customer.customer)
        self.customer_table.put(customer)
        return previous

    def remove_customer(self, customer: CustomerId) -> Customer | None:
        """Remove a customer, its keys and approvals; return its previous settings."""
        row = self.customer_table.row(customer)
        if row is None:
            return None
        previous = self.customer_table.at(row)
        self._remove_keys_of(row)
        for record in list(self.approval_table.matches(row, row_bytes(row))):
            self.approval_table.remove(row, record[:-NUMBER_BYTES])
        self.customer_table.remove(customer)
        return previous

    def _remove_keys_of(self, row: int) -> None:
        active = row_bytes(row)
        owners = {active, row_bytes(row | WITHDRAWN)}

        def is_owned(record: bytes) -> bool:
            return record[DIGEST_BYTES:] in owners

        # The WITHDRAWN flag is in the last byte: one search finds both.
        self.key_table.remove_where(is_owned, active[:-1])

    def put_key(self, key: CustomerKey) -> None:
        """Bind a key to a customer, or withdraw it."""
        self._require(key)
        row = self._row(key.customer)
        if key.state is KeyState.WITHDRAWN:
            row |= WITHDRAWN
        self.key_table.put(self._bucket_hash(key.digest), key.digest, row_bytes(row))

    def remove_key(self, digest: KeyDigest) -> bool:
        """Remove a key and return True if it was present."""
        return self.key_table.remove(self._bucket_hash(digest), digest)

    def put_approval(self, approval: Approval) -> None:
        """Allow a customer to call a service."""
        self._require(approval)
        row = self._row(approval.customer)
        service = self._number(
            approval.service, self.service_names, self._service_numbers
        )
        approver = self._number(
            approval.approved_by, self.approver_names, self._approver_numbers
        )
        key = row_bytes(row) + number_bytes(service)
        self.approval_table.put(row, key, number_bytes(approver))

    def remove_approval(self, service: ServiceId, customer: CustomerId) -> bool:
        """Remove an approval and return True if it was present."""
        row = self.customer_table.row(customer)
        number = self._service_numbers.get(service)
        if row is None or number is None:
            return False
        return self.approval_table.remove(row, row_bytes(row) + number_bytes(number))

    def put_route(self, route: Route) -> None:
        """Route a path prefix to a service."""
        self._require(route)
        self.route_table.put(route)

    def remove_route(self, prefix: str) -> bool:
        """Remove a route and return True if it was present."""
        return self.route_table.remove(prefix)

    def put_service(self, service: Service) -> None:
        """Set a service's settings."""
        self.service_table[service.service] = service

    def remove_service(self, service: ServiceId) -> bool:
        """Remove a service and its approvals; its routes then match nothing."""
        number = self._service_numbers.get(service)
        if number is not None:
            encoded_number = number_bytes(number)
            self.approval_table.remove_where(
                lambda record: record[ROW_BYTES:-NUMBER_BYTES] == encoded_number,
                encoded_number,
            )
        return self.service_table.pop(service, None) is not None

    # Lookups.

    def authenticate(self, key: str) -> CustomerId | None:
        """Return the customer of an active key, or None."""
        digest = key_digest(key)
        for record in self.key_table.matches(self._bucket_hash(digest), digest):
            if not hmac.compare_digest(record[:DIGEST_BYTES], digest):
                continue
            row = int.from_bytes(record[DIGEST_BYTES:], "little")
            return None if row & WITHDRAWN else self.customer_table.id_at(row)
        return None

    def key(self, digest: KeyDigest) -> CustomerKey | None:
        """Return the owner and state of a key, or None if it is unknown."""
        value = self.key_table.get(self._bucket_hash(digest), digest)
        if value is None:
            return None
        row = int.from_bytes(value, "little")
        state = KeyState.WITHDRAWN if row & WITHDRAWN else KeyState.ACTIVE
        owner = self.customer_table.id_at(row & ~WITHDRAWN)
        return CustomerKey(digest, owner, state)

    def customer(self, customer: CustomerId) -> Customer | None:
        """Return a customer's settings, or None if it is unknown."""
        row = self.customer_table.row(customer)
        return None if row is None else self.customer_table.at(row)

    def approved(self, service: ServiceId, customer: CustomerId) -> bool:
        """Return True if the service's owner approved the customer."""
        row = self.customer_table.row(customer)
        number = self._service_numbers.get(service)
        if row is None or number is None or service not in self.service_table:
            return False
        key = row_bytes(row) + number_bytes(number)
        return self.approval_table.get(row, key) is not None

    def route(self, path: str) -> Route | None:
        """Return the route of a path if its service is known."""
        route = self.route_table.find(path)
        if route is None or route.service not in self.service_table:
            return None
        return route

    def service(self, service: ServiceId) -> Service | None:
        """Return a service's settings, or None if it is unknown."""
        return self.service_table.get(service)

    def customers(self) -> Iterator[Customer]:
        """Iterate over customers; the directory must not change meanwhile."""
        return iter(self.customer_table)

    def services(self) -> Iterator[Service]:
        """Iterate over services."""
        return iter(self.service_table.values())

    def counts(self) -> dict[str, int]:
        """Return the number of items of each kind."""
        return {
            "customers": len(self.customer_table),
            "keys": len(self.key_table),
            "approvals": len(self.approval_table),
            "routes": len(self.route_table),
            "services": len(self.service_table),
        }

    def restore_names(
        self, service_names: list[str], approver_names: list[str]
    ) -> None:
        """Restore the service and approver numbers used in approvals."""
        self.service_names = service_names
        self.approver_names = approver_names
        self._service_numbers = {
            name: number for number, name in enumerate(service_names)
        }
        self._approver_numbers = {
            name: number for number, name in enumerate(approver_names)
        }

    def _require(self, item: Item) -> None:
        messages = list(self._violations(item, {}))
        if messages:
            raise TicketError([Finding("ticket", "item", text) for text in messages])

    def _row(self, customer: CustomerId) -> int:
        row = self.customer_table.row(customer)
        assert row is not None
        return row

    @staticmethod
    def _bucket_hash(digest: bytes) -> int:
        return int.from_bytes(digest[:BUCKET_HASH_BYTES], "little")

    @staticmethod
    def _number(name: str, names: list[str], numbers: dict[str, int]) -> int:
        number = numbers.get(name)
        if number is None:
            number = numbers[name] = len(names)
            names.append(name)
        return number
