"""Keep one bucket a customer while members come, go, restart and lose touch."""

import random

import pytest

from crocusspindle.core.configuration import CustomerRule
from crocusspindle.core.quota_keeper import (
    Admitted,
    NotKept,
    OverRate,
)
from crocusspindle.core.quota_reserve import QuotaReserve
from crocusspindle.core.view import next_view
from crocusspindle.ids import HostId
from tests.core.quota_world import (
    CLUB,
    FENCE_MS,
    RULE,
    WINDOW_MS,
    admitted,
    by_rank,
    keeper,
    new_keeper,
    node,
    present,
)


def test_the_first_keeper_admits_the_burst_and_then_the_rate():
    view = next_view(None, present("a"))
    club = keeper("a", view, 0.0)
    assert admitted(club, 0.0, 10) == 5
    assert isinstance(club.spend(CLUB, 0.0, 0.0), OverRate)
    club.set_view(view, 1_000.0, 1_000.0)
    assert admitted(club, 1_000.0, 10) == 5


def test_a_short_wait_takes_the_next_token_ahead():
    club = keeper("a", next_view(None, present("a")), 0.0)
    admitted(club, 0.0, 5)
    answer = club.spend(CLUB, 150.0, 0.0)
    assert isinstance(answer, Admitted) and answer.wait_ms == 100.0
    assert isinstance(club.spend(CLUB, 150.0, 0.0), OverRate)


def test_a_keeper_whose_proof_is_old_stops():
    """A keeper cut off from the platform goes on for the fence and no longer.

    Its heir opens after the fence: both at once would let the customer through at
    twice its rate.
    """
    club = keeper("a", next_view(None, present("a")), 0.0)
    assert admitted(club, FENCE_MS - 1, 1) == 1
    assert isinstance(club.spend(CLUB, 0.0, FENCE_MS), NotKept)


def test_the_heir_of_a_silent_keeper_waits_for_the_fence_and_opens_empty():
    """A keeper loses power, and the view puts it out.

    Nobody knows whether it still admits requests on the far side of a cut. A user
    would notice two bursts within a second.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    heir = keeper(second, view, 0.0)
    assert isinstance(heir.spend(CLUB, 0.0, 0.0), NotKept)
    later = next_view(view, present(second))
    assert [seat.node.host for seat in later.fenced] == [first]
    heir.set_view(later, 1_000.0, 1_000.0)
    assert [seat.node.host for seat in heir.to_clear(CLUB, 1_000.0)] == [first]
    heir.set_view(later, 3_900.0, 3_900.0)
    assert isinstance(heir.spend(CLUB, 0.0, 3_900.0), NotKept)
    heir.set_view(later, 4_001.0, 4_001.0)
    assert admitted(heir, 4_001.0, 9) == 0
    heir.set_view(later, 4_201.0, 4_201.0)
    assert admitted(heir, 4_201.0, 9) == 2


def test_the_heir_of_a_restarted_keeper_opens_at_once_and_empty():
    """A keeper's process is killed and starts again before anyone missed it.

    It has forgotten what it admitted. If it opened with a full burst, each kill
    would give the customer a burst.
    """
    view = next_view(None, present("a"))
    restarted = {HostId("a"): node("a", "2")}
    later = next_view(view, restarted)
    assert later.fenced == ()
    club = keeper("a", later, 0.0)
    assert admitted(club, 0.0, 9) == 0
    club.set_view(later, 300.0, 300.0)
    assert admitted(club, 300.0, 9) == 3


def test_a_joining_keeper_takes_the_bucket_over():
    """A host joins that ranks above the keeper of a customer.

    The former keeper may not have heard of it. It is asked, stops, and its tokens
    move: a planned change costs the customer nothing and gives it nothing.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    former = keeper(second, view, 0.0)
    assert admitted(former, 0.0, 2) == 2
    later = next_view(view, present("a", "b"))
    heir = keeper(first, later, 0.0)
    assert isinstance(heir.spend(CLUB, 0.0, 0.0), NotKept)
    (asked,) = heir.to_clear(CLUB, 0.0)
    assert asked.node.host == second
    tokens = former.release(CLUB, later.number, 0.0)
    assert isinstance(former.spend(CLUB, 0.0, 0.0), NotKept)
    heir.released(CLUB, asked.key, tokens, 0.0)
    assert admitted(heir, 0.0, 9) == 3


