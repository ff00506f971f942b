from collections.abc import Iterable
from dataclasses import replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from crocusspindle.core.eligibility import (
    Eligibility,
    EligibilityLimits,
    EligibilityReason,
)
from crocusspindle.core.members import MemberView, PreviousView, ViewMember
from crocusspindle.ids import DomainId, MemberId, TicketNumber, ViewNumber
from tests.core.small_fleet import Fleet, Node, started_fleet

LIMITS = EligibilityLimits()


def view(number: int, names: str) -> MemberView:
    members = tuple(
        ViewMember(MemberId(name), DomainId("d"), "r", "", name, 0) for name in names
    )
    return MemberView(ViewNumber(number), members)


def make_eligibility(names: str = "abcde") -> Eligibility:
    eligibility = Eligibility(MemberId("a"))
    eligibility.adopt(view(1, names), 0.0)
    return eligibility


def record_echoes(
    eligibility: Eligibility, names: Iterable[str], at_ms: float, number: int = 1
) -> None:
    for name in names:
        eligibility.record_echo(MemberId(name), ViewNumber(number), at_ms)


def test_a_timestamp_counts_from_the_begin_of_its_read() -> None:
    eligibility = make_eligibility()
    assert eligibility.reason(0.0) is EligibilityReason.NO_FRESH_TIMESTAMP
    eligibility.record_read(1000.0)
    eligibility.record_read(500.0)
    assert eligibility.eligible_until_ms(1200.0) == 1000.0 + LIMITS.freshness_ms
    assert eligibility.reason(1200.0) is EligibilityReason.FRESH_TIMESTAMP


def test_a_relayed_timestamp_is_never_newer_than_its_read() -> None:
    """A reply is delayed for a minute. If its age counted from its arrival, an old read
    would look fresh, and a withdrawn key would continue to work."""
    eligibility = make_eligibility()
    eligibility.record_relayed_read(requested_at_ms=10_000.0, age_ms=1_500.0)
    assert eligibility.fresh_until_ms() == 8_500.0 + LIMITS.freshness_ms
    eligibility.record_relayed_read(requested_at_ms=5_000.0, age_ms=0.0)
    assert not eligibility.is_eligible(60_000.0)


def test_a_majority_keeps_a_node_eligible_in_a_platform_outage() -> None:
    eligibility = make_eligibility()
    eligibility.record_platform_failure(10_000.0)
    record_echoes(eligibility, "b", 10_000.0)
    assert eligibility.reason(10_000.0) is EligibilityReason.NO_MAJORITY
    record_echoes(eligibility, "c", 9_500.0)
    assert eligibility.reason(10_000.0) is EligibilityReason.MAJORITY
    assert eligibility.eligible_until_ms(10_000.0) == 9_500.0 + LIMITS.contact_ms
    assert not eligibility.is_eligible(9_500.0 + LIMITS.contact_ms)


def test_a_majority_is_not_enough_without_a_failed_read() -> None:
    eligibility = make_eligibility()
    record_echoes(eligibility, "bcde", 10_000.0)
    assert eligibility.reason(10_000.0) is EligibilityReason.NO_FRESH_TIMESTAMP


def test_members_at_a_later_view_or_with_later_tickets_do_not_count() -> None:
    """The other nodes have withdrawn a key or removed this node. They still answer
    heartbeats; a node that counted these replies would continue to serve."""
    eligibility = make_eligibility()
    eligibility.record_platform_failure(10_000.0)
    record_echoes(eligibility, "bcd", 10_000.0)
    record_echoes(eligibility, "bc", 10_001.0, number=2)
    assert not eligibility.is_eligible(10_001.0)
    eligibility = make_eligibility()
    eligibility.record_platform_failure(10_000.0)
    for name in "bcde":
        eligibility.record_echo(
            MemberId(name), ViewNumber(1), 10_000.0, applied=TicketNumber(7)
        )
    assert not eligibility.is_eligible(10_000.0)
    eligibility.applied = TicketNumber(7)
    assert eligibility.is_eligible(10_000.0 + LIMITS.refresh_ms)


