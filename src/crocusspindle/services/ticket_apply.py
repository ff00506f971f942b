"""Convert a ticket to changes of the directory, and read the state before it."""

from collections.abc import Collection
from typing import Any

from crocusspindle.core.directory import Change, Directory, Item, Put, Remove
from crocusspindle.core.model import (
    Approval,
    Customer,
    CustomerKey,
    Route,
    Service,
)
from crocusspindle.core.ticket_schema import Ticket
from crocusspindle.ids import CustomerId, KeyDigest, ServiceId

NO_CUSTOMER = CustomerId("")


class DirectoryLookup:
    """Provide a directory's state to the reference check of a ticket."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def has_customer(self, customer: CustomerId) -> bool:
        """Return True if the customer is configured."""
        return self._directory.customer(customer) is not None

    def has_service(self, service: ServiceId) -> bool:
        """Return True if the service is configured."""
        return self._directory.service(service) is not None

    def key_customer(self, digest: KeyDigest) -> CustomerId | None:
        """Return the customer of a key, whether or not the key is withdrawn."""
        key = self._directory.key(digest)
        return None if key is None else key.customer

    def route_prefixes(self, service: ServiceId) -> Collection[str]:
        """Return the route prefixes that point to a service."""
        routes = self._directory.route_table
        return [route.prefix for route in routes if route.service == service]


def changes_of(ticket: Ticket) -> list[Change]:
    """Return the directory's changes in an order that keeps references valid."""
    put, removed = ticket.set, ticket.remove
    items: list[Item] = [*put.customers, *put.services, *put.keys]
    items += [*put.routes, *put.approvals]
    changes: list[Change] = [Put(item) for item in items]
    changes += [
        Remove(Approval(approval.service, approval.customer, ""))
        for approval in removed.approvals
    ]
    changes += [Remove(Route(prefix, ServiceId(""))) for prefix in removed.routes]
    changes += [Remove(CustomerKey(digest, NO_CUSTOMER)) for digest in removed.keys]
    changes += [Remove(Service(service)) for service in removed.services]
    changes += [Remove(Customer(customer, 1.0, 1)) for customer in removed.customers]
    return changes


def states_of(ticket: Ticket, directory: Directory) -> dict[str, dict[str, Any]]:
    """Return the current state of everything that a ticket changes."""
    return {
        "customers": _customers(ticket, directory),
        "keys": _keys(ticket, directory),
        "services": _services(ticket, directory),
        "routes": _routes(ticket, directory),
        "approvals": _approvals(ticket, directory),
    }


def _customers(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    names = [item.customer for item in ticket.set.customers] + [
        *ticket.remove.customers
    ]
    customers = {name: directory.customer(name) for name in names}
    return {
        name: customer
        and {
            "rate_per_s": customer.rate_per_s,
            "burst": customer.burst,
            "weight": customer.weight,
        }
        for name, customer in customers.items()
    }


def _keys(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    digests = [item.digest for item in ticket.set.keys] + [*ticket.remove.keys]
    keys = {digest: directory.key(digest) for digest in digests}
    return {
        digest.hex(): key and {"customer": key.customer, "state": key.state.value}
        for digest, key in keys.items()
    }


def _services(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    names = [item.service for item in ticket.set.services] + [*ticket.remove.services]
    services = {name: directory.service(name) for name in names}
    return {
        name: service
        and {
            "floor_fraction": service.floor_fraction,
            "timeout_ms": service.timeout_ms,
            "hedge": service.hedge,
        }
        for name, service in services.items()
    }


def _routes(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    prefixes = [item.prefix for item in ticket.set.routes] + [*ticket.remove.routes]
    routes = {route.prefix: route for route in directory.route_table}
    return {
        prefix: {
            "service": routes[prefix].service,
            "idempotent_methods": sorted(routes[prefix].idempotent_methods),
        }
        if prefix in routes
        else None
        for prefix in prefixes
    }


def _approvals(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    pairs = [(item.service, item.customer) for item in ticket.set.approvals]
    pairs += [(item.service, item.customer) for item in ticket.remove.approvals]
    states: dict[str, dict[str, bool]] = {}
    for service, customer in pairs:
        approved = directory.approved(service, customer)
        states.setdefault(service, {})[customer] = approved
    return states
