"""Test tokens that are returned since their requests certainly did not run."""

import random

import pytest

from crocusspindle.core.spend_result import Admitted, OverRate
from crocusspindle.core.token_queue import WaitingSpend
from crocusspindle.core.view import next_view
from crocusspindle.ids import CustomerId, HostId
from tests.core.quota_fixtures import (
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
from tests.core.quota_simulation import QuotaSimulation, assert_within_bound
from tests.core.token_return_simulation import Spending, compare


def first_keeper():
    return keeper("a", next_view(None, present("a")), 0.0)


def spent_token(owner, now_ms=0.0):
    result = owner.spend(CLUB, 0.0, now_ms)
    assert isinstance(result, Admitted) and result.token
    return result.token


def test_returned_token_serves_another_request():
    """Guards against a quota spent on requests that were refused without a target."""
    owner = first_keeper()
    tokens = [spent_token(owner) for _ in range(5)]
    assert admitted(owner, 0.0, 5) == 0
    assert all(owner.take_back(CLUB, token, 0.0) for token in tokens[:3])
    assert admitted(owner, 0.0, 5) == 3


def test_doubled_return_counts_once():
    """Guards against a resent return that admits the customer beyond its bound."""
    owner = first_keeper()
    token, *_ = (spent_token(owner) for _ in range(5))
    assert owner.take_back(CLUB, token, 0.0)
    assert not any(owner.take_back(CLUB, token, at_ms) for at_ms in (0.0, 1.0, 50.0))
    assert admitted(owner, 0.0, 5) == 1


def test_return_after_the_window_changes_nothing():
    """Guards against a late return of an admission that no longer counts."""
    owner = first_keeper()
    tokens = [spent_token(owner) for _ in range(5)]
    owner.set_view(owner._view, WINDOW_MS, WINDOW_MS)
    assert not any(owner.take_back(CLUB, token, WINDOW_MS) for token in tokens)
    assert admitted(owner, WINDOW_MS, 9) == 5


@pytest.mark.parametrize("shift", [-1, 1, 1 << 32, 1 << 40])
def test_foreign_number_is_not_taken_back(shift):
    """Guards against tokens of other processes, or numbers that were never granted."""
    owner = first_keeper()
    tokens = {spent_token(owner) for _ in range(5)}
    foreign = {token + shift for token in tokens} - tokens
    assert not any(owner.take_back(CLUB, number, 0.0) for number in foreign)
    assert not owner.take_back(CLUB, 0, 0.0)
    assert not any(owner.take_back(CustomerId("other"), t, 0.0) for t in tokens)
    assert admitted(owner, 0.0, 5) == 0


def test_numbers_differ_between_processes_and_tenures():
    """Guards against a return to a restarted keeper that frees another's token."""
    first, second = by_rank("a", "b")
    seen: set[int] = set()
    for process in range(40):
        own_node = node(first, str(process))
        owner = new_keeper(own_node)
        view = next_view(None, {HostId(first): own_node})
        for tenure in range(2):
            now_ms = tenure * 2_000.0
            owner.set_view(view, now_ms, now_ms)
            owner.set_view(view, now_ms + 500.0, now_ms + 500.0)
            tokens = {spent_token(owner, now_ms + 500.0) for _ in range(5)}
            assert not tokens & seen
            seen |= tokens
            # A handover and the next view begin another tenure of the same process.
            owner.release(CLUB, view.number, now_ms + 500.0)
            view = next_view(view, {HostId(first): own_node, **present(second)})
            owner.set_view(view, now_ms + 600.0, now_ms + 600.0)
    assert len(seen) == 40 * 2 * 5


def test_keeper_that_released_the_customer_takes_nothing_back():
    """Guards against a token that is both handed over as spent and returned."""
    first, second = by_rank("a", "b")
    view = next_view(None, present(second))
    previous = keeper(second, view, 0.0)
    tokens = [spent_token(previous) for _ in range(3)]
    later = next_view(view, present("a", "b"))
    successor = keeper(first, later, 0.0)
    (pending,) = successor.pending_releases(CLUB, 0.0)
    left = previous.release(CLUB, later.number, 0.0)
    successor.record_release(CLUB, pending.key, left, 0.0)
    for owner in (previous, successor):
        assert not any(owner.take_back(CLUB, token, 0.0) for token in tokens)
    assert previous.release(CLUB, later.number, 0.0) == 0.0
    assert admitted(successor, 0.0, 9) == 2


def test_token_returned_before_the_release_is_handed_over():
    """Guards against a planned change of keeper that costs returned tokens."""
    _, second = by_rank("a", "b")
    view = next_view(None, present(second))
    previous = keeper(second, view, 0.0)
    tokens = [spent_token(previous) for _ in range(3)]
    assert previous.take_back(CLUB, tokens[0], 0.0)
    assert previous.release(CLUB, view.number + 1, 0.0) == 3.0


def test_keeper_that_discarded_its_state_takes_nothing_back():
    """Guards against a token spent again after another keeper has refilled it."""
    first, second = by_rank("a", "b")
    view = next_view(None, present(first))
    owner = keeper(first, view, 0.0)
    token = spent_token(owner)
    without_first = next_view(view, present(second))
    back = next_view(without_first, present(first, second))
    owner.set_view(back, 9_000.0, 9_000.0)
    assert not owner.take_back(CLUB, token, 9_000.0)
    assert admitted(owner, 9_000.0, 9) == 0


def test_returned_token_goes_to_the_request_that_waits():
    """Guards against a returned token that idles while a request waits for one."""
    owner = first_keeper()
    token, *_ = (spent_token(owner) for _ in range(5))
    waiting = owner.spend(CLUB, 150.0, 0.0)
    assert isinstance(waiting, WaitingSpend)
    assert owner.take_back(CLUB, token, 10.0)
    assert isinstance(waiting.settled, Admitted) and waiting.settled.token != token
    assert owner.settled() == [waiting]
    assert isinstance(owner.spend(CLUB, 0.0, 10.0), OverRate)


def test_keeper_without_confirmation_gives_no_returned_token_away():
    """Guards against a cut-off keeper that admits by returns after its fence."""
    owner = first_keeper()
    token, *_ = (spent_token(owner) for _ in range(5))
    waiting = owner.spend(CLUB, FENCE_MS + 500.0, 0.0)
    assert isinstance(waiting, WaitingSpend)
    owner.take_back(CLUB, token, FENCE_MS + 1.0)
    assert waiting.settled is not None and not isinstance(waiting.settled, Admitted)


def test_outstanding_numbers_are_bounded_by_the_window():
    """Guards against memory that grows with each token that is never returned."""
    owner = first_keeper()
    bound = RULE.burst + RULE.rate_per_s * WINDOW_MS / 1e3
    for step in range(6_000):
        now_ms = step * 10.0
        owner.set_view(owner._view, now_ms, now_ms)
        result = owner.spend(CLUB, 0.0, now_ms)
        if isinstance(result, Admitted) and step % 2:
            owner.take_back(CLUB, result.token, now_ms)
        assert owner._accounts[CLUB].bucket.returnable <= bound


@pytest.mark.parametrize("unused", [0.3, 0.9])
def test_returns_over_changes_of_keeper_never_exceed_the_bound(unused):
    """Guards against doubled, late and misdirected returns while keepers change.

    Hosts are cut off, rejoin and restart. Some of the requests do not run; their tokens
    are returned to the granting host and also to others, twice, late or never.
    """
    for seed in range(30):
        _run_random_returns(random.Random(seed), unused)


def _run_random_returns(rng: random.Random, unused: float) -> None:
    ran_at: list[float] = []
    accepted: set[int] = set()
    due: list[tuple[float, str, int]] = []
    simulation = QuotaSimulation(rng)
    for now_ms in simulation.steps():
        for at_ms, name, token in due:
            if at_ms <= now_ms and simulation.keepers[name].take_back(
                CLUB, token, now_ms
            ):
                assert token not in accepted
                accepted.add(token)
        due = [entry for entry in due if entry[0] > now_ms]
        for name in simulation.names * 2:
            result = simulation.spend(name, now_ms)
            if not isinstance(result, Admitted):
                continue
            if rng.random() >= unused:
                ran_at.append(now_ms)
                continue
            for _ in range(rng.randrange(4)):
                to = name if rng.random() < 0.7 else rng.choice(simulation.names)
                delay_ms = rng.choice([0.0, 90.0, 3_000.0, WINDOW_MS])
                due.append((now_ms + rng.random() * delay_ms, to, result.token))
    assert_within_bound(ran_at)
    assert accepted


def test_returning_serves_more_than_keeping_and_shields_others():
    """Guards against a quota lost to a full service, or a queue full of excess.

    Spent only after a grant, a token is never lost; but all that a customer sends above
    its rate is queued for slots, which others then don't get.
    """
    kept, returned, after = (
        compare(spending, 50.0, 20.0)
        for spending in (Spending.KEPT, Spending.RETURNED, Spending.AFTER_GRANT)
    )
    assert returned.served["club"] > 1.05 * kept.served["club"]
    assert returned.share("others") > 1.05 * after.share("others")
    assert returned.idle_ms == 0.0 < after.idle_ms
