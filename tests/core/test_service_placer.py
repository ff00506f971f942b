"""Place the requests of one service: load, gray targets, paths, floors.

Typical services have 8 to 15 targets of 2 to 6 slots, work of some 200 ms, and a third
to all of their slots busy.
"""

import random

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_tracker import EjectionState, TargetTracker
from crocusspindle.ids import DomainId, HostId, ServiceId

WORK_MS = 200.0


def listed_targets(count: int, slots: int = 2) -> list[ListedTarget]:
    return [
        ListedTarget(
            TargetIdentity(f"t{n}"),
            ServiceId("books"),
            f"127.0.0.1:{9000 + n}",
            DomainId("ab"[n % 2]),
            slots,
            Readiness.READY,
        )
        for n in range(count)
    ]


def make_placer(count: int = 8, slots: int = 2) -> ServicePlacer:
    placer = ServicePlacer(0.7, RetryBudget(0.2, 58.0, 10_000.0))
    placer.set_targets(listed_targets(count, slots), 0.0)
    return placer


def request(now_ms: float = 0.0, **fields) -> PlacementRequest:
    defaults = {
        "sender": HostId("entry"),
        "domain": DomainId("a"),
        "route": "r",
        "idempotent": False,
        "priority": 1,
        "aim_ms": 800.0,
        "deadline_ms": now_ms + 2_000.0,
    }
    return PlacementRequest(**{**defaults, **fields})


def end_attempt(
    placer: ServicePlacer,
    placed: PlacementGranted,
    outcome: AttemptOutcome,
    now_ms: float,
    **fields,
):
    sender = fields.get("sender", HostId("entry"))
    latency_ms = fields.get("latency_ms", WORK_MS)
    placer.ended(
        placed.target.identity, placed.grant, outcome, sender, latency_ms, now_ms
    )


def test_work_fills_free_slots_before_any_target_gets_more():
    placer = make_placer()
    placed = [placer.request_placement(request(), 0.0) for _ in range(16)]
    counts: dict[str, int] = {}
    for placement in placed:
        assert isinstance(placement, PlacementGranted)
        counts[placement.target.identity] = counts.get(placement.target.identity, 0) + 1
    assert set(counts.values()) == {2}


def test_a_caller_waits_for_a_slot_by_priority_and_is_refused_when_too_late():
    """More requests arrive than there are slots.

    Urgent ones go first, and those that would be late anyway are refused at once.
    """
    placer = make_placer(count=1, slots=1)
    first = placer.request_placement(request(), 0.0)
    assert isinstance(first, PlacementGranted)
    low_priority = placer.request_placement(request(priority=3), 0.0)
    urgent = placer.request_placement(request(priority=0), 0.0)
    assert isinstance(low_priority, QueuedRequest) and isinstance(urgent, QueuedRequest)
    late = placer.request_placement(request(priority=3), 0.0)
    assert isinstance(late, PlacementRefused) and late.reason == "full"
    end_attempt(placer, first, AttemptOutcome.ANSWERED, WORK_MS)
    assert isinstance(urgent.settled, PlacementGranted) and low_priority.settled is None


def test_one_reset_ejects_a_target_for_all_entries():
    """A target breaks the connections of nearly all its work for two seconds.

    Each request sent there meanwhile is lost.
    """
    placer = make_placer()
    first = placer.request_placement(request(), 0.0)
    end_attempt(placer, first, AttemptOutcome.BROKEN, 5.0)
    (change,) = placer.changes()
    assert change.standing is EjectionState.EJECTED
    later = [placer.request_placement(request(100.0), 100.0) for _ in range(14)]
    assert first.target.identity not in {
        placement.target.identity for placement in later
    }


def test_occasional_errors_eject_no_target():
    placer = make_placer()
    for step in range(400):
        now_ms = step * 50.0
        placement = placer.request_placement(request(now_ms), now_ms)
        outcome = AttemptOutcome.ERROR if step % 83 == 0 else AttemptOutcome.ANSWERED
        end_attempt(placer, placement, outcome, now_ms + 40.0)
    assert not placer.changes()


def test_an_ejected_target_is_tried_with_an_idempotent_request():
    """An ejected target may be healthy again, or not.

    A payment that meets it gray is lost; a page view is retried elsewhere.
    """
    placer = make_placer()
    broken = placer.request_placement(request(), 0.0)
    end_attempt(placer, broken, AttemptOutcome.BROKEN, 5.0)
    ejected = broken.target.identity
    for _ in range(12):
        payment = placer.request_placement(request(2_600.0), 2_600.0)
        assert payment.target.identity != ejected
    page = placer.request_placement(request(2_600.0, idempotent=True), 2_600.0)
    assert page.target.identity == ejected