def test_a_release_holds_for_one_stay_only():
    """A keeper is put out, releases, comes back, and is put out again by a cut.

    Its heir must wait anew: what it released the first time it has had again.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present("a", "b"))
    heir = keeper(second, next_view(view, present(second)), 0.0)
    (seat,) = heir.to_clear(CLUB, 0.0)
    heir.released(CLUB, seat.key, 0.0, 0.0)
    assert not heir.to_clear(CLUB, 0.0)
    back = next_view(heir._view, present("a", "b"))
    again = next_view(back, present(second))
    heir.set_view(again, 100.0, 100.0)
    assert [seat.node.host for seat in heir.to_clear(CLUB, 100.0)] == [first]


def test_a_node_that_joins_above_a_silent_keeper_waits_for_it():
    """A keeper is cut off and put out, and a host that ranks above it joins.

    The keeper goes on for the fence on its side of the cut, though it ranks lower.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    heir = keeper(first, next_view(view, present(first)), 0.0)
    assert [seat.node.host for seat in heir.to_clear(CLUB, 0.0)] == [second]


def test_a_proof_that_ran_out_while_views_changed_empties_the_bucket():
    """A keeper is cut off, another takes over and leaves again, the cut heals.

    The tokens that lie at the first one were earned twice meanwhile.
    """
    first, second = by_rank("a", "b")
    view = next_view(None, present(first))
    club = keeper(first, view, 0.0)
    assert admitted(club, 0.0, 1) == 1
    away = next_view(view, present(second))
    back = next_view(away, present(first, second))
    club.set_view(back, 9_000.0, 9_000.0)
    assert admitted(club, 9_000.0, 9) == 0


@pytest.mark.parametrize("pause_ms", [0.0, 4_000.0, 9_000.0])
def test_nobody_admits_more_than_rate_and_burst_through_random_changes(pause_ms):
    """Hosts are cut off, come back and restart while a customer asks, with pauses.

    Each node follows the views with its own delay. Whatever the order, all together
    admit no more than the customer's burst and rate in any window.
    """
    for seed in range(40):
        _play(random.Random(seed), pause_ms)


def _play(draw: random.Random, pause_ms: float) -> None:
    names = ("a", "b", "c", "d")
    life = dict.fromkeys(names, 1)
    nodes = {HostId(n): node(n) for n in names}
    view = next_view(None, nodes)
    keepers = {n: keeper(n, view, 0.0) for n in names}
    cut: dict[str, float] = {}
    passed: list[float] = []
    for step in range(1, 1_500):
        now_ms = step * 20.0
        if draw.random() < 0.004:
            cut[draw.choice(names)] = now_ms + draw.uniform(500, 8_000)
        if draw.random() < 0.004:
            name = draw.choice(names)
            life[name] += 1
            nodes[HostId(name)] = node(name, str(life[name]))
            keepers[name] = new_keeper(nodes[HostId(name)], now_ms)
        cut = {n: until for n, until in cut.items() if until > now_ms}
        there = {h: n for h, n in nodes.items() if h not in cut}
        seats = {seat.node.host: seat.node for seat in view.seats}
        if seats != there and draw.random() < 0.1 and there:
            over = set().union(*(keepers[h].over(now_ms) for h in there))
            view = next_view(view, there, over)
        for name in names:
            if name not in cut and draw.random() < 0.3:
                keepers[name].set_view(view, now_ms, now_ms)
        if now_ms % (pause_ms + 1_000.0) < pause_ms:
            continue
        for name in names:
            answer = keepers[name].spend(CLUB, 0.0, now_ms)
            if isinstance(answer, NotKept) and keepers[name].is_heir(CLUB):
                _clear(name, keepers, nodes, cut, now_ms)
                answer = keepers[name].spend(CLUB, 0.0, now_ms)
            if isinstance(answer, Admitted):
                passed.append(now_ms)
    for i, since_ms in enumerate(passed):
        within = [at for at in passed[i:] if at <= since_ms + 5_000.0]
        assert len(within) <= RULE.burst + RULE.rate_per_s * 5 + 1


