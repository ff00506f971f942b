"""Weigh the real work of one target against that of its healthy peers."""

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
from crocusspindle.core.latency import BUCKETS, LatencyReference, bucket_of

FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.REFUSED})
UNREACHED = frozenset({Outcome.TIMEOUT, Outcome.REFUSED})
NEUTRAL = frozenset({Outcome.SHED, Outcome.CALLER_ERROR})
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.ABANDONED})

CAP_FACTOR = 1.5
"""Evidence is capped above the threshold, so that a target can clear itself soon."""

RECENT_MS = 5_000.0
"""Memory of the rates shown to operators and used to rank bad targets."""

WAITING_MS = 500.0
"""The ages of outstanding requests are passed on some times within this."""

RECENT_STEP_MS = 50.0
"""Fading more often would cost time and change the rates by less than 1 %."""


@dataclass(frozen=True, slots=True)
class FailureTest:
    """Hold the steps of a sequential test of one failure rate against another."""

    failure_nats: float
    success_nats: float

    @classmethod
    def between(cls, healthy_rate: float, lost: float) -> "FailureTest":
        """Return the test of targets losing a fraction of what healthy ones do."""
        bad_rate = healthy_rate + (1.0 - healthy_rate) * lost
        return cls(
            failure_nats=log(bad_rate / healthy_rate),
            success_nats=log((1.0 - bad_rate) / (1.0 - healthy_rate)),
        )

    def step_nats(self, failed: bool) -> float:
        """Return the nats of one piece of work."""
        return self.failure_nats if failed else self.success_nats


@dataclass(frozen=True, slots=True)
class Reference:
    """Hold what a group has learnt of healthy work, and what it takes to eject."""

    threshold_nats: float
    healthy_rate: float
    mild: FailureTest
    hard: FailureTest
    latency: LatencyReference


