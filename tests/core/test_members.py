import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusspindle.core.members import (
    MAX_PREVIOUS_VIEWS,
    Membership,
    MembershipLimits,
    MemberView,
    NoProposalReason,
    Outage,
    PreviousView,
    ProposerState,
    ViewMember,
    decode_view,
    diff,
    encode_view,
)
from crocusspindle.ids import DomainId, MemberId, ViewNumber
from tests.core.small_fleet import Fleet, started_fleet

LIMITS = MembershipLimits(batch_ms=0.0)
ELIGIBLE = ProposerState(eligible=True, in_majority=True, confirmed=True)
ISOLATED = ProposerState(eligible=True, in_majority=False, confirmed=True)


def member(name: str, address: str | None = None) -> ViewMember:
    domain = DomainId(f"domain-{int(name[1:]) % 3}")
    own_address = address or name
    return ViewMember(MemberId(name), domain, "region", own_address, own_address, 0)


def view_of(count: int, number: int = 1) -> MemberView:
    members = tuple(member(f"n{index}") for index in range(count))
    return MemberView(ViewNumber(number), members)


def membership_of(count: int) -> Membership:
    membership = Membership(member("n0"), LIMITS)
    membership.adopt(view_of(count), 0.0)
    return membership


def propose_view(
    membership: Membership,
    now_ms: float,
    proposer_state: ProposerState = ELIGIBLE,
    *outages: Outage,
) -> MemberView:
    view = membership.propose(proposer_state, now_ms, int(now_ms), outages)
    assert isinstance(view, MemberView)
    return view


@settings(max_examples=100, derandomize=True)
@given(st.integers(0, 5), st.integers(0, 5), st.booleans())
def test_views_survive_encoding_and_differ_by_deltas(
    before: int, after: int, outage: bool
) -> None:
    earlier, later = view_of(before, 1), view_of(after, 2)
    delta = diff(earlier, later)
    assert len(delta.joined) == max(after - before, 0)
    assert len(delta.left) == max(before - after, 0)
    outages = (Outage(ViewNumber(1), 5, earlier.names),) if outage else ()
    view = MemberView(
        ViewNumber(2),
        later.members,
        (PreviousView(ViewNumber(1), earlier.names),),
        frozenset(delta.left),
        outages,
    )
    assert decode_view(encode_view(view)) == view
    assert view.outage_ended_unix_ms == (5 if outage else None)


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\x01", b"\x80", b"\x81\x01"])
def test_invalid_encoded_views_are_rejected(content: bytes) -> None:
    with pytest.raises(ValueError, match="not a member view"):
        decode_view(content)


def test_removal_needs_a_witness_in_another_domain() -> None:
    """A rack's switch fails. The nodes behind it receive nothing from the others and
    agree that these have failed; trusting them would remove most of the fleet."""
    membership = membership_of(6)
    assert membership.list_silent_members(9_000.0) == ()
    for name in ("n0", "n2", "n3", "n4", "n5"):
        membership.record_message(MemberId(name), 9_000.0)
    now_ms = 11_000.0
    assert membership.list_silent_members(now_ms) == ("n1",)
    membership.record_silence_report(MemberId("n1"), MemberId("n3"), now_ms)
    assert membership.propose(ELIGIBLE, now_ms, 0) is NoProposalReason.NOTHING_TO_CHANGE
    membership.record_silence_report(MemberId("n1"), MemberId("n2"), now_ms)
    assert membership.propose(ISOLATED, now_ms, 0) is NoProposalReason.NOTHING_TO_CHANGE
    view = propose_view(membership, now_ms)
    assert MemberId("n1") not in view.names
    assert view.formers == (PreviousView(ViewNumber(1), view_of(6).names),)
    membership.record_message(MemberId("n1"), now_ms)
    assert membership.propose(ELIGIBLE, now_ms, 0) is NoProposalReason.NOTHING_TO_CHANGE


def test_a_witness_report_expires() -> None:
    membership = membership_of(3)
    membership.record_silence_report(MemberId("n1"), MemberId("n2"), 1_000.0)
    membership.record_message(MemberId("n2"), 11_000.0)
    assert (
        membership.propose(ELIGIBLE, 11_000.0, 0) is NoProposalReason.NOTHING_TO_CHANGE
    )


def test_one_view_removes_at_most_a_minority() -> None:
    """If one view removed a majority of the previous view, no majority of that view
    would be left to confirm it."""
    membership = membership_of(7)
    for name in view_of(7).names[2:]:
        for witness in ("n1", "n2"):
            membership.record_silence_report(
                MemberId(name), MemberId(witness), 11_000.0
            )
    membership.record_message(MemberId("n1"), 11_000.0)
    assert len(propose_view(membership, 11_000.0).members) == 4


def test_a_restart_at_an_address_replaces_the_member_without_a_majority() -> None:
    """The power fails, and all hosts restart at once. No member of the agreed view is
    left to form a majority; without this rule no view could be written and no share
    spent again."""
    membership = Membership(member("n9", "n0"), LIMITS)
    membership.adopt(view_of(3), 0.0)
    view = propose_view(membership, 1.0, ISOLATED)
    assert view.names == ("n1", "n2", "n9")
    assert view.gone == {"n0"}


