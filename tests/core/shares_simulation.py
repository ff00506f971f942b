"""Simulate several ledgers with faults in virtual time, and check the bound."""

import random
from dataclasses import dataclass, field, replace

from crocusspindle.core.holders import HolderCandidate
from crocusspindle.core.loans import Borrow, Loan, Spent
from crocusspindle.core.local_shares import ShareSettings
from crocusspindle.core.model import Customer
from crocusspindle.core.shares import ShareLedger
from crocusspindle.ids import CustomerId, DomainId, MemberId, ViewNumber

LEASE_MS = 3_000.0
DRIFT = 0.01
CUSTOMERS = [
    Customer(CustomerId("tiny"), 0.2, 1),
    Customer(CustomerId("small"), 1.0, 2),
    Customer(CustomerId("uneven"), 3.0, 3),
    Customer(CustomerId("large"), 200.0, 12),
]


@dataclass(frozen=True)
class Faults:
    """Turn single rules off, to show that the check fails without them."""

    ledger_lease_ms: float = LEASE_MS
    credit_in_full: bool = False
    check_timestamp: bool = True
    wait_for_majority: bool = True
    refund_always: bool = False


@dataclass
class Node:
    member: HolderCandidate
    ledger: ShareLedger
    clock_rate: float
    offset_ms: float
    view: int = 0
    ticket: int = 0
    timestamp_ms: float = -1e18
    echo_ms: dict[str, float] = field(default_factory=dict)
    seen_views: dict[str, int] = field(default_factory=dict)
    activated: int = 0
    paused: bool = False
    isolated: bool = False

    def now_ms(self, true_ms: float) -> float:
        return self.offset_ms + true_ms * self.clock_rate


@dataclass
class LoanRequest:
    borrower: Node
    lender: MemberId
    customer: CustomerId
    missing: float
    requested_at_ms: float
    gather: bool = False
    for_request: bool = True
    loan: Loan | None = None
    timed_out: bool = False


