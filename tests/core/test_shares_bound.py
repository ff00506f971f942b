"""Check that in any t seconds all nodes together admit at most burst + rate x t."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.holders import holders_of
from crocusspindle.core.model import Customer
from crocusspindle.ids import MemberId
from tests.core.shares_simulation import (
    CUSTOMERS,
    LEASE_MS,
    Faults,
    Node,
    SharesSimulation,
)

TOLERANCE = 1e-6
SMALL = next(each for each in CUSTOMERS if each.customer == "small")
NAMES = st.sampled_from([each.customer for each in CUSTOMERS])
NUMBERS = st.integers(0, 1_000)


class Shares(RuleBasedStateMachine):
    """Search for an order of events that exceeds the bound."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = SharesSimulation(seed=1)

    def node(self, number):
        nodes = list(self.simulation.nodes.values())
        return nodes[number % len(nodes)]

    @rule(elapsed_ms=st.sampled_from([0.3, 30.0, 300.0, 1_000.0, 2_900.0]))
    def advance(self, elapsed_ms):
        self.simulation.advance(elapsed_ms)
        self.simulation.tick()

    @rule(elapsed_ms=st.sampled_from([1.0, 400.0, 3_100.0]))
    def advance_without_contact(self, elapsed_ms):
        self.simulation.advance(elapsed_ms)

    @rule(name=NAMES, delivery_probability=st.sampled_from([0.2, 0.95]))
    def burst(self, name, delivery_probability):
        self.simulation.burst(
            name, list(self.simulation.nodes.values()), delivery_probability
        )

    @rule(number=NUMBERS, late=st.booleans())
    def deliver_or_time_out(self, number, late):
        if self.simulation.loan_requests:
            loan_request = self.simulation.loan_requests[
                number % len(self.simulation.loan_requests)
            ]
            (self.simulation.time_out if late else self.simulation.deliver)(
                loan_request
            )

    @rule(number=NUMBERS)
    def refund(self, number):
        if self.simulation.admitted:
            self.simulation.refund(number % len(self.simulation.admitted))

    @rule(number=NUMBERS, paused=st.booleans(), isolated=st.booleans())
    def disturb(self, number, paused, isolated):
        node = self.node(number)
        node.paused, node.isolated = paused, isolated

    @rule(number=NUMBERS)
    def replace_member(self, number):
        members = self.simulation.views[-1]
        if len(self.simulation.views) < 8:
            self.simulation.change_view(members[number % len(members)])

    @rule(up=st.booleans())
    def platform(self, up):
        self.simulation.platform_up = up

    @invariant()
    def stays_within_the_bound(self):
        assert self.simulation.excess() <= TOLERANCE


TestShares = Shares.TestCase
TestShares.settings = settings(
    max_examples=25, stateful_step_count=30, deadline=None, derandomize=True
)


def run(seed: int, faults: Faults, steps: int = 600) -> SharesSimulation:
    simulation = SharesSimulation(seed, faults=faults)
    for _ in range(steps):
        simulation.step()
    return simulation


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_stay_within_the_bound(seed):
    simulation = run(seed, Faults())
    assert len(simulation.admitted) > 50
    assert simulation.excess() <= TOLERANCE


def full_simulation(faults: Faults) -> tuple[SharesSimulation, list[Node], list[Node]]:
    """Return a simulation with full shares, the holders of "small", and the others."""
    simulation = SharesSimulation(seed=3, nodes=9, faults=faults)
    simulation.advance(60_000.0)
    simulation.tick()
    names = holders_in(simulation, SMALL)
    holders = [simulation.nodes[name] for name in names]
    return (
        simulation,
        holders,
        [n for n in simulation.nodes.values() if n not in holders],
    )


def delayed_loan(faults: Faults) -> SharesSimulation:
    simulation, holders, others = full_simulation(faults)
    simulation.request(others[0], SMALL.customer)
    (loan_request,) = simulation.loan_requests
    simulation.deliver(loan_request)
    simulation.advance(2_900.0)
    simulation.tick()
    simulation.deliver(loan_request)
    simulation.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    return simulation


def resumed_holder(faults: Faults) -> SharesSimulation:
    simulation, holders, _ = full_simulation(faults)
    holders[0].paused = True
    simulation.change_view(holders[0].member)
    for _ in range(100):
        simulation.advance(100.0)
        simulation.tick()
    holders[0].paused = False
    simulation.burst(
        SMALL.customer, list(simulation.nodes.values()), delivery_probability=1.0
    )
    return simulation


def delayed_refund(faults: Faults) -> SharesSimulation:
    simulation, holders, others = full_simulation(faults)
    simulation.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    simulation.advance(2_900.0)
    simulation.tick()
    simulation.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    simulation.refund(0)
    simulation.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    return simulation


@pytest.mark.parametrize(
    ("events", "naive"),
    [
        # A loan is delayed, and its lender has refilled meanwhile. The borrower's
        # request and a whole burst are admitted together.
        (delayed_loan, Faults(credit_in_full=True)),
        # A holder resumes after its lease and does not check its freshness timestamp.
        # Its successor is full, and both spend.
        (resumed_holder, Faults(check_timestamp=False)),
        # A request is refused late, and its token is added to a bucket filled since.
        (delayed_refund, Faults(refund_always=True)),
    ],
)
def test_each_rule_is_needed_to_stay_within_the_bound(events, naive):
    assert events(naive).excess() > TOLERANCE
    assert events(Faults()).excess() <= TOLERANCE


def replaced_and_isolated(name: str, faults: Faults) -> SharesSimulation:
    """Isolate a holder in a platform outage, just after it was replaced.

    The previous holder was in contact with the majority until just before the majority
    adopted the new view.
    """
    simulation = SharesSimulation(seed=3, nodes=9, faults=faults)
    simulation.advance(60_000.0)
    simulation.tick()
    limit = next(each for each in CUSTOMERS if each.customer == name)
    before = holders_in(simulation, limit)
    holder = simulation.nodes[before[0]]
    simulation.change_view(holder.member)
    (successor,) = set(holders_in(simulation, limit)) - set(before)
    simulation.poll(simulation.nodes[successor])
    simulation.platform_up = False
    simulation.advance(LEASE_MS - 100.0)
    others = [node for node in simulation.nodes.values() if node is not holder]
    for node in others:
        if node.member.member != successor:
            simulation.contact(holder, node)
    holder.isolated = True
    for hundred_ms in range(80):
        simulation.advance(100.0)
        for node in others:
            for peer in others:
                simulation.contact(node, peer)
        if hundred_ms >= 28:
            simulation.burst(
                limit.customer, [holder, *others], delivery_probability=1.0
            )
    return simulation


def holders_in(simulation: SharesSimulation, limit: Customer) -> tuple[MemberId, ...]:
    rate_per_s, burst = limit.rate_per_s, limit.burst
    return holders_of(limit.customer, rate_per_s, burst, simulation.views[-1])


@pytest.mark.parametrize("name", ["tiny", "small", "large"])
def test_an_isolated_holder_and_its_successor_never_spend_together(name):
    # A holder is replaced and isolated just as the platform fails. It stays eligible
    # for a lease; a successor that opens at once would admit a second burst.
    no_lease = replaced_and_isolated(name, Faults(ledger_lease_ms=0.0))
    assert no_lease.excess() > TOLERANCE
    no_majority = replaced_and_isolated(name, Faults(wait_for_majority=False))
    assert no_majority.excess() > TOLERANCE
    assert replaced_and_isolated(name, Faults()).excess() <= TOLERANCE
