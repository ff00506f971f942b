"""Choose the target of one request among those of its service."""

from collections.abc import Mapping, Set
from typing import Final

from crocusspindle.core.concurrency_limit import ConcurrencyLimits
from crocusspindle.core.crash_table import CrashTable, Isolation
from crocusspindle.core.floor_watch import FloorWatch
from crocusspindle.core.gray_onset_rate import GrayOnsetRate
from crocusspindle.core.listed_target import Readiness, TargetIdentity
from crocusspindle.core.path_evidence import PathEvidence
from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_costs import (
    CostContext,
    active_cost_terms,
    cost_ms,
    min_other_domain_cost_ms,
)
from crocusspindle.core.target_tracker import (
    SUSPICIOUS_AGE_NATS,
    EjectionState,
    TargetTracker,
)
from crocusspindle.ids import ContentDigest, HostId

NON_IDEMPOTENT_TRIAL_AFTER_MS: Final = 1_500.0
"""How long a trial waits for an idempotent request before it risks a
non-idempotent one."""


class FreeTargets:
    """Hold the targets with a free slot, and what they can accept at most."""

    def __init__(self, targets: list[TargetTracker], due: Set[TargetIdentity]) -> None:
        self.targets = targets
        self.max_body_bytes = max(
            (tracker.room_bytes for tracker in targets), default=0.0
        )
        self._due = due

    def may_try(self, tracker: TargetTracker, request: PlacementRequest) -> bool:
        """Return False if a request may not try a target because it is ejected."""
        if tracker.ejection_state is not EjectionState.EJECTED:
            return True
        if request.retry:
            return False
        return request.idempotent or tracker.listed.identity in self._due


