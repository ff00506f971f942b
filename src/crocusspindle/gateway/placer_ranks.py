"""Rank the placers of a service by the view in force, and notify them."""

from collections import deque
from typing import Any, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.view import NodeAddress, View
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.ids import DomainId, HostId, ServiceId

MAX_PLACERS: Final = 3
"""Members by rank that are tried before a node chooses a target locally. If that many
are lost at once, most of the fleet is lost."""

VIEWS_KEPT: Final = 64
"""Recent views whose numbers of members are kept."""


class PlacerRanks:
    """Rank the members as placers of each service."""

    def __init__(
        self, node: NodeAddress, exchange: Exchange, fleet_state: FleetState
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._ranked: dict[ServiceId, list[HostId]] = {}
        self._view_version = -1
        self._members: dict[str, NodeAddress] = {}
        # When recent views ceased to be in force, and their numbers of members.
        self._previous: deque[tuple[float, int]] = deque(maxlen=VIEWS_KEPT)

    def update_view(self) -> None:
        """Update to the view in force."""
        state = self._fleet_state.view
        if state.version == self._view_version:
            return
        self._view_version = state.version
        self._ranked.clear()
        self._previous.append((now_ms(), len(self._members)))
        entries = () if state.content is None else state.content.entries
        self._members = {entry.node.ip: entry.node for entry in entries}

    def ranked(self, service: ServiceId) -> list[HostId]:
        """Return the members by rank."""
        ranked = self._ranked.get(service)
        if ranked is None:
            ranked = _ranked(self._fleet_state.view.content, service)
            self._ranked[service] = ranked
        return ranked

    def placers(self, service: ServiceId) -> list[HostId]:
        """Return the members that place for a service or succeed its placer."""
        return self.ranked(service)[:MAX_PLACERS]

    def others(self, service: ServiceId) -> list[tuple[HostId, Address]]:
        """Return the other members that place for a service, with their addresses."""
        return [
            (host, to)
            for host in self.placers(service)
            if host != self._node.host and (to := self.address(host)) is not None
        ]

    def notify_others(self, service: ServiceId, note: Any) -> None:
        """Notify the other members that place for a service or succeed its placer."""
        for _, to in self.others(service):
            self._exchange.notify(to, note)

    def address(self, host: HostId) -> Address | None:
        """Return the address of a member for datagrams."""
        view = self._fleet_state.view.content
        entry = None if view is None else view.by_host.get(host)
        return None if entry is None else (entry.node.ip, entry.node.peer_port)

    def domain_of(self, address: Address) -> DomainId:
        """Return the failure domain of the member at an address."""
        node = self._members.get(address[0])
        return DomainId("") if node is None else node.domain

    def member_at(self, ip: str) -> NodeAddress | None:
        """Return the member with an IP address."""
        return self._members.get(ip)

    def max_members(self, since_ms: float) -> int:
        """Return the number of members of the largest view in force since a time."""
        while self._previous and self._previous[0][0] <= since_ms:
            self._previous.popleft()
        counts = (count for _, count in self._previous)
        return max(len(self._members), max(counts, default=0))

    def is_member(self, ip: str) -> bool:
        """Return True if a member of the view in force has an IP address."""
        return ip in self._members


def _ranked(view: View | None, service: ServiceId) -> list[HostId]:
    if view is None:
        return []
    return view.ranked_across_domains(f"placer {service}", MAX_PLACERS)
