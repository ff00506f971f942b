"""Choose the nodes to which a node without paths hands its requests over.

Made for a fleet of which a part, up to most nodes, has lost its paths to the targets of
a service. The placer of the service names nodes that got responses lately; without its
word, members are tried in an order of this node's own.
"""

from collections.abc import Iterable
from typing import Final

from crocusspindle.core.rendezvous import order
from crocusspindle.ids import DomainId, HostId, ServiceId

MAX_NODES_TRIED: Final = 4
"""Nodes tried for one request. If half of the members have no path and the placer names
none, one request in sixteen meets none that has."""

MAX_NODES_NAMED: Final = 6
REFUSED_MS: Final = 1_000.0
"""How long a node that refused or was silent is tried only after others."""


def nodes_named(
    sender: HostId,
    domain: DomainId,
    reaching: Iterable[tuple[HostId, DomainId]],
) -> list[HostId]:
    """Return the nodes that a placer names to a sender, the best first.

    Those in the sender's failure domain come first. Each sender gets an order of its
    own, so that the requests of many senders spread over all nodes with a path.
    """
    domains = dict(reaching)
    domains.pop(sender, None)
    ranked = order(b"hand over " + sender.encode(), domains)
    ranked.sort(key=lambda node: domains[node] != domain)
    return ranked[:MAX_NODES_NAMED]


class HandOverChoice:
    """Order the nodes to hand requests over to."""

    def __init__(self, node: HostId) -> None:
        self._node = node
        self._refused_until_ms: dict[tuple[ServiceId, HostId], float] = {}
        self._turns = 0

    def record_refusal(self, service: ServiceId, node: HostId, now_ms: float) -> None:
        """Record that a node did not take a request."""
        self._refused_until_ms[service, node] = now_ms + REFUSED_MS

    def nodes(
        self,
        service: ServiceId,
        named: list[HostId],
        members: Iterable[HostId],
        now_ms: float,
    ) -> list[HostId]:
        """Return the nodes to try in turn, those that the placer named first."""
        self._refused_until_ms = {
            key: until_ms
            for key, until_ms in self._refused_until_ms.items()
            if until_ms > now_ms
        }
        self._turns += 1
        key = f"hand over {self._node} {self._turns}".encode()
        others = order(key, set(members) - set(named) - {self._node})
        ranked = [*named, *others]
        ranked.sort(key=lambda node: (service, node) in self._refused_until_ms)
        return ranked[:MAX_NODES_TRIED]
