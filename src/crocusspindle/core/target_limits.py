"""Apply rate limits to the targets of one service, and count attempts at them."""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.cold_targets import ColdTargets
from crocusspindle.core.configuration import ServiceRule
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.target_tracker import EjectionState, TargetTracker

RESTART_OUTCOMES: Final = frozenset(
    {AttemptOutcome.CLOSED, AttemptOutcome.CRASHED, AttemptOutcome.UNREACHED}
)
"""Outcomes after which a target that returns may have started again, and be cold."""


class TargetLimits:
    """Hold the limits that targets report and those of cold targets."""

    def __init__(self, trackers: Mapping[TargetIdentity, TargetTracker]) -> None:
        self._trackers = trackers
        self._rule = ServiceRule()
        self._attempts: list[TargetIdentity] = []

    def update_reported(self, report: LimitReport, now_ms: float) -> bool:
        """Update the limit that a target reported; return True if it changed."""
        tracker = self._trackers.get(report.target)
        return tracker is not None and tracker.limit.apply_report(report, now_ms)

    def update_cold(
        self, rule: ServiceRule, cold_targets: ColdTargets, now_ms: float
    ) -> list[TargetIdentity]:
        """Limit the targets that may be cold; return those that are limited now."""
        self._rule = rule
        return [
            identity
            for identity, tracker in self._trackers.items()
            if self._limit_while_cold(tracker, cold_targets.since_ms(identity), now_ms)
        ]

    def _limit_while_cold(
        self, tracker: TargetTracker, since_ms: float, now_ms: float
    ) -> bool:
        per_s = self._rule.cold_per_s
        if per_s is None:
            return False
        until_ms = since_ms + self._rule.warm_up_ms
        return tracker.limit.limit_while_cold(per_s, until_ms, now_ms)

    @property
    def are_active(self) -> bool:
        """Return True while a limit of any target is in force."""
        return any(tracker.limit.is_active for tracker in self._trackers.values())

    def set_share(self, share: float, now_ms: float) -> None:
        """Set the share of each limit that this placer may use, from 0 to 1."""
        for tracker in self._trackers.values():
            tracker.limit.set_share(share, now_ms)

    def empty(self, now_ms: float) -> None:
        """Begin without tokens: another placer may have sent requests just before."""
        for tracker in self._trackers.values():
            tracker.limit.empty(now_ms)

    def record_ejection(
        self, tracker: TargetTracker, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Limit a target that may have started again by the end of its ejection."""
        if (
            outcome in RESTART_OUTCOMES
            and tracker.ejection_state is EjectionState.EJECTED
        ):
            self._limit_while_cold(tracker, tracker.ejected_until_ms, now_ms)

    def record_unseen(
        self, tracker: TargetTracker, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Record a failure that may be a restart of the target or a lost path."""
        if outcome in RESTART_OUTCOMES:
            tracker.may_have_restarted_ms = now_ms

    def record_response(
        self, tracker: TargetTracker, began_ms: float, now_ms: float
    ) -> None:
        """Limit a target that may have restarted unless a response rules it out."""
        restarted_ms = tracker.may_have_restarted_ms
        if restarted_ms is None:
            return
        tracker.may_have_restarted_ms = None
        if began_ms > restarted_ms:
            self._limit_while_cold(tracker, now_ms, now_ms)

    def record_attempt(self, tracker: TargetTracker, now_ms: float) -> None:
        """Count one attempt of this placer."""
        if tracker.limit.is_active:
            tracker.limit.record_sent(now_ms)
            self._attempts.append(tracker.listed.identity)

    def count_attempt(self, report: LimitReport, now_ms: float) -> None:
        """Count another placer's attempt; a cold target may have reported no limit."""
        tracker = self._trackers.get(report.target)
        if tracker is None:
            return
        if report.limit_per_s is not None:
            tracker.limit.apply_report(report, now_ms)
        tracker.limit.record_sent(now_ms)

    def attempts(self) -> list[LimitReport]:
        """Return one report for each attempt at a limited target since the last call.

        Other placers count these attempts, too.
        """
        targets, self._attempts = self._attempts, []
        limits = {
            target: self._trackers[target].limit
            for target in targets
            if target in self._trackers
        }
        return [
            LimitReport(target, limits[target].reported_per_s, limits[target].sent_ms)
            for target in targets
            if target in limits
        ]