def test_a_trial_admits_more_requests_with_each_answer():
    """Most targets of a service return at once, as after all hosts restarted.

    With one request at a time each, callers would have no free slots for seconds.
    """
    placer = make_placer(count=1, slots=4)
    broken = placer.request_placement(request(), 0.0)
    end_attempt(placer, broken, AttemptOutcome.BROKEN, 5.0)
    first = placer.request_placement(request(2_600.0, idempotent=True), 2_600.0)
    assert isinstance(first, PlacementGranted)
    assert isinstance(
        placer.request_placement(request(2_600.0), 2_600.0), PlacementRefused
    )
    end_attempt(placer, first, AttemptOutcome.ANSWERED, 2_800.0)
    decisions = [
        placer.request_placement(request(2_800.0, idempotent=True), 2_800.0)
        for _ in range(3)
    ]
    assert [isinstance(placement, PlacementGranted) for placement in decisions] == [
        True,
        True,
        False,
    ]


def test_a_relapse_is_ejected_for_longer():
    placer = make_placer(count=1)
    for ejected_ms, now_ms in ((2_500.0, 0.0), (5_000.0, 2_600.0), (10_000.0, 7_700.0)):
        placement = placer.request_placement(request(now_ms, idempotent=True), now_ms)
        end_attempt(placer, placement, AttemptOutcome.BROKEN, now_ms)
        tracker = placer.trackers()[placement.target.identity]
        assert tracker.ejected_until_ms == now_ms + ejected_ms


def test_one_sender_that_reaches_nothing_is_attributed_to_its_path():
    """One entry's path to a target is cut; all others reach it.

    To eject it for all entries would waste a healthy target.
    """
    placer = make_placer()
    placement = placer.request_placement(request(), 0.0)
    end_attempt(placer, placement, AttemptOutcome.UNREACHED, 300.0)
    assert not placer.changes()
    own = [placer.request_placement(request(400.0), 400.0) for _ in range(14)]
    assert placement.target.identity not in {p.target.identity for p in own}
    other = placer.request_placement(request(400.0, sender=HostId("other")), 400.0)
    assert other.target.identity == placement.target.identity


def test_two_senders_that_reach_nothing_are_attributed_to_the_target():
    placer = make_placer()
    placement = placer.request_placement(request(), 0.0)
    end_attempt(placer, placement, AttemptOutcome.UNREACHED, 300.0)
    again = placement
    while again.target.identity != placement.target.identity or again is placement:
        again = placer.request_placement(request(400.0, sender=HostId("other")), 400.0)
    end_attempt(placer, again, AttemptOutcome.UNREACHED, 700.0, sender=HostId("other"))
    assert [change.standing for change in placer.changes()] == [EjectionState.EJECTED]


def placer_with_samples(count: int = 8) -> ServicePlacer:
    placer = make_placer(count)
    rng = random.Random(3)
    for step in range(200):
        placement = placer.request_placement(request(), 0.0)
        latency_ms = rng.lognormvariate(5.2, 0.4)
        end_attempt(
            placer,
            placement,
            AttemptOutcome.ANSWERED,
            step * 1.0,
            latency_ms=latency_ms,
        )
    return placer


def test_a_target_with_overdue_work_gets_no_more_while_others_can_take_it():
    """A target accepts requests and never answers them."""
    placer = placer_with_samples()
    late = placer.request_placement(request(1_000.0), 1_000.0)
    for step in range(60):
        now_ms = 1_700.0 + step * 10
        placement = placer.request_placement(request(now_ms), now_ms)
        assert placement.target.identity != late.target.identity
        end_attempt(placer, placement, AttemptOutcome.ANSWERED, now_ms + 5.0)


def test_a_hung_target_is_ejected_before_its_callers_deadlines():
    """A target hangs with both slots taken.

    Without a response, its callers would notice at their deadlines, and the next two
    requests would occupy the same slots.
    """
    placer = placer_with_samples(count=1)
    for _ in range(2):
        placer.request_placement(request(1_000.0), 1_000.0)
    placer.process_due(1_300.0)
    assert not placer.changes()
    placer.process_due(1_900.0)
    assert [change.standing for change in placer.changes()] == [EjectionState.EJECTED]


def test_many_ejections_in_a_row_keep_the_floor():
    """Half of the targets failed a moment ago, and the others' slots are all taken.

    Some of the five may be healthy again, and callers would be refused meanwhile.
    """
    placer = make_placer(count=10)
    for n in range(5):
        sender = HostId(f"entry-{n}")
        placement = placer.request_placement(request(sender=sender), 0.0)
        broken = AttemptOutcome.BROKEN
        end_attempt(placer, placement, broken, n * 10.0, sender=sender)
    placer.process_due(2_200.0)
    states = [tracker.ejection_state for tracker in placer.trackers().values()]
    assert states.count(EjectionState.EJECTED) == 5
    for _ in range(8):
        placer.request_placement(request(2_200.0), 2_200.0)
    placer.process_due(2_200.0)
    states = [tracker.ejection_state for tracker in placer.trackers().values()]
    assert states.count(EjectionState.EJECTED) == 3


