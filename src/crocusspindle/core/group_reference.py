"""Estimate a group's healthy failure rate and latencies from its own targets."""

from collections.abc import Iterable
from math import exp, log

from crocusspindle.core.evidence import FailureTest, Reference, TargetEvidence
from crocusspindle.core.health_state import HealthSettings, HealthState
from crocusspindle.core.latency_reference import BUCKETS, LatencyReference
from crocusspindle.core.target_record import TargetRecord

FALSE_ALARMS_FACTOR = 0.6
"""False alarms of all tests per sample at a threshold of 0 nats.

Each nat of threshold divides the rate by e.
"""

DAY_MS = 86_400_000.0

MAX_FAILURE_RATE = 0.9
"""Upper bound of the learnt rate: if nearly all requests fail everywhere, targets
cannot be distinguished."""


class GroupReference:
    """Learn the failure rate and the latencies of a group's healthy targets."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._sample_count = 0.0
        self._observed_ms = 0.0
        self._failures = 0.0
        self._learned_at_ms: float | None = None
        self._latency = LatencyReference(
            settings.max_threshold_nats / 2.0, settings.reference_ms
        )
        self.reference = self._build_reference()

    def _build_reference(self) -> Reference:
        settings = self._settings
        rate = self._failures / self._sample_count if self._sample_count else 0.0
        rate = min(MAX_FAILURE_RATE, max(settings.min_failure_rate, rate))
        return Reference(
            threshold_nats=self._threshold_nats(),
            healthy_rate=rate,
            mild=FailureTest.between(rate, settings.mild_loss_fraction),
            hard=FailureTest.between(rate, settings.hard_loss_fraction),
            latency=self._latency,
        )

    def _threshold_nats(self) -> float:
        """Return the evidence threshold for ``false_ejections_per_day``.

        A busy group tests more often than an idle one, so the same threshold gives
        proportionally more false alarms. An idle group must not wait for evidence that
        its few requests cannot provide.
        """
        settings = self._settings
        if not self._sample_count:
            return settings.max_threshold_nats
        samples_per_day = self._sample_count / self._observed_ms * DAY_MS
        false_alarm_ratio = (
            FALSE_ALARMS_FACTOR * samples_per_day / settings.false_ejections_per_day
        )
        nats = log(max(false_alarm_ratio, 1.0))
        bounded_nats = max(settings.min_threshold_nats, nats)
        return min(settings.max_threshold_nats, bounded_nats)

    def refresh(self, records: Iterable[TargetRecord], now_ms: float) -> None:
        """Learn from the requests since the last refresh, if a refresh is due.

        Suspicious targets are excluded, so a failing target does not raise the group's
        typical failure rate. Once most targets are suspicious, typical behaviour itself
        has changed, for example by a shared dependency, and all of them count.
        """
        if self._learned_at_ms is None:
            self._learned_at_ms = now_ms
        elapsed_ms = now_ms - self._learned_at_ms
        if elapsed_ms < self._settings.refresh_ms:
            return
        self._learned_at_ms = now_ms
        serving = [
            record.evidence
            for record in records
            if record.state in (HealthState.HEALTHY, HealthState.SUSPECT)
        ]
        clean_nats = self._settings.clean_nats
        clean = [evidence for evidence in serving if evidence.nats < clean_nats]
        self._learn(clean if 2 * len(clean) >= len(serving) else serving, elapsed_ms)
        for evidence in serving:
            evidence.fresh_latencies = [0] * (BUCKETS + 1)
            evidence.fresh_attempts = 0
            evidence.fresh_failures = 0

    def _learn(self, sources: list[TargetEvidence], elapsed_ms: float) -> None:
        decay = exp(-elapsed_ms / self._settings.reference_ms)
        self._sample_count = self._sample_count * decay + sum(
            source.fresh_attempts for source in sources
        )
        self._observed_ms = self._observed_ms * decay + elapsed_ms
        self._failures *= decay
        self._failures += sum(source.fresh_failures for source in sources)
        columns = zip(*(source.fresh_latencies for source in sources), strict=True)
        fresh = [sum(column) for column in columns] or [0] * (BUCKETS + 1)
        self._latency.learn(fresh, elapsed_ms)
        self.reference = self._build_reference()
