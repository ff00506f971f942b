"""List the nodes that accept new callers, from the pings that a reader receives.

Made for a reader that few nodes ping yet, or any more: the nodes find a new reader one
after the other, and while the store is unreachable they go from reader to reader. A
list of those few would send all callers of a fleet to them.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final

from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import HostId

PING_TIMEOUT_MS: Final = 1_200.0
"""A node without a ping for two intervals is not listed. A member is probed then, and
counts as gone if it doesn't respond to the probe either."""

LEFT_MS: Final = -math.inf
"""Time of the last ping of a node that has reported that it leaves."""


class OpenNodes:
    """Record the pings of nodes, and whether the nodes were ready."""

    def __init__(self) -> None:
        self._pinged_ms: dict[HostId, float] = {}
        self._ready: dict[HostId, bool] = {}

    def record_ping(
        self, host: HostId, ready: bool, leaving: bool, now_ms: float
    ) -> None:
        """Record a ping of a node, which may report that it leaves."""
        self._pinged_ms[host] = LEFT_MS if leaving else now_ms
        self._ready[host] = ready

    def is_pinging(self, host: HostId, now_ms: float) -> bool:
        """Return True if a node has pinged within `PING_TIMEOUT_MS`."""
        return now_ms - self._pinged_ms.get(host, -math.inf) < PING_TIMEOUT_MS

    def list_pinging(
        self, nodes: Mapping[HostId, NodeAddress], now_ms: float
    ) -> list[tuple[str, str]]:
        """Return address and failure domain of the nodes that ping and are ready."""
        return sorted(
            _listed(node)
            for host, node in nodes.items()
            if self.is_pinging(host, now_ms) and self._ready.get(host)
        )

    def list_with_previous(
        self,
        nodes: Mapping[HostId, NodeAddress],
        previous: Collection[tuple[str, str]],
        now_ms: float,
    ) -> list[tuple[str, str]]:
        """Return the same and those of a previous list that have not reported to leave.

        A node that pings is listed by what it reports alone.
        """
        kept = [
            _listed(node)
            for host, node in nodes.items()
            if not self.is_pinging(host, now_ms)
            and self._pinged_ms.get(host) != LEFT_MS
            and _listed(node) in previous
        ]
        return sorted([*self.list_pinging(nodes, now_ms), *kept])


def _listed(node: NodeAddress) -> tuple[str, str]:
    return (node.caller_address, node.domain)
