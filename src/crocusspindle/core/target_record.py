"""Keep the state of one target between its ejections and returns."""

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
"""The gray failure that trials are made to find."""


class TargetRecord:
    """Hold the state, evidence and relapses of one target."""

    def __init__(self, target: Target, settings: HealthSettings, now_ms: float) -> None:
        self.target = target
        self.state = HealthState.HEALTHY
        self.evidence = TargetEvidence(settings, now_ms)
        self.until_ms = 0.0
        self.next_trial_ms = 0.0
        self.judge_after_ms = 0.0
        self.opinion_by_ms: float | None = None
        self.ask_after_ms = now_ms
        self.reached_elsewhere = False
        self.withheld = False
        self.loss = 0.0
        self._settings = settings
        self._cause = Cause.ERRORS
        self._relapses = 0.0
        self._relapsed_at_ms = now_ms
        self._cold_until_ms = now_ms
        self._judged_since_ms = float("-inf")
        self._trial_error_nats = 0.0
        self._trial_slow_nats = 0.0

    @property
    def silenced_once(self) -> bool:
        """Return True if the target is out for silence and has not relapsed."""
        return self._cause is Cause.SILENCE and self._relapses <= 1.0

    def start_cold(self, now_ms: float) -> None:
        """Begin the ramp from the cold weight to the full one."""
        self._cold_until_ms = now_ms + self._settings.ramp_ms

    def ramped_weight(self, now_ms: float) -> float:
        """Return the weight of a target in service by the progress of its ramp."""
        left = (self._cold_until_ms - now_ms) / self._settings.ramp_ms
        if left <= 0.0:
            return 1.0
        return 1.0 - left * (1.0 - self._settings.cold_weight)

    def trust(self, now_ms: float) -> None:
        """Put the target in service with nothing held against it."""
        self.state = HealthState.HEALTHY
        self.opinion_by_ms = None
        self.reached_elsewhere = False
        self.withheld = False
        self.evidence.clear(now_ms)

    def return_to_service(self, now_ms: float) -> None:
        """Trust the target and ramp it up as a cold one."""
        self.trust(now_ms)
        self.start_cold(now_ms)

    def keep_in_service(self, now_ms: float) -> Restored:
        """Serve with a bad target since the floor allows no other."""
        self.trust(now_ms)
        self.withhold(now_ms)
        return Restored(self.target.target)

    def withhold(self, now_ms: float) -> None:
        """Doubt the target for at least the time of an ejection."""
        self.state = HealthState.SUSPECT
        self.withheld = True
        self.until_ms = now_ms + self._settings.ejection_ms

    def is_stale(self, age_ms: float, now_ms: float) -> bool:
        """Return True if a request was sent before the target was last ejected.

        A silent target's requests end by timeout, seconds after its ejection, and
        would speak against it when it is well again.
        """
        if self.state is HealthState.EJECTED:
            return True
        return now_ms - age_ms < self._judged_since_ms

    def eject(self, evidence: Evidence, now_ms: float) -> Ejected:
        """Take the target out, for longer after each relapse."""
        settings = self._settings
        if self.state is not HealthState.PROBATION:
            self.loss = evidence.loss
            self._cause = evidence.cause
        age_ms = now_ms - self._relapsed_at_ms
        self._relapses *= 0.5 ** (age_ms / settings.relapse_half_life_ms)
        length_ms = settings.ejection_ms * 2.0**self._relapses
        self.until_ms = now_ms + min(length_ms, settings.longest_ejection_ms)
        self._relapses += 1.0
        self._relapsed_at_ms = now_ms
        self.trust(now_ms)
        self.state = HealthState.EJECTED
        return Ejected(self.target.target, evidence, self.until_ms)

    def begin_probation(self, now_ms: float) -> None:
        """Let the target prove itself by trials."""
        self.state = HealthState.PROBATION
        self.evidence.clear(now_ms)
        self._judged_since_ms = now_ms
        self.until_ms = now_ms + self._settings.longest_probation_ms
        self.next_trial_ms = now_ms
        self._trial_error_nats = 0.0
        self._trial_slow_nats = 0.0

    def trial_failed(self, outcome: Outcome, hazard: float) -> bool:
        """Return True if the trials, this one included, speak for a bad target."""
        settings = self._settings
        if outcome in NEUTRAL:
            return False
        slow_factor = settings.slow_factor
        self._trial_slow_nats += (1.0 - 1.0 / slow_factor) * hazard
        if outcome is not Outcome.ABANDONED:
            self._trial_slow_nats -= log(slow_factor)
            self._trial_error_nats += self._error_step(outcome in FAILURES)
        worst_nats = max(self._trial_error_nats, self._trial_slow_nats)
        return worst_nats >= settings.trial_fail_nats

    def _error_step(self, failed: bool) -> float:
        healthy_rate = self._settings.least_failure_rate
        if failed:
            return log(TRIAL_FAILURE_RATE / healthy_rate)
        return log((1.0 - TRIAL_FAILURE_RATE) / (1.0 - healthy_rate))

    @property
    def trial_passed(self) -> bool:
        """Return True if the trials speak for a healthy target."""
        worst_nats = max(self._trial_error_nats, self._trial_slow_nats)
        return worst_nats <= -self._settings.trial_pass_nats