def test_retries_stop_at_the_budget():
    """All targets shed half of their work, and every refusal causes a retry."""
    placer = make_placer(count=15)
    refused = 0
    for step in range(1_000):
        now_ms = step * 9.0
        placement = placer.request_placement(request(now_ms), now_ms)
        if isinstance(placement, PlacementGranted):
            end_attempt(placer, placement, AttemptOutcome.ABANDONED, now_ms)
        again = placer.request_placement(request(now_ms, retry=True), now_ms)
        if isinstance(again, PlacementGranted):
            end_attempt(placer, again, AttemptOutcome.ABANDONED, now_ms)
        refused += isinstance(again, PlacementRefused)
    assert 1_000 - refused <= 0.2 * 1_000 + 58


def test_the_slot_of_a_killed_sender_is_freed_at_the_deadline():
    """An entry is killed with requests running, and never reports their outcomes."""
    placer = make_placer(count=1, slots=1)
    placer.request_placement(request(), 0.0)
    assert isinstance(
        placer.request_placement(request(2_001.0), 2_001.0), PlacementGranted
    )


def test_gray_failures_cost_few_requests():
    """A third of the targets break all their work for two seconds of each nine.

    Compares the requests lost with pooled evidence, as in this placer, and without
    evidence. Each loss is a payment that failed or a page that had to be requested
    again.
    """
    lost = {True: 0, False: 0}
    for pooled in lost:
        rng = random.Random(7)
        placer = make_placer(count=15)
        phase = {f"t{n}": rng.uniform(0, 9_000) for n in range(5)}
        for step in range(3_000):
            now_ms = step * 33.0
            placement = placer.request_placement(request(now_ms), now_ms)
            name = placement.target.identity
            gray = name in phase and (now_ms + phase[name]) % 9_000 < 2_000
            lost[pooled] += gray
            outcome = (
                AttemptOutcome.BROKEN if gray and pooled else AttemptOutcome.ANSWERED
            )
            end_attempt(placer, placement, outcome, now_ms + 1.0)
    assert lost[False] > 150
    assert lost[True] * 3 < lost[False]


def test_abandoned_work_counts_against_its_target():
    """A target hangs, and every look-up sent there is hedged and answered elsewhere.

    No caller waits for the first attempt any more. If it were ignored, the next
    confirmation would be sent to the same target and lost.
    """
    placer = placer_with_samples(count=2)
    hung = placer.request_placement(request(1_000.0, idempotent=True), 1_000.0)
    end_attempt(placer, hung, AttemptOutcome.ABANDONED, 1_700.0, latency_ms=700.0)
    for step in range(4):
        now_ms = 1_800.0 + step * 10
        placement = placer.request_placement(request(now_ms), now_ms)
        assert placement.target.identity != hung.target.identity
        end_attempt(
            placer, placement, AttemptOutcome.ANSWERED, now_ms + 5.0, latency_ms=150.0
        )


def test_a_caller_that_leaves_early_does_not_count_against_its_target():
    """Some callers always give up after a moment.

    Counted as hangs, their requests would eject healthy targets.
    """
    placer = placer_with_samples()
    for step in range(50):
        now_ms = 1_000.0 + step * 100
        placement = placer.request_placement(request(now_ms), now_ms)
        end_attempt(
            placer, placement, AttemptOutcome.ABANDONED, now_ms + 90.0, latency_ms=90.0
        )
    assert not placer.changes()


def test_a_target_is_tried_by_an_idempotent_request_some_time_after_its_failure():
    """A relapsed target is ejected for ten seconds, though it was gray for three.

    An idempotent request can test it at the cost of a second attempt, and callers
    need the healthy targets while requests fail.
    """
    placer = make_placer()
    broken = placer.request_placement(request(), 0.0)
    end_attempt(placer, broken, AttemptOutcome.BROKEN, 0.0)
    tracker = placer.trackers()[broken.target.identity]
    tracker.ejected_until_ms = 10_000.0
    payment = [placer.request_placement(request(2_100.0), 2_100.0) for _ in range(14)]
    assert broken.target.identity not in {p.target.identity for p in payment}
    page = placer.request_placement(request(2_100.0, idempotent=True), 2_100.0)
    assert page.target.identity == broken.target.identity


