"""Connect a few core nodes to each other and to one table row in simulated time."""

from dataclasses import dataclass, field

from crocusspindle.core.eligibility import Eligibility
from crocusspindle.core.members import (
    Membership,
    MembershipLimits,
    MemberView,
    NoProposalReason,
    Outage,
    ProposerState,
    ViewMember,
    decode_view,
    encode_view,
)
from crocusspindle.core.operations import LedgerLimits, OperationLedger
from crocusspindle.ids import DomainId, MemberId, TicketNumber, ViewNumber

ROUND_MS = 1000.0
LIMITS = MembershipLimits(silence_ms=4000.0, witness_ms=3000.0, batch_ms=0.0)


@dataclass
class Node:
    own_member: ViewMember
    offset_ms: float
    rate: float
    eligibility: Eligibility
    membership: Membership
    ledger: OperationLedger
    applied: int = 0
    awake: bool = True

    @property
    def view(self) -> MemberView | None:
        return self.membership.view


@dataclass
class Fleet:
    """Hold nodes, blocked links by direction, and the members that reach the platform.

    Node clocks start at different offsets and run up to 2 % fast or slow.
    """

    eligibility_type: type[Eligibility] = Eligibility
    ledger_limits: LedgerLimits = field(default_factory=LedgerLimits)
    time_ms: float = 0.0
    nodes: dict[MemberId, Node] = field(default_factory=dict)
    blocked: set[tuple[MemberId, MemberId]] = field(default_factory=set)
    reaching_platform: set[MemberId] = field(default_factory=set)
    row: bytes = b""
    views: dict[ViewNumber, MemberView] = field(default_factory=dict)
    tickets: list[float] = field(default_factory=list)

    def start(self, name: str, address: str, *, reaches: bool = True) -> Node:
        index = len(self.nodes)
        member = MemberId(name)
        domain = DomainId(f"domain-{int(address) % 3}")
        own_member = ViewMember(member, domain, "region", address, address, 0)
        node = Node(
            own_member,
            offset_ms=977.0 * index,
            rate=1.0 + 0.02 * (index % 3 - 1),
            eligibility=self.eligibility_type(member),
            membership=Membership(own_member, LIMITS),
            ledger=OperationLedger(member, self.ledger_limits),
        )
        self.nodes[member] = node
        if reaches:
            self.reaching_platform.add(member)
        return node

    def now(self, node: Node) -> float:
        return node.offset_ms + self.time_ms * node.rate

    def awake(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.awake]

    def kill(self, node: Node) -> None:
        del self.nodes[node.own_member.member]
        self.reaching_platform.discard(node.own_member.member)

    def adopt(self, node: Node, view: MemberView) -> None:
        now_ms = self.now(node)
        if node.membership.adopt(view, now_ms) is not None:
            node.eligibility.adopt(view, now_ms)
            node.ledger.adopt(view, now_ms)

    def poll(self, node: Node) -> None:
        if node.own_member.member not in self.reaching_platform:
            node.eligibility.record_platform_failure(self.now(node))
            return
        if self.row:
            self.adopt(node, decode_view(self.row))
        self.apply(node, len(self.tickets))
        node.eligibility.record_read(self.now(node))

    def apply(self, node: Node, number: int) -> None:
        node.applied = max(node.applied, number)
        node.eligibility.applied = TicketNumber(node.applied)

    def send_heartbeat(self, node: Node, peer: Node, delay_ms: float = 0.0) -> None:
        """Deliver a heartbeat sent ``delay_ms`` ago, with the peer's reply sent now."""
        link = (node.own_member.member, peer.own_member.member)
        if link in self.blocked:
            return
        peer.membership.record_message(node.own_member.member, self.now(peer))
        if node.view is not None:
            self.adopt(peer, node.view)
        if (link[1], link[0]) in self.blocked:
            return
        sent_ms = self.now(node) - delay_ms
        node.membership.record_message(peer.own_member.member, self.now(node))
        for silent in peer.membership.list_silent_members(self.now(peer)):
            node.membership.record_silence_report(
                silent, peer.own_member.member, self.now(node)
            )
        if peer.view is not None:
            self.adopt(node, peer.view)
        age_ms = peer.eligibility.timestamp_age_ms(self.now(peer))
        self.apply(node, peer.applied)
        if age_ms is not None:
            node.eligibility.record_relayed_read(sent_ms, age_ms)
        node.eligibility.record_echo(
            peer.own_member.member,
            peer.view.number if peer.view else ViewNumber(0),
            sent_ms,
            applied=peer.applied,
            away=peer.eligibility.has_lost_platform(self.now(peer)),
            away_views=peer.eligibility.outage_views(self.now(peer)),
        )

    def round(self, *, gossip: bool = True) -> None:
        self.time_ms += ROUND_MS
        for node in self.awake():
            self.poll(node)
        for node in self.awake() if gossip else []:
            for peer in self.awake():
                if peer is not node:
                    self.send_heartbeat(node, peer)
        for node in self.awake():
            node.eligibility.is_eligible(self.now(node))

    def rounds(self, count: int) -> None:
        for _ in range(count):
            self.round()

    def proposer_state(self, node: Node) -> ProposerState:
        now_ms = self.now(node)
        return ProposerState(
            eligible=now_ms < node.eligibility.fresh_until_ms(),
            in_majority=now_ms < node.eligibility.contact_until_ms(now_ms),
            confirmed=node.eligibility.confirmed(now_ms),
        )

    def outages(self, node: Node) -> list[Outage]:
        outage_views = node.eligibility.outage_views(self.now(node))
        return [
            Outage(number, int(self.time_ms), self.views[number].names)
            for number in outage_views
            if number in self.views
        ]

    def propose(self, node: Node) -> bool:
        """Let a node write the next view if its base is still the current one."""
        if node.own_member.member not in self.reaching_platform:
            return False
        proposed = node.membership.propose(
            self.proposer_state(node),
            self.now(node),
            int(self.time_ms),
            self.outages(node),
        )
        if isinstance(proposed, NoProposalReason):
            return False
        head = decode_view(self.row).number if self.row else 0
        if proposed.number != head + 1:
            return False
        self.row = encode_view(proposed)
        self.views[proposed.number] = proposed
        self.adopt(node, proposed)
        return True

    def partition(self, group: set[MemberId]) -> None:
        """Partition a group from the rest in both directions."""
        for member in self.nodes:
            for other in self.nodes:
                if (member in group) != (other in group):
                    self.blocked.add((member, other))


def started_fleet(count: int, **options: object) -> Fleet:
    """Return a fleet whose members have converged on one view."""
    fleet = Fleet(**options)  # type: ignore[arg-type]
    for index in range(count):
        fleet.start(f"n{index}", str(index))
    first = fleet.nodes[MemberId("n0")]
    for node in fleet.awake():
        first.membership.record_join_request(node.own_member)
    fleet.poll(first)
    assert fleet.propose(first)
    fleet.rounds(6)
    return fleet
