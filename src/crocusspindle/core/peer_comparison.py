"""Compare a target's attempts with those of its peers over the same time."""

from math import log
from typing import Final

from crocusspindle.core.ejection import EjectionBudget
from crocusspindle.core.evidence import NEUTRAL, Cusum, TargetEvidence
from crocusspindle.core.group_reference import GroupReference
from crocusspindle.core.health_state import (
    Evidence,
    HealthSettings,
    HealthState,
    Outcome,
)
from crocusspindle.core.target_record import TargetRecord

BIN_MS: Final = 100.0
BINS: Final = 128
"""About 13 s: the slowest gray failure that justifies ejection is detected in less."""


class RecentAttempts:
    """Count the attempts of a whole group in short time bins.

    If a dependency shared by all targets fails, each target looks bad compared with
    the group's learnt reference, and targets would be ejected all over the group. Only
    a comparison with the peers over the same seconds distinguishes this from the
    failure of a single target.
    """

    def __init__(self) -> None:
        self._bin_index = [-1] * BINS
        self._attempts = [0] * BINS
        self._failures = [0] * BINS
        self._timed_attempts = [0] * BINS
        self._hazards = [0.0] * BINS

    def _bin(self, now_ms: float) -> int:
        index = int(now_ms / BIN_MS)
        position = index % BINS
        if self._bin_index[position] != index:
            self._bin_index[position] = index
            self._attempts[position] = 0
            self._failures[position] = 0
            self._timed_attempts[position] = 0
            self._hazards[position] = 0.0
        return position

    def add(self, outcome: Outcome, hazard: float, now_ms: float) -> None:
        """Count one ended attempt and the cumulative hazard of its latency."""
        is_ok = outcome is Outcome.OK
        if not is_ok and outcome in NEUTRAL:
            return
        position = self._bin(now_ms)
        if outcome is not Outcome.ABANDONED:
            self._attempts[position] += 1
            self._failures[position] += not is_ok
        if outcome is not Outcome.REFUSED:
            self._timed_attempts[position] += 1
            self._hazards[position] += hazard

    def _positions(self, since_ms: float, now_ms: float) -> list[int]:
        last = int(now_ms / BIN_MS)
        first = max(int(since_ms / BIN_MS), last - BINS + 1)
        return [
            i % BINS for i in range(first, last + 1) if self._bin_index[i % BINS] == i
        ]

    def failure_contrast(self, own: Cusum, min_rate: float, now_ms: float) -> float:
        """Return the nats of evidence that a target fails more than its peers."""
        if not own.samples:
            return 0.0
        positions = self._positions(own.since_ms, now_ms)
        attempts = sum(self._attempts[i] for i in positions) - own.samples
        failures = sum(self._failures[i] for i in positions) - own.total
        rate = own.total / own.samples
        # Adding one failure and two attempts keeps the peers' rate away from 0 and 1.
        peer_rate = max(min_rate, (max(failures, 0.0) + 1.0) / (max(attempts, 0) + 2.0))
        if rate <= peer_rate:
            return 0.0
        nats = rate * log(rate / peer_rate)
        if rate < 1.0:
            nats += (1.0 - rate) * log((1.0 - rate) / (1.0 - peer_rate))
        return own.samples * nats

    def latency_contrast(self, own: Cusum, now_ms: float) -> float:
        """Return the nats of evidence that a target is slower than its peers."""
        if not own.samples:
            return 0.0
        positions = self._positions(own.since_ms, now_ms)
        timed_attempts = sum(self._timed_attempts[i] for i in positions) - own.samples
        hazards = sum(self._hazards[i] for i in positions) - own.total
        peer_hazard = (max(hazards, 0.0) + 1.0) / (max(timed_attempts, 0) + 1.0)
        ratio = own.total / own.samples / peer_hazard
        if ratio <= 1.0:
            return 0.0
        return own.samples * (ratio - 1.0 - log(ratio))


class PeerComparison:
    """Determine whether a suspect is worse than its peers over the same seconds."""

    def __init__(
        self,
        settings: HealthSettings,
        budget: EjectionBudget,
        group_reference: GroupReference,
    ) -> None:
        self._settings = settings
        self._budget = budget
        self._group_reference = group_reference
        self._recent = RecentAttempts()

    @property
    def _threshold_nats(self) -> float:
        return self._group_reference.reference.threshold_nats

    @property
    def _contrast_nats(self) -> float:
        return self._settings.contrast_fraction * self._threshold_nats

    def add(self, outcome: Outcome, hazard: float, now_ms: float) -> None:
        """Count one ended attempt at a target in service."""
        self._recent.add(outcome, hazard, now_ms)

    def summary(self, record: TargetRecord) -> Evidence:
        """Return the evidence against a target, with its peers' latency."""
        return record.evidence.summary(self._latency_ms(record))

    def is_outlier(self, record: TargetRecord, now_ms: float) -> bool:
        """Return True if a suspect is worse than its peers."""
        threshold_nats = self._threshold_nats
        own = record.evidence
        if own.silent_nats >= threshold_nats:
            # With evidence against most targets, the path to them is likely at fault.
            return not self.most_suspected()
        if own.failures.nats >= threshold_nats and self._fails_more(own, now_ms):
            return True
        return own.slow_nats >= threshold_nats and self._is_slower(record, now_ms)

    def _fails_more(self, own: TargetEvidence, now_ms: float) -> bool:
        contrast_nats = self._recent.failure_contrast(
            own.failures, self._settings.min_failure_rate, now_ms
        )
        return contrast_nats >= self._contrast_nats

    def _is_slower(self, record: TargetRecord, now_ms: float) -> bool:
        settings = self._settings
        own = record.evidence.slow
        own_ms = own.latency_ms / own.samples
        peers_ms = self._latency_ms(record)
        min_slow_ms = max(
            peers_ms * settings.min_slow_ratio,
            peers_ms + settings.min_slow_excess_ms,
        )
        if own_ms < min_slow_ms:
            return False
        contrast_nats = self._recent.latency_contrast(own, now_ms)
        return contrast_nats >= self._contrast_nats

    def most_suspected(self) -> bool:
        """Return True if there is evidence against most targets in service."""
        serving = self._budget.serving()
        clean_nats = self._settings.clean_nats
        suspected = sum(r.evidence.nats >= clean_nats for r in serving)
        return 2 * suspected > len(serving)

    def is_unreachable(self, record: TargetRecord) -> bool:
        """Return True if a target is silent or nearly all its attempts fail."""
        own = record.evidence
        if own.silent_nats >= self._threshold_nats:
            return True
        return own.error_rate >= self._settings.path_failure_rate

    def _latency_ms(self, excluded: TargetRecord) -> float:
        latencies_ms = sorted(
            record.evidence.latency_ms
            for record in self._budget.serving()
            if record is not excluded and record.state is HealthState.HEALTHY
        )
        return latencies_ms[len(latencies_ms) // 2] if latencies_ms else 0.0
