"""Evaluate the health of one group under faults in virtual time.

One queue feeds the slots of one group, as at its coordinator; nothing else of the fleet
is modelled.
"""

import heapq
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

from crocusspindle.core.evidence import FAILURES
from crocusspindle.core.health import GroupHealth
from crocusspindle.core.health_state import (
    Ejected,
    HealthChange,
    HealthSettings,
    Outcome,
    Sample,
    SecondOpinionWanted,
)
from crocusspindle.core.model import Target
from crocusspindle.ids import DomainId, ServiceId, TargetId

TICK_MS = 100.0
SECOND_OPINION_DELAY_MS = 30.0
MEAN_WORK_MS = 50.0
HEALTHY_ERROR_RATE = 0.01
TIMEOUT_MS = 10_000.0

Behaviour = Callable[[Random, float], tuple[Outcome, float]]


def healthy(rng: Random, now_ms: float) -> tuple[Outcome, float]:
    """Return outcome and latency of a request at a healthy target."""
    return failing(HEALTHY_ERROR_RATE)(rng, now_ms)


def failing(rate: float) -> Behaviour:
    """Return the behaviour of a target that fails a fraction of its requests."""

    def work(rng: Random, now_ms: float) -> tuple[Outcome, float]:
        outcome = Outcome.ERROR if rng.random() < rate else Outcome.OK
        return outcome, rng.expovariate(1.0 / MEAN_WORK_MS)

    return work


def slow(factor: float) -> Behaviour:
    """Return the behaviour of a target that is slower by a factor."""

    def work(rng: Random, now_ms: float) -> tuple[Outcome, float]:
        outcome, latency_ms = healthy(rng, now_ms)
        return outcome, factor * latency_ms

    return work


def silent(rng: Random, now_ms: float) -> tuple[Outcome, float]:
    """Return a timeout, as from a target that never answers."""
    return Outcome.TIMEOUT, TIMEOUT_MS


def since(begin_ms: float, bad: Behaviour) -> Behaviour:
    """Return a behaviour that is healthy before a time and bad from then on."""
    return lambda rng, now_ms: (bad if now_ms >= begin_ms else healthy)(rng, now_ms)


def flapping(begin_ms: float, half_period_ms: float, bad: Behaviour) -> Behaviour:
    """Return a behaviour that is alternately bad and healthy."""

    def work(rng: Random, now_ms: float) -> tuple[Outcome, float]:
        half_periods = (now_ms - begin_ms) // half_period_ms
        is_bad = now_ms >= begin_ms and half_periods % 2 == 0
        return (bad if is_bad else healthy)(rng, now_ms)

    return work


def make_targets(count: int, slots: int) -> list[Target]:
    """Return the targets of one group."""
    service, domain = ServiceId("katalog"), DomainId("d1")
    return [
        Target(TargetId(f"10.0.0.{i}:80"), service, domain, slots) for i in range(count)
    ]


class Watcher:
    """Evaluate attempts that the simulation places; record the first ejections."""

    def __init__(
        self, group_health: GroupHealth, reaches: Callable[[TargetId], bool]
    ) -> None:
        self.group_health = group_health
        self.reaches = reaches
        self.ejected_ms: dict[TargetId, float] = {}

    def observe(self, sample: Sample, now_ms: float) -> None:
        """Evaluate one ended attempt, unless a target was ejected before."""
        if self.ejected_ms:
            return
        self.record(self.group_health.observe(sample, now_ms), now_ms)

    def record(self, changes: list[HealthChange], now_ms: float) -> None:
        """Record ejections and deliver second opinions."""
        for change in changes:
            if isinstance(change, Ejected):
                self.ejected_ms.setdefault(change.target, now_ms)
            elif isinstance(change, SecondOpinionWanted):
                reached = self.reaches(change.target)
                further_changes = self.group_health.second_opinion(
                    change.target, reached, now_ms
                )
                self.record(further_changes, now_ms)

    def tick(self, running: Mapping[TargetId, dict[int, float]], now_ms: float) -> None:
        """Evaluate the outstanding requests, unless a target was ejected before."""
        if self.ejected_ms:
            return
        self.record(self.group_health.tick(now_ms), now_ms)
        for target, start_times in running.items():
            ages_ms = [now_ms - at_ms for at_ms in start_times.values()]
            self.record(
                self.group_health.record_outstanding(target, ages_ms, now_ms), now_ms
            )


class FiveErrors(Watcher):
    """Eject on five consecutive errors, as a baseline."""

    def __init__(self) -> None:
        self.ejected_ms = {}
        self._consecutive_errors: dict[TargetId, int] = {}

    def observe(self, sample: Sample, now_ms: float) -> None:
        """Count consecutive errors."""
        consecutive_errors = self._consecutive_errors.get(sample.target, 0) + 1
        if sample.outcome not in FAILURES:
            consecutive_errors = 0
        self._consecutive_errors[sample.target] = consecutive_errors
        if consecutive_errors >= 5:
            self.ejected_ms.setdefault(sample.target, now_ms)

    def tick(self, running: Mapping[TargetId, dict[int, float]], now_ms: float) -> None:
        """Do nothing: only ended requests count."""


