from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.fitness import Fitness, FitnessLimits, FitnessReason
from crocusspindle.core.members import Former, MemberView, ViewMember
from crocusspindle.ids import DomainId, MemberId, TicketNumber, ViewNumber
from tests.core.small_fleet import Fleet, Node, started

LIMITS = FitnessLimits()


def view(number: int, names: str) -> MemberView:
    members = tuple(
        ViewMember(MemberId(name), DomainId("d"), "r", "", name, 0) for name in names
    )
    return MemberView(ViewNumber(number), members)


def fitness(names: str = "abcde") -> Fitness:
    core = Fitness(MemberId("a"))
    core.adopt(view(1, names), 0.0)
    return core


def echoes(core: Fitness, names: Iterable[str], at_ms: float, number: int = 1) -> None:
    for name in names:
        core.echo(MemberId(name), ViewNumber(number), at_ms)


def test_a_stamp_counts_from_the_begin_of_its_read() -> None:
    core = fitness()
    assert core.reason(0.0) is FitnessReason.NO_STAMP
    core.stamp(1000.0)
    core.stamp(500.0)
    assert core.fit_until_ms(1200.0) == 1000.0 + LIMITS.freshness_ms
    assert core.reason(1200.0) is FitnessReason.STAMP


def test_a_relayed_stamp_is_never_younger_than_the_read() -> None:
    """An answer is held up on the way for a minute. Counting its age from when it
    arrives would make an old read look fresh, and a withdrawn key would work on."""
    core = fitness()
    core.relayed(asked_at_ms=10_000.0, age_ms=1_500.0)
    assert core.stamp_until_ms() == 8_500.0 + LIMITS.freshness_ms
    core.relayed(asked_at_ms=5_000.0, age_ms=0.0)
    assert not core.is_fit(60_000.0)


def test_a_majority_carries_a_node_while_the_platform_is_away() -> None:
    core = fitness()
    core.platform_failing(10_000.0)
    echoes(core, "b", 10_000.0)
    assert core.reason(10_000.0) is FitnessReason.NO_MAJORITY
    echoes(core, "c", 9_500.0)
    assert core.reason(10_000.0) is FitnessReason.MAJORITY
    assert core.fit_until_ms(10_000.0) == 9_500.0 + LIMITS.contact_ms
    assert not core.is_fit(9_500.0 + LIMITS.contact_ms)


def test_without_a_sign_of_an_outage_a_majority_is_not_enough() -> None:
    core = fitness()
    echoes(core, "bcde", 10_000.0)
    assert core.reason(10_000.0) is FitnessReason.NO_STAMP


def test_members_at_a_later_view_or_with_later_tickets_do_not_count() -> None:
    """The rest of the fleet has moved on: it withdrew a key, or threw this node out.
    It still answers heartbeats, and a node that counted them would serve on."""
    core = fitness()
    core.platform_failing(10_000.0)
    echoes(core, "bcd", 10_000.0)
    echoes(core, "bc", 10_001.0, number=2)
    assert not core.is_fit(10_001.0)
    core = fitness()
    core.platform_failing(10_000.0)
    for name in "bcde":
        core.echo(MemberId(name), ViewNumber(1), 10_000.0, applied=TicketNumber(7))
    assert not core.is_fit(10_000.0)
    core.applied = TicketNumber(7)
    assert core.is_fit(10_000.0 + LIMITS.refresh_ms)


def test_a_woken_node_finds_its_deadline_passed() -> None:
    """A host stops the process for a minute. When it runs on, its memory is full of
    good evidence, all of it old."""
    core = fitness()
    core.stamp(1_000.0)
    core.platform_failing(1_000.0)
    echoes(core, "bcde", 1_000.0)
    assert core.is_fit(1_500.0)
    assert not core.is_fit(61_000.0)
    assert not core.away(61_000.0)


def test_away_lasts_until_the_next_view() -> None:
    core = fitness()
    core.stamp(0.0)
    core.platform_failing(1_000.0)
    assert not core.away(3_000.0)
    assert core.away(4_500.0)
    core.stamp(6_000.0)
    assert core.away(6_000.0)
    later = replace(view(3, "abcde"), formers=(Former(ViewNumber(2), ()),))
    core.adopt(later, 6_000.0)
    assert not core.away(6_000.0)
    core.echo(MemberId("b"), ViewNumber(3), 6_000.0, away_views=[ViewNumber(0)])
    core.echo(MemberId("c"), ViewNumber(3), 6_000.0, away_views=[ViewNumber(2)])
    assert core.away_views(6_000.0) == {1, 2}


class NoWait(Fitness):
    """Baseline: count a majority of the own view, whatever former views may do."""

    def majority_at(self, view_number: ViewNumber, now_ms: float) -> bool:
        return self._view is not None and view_number <= self._view.number


def minorities(fleet: Fleet) -> set[ViewNumber]:
    """Return the views by which nodes are fit without the platform."""
    return {
        node.view.number
        for node in fleet.awake()
        if node.view is not None
        and fleet.now(node) < node.fitness.majority_until_ms(fleet.now(node))
    }