class Cusum:
    """Sum the steps of a sequential test, never below 0, since its last 0.

    The floor at 0 finds a target that was well for a day as quickly as a new one:
    good hours are no credit for bad seconds.
    """

    __slots__ = ("_cap_nats", "latency_ms", "nats", "samples", "since_ms", "total")

    def __init__(self, cap_nats: float) -> None:
        self._cap_nats = cap_nats
        self.clear(0.0)

    def clear(self, now_ms: float) -> None:
        """Begin anew."""
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
        """Add a step, the observed value that it stands for and the latency."""
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
    """Collect the evidence of real work against one target."""

    def __init__(self, settings: HealthSettings, now_ms: float) -> None:
        cap_nats = CAP_FACTOR * settings.most_threshold_nats
        self._cap_nats = cap_nats
        self._slow_gain = 1.0 - 1.0 / settings.slow_factor
        self._slow_cost_nats = log(settings.slow_factor)
        self.mild = Cusum(cap_nats)
        self.hard = Cusum(cap_nats)
        self.slow = Cusum(cap_nats)
        self.fresh_latencies = [0] * (BUCKETS + 1)
        self.fresh_works = 0
        self.fresh_failures = 0
        self._works = 0.0
        self._failures = 0.0
        self._unreached = 0.0
        self._answers = 0.0
        self._latency_ms = 0.0
        self._recent_at_ms = now_ms
        self.clear(now_ms)

    def clear(self, now_ms: float) -> None:
        """Forget all that speaks against the target; keep the shown rates."""
        for test in (self.mild, self.hard, self.slow):
            test.clear(now_ms)
        self._silent_nats = 0.0
        self._waiting_silent_nats = 0.0
        self._unreached_nats = 0.0
        self._waiting_slow_nats = 0.0
        self._waited_at_ms = now_ms
        self._answered_sent_ms = float("-inf")

    def observe(
        self, sample: Sample, hazard: float, reference: Reference, now_ms: float
    ) -> None:
        """Take one ended sending, whose latency has this hazard, into account."""
        outcome = sample.outcome
        self._stop_waiting(sample, reference, now_ms)
        self._hear(sample, min(hazard, reference.threshold_nats / 2.0), now_ms)
        # A shedding target is busy and a wrong request is its caller's fault:
        # neither speaks for or against the target.
        if outcome is not Outcome.OK and outcome in NEUTRAL:
            return
        if outcome is not Outcome.ABANDONED:
            self._judge_failure(sample, reference, now_ms)
        if outcome is Outcome.OK or outcome is Outcome.ERROR:
            step_nats = self._slow_gain * hazard - self._slow_cost_nats
            floor_nats = -self._waiting_slow_nats
            self.slow.add(step_nats, hazard, sample.latency_ms, now_ms, floor_nats)
            self._answers += 1.0
            self._latency_ms += sample.latency_ms
            self.fresh_latencies[bucket_of(sample.latency_ms)] += 1
        elif outcome is not Outcome.REFUSED:
            # Cut short: it would have taken at least this long.
            step_nats = self._slow_gain * hazard
            self.slow.add(step_nats, hazard, sample.latency_ms, now_ms)

    def _stop_waiting(
        self, sample: Sample, reference: Reference, now_ms: float
    ) -> None:
        """Take out what the request said while it was outstanding.

        Its end says it again; counted twice until the next tick, usual requests
        that take a little long made eight times the false alarms.
        """
        age_ms = sample.latency_ms - (now_ms - self._waited_at_ms)
        if age_ms <= 0.0 or not self._waiting_slow_nats:
            return
        hazard = reference.latency.hazard(age_ms)
        waiting_nats = self._waiting_slow_nats - self._slow_gain * hazard
        self._waiting_slow_nats = max(0.0, waiting_nats)
        waiting_nats = self._waiting_silent_nats
        waiting_nats -= min(hazard, reference.threshold_nats / 2.0)
        self._waiting_silent_nats = max(0.0, waiting_nats)

    def _hear(self, sample: Sample, hazard: float, now_ms: float) -> None:
        outcome = sample.outcome
        if outcome is not Outcome.OK and outcome in UNANSWERED:
            self._silent_nats = min(self._cap_nats, self._silent_nats + hazard)
        elif outcome is not Outcome.REFUSED:
            self._silent_nats = 0.0
            self._waiting_silent_nats = 0.0
            self._unreached_nats = 0.0
            sent_at_ms = now_ms - sample.latency_ms
            self._answered_sent_ms = max(self._answered_sent_ms, sent_at_ms)

    def _judge_failure(
        self, sample: Sample, reference: Reference, now_ms: float
    ) -> None:
        self._fade(now_ms)
        failed = sample.outcome is not Outcome.OK
        self._works += 1.0
        self.fresh_works += 1
        if failed:
            self._failures += 1.0
            self._unreached += sample.outcome in UNREACHED
            self.fresh_failures += 1
        for sums, test in ((self.mild, reference.mild), (self.hard, reference.hard)):
            sums.add(test.step_nats(failed), failed, sample.latency_ms, now_ms)

    def _fade(self, now_ms: float) -> None:
        age_ms = now_ms - self._recent_at_ms
        if age_ms < RECENT_STEP_MS:
            return
        keep = exp(-age_ms / RECENT_MS)
        self._recent_at_ms = now_ms
        self._works *= keep
        self._failures *= keep
        self._unreached *= keep
        self._answers *= keep
        self._latency_ms *= keep

    def wait(
        self, ages_ms: Sequence[float], reference: Reference, now_ms: float
    ) -> None:
        """Replace what the requests still outstanding say by their ages.

        No request says more of silence than half the threshold: one stuck connection
        ejects nobody, both slots of a small target stuck do.
        """
        silent_nats = 0.0
        slow_nats = 0.0
        for age_ms in ages_ms:
            hazard = reference.latency.hazard(age_ms)
            slow_nats += self._slow_gain * hazard
            # An older one may hang on a connection gone silent while the target
            # answers on others: it counts only if nothing sent later was answered.
            if now_ms - age_ms > self._answered_sent_ms:
                silent_nats += min(hazard, reference.threshold_nats / 2.0)
        self._waited_at_ms = now_ms
        self._waiting_slow_nats = slow_nats
        # The sum of both is floored at 0, not each part: while one slot holds long
        # work, the short work of the other speaks for the target.
        self.slow.nats = max(self.slow.nats, -slow_nats)
        self._waiting_silent_nats = silent_nats

    def forget_waiting(self, now_ms: float) -> None:
        """Drop what requests said that nobody calls outstanding any more.

        A driver has no ages to pass on for an idle target; what a hedge or a
        cancelled request left behind would speak against it for good.
        """
        if now_ms - self._waited_at_ms > WAITING_MS:
            self._waiting_slow_nats = 0.0
            self._waiting_silent_nats = 0.0

    @property
    def silent_nats(self) -> float:
        """Return what silence alone says."""
        nats = self._silent_nats + self._waiting_silent_nats
        # Work must have met silence, too: a try from elsewhere ejects nobody alone.
        return min(self._cap_nats, nats + self._unreached_nats) if nats else 0.0

    def note_unreached(self, nats: float) -> None:
        """Add that another failure domain could not reach the target either."""
        self._unreached_nats = nats

    @property
    def slow_nats(self) -> float:
        """Return what latency alone says."""
        if not self.slow.samples:
            return 0.0
        nats = self.slow.nats + self._waiting_slow_nats
        return min(self._cap_nats, max(0.0, nats))

    @property
    def nats(self) -> float:
        """Return what the strongest test says."""
        return max(self.mild.nats, self.hard.nats, self.slow_nats, self.silent_nats)

    @property
    def failures(self) -> Cusum:
        """Return the stronger of the two failure tests."""
        return self.hard if self.hard.nats >= self.mild.nats else self.mild

    @property
    def error_rate(self) -> float:
        """Return the recent fraction of failed work."""
        return self._failures / self._works if self._works else 0.0

    @property
    def latency_ms(self) -> float:
        """Return the recent mean latency of answered work."""
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
