"""Renew the view of the members, on the node that reads for the others."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.reader_choice import READER_ROLE
from crocusspindle.core.view import (
    NodeAddress,
    View,
    ViewEntryKey,
    members_changed,
    next_view,
    precedes_era,
    rank_by_capacity,
)
from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.messages import Done, Probe
from crocusspindle.gateway.platform_reader import PlatformReader
from crocusspindle.ids import HostId

SETTLE_MS: Final = 250.0
"""A new reader waits this long before it adds members, so that nodes that start with it
find it first. It is short since customers of a restarted member have no quota keeper
until the view names the member's new process."""

REMOVE_AFTER_MS: Final = 2_500.0
"""A new reader waits until all nodes have found it before it removes members."""

REMOVE_MAJORITY_AFTER_MS: Final = 10_000.0
"""The same for a reader that receives pings of at most half of the members."""

STALE_STATE_MS: Final = 2_000.0
"""A reader with older confirmations has lost the store. Another node may reach it and
may have replaced the view."""

PEER_SILENT_S: Final = 0.3
"""Silence after which a peer counts as down. It responds within 3 ms, and seven lost
datagrams in a row are unlikely. Messages to hundreds of other nodes may occupy its
narrow link for a fraction of this time."""

PEER_LIMIT_S: Final = 1.0
"""A response with full documents may take this long on a narrow link. A peer with such
a backlog reports meanwhile that it is busy."""

NodesByHost = Mapping[HostId, NodeAddress]


class ViewKeeper:
    """Renew the view from the nodes that are present, if this node is its writer."""

    def __init__(
        self,
        node: NodeAddress,
        exchange: Exchange,
        fleet_state: FleetState,
        platform_reader: PlatformReader,
        expired_entry_keys: Callable[[], set[ViewEntryKey]],
    ) -> None:
        self._node = node
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._platform_reader = platform_reader
        self._expired_entry_keys = expired_entry_keys
        self._last_number = -1
        self._changed_at_ms = now_ms()

    def record_view_change(self) -> None:
        """Record when the view last changed."""
        if self._fleet_state.view.version != self._last_number:
            self._last_number = self._fleet_state.view.version
            self._changed_at_ms = now_ms()

    async def renew(self, pinging: NodesByHost) -> None:
        """Write a view of the nodes that are present, given those that ping."""
        active_ms = now_ms() - self._platform_reader.active_since_ms
        view_state = self._fleet_state.view
        if active_ms < SETTLE_MS or view_state.age_ms(now_ms()) > STALE_STATE_MS:
            return
        present = {**self._newly_registered_nodes(), **pinging}
        # A view that another node writes from here on must make the write fail: the
        # next one would get its number.
        view, row_version = view_state.content, self._platform_reader.view_row_version
        if not self._is_writer(view, present):
            return
        if view is not None:
            silent: NodesByHost = {
                host: entry.node
                for host, entry in view.by_host.items()
                if host not in present
            }
            if self._has_few_pings(view, present, active_ms):
                present = {
                    host: node for host, node in present.items() if host in view.by_host
                }
            else:
                silent = await self._probe_silent(silent, active_ms)
            present = {**silent, **present}
        era = self._platform_reader.era
        # A restored store may lack the view in force, and its number.
        is_lost = view is not None and precedes_era(view, era)
        if not is_lost and not members_changed(view, present):
            return
        if await self._platform_reader.write_view(
            next_view(view, present, self._expired_entry_keys(), era), row_version
        ):
            self._fleet_state.notify()

    def _newly_registered_nodes(self) -> dict[HostId, NodeAddress]:
        # Nodes whose rows are newer than the view. If they were added one by one as
        # they ping, a starting fleet would write a view for each late node, and send
        # each view to all nodes.
        written = self._platform_reader.view_row_version
        return {
            host: node
            for host, node in self._platform_reader.nodes.items()
            if self._platform_reader.row_versions[host] > written
        }

    def _is_writer(self, view: View | None, present: NodesByHost) -> bool:
        # Nodes ping members only. If a host that is no member ranked first, it would
        # never write a view, and customers of ended processes would have no quota
        # keeper.
        named = present.keys() if view is None else view.by_host.keys()
        eligible = [node for host, node in present.items() if host in named]
        ranked = rank_by_capacity(READER_ROLE, eligible or present.values())
        return bool(ranked) and ranked[0] == self._node.host

    def _has_few_pings(
        self, view: View, present: NodesByHost, active_ms: float
    ) -> bool:
        """Return True if too few members ping this node for it to change the members.

        A node cut off from its peers gets no pings and would remove all members, while
        their reader adds them again: the view would never converge, and customers would
        change keepers each time. The same happens if many nodes that read for
        themselves each add themselves. So a node pinged by at most half of the members
        waits for another reader's view. Meanwhile it only replaces the processes of
        members by new ones, since hosts of a restarted fleet return one by one.
        """
        if 2 * len(present) > len(view.entries):
            return False
        unchanged_ms = now_ms() - self._changed_at_ms
        return min(active_ms, unchanged_ms) < REMOVE_MAJORITY_AFTER_MS

    async def _probe_silent(self, silent: NodesByHost, active_ms: float) -> NodesByHost:
        """Return the members that sent no ping but respond to a probe.

        A new reader sends no probes and returns all of them.
        """
        if active_ms < REMOVE_AFTER_MS:
            return silent
        # Members may ping another reader for a while. Removed for that, they would
        # hand over their roles needlessly, and again when they are added back.
        responses = await asyncio.gather(
            *(self._probe(member) for member in silent.values())
        )
        return {
            host: node
            for (host, node), responded in zip(silent.items(), responses, strict=True)
            if responded
        }

    async def _probe(self, node: NodeAddress) -> bool:
        to = (node.ip, node.peer_port)
        response = await self._exchange.request(
            to, Probe(node.incarnation), PEER_SILENT_S, PEER_LIMIT_S
        )
        return isinstance(response, Done)
