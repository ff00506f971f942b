"""Test the real work of one target against that of healthy targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, log

from crocusspindle.core.health_state import (
    Cause,
    Evidence,
    HealthSettings,
    Outcome,
    Sample,
)
from crocusspindle.core.latency_reference import BUCKETS, LatencyReference, bucket_of

FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.REFUSED})
UNREACHED = frozenset({Outcome.TIMEOUT, Outcome.REFUSED})
NEUTRAL = frozenset({Outcome.SHED, Outcome.CALLER_ERROR})
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.ABANDONED})

CAP_FACTOR = 1.5
"""Cap of the evidence as a multiple of the maximum threshold, so that a recovered
target is cleared soon."""

RATE_DECAY_MS = 5_000.0
"""Time constant of the rates shown to operators and used to rank bad targets."""

OUTSTANDING_TTL_MS = 500.0
"""Ages of outstanding requests expire after this; they are reported several times
within it."""

RATE_DECAY_STEP_MS = 50.0
"""Minimum time between decays. Decaying more often takes CPU time and changes the rates
by less than 1 %."""


@dataclass(frozen=True, slots=True)
class FailureTest:
    """Hold the steps of a sequential test between two failure rates."""

    failure_nats: float
    success_nats: float

    @classmethod
    def between(cls, healthy_rate: float, loss_fraction: float) -> "FailureTest":
        """Return the test for targets that lose this fraction of healthy work."""
        bad_rate = healthy_rate + (1.0 - healthy_rate) * loss_fraction
        return cls(
            failure_nats=log(bad_rate / healthy_rate),
            success_nats=log((1.0 - bad_rate) / (1.0 - healthy_rate)),
        )

    def step_nats(self, failed: bool) -> float:
        """Return the nats of one outcome."""
        return self.failure_nats if failed else self.success_nats


@dataclass(frozen=True, slots=True)
class Reference:
    """Hold what a group has learnt of healthy work, and the ejection threshold.

    ``mild`` tests for targets that lose a small fraction of healthy work, ``hard`` for
    those that lose a large one (``mild_loss_fraction``, ``hard_loss_fraction``).
    """

    threshold_nats: float
    healthy_rate: float
    mild: FailureTest
    hard: FailureTest
    latency: LatencyReference


class Cusum:
    """Sum the steps of a sequential test, starting again when the sum falls to 0.

    Because of the lower bound, a target that was healthy for a day is detected as
    quickly as a new one. ``total`` sums the observed values, and ``latency_ms`` the
    latencies, of the ``samples`` steps since the last start.
    """

    __slots__ = ("_cap_nats", "latency_ms", "nats", "samples", "since_ms", "total")

    def __init__(self, cap_nats: float) -> None:
        self._cap_nats = cap_nats
        self.clear(0.0)

    def clear(self, now_ms: float) -> None:
        """Reset the sum."""
        self.nats = 0.0
        self.samples = 0
        self.total = 0.0
        self.latency_ms = 0.0
        self.since_ms = now_ms

    def add(
        self,
        step_nats: float,
        value: float,
        latency_ms: float,
        now_ms: float,
        floor_nats: float = 0.0,
    ) -> None:
        """Add a step, the observed value that it is based on and the latency.

        ``value`` is 1 for a failure and 0 for a success, or the cumulative hazard.
        ``floor_nats`` replaces 0 as the lower bound.
        """
        nats = self.nats + step_nats
        if nats <= floor_nats:
            if self.samples:
                self.clear(now_ms)
            return
        if not self.samples:
            self.since_ms = now_ms
        self.nats = min(nats, self._cap_nats)
        self.samples += 1
        self.total += value
        self.latency_ms += latency_ms


class TargetEvidence:
    """Collect the evidence against one target from its real work."""

    def __init__(self, settings: HealthSettings, now_ms: float) -> None:
        cap_nats = CAP_FACTOR * settings.max_threshold_nats
        self._cap_nats = cap_nats
        self._slow_gain = 1.0 - 1.0 / settings.slow_factor
        self._slow_cost_nats = log(settings.slow_factor)
        self.mild = Cusum(cap_nats)
        self.hard = Cusum(cap_nats)
        self.slow = Cusum(cap_nats)
        self.fresh_latencies = [0] * (BUCKETS + 1)
        self.fresh_attempts = 0
        self.fresh_failures = 0
        self._attempts = 0.0
        self._failures = 0.0
        self._unreached = 0.0
        self._answers = 0.0
        self._latency_ms = 0.0
        self._decayed_at_ms = now_ms
        self.clear(now_ms)

    def clear(self, now_ms: float) -> None:
        """Reset the evidence against the target; keep the rates shown to operators."""
        for test in (self.mild, self.hard, self.slow):
            test.clear(now_ms)
        self._silent_nats = 0.0
        self._outstanding_silent_nats = 0.0
        self._unreached_nats = 0.0
        self._outstanding_slow_nats = 0.0
        self._outstanding_at_ms = now_ms
        self._last_answered_sent_ms = float("-inf")

    def observe(
        self, sample: Sample, hazard: float, reference: Reference, now_ms: float
    ) -> None:
        """Record one ended attempt, whose latency has this cumulative hazard."""
        outcome = sample.outcome
        self._remove_outstanding(sample, reference, now_ms)
        self._update_silence(
            sample, min(hazard, reference.threshold_nats / 2.0), now_ms
        )
        # A shedding target is busy and an invalid request is its caller's fault:
        # neither is evidence of a bad target.
        if outcome is not Outcome.OK and outcome in NEUTRAL:
            return
        if outcome is not Outcome.ABANDONED:
            self._update_failures(sample, reference, now_ms)
        if outcome is Outcome.OK or outcome is Outcome.ERROR:
            step_nats = self._slow_gain * hazard - self._slow_cost_nats
            floor_nats = -self._outstanding_slow_nats
            self.slow.add(step_nats, hazard, sample.latency_ms, now_ms, floor_nats)
            self._answers += 1.0
            self._latency_ms += sample.latency_ms
            self.fresh_latencies[bucket_of(sample.latency_ms)] += 1
        elif outcome is not Outcome.REFUSED:
            # Cut off, so its full latency would be at least this long.
            step_nats = self._slow_gain * hazard
            self.slow.add(step_nats, hazard, sample.latency_ms, now_ms)

    def _remove_outstanding(
        self, sample: Sample, reference: Reference, now_ms: float
    ) -> None:
        """Remove the evidence that the request contributed while outstanding.

        Its end contributes the same evidence. If it counted twice until the next
        tick, typical requests that take slightly long would cause eight times as many
        false alarms.
        """
        age_ms = sample.latency_ms - (now_ms - self._outstanding_at_ms)
        if age_ms <= 0.0 or not self._outstanding_slow_nats:
            return
        hazard = reference.latency.hazard(age_ms)
        outstanding_nats = self._outstanding_slow_nats - self._slow_gain * hazard
        self._outstanding_slow_nats = max(0.0, outstanding_nats)
        outstanding_nats = self._outstanding_silent_nats
        outstanding_nats -= min(hazard, reference.threshold_nats / 2.0)
        self._outstanding_silent_nats = max(0.0, outstanding_nats)

    def _update_silence(self, sample: Sample, hazard: float, now_ms: float) -> None:
        outcome = sample.outcome
        if outcome is not Outcome.OK and outcome in UNANSWERED:
            self._silent_nats = min(self._cap_nats, self._silent_nats + hazard)
        elif outcome is not Outcome.REFUSED:
            self._silent_nats = 0.0
            self._outstanding_silent_nats = 0.0
            self._unreached_nats = 0.0
            sent_at_ms = now_ms - sample.latency_ms
            self._last_answered_sent_ms = max(self._last_answered_sent_ms, sent_at_ms)

    def _update_failures(
        self, sample: Sample, reference: Reference, now_ms: float
    ) -> None:
        self._decay(now_ms)
        failed = sample.outcome is not Outcome.OK
        self._attempts += 1.0
        self.fresh_attempts += 1
        if failed:
            self._failures += 1.0
            self._unreached += sample.outcome in UNREACHED
            self.fresh_failures += 1
        for cusum, test in ((self.mild, reference.mild), (self.hard, reference.hard)):
            cusum.add(test.step_nats(failed), failed, sample.latency_ms, now_ms)

    def _decay(self, now_ms: float) -> None:
        age_ms = now_ms - self._decayed_at_ms
        if age_ms < RATE_DECAY_STEP_MS:
            return
        decay = exp(-age_ms / RATE_DECAY_MS)
        self._decayed_at_ms = now_ms
        self._attempts *= decay
        self._failures *= decay
        self._unreached *= decay
        self._answers *= decay
        self._latency_ms *= decay

    def set_outstanding(
        self, ages_ms: Sequence[float], reference: Reference, now_ms: float
    ) -> None:
        """Replace the evidence of the outstanding requests by that of their ages.

        A request contributes at most half the threshold to silence, so that one stuck
        connection ejects no target, but two stuck slots of a small target do.
        """
        silent_nats = 0.0
        slow_nats = 0.0
        for age_ms in ages_ms:
            hazard = reference.latency.hazard(age_ms)
            slow_nats += self._slow_gain * hazard
            # Counts for silence only if no later request was answered: an older one may
            # hang on one stuck connection while the target answers on others.
            if now_ms - age_ms > self._last_answered_sent_ms:
                silent_nats += min(hazard, reference.threshold_nats / 2.0)
        self._outstanding_at_ms = now_ms
        self._outstanding_slow_nats = slow_nats
        # Only the total is bounded by 0: while one slot holds long work, short work in
        # another slot counts in favour of the target.
        self.slow.nats = max(self.slow.nats, -slow_nats)
        self._outstanding_silent_nats = silent_nats

    def expire_outstanding(self, now_ms: float) -> None:
        """Drop the evidence of outstanding requests that are no longer reported.

        A driver reports no ages for an idle target, so the evidence left by a hedge or
        a cancelled request would count against it indefinitely.
        """
        if now_ms - self._outstanding_at_ms > OUTSTANDING_TTL_MS:
            self._outstanding_slow_nats = 0.0
            self._outstanding_silent_nats = 0.0

    @property
    def silent_nats(self) -> float:
        """Return the evidence of silence."""
        nats = self._silent_nats + self._outstanding_silent_nats
        # A failed check from elsewhere counts only with evidence of silence here, too.
        return min(self._cap_nats, nats + self._unreached_nats) if nats else 0.0

    def add_unreached(self, nats: float) -> None:
        """Add the evidence that another failure domain cannot reach the target."""
        self._unreached_nats = nats

    @property
    def slow_nats(self) -> float:
        """Return the evidence of latency."""
        if not self.slow.samples:
            return 0.0
        nats = self.slow.nats + self._outstanding_slow_nats
        return min(self._cap_nats, max(0.0, nats))

    @property
    def nats(self) -> float:
        """Return the evidence of the strongest test."""
        return max(self.mild.nats, self.hard.nats, self.slow_nats, self.silent_nats)

    @property
    def failures(self) -> Cusum:
        """Return the stronger of the two failure tests."""
        return self.hard if self.hard.nats >= self.mild.nats else self.mild

    @property
    def error_rate(self) -> float:
        """Return the recent fraction of failed work."""
        return self._failures / self._attempts if self._attempts else 0.0

    @property
    def latency_ms(self) -> float:
        """Return the recent mean latency of answered work, 0 if there is none."""
        return self._latency_ms / self._answers if self._answers else 0.0

    def summary(self, healthy_latency_ms: float) -> Evidence:
        """Return the evidence with its main cause."""
        nats = self.nats
        failures = self.failures
        failed = failures.total / failures.samples if failures.samples else 0.0
        slowness = 1.0
        if healthy_latency_ms and self.latency_ms > healthy_latency_ms:
            slowness = self.latency_ms / healthy_latency_ms
        loss = 1.0 - (1.0 - failed) / slowness
        if self.silent_nats >= nats:
            cause, loss = Cause.SILENCE, 1.0
        elif failures.nats < nats:
            cause = Cause.LATENCY
        elif 2.0 * self._unreached > self._failures:
            cause = Cause.SILENCE
        else:
            cause = Cause.ERRORS
        return Evidence(cause, nats, self.error_rate, self.latency_ms, loss)