class TargetChoice:
    """Choose a target by the service's floor, recent success and cost."""

    def __init__(
        self,
        trackers: Mapping[TargetIdentity, TargetTracker],
        floor: FloorWatch,
        onset_rate: GrayOnsetRate,
        policies: Policies,
        crashes: CrashTable,
        paths: PathEvidence,
        concurrency: ConcurrencyLimits,
    ) -> None:
        self._concurrency = concurrency
        self._paths = paths
        self._crashes = crashes
        self._trackers = trackers
        self._floor = floor
        self._onset_rate = onset_rate
        self._policies = policies
        self._cost_terms = active_cost_terms(policies)
        self._avoids_failed_paths = policies.has(Policy.PATH_ATTRIBUTION)
        self._local_domain_first = policies.has(Policy.LOCAL_DOMAIN_FIRST)

    def _usable(self, request: PlacementRequest, now_ms: float) -> list[TargetTracker]:
        usable = [
            tracker
            for tracker in self._trackers.values()
            if tracker.ejection_state is not EjectionState.EJECTED
            and tracker.has_free_slot(now_ms)
            and tracker.listed.readiness is Readiness.READY
            and tracker.listed.identity not in request.excluded
            and tracker.has_room(request.body_bytes)
        ]
        reachable = [
            tracker
            for tracker in usable
            if not tracker.avoid_until_ms
            or self.reachable(tracker, request.sender, now_ms)
        ]
        if reachable or self.reaches_any(request.sender, now_ms):
            return reachable
        # A sender asks only if it has a path by its own knowledge.
        return usable

    def free_targets(self, now_ms: float) -> "FreeTargets":
        """Return the targets with a free slot."""
        targets = [
            tracker
            for tracker in self._trackers.values()
            if tracker.has_free_slot(now_ms)
            and tracker.listed.readiness is Readiness.READY
            and (
                tracker.ejection_state is not EjectionState.EJECTED
                or tracker.may_be_tried(now_ms)
            )
        ]
        due = (
            self._floor.due_targets(self._trackers.values(), now_ms) if targets else []
        )
        return FreeTargets(targets, {tracker.listed.identity for tracker in due})

    def may_suit(
        self, free: "FreeTargets", request: PlacementRequest, now_ms: float
    ) -> bool:
        """Return False if none of the targets with a free slot suits a request.

        Takes less time than to choose among all targets in vain.
        """
        if request.body_bytes > free.max_body_bytes:
            return False
        return any(
            tracker.listed.identity not in request.excluded
            and free.may_try(tracker, request)
            and (
                self.reachable(tracker, request.sender, now_ms)
                or not self.reaches_any(request.sender, now_ms)
            )
            for tracker in free.targets
        )

    def reaches_any(self, sender: HostId, now_ms: float) -> bool:
        """Return True unless a sender avoids its paths to all targets in use."""
        return any(
            self.reachable(tracker, sender, now_ms)
            for tracker in self._trackers.values()
            if tracker.ejection_state is not EjectionState.EJECTED
            and tracker.listed.readiness is Readiness.READY
        )

    def reachable(self, tracker: TargetTracker, sender: HostId, now_ms: float) -> bool:
        """Return True unless the sender's path to a target failed recently."""
        return not self._avoids_failed_paths or tracker.reachable(sender, now_ms)

    def choose(
        self, request: PlacementRequest, typical_ms: float, now_ms: float
    ) -> TargetTracker | None:
        """Return the target for a placement request, None if none can accept it."""
        isolation = self._crashes.isolation(request.content)
        if isolation is not Isolation.NONE:
            return self._isolated_target(request, isolation, typical_ms, now_ms)
        usable = self._usable(request, now_ms)
        if self._paths.is_failing(request.sender, now_ms):
            control = _last_responding(usable)
            if control is not None:
                return control
        due = self._due_target(request, now_ms)
        if due is not None:
            return due
        tried = self._tried_target(usable, request, now_ms)
        if tried is not None:
            return tried
        healthy = [
            tracker
            for tracker in usable
            if tracker.ejection_state is EjectionState.HEALTHY
        ]
        if self._policies.has(Policy.SUSPICION_BY_AGE):
            healthy = [
                tracker
                for tracker in healthy
                if tracker.suspicion_nats(now_ms) < SUSPICIOUS_AGE_NATS
            ] or healthy
        if healthy:
            return self._cheapest(healthy, request, typical_ms, now_ms)
        trials = [
            tracker
            for tracker in usable
            if tracker.ejection_state is EjectionState.TRIAL
        ]
        return trials[0] if trials else None

    def _isolated_target(
        self,
        request: PlacementRequest,
        isolation: Isolation,
        typical_ms: float,
        now_ms: float,
    ) -> TargetTracker | None:
        """Return a target for a request that may crash it and break its other work."""
        if self._is_running(request.content):
            return None
        usable = self._usable(request, now_ms)
        usable = [
            candidate
            for candidate in usable
            if candidate.ejection_state is EjectionState.HEALTHY
        ] or usable
        idle = [tracker for tracker in usable if not tracker.grants]
        if isolation is Isolation.REQUIRED:
            usable = []
        candidates = idle or usable
        return (
            self._cheapest(candidates, request, typical_ms, now_ms)
            if candidates
            else None
        )

    def _is_running(self, content: ContentDigest) -> bool:
        return any(
            grant.content == content
            for tracker in self._trackers.values()
            for grant in tracker.grants.values()
        )

    def _due_target(
        self, request: PlacementRequest, now_ms: float
    ) -> TargetTracker | None:
        """Return a due target that should get the request to keep the floor, if any."""
        if request.retry or not self._policies.has(Policy.FLOOR_TRIALS):
            return None
        due = [
            tracker
            for tracker in self._floor.due_targets(self._trackers.values(), now_ms)
            if self._has_free_slot(tracker, now_ms)
            and self._may_use_due_target(tracker, request, now_ms)
            and tracker.listed.identity not in request.excluded
            and tracker.has_room(request.body_bytes)
            and self.reachable(tracker, request.sender, now_ms)
        ]
        if not due:
            return None
        chosen = min(
            due,
            key=lambda tracker: (
                tracker.ejection_state is EjectionState.EJECTED,
                tracker.last_failed_ms,
                tracker.last_used_ms,
            ),
        )
        if chosen.ejection_state is EjectionState.EJECTED:
            chosen.begin_trial(now_ms)
        return chosen

    def _may_use_due_target(
        self, tracker: TargetTracker, request: PlacementRequest, now_ms: float
    ) -> bool:
        # Requests from the target's own domain mostly arrive in time. With those of any
        # domain, three in four floor requests would cause traffic between domains.
        local = tracker.listed.domain == request.domain
        return local or self._floor.is_urgent(tracker, now_ms)

    @staticmethod
    def _has_free_slot(tracker: TargetTracker, now_ms: float) -> bool:
        if tracker.ejection_state is EjectionState.EJECTED:
            has_slot = len(tracker.grants) < tracker.capacity
            return has_slot and not tracker.is_isolated and tracker.limit.allows(now_ms)
        return tracker.has_free_slot(now_ms)

    def _tried_target(
        self, usable: list[TargetTracker], request: PlacementRequest, now_ms: float
    ) -> TargetTracker | None:
        if request.retry:
            return None
        trial_target = self._trial_target(usable, request, now_ms)
        if trial_target is not None:
            return trial_target
        return self._probed_target(request, now_ms)

    def _trial_target(
        self, usable: list[TargetTracker], request: PlacementRequest, now_ms: float
    ) -> TargetTracker | None:
        """Return a target that this request should try, if there is one."""
        trials = [
            tracker
            for tracker in usable
            if tracker.ejection_state is EjectionState.TRIAL
        ]
        if not self._policies.has(Policy.IDEMPOTENT_FIRST):
            return trials[0] if trials else None
        if not request.idempotent:
            trials = [
                tracker
                for tracker in trials
                if now_ms - tracker.ejected_until_ms > NON_IDEMPOTENT_TRIAL_AFTER_MS
            ]
        else:
            trials += self._ejected_to_try(request, now_ms)
        trials.sort(key=lambda tracker: tracker.listed.domain != request.domain)
        if not trials:
            return None
        if trials[0].ejection_state is EjectionState.EJECTED:
            trials[0].begin_trial(now_ms)
        return trials[0]

    def _ejected_to_try(
        self, request: PlacementRequest, now_ms: float
    ) -> list[TargetTracker]:
        # An idempotent request that tries an ejected target risks at most a second
        # attempt, so the ejection can be shorter than for work that runs only once.
        return [
            tracker
            for tracker in self._trackers.values()
            if tracker.may_be_tried(now_ms)
            and tracker.limit.allows(now_ms)
            and tracker.listed.readiness is Readiness.READY
            and tracker.listed.identity not in request.excluded
            and tracker.has_room(request.body_bytes)
            and self.reachable(tracker, request.sender, now_ms)
        ]

    def _probed_target(
        self, request: PlacementRequest, now_ms: float
    ) -> TargetTracker | None:
        """Return a target that this request probes above its limit, if one is due."""
        if not self._concurrency.lowered or not request.idempotent:
            return None
        for limit in self._concurrency.lowered:
            if not limit.probe_due:
                continue
            tracker = self._trackers.get(limit.listed.identity)
            if tracker is not None and self._may_probe(tracker, request, now_ms):
                return tracker
        return None

    def _may_probe(
        self, tracker: TargetTracker, request: PlacementRequest, now_ms: float
    ) -> bool:
        learned = tracker.learned
        if len(tracker.grants) != learned.limit or not learned.probe_due:
            return False
        local = tracker.listed.domain == request.domain
        return (
            tracker.ejection_state is EjectionState.HEALTHY
            and (local or learned.probe_overdue)
            and not tracker.is_isolated
            and now_ms >= tracker.full_until_ms
            and tracker.limit.allows(now_ms)
            and tracker.listed.readiness is Readiness.READY
            and tracker.listed.identity not in request.excluded
            and tracker.has_room(request.body_bytes)
            and self.reachable(tracker, request.sender, now_ms)
        )

    def _cheapest(
        self,
        targets: list[TargetTracker],
        request: PlacementRequest,
        typical_ms: float,
        now_ms: float,
    ) -> TargetTracker:
        context = CostContext(request, typical_ms, self._onset_rate, now_ms)
        explores = request.idempotent and not request.retry
        explores = explores and self._policies.has(Policy.IDEMPOTENT_FIRST)
        if explores and self._floor.floor_at_risk:
            due = [
                tracker for tracker in targets if self._floor.is_due(tracker, now_ms)
            ]
            targets = due or targets

        # Of targets that cost the same, an idempotent first attempt tries the one with
        # the oldest last success: a success renews it, and a failure can be retried.
        def rank(tracker: TargetTracker) -> tuple[float, float]:
            since_ms = tracker.last_success_ms if explores else tracker.last_used_ms
            return (cost_ms(tracker, context, self._cost_terms), since_ms)

        if not self._local_domain_first:
            return min(targets, key=rank)
        local = [
            tracker for tracker in targets if tracker.listed.domain == request.domain
        ]
        cheapest = min(local, key=rank, default=None)
        if cheapest is not None and rank(cheapest)[0] < min_other_domain_cost_ms(
            context
        ):
            return cheapest
        return min(targets, key=rank)


def _last_responding(usable: list[TargetTracker]) -> TargetTracker | None:
    # If a sender that has just failed fails there too, its path is at fault.
    healthy = [
        tracker for tracker in usable if tracker.ejection_state is EjectionState.HEALTHY
    ]
    return max(healthy, key=lambda tracker: tracker.last_success_ms, default=None)
