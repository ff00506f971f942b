"""Hold the agreed list of members and rank them for a duty."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from crocusspindle.core.rendezvous import order_by_weight
from crocusspindle.ids import DomainId, HostId, Incarnation


@dataclass(frozen=True, slots=True)
class NodeAddress:
    """Tell where a node is, which start of its process is meant, and what it carries.

    ``capacity`` counts hundredths of a core or Mbit/s of the link, whichever is less.
    """

    host: HostId
    incarnation: Incarnation
    ip: str
    peer_port: int
    domain: DomainId
    caller_address: str
    capacity: int = 100

    @property
    def duty_weight(self) -> float:
        """Return the weight with which duties fall to this node.

        The load is a fleet of few large hosts and many small ones. A duty that serves
        the whole fleet fills a small host's processor and link, and all callers wait.
        By the fourth power, a host of ten times the size has as many duties as 10,000
        small ones, and hosts of about one size still share them.
        """
        return float(self.capacity) ** 4


SeatKey = tuple[Incarnation, int]
"""One stay of one process: it may be put out and come back."""


@dataclass(frozen=True, slots=True)
class Seat:
    """Hold a member and the number of the view with which it came."""

    node: NodeAddress
    joined: int

    @property
    def key(self) -> SeatKey:
        """Return what tells this stay from an earlier one of the same process."""
        return (self.node.incarnation, self.joined)


@dataclass(frozen=True)
class View:
    """Hold the members, and former ones that may not know yet that they are out.

    A former member (``fenced``) may act on an older view until its proof runs out.
    """

    number: int
    seats: tuple[Seat, ...]
    fenced: tuple[Seat, ...] = ()
    by_host: Mapping[HostId, Seat] = field(init=False)

    def __post_init__(self) -> None:
        """Index the members by host."""
        index = {seat.node.host: seat for seat in self.seats}
        object.__setattr__(self, "by_host", index)

    def ranked(self, duty: str) -> list[HostId]:
        """Return the members by rank for a duty."""
        return by_capacity(duty.encode(), (seat.node for seat in self.seats))


def by_capacity(duty: bytes, nodes: Iterable[NodeAddress]) -> list[HostId]:
    """Return the hosts of nodes by rank for a duty, larger ones first more often."""
    return order_by_weight(duty, {node.host: node.duty_weight for node in nodes})


def next_view(
    view: View | None,
    present: Mapping[HostId, NodeAddress],
    over: Collection[SeatKey] = (),
) -> View:
    """Return the view in which exactly the present nodes are members.

    A member that is absent is fenced until its stay is ``over``: it is known to act
    on it no longer. A host that is present under a new incarnation has forgotten
    its former life, so that one is over without waiting.
    """
    seated = () if view is None else view.seats
    former = () if view is None else (*view.seats, *view.fenced)
    kept = {
        seat.node.host: seat
        for seat in seated
        if present.get(seat.node.host) == seat.node
    }
    number = 1 if view is None else view.number + 1
    fenced = tuple(
        seat
        for seat in former
        if seat.node.host not in present and seat.key not in over
    )
    seats = tuple(
        kept.get(host) or Seat(present[host], number) for host in sorted(present)
    )
    return View(number, seats, fenced)


def members_changed(view: View | None, present: Mapping[HostId, NodeAddress]) -> bool:
    """Return True if the members are not exactly the present nodes."""
    if view is None:
        return True
    return {host: seat.node for host, seat in view.by_host.items()} != dict(present)