def _clear(name, keepers, nodes, cut, now_ms) -> None:
    number = keepers[name]._view.number
    for asked in keepers[name].to_clear(CLUB, now_ms):
        host = asked.node.host
        if host in cut or name in cut:
            continue
        tokens = keepers[host].release(CLUB, number, now_ms)
        keepers[name].released(CLUB, asked.key, tokens, now_ms)


def test_a_new_process_is_not_the_member_that_its_host_was():
    """A process restarts before any view says so.

    The view still names its former life, which has spent the first burst. Opening
    again would hand out a second one.
    """
    view = next_view(None, present("a"))
    again = new_keeper(node("a", "2"))
    again.set_view(view, 0.0, 0.0)
    assert isinstance(again.spend(CLUB, 0.0, 0.0), NotKept)


def test_the_reserve_keeps_within_half_of_the_slack():
    """A keeper is gone, and each entry serves on its part of the slack."""
    names = [f"host-{n}" for n in range(36)]
    view = next_view(None, present(*names))
    spent = 0
    for name in names:
        reserve = QuotaReserve(HostId(name), 5_000.0, -5_000.0)
        spent += sum(reserve.spend(CLUB, 41.0, view, 10.0) for _ in range(9))
    assert spent == 20


def test_a_node_that_has_just_started_spends_no_reserve():
    """A process is killed and starts again: it has forgotten what it spent."""
    view = next_view(None, present("a"))
    reserve = QuotaReserve(HostId("a"), 5_000.0, 0.0)
    assert not reserve.spend(CLUB, 41.0, view, 4_999.0)
    assert reserve.spend(CLUB, 41.0, view, 5_000.0)


def test_a_customer_over_its_rate_gets_its_whole_bound_in_every_window():
    """A customer's limit was lowered, and it goes on asking for twice as much.

    Its bound is rate and burst in every window of five seconds. Served at the rate
    alone it would be refused what it is allowed, for as long as it asks.
    """
    club = keeper("a", next_view(None, present("a")), 0.0)
    passed = []
    for step in range(4_000):
        now_ms = step * 10.0
        club.set_view(club._view, now_ms, now_ms)
        if step % 5 == 0 and admitted(club, now_ms, 1):
            passed.append(now_ms)
    for span_s in (1, 2, 5):
        bound = RULE.rate_per_s * span_s + RULE.burst
        for since_ms in passed:
            until_ms = since_ms + span_s * 1e3
            assert sum(since_ms <= at < until_ms for at in passed) <= bound + 1
    windows = len(passed) / (40_000.0 / WINDOW_MS)
    assert windows >= 0.95 * (RULE.rate_per_s * WINDOW_MS / 1e3 + RULE.burst)


def test_a_lowered_limit_holds_at_once_for_what_was_spent_before():
    club = keeper("a", next_view(None, present("a")), 0.0)
    assert admitted(club, 0.0, 5) == 5
    club.set_rules({CLUB: CustomerRule(CLUB, rate_per_s=1.0, burst=1.0)})
    club.set_view(club._view, 2_000.0, 2_000.0)
    assert admitted(club, 2_000.0, 5) == 0


def test_a_customer_without_a_burst_gets_its_rate():
    """An operator gives a customer a rate and no burst."""
    club = keeper("a", next_view(None, present("a")), 0.0)
    club.set_rules({CLUB: CustomerRule(CLUB, rate_per_s=10.0)})
    passed = 0
    for step in range(500):
        club.set_view(club._view, step * 20.0, step * 20.0)
        passed += admitted(club, step * 20.0, 1)
    assert 95 <= passed <= 101
