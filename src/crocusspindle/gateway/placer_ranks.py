"""Know who places for a service, by the view in force, and tell them things."""

from collections import deque
from typing import Any, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.view import NodeAddress, View
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.ids import DomainId, HostId, ServiceId

PLACERS: Final = 3
"""Members by rank that are tried before a node places on its own: with that many lost
at once most of the fleet is gone."""

VIEWS_KEPT: Final = 16
"""Views by which a new placer tells how long it was one of those that are told."""


class PlacerRanks:
    """Rank the members for the placing of each service."""

    def __init__(
        self, node: NodeAddress, exchange: Exchange, knowledge: Knowledge
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._knowledge = knowledge
        self._ranked: dict[ServiceId, list[HostId]] = {}
        self._number = -1
        self._views: deque[tuple[float, View | None]] = deque(maxlen=VIEWS_KEPT)
        self._domains: dict[str, DomainId] = {}

    def take_view(self) -> bool:
        """Take over the view in force; return True if it has changed."""
        belief = self._knowledge.view
        if belief.version == self._number:
            return False
        self._number = belief.version
        self._ranked.clear()
        self._views.append((now_ms(), belief.content))
        entries = () if belief.content is None else belief.content.entries
        self._domains = {seat.node.ip: seat.node.domain for seat in entries}
        return True

    def ranked(self, service: ServiceId) -> list[HostId]:
        """Return the members by rank."""
        ranked = self._ranked.get(service)
        if ranked is None:
            ranked = _ranked(self._knowledge.view.content, service)
            self._ranked[service] = ranked
        return ranked

    def own_rank(self, service: ServiceId) -> int:
        """Return this node's rank, the number of members if it is none."""
        ranked = self.ranked(service)
        host = self._node.host
        return ranked.index(host) if host in ranked else len(ranked)

    def told_since_ms(self, service: ServiceId) -> float:
        """Return since when this node was one of those that placers tell things."""
        since_ms = now_ms()
        for from_ms, view in reversed(self._views):
            if self._node.host not in _ranked(view, service)[:PLACERS]:
                break
            since_ms = from_ms
        return since_ms

    def tell_others(self, service: ServiceId, note: Any) -> None:
        """Tell the other members that place for a service or would be next."""
        for host in self.ranked(service)[:PLACERS]:
            to = self.address(host)
            if host != self._node.host and to is not None:
                self._exchange.tell(to, note)

    def address(self, host: HostId) -> Address | None:
        """Return where a member's datagrams go."""
        view = self._knowledge.view.content
        seat = None if view is None else view.by_host.get(host)
        return None if seat is None else (seat.node.ip, seat.node.peer_port)

    def domain_of(self, address: Address) -> DomainId:
        """Return the failure domain of the member at an address."""
        return self._domains.get(address[0], DomainId(""))


def _ranked(view: View | None, service: ServiceId) -> list[HostId]:
    return [] if view is None else view.ranked(f"placer {service}")