class SharesSimulation:
    """Hold the platform's views and tickets, and the nodes."""

    def __init__(self, seed: int, nodes: int = 6, faults: Faults | None = None) -> None:
        self.rng = random.Random(seed)
        self.faults = faults or Faults()
        self.true_ms = 0.0
        self.platform_up = True
        self.nodes: dict[str, Node] = {}
        self.views: list[tuple[HolderCandidate, ...]] = [()]
        self.tickets: list[Customer] = list(CUSTOMERS)
        self.accepted_ms = [0.0] * len(CUSTOMERS)
        self.in_force_ms = [0.0] * len(CUSTOMERS)
        self.loan_requests: list[LoanRequest] = []
        self.admitted: list[tuple[CustomerId, float, Node, float]] = []
        for _ in range(nodes):
            self.start()
        self.views.append(tuple(node.member for node in self.nodes.values()))
        for node in self.nodes.values():
            self.poll(node)
            self.activate(node, force=True)

    def start(self) -> Node:
        number = len(self.nodes)
        member = HolderCandidate(MemberId(f"n{number}"), DomainId(f"d{number % 3}"))
        settings = ShareSettings(self.faults.ledger_lease_ms, DRIFT)
        ledger = ShareLedger.from_config(settings, member.member)
        clock_rate = self.rng.choice([1 - DRIFT, 1.0, 1 + DRIFT])
        node = Node(member, ledger, clock_rate, self.rng.uniform(0.0, 1e6))
        self.nodes[member.member] = node
        return node

    def advance(self, elapsed_ms: float) -> None:
        self.true_ms += elapsed_ms

    # The platform, freshness timestamps and two-way contact.

    def learn(self, node: Node, view: int, ticket: int) -> None:
        now_ms = node.now_ms(self.true_ms)
        for number in range(node.ticket, ticket):
            node.ledger.set_limit(self.tickets[number], now_ms)
        for number in range(node.view + 1, view + 1):
            node.ledger.set_view(ViewNumber(number), self.views[number], now_ms)
            node.echo_ms.clear()
        node.view, node.ticket = max(node.view, view), max(node.ticket, ticket)
        self.activate(node, force=not self.faults.wait_for_majority)

    def poll(self, node: Node) -> None:
        if self.platform_up and not node.paused and not node.isolated:
            self.learn(node, len(self.views) - 1, len(self.tickets))
            node.timestamp_ms = node.now_ms(self.true_ms)

    def contact(self, node: Node, peer: Node) -> None:
        if node.paused or peer.paused or node.isolated or peer.isolated or node is peer:
            return
        self.learn(node, peer.view, peer.ticket)
        node.seen_views[peer.member.member] = peer.view
        if peer.view == node.view:
            node.echo_ms[peer.member.member] = node.now_ms(self.true_ms)
        self.activate(node)

    def activate(self, node: Node, force: bool = False) -> None:
        node.seen_views[node.member.member] = node.view
        earlier_views = self.views[max(1, node.activated) : node.view]
        if force or all(
            self._majority_adopted(node, members) for members in earlier_views
        ):
            if node.view > node.activated:
                now_ms = node.now_ms(self.true_ms)
                node.ledger.activate(ViewNumber(node.view), now_ms)
            node.activated = node.view

    def _majority_adopted(
        self, node: Node, members: tuple[HolderCandidate, ...]
    ) -> bool:
        adopted = [node.seen_views.get(each.member, 0) >= node.view for each in members]
        return 2 * sum(adopted) > len(members)

    def eligible_until_ms(self, node: Node) -> float:
        if not self.faults.check_timestamp:
            return float("inf")
        until_ms = node.timestamp_ms + LEASE_MS
        members = self.views[node.view]
        if not self.platform_up and node.member in members:
            now_ms = node.now_ms(self.true_ms)
            echoes = [
                now_ms if each == node.member else node.echo_ms.get(each.member, -1e18)
                for each in members
            ]
            echoes.sort(reverse=True)
            until_ms = max(until_ms, echoes[len(members) // 2] + LEASE_MS)
        return until_ms

    def change_view(self, removed: HolderCandidate) -> None:
        """Replace a member that is lost, or only suspected to be."""
        if self.platform_up:
            added = self.start()
            kept = tuple(each for each in self.views[-1] if each != removed)
            self.views.append((*kept, added.member))

    def change_limit(self, customer: Customer) -> None:
        if self.platform_up:
            self.tickets.append(customer)
            self.accepted_ms.append(self.true_ms)
            self.in_force_ms.append(float("inf"))
            self.tick()

    def note_in_force(self) -> None:
        """Record tickets known to a majority and to every eligible node."""
        members = [self.nodes[each.member] for each in self.views[-1]]
        eligible = [
            node
            for node in self.nodes.values()
            if self.eligible_until_ms(node) >= node.now_ms(self.true_ms)
        ]
        known_tickets = sorted(node.ticket for node in members)[len(members) // 2]
        known_tickets = min([known_tickets, *(node.ticket for node in eligible)])
        for number in range(known_tickets):
            self.in_force_ms[number] = min(self.in_force_ms[number], self.true_ms)

    # Requests.

    def request(self, node: Node, customer: CustomerId) -> None:
        if node.paused or node.ticket == 0:
            return
        now_ms = node.now_ms(self.true_ms)
        result = node.ledger.spend(customer, self.eligible_until_ms(node), now_ms)
        self._handle_result(node, customer, result)

    def _handle_result(self, node: Node, customer: CustomerId, result: object) -> None:
        now_ms = node.now_ms(self.true_ms)
        if isinstance(result, Spent):
            self.admitted.append((customer, self.true_ms, node, now_ms))
            self._send_loan_request(
                node, customer, node.ledger.top_up(customer, now_ms)
            )
        elif isinstance(result, Borrow):
            self._send_loan_request(node, customer, result, for_request=True)

    def _send_loan_request(
        self,
        node: Node,
        customer: CustomerId,
        borrow: Borrow | None,
        for_request: bool = False,
    ) -> None:
        if borrow is not None:
            now_ms = node.now_ms(self.true_ms)
            lender, missing = borrow.holders[0], borrow.missing
            self.loan_requests.append(
                LoanRequest(
                    node, lender, customer, missing, now_ms, borrow.gather, for_request
                )
            )

    def deliver(self, loan_request: LoanRequest) -> None:
        """Deliver the request to the lender, or the loan to the borrower."""
        lender = self.nodes[loan_request.lender]
        if loan_request.loan is None:
            if (
                not lender.paused
                and not lender.isolated
                and not loan_request.borrower.isolated
            ):
                until_ms = self.eligible_until_ms(lender)
                now_ms = lender.now_ms(self.true_ms)
                name, missing = loan_request.customer, loan_request.missing
                loan = lender.ledger.lend(name, missing, until_ms, now_ms)
                borrow = None
                if (
                    loan_request.gather
                    and loan.amount == 0.0
                    and self.rng.random() < 0.8
                ):
                    borrow = lender.ledger.gather(name, missing, now_ms)
                    self._send_loan_request(lender, name, borrow)
                loan_request.loan = loan if borrow is None else None
                if loan_request.gather and self.rng.random() < 0.5:
                    self._send_loan_request(
                        lender, name, lender.ledger.top_up(name, now_ms)
                    )
            return
        if loan_request.borrower.paused:
            return
        self.loan_requests.remove(loan_request)
        loan = loan_request.loan
        if self.faults.credit_in_full:
            loan = replace(loan, refill_per_s=0.0)
        now_ms = loan_request.borrower.now_ms(self.true_ms)
        arguments = (
            loan_request.customer,
            loan,
            loan_request.lender,
            loan_request.requested_at_ms,
            now_ms,
        )
        if not loan_request.for_request:
            loan_request.borrower.ledger.credit_loan(*arguments)
            return
        result = loan_request.borrower.ledger.credit_and_spend(*arguments)
        if not loan_request.timed_out:
            self._handle_result(loan_request.borrower, loan_request.customer, result)

    def time_out(self, loan_request: LoanRequest) -> None:
        """Let the request time out; its loan may still arrive."""
        if loan_request.timed_out or loan_request.borrower.paused:
            return
        loan_request.timed_out = True
        if loan_request.loan is None:
            self.loan_requests.remove(loan_request)
        now_ms = loan_request.borrower.now_ms(self.true_ms)
        if not loan_request.for_request:
            loan_request.borrower.ledger.record_timeout(
                loan_request.customer, loan_request.lender, now_ms
            )
            return
        result = loan_request.borrower.ledger.record_timeout_and_spend(
            loan_request.customer,
            loan_request.lender,
            loan_request.requested_at_ms,
            now_ms,
        )
        self._handle_result(loan_request.borrower, loan_request.customer, result)

    def refund(self, at: int) -> None:
        customer, _, node, spent_at_ms = self.admitted[at]
        if node.paused:
            return
        del self.admitted[at]
        now_ms = node.now_ms(self.true_ms)
        spent_at_ms = now_ms if self.faults.refund_always else spent_at_ms
        node.ledger.refund(customer, spent_at_ms, now_ms)

    # The bound.

    def excess(self) -> float:
        """Return by how many requests the worst window exceeds burst + rate x t.

        A token bucket of the whole rate and burst, full at first, is overdrawn exactly
        if some window has more. While a ticket is being distributed, the larger of the
        old and new values counts.
        """
        return max(self._excess_of(each.customer) for each in CUSTOMERS)

    def _excess_of(self, customer: CustomerId) -> float:
        accepted_tickets = zip(
            self.accepted_ms, self.in_force_ms, self.tickets, strict=True
        )
        tickets = [each for each in accepted_tickets if each[2].customer == customer]
        worst, last_ms, level = 0.0, 0.0, float(tickets[0][2].burst)
        for customer_id, time_ms, _, _ in sorted(
            self.admitted, key=lambda each: each[1]
        ):
            if customer_id != customer:
                continue
            # A replaced limit counts until its successor is in force everywhere.
            superseded = sum(at_ms + LEASE_MS < last_ms for _, at_ms, _ in tickets)
            accepted = sum(at_ms <= time_ms for at_ms, _, _ in tickets)
            effective = [
                each for _, _, each in tickets[max(0, superseded - 1) : accepted]
            ]
            rate = max(each.rate_per_s for each in effective)
            burst = max(each.burst for each in effective)
            level = min(burst, level + rate * (time_ms - last_ms) / 1000.0) - 1
            last_ms = time_ms
            worst = max(worst, -level)
        return worst

    def tick(self) -> None:
        """Let every node read the platform and contact two others, if it can."""
        for node in list(self.nodes.values()):
            self.poll(node)
            for peer in self.rng.sample(list(self.nodes.values()), 2):
                self.contact(node, peer)
        self.note_in_force()

    def burst(
        self, customer: CustomerId, nodes: list[Node], delivery_probability: float
    ) -> None:
        """Send many requests at once and deliver some loan requests immediately."""
        for node in nodes:
            for _ in range(4):
                self.request(node, customer)
                for _ in range(16):
                    if self.loan_requests and self.rng.random() < delivery_probability:
                        self.deliver(self.loan_requests[-1])

    def step(self) -> None:
        """Perform one random event, chosen by the seed."""
        rng = self.rng
        self.advance(rng.choice([0.0, 0.3, 30.0, 300.0, 300.0]))
        nodes = list(self.nodes.values())
        node = rng.choice(nodes)
        draw = rng.random()
        if draw < 0.35:
            burst_nodes = rng.sample(nodes, rng.randrange(1, len(nodes) + 1))
            self.burst(
                rng.choice(CUSTOMERS).customer, burst_nodes, rng.choice([0.3, 0.9])
            )
        elif draw < 0.55 and self.loan_requests:
            self.deliver(rng.choice(self.loan_requests))
        elif draw < 0.60 and self.loan_requests:
            self.time_out(rng.choice(self.loan_requests))
        elif draw < 0.85:
            self.tick()
        elif draw < 0.88 and self.admitted:
            self.refund(-rng.randrange(1, min(20, len(self.admitted)) + 1))
        elif draw < 0.94:
            node.paused = rng.random() < 0.25
            node.isolated = rng.random() < 0.25
        elif draw < 0.96 and len(self.views) < 12:
            self.change_view(rng.choice(self.views[-1]))
        elif draw < 0.98:
            self.platform_up = rng.random() < 0.6
        elif draw < 0.99:
            old = rng.choice(CUSTOMERS)
            rate_per_s = old.rate_per_s * rng.choice([0.5, 1, 2])
            burst = max(1, int(old.burst * rng.choice([0.5, 1, 2])))
            self.change_limit(replace(old, rate_per_s=rate_per_s, burst=burst))