def test_the_deadline_of_a_resumed_node_has_passed() -> None:
    """A host pauses the process for a minute. When it resumes, all its evidence is
    positive but outdated."""
    eligibility = make_eligibility()
    eligibility.record_read(1_000.0)
    eligibility.record_platform_failure(1_000.0)
    record_echoes(eligibility, "bcde", 1_000.0)
    assert eligibility.is_eligible(1_500.0)
    assert not eligibility.is_eligible(61_000.0)
    assert not eligibility.has_lost_platform(61_000.0)


def test_a_lost_platform_counts_as_unreachable_until_the_next_view() -> None:
    """The platform is back under the same view. If it counted as reachable again, the
    table and the peers' memory could decide operations at the same time."""
    eligibility = make_eligibility()
    eligibility.record_read(0.0)
    eligibility.record_platform_failure(1_000.0)
    assert not eligibility.has_lost_platform(3_000.0)
    assert eligibility.has_lost_platform(4_500.0)
    eligibility.record_read(6_000.0)
    assert eligibility.has_lost_platform(6_000.0)
    later = replace(view(3, "abcde"), formers=(PreviousView(ViewNumber(2), ()),))
    eligibility.adopt(later, 6_000.0)
    assert not eligibility.has_lost_platform(6_000.0)
    eligibility.record_echo(
        MemberId("b"), ViewNumber(3), 6_000.0, away_views=[ViewNumber(0)]
    )
    eligibility.record_echo(
        MemberId("c"), ViewNumber(3), 6_000.0, away_views=[ViewNumber(2)]
    )
    assert eligibility.outage_views(6_000.0) == {1, 2}


class NoConfirmation(Eligibility):
    """Baseline: accept a majority of the own view without regard to previous views."""

    def is_settled(self, view_number: ViewNumber, now_ms: float) -> bool:
        return self._view is not None and view_number <= self._view.number


def views_with_majority(fleet: Fleet) -> set[ViewNumber]:
    """Return the views by which nodes are eligible without the platform."""
    return {
        node.view.number
        for node in fleet.awake()
        if node.view is not None
        and fleet.now(node) < node.eligibility.majority_until_ms(fleet.now(node))
    }


def split_fleet(eligibility_type: type[Eligibility]) -> Fleet:
    """Isolate two of five; the three lose the platform just as a view is written."""
    fleet = started_fleet(5, eligibility_type=eligibility_type)
    old = {MemberId(name) for name in ("n0", "n1", "n2")}
    fleet.partition(old)
    for name in ("n5", "n6", "n7", "n8"):
        joining = fleet.start(name, name[1:])
        fleet.partition(old)
        fleet.nodes[MemberId("n4")].membership.record_join_request(joining.own_member)
    fleet.reaching_platform -= old
    fleet.round()
    fleet.propose(fleet.nodes[MemberId("n4")])
    fleet.reaching_platform.clear()
    fleet.rounds(4)
    return fleet


def test_two_partitions_are_never_eligible_by_different_views() -> None:
    """Three of five lose the platform and continue as a majority of the view they know.
    The other two, isolated from them, let four new nodes join and then lose the
    platform as well: six of a view of nine. Both partitions spend the same shares, and
    a customer gets twice its rate."""
    assert views_with_majority(split_fleet(NoConfirmation)) == {1, 2}
    assert views_with_majority(split_fleet(Eligibility)) == {1}