def test_while_requests_go_unserved_no_healthy_target_is_left_without_work():
    """Many requests hang, and the targets in the other domain have had nothing lately.

    Those in the local domain have free slots, so nothing else would send work to the
    others.
    """
    placer = placer_with_samples(count=8)
    for step in range(6):
        placement = placer.request_placement(request(1_000.0), 1_000.0)
        end_attempt(placer, placement, AttemptOutcome.ERROR, 1_001.0 + step)
    used = set()
    for step in range(20):
        now_ms = 2_500.0 + step * 20
        placement = placer.request_placement(request(now_ms, idempotent=True), now_ms)
        used.add(placement.target.identity)
        end_attempt(
            placer, placement, AttemptOutcome.ANSWERED, now_ms + 10.0, latency_ms=150.0
        )
    assert len(used) >= 6


def test_suspicion_ejects_no_more_than_the_floor_allows():
    """Every target fails now and then at the same moment, for a shared reason.

    Each failure is evidence against one of them. Ejected together they would leave no
    room for the work that most of them would have done.
    """
    placer = make_placer(count=10)
    for step in range(100):
        placement = placer.request_placement(request(step * 10.0), step * 10.0)
        if isinstance(placement, PlacementGranted):
            end_attempt(placer, placement, AttemptOutcome.ERROR, step * 10.0 + 5.0)
    states = [tracker.ejection_state for tracker in placer.trackers().values()]
    assert states.count(EjectionState.EJECTED) <= 3


def test_a_hedge_without_a_free_slot_costs_no_retry():
    """A target hangs, and all others of its service are excluded or taken.

    The entry requests a hedge repeatedly. If each one were counted, the service
    would have no retries left when there is a free slot.
    """
    placer = ServicePlacer(0.7, RetryBudget(0.0, 10.0, 10_000.0, -10_000.0))
    placer.set_targets(listed_targets(2), 0.0)
    placer.request_placement(request(idempotent=True), 0.0)
    fields = {"idempotent": True, "retry": True, "hedge": True}
    all_targets = frozenset(placer.trackers())
    for step in range(50):
        now_ms = 300.0 + step
        again = placer.request_placement(
            request(now_ms, excluded=all_targets, **fields), now_ms
        )
        assert isinstance(again, PlacementRefused) and again.reason == "full"
    assert isinstance(
        placer.request_placement(request(400.0, **fields), 400.0), PlacementGranted
    )


def test_work_that_ran_at_an_ejection_is_no_relapse():
    """A target with all slots taken crashes, and every request on it breaks.

    If each counted as a relapse, its next ejection would last ten seconds though it was
    gray for two.
    """
    placer = make_placer(count=1, slots=6)
    running = [placer.request_placement(request(), 0.0) for _ in range(6)]
    for placement in running:
        end_attempt(placer, placement, AttemptOutcome.BROKEN, 10.0)
    tracker = placer.trackers()[running[0].target.identity]
    assert tracker.ejection_ms == tracker.ejected_until_ms - 10.0 == 2_500.0


def test_a_request_that_tried_all_targets_is_refused_at_once():
    """A service has one target, and a page that failed there requests another one.

    Queued for a slot that it may not take, its caller would learn of the failure
    seconds later.
    """
    placer = make_placer(count=1, slots=1)
    first = placer.request_placement(request(idempotent=True), 0.0)
    again = request(idempotent=True, retry=True, excluded=frozenset(placer.trackers()))
    refused = placer.request_placement(again, 10.0)
    assert isinstance(first, PlacementGranted)
    assert isinstance(refused, PlacementRefused) and refused.reason == "no-target"


def test_serving_the_queue_is_cheap_while_no_slot_is_free(monkeypatch):
    """Sixty requests are queued at a service whose slots are all taken.

    The queue is served at each end of an attempt. Checking every target for each
    request would use up the placer's CPU time when it is needed most: each target may
    be checked for a free slot only once, for all requests together.
    """
    placer = placer_with_samples(count=20)
    while isinstance(
        placer.request_placement(request(1_000.0), 1_000.0), PlacementGranted
    ):
        pass
    for tracker in placer.trackers().values():
        tracker.full_until_ms = 5_000.0
    for _ in range(100):
        placer.request_placement(request(1_000.0, deadline_ms=60_000.0), 1_000.0)
    assert placer.queued >= 60
    checked: list[str] = []
    has_free_slot = TargetTracker.has_free_slot

    def counted(tracker: TargetTracker, now_ms: float) -> bool:
        checked.append(tracker.listed.identity)
        return has_free_slot(tracker, now_ms)

    monkeypatch.setattr(TargetTracker, "has_free_slot", counted)
    placer.process_due(1_010.0)
    assert sorted(checked) == sorted(placer.trackers())
