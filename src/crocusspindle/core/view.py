"""Hold the agreed list of members and rank them for a role."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.rendezvous import order_by_weight
from crocusspindle.core.store_version import FIRST_ERA
from crocusspindle.ids import DomainId, HostId, Incarnation

COUNT_BITS: Final = 32
ERA_BITS: Final = 31
"""Bits of a view's number for the era of the store, and below them for the count within
an era. A view that was written after a restore has a higher number than all before it,
also those that the copy lacks; without the era, two views could have one number."""


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Hold a node's address, the incarnation of its process, and its capacity.

    ``capacity`` is in hundredths of a core or in Mbit/s of the link, whichever is less.
    """

    host: HostId
    incarnation: Incarnation
    ip: str
    peer_port: int
    domain: DomainId
    caller_address: str
    capacity: int = 100

    @property
    def role_weight(self) -> float:
        """Return the weight with which this node is assigned roles.

        In a fleet of few large hosts and many small ones, a role that serves the whole
        fleet saturates a small host's processor and link, and all callers wait. With
        the fourth power, a host of ten times the size has as many roles as 10,000 small
        ones, and hosts of similar size still share them.
        """
        return float(self.capacity) ** 4


ViewEntryKey = tuple[Incarnation, int]
"""One membership period of one process, which may be removed and join again."""


@dataclass(frozen=True, slots=True)
class ViewEntry:
    """Hold a member and the number of the view in which it joined."""

    node: NodeAddress
    joined: int

    @property
    def key(self) -> ViewEntryKey:
        """Return the key that differs for each membership period of a process."""
        return (self.node.incarnation, self.joined)


@dataclass(frozen=True)
class View:
    """Hold the members and the fenced entries, removed members that may still act.

    A removed member may not have received the view that removed it. It stays in
    ``fenced`` until its freshness confirmation of an older view must have expired.
    """

    number: int
    entries: tuple[ViewEntry, ...]
    fenced: tuple[ViewEntry, ...] = ()
    by_host: Mapping[HostId, ViewEntry] = field(init=False)

    def __post_init__(self) -> None:
        """Index the members by host."""
        index = {entry.node.host: entry for entry in self.entries}
        object.__setattr__(self, "by_host", index)

    @property
    def is_first(self) -> bool:
        """Return True if this is the fleet's first view."""
        return self.number % (1 << COUNT_BITS) == 1

    def ranked(self, role: str) -> list[HostId]:
        """Return the members by rank for a role."""
        return rank_by_capacity(role.encode(), (entry.node for entry in self.entries))

    def ranked_across_domains(self, role: str, count: int) -> list[HostId]:
        """Return the members by rank, the first ``count`` of different failure domains.

        Made for the loss of a whole failure domain: successors in the same domain would
        be lost with the first member. With fewer domains than ``count``, each has one
        member among the first.
        """
        ranked = self.ranked(role)
        first: dict[DomainId, HostId] = {}
        for host in ranked:
            if len(first) < count:
                first.setdefault(self.by_host[host].node.domain, host)
        leading = list(first.values())
        return leading + [host for host in ranked if host not in leading]


def rank_by_capacity(role: bytes, nodes: Iterable[NodeAddress]) -> list[HostId]:
    """Return the nodes' hosts by rank for a role, larger ones first more often."""
    return order_by_weight(role, {node.host: node.role_weight for node in nodes})


def _first_number(era: int) -> int:
    """Return the number of a fleet's first view."""
    return _era_field(era) + 1


def _era_field(era: int) -> int:
    return era % (1 << ERA_BITS) << COUNT_BITS


def _next_number(view: View, era: int) -> int:
    # Above the number of a first view, also in a new era.
    return max(view.number, _first_number(era)) + 1


def precedes_era(view: View, era: int) -> bool:
    """Return True if a view was written before an era of the store began."""
    return view.number < _era_field(era)


def next_view(
    view: View | None,
    present: Mapping[HostId, NodeAddress],
    expired_entry_keys: Collection[ViewEntryKey] = (),
    era: int = FIRST_ERA,
) -> View:
    """Return the view in which exactly the present nodes are members.

    ``era`` is that of the store in which the view is going to be written.

    An absent member is fenced until its key is in ``expired_entry_keys``: from then on
    it certainly no longer acts as a member. A host that is present under a new
    incarnation needs no fence for the previous one, whose process has ended.
    """
    previous_members = () if view is None else view.entries
    previous_entries = () if view is None else (*view.entries, *view.fenced)
    kept = {
        entry.node.host: entry
        for entry in previous_members
        if present.get(entry.node.host) == entry.node
    }
    number = _first_number(era) if view is None else _next_number(view, era)
    fenced = tuple(
        entry
        for entry in previous_entries
        if entry.node.host not in present and entry.key not in expired_entry_keys
    )
    entries = tuple(
        kept.get(host) or ViewEntry(present[host], number) for host in sorted(present)
    )
    return View(number, entries, fenced)


def members_changed(view: View | None, present: Mapping[HostId, NodeAddress]) -> bool:
    """Return True if the members are not exactly the present nodes."""
    if view is None:
        return True
    return {host: entry.node for host, entry in view.by_host.items()} != dict(present)
