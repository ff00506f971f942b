"""Judge the health of a group of targets by their real work.

Made for targets of 2 to 6 slots that fail grayly: they answer health checks while
failing real work, go slow, go silent or flap. One home sees all work of a group and
feeds it here. The harm prevented: callers sent to a bad target, and healthy targets
taken out for a fault that is not theirs.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from crocusspindle.core.ejection import EjectionBudget
from crocusspindle.core.evidence import Reference
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
from crocusspindle.core.peers import PeerComparison
from crocusspindle.core.reference import GroupReference
from crocusspindle.core.target_record import TargetRecord
from crocusspindle.ids import TargetId


class GroupHealth:
    """Judge the targets of one group as seen from one home.

    Times are milliseconds of the process's monotonic clock and never go back.
    """

    def __init__(self, settings: HealthSettings, floor_fraction: float) -> None:
        self._settings = settings
        self._records: dict[TargetId, TargetRecord] = {}
        self._budget = EjectionBudget(
            self._records, floor_fraction, settings.homes_at_once
        )
        self._learner = GroupReference(settings)
        self._peers = PeerComparison(settings, self._budget, self._learner)
        self._group_suspect_after_ms = float("-inf")

    @classmethod
    def from_config(
        cls, settings: HealthSettings, floor_fraction: float
    ) -> "GroupHealth":
        """Make the judge of a group, none of whose targets is known yet."""
        return cls(settings, floor_fraction)

    @property
    def _reference(self) -> Reference:
        return self._learner.reference

    def set_targets(
        self, targets: Iterable[Target], now_ms: float
    ) -> list[HealthChange]:
        """Take over the list of targets; those new to a known group start cold.

        The targets of a group that is new to this home were serving elsewhere.
        """
        listed = {target.target: target for target in targets}
        cold = bool(self._records)
        for gone in self._records.keys() - listed.keys():
            del self._records[gone]
        for target in listed.values():
            record = self._records.get(target.target)
            if record is None:
                record = TargetRecord(target, self._settings, now_ms)
                self._records[target.target] = record
                if cold:
                    record.start_cold(now_ms)
            record.target = target
        return self._hold_floor(now_ms)

    def observe(self, sample: Sample, now_ms: float) -> list[HealthChange]:
        """Take one ended sending of real work into account."""
        record = self._records.get(sample.target)
        if record is None or record.is_stale(sample.latency_ms, now_ms):
            return []
        hazard = self._reference.latency.hazard(sample.latency_ms)
        if record.state is HealthState.PROBATION:
            return self._judge_trial(record, sample, hazard, now_ms)
        self._peers.add(sample.outcome, hazard, now_ms)
        record.evidence.observe(sample, hazard, self._reference, now_ms)
        return self._judge(record, now_ms)

    def outstanding(
        self, target: TargetId, ages_ms: Sequence[float], now_ms: float
    ) -> list[HealthChange]:
        """Take the ages of all requests outstanding at a target into account.

        To be called with each tick: a silent target is found in tens of the usual
        latencies, long before the callers' timeouts end.
        """
        record = self._records.get(target)
        if record is None or record.state is HealthState.EJECTED:
            return []
        fresh_ms = [age for age in ages_ms if not record.is_stale(age, now_ms)]
        record.evidence.wait(fresh_ms, self._reference, now_ms)
        if record.state is HealthState.PROBATION:
            if record.evidence.silent_nats >= self._settings.trial_fail_nats:
                return self._eject(record, now_ms)
            return []
        return self._judge(record, now_ms)

    def second_opinion(
        self, target: TargetId, reached: bool, now_ms: float
    ) -> list[HealthChange]:
        """Take the result of a try from another failure domain into account."""
        record = self._records.get(target)
        if record is None or record.opinion_by_ms is None:
            return []
        record.opinion_by_ms = now_ms
        record.reached_elsewhere = reached
        if not reached:
            record.evidence.note_unreached(self._settings.opinion_nats)
        return self._judge(record, now_ms)

    def probe(
        self, target: TargetId, succeeded: bool, now_ms: float
    ) -> list[HealthChange]:
        """Take a health check into account, which may lag or mislead.

        It ejects nobody. A success ends the first ejection for total silence early,
        since a target that went away whole and came back is the common case; after
        a relapse a health check that lies has no say.
        """
        record = self._records.get(target)
        if record is None or not succeeded:
            return []
        if record.state is HealthState.EJECTED and record.silenced_once:
            record.until_ms = min(record.until_ms, now_ms)
        return []

    def trial_sent(self, target: TargetId, now_ms: float) -> None:
        """Note that a target on probation was sent a trial."""
        record = self._records.get(target)
        if record is not None:
            record.next_trial_ms = now_ms + self._settings.trial_interval_ms

    def tick(self, now_ms: float) -> list[HealthChange]:
        """Learn from the group, end what is due and hold the floor."""
        self._learner.refresh(self._records.values(), now_ms)
        changes = self._hold_floor(now_ms)
        for record in tuple(self._records.values()):
            record.evidence.forget_waiting(now_ms)
            if record.state is HealthState.SUSPECT:
                changes += self._judge(record, now_ms)
            elif record.state is HealthState.PROBATION:
                changes += self._end_probation(record, now_ms)
        return changes + self._begin_probation(now_ms)

    def weight(self, target: TargetId, now_ms: float) -> float:
        """Return the preference of a target: 0 never, 1 fully, else less.

        It orders targets with free slots and must not scale the slots themselves:
        the floor promises that capacity, however doubtful, can be used.
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

    def wants_trial(self, target: TargetId, now_ms: float) -> bool:
        """Return True if a target on probation may take an idempotent request."""
        record = self._records.get(target)
        if record is None or record.target.state is TargetState.LEAVING:
            return False
        return record.state is HealthState.PROBATION and now_ms >= record.next_trial_ms

    def snapshot(self, now_ms: float) -> tuple[TargetHealth, ...]:
        """Return what ``status`` shows of each target."""
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

    def _judge(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        nats = record.evidence.nats
        if nats < self._reference.threshold_nats:
            if self._opinion_could_decide(record, now_ms):
                return self._ask_early(record, now_ms)
            return self._acquit(record, nats, now_ms)
        if now_ms < record.judge_after_ms:
            return []
        # A suspect's peers are compared a few times a second, not per request.
        record.judge_after_ms = now_ms + self._settings.trial_interval_ms
        evidence = self._peers.summary(record)
        if not self._peers.stands_out(record, now_ms):
            return self._suspect_group(evidence, now_ms)
        if evidence.cause is not Cause.SILENCE:
            return self._eject(record, now_ms)
        return self._ask_elsewhere(record, evidence, now_ms)

    def _opinion_could_decide(self, record: TargetRecord, now_ms: float) -> bool:
        if record.opinion_by_ms is not None or now_ms < record.ask_after_ms:
            return False
        wanted_nats = self._reference.threshold_nats - self._settings.opinion_nats
        return record.evidence.silent_nats >= wanted_nats

    def _ask_early(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        evidence = self._peers.summary(record)
        if self._peers.most_doubtful():
            return self._suspect_group(evidence, now_ms)
        return self._ask_elsewhere(record, evidence, now_ms)

    def _acquit(
        self, record: TargetRecord, nats: float, now_ms: float
    ) -> list[HealthChange]:
        if record.state is not HealthState.SUSPECT:
            return []
        if record.opinion_by_ms is not None and not record.withheld:
            return self._end_question(record, now_ms)
        doubtful = nats > self._reference.threshold_nats / 2.0
        if doubtful or now_ms < record.until_ms:
            return []
        record.trust(now_ms)
        return [Restored(record.target.target)]

    def _end_question(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        """Use a target fully again that was reached elsewhere or asked about in vain.

        Long work looks like silence. Kept suspect, the target would get less short
        work, answer seldom and look the more silent for it.
        """
        if record.opinion_by_ms is None or now_ms < record.opinion_by_ms:
            return []
        record.state = HealthState.HEALTHY
        record.opinion_by_ms = None
        record.reached_elsewhere = False
        record.ask_after_ms = now_ms + self._settings.repeat_interval_ms
        return [Restored(record.target.target)]

    def _suspect_group(self, evidence: Evidence, now_ms: float) -> list[HealthChange]:
        # Errors that were answered came through: the path is not at fault, and a
        # handover would only lose the evidence.
        if evidence.cause is Cause.ERRORS or now_ms < self._group_suspect_after_ms:
            return []
        if not self._peers.most_doubtful():
            return []
        interval_ms = self._settings.repeat_interval_ms
        self._group_suspect_after_ms = now_ms + interval_ms
        return [GroupSuspect(evidence)]

    def _ask_elsewhere(
        self, record: TargetRecord, evidence: Evidence, now_ms: float
    ) -> list[HealthChange]:
        """Ask another failure domain about a target that cannot be heard.

        A one-way cut between this home and the target looks from here like a dead
        target; an answered error or a slow answer needs no such question.
        """
        if record.opinion_by_ms is None:
            record.state = HealthState.SUSPECT
            record.opinion_by_ms = now_ms + self._settings.opinion_wait_ms
            return [SecondOpinionWanted(record.target.target, evidence)]
        if now_ms < record.opinion_by_ms:
            return []
        changes: list[HealthChange] = []
        if record.reached_elsewhere and self._peers.is_cut_off(record):
            changes.append(GroupSuspect(replace(evidence, cause=Cause.PATH)))
        return changes + self._eject(record, now_ms)

    def _eject(self, record: TargetRecord, now_ms: float) -> list[HealthChange]:
        evidence = self._peers.summary(record)
        if record.state is HealthState.PROBATION:
            return [record.eject(evidence, now_ms)]
        changes: list[HealthChange] = []
        if not self._budget.has_room(record):
            lesser = self._budget.lesser_evil(record, evidence.loss)
            if lesser is None:
                return self._withhold(record, evidence, now_ms)
            changes.append(lesser.keep_in_service(now_ms))
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

    def _hold_floor(self, now_ms: float) -> list[HealthChange]:
        """Return the least bad targets to service until the floor holds.

        Targets leave the list while others are ejected.
        """
        changes: list[HealthChange] = []
        for record in self._budget.removed():
            if self._budget.spare_slots() >= 0:
                break
            changes.append(record.keep_in_service(now_ms))
        return changes

    def _begin_probation(self, now_ms: float) -> list[HealthChange]:
        """Let the ejected target that has waited longest prove itself.

        One by one: targets that failed together would else come back, and fail,
        together.
        """
        out = self._budget.removed()
        if any(record.state is HealthState.PROBATION for record in out):
            return []
        due = [record for record in out if record.until_ms <= now_ms]
        if not due:
            return []
        record = min(due, key=lambda r: r.until_ms)
        record.begin_probation(now_ms)
        return [ProbationBegan(record.target.target)]

    def _judge_trial(
        self, record: TargetRecord, sample: Sample, hazard: float, now_ms: float
    ) -> list[HealthChange]:
        if sample.outcome is not Outcome.ABANDONED:
            record.evidence.observe(sample, hazard, self._reference, now_ms)
        if record.trial_failed(sample.outcome, hazard):
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
