import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusspindle.core.members import (
    MAX_FORMERS,
    Former,
    Membership,
    MembershipLimits,
    MemberView,
    Outage,
    ProposalBar,
    Standing,
    ViewMember,
    decode_view,
    diff,
    encode_view,
)
from crocusspindle.ids import DomainId, MemberId, ViewNumber
from tests.core.small_fleet import Fleet, started

LIMITS = MembershipLimits(batch_ms=0.0)
FIT = Standing(fit=True, in_majority=True, confirmed=True)
CUT_OFF = Standing(fit=True, in_majority=False, confirmed=True)


def member(name: str, address: str | None = None) -> ViewMember:
    domain = DomainId(f"domain-{int(name[1:]) % 3}")
    place = address or name
    return ViewMember(MemberId(name), domain, "region", place, place, 0)


def view_of(count: int, number: int = 1) -> MemberView:
    members = tuple(member(f"n{index}") for index in range(count))
    return MemberView(ViewNumber(number), members)


def joined(count: int) -> Membership:
    core = Membership(member("n0"), LIMITS)
    core.adopt(view_of(count), 0.0)
    return core


def proposed(
    core: Membership, now_ms: float, standing: Standing = FIT, *outages: Outage
) -> MemberView:
    view = core.propose(standing, now_ms, int(now_ms), outages)
    assert isinstance(view, MemberView)
    return view


@settings(max_examples=100, derandomize=True)
@given(st.integers(0, 5), st.integers(0, 5), st.booleans())
def test_views_survive_their_row_and_differ_by_deltas(
    before: int, after: int, outage: bool
) -> None:
    former, latter = view_of(before, 1), view_of(after, 2)
    delta = diff(former, latter)
    assert len(delta.joined) == max(after - before, 0)
    assert len(delta.left) == max(before - after, 0)
    outages = (Outage(ViewNumber(1), 5, former.names),) if outage else ()
    whole = MemberView(
        ViewNumber(2),
        latter.members,
        (Former(ViewNumber(1), former.names),),
        frozenset(delta.left),
        outages,
    )
    assert decode_view(encode_view(whole)) == whole
    assert whole.outage_ended_unix_ms == (5 if outage else None)


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\x01", b"\x80", b"\x81\x01"])
def test_bytes_that_are_no_view_are_refused(content: bytes) -> None:
    with pytest.raises(ValueError, match="not a member view"):
        decode_view(content)


def test_silence_needs_a_witness_in_another_domain() -> None:
    """A rack's switch goes. The nodes behind it hear nobody else, and agree with each
    other that the rest is dead; believing them would empty the fleet."""
    core = joined(6)
    assert core.silent(9_000.0) == ()
    for name in ("n0", "n2", "n3", "n4", "n5"):
        core.heard(MemberId(name), 9_000.0)
    now_ms = 11_000.0
    assert core.silent(now_ms) == ("n1",)
    core.silent_elsewhere(MemberId("n1"), MemberId("n3"), now_ms)
    assert core.propose(FIT, now_ms, 0) is ProposalBar.NOTHING_TO_CHANGE
    core.silent_elsewhere(MemberId("n1"), MemberId("n2"), now_ms)
    assert core.propose(CUT_OFF, now_ms, 0) is ProposalBar.NOTHING_TO_CHANGE
    view = proposed(core, now_ms)
    assert MemberId("n1") not in view.names
    assert view.formers == (Former(ViewNumber(1), view_of(6).names),)
    core.heard(MemberId("n1"), now_ms)
    assert core.propose(FIT, now_ms, 0) is ProposalBar.NOTHING_TO_CHANGE


def test_a_witness_is_forgotten_after_a_while() -> None:
    core = joined(3)
    core.silent_elsewhere(MemberId("n1"), MemberId("n2"), 1_000.0)
    core.heard(MemberId("n2"), 11_000.0)
    assert core.propose(FIT, 11_000.0, 0) is ProposalBar.NOTHING_TO_CHANGE


def test_one_view_removes_at_most_a_minority() -> None:
    core = joined(7)
    for name in view_of(7).names[2:]:
        for witness in ("n1", "n2"):
            core.silent_elsewhere(MemberId(name), MemberId(witness), 11_000.0)
    core.heard(MemberId("n1"), 11_000.0)
    assert len(proposed(core, 11_000.0).members) == 4


def test_a_later_start_at_an_address_replaces_the_former_without_a_majority() -> None:
    """The power fails, and all hosts start again at once. Nobody of the agreed view
    is left to form a majority; without this rule no view could be written and no
    share be spent again."""
    core = Membership(member("n9", "n0"), LIMITS)
    core.adopt(view_of(3), 0.0)
    view = proposed(core, 1.0, CUT_OFF)
    assert view.names == ("n1", "n2", "n9")
    assert view.gone == {"n0"}


