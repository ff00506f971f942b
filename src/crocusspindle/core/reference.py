"""Learn what healthy work is from a group's own targets."""

from collections.abc import Iterable
from math import exp, log

from crocusspindle.core.evidence import FailureTest, Reference, TargetEvidence
from crocusspindle.core.health_state import HealthSettings, HealthState
from crocusspindle.core.latency import BUCKETS, LatencyReference
from crocusspindle.core.target_record import TargetRecord

FALSE_ALARMS_FACTOR = 0.6
"""False alarms per sample of all tests at 0 nats, by ``benchmarks.health``.

Each nat of threshold divides them by e.
"""

DAY_MS = 86_400_000.0

MOST_FAILURE_RATE = 0.9
"""Where nearly all fails everywhere, no target can be told from another."""


class GroupReference:
    """Learn the failure rate and the latencies of a group's healthy targets."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._works = 0.0
        self._learnt_ms = 0.0
        self._failures = 0.0
        self._learnt_at_ms: float | None = None
        self._latency = LatencyReference(
            settings.most_threshold_nats / 2.0, settings.reference_ms
        )
        self.reference = self._make()

    def _make(self) -> Reference:
        settings = self._settings
        rate = self._failures / self._works if self._works else 0.0
        rate = min(MOST_FAILURE_RATE, max(settings.least_failure_rate, rate))
        return Reference(
            threshold_nats=self._threshold_nats(),
            healthy_rate=rate,
            mild=FailureTest.between(rate, settings.mild_failure),
            hard=FailureTest.between(rate, settings.hard_failure),
            latency=self._latency,
        )

    def _threshold_nats(self) -> float:
        """Return the evidence that allows the stated false ejections a day.

        A busy group looks more often than an idle one, and is wrong as much more
        often at the same threshold; an idle one must not wait for evidence that its
        few requests cannot give.
        """
        settings = self._settings
        if not self._works:
            return settings.most_threshold_nats
        works_per_day = self._works / self._learnt_ms * DAY_MS
        looks = FALSE_ALARMS_FACTOR * works_per_day / settings.false_ejections_per_day
        nats = log(max(looks, 1.0))
        bounded_nats = max(settings.least_threshold_nats, nats)
        return min(settings.most_threshold_nats, bounded_nats)

    def refresh(self, records: Iterable[TargetRecord], now_ms: float) -> None:
        """Learn from the work since the last refresh, if that is due.

        A bad target must not teach the group that failing is usual; but once most
        targets look bad, what is usual has changed, as with a shared dependency.
        """
        if self._learnt_at_ms is None:
            self._learnt_at_ms = now_ms
        elapsed_ms = now_ms - self._learnt_at_ms
        if elapsed_ms < self._settings.refresh_ms:
            return
        self._learnt_at_ms = now_ms
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
            evidence.fresh_works = 0
            evidence.fresh_failures = 0

    def _learn(self, teachers: list[TargetEvidence], elapsed_ms: float) -> None:
        keep = exp(-elapsed_ms / self._settings.reference_ms)
        self._works = self._works * keep + sum(t.fresh_works for t in teachers)
        self._learnt_ms = self._learnt_ms * keep + elapsed_ms
        self._failures *= keep
        self._failures += sum(t.fresh_failures for t in teachers)
        columns = zip(*(t.fresh_latencies for t in teachers), strict=True)
        fresh = [sum(column) for column in columns] or [0] * (BUCKETS + 1)
        self._latency.learn(fresh, elapsed_ms)
        self.reference = self._make()
