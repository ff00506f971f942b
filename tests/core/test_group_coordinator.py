import pytest

from crocusspindle.core.group_coordinator import (
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
from tests.core.coordinator_fakes import (
    FakeTargetWeights,
    arrival,
    make_coordinator,
    targets,
)


def dispatches(decisions):
    return [each for each in decisions if isinstance(each, Dispatch)]


def warm_up(coordinator, number=64, latency_ms=10.0, now_ms=0.0):
    """Answer some requests, so that the coordinator learns typical latencies."""
    for request in range(10_000, 10_000 + number):
        (dispatch,) = coordinator.arrive(arrival(request, deadline_ms=1e9), now_ms)
        now_ms += latency_ms
        coordinator.ended(dispatch.attempt, AttemptEnd.ANSWERED, latency_ms, now_ms)
    return now_ms


def test_a_request_runs_and_its_answer_finishes_it():
    coordinator = make_coordinator()
    (dispatch,) = coordinator.arrive(arrival(1), 0.0)
    assert coordinator.started(dispatch.attempt, 5.0) == []
    done = coordinator.ended(dispatch.attempt, AttemptEnd.ANSWERED, 9.0, 9.0)
    assert done == [Finish(1, dispatch.attempt)]
    assert coordinator.load().running == 0


def test_requests_beyond_the_slots_are_queued():
    coordinator = make_coordinator(number=1, slots=1)
    (first,) = coordinator.arrive(arrival(1), 0.0)
    assert coordinator.arrive(arrival(2), 0.0) == []
    decisions = coordinator.ended(first.attempt, AttemptEnd.ANSWERED, 9.0, 9.0)
    assert [each.request for each in dispatches(decisions)] == [2]


@pytest.mark.parametrize("end", [AttemptEnd.SHED, AttemptEnd.UNSENT])
def test_a_payment_that_provably_did_not_run_is_retried(end):
    """A target refuses the connection or sheds a payment. Another target takes the
    payment and the caller does not notice."""
    coordinator = make_coordinator(number=2)
    (first,) = coordinator.arrive(arrival(1, idempotent=False), 0.0)
    (second,) = coordinator.ended(first.attempt, end, 1.0, 1.0)
    assert second.request == 1
    assert second.target != first.target


@pytest.mark.parametrize("end", [AttemptEnd.FAILED, AttemptEnd.SILENT])
def test_a_payment_that_may_have_run_is_never_retried(end):
    """A connection breaks after the payment was written. A retry could charge the
    payer twice, so the caller gets an unknown outcome at once."""
    coordinator = make_coordinator(number=2)
    (first,) = coordinator.arrive(arrival(1, idempotent=False), 0.0)
    (fail,) = coordinator.ended(first.attempt, end, 1.0, 1.0)
    assert isinstance(fail, Fail)
    assert (fail.outcome, fail.last_attempt) == (Outcome.UNKNOWN, first.attempt)


def test_a_shed_payment_is_not_retried_without_a_guarantee():
    """A target answers "overloaded" after it began. Without a guarantee that a shed
    request was not run, a retry could charge the payer twice."""
    coordinator = make_coordinator(number=2, shed_is_not_run=False)
    (first,) = coordinator.arrive(arrival(1, idempotent=False), 0.0)
    (fail,) = coordinator.ended(first.attempt, AttemptEnd.SHED, 1.0, 1.0)
    assert fail.outcome is Outcome.UNKNOWN


def test_a_leaving_target_gets_nothing_new_and_finishes_its_work():
    """The platform removes a host while it serves a request. That request gets its
    answer; a new one sent there would be cut off."""
    coordinator = make_coordinator(number=1)
    (dispatch,) = coordinator.arrive(arrival(1), 0.0)
    coordinator.set_targets(targets(1, state=TargetState.LEAVING), 1.0)
    (refused,) = coordinator.arrive(arrival(2), 1.0)
    assert refused.reason is RefusalReason.NO_TARGET
    done = coordinator.ended(dispatch.attempt, AttemptEnd.ANSWERED, 5.0, 5.0)
    assert done == [Finish(1, dispatch.attempt)]


def test_a_late_request_is_hedged_once_and_the_loser_cancelled():
    """One target becomes silent and the caller would wait for the timeout. A second
    target answers instead and the first attempt is cancelled."""
    coordinator = make_coordinator(number=2)
    now_ms = warm_up(coordinator)
    (first,) = coordinator.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    due_ms = coordinator.next_tick_ms()
    assert due_ms == pytest.approx(now_ms + 10.0)
    (hedge,) = coordinator.tick(due_ms)
    assert hedge.target != first.target
    assert coordinator.started(hedge.attempt, due_ms + 9) == [Cancel(first.attempt)]
    done = coordinator.ended(hedge.attempt, AttemptEnd.ANSWERED, 10.0, due_ms + 10)
    assert done == [Finish(1, hedge.attempt)]
    assert coordinator.ended(first.attempt, AttemptEnd.SILENT, 20.0, due_ms + 11) == []
    assert coordinator.load().running == 0


def test_a_lost_report_of_a_cancelled_attempt_frees_its_slot():
    """A driver's task fails before it reports a cancelled attempt. Without a timeout
    the group would lose the slot for good."""
    coordinator = make_coordinator(number=1)
    (dispatch,) = coordinator.arrive(arrival(1), 0.0)
    assert coordinator.withdraw(1, 1.0) == [Cancel(dispatch.attempt)]
    assert coordinator.arrive(arrival(2, deadline_ms=9_000.0), 1.0) == []
    fail, dispatch = coordinator.tick(1_500.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
    assert dispatch.request == 2


def test_withdrawal_distinguishes_unsent_from_running_requests():
    """A caller leaves while its requests wait or run. The entry may move a queued one
    elsewhere only if it certainly never ran; a running payment continues."""
    coordinator = make_coordinator(number=1)
    (dispatch,) = coordinator.arrive(arrival(1, idempotent=False), 0.0)
    coordinator.arrive(arrival(2, idempotent=False), 0.0)
    (fail,) = coordinator.withdraw(2, 1.0)
    assert (fail.request, fail.outcome) == (2, Outcome.NOT_RUN)
    assert coordinator.withdraw(1, 1.0) == []
    done = coordinator.ended(dispatch.attempt, AttemptEnd.ANSWERED, 5.0, 5.0)
    assert done == [Finish(1, dispatch.attempt)]


def test_a_withdrawn_request_that_turns_out_unsent_has_not_run():
    """A caller leaves while its lookup is sent to a target that cannot be reached. The
    reported outcome must be that it did not run."""
    coordinator = make_coordinator(number=2)
    (dispatch,) = coordinator.arrive(arrival(1), 0.0)
    assert coordinator.withdraw(1, 1.0) == [Cancel(dispatch.attempt)]
    (fail,) = coordinator.ended(dispatch.attempt, AttemptEnd.UNSENT, 2.0, 2.0)
    assert (fail.request, fail.outcome) == (1, Outcome.NOT_RUN)


def test_a_withdrawn_key_refuses_queued_requests_and_lets_running_ones_end():
    """An operator withdraws a key while requests under it are queued. They must not run
    seconds later, and the running one gets no second attempt."""
    coordinator = make_coordinator(number=1)
    (dispatch,) = coordinator.arrive(arrival(1, credential=b"key"), 0.0)
    coordinator.arrive(arrival(2, credential=b"key"), 0.0)
    coordinator.arrive(arrival(3, credential=b"other"), 0.0)
    (refused,) = coordinator.revoke(b"key", 1.0)
    assert (refused.request, refused.reason) == (2, RefusalReason.REVOKED)
    fail, dispatch = coordinator.ended(dispatch.attempt, AttemptEnd.SILENT, 9.0, 9.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
    assert dispatch.request == 3


def test_a_wait_past_the_deadline_is_refused_at_once_with_an_accurate_retry_time():
    """Demand is above capacity. A request that would miss its deadline is refused at
    once, and a similar request is accepted at the retry time given."""
    coordinator = make_coordinator(number=1)
    now_ms = warm_up(coordinator)
    (dispatch,) = coordinator.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    refusals = []
    for request in range(2, 10):
        refusals += coordinator.arrive(
            arrival(request, deadline_ms=now_ms + 45), now_ms
        )
    assert {type(each) for each in refusals} == {Refuse}
    assert len(refusals) == 5
    retry_ms = refusals[0].retry_at_ms
    done_ms = now_ms
    while done_ms + 10 <= retry_ms:
        done_ms += 10
        done = coordinator.ended(dispatch.attempt, AttemptEnd.ANSWERED, 10.0, done_ms)
        dispatch = dispatches(done)[0]
    again = coordinator.arrive(arrival(99, deadline_ms=retry_ms + 45), retry_ms)
    assert not any(isinstance(each, Refuse) for each in again)


def test_an_ejected_target_gets_single_idempotent_trials():
    """A gray target seems to recover. One lookup is its trial, never a payment."""
    fake_weights = FakeTargetWeights()
    coordinator = make_coordinator(number=2, fake_weights=fake_weights)
    bad = targets(2)[0].target
    fake_weights.weights[bad] = 0.0
    fake_weights.trials.add(bad)
    (payment,) = coordinator.arrive(arrival(1, idempotent=False), 0.0)
    (trial,) = coordinator.arrive(arrival(2), 0.0)
    assert payment.target != bad
    assert trial.target == bad
    assert coordinator.arrive(arrival(3), 0.0) == []


def test_shedding_lowers_and_success_restores_the_limit():
    """The host list states two slots where one is left. Requests beyond it are shed
    until the limit is lowered, and a slot that returns is used again."""
    coordinator = make_coordinator(number=1, slots=2)
    now_ms = warm_up(coordinator, number=4)
    (first,) = coordinator.arrive(arrival(1, deadline_ms=1e9), now_ms)
    (second,) = coordinator.arrive(arrival(2, deadline_ms=1e9), now_ms)
    coordinator.ended(second.attempt, AttemptEnd.SHED, 1.0, now_ms + 1)
    assert coordinator.snapshot().targets[0].limit == 1
    running = [first]
    for request in range(3, 60):
        running += dispatches(
            coordinator.arrive(arrival(request, deadline_ms=1e9), now_ms + 1)
        )
    while coordinator.snapshot().targets[0].limit == 1:
        now_ms += 10
        done = coordinator.ended(
            running.pop(0).attempt, AttemptEnd.ANSWERED, 10.0, now_ms
        )
        running += dispatches(done)
    assert coordinator.snapshot().targets[0].limit == 2


def test_a_preempted_hedge_may_have_run():
    """A hedge is cancelled for a queued request, then the first attempt turns out never
    to have been sent. The hedge's target may have begun, so the outcome must not be
    that the request did not run."""
    coordinator = make_coordinator(number=2)
    now_ms = warm_up(coordinator)
    (first,) = coordinator.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    (hedge,) = coordinator.tick(now_ms + 10)
    cancelled = coordinator.arrive(arrival(2, deadline_ms=now_ms + 1_000), now_ms + 11)
    assert cancelled == [Cancel(hedge.attempt)]
    coordinator.ended(first.attempt, AttemptEnd.UNSENT, 12.0, now_ms + 12)
    (fail,) = coordinator.withdraw(1, now_ms + 12)
    assert fail.outcome is Outcome.UNKNOWN


def test_a_request_is_not_retried_after_its_answer_began():
    """A target crashes half-way through its answer. The caller has the first half, and
    a retry would append another answer to it."""
    coordinator = make_coordinator(number=2)
    (first,) = coordinator.arrive(arrival(1), 0.0)
    coordinator.started(first.attempt, 5.0)
    (fail,) = coordinator.ended(first.attempt, AttemptEnd.FAILED, 9.0, 9.0)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)


def test_a_preempted_hedge_may_end_after_its_request_was_withdrawn():
    """A hedge is preempted, then its caller leaves, then the hedge's end is reported.
    The late report must free the slot and change nothing else."""
    coordinator = make_coordinator(number=2)
    now_ms = warm_up(coordinator)
    (first,) = coordinator.arrive(arrival(1, deadline_ms=now_ms + 1_000), now_ms)
    (hedge,) = coordinator.tick(now_ms + 10)
    coordinator.arrive(arrival(2, deadline_ms=now_ms + 1_000), now_ms + 11)
    assert coordinator.withdraw(1, now_ms + 12) == [Cancel(first.attempt)]
    (dispatch,) = coordinator.ended(hedge.attempt, AttemptEnd.SILENT, 3.0, now_ms + 13)
    assert dispatch.request == 2
    (fail,) = coordinator.ended(first.attempt, AttemptEnd.SILENT, 14.0, now_ms + 14)
    assert (fail.request, fail.outcome) == (1, Outcome.UNKNOWN)