def test_a_member_that_says_goodbye_leaves_at_once() -> None:
    core = joined(3)
    core.leaves(MemberId("n2"))
    view = proposed(core, 1.0, CUT_OFF)
    assert view.names == ("n0", "n1")
    assert view.gone == {"n2"}
    core.leaves(MemberId("n0"))
    core.adopt(view, 1.0)
    assert proposed(core, 2.0).names == ("n1",)


def test_an_unfit_node_proposes_nothing_and_changes_come_in_batches() -> None:
    core = Membership(member("n0"))
    core.adopt(view_of(2), 0.0)
    core.asks_to_join(member("n5"))
    unfit = Standing(fit=False, in_majority=True, confirmed=True)
    assert core.propose(unfit, 5_000.0, 0) is ProposalBar.UNFIT
    assert core.propose(FIT, 500.0, 0) is ProposalBar.BATCHING
    assert proposed(core, 1_000.0).names == ("n0", "n1", "n5")


def test_unconfirmed_views_are_carried_up_to_a_bound() -> None:
    core = joined(1)
    unconfirmed = Standing(fit=True, in_majority=True, confirmed=False)
    for number in range(1, MAX_FORMERS + 1):
        core.asks_to_join(member(f"n{number}"))
        core.adopt(proposed(core, 1.0, unconfirmed), 1.0)
    core.asks_to_join(member("n99"))
    assert core.propose(unconfirmed, 1.0, 0) is ProposalBar.UNCONFIRMED
    assert len(proposed(core, 1.0, FIT).formers) == 1


def test_outages_are_written_once_and_kept_for_a_while() -> None:
    core = joined(2)
    outage = Outage(ViewNumber(1), 1_000, view_of(2).names)
    view = proposed(core, 1_000.0, FIT, outage)
    assert view.outages == (outage,)
    core.adopt(view, 1_000.0)
    assert core.propose(FIT, 2_000.0, 2_000, [outage]) is ProposalBar.NOTHING_TO_CHANGE
    core.asks_to_join(member("n7"))
    late_ms = LIMITS.outage_kept_ms + 2_000
    assert proposed(core, late_ms).outages == ()


def test_racing_writers_lose_harmlessly_and_older_views_are_ignored() -> None:
    """Two nodes see the same member go and write the next view at once."""
    fleet = started(5)
    fleet.kill(fleet.nodes[MemberId("n4")])
    fleet.rounds(6)
    writers = [fleet.nodes[MemberId(name)] for name in ("n0", "n1")]
    assert [fleet.propose(writer) for writer in writers] == [True, False]
    fleet.rounds(2)
    assert {node.view.number for node in fleet.awake() if node.view} == {2}
    assert writers[0].membership.adopt(view_of(5, 1), 0.0) is None


@pytest.mark.parametrize("deaf", ["n0", "n3"])
def test_a_deaf_node_does_not_throw_out_the_rest(deaf: str) -> None:
    """One direction of a cable fails: a node's messages arrive, but it hears nobody.
    By its own evidence everybody else is dead, and it reaches the platform."""
    fleet = started(5)
    for other in fleet.nodes:
        fleet.blocked.add((other, MemberId(deaf)))
    fleet.rounds(8)
    assert not fleet.propose(fleet.nodes[MemberId(deaf)])
    assert everyone_stays(fleet)


def everyone_stays(fleet: Fleet) -> bool:
    for node in fleet.awake():
        fleet.propose(node)
    return len(decode_view(fleet.row).members) == len(fleet.nodes)


def test_a_mute_node_goes_by_the_word_of_two_domains() -> None:
    """The other direction fails: a node hears all, and nobody hears it."""
    fleet = started(5)
    for other in fleet.nodes:
        fleet.blocked.add((MemberId("n4"), other))
    fleet.rounds(8)
    assert fleet.propose(fleet.nodes[MemberId("n0")])
    assert MemberId("n4") not in decode_view(fleet.row).names


def test_a_fleet_restarted_as_a_whole_settles_on_a_new_view() -> None:
    fleet = started(5)
    for index, node in enumerate(list(fleet.nodes.values())):
        fleet.kill(node)
        fleet.start(f"n{index + 10}", node.me.peer_address)
    for _ in range(12):
        fleet.round()
        for node in fleet.awake():
            fleet.propose(node)
    view = decode_view(fleet.row)
    assert len(view.members) == 5
    assert all(
        node.fitness.majority_at(view.number, fleet.now(node)) for node in fleet.awake()
    )