@dataclass
class HealthSimulation:
    """Simulate one group that ``GroupHealth`` evaluates; record its health changes."""

    targets: list[Target]
    load: float
    seed: int
    group_health: GroupHealth
    behaviours: dict[TargetId, Behaviour] = field(default_factory=dict)
    reached_elsewhere: bool = False
    now_ms: float = 0.0
    changes: list[tuple[float, HealthChange]] = field(default_factory=list)
    watchers: dict[str, "Watcher"] = field(default_factory=dict)
    failures: int = 0
    completed_requests: int = 0
    unserved: int = 0

    @classmethod
    def from_config(
        cls,
        count: int,
        slots: int,
        *,
        load: float = 0.7,
        seed: int = 0,
        floor_fraction: float = 0.5,
        settings: HealthSettings | None = None,
    ) -> "HealthSimulation":
        """Return the simulation of one group; ``load`` is a fraction of its slots."""
        group_health = GroupHealth.from_config(
            settings or HealthSettings(), floor_fraction
        )
        return cls(make_targets(count, slots), load, seed, group_health)

    def __post_init__(self) -> None:
        self._rng = Random(self.seed)
        self._sequence = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._queue: deque[float] = deque()
        self._running: dict[TargetId, dict[int, float]] = {
            target.target: {} for target in self.targets
        }
        total_slots = sum(target.slots for target in self.targets)
        self._mean_interarrival_ms = MEAN_WORK_MS / (self.load * total_slots)
        self._record(self.group_health.set_targets(self.targets, 0.0))
        self._at(0.0, self._arrive)
        self._at(0.0, self._tick)

    def run_until(self, end_ms: float) -> None:
        """Run all events up to a virtual time."""
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._events)
            callback()
        self.now_ms = end_ms

    def first(self, change_type: type, target: TargetId | None = None) -> float | None:
        """Return the time of the first change of a type; None if there is none."""
        return next(iter(self.times(change_type, target)), None)

    def times(self, change_type: type, target: TargetId | None = None) -> list[float]:
        """Return the times of all changes of a type."""
        return [
            at_ms
            for at_ms, change in self.changes
            if isinstance(change, change_type)
            and (target is None or getattr(change, "target", None) == target)
        ]

    @property
    def failed_fraction(self) -> float:
        """Return the fraction of ended requests that failed or were not served."""
        ended = self.completed_requests + self.unserved
        return (self.failures + self.unserved) / ended

    def reaches(self, target: TargetId) -> bool:
        """Return True if another failure domain gets an answer from a target."""
        behaviour = self.behaviours.get(target, healthy)
        outcome, _ = behaviour(Random(0), self.now_ms)
        return self.reached_elsewhere or outcome is not Outcome.TIMEOUT

    def _at(self, at_ms: float, callback: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at_ms, self._sequence, callback))

    def _record(self, changes: list[HealthChange]) -> None:
        for change in changes:
            self.changes.append((self.now_ms, change))
            if isinstance(change, SecondOpinionWanted):
                self._request_second_opinion(change.target)

    def _request_second_opinion(self, target: TargetId) -> None:
        def deliver_opinion() -> None:
            reached = self.reaches(target)
            self._record(self.group_health.second_opinion(target, reached, self.now_ms))

        self._at(self.now_ms + SECOND_OPINION_DELAY_MS, deliver_opinion)

    def _arrive(self) -> None:
        self._at(
            self.now_ms + self._rng.expovariate(1.0 / self._mean_interarrival_ms),
            self._arrive,
        )
        self._queue.append(self.now_ms)
        self._place()

    def _tick(self) -> None:
        self._at(self.now_ms + TICK_MS, self._tick)
        self._record(self.group_health.tick(self.now_ms))
        for target, start_times in self._running.items():
            ages_ms = [self.now_ms - at_ms for at_ms in start_times.values()]
            self._record(
                self.group_health.record_outstanding(target, ages_ms, self.now_ms)
            )
        for watcher in self.watchers.values():
            watcher.tick(self._running, self.now_ms)
        # Requests leave the queue at their deadline.
        while self._queue and self._queue[0] < self.now_ms - TIMEOUT_MS:
            self._queue.popleft()
            self.unserved += 1
        self._place()

    def _place(self) -> None:
        while self._queue:
            target = self._pick()
            if target is None:
                return
            self._queue.popleft()
            self._send(target)

    def _pick(self) -> TargetId | None:
        best, best_score = None, 0.0
        for target in self.targets:
            name = target.target
            running = len(self._running[name])
            if running >= target.slots:
                continue
            weight = self.group_health.weight(name, self.now_ms)
            if self.group_health.needs_trial(name, self.now_ms):
                weight = 2.0
            score = weight * (target.slots - running) * (0.5 + self._rng.random())
            if score > best_score:
                best, best_score = name, score
        return best

    def _send(self, target: TargetId) -> None:
        behaviour = self.behaviours.get(target, healthy)
        outcome, latency_ms = behaviour(self._rng, self.now_ms)
        self._sequence += 1
        attempt = self._sequence
        self._running[target][attempt] = self.now_ms
        if self.group_health.needs_trial(target, self.now_ms):
            self.group_health.record_trial_sent(target, self.now_ms)

        def end() -> None:
            del self._running[target][attempt]
            self.completed_requests += 1
            self.failures += outcome is not Outcome.OK
            sample = Sample(target, outcome, latency_ms)
            self._record(self.group_health.observe(sample, self.now_ms))
            for watcher in self.watchers.values():
                watcher.observe(sample, self.now_ms)
            self._place()

        self._at(self.now_ms + latency_ms, end)