class SplitMachine(RuleBasedStateMachine):
    """Search for failing orders of partitions, outages, pauses, restarts and views."""

    eligibility_type: type[Eligibility] = Eligibility

    def __init__(self) -> None:
        super().__init__()
        self.fleet = started_fleet(5, eligibility_type=self.eligibility_type)
        self.started_count = 5

    def pick(self, index: int) -> Node:
        nodes = list(self.fleet.nodes.values())
        return nodes[index % len(nodes)]

    @rule(count=st.integers(1, 6))
    def pass_time(self, count: int) -> None:
        for _ in range(count):
            self.fleet.round()
            self.check()

    @rule(index=st.integers(0, 9), delay_ms=st.sampled_from([0.0, 900.0, 2900.0]))
    def one_delayed_echo(self, index: int, delay_ms: float) -> None:
        node, peer = self.pick(index), self.pick(index + 1)
        if node is not peer and node.awake and peer.awake:
            self.fleet.send_heartbeat(node, peer, delay_ms)

    @rule(group=st.sets(st.integers(0, 9), min_size=1, max_size=4))
    def cut(self, group: set[int]) -> None:
        self.fleet.blocked.clear()
        self.fleet.partition({self.pick(index).own_member.member for index in group})

    @rule(sender=st.integers(0, 9), blocks_sending=st.booleans())
    def cut_one_way(self, sender: int, blocks_sending: bool) -> None:
        member = self.pick(sender).own_member.member
        for other in self.fleet.nodes:
            self.fleet.blocked.add(
                (member, other) if blocks_sending else (other, member)
            )

    @rule()
    def heal(self) -> None:
        self.fleet.blocked.clear()

    @rule(reaching_platform=st.sets(st.integers(0, 9), max_size=5))
    def platform(self, reaching_platform: set[int]) -> None:
        self.fleet.reaching_platform = {
            self.pick(index).own_member.member for index in reaching_platform
        }

    @rule(index=st.integers(0, 9))
    def pause_or_resume(self, index: int) -> None:
        node = self.pick(index)
        node.awake = not node.awake

    @rule(index=st.integers(0, 9), reaches=st.booleans(), kills_old=st.booleans())
    def restart(self, index: int, reaches: bool, kills_old: bool) -> None:
        if len(self.fleet.nodes) > 8 and not kills_old:
            return
        address = str(self.started_count)
        if kills_old:
            old = self.pick(index)
            address = old.own_member.peer_address
            self.fleet.kill(old)
        node = self.fleet.start(f"n{self.started_count}", address, reaches=reaches)
        self.started_count += 1
        for peer in self.fleet.awake():
            if (
                node.own_member.member,
                peer.own_member.member,
            ) not in self.fleet.blocked:
                peer.membership.record_join_request(node.own_member)

    @rule(index=st.integers(0, 9))
    def ticket(self, index: int) -> None:
        if self.pick(index).own_member.member in self.fleet.reaching_platform:
            self.fleet.tickets.append(self.fleet.time_ms)

    @rule(index=st.integers(0, 9))
    def write_view(self, index: int) -> None:
        node = self.pick(index)
        if node.awake:
            self.fleet.propose(node)

    @invariant()
    def check(self) -> None:
        assert len(views_with_majority(self.fleet)) <= 1
        for node in self.fleet.awake():
            now_ms = self.fleet.now(node)
            if now_ms >= node.eligibility.fresh_until_ms():
                continue
            # Allows for clocks up to 2 % fast or slow.
            since_ms = self.fleet.time_ms - LIMITS.freshness_ms * 1.03
            due = sum(at_ms < since_ms for at_ms in self.fleet.tickets)
            assert node.applied >= due


TestSplit = SplitMachine.TestCase
TestSplit.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


@pytest.mark.parametrize("size", [1, 2, 3])
def test_small_fleets_need_more_than_half(size: int) -> None:
    names = "abc"[:size]
    eligibility = make_eligibility(names)
    eligibility.record_platform_failure(1_000.0)
    record_echoes(eligibility, names[1 : size // 2 + 1], 1_000.0)
    assert eligibility.is_eligible(1_000.0)
    alone = make_eligibility(names)
    alone.record_platform_failure(1_000.0)
    assert alone.is_eligible(1_000.0) is (size == 1)
