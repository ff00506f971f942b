"""Bring the directory to the state after a ticket, and show the state before it."""

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

NOBODY = CustomerId("")


class DirectoryFacts:
    """Show a directory to the check of a ticket's references."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    def has_customer(self, customer: CustomerId) -> bool:
        """Return True if the customer is configured."""
        return self._directory.customer(customer) is not None

    def has_service(self, service: ServiceId) -> bool:
        """Return True if the service is configured."""
        return self._directory.service(service) is not None

    def key_customer(self, digest: KeyDigest) -> CustomerId | None:
        """Return the customer that a key is bound to, withdrawn or not."""
        key = self._directory.key(digest)
        return None if key is None else key.customer

    def route_prefixes(self, service: ServiceId) -> Collection[str]:
        """Return the prefixes that lead to a service."""
        routes = self._directory.route_table
        return [route.prefix for route in routes if route.service == service]


def changes_of(ticket: Ticket) -> list[Change]:
    """Return the directory's changes in an order that keeps references whole."""
    put, gone = ticket.set, ticket.remove
    items: list[Item] = [*put.customers, *put.services, *put.keys]
    items += [*put.routes, *put.approvals]
    changes: list[Change] = [Put(item) for item in items]
    changes += [
        Remove(Approval(approval.service, approval.customer, ""))
        for approval in gone.approvals
    ]
    changes += [Remove(Route(prefix, ServiceId(""))) for prefix in gone.routes]
    changes += [Remove(CustomerKey(digest, NOBODY)) for digest in gone.keys]
    changes += [Remove(Service(service)) for service in gone.services]
    changes += [Remove(Customer(customer, 1.0, 1)) for customer in gone.customers]
    return changes


def states_of(ticket: Ticket, directory: Directory) -> dict[str, dict[str, Any]]:
    """Return the present state of everything that a ticket touches."""
    return {
        "customers": _customers(ticket, directory),
        "keys": _keys(ticket, directory),
        "services": _services(ticket, directory),
        "routes": _routes(ticket, directory),
        "approvals": _approvals(ticket, directory),
    }


def _customers(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    names = [one.customer for one in ticket.set.customers] + [*ticket.remove.customers]
    found = {name: directory.customer(name) for name in names}
    return {
        name: held
        and {
            "rate_per_s": held.rate_per_s,
            "burst": held.burst,
            "weight": held.weight,
        }
        for name, held in found.items()
    }


def _keys(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    digests = [one.digest for one in ticket.set.keys] + [*ticket.remove.keys]
    found = {digest: directory.key(digest) for digest in digests}
    return {
        digest.hex(): held and {"customer": held.customer, "state": held.state.value}
        for digest, held in found.items()
    }


def _services(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    names = [one.service for one in ticket.set.services] + [*ticket.remove.services]
    found = {name: directory.service(name) for name in names}
    return {
        name: held
        and {
            "floor_fraction": held.floor_fraction,
            "timeout_ms": held.timeout_ms,
            "hedge": held.hedge,
        }
        for name, held in found.items()
    }


def _routes(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    prefixes = [one.prefix for one in ticket.set.routes] + [*ticket.remove.routes]
    held = {route.prefix: route for route in directory.route_table}
    return {
        prefix: {
            "service": held[prefix].service,
            "idempotent_methods": sorted(held[prefix].idempotent_methods),
        }
        if prefix in held
        else None
        for prefix in prefixes
    }


def _approvals(ticket: Ticket, directory: Directory) -> dict[str, Any]:
    pairs = [(one.service, one.customer) for one in ticket.set.approvals]
    pairs += [(one.service, one.customer) for one in ticket.remove.approvals]
    found: dict[str, dict[str, bool]] = {}
    for service, customer in pairs:
        approved = directory.approved(service, customer)
        found.setdefault(service, {})[customer] = approved
    return found
