import pytest

from crocusspindle.core.home import (
    AttemptEnd,
    Cancel,
    Dispatch,
    Fail,
    Finish,
    Outcome,
    RefusalReason,
    Refuse,
)
from crocusspindle.core.model import TargetState
from tests.core.home_fakes import FakeFitness, arrival, make_home, targets


def dispatches(decisions):
    return [each for each in decisions if isinstance(each, Dispatch)]


def warm(home, number=64, latency_ms=10.0, now_ms=0.0):
    """Answer some requests so that the home knows usual latencies."""
    for request in range(10_000, 10_000 + number):
        (sent,) = home.arrive(arrival(request, deadline_ms=1e9), now_ms)
        now_ms += latency_ms
        home.ended(sent.attempt, AttemptEnd.ANSWERED, latency_ms, now_ms)
    return now_ms


def test_a_request_runs_and_its_answer_finishes_it():
    home = make_home()
    (sent,) = home.arrive(arrival(1), 0.0)
    assert home.started(sent.attempt, 5.0) == []
    done = home.ended(sent.attempt, AttemptEnd.ANSWERED, 9.0, 9.0)
    assert done == [Finish(1, sent.attempt)]
    assert home.load().running == 0


def test_requests_above_the_slots_wait_for_one():
    home = make_home(number=1, slots=1)
    (first,) = home.arrive(arrival(1), 0.0)
    assert home.arrive(arrival(2), 0.0) == []
    decisions = home.ended(first.attempt, AttemptEnd.ANSWERED, 9.0, 9.0)
    assert [each.request for each in dispatches(decisions)] == [2]


@pytest.mark.parametrize("end", [AttemptEnd.SHED, AttemptEnd.UNSENT])
def test_a_payment_that_provably_did_not_run_is_sent_again(end):
    """A target refuses the connection or sheds a payment. The payer sees nothing
    of it, since another target takes the payment."""
    home = make_home(number=2)
    (first,) = home.arrive(arrival(1, idempotent=False), 0.0)
    (second,) = home.ended(first.attempt, end, 1.0, 1.0)
    assert second.request == 1
    assert second.target != first.target


@pytest.mark.parametrize("end", [AttemptEnd.FAILED, AttemptEnd.SILENT])
def test_a_payment_that_may_have_run_is_never_sent_again(end):
    """A connection dies after the payment was written. Sent again it could charge
    the member twice, so the payer is told at once that the outcome is unknown."""
    home = make_home(number=2)
    (first,) = home.arrive(arrival(1, idempotent=False), 0.0)
    (fail,) = home.ended(first.attempt, end, 1.0, 1.0)
    assert isinstance(fail, Fail)
    assert (fail.outcome, fail.last_attempt) == (Outcome.UNKNOWN, first.attempt)


def test_a_payment_shed_where_the_contract_promises_nothing_is_not_sent_again():
    """A target answers "overloaded" though it had begun. Without a contract that a
    shed request has not run, sending it again could charge a member twice."""
    home = make_home(number=2, shed_is_not_run=False)
    (first,) = home.arrive(arrival(1, idempotent=False), 0.0)
    (fail,) = home.ended(first.attempt, AttemptEnd.SHED, 1.0, 1.0)
    assert fail.outcome is Outcome.UNKNOWN


def test_a_leaving_target_gets_nothing_new_and_finishes_its_work():
    """The platform takes a host away while it works. A caller sent there later
    would be cut off; the one being served gets its answer."""
    home = make_home(number=1)
    (sent,) = home.arrive(arrival(1), 0.0)
    home.set_targets(targets(1, state=TargetState.LEAVING), 1.0)
    (refused,) = home.arrive(arrival(2), 1.0)
    assert refused.reason is RefusalReason.NO_TARGET
    done = home.ended(sent.attempt, AttemptEnd.ANSWERED, 5.0, 5.0)
    assert done == [Finish(1, sent.attempt)]


