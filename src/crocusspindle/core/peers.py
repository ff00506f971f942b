"""Compare a target's work with that of its peers over the same time."""

from math import log
from typing import Final

from crocusspindle.core.ejection import EjectionBudget
from crocusspindle.core.evidence import NEUTRAL, Cusum, TargetEvidence
from crocusspindle.core.health_state import (
    Evidence,
    HealthSettings,
    HealthState,
    Outcome,
)
from crocusspindle.core.reference import GroupReference
from crocusspindle.core.target_record import TargetRecord

BIN_MS: Final = 100.0
BINS: Final = 128
"""About 13 s: the slowest gray failure worth an ejection is found in less."""


class RecentWork:
    """Count the work of a whole group in short bins of time.

    A dependency that all targets share can fail at once and make each of them look
    bad against what the group had learnt. The operator would notice ejections all
    over the group. Only the same seconds of the peers tell the two cases apart.
    """

    def __init__(self) -> None:
        self._index = [-1] * BINS
        self._works = [0] * BINS
        self._failures = [0] * BINS
        self._timed = [0] * BINS
        self._hazards = [0.0] * BINS

    def _bin(self, now_ms: float) -> int:
        index = int(now_ms / BIN_MS)
        place = index % BINS
        if self._index[place] != index:
            self._index[place] = index
            self._works[place] = 0
            self._failures[place] = 0
            self._timed[place] = 0
            self._hazards[place] = 0.0
        return place

    def add(self, outcome: Outcome, hazard: float, now_ms: float) -> None:
        """Count one ended sending and how unusual its latency was."""
        is_ok = outcome is Outcome.OK
        if not is_ok and outcome in NEUTRAL:
            return
        place = self._bin(now_ms)
        if outcome is not Outcome.ABANDONED:
            self._works[place] += 1
            self._failures[place] += not is_ok
        if outcome is not Outcome.REFUSED:
            self._timed[place] += 1
            self._hazards[place] += hazard

    def _places(self, since_ms: float, now_ms: float) -> list[int]:
        last = int(now_ms / BIN_MS)
        first = max(int(since_ms / BIN_MS), last - BINS + 1)
        return [i % BINS for i in range(first, last + 1) if self._index[i % BINS] == i]

    def failure_contrast(self, own: Cusum, least_rate: float, now_ms: float) -> float:
        """Return the nats by which a target fails more than its peers do."""
        if not own.samples:
            return 0.0
        places = self._places(own.since_ms, now_ms)
        works = sum(self._works[i] for i in places) - own.samples
        failures = sum(self._failures[i] for i in places) - own.total
        rate = own.total / own.samples
        # One failure and two works more than seen keep the rate off 0 and 1.
        peers = max(least_rate, (max(failures, 0.0) + 1.0) / (max(works, 0) + 2.0))
        if rate <= peers:
            return 0.0
        nats = rate * log(rate / peers)
        if rate < 1.0:
            nats += (1.0 - rate) * log((1.0 - rate) / (1.0 - peers))
        return own.samples * nats

    def latency_contrast(self, own: Cusum, now_ms: float) -> float:
        """Return the nats by which a target is slower than its peers."""
        if not own.samples:
            return 0.0
        places = self._places(own.since_ms, now_ms)
        timed = sum(self._timed[i] for i in places) - own.samples
        hazards = sum(self._hazards[i] for i in places) - own.total
        peers = (max(hazards, 0.0) + 1.0) / (max(timed, 0) + 1.0)
        ratio = own.total / own.samples / peers
        if ratio <= 1.0:
            return 0.0
        return own.samples * (ratio - 1.0 - log(ratio))


class PeerComparison:
    """Tell whether a suspect is worse than its peers are in the same seconds."""

    def __init__(
        self,
        settings: HealthSettings,
        group: EjectionBudget,
        learner: GroupReference,
    ) -> None:
        self._settings = settings
        self._group = group
        self._learner = learner
        self._recent = RecentWork()

    @property
    def _threshold_nats(self) -> float:
        return self._learner.reference.threshold_nats

    @property
    def _contrast_nats(self) -> float:
        return self._settings.contrast_fraction * self._threshold_nats

    def add(self, outcome: Outcome, hazard: float, now_ms: float) -> None:
        """Count one ended sending to a target in service."""
        self._recent.add(outcome, hazard, now_ms)

    def summary(self, record: TargetRecord) -> Evidence:
        """Return the evidence against a target, its latency against the peers'."""
        return record.evidence.summary(self._latency_ms(record))

    def stands_out(self, record: TargetRecord, now_ms: float) -> bool:
        """Return True if a suspect is worse than its peers."""
        threshold_nats = self._threshold_nats
        own = record.evidence
        if own.silent_nats >= threshold_nats:
            # Most of a group falling silent at once is this home's own path.
            return not self.most_doubtful()
        if own.failures.nats >= threshold_nats and self._fails_more(own, now_ms):
            return True
        return own.slow_nats >= threshold_nats and self._is_slower(record, now_ms)

    def _fails_more(self, own: TargetEvidence, now_ms: float) -> bool:
        contrast_nats = self._recent.failure_contrast(
            own.failures, self._settings.least_failure_rate, now_ms
        )
        return contrast_nats >= self._contrast_nats

    def _is_slower(self, record: TargetRecord, now_ms: float) -> bool:
        settings = self._settings
        own = record.evidence.slow
        own_ms = own.latency_ms / own.samples
        peers_ms = self._latency_ms(record)
        least_ms = max(
            peers_ms * settings.least_slow_ratio,
            peers_ms + settings.least_slow_excess_ms,
        )
        if own_ms < least_ms:
            return False
        contrast_nats = self._recent.latency_contrast(own, now_ms)
        return contrast_nats >= self._contrast_nats

    def most_doubtful(self) -> bool:
        """Return True if most targets in service have something against them."""
        serving = self._group.serving()
        clean_nats = self._settings.clean_nats
        doubtful = sum(r.evidence.nats >= clean_nats for r in serving)
        return 2 * doubtful > len(serving)

    def is_cut_off(self, record: TargetRecord) -> bool:
        """Return True if nearly nothing comes back from a target."""
        own = record.evidence
        if own.silent_nats >= self._threshold_nats:
            return True
        return own.error_rate >= self._settings.path_failure_rate

    def _latency_ms(self, but: TargetRecord) -> float:
        latencies_ms = sorted(
            record.evidence.latency_ms
            for record in self._group.serving()
            if record is not but and record.state is HealthState.HEALTHY
        )
        return latencies_ms[len(latencies_ms) // 2] if latencies_ms else 0.0
