"""Keep the health state of one target across ejections and recoveries."""

from math import log

from crocusspindle.core.evidence import FAILURES, NEUTRAL, TargetEvidence
from crocusspindle.core.health_state import (
    Cause,
    Ejected,
    Evidence,
    HealthSettings,
    HealthState,
    Outcome,
    Restored,
)
from crocusspindle.core.model import Target

TRIAL_FAILURE_RATE = 0.3
"""Failure rate of the gray failure that trials must detect."""


class TargetRecord:
    """Hold the state, evidence and relapse count of one target."""

    def __init__(self, target: Target, settings: HealthSettings, now_ms: float) -> None:
        self.target = target
        self.state = HealthState.HEALTHY
        self.evidence = TargetEvidence(settings, now_ms)
        self.until_ms = 0.0
        self.next_trial_ms = 0.0
        self.evaluate_after_ms = 0.0
        self.opinion_due_ms: float | None = None
        self.next_opinion_ms = now_ms
        self.reached_elsewhere = False
        self.withheld = False
        self.loss = 0.0
        self._settings = settings
        self._cause = Cause.ERRORS
        self._relapses = 0.0
        self._relapsed_at_ms = now_ms
        self._cold_until_ms = now_ms
        self._valid_since_ms = float("-inf")
        self._trial_error_nats = 0.0
        self._trial_slow_nats = 0.0

    @property
    def ejected_once_for_silence(self) -> bool:
        """Return True if the last ejection was for silence and not a relapse."""
        return self._cause is Cause.SILENCE and self._relapses <= 1.0

    def start_cold(self, now_ms: float) -> None:
        """Start the ramp from the cold weight to the full weight."""
        self._cold_until_ms = now_ms + self._settings.ramp_ms

    def ramped_weight(self, now_ms: float) -> float:
        """Return the weight of a target in service, reduced during its ramp."""
        remaining_fraction = (self._cold_until_ms - now_ms) / self._settings.ramp_ms
        if remaining_fraction <= 0.0:
            return 1.0
        return 1.0 - remaining_fraction * (1.0 - self._settings.cold_weight)

    def mark_healthy(self, now_ms: float) -> None:
        """Put the target in service and clear the evidence against it."""
        self.state = HealthState.HEALTHY
        self.opinion_due_ms = None
        self.reached_elsewhere = False
        self.withheld = False
        self.evidence.clear(now_ms)

    def return_to_service(self, now_ms: float) -> None:
        """Mark the target as healthy and ramp it up as a cold one."""
        self.mark_healthy(now_ms)
        self.start_cold(now_ms)

    def keep_in_service(self, now_ms: float) -> Restored:
        """Return a bad target to service since the floor requires it."""
        self.mark_healthy(now_ms)
        self.withhold(now_ms)
        return Restored(self.target.target)

    def withhold(self, now_ms: float) -> None:
        """Keep the target suspect for at least the time of an ejection."""
        self.state = HealthState.SUSPECT
        self.withheld = True
        self.until_ms = now_ms + self._settings.ejection_ms

    def is_stale(self, age_ms: float, now_ms: float) -> bool:
        """Return True if a request of this age is no evidence about the target.

        That is so for any request while the target is ejected, and afterwards for one
        that was sent before the probation began.

        The requests of a silent target time out seconds after its ejection and would
        count against it after its recovery.
        """
        if self.state is HealthState.EJECTED:
            return True
        return now_ms - age_ms < self._valid_since_ms

    def eject(self, evidence: Evidence, now_ms: float) -> Ejected:
        """Eject the target, for longer after each relapse."""
        settings = self._settings
        if self.state is not HealthState.PROBATION:
            self.loss = evidence.loss
            self._cause = evidence.cause
        age_ms = now_ms - self._relapsed_at_ms
        self._relapses *= 0.5 ** (age_ms / settings.relapse_half_life_ms)
        duration_ms = settings.ejection_ms * 2.0**self._relapses
        self.until_ms = now_ms + min(duration_ms, settings.max_ejection_ms)
        self._relapses += 1.0
        self._relapsed_at_ms = now_ms
        self.mark_healthy(now_ms)
        self.state = HealthState.EJECTED
        return Ejected(self.target.target, evidence, self.until_ms)

    def begin_probation(self, now_ms: float) -> None:
        """Start trials that decide whether the target has recovered."""
        self.state = HealthState.PROBATION
        self.evidence.clear(now_ms)
        self._valid_since_ms = now_ms
        self.until_ms = now_ms + self._settings.max_probation_ms
        self.next_trial_ms = now_ms
        self._trial_error_nats = 0.0
        self._trial_slow_nats = 0.0

    def record_trial(self, outcome: Outcome, hazard: float) -> bool:
        """Record a trial; return True if the trials indicate a bad target."""
        settings = self._settings
        if outcome in NEUTRAL:
            return False
        slow_factor = settings.slow_factor
        self._trial_slow_nats += (1.0 - 1.0 / slow_factor) * hazard
        if outcome is not Outcome.ABANDONED:
            self._trial_slow_nats -= log(slow_factor)
            self._trial_error_nats += self._error_step_nats(outcome in FAILURES)
        worst_nats = max(self._trial_error_nats, self._trial_slow_nats)
        return worst_nats >= settings.trial_fail_nats

    def _error_step_nats(self, failed: bool) -> float:
        healthy_rate = self._settings.min_failure_rate
        if failed:
            return log(TRIAL_FAILURE_RATE / healthy_rate)
        return log((1.0 - TRIAL_FAILURE_RATE) / (1.0 - healthy_rate))

    @property
    def trial_passed(self) -> bool:
        """Return True if the trials indicate a healthy target."""
        worst_nats = max(self._trial_error_nats, self._trial_slow_nats)
        return worst_nats <= -self._settings.trial_pass_nats