def test_a_member_that_announces_its_leave_is_removed_at_once() -> None:
    membership = membership_of(3)
    membership.record_leave(MemberId("n2"))
    view = propose_view(membership, 1.0, ISOLATED)
    assert view.names == ("n0", "n1")
    assert view.gone == {"n2"}
    membership.record_leave(MemberId("n0"))
    membership.adopt(view, 1.0)
    assert propose_view(membership, 2.0).names == ("n1",)


def test_an_ineligible_node_proposes_nothing_and_changes_are_batched() -> None:
    membership = Membership(member("n0"))
    membership.adopt(view_of(2), 0.0)
    membership.record_join_request(member("n5"))
    ineligible = ProposerState(eligible=False, in_majority=True, confirmed=True)
    assert membership.propose(ineligible, 5_000.0, 0) is NoProposalReason.INELIGIBLE
    assert membership.propose(ELIGIBLE, 500.0, 0) is NoProposalReason.BATCHING
    assert propose_view(membership, 1_000.0).names == ("n0", "n1", "n5")


def test_a_view_carries_a_bounded_number_of_unconfirmed_views() -> None:
    membership = membership_of(1)
    unconfirmed = ProposerState(eligible=True, in_majority=True, confirmed=False)
    for number in range(1, MAX_PREVIOUS_VIEWS + 1):
        membership.record_join_request(member(f"n{number}"))
        membership.adopt(propose_view(membership, 1.0, unconfirmed), 1.0)
    membership.record_join_request(member("n99"))
    assert membership.propose(unconfirmed, 1.0, 0) is NoProposalReason.UNCONFIRMED
    assert len(propose_view(membership, 1.0, ELIGIBLE).formers) == 1


def test_outages_are_recorded_once_and_expire() -> None:
    membership = membership_of(2)
    outage = Outage(ViewNumber(1), 1_000, view_of(2).names)
    view = propose_view(membership, 1_000.0, ELIGIBLE, outage)
    assert view.outages == (outage,)
    membership.adopt(view, 1_000.0)
    assert (
        membership.propose(ELIGIBLE, 2_000.0, 2_000, [outage])
        is NoProposalReason.NOTHING_TO_CHANGE
    )
    membership.record_join_request(member("n7"))
    late_ms = LIMITS.outage_kept_ms + 2_000
    assert propose_view(membership, late_ms).outages == ()


def test_only_one_concurrent_writer_succeeds_and_older_views_are_ignored() -> None:
    """Two nodes detect the same lost member and write the next view concurrently."""
    fleet = started_fleet(5)
    fleet.kill(fleet.nodes[MemberId("n4")])
    fleet.rounds(6)
    writers = [fleet.nodes[MemberId(name)] for name in ("n0", "n1")]
    assert [fleet.propose(writer) for writer in writers] == [True, False]
    fleet.rounds(2)
    assert {node.view.number for node in fleet.awake() if node.view} == {2}
    assert writers[0].membership.adopt(view_of(5, 1), 0.0) is None


@pytest.mark.parametrize("non_receiver", ["n0", "n3"])
def test_a_node_that_receives_nothing_does_not_remove_the_others(
    non_receiver: str,
) -> None:
    """One direction of a link fails: a node can send but receives nothing. By its own
    evidence all other members have failed, and it can reach the platform."""
    fleet = started_fleet(5)
    for other in fleet.nodes:
        fleet.blocked.add((other, MemberId(non_receiver)))
    fleet.rounds(8)
    assert not fleet.propose(fleet.nodes[MemberId(non_receiver)])
    assert no_member_removed(fleet)


def no_member_removed(fleet: Fleet) -> bool:
    for node in fleet.awake():
        fleet.propose(node)
    return len(decode_view(fleet.row).members) == len(fleet.nodes)


def test_a_node_that_cannot_send_is_removed_if_two_domains_agree() -> None:
    """The other direction fails: a node receives all messages but cannot send."""
    fleet = started_fleet(5)
    for other in fleet.nodes:
        fleet.blocked.add((MemberId("n4"), other))
    fleet.rounds(8)
    assert fleet.propose(fleet.nodes[MemberId("n0")])
    assert MemberId("n4") not in decode_view(fleet.row).names


def test_a_fleet_that_restarts_as_a_whole_settles_on_a_new_view() -> None:
    fleet = started_fleet(5)
    for index, node in enumerate(list(fleet.nodes.values())):
        fleet.kill(node)
        fleet.start(f"n{index + 10}", node.own_member.peer_address)
    for _ in range(12):
        fleet.round()
        for node in fleet.awake():
            fleet.propose(node)
    view = decode_view(fleet.row)
    assert len(view.members) == 5
    assert all(
        node.eligibility.is_settled(view.number, fleet.now(node))
        for node in fleet.awake()
    )