def test_a_late_request_is_hedged_once_and_the_loser_cancelled():
    """One target turns mute. The caller would wait for the timeout; a second target
    answers instead, and the first attempt is aborted."""
    home = make_home(number=2)
    now_ms = warm(home)
    (first,) = home.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    due_ms = home.next_tick_ms()
    assert due_ms == pytest.approx(now_ms + 10.0)
    (hedge,) = home.tick(due_ms)
    assert hedge.target != first.target
    assert home.started(hedge.attempt, due_ms + 9) == [Cancel(first.attempt)]
    done = home.ended(hedge.attempt, AttemptEnd.ANSWERED, 10.0, due_ms + 10)
    assert done == [Finish(1, hedge.attempt)]
    assert home.ended(first.attempt, AttemptEnd.SILENT, 20.0, due_ms + 11) == []
    assert home.load().running == 0


def test_a_lost_report_of_a_cancelled_attempt_frees_its_slot():
    """A driver's task dies before it reports a cancelled attempt. Without a bound
    the slot would be lost and the group would shrink for good."""
    home = make_home(number=1)
    (sent,) = home.arrive(arrival(1), 0.0)
    assert home.withdraw(1, 1.0) == [Cancel(sent.attempt)]
    assert home.arrive(arrival(2, deadline_ms=9_000.0), 1.0) == []
    fail, sent = home.tick(1_500.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
    assert sent.request == 2


def test_withdrawal_tells_what_was_never_sent_from_what_runs():
    """A caller goes while its requests wait or run. The entry may move a waiting
    one elsewhere only if it certainly never ran; a running payment runs on."""
    home = make_home(number=1)
    (sent,) = home.arrive(arrival(1, idempotent=False), 0.0)
    home.arrive(arrival(2, idempotent=False), 0.0)
    (fail,) = home.withdraw(2, 1.0)
    assert (fail.request, fail.outcome) == (2, Outcome.NOT_RUN)
    assert home.withdraw(1, 1.0) == []
    done = home.ended(sent.attempt, AttemptEnd.ANSWERED, 5.0, 5.0)
    assert done == [Finish(1, sent.attempt)]


def test_a_withdrawn_request_that_turns_out_unsent_has_not_run():
    """A caller goes while its lookup is on the way to a target that cannot be
    reached. Whoever asks for it again hears that it did not run."""
    home = make_home(number=2)
    (sent,) = home.arrive(arrival(1), 0.0)
    assert home.withdraw(1, 1.0) == [Cancel(sent.attempt)]
    (fail,) = home.ended(sent.attempt, AttemptEnd.UNSENT, 2.0, 2.0)
    assert (fail.request, fail.outcome) == (1, Outcome.NOT_RUN)


def test_a_withdrawn_key_stops_what_waits_and_lets_what_runs_end():
    """An operator withdraws a key while requests under it wait in the queue. They
    must not run seconds later, and what runs gets no second attempt."""
    home = make_home(number=1)
    (sent,) = home.arrive(arrival(1, credential=b"key"), 0.0)
    home.arrive(arrival(2, credential=b"key"), 0.0)
    home.arrive(arrival(3, credential=b"other"), 0.0)
    (refused,) = home.revoke(b"key", 1.0)
    assert (refused.request, refused.reason) == (2, RefusalReason.REVOKED)
    fail, sent = home.ended(sent.attempt, AttemptEnd.SILENT, 9.0, 9.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
    assert sent.request == 3


def test_a_wait_past_the_deadline_is_refused_at_once_with_a_true_time():
    """Demand is above capacity. A caller that would wait in vain hears so at once,
    and the time it is told is one at which a request like it is taken."""
    home = make_home(number=1)
    now_ms = warm(home)
    (sent,) = home.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    refusals = []
    for request in range(2, 10):
        refusals += home.arrive(arrival(request, deadline_ms=now_ms + 45), now_ms)
    assert {type(each) for each in refusals} == {Refuse}
    assert len(refusals) == 5
    back_ms = refusals[0].retry_at_ms
    done_ms = now_ms
    while done_ms + 10 <= back_ms:
        done_ms += 10
        done = home.ended(sent.attempt, AttemptEnd.ANSWERED, 10.0, done_ms)
        sent = dispatches(done)[0]
    again = home.arrive(arrival(99, deadline_ms=back_ms + 45), back_ms)
    assert not any(isinstance(each, Refuse) for each in again)


def test_an_ejected_target_gets_single_idempotent_trials():
    """A gray target seems to recover. One lookup tries it; a payment never does."""
    fitness = FakeFitness()
    home = make_home(number=2, fitness=fitness)
    bad = targets(2)[0].target
    fitness.weights[bad] = 0.0
    fitness.trials.add(bad)
    (payment,) = home.arrive(arrival(1, idempotent=False), 0.0)
    (trial,) = home.arrive(arrival(2), 0.0)
    assert payment.target != bad
    assert trial.target == bad
    assert home.arrive(arrival(3), 0.0) == []


def test_shedding_lowers_and_success_restores_the_limit():
    """The host list claims two slots where one is left. Requests beyond it are shed;
    soon no more are sent, and when the slot is back it is used again."""
    home = make_home(number=1, slots=2)
    now_ms = warm(home, number=4)
    (first,) = home.arrive(arrival(1, deadline_ms=1e9), now_ms)
    (second,) = home.arrive(arrival(2, deadline_ms=1e9), now_ms)
    home.ended(second.attempt, AttemptEnd.SHED, 1.0, now_ms + 1)
    assert home.snapshot().targets[0].limit == 1
    running = [first]
    for request in range(3, 60):
        running += dispatches(
            home.arrive(arrival(request, deadline_ms=1e9), now_ms + 1)
        )
    while home.snapshot().targets[0].limit == 1:
        now_ms += 10
        done = home.ended(running.pop(0).attempt, AttemptEnd.ANSWERED, 10.0, now_ms)
        running += dispatches(done)
    assert home.snapshot().targets[0].limit == 2


def test_a_hedge_that_gave_way_may_have_run():
    """A hedge gives its slot to a queued request, then the first attempt turns out
    never to have been sent. The hedge's target had begun all the same, so the
    caller must not hear that its request did not run."""
    home = make_home(number=2)
    now_ms = warm(home)
    (first,) = home.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    (hedge,) = home.tick(now_ms + 10)
    given_way = home.arrive(arrival(2, deadline_ms=now_ms + 1_000), now_ms + 11)
    assert given_way == [Cancel(hedge.attempt)]
    home.ended(first.attempt, AttemptEnd.UNSENT, 12.0, now_ms + 12)
    (fail,) = home.withdraw(1, now_ms + 12)
    assert fail.outcome is Outcome.UNKNOWN


def test_an_answer_cut_after_it_began_is_never_joined_to_a_second_one():
    """A target dies half-way through its answer. The caller holds the first half;
    a second run would append another answer to it."""
    home = make_home(number=2)
    (first,) = home.arrive(arrival(1), 0.0)
    home.started(first.attempt, 5.0)
    (fail,) = home.ended(first.attempt, AttemptEnd.FAILED, 9.0, 9.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)


def test_a_hedge_that_gave_way_may_end_after_its_request_was_withdrawn():
    """A hedge has given way, then the caller goes, then the hedge's end is reported.
    The late report must free the slot and touch nothing else."""
    home = make_home(number=2)
    now_ms = warm(home)
    (first,) = home.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    (hedge,) = home.tick(now_ms + 10)
    home.arrive(arrival(2, deadline_ms=now_ms + 1_000), now_ms + 11)
    assert home.withdraw(1, now_ms + 12) == [Cancel(first.attempt)]
    (sent,) = home.ended(hedge.attempt, AttemptEnd.SILENT, 3.0, now_ms + 13)
    assert sent.request == 2
    (fail,) = home.ended(first.attempt, AttemptEnd.SILENT, 14.0, now_ms + 14)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