def split(fitness_type: type[Fitness]) -> Fleet:
    """Cut two of five off; the three lose the platform just as a view is written."""
    fleet = started(5, fitness_type=fitness_type)
    old = {MemberId(name) for name in ("n0", "n1", "n2")}
    fleet.part(old)
    for name in ("n5", "n6", "n7", "n8"):
        joining = fleet.start(name, name[1:])
        fleet.part(old)
        fleet.nodes[MemberId("n4")].membership.asks_to_join(joining.me)
    fleet.reach -= old
    fleet.round()
    fleet.propose(fleet.nodes[MemberId("n4")])
    fleet.reach.clear()
    fleet.rounds(4)
    return fleet


def test_two_parts_are_never_fit_by_different_views() -> None:
    """Three of five lose the platform and go on as a majority of the view they know.
    The other two, cut off from them, let four new nodes join and then lose the
    platform as well: six of a view of nine. Both parts spend the same shares, and a
    customer gets twice its rate."""
    assert minorities(split(NoWait)) == {1, 2}
    assert minorities(split(Fitness)) == {1}


class SplitMachine(RuleBasedStateMachine):
    """Search orders of cuts, outages, pauses, restarts and view changes."""

    fitness_type: type[Fitness] = Fitness

    def __init__(self) -> None:
        super().__init__()
        self.fleet = started(5, fitness_type=self.fitness_type)
        self.starts = 5

    def pick(self, index: int) -> Node:
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    @rule(count=st.integers(1, 6))
    def pass_time(self, count: int) -> None:
        for _ in range(count):
            self.fleet.round()
            self.check()

    @rule(index=st.integers(0, 9), delay_ms=st.sampled_from([0.0, 900.0, 2900.0]))
    def one_answer(self, index: int, delay_ms: float) -> None:
        node, peer = self.pick(index), self.pick(index + 1)
        if node is not peer and node.awake and peer.awake:
            self.fleet.beat(node, peer, delay_ms)

    @rule(group=st.sets(st.integers(0, 9), min_size=1, max_size=4))
    def cut(self, group: set[int]) -> None:
        self.fleet.blocked.clear()
        self.fleet.part({self.pick(index).me.member for index in group})

    @rule(sender=st.integers(0, 9), heard=st.booleans())
    def deafen(self, sender: int, heard: bool) -> None:
        one = self.pick(sender).me.member
        for other in self.fleet.nodes:
            self.fleet.blocked.add((one, other) if heard else (other, one))

    @rule()
    def heal(self) -> None:
        self.fleet.blocked.clear()

    @rule(reach=st.sets(st.integers(0, 9), max_size=5))
    def platform(self, reach: set[int]) -> None:
        self.fleet.reach = {self.pick(index).me.member for index in reach}

    @rule(index=st.integers(0, 9))
    def stop_or_wake(self, index: int) -> None:
        node = self.pick(index)
        node.awake = not node.awake

    @rule(index=st.integers(0, 9), reaches=st.booleans(), dies=st.booleans())
    def restart(self, index: int, reaches: bool, dies: bool) -> None:
        if len(self.fleet.nodes) > 8 and not dies:
            return
        address = str(self.starts)
        if dies:
            old = self.pick(index)
            address = old.me.peer_address
            self.fleet.kill(old)
        node = self.fleet.start(f"n{self.starts}", address, reaches=reaches)
        self.starts += 1
        for peer in self.fleet.awake():
            if (node.me.member, peer.me.member) not in self.fleet.blocked:
                peer.membership.asks_to_join(node.me)

    @rule(index=st.integers(0, 9))
    def ticket(self, index: int) -> None:
        if self.pick(index).me.member in self.fleet.reach:
            self.fleet.tickets.append(self.fleet.t_ms)

    @rule(index=st.integers(0, 9))
    def write_view(self, index: int) -> None:
        node = self.pick(index)
        if node.awake:
            self.fleet.propose(node)

    @invariant()
    def check(self) -> None:
        assert len(minorities(self.fleet)) <= 1
        for node in self.fleet.awake():
            now_ms = self.fleet.now(node)
            if now_ms >= node.fitness.stamp_until_ms():
                continue
            # 2 % of clock rate on either side of the freshness time.
            since_ms = self.fleet.t_ms - LIMITS.freshness_ms * 1.03
            due = sum(at_ms < since_ms for at_ms in self.fleet.tickets)
            assert node.applied >= due


TestSplit = SplitMachine.TestCase
TestSplit.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


@pytest.mark.parametrize("size", [1, 2, 3])
def test_small_fleets_need_more_than_half(size: int) -> None:
    names = "abc"[:size]
    core = fitness(names)
    core.platform_failing(1_000.0)
    echoes(core, names[1 : size // 2 + 1], 1_000.0)
    assert core.is_fit(1_000.0)
    alone = fitness(names)
    alone.platform_failing(1_000.0)
    assert alone.is_fit(1_000.0) is (size == 1)
