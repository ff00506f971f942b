"""Place the requests of one service on its targets, for the whole fleet.

Sized for services of about ten targets with 2 to 6 slots each, loaded from a third to
all of their capacity, where any target may develop a gray failure at any time. Guards
against requests sent to a target that another node has just seen fail, requests that
queue at a full target while another one is idle, and callers kept waiting for a
refusal.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.concurrency_limit import ConcurrencyLimits, LimitChange
from crocusspindle.core.crash_table import CrashTable, Isolation
from crocusspindle.core.crash_watch import CrashWatch
from crocusspindle.core.floor_watch import FloorWatch
from crocusspindle.core.gray_onset_rate import GrayOnsetRate
from crocusspindle.core.hedge_time import hedge_after_ms
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)
from crocusspindle.core.overload_watch import OverloadChange
from crocusspindle.core.path_attribution import PathAttribution, state_change
from crocusspindle.core.path_evidence import PathEvidence, SenderPathChange
from crocusspindle.core.placement_queue import (
    RETRY_MIN_MS,
    Capacity,
    PlacementQueue,
)
from crocusspindle.core.placement_request import (
    EjectionStateChange,
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import ALL_POLICIES, Policies, Policy
from crocusspindle.core.retry_budget import Reporter, RetryBudget
from crocusspindle.core.route_latencies import RouteLatencies
from crocusspindle.core.target_choice import TargetChoice
from crocusspindle.core.target_limits import TargetLimits
from crocusspindle.core.target_tracker import (
    COLD_SLOWNESS,
    HUNG_NATS,
    EjectionState,
    Grant,
    TargetTracker,
    TrackedAttempt,
)
from crocusspindle.core.unreached_share import UnreachedShare
from crocusspindle.ids import NO_CONTENT, ContentDigest, GrantId, HostId

REFRESH_MS: Final = 5.0
"""Minimum interval at which requests and outcomes cause a check for what becomes due by
time alone: the end of an ejection, the expiry of a grant, a hang."""


class ServicePlacer:
    """Grant targets to the requests of one service, queue them or refuse them."""

    def __init__(
        self,
        floor_share: float,
        retry_budget: RetryBudget,
        policies: Policies = ALL_POLICIES,
        now_ms: float = 0.0,
        crashes: CrashTable | None = None,
    ) -> None:
        self._crashes = CrashTable() if crashes is None else crashes
        self.crash_watch = CrashWatch(self._crashes)
        self._retry_budget = retry_budget
        self._policies = policies
        self._refreshed_ms = -math.inf
        self._trackers: dict[TargetIdentity, TargetTracker] = {}
        self.limits = TargetLimits(self._trackers)
        self._latencies = RouteLatencies(policies.has(Policy.ROUTE_LATENCIES))
        self._onset_rate = GrayOnsetRate(now_ms)
        self._unreached = UnreachedShare()
        self._changes: list[EjectionStateChange] = []
        self._paths = PathEvidence()
        self._attribution = PathAttribution(
            self._trackers,
            self._paths,
            self.limits,
            self._changes,
            policies.has(Policy.PATH_ATTRIBUTION),
        )
        self._floor = FloorWatch(floor_share)
        self._concurrency = ConcurrencyLimits(now_ms)
        self._all_healthy = True
        self._learns_limits = policies.has(Policy.LEARNED_LIMITS)
        self._choice = TargetChoice(
            self._trackers,
            self._floor,
            self._onset_rate,
            policies,
            self._crashes,
            self._paths,
            self._concurrency,
        )
        self._queue = PlacementQueue(policies, now_ms)
        self._last_grant = 0

    def set_targets(self, listed: Iterable[ListedTarget], now_ms: float) -> None:
        """Replace the list of the service's targets."""
        self._floor.invalidate_due()
        entries = {entry.identity: entry for entry in listed}
        self.crash_watch.keep(entries)
        self._paths.keep(set(entries), now_ms)
        for identity in self._trackers.keys() - entries.keys():
            del self._trackers[identity]
        for identity, entry in entries.items():
            tracker = self._trackers.get(identity)
            if tracker is None:
                # It has just reported to the platform that it runs, which counts as a
                # success.
                tracker = TargetTracker(
                    entry, latency_updated_ms=now_ms, last_success_ms=now_ms
                )
                self._trackers[identity] = tracker
            tracker.update_listed(entry, now_ms)

    def trackers(self) -> Mapping[TargetIdentity, TargetTracker]:
        """Return the tracker of each target."""
        return self._trackers

    def apply_ejection(
        self, target: TargetIdentity, until_ms: float, now_ms: float
    ) -> None:
        """Apply another placer's ejection, so that this one can take over from it."""
        tracker = self._trackers.get(target)
        if tracker is None:
            return
        if until_ms <= now_ms:
            # The other placer has withdrawn it.
            tracker.ejected_until_ms = min(tracker.ejected_until_ms, now_ms)
        else:
            tracker.ejection_state = EjectionState.EJECTED
            tracker.ejected_until_ms = max(tracker.ejected_until_ms, until_ms)
            tracker.last_failed_ms = now_ms

    def changes(self) -> list[EjectionStateChange]:
        """Return the changes of ejection state since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    def overload_changes(self) -> list[OverloadChange]:
        """Return the beginnings and ends of overloads since the last call."""
        return self._queue.overload.changes()

    @property
    def is_overloaded(self) -> bool:
        """Return True while requests are refused as full."""
        return self._queue.overload.is_overloaded

    def limit_changes(self) -> list[LimitChange]:
        """Return the changes of learned concurrency limits since the last call."""
        return self._concurrency.changes()

    def lowered_limits(self) -> dict[TargetIdentity, int]:
        """Return the limits below the listed slots that this placer has learned."""
        return {
            identity: tracker.learned.learned
            for identity, tracker in self._trackers.items()
            if tracker.learned.learned < tracker.listed.slots
        }

    def receive_limits(
        self, limits: Iterable[tuple[TargetIdentity, int]], now_ms: float
    ) -> None:
        """Use another placer's learned limits until they expire."""
        if not self._learns_limits:
            return
        limit_of = dict(limits)
        for identity, tracker in self._trackers.items():
            # A target that is not named is no longer limited.
            limit = limit_of.get(identity, tracker.listed.slots)
            tracker.learned.receive(limit, now_ms)
        self._concurrency.update_lowered(self._trackers.values())

    def path_changes(self) -> list[SenderPathChange]:
        """Return the changes of senders' paths since the last call."""
        return self._paths.changes()

    def senders_with_path(self, now_ms: float) -> list[HostId]:
        """Return the senders that reach targets of the service."""
        return self._paths.reaching(now_ms)

    def request_placement(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> PlacementGranted | PlacementRefused | QueuedRequest:
        """Grant a target for an attempt, queue the request, or refuse it at once."""
        if placement_request.hedge and not self._may_hedge(placement_request, now_ms):
            return PlacementRefused("full", self._typical_ms(placement_request))
        reporter = self._record_retry_report(placement_request, now_ms)
        if placement_request.retry:
            if not self._retry_budget.retry(
                now_ms, placement_request.priority, reporter
            ):
                return PlacementRefused("repeats", self._typical_ms(placement_request))
        else:
            if reporter is None and not placement_request.counted:
                self._retry_budget.request(now_ms)
            self._queue.record_arrival(placement_request, now_ms)
        self._refresh_if_due(now_ms)
        # Those that wait go first: a slot may have become free by time alone.
        self._serve_queue(now_ms)
        placed = self._place(placement_request, now_ms)
        if placed is not None:
            if not placement_request.retry:
                self._queue.record_immediate_grant(placement_request, now_ms)
            return placed
        if placement_request.hedge:
            self._retry_budget.give_back(reporter)
            return PlacementRefused("full", self._typical_ms(placement_request))
        return self._enqueue(placement_request, now_ms)

    def _record_retry_report(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> Reporter | None:
        """Return the process whose report was recorded, None without a report."""
        report = placement_request.retries
        if report is None:
            return None
        reporter = (placement_request.sender, report.process)
        self._retry_budget.record_report(reporter, report, now_ms)
        return reporter

    def _may_hedge(self, placement_request: PlacementRequest, now_ms: float) -> bool:
        if self._crashes.isolation(placement_request.content) is not Isolation.NONE:
            return False
        # When slots are short, a hedge takes the slot of another request's first
        # attempt.
        if not self._policies.has(Policy.HEDGING) or len(self._queue):
            return False
        return bool(self._choice.free_targets(now_ms).targets)

    def _sample(self, placement_request: PlacementRequest) -> LatencySample:
        return self._latencies.sample_for(
            placement_request.route, placement_request.aim_ms
        )

    def _typical_ms(self, placement_request: PlacementRequest) -> float:
        return self._sample(placement_request).typical_ms

    def _enqueue(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> PlacementRefused | QueuedRequest:
        if placement_request.trial:
            return PlacementRefused("held", RETRY_MIN_MS)
        if not self._any_healthy_for(placement_request, now_ms):
            return self._refuse_without_target(placement_request, now_ms)
        sample = self._sample(placement_request)
        capacity = self._capacity(sample.typical_ms)
        return self._queue.enqueue(placement_request, sample, capacity, now_ms)

    def _capacity(self, default_latency_ms: float = 0.0) -> Capacity:
        mean_ms = self._latencies.mean_ms or default_latency_ms
        return Capacity.of_slots(self._open_slots(mean_ms), mean_ms)

    def _any_healthy_for(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> bool:
        sender = placement_request.sender
        reaches_none = not self._choice.reaches_any(sender, now_ms)
        return any(
            tracker.ejection_state is EjectionState.HEALTHY
            and tracker.listed.readiness is Readiness.READY
            and tracker.listed.identity not in placement_request.excluded
            and (reaches_none or self._choice.reachable(tracker, sender, now_ms))
            for tracker in self._trackers.values()
        )

    def _open_slots(self, work_ms: float) -> float:
        # A rate limit keeps fewer slots busy than there are, the fewer the shorter the
        # work.
        return sum(
            min(tracker.capacity, tracker.limit.sustained_concurrency(work_ms))
            for tracker in self._trackers.values()
            if tracker.ejection_state is EjectionState.HEALTHY
            and tracker.listed.readiness is Readiness.READY
        )

    def _refuse_without_target(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> PlacementRefused:
        ejections_end_ms = [
            tracker.ejected_until_ms
            for tracker in self._trackers.values()
            if tracker.ejection_state is EjectionState.EJECTED
        ]
        first_end_ms = min(
            ejections_end_ms, default=now_ms + self._typical_ms(placement_request)
        )
        return PlacementRefused("no-target", max(RETRY_MIN_MS, first_end_ms - now_ms))

    def _refresh_if_due(self, now_ms: float) -> None:
        # With hundreds of targets, checking each of them at every placement request and
        # outcome would leave the placer too little CPU time for its callers.
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refresh(now_ms)

    def _refresh(self, now_ms: float) -> None:
        self._refreshed_ms = now_ms
        healthy = 0
        ejects_hung = self._policies.has(Policy.HUNG_EJECTION)
        for tracker in self._trackers.values():
            if tracker.limit.is_active:
                tracker.limit.end_due_limit(now_ms)
            if tracker.ejection_state is EjectionState.EJECTED:
                tracker.end_due_ejection(now_ms)
            if tracker.ejection_state is EjectionState.HEALTHY:
                self._paths.end_ejection(tracker.listed.identity)
            healthy += tracker.ejection_state is EjectionState.HEALTHY
            if not tracker.grants:
                continue
            tracker.drop_expired(now_ms)
            if ejects_hung:
                self._eject_hung(tracker, now_ms)
        if self._learns_limits:
            self._concurrency.evaluate_if_due(self._trackers.values(), now_ms)
        self._all_healthy = healthy == len(self._trackers)
        self._onset_rate.record_time(healthy, len(self._trackers) - healthy, now_ms)
        if self._policies.has(Policy.FLOOR_TRIALS):
            self._floor.end_ejections_early(
                self._trackers.values(), len(self._queue), now_ms
            )

    def _eject_hung(self, tracker: TargetTracker, now_ms: float) -> None:
        # A target that accepts work and never answers reports no outcome to evaluate.
        # Its callers would notice one by one when their deadlines pass.
        if tracker.ejection_state is EjectionState.EJECTED or not tracker.grants:
            return
        if tracker.failure_nats + tracker.suspicion_nats(now_ms) < HUNG_NATS:
            return
        if not self._floor.may_eject(self._trackers.values(), now_ms):
            return
        self._onset_rate.record_onset(tracker.ejection_state is EjectionState.HEALTHY)
        newest_ms = max(grant.began_ms for grant in tracker.grants.values())
        tracker.last_failed_ms = max(tracker.last_failed_ms, newest_ms)
        tracker.eject(now_ms)
        self._record_state_change(tracker, AttemptOutcome.SILENT, None)

    def _place(
        self, placement_request: PlacementRequest, now_ms: float
    ) -> PlacementGranted | None:
        chosen = self._choice.choose(
            placement_request, self._typical_ms(placement_request), now_ms
        )
        return (
            None if chosen is None else self._grant(chosen, placement_request, now_ms)
        )

    def _grant(
        self, tracker: TargetTracker, placement_request: PlacementRequest, now_ms: float
    ) -> PlacementGranted:
        self._last_grant += 1
        sample = self._sample(placement_request)
        grant_id = GrantId(self._last_grant)
        min_suspicious_ms = self._latencies.min_suspicious_ms
        if self._crashes.isolation(placement_request.content) is not Isolation.NONE:
            tracker.isolated_grant = None if tracker.grants else grant_id
        tracker.grants[grant_id] = Grant(
            grant_id,
            placement_request.sender,
            now_ms,
            placement_request.deadline_ms,
            placement_request.route,
            placement_request.aim_ms,
            sample,
            min_suspicious_ms,
            placement_request.content,
            COLD_SLOWNESS if tracker.limit.is_cold(now_ms) else 1.0,
            self._record_start(tracker, now_ms),
            body_bytes=placement_request.body_bytes,
        )
        tracker.last_used_ms = now_ms
        self.limits.record_attempt(tracker, now_ms)
        hedge_ms = max(
            min_suspicious_ms, hedge_after_ms(sample, placement_request.aim_ms)
        )
        return PlacementGranted(grant_id, tracker.listed, hedge_ms)

    def _record_start(self, tracker: TargetTracker, now_ms: float) -> int:
        if not self._learns_limits:
            return 0
        holds = self._concurrency.holds
        holds.is_full = self._all_healthy and len(self._queue) > 0
        return tracker.learned.record_start(len(tracker.grants) + 1, holds, now_ms)

    def ended(
        self,
        target: TargetIdentity,
        grant: GrantId,
        outcome: AttemptOutcome,
        sender: HostId,
        latency_ms: float,
        now_ms: float,
        content: ContentDigest = NO_CONTENT,
    ) -> None:
        """Record the outcome of an attempt and serve the queue."""
        tracker = self._trackers.get(target)
        if tracker is None:
            return
        ended_grant = tracker.grants.pop(grant, None)
        if outcome.shows_path:
            began_ms = ended_grant.began_ms if ended_grant else now_ms - latency_ms
            self._attribution.record_response(
                tracker, outcome, sender, began_ms, now_ms
            )
        if not self._attribution.speaks_of_path(
            tracker, ended_grant, outcome, sender, now_ms
        ):
            self._record_outcome(
                tracker, ended_grant, outcome, sender, latency_ms, now_ms, content
            )
        self._refresh_if_due(now_ms)
        # A copy of the request that has just crashed a target may be queued here, and
        # must be held once the crash is recorded.
        if not self.crash_watch.has_reports:
            self._serve_queue(now_ms)

    def _record_outcome(
        self,
        tracker: TargetTracker,
        ended_grant: Grant | None,
        outcome: AttemptOutcome,
        sender: HostId,
        latency_ms: float,
        now_ms: float,
        content: ContentDigest,
    ) -> None:
        target = tracker.listed.identity
        content = content if ended_grant is None else ended_grant.content
        running = [other.content for other in tracker.grants.values()]
        self.crash_watch.ended(target, content, running, outcome, now_ms)
        self._floor.record_outcome(outcome, now_ms)
        previous_state = tracker.ejection_state
        attempt = self._tracked_attempt(
            ended_grant, outcome, sender, latency_ms, now_ms
        )
        tracker.record_result(attempt)
        if ended_grant is not None and ended_grant.shows_level(attempt):
            tracker.learned.record_answer(
                ended_grant.level, attempt.slowness, ended_grant.began_ms
            )
        self._unreached.record(outcome is AttemptOutcome.UNREACHED)
        if ended_grant is not None and ended_grant.is_typical(outcome):
            self._latencies.add(ended_grant.route, ended_grant.aim_ms, latency_ms)
            self._queue.record_answer(latency_ms)
        if tracker.ejection_state is not previous_state:
            if self._paths.is_sole_witness(target, sender):
                tracker.confirm_soon(previous_state, now_ms)
                self.limits.record_unseen(tracker, outcome, now_ms)
            else:
                self.limits.record_ejection(tracker, outcome, now_ms)
            self._onset_rate.record_onset(previous_state is EjectionState.HEALTHY)
            self._record_state_change(tracker, outcome, sender)

    def _tracked_attempt(
        self,
        grant: Grant | None,
        outcome: AttemptOutcome,
        sender: HostId,
        latency_ms: float,
        now_ms: float,
    ) -> TrackedAttempt:
        may_eject = self._floor.may_eject(self._trackers.values(), now_ms)
        unreached_nats = self._unreached.unreached_nats
        if grant is None:
            began_ms = now_ms - latency_ms
            return TrackedAttempt(
                outcome, sender, began_ms, now_ms, 1.0, 0.0, unreached_nats, may_eject
            )
        # Senders report whole milliseconds: 0 stands for less than one.
        slowness = max(1.0, latency_ms) / max(1.0, grant.sample.typical_ms)
        age_nats = grant.age_nats(latency_ms)
        if not self._policies.has(Policy.HANG_EVIDENCE):
            age_nats = 0.0
        began_ms = grant.began_ms
        return TrackedAttempt(
            outcome,
            sender,
            began_ms,
            now_ms,
            slowness,
            age_nats,
            unreached_nats,
            may_eject,
        )

    def _record_state_change(
        self, tracker: TargetTracker, outcome: AttemptOutcome, sender: HostId | None
    ) -> None:
        self._changes.append(state_change(tracker, outcome, sender))

    def process_due(self, now_ms: float) -> None:
        """Apply what became due by time, then serve the queue."""
        self._refresh(now_ms)
        if len(self._queue):
            self._refuse_held(now_ms)
            self._serve_queue(now_ms)
            self._queue.refuse_hopeless(self._capacity(), now_ms)
        self._queue.overload.end_if_over(now_ms)

    def _refuse_held(self, now_ms: float) -> None:
        for waiting in list(self._queue.in_order(now_ms)):
            content = waiting.request.content
            if self._crashes.is_held(content):
                hold_ms = self._crashes.hold_ms(content)
                waiting.settled = PlacementRefused("held", hold_ms)
                self._queue.remove(waiting)

    def _serve_queue(self, now_ms: float) -> None:
        # Few requests queued at a full service find a free slot. Checking every target
        # for each would use up the placer's CPU time when it is scarce.
        if not len(self._queue):
            return
        free = self._choice.free_targets(now_ms)
        if not free.targets:
            return
        slots = self._open_slots(self._queue.mean_latency_ms)
        started: list[QueuedRequest] = []
        for waiting in self._queue.in_order(now_ms):
            if self._crashes.is_held(waiting.request.content):
                continue
            if not self._queue.may_start(waiting, slots, now_ms):
                continue
            if not self._choice.may_suit(free, waiting.request, now_ms):
                continue
            waiting.settled = self._place(waiting.request, now_ms)
            if waiting.settled is not None:
                started.append(waiting)
                free = self._choice.free_targets(now_ms)
                if not free.targets:
                    break
        for waiting in started:
            self._queue.take(waiting, now_ms)

    def abandon(self, waiting: QueuedRequest) -> None:
        """Drop a queued request whose caller has left."""
        self._queue.remove(waiting)

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)
