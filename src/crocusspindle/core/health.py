"""Evaluate the health of a group of targets by their real work.

Designed for targets of 2 to 6 slots with gray failures: they answer health checks while
they fail real work, become slow or silent, or flap. The group coordinator sees all work
of a group and reports it here. Callers should not be sent to a bad target, and a
healthy target should not be ejected for a fault elsewhere.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from crocusspindle.core.ejection import EjectionBudget
from crocusspindle.core.evidence import Reference
from crocusspindle.core.group_reference import GroupReference
from crocusspindle.core.health_state import (
    Cause,
    EjectionWithheld,
    Evidence,
    GroupSuspect,
    HealthChange,
    HealthSettings,
    HealthState,
    Outcome,
    ProbationBegan,
    Restored,
    Sample,
    SecondOpinionWanted,
    TargetHealth,
)
from crocusspindle.core.model import Target, TargetState
from crocusspindle.core.peer_comparison import PeerComparison
from crocusspindle.core.target_record import TargetRecord
from crocusspindle.ids import TargetId


class GroupHealth:
    """Evaluate the targets of one group as seen from one coordinator.

    Times are milliseconds of the process's monotonic clock and never decrease.
    """

    def __init__(self, settings: HealthSettings, floor_fraction: float) -> None:
        self._settings = settings
        self._records: dict[TargetId, TargetRecord] = {}
        self._budget = EjectionBudget(
            self._records, floor_fraction, settings.coordinators_at_once
        )
        self._group_reference = GroupReference(settings)
        self._peers = PeerComparison(settings, self._budget, self._group_reference)
        self._group_suspect_after_ms = float("-inf")

    @classmethod
    def from_config(
        cls, settings: HealthSettings, floor_fraction: float
    ) -> "GroupHealth":
        """Return the health of a group without any known target."""
        return cls(settings, floor_fraction)

    @property
    def _reference(self) -> Reference:
        return self._group_reference.reference

    def set_targets(
        self, targets: Iterable[Target], now_ms: float
    ) -> list[HealthChange]:
        """Set the list of targets; those new to a known group start cold.

        The targets of a group that is new to this coordinator are warm, since another
        coordinator sent them work.
        """
        listed = {target.target: target for target in targets}
        starts_cold = bool(self._records)
        for unlisted in self._records.keys() - listed.keys():
            del self._records[unlisted]
        for target in listed.values():
            record = self._records.get(target.target)
            if record is None:
                record = TargetRecord(target, self._settings, now_ms)
                self._records[target.target] = record
                if starts_cold:
                    record.start_cold(now_ms)
            record.target = target
        return self._enforce_floor(now_ms)

    def observe(self, sample: Sample, now_ms: float) -> list[HealthChange]:
        """Record the outcome of one attempt of real work."""
        record = self._records.get(sample.target)
        if record is None or record.is_stale(sample.latency_ms, now_ms):
            return []
        hazard = self._reference.latency.hazard(sample.latency_ms)
        if record.state is HealthState.PROBATION:
            return self._evaluate_trial(record, sample, hazard, now_ms)
        self._peers.add(sample.outcome, hazard, now_ms)
        record.evidence.observe(sample, hazard, self._reference, now_ms)
        return self._evaluate(record, now_ms)

    def record_outstanding(
        self, target: TargetId, ages_ms: Sequence[float], now_ms: float
    ) -> list[HealthChange]:
        """Record the ages of all requests outstanding at a target.

        To be called with each tick, so that a silent target is detected within tens of
        typical latencies, long before the callers' timeouts.
        """
        record = self._records.get(target)
        if record is None or record.state is HealthState.EJECTED:
            return []
        fresh_ms = [age for age in ages_ms if not record.is_stale(age, now_ms)]
        record.evidence.set_outstanding(fresh_ms, self._reference, now_ms)
        if record.state is HealthState.PROBATION:
            if record.evidence.silent_nats >= self._settings.trial_fail_nats:
                return self._eject(record, now_ms)
            return []
        return self._evaluate(record, now_ms)

    def second_opinion(
        self, target: TargetId, reached: bool, now_ms: float
    ) -> list[HealthChange]:
        """Record whether another failure domain reached the target."""
        record = self._records.get(target)
        if record is None or record.opinion_due_ms is None:
            return []
        record.opinion_due_ms = now_ms
        record.reached_elsewhere = reached
        if not reached:
            record.evidence.add_unreached(self._settings.opinion_nats)
        return self._evaluate(record, now_ms)

    def record_health_check(
        self, target: TargetId, succeeded: bool, now_ms: float
    ) -> list[HealthChange]:
        """Record the result of a health check, which may lag or be wrong.

        It never ejects a target. A success ends the first ejection for complete silence
        early, as a target that stopped and restarted is the common case. After a
        relapse it is ignored, since the health check may be wrong.
        """
        record = self._records.get(target)
        if record is None or not succeeded:
            return []
        if record.state is HealthState.EJECTED and record.ejected_once_for_silence:
            record.until_ms = min(record.until_ms, now_ms)
        return []

    def record_trial_sent(self, target: TargetId, now_ms: float) -> None:
        """Record that a target on probation was sent a trial."""
        record = self._records.get(target)
        if record is not None:
            record.next_trial_ms = now_ms + self._settings.trial_interval_ms

    def tick(self, now_ms: float) -> list[HealthChange]:
        """Update the reference, enforce the floor and apply due state changes."""
        self._group_reference.refresh(self._records.values(), now_ms)
        changes = self._enforce_floor(now_ms)
        for record in tuple(self._records.values()):
            record.evidence.expire_outstanding(now_ms)
            if record.state is HealthState.SUSPECT:
                changes += self._evaluate(record, now_ms)
            elif record.state is HealthState.PROBATION:
                changes += self._end_probation(record, now_ms)
        return changes + self._begin_probation(now_ms)

    def weight(self, target: TargetId, now_ms: float) -> float:
        """Return the preference of a target, from 0 for never to 1 for full use.

        Weights order targets with free slots and must not scale the slots: the floor
        guarantees that their capacity can be used, even if suspect.
        """
        record = self._records.get(target)
        if record is None or record.target.state is TargetState.LEAVING:
            return 0.0
        settings = self._settings
        if record.state is HealthState.EJECTED:
            return 0.0
        if record.state is HealthState.PROBATION:
            return settings.probation_weight
        if record.withheld:
            return settings.withheld_weight
        if record.state is HealthState.SUSPECT:
            return settings.suspect_weight
        return record.ramped_weight(now_ms)

    def needs_trial(self, target: TargetId, now_ms: float) -> bool:
        """Return True if a target on probation may get an idempotent request now."""
        record = self._records.get(target)
        if record is None or record.target.state is TargetState.LEAVING:
            return False
        return record.state is HealthState.PROBATION and now_ms >= record.next_trial_ms

    def snapshot(self, now_ms: float) -> tuple[TargetHealth, ...]:
        """Return the health of each target as shown by ``status``."""
        return tuple(
            TargetHealth(
                target=record.target.target,
                state=record.state,
                evidence_nats=record.evidence.nats,
                error_rate=record.evidence.error_rate,
                latency_ms=record.evidence.latency_ms,
                until_ms=record.until_ms,
            )
            for record in self._records.values()
        )

    def _evaluate(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        nats = record.evidence.nats
        if nats < self._reference.threshold_nats:
            if self._opinion_could_decide(record, now_ms):
                return self._request_early_opinion(record, now_ms)
            return self._clear_suspect(record, nats, now_ms)
        if now_ms < record.evaluate_after_ms:
            return []
        # Compare with the peers a few times a second rather than per request.
        record.evaluate_after_ms = now_ms + self._settings.trial_interval_ms
        evidence = self._peers.summary(record)
        if not self._peers.is_outlier(record, now_ms):
            return self._suspect_group(evidence, now_ms)
        if evidence.cause is not Cause.SILENCE:
            return self._eject(record, now_ms)
        return self._request_opinion(record, evidence, now_ms)

    def _opinion_could_decide(self, record: TargetRecord, now_ms: float) -> bool:
        if record.opinion_due_ms is not None or now_ms < record.next_opinion_ms:
            return False
        required_nats = self._reference.threshold_nats - self._settings.opinion_nats
        return record.evidence.silent_nats >= required_nats

    def _request_early_opinion(
        self, record: TargetRecord, now_ms: float
    ) -> list[HealthChange]:
        evidence = self._peers.summary(record)
        if self._peers.most_suspected():
            return self._suspect_group(evidence, now_ms)
        return self._request_opinion(record, evidence, now_ms)

    def _clear_suspect(
        self, record: TargetRecord, nats: float, now_ms: float
    ) -> list[HealthChange]:
        if record.state is not HealthState.SUSPECT:
            return []
        if record.opinion_due_ms is not None and not record.withheld:
            return self._end_opinion(record, now_ms)
        is_suspicious = nats > self._reference.threshold_nats / 2.0
        if is_suspicious or now_ms < record.until_ms:
            return []
        record.mark_healthy(now_ms)
        return [Restored(record.target.target)]

    def _end_opinion(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        """Restore a target still below the threshold after the opinion or its timeout.

        Long work looks like silence. A target kept suspect gets less short work, so it
        responds more rarely and looks even more silent.
        """
        if record.opinion_due_ms is None or now_ms < record.opinion_due_ms:
            return []
        record.state = HealthState.HEALTHY
        record.opinion_due_ms = None
        record.reached_elsewhere = False
        record.next_opinion_ms = now_ms + self._settings.report_interval_ms
        return [Restored(record.target.target)]

    def _suspect_group(self, evidence: Evidence, now_ms: float) -> list[HealthChange]:
        # Error responses prove that the path works, and moving the group to another
        # coordinator would only lose the evidence.
        if evidence.cause is Cause.ERRORS or now_ms < self._group_suspect_after_ms:
            return []
        if not self._peers.most_suspected():
            return []
        interval_ms = self._settings.report_interval_ms
        self._group_suspect_after_ms = now_ms + interval_ms
        return [GroupSuspect(evidence)]

    def _request_opinion(
        self, record: TargetRecord, evidence: Evidence, now_ms: float
    ) -> list[HealthChange]:
        """Request a second opinion from another failure domain on a silent target.

        A one-way network cut between this coordinator and the target looks like a
        failed target. Error responses and slow ones need no second opinion.
        """
        if record.opinion_due_ms is None:
            record.state = HealthState.SUSPECT
            record.opinion_due_ms = now_ms + self._settings.opinion_timeout_ms
            return [SecondOpinionWanted(record.target.target, evidence)]
        if now_ms < record.opinion_due_ms:
            return []
        changes: list[HealthChange] = []
        if record.reached_elsewhere and self._peers.is_unreachable(record):
            changes.append(GroupSuspect(replace(evidence, cause=Cause.PATH)))
        return changes + self._eject(record, now_ms)

    def _eject(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        evidence = self._peers.summary(record)
        if record.state is HealthState.PROBATION:
            return [record.eject(evidence, now_ms)]
        changes: list[HealthChange] = []
        if not self._budget.has_room(record):
            replacement = self._budget.find_replacement(record, evidence.loss)
            if replacement is None:
                return self._withhold(record, evidence, now_ms)
            changes.append(replacement.keep_in_service(now_ms))
        changes.append(record.eject(evidence, now_ms))
        return changes

    def _withhold(
        self, record: TargetRecord, evidence: Evidence, now_ms: float
    ) -> list[HealthChange]:
        was_withheld = record.withheld
        record.withhold(now_ms)
        if was_withheld:
            return []
        return [EjectionWithheld(record.target.target, evidence)]

    def _enforce_floor(self, now_ms: float) -> list[HealthChange]:
        """Return the least bad targets to service until the floor holds.

        Needed when targets leave the list while others are ejected.
        """
        changes: list[HealthChange] = []
        for record in self._budget.out_of_service():
            if self._budget.spare_slots() >= 0:
                break
            changes.append(record.keep_in_service(now_ms))
        return changes

    def _begin_probation(self, now_ms: float) -> list[HealthChange]:
        """Begin the probation of the ejected target that is due the longest.

        One target at a time, since targets that failed together could otherwise return
        and fail together.
        """
        ejected = self._budget.out_of_service()
        if any(record.state is HealthState.PROBATION for record in ejected):
            return []
        due = [record for record in ejected if record.until_ms <= now_ms]
        if not due:
            return []
        record = min(due, key=lambda r: r.until_ms)
        record.begin_probation(now_ms)
        return [ProbationBegan(record.target.target)]

    def _evaluate_trial(
        self, record: TargetRecord, sample: Sample, hazard: float, now_ms: float
    ) -> list[HealthChange]:
        if sample.outcome is not Outcome.ABANDONED:
            record.evidence.observe(sample, hazard, self._reference, now_ms)
        if record.record_trial(sample.outcome, hazard):
            return self._eject(record, now_ms)
        if record.trial_passed:
            record.return_to_service(now_ms)
            return [Restored(record.target.target)]
        return []

    def _end_probation(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        if now_ms < record.until_ms:
            return []
        record.return_to_service(now_ms)
        return [Restored(record.target.target)]
