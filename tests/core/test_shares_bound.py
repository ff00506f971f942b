"""Check that in any t seconds all nodes together admit at most burst + rate x t."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.holders import holders_of
from crocusspindle.core.model import Customer
from crocusspindle.ids import MemberId
from tests.core.shares_world import CUSTOMERS, LEASE_MS, Faults, Node, World

TOLERANCE = 1e-6
SMALL = next(each for each in CUSTOMERS if each.customer == "small")
NAMES = st.sampled_from([each.customer for each in CUSTOMERS])
NUMBERS = st.integers(0, 1_000)


class Shares(RuleBasedStateMachine):
    """Search for an order of events that exceeds the bound."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(seed=1)

    def node(self, number):
        nodes = list(self.world.nodes.values())
        return nodes[number % len(nodes)]

    @rule(elapsed_ms=st.sampled_from([0.3, 30.0, 300.0, 1_000.0, 2_900.0]))
    def advance(self, elapsed_ms):
        self.world.advance(elapsed_ms)
        self.world.tick()

    @rule(elapsed_ms=st.sampled_from([1.0, 400.0, 3_100.0]))
    def advance_without_contact(self, elapsed_ms):
        self.world.advance(elapsed_ms)

    @rule(name=NAMES, delivery_probability=st.sampled_from([0.2, 0.95]))
    def burst(self, name, delivery_probability):
        self.world.burst(name, list(self.world.nodes.values()), delivery_probability)

    @rule(number=NUMBERS, late=st.booleans())
    def deliver_or_time_out(self, number, late):
        if self.world.loan_requests:
            loan_request = self.world.loan_requests[
                number % len(self.world.loan_requests)
            ]
            (self.world.time_out if late else self.world.deliver)(loan_request)

    @rule(number=NUMBERS)
    def refund(self, number):
        if self.world.admitted:
            self.world.refund(number % len(self.world.admitted))

    @rule(number=NUMBERS, paused=st.booleans(), isolated=st.booleans())
    def disturb(self, number, paused, isolated):
        node = self.node(number)
        node.paused, node.isolated = paused, isolated

    @rule(number=NUMBERS)
    def replace_member(self, number):
        members = self.world.views[-1]
        if len(self.world.views) < 8:
            self.world.change_view(members[number % len(members)])

    @rule(up=st.booleans())
    def platform(self, up):
        self.world.platform_up = up

    @invariant()
    def stays_within_the_bound(self):
        assert self.world.excess() <= TOLERANCE


TestShares = Shares.TestCase
TestShares.settings = settings(
    max_examples=25, stateful_step_count=30, deadline=None, derandomize=True
)


def run(seed: int, faults: Faults, steps: int = 600) -> World:
    world = World(seed, faults=faults)
    for _ in range(steps):
        world.step()
    return world


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_stay_within_the_bound(seed):
    world = run(seed, Faults())
    assert len(world.admitted) > 50
    assert world.excess() <= TOLERANCE


def full_world(faults: Faults) -> tuple[World, list[Node], list[Node]]:
    """Return a world with full shares, the holders of "small", and the others."""
    world = World(seed=3, nodes=9, faults=faults)
    world.advance(60_000.0)
    world.tick()
    names = holders_in(world, SMALL)
    holders = [world.nodes[name] for name in names]
    return world, holders, [n for n in world.nodes.values() if n not in holders]


def delayed_loan(faults: Faults) -> World:
    world, holders, others = full_world(faults)
    world.request(others[0], SMALL.customer)
    (loan_request,) = world.loan_requests
    world.deliver(loan_request)
    world.advance(2_900.0)
    world.tick()
    world.deliver(loan_request)
    world.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    return world


def resumed_holder(faults: Faults) -> World:
    world, holders, _ = full_world(faults)
    holders[0].paused = True
    world.change_view(holders[0].member)
    for _ in range(100):
        world.advance(100.0)
        world.tick()
    holders[0].paused = False
    world.burst(SMALL.customer, list(world.nodes.values()), delivery_probability=1.0)
    return world


def delayed_refund(faults: Faults) -> World:
    world, holders, others = full_world(faults)
    world.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    world.advance(2_900.0)
    world.tick()
    world.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    world.refund(0)
    world.burst(SMALL.customer, [*holders, *others], delivery_probability=1.0)
    return world


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


def replaced_and_isolated(name: str, faults: Faults) -> World:
    """Isolate a holder in a platform outage, just after it was replaced.

    The previous holder was in contact with the majority until just before the majority
    adopted the new view.
    """
    world = World(seed=3, nodes=9, faults=faults)
    world.advance(60_000.0)
    world.tick()
    limit = next(each for each in CUSTOMERS if each.customer == name)
    before = holders_in(world, limit)
    holder = world.nodes[before[0]]
    world.change_view(holder.member)
    (successor,) = set(holders_in(world, limit)) - set(before)
    world.poll(world.nodes[successor])
    world.platform_up = False
    world.advance(LEASE_MS - 100.0)
    others = [node for node in world.nodes.values() if node is not holder]
    for node in others:
        if node.member.member != successor:
            world.contact(holder, node)
    holder.isolated = True
    for hundred_ms in range(80):
        world.advance(100.0)
        for node in others:
            for peer in others:
                world.contact(node, peer)
        if hundred_ms >= 28:
            world.burst(limit.customer, [holder, *others], delivery_probability=1.0)
    return world


def holders_in(world: World, limit: Customer) -> tuple[MemberId, ...]:
    rate_per_s, burst = limit.rate_per_s, limit.burst
    return holders_of(limit.customer, rate_per_s, burst, world.views[-1])


@pytest.mark.parametrize("name", ["tiny", "small", "large"])
def test_an_isolated_holder_and_its_successor_never_spend_together(name):
    # A holder is replaced and isolated just as the platform fails. It stays eligible
    # for a lease; a successor that opens at once would admit a second burst.
    no_lease = replaced_and_isolated(name, Faults(ledger_lease_ms=0.0))
    assert no_lease.excess() > TOLERANCE
    no_majority = replaced_and_isolated(name, Faults(wait_for_majority=False))
    assert no_majority.excess() > TOLERANCE
    assert replaced_and_isolated(name, Faults()).excess() <= TOLERANCE
