"""Apply to targets what failed attempts show of their senders' paths."""

from collections.abc import Mapping

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.path_evidence import Fault, PathEvidence
from crocusspindle.core.placement_request import EjectionStateChange
from crocusspindle.core.target_limits import TargetLimits
from crocusspindle.core.target_tracker import EjectionState, Grant, TargetTracker
from crocusspindle.ids import HostId


def state_change(
    tracker: TargetTracker,
    outcome: AttemptOutcome,
    sender: HostId | None,
    withdrawn: bool = False,
) -> EjectionStateChange:
    """Describe the ejection state that an attempt has changed."""
    return EjectionStateChange(
        tracker.listed.identity,
        tracker.ejection_state,
        outcome,
        sender,
        tracker.ejected_until_ms,
        withdrawn,
    )


class PathAttribution:
    """Keep the failures of senders without paths from counting against targets."""

    def __init__(
        self,
        trackers: Mapping[TargetIdentity, TargetTracker],
        paths: PathEvidence,
        limits: TargetLimits,
        changes: list[EjectionStateChange],
        is_on: bool,
    ) -> None:
        self._trackers = trackers
        self._paths = paths
        self._limits = limits
        self._changes = changes
        self._is_on = is_on

    def record_response(
        self,
        tracker: TargetTracker,
        outcome: AttemptOutcome,
        sender: HostId,
        began_ms: float,
        now_ms: float,
    ) -> None:
        """Record that a target responded to an attempt that began at a time."""
        target = tracker.listed.identity
        self._limits.record_response(tracker, began_ms, now_ms)
        if outcome is not AttemptOutcome.MISDIRECTED and self._paths.record_alive(
            target, sender, now_ms
        ):
            self._withdraw_ejection(tracker, outcome, sender)
        for failed in self._paths.record_response(target, sender, began_ms, now_ms):
            other = self._trackers.get(failed)
            if other and other.ejection_state is not EjectionState.EJECTED:
                other.last_failed_ms = now_ms
                other.eject(now_ms)
                self._changes.append(state_change(other, AttemptOutcome.CLOSED, sender))

    def speaks_of_path(
        self,
        tracker: TargetTracker,
        grant: Grant | None,
        outcome: AttemptOutcome,
        sender: HostId,
        now_ms: float,
    ) -> bool:
        """Return True if an outcome speaks of its sender's path, not of the target."""
        if not self._is_on or outcome.shows_path:
            return False
        if outcome.fails_path:
            target = tracker.listed.identity
            fault = self._paths.record_failure(target, sender, outcome, now_ms)
            if fault is Fault.TARGET:
                return False
            if self._paths.has_lost_path(sender):
                self._withdraw_words(sender, outcome, now_ms)
        elif grant is None or not grant.sender_lost_path:
            return False
        tracker.avoid_path(sender, now_ms)
        self._limits.record_unseen(tracker, outcome, now_ms)
        return True

    def _withdraw_words(
        self, sender: HostId, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Take back what a sender that has lost its path said of targets."""
        for target in self._paths.failing(sender):
            if target in self._trackers:
                self._trackers[target].avoid_path(sender, now_ms)
        for target in self._paths.withdraw(sender):
            self._withdraw_ejection(self._trackers[target], outcome, sender)
        for tracker in self._trackers.values():
            tracker.unreached_at_ms.pop(sender, None)
            for grant in tracker.grants.values():
                grant.sender_lost_path |= grant.sender == sender

    def _withdraw_ejection(
        self, tracker: TargetTracker, outcome: AttemptOutcome, sender: HostId
    ) -> None:
        if tracker.withdraw_ejection():
            self._changes.append(state_change(tracker, outcome, sender, withdrawn=True))
