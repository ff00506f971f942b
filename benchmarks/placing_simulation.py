"""Simulate the requests of one service in virtual time, from arrival to outcome.

The real service placer decides; entries, targets and faults are simulated. Entries
hedge and retry as real ones do. All time is virtual and every run is seeded.
"""

import heapq
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import ALL_POLICIES, Policies
from crocusspindle.core.retry_budget import RetryBudget
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.ids import NO_CUSTOMER, CustomerId, DomainId, HostId, ServiceId

BROKEN_AFTER_MS: Final = 1.0
MAX_TARGETS_TRIED: Final = 4
TICK_MS: Final = 20.0
HEDGE_RETRY_MS: Final = 150.0
FLOOR_FRACTION: Final = 0.7
RARE_LONG_FACTOR: Final = 5.0


@dataclass(frozen=True)
class RouteLoad:
    """Describe the requests of one route.

    ``work_ms`` is the mean service time and ``spread`` its coefficient of variation;
    ``aim_ms`` is the latency objective. A failed idempotent request is retried until
    ``attempts`` attempts have reached a target. ``weight`` is the customer's rate.
    """

    name: str
    idempotent: bool
    rate_per_s: float
    work_ms: float
    spread: float
    aim_ms: float
    deadline_ms: float
    error_fraction: float = 0.012
    priority: int = 1
    attempts: int = 2
    from_ms: float = 0.0
    until_ms: float = math.inf
    customer: CustomerId = NO_CUSTOMER
    weight: float = 0.0

    def draw_ms(self, rng: random.Random) -> float:
        """Return the service time of one request, log-normally distributed."""
        sigma = math.sqrt(math.log(1.0 + self.spread**2))
        return self.work_ms * rng.lognormvariate(-(sigma**2) / 2, sigma)


@dataclass(frozen=True)
class Gray:
    """Define how often targets turn gray, for how long, and how they fail.

    In each period a target turns gray with a probability of ``share``, for a time
    between the two bounds. It then fails the fraction ``failure_fraction`` of its
    requests with ``outcome``; for ``ANSWERED`` these take ``slow`` times as long
    instead.
    """

    share: float
    period_ms: float
    shortest_ms: float
    longest_ms: float
    failure_fraction: float
    outcome: AttemptOutcome
    slow: float = 8.0


@dataclass(frozen=True)
class BadPaths:
    """Define which pairs of entry and target lose connections, and how many.

    ``share`` is the fraction of pairs, drawn once; ``loss_fraction`` that of their
    connections. An entry stops waiting for a lost connection after ``connect_ms``.
    """

    share: float
    loss_fraction: float
    from_ms: float = 10_000.0
    until_ms: float = 40_000.0
    connect_ms: float = 300.0


@dataclass(frozen=True)
class Slowdown:
    """Define by what factor targets slow down while all their slots are taken.

    It concerns the first ``targets`` targets. A ``shared`` target does the
    work of all its running requests more slowly; one that isn't shared slows down only
    a request that takes the last slot.
    """

    factor: float
    targets: int
    from_ms: float = 0.0
    until_ms: float = math.inf
    shared: bool = False

    def applies(self, target: int, at_ms: float) -> bool:
        """Return True if a target would slow down at a time."""
        return target < self.targets and self.from_ms <= at_ms < self.until_ms


@dataclass(frozen=True)
class ServiceScenario:
    """Describe one service with its load and faults.

    ``speeds`` are repeated over the targets. Of the requests, ``rare_long_fraction``
    take five times as long.
    """

    targets: int
    slots: int
    route_loads: Sequence[RouteLoad]
    gray: Gray | None = None
    paths: BadPaths | None = None
    domains: int = 3
    entries: int = 48
    length_ms: float = 60_000.0
    budget_ratio: float = 0.2
    budget_extra: float = 64.0
    speeds: Sequence[float] = (1.0,)
    slowdown: Slowdown | None = None
    rare_long_fraction: float = 0.0


@dataclass
class Tally:
    """Count the requests of one route by result."""

    request_count: int = 0
    on_time: int = 0
    late: int = 0
    lost: int = 0
    refused: int = 0
    attempts_sent: int = 0
    other_domain: int = 0
    latencies_ms: list[float] = field(default_factory=list)
    refused_after_ms: list[float] = field(default_factory=list)

    @property
    def on_time_fraction(self) -> float:
        """Return the fraction that was answered within the latency objective."""
        return self.on_time / max(1, self.request_count)

    @property
    def served(self) -> float:
        """Return the fraction that was answered."""
        return (self.on_time + self.late) / max(1, self.request_count)

    @property
    def lost_fraction(self) -> float:
        """Return the fraction neither answered nor refused as not run."""
        return self.lost / max(1, self.request_count)

    def credit(self, late_credit: float = 0.3) -> float:
        """Return the fraction answered, where a late answer counts ``late_credit``."""
        return (self.on_time + late_credit * self.late) / max(1, self.request_count)


@dataclass
class _Request:
    route_load: RouteLoad
    entry: HostId
    domain: DomainId
    began_ms: float
    ends_ms: float
    tried: set[TargetIdentity] = field(default_factory=set)
    attempts_reached: int = 0
    running: int = 0
    done: bool = False


@dataclass(order=True)
class _Event:
    at_ms: float
    number: int
    callback: Callable[[float], None] = field(compare=False)


class GrayPlan:
    """Draw once when each target is gray."""

    def __init__(self, scenario: ServiceScenario, rng: random.Random) -> None:
        self._windows: list[list[tuple[float, float]]] = [
            [] for _ in range(scenario.targets)
        ]
        gray = scenario.gray
        if gray is None:
            return
        for windows in self._windows:
            period_began_ms = -rng.uniform(0.0, gray.period_ms)
            while period_began_ms < scenario.length_ms:
                if rng.random() < gray.share:
                    span_ms = rng.uniform(gray.shortest_ms, gray.longest_ms)
                    latest_ms = max(0.0, gray.period_ms - span_ms)
                    at_ms = period_began_ms + rng.uniform(0.0, latest_ms)
                    windows.append((at_ms, at_ms + span_ms))
                period_began_ms += gray.period_ms

    def is_gray(self, target: int, at_ms: float) -> bool:
        """Return True if the target is gray at a time."""
        return any(begin <= at_ms < end for begin, end in self._windows[target])


class PathPlan:
    """Draw once which pairs of entry and target lose connections."""

    def __init__(self, scenario: ServiceScenario, rng: random.Random) -> None:
        self._paths = scenario.paths
        share = 0.0 if scenario.paths is None else scenario.paths.share
        self._bad = {
            (str(entry), target)
            for entry in range(scenario.entries)
            for target in range(scenario.targets)
            if rng.random() < share
        }

    def loses(self, entry: HostId, target: int, at_ms: float, sample: float) -> bool:
        """Return True if a connection is lost; ``sample`` is uniform in [0, 1)."""
        paths = self._paths
        if paths is None or not paths.from_ms <= at_ms < paths.until_ms:
            return False
        return (entry, target) in self._bad and sample < paths.loss_fraction


class SharedWork:
    """Advance the work of the requests that run at one target."""

    def __init__(self) -> None:
        self.left_ms: dict[int, float] = {}
        self.version = 0
        self._advanced_ms = 0.0

    def advance(self, factor: float, now_ms: float) -> None:
        """Record the work done since the last change of the running requests."""
        done_ms = (now_ms - self._advanced_ms) / factor
        self._advanced_ms = now_ms
        self.version += 1
        for number in self.left_ms:
            self.left_ms[number] -= done_ms


class PlacingSimulation:
    """Simulate one service under one load with one seed.

    With ``oracle``, each placement request excludes the targets that are gray at the
    time.
    """

    def __init__(
        self,
        scenario: ServiceScenario,
        seed: int,
        oracle: bool = False,
        policies: Policies = ALL_POLICIES,
    ) -> None:
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._gray_plan = GrayPlan(scenario, random.Random(seed + 1))
        self._path_plan = PathPlan(scenario, random.Random(seed + 2))
        self._oracle = oracle
        self._events: list[_Event] = []
        self._number = 0
        self._queued: list[tuple[_Request, QueuedRequest, bool]] = []
        self._running = [0] * scenario.targets
        self._shared = [SharedWork() for _ in range(scenario.targets)]
        self._shared_ends: dict[int, Callable[[bool, float], None]] = {}
        # No other placer served before this one, so its retry counts are complete.
        self._budget = RetryBudget(
            scenario.budget_ratio, scenario.budget_extra, 10_000.0, began_ms=-math.inf
        )
        self.placer = ServicePlacer(FLOOR_FRACTION, self._budget, policies)
        self.placer.set_targets(self._make_listed_targets(), 0.0)
        self.tallies = {route_load.name: Tally() for route_load in scenario.route_loads}

    def _make_listed_targets(self) -> list[ListedTarget]:
        return [
            ListedTarget(
                TargetIdentity(str(number)),
                ServiceId("service"),
                f"host-{number}:80",
                DomainId(str(number % self._scenario.domains)),
                self._scenario.slots,
                Readiness.READY,
            )
            for number in range(self._scenario.targets)
        ]

    def run(self) -> dict[str, Tally]:
        """Run all requests and return the counts by route."""
        for route_load in self._scenario.route_loads:
            self._schedule_arrival(route_load, route_load.from_ms)
        self._at(TICK_MS, self._tick)
        while self._events:
            event = heapq.heappop(self._events)
            event.callback(event.at_ms)
        return self.tallies

    def _at(self, at_ms: float, callback: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, _Event(at_ms, self._number, callback))

    def _tick(self, now_ms: float) -> None:
        self.placer.process_due(now_ms)
        self._serve_queued(now_ms)
        if now_ms < self._scenario.length_ms:
            self._at(now_ms + TICK_MS, self._tick)

    def _schedule_arrival(self, route_load: RouteLoad, now_ms: float) -> None:
        at_ms = now_ms + self._rng.expovariate(route_load.rate_per_s / 1e3)
        if at_ms < min(route_load.until_ms, self._scenario.length_ms):
            self._at(at_ms, lambda at: self._arrive(route_load, at))

    def _arrive(self, route_load: RouteLoad, now_ms: float) -> None:
        self._schedule_arrival(route_load, now_ms)
        entry = self._rng.randrange(self._scenario.entries)
        domain = DomainId(str(entry % self._scenario.domains))
        ends_ms = now_ms + route_load.deadline_ms
        request = _Request(route_load, HostId(str(entry)), domain, now_ms, ends_ms)
        self.tallies[route_load.name].request_count += 1
        self._request_placement(request, False, now_ms)

    def _request_placement(
        self, request: _Request, retry: bool, now_ms: float, hedge: bool = False
    ) -> None:
        route_load = request.route_load
        spent_ms = now_ms - request.began_ms
        placement_request = PlacementRequest(
            sender=request.entry,
            domain=request.domain,
            route=route_load.name,
            idempotent=route_load.idempotent,
            priority=route_load.priority,
            aim_ms=max(0.0, route_load.aim_ms - spent_ms),
            deadline_ms=request.ends_ms,
            retry=retry,
            hedge=hedge,
            excluded=frozenset(request.tried) | self._known_gray(now_ms),
            customer=route_load.customer,
            weight=route_load.weight,
        )
        answer = self.placer.request_placement(placement_request, now_ms)
        if isinstance(answer, QueuedRequest):
            self._queued.append((request, answer, retry))
        else:
            self._apply_answer(request, answer, now_ms)

    def _known_gray(self, now_ms: float) -> frozenset[TargetIdentity]:
        if not self._oracle:
            return frozenset()
        return frozenset(
            TargetIdentity(str(number))
            for number in range(self._scenario.targets)
            if self._gray_plan.is_gray(number, now_ms)
        )

    def _serve_queued(self, now_ms: float) -> None:
        queued, self._queued = self._queued, []
        for request, queued_request, retry in queued:
            if queued_request.settled is None:
                self._queued.append((request, queued_request, retry))
            else:
                self._apply_answer(request, queued_request.settled, now_ms)

    def _apply_answer(
        self,
        request: _Request,
        answer: PlacementGranted | PlacementRefused,
        now_ms: float,
    ) -> None:
        if isinstance(answer, PlacementGranted):
            self._send(request, answer, now_ms)
        elif not request.running and not request.done:
            request.done = True
            tally = self.tallies[request.route_load.name]
            if request.attempts_reached:
                tally.lost += 1
            else:
                tally.refused += 1
                tally.refused_after_ms.append(now_ms - request.began_ms)

    def _send(self, request: _Request, placed: PlacementGranted, now_ms: float) -> None:
        target = placed.target.identity
        tally = self.tallies[request.route_load.name]
        tally.attempts_sent += 1
        tally.other_domain += placed.target.domain != request.domain
        request.tried.add(target)
        request.running += 1
        outcome, span_ms = self._attempt_result(request, int(target), now_ms)
        self._running[int(target)] += 1
        slowdown = self._scenario.slowdown
        if slowdown is not None and slowdown.shared and span_ms < math.inf:
            self._run_shared(request, placed, outcome, span_ms, now_ms)
        else:
            span_ms *= self._slowdown_factor(int(target), now_ms)
            ends_ms = min(now_ms + span_ms, request.ends_ms)
            if ends_ms < now_ms + span_ms:
                outcome = AttemptOutcome.SILENT
            self._at(
                ends_ms, lambda at: self._ended(request, placed, outcome, now_ms, at)
            )
        first = request.attempts_reached == 0
        request.attempts_reached += outcome.may_have_run
        if first and request.route_load.idempotent and request.route_load.attempts > 1:
            hedge_ms = now_ms + placed.hedge_after_ms
            if hedge_ms < request.ends_ms:
                self._at(hedge_ms, lambda at: self._hedge(request, at))

    def _slowdown_factor(self, target: int, now_ms: float) -> float:
        slowdown = self._scenario.slowdown
        if slowdown is None or self._running[target] < self._scenario.slots:
            return 1.0
        return slowdown.factor if slowdown.applies(target, now_ms) else 1.0

    def _run_shared(
        self,
        request: _Request,
        placed: PlacementGranted,
        outcome: AttemptOutcome,
        work_ms: float,
        now_ms: float,
    ) -> None:
        target = int(placed.target.identity)
        work = self._shared[target]
        self._running[target] -= 1
        work.advance(self._slowdown_factor(target, now_ms), now_ms)
        self._running[target] += 1
        work.left_ms[placed.grant] = work_ms
        self._shared_ends[placed.grant] = lambda is_over, at: self._ended(
            request, placed, AttemptOutcome.SILENT if is_over else outcome, now_ms, at
        )
        self._at(
            request.ends_ms,
            lambda at: self._end_shared(target, placed.grant, True, at),
        )
        self._schedule_shared(target, now_ms)

    def _schedule_shared(self, target: int, now_ms: float) -> None:
        work = self._shared[target]
        if not work.left_ms:
            return
        version = work.version
        first = min(work.left_ms, key=work.left_ms.__getitem__)
        factor = self._slowdown_factor(target, now_ms)

        def finish(at_ms: float) -> None:
            if work.version == version:
                self._end_shared(target, first, False, at_ms)

        self._at(now_ms + max(0.0, work.left_ms[first]) * factor, finish)

    def _end_shared(
        self, target: int, grant: int, is_over: bool, now_ms: float
    ) -> None:
        work = self._shared[target]
        if grant not in work.left_ms:
            return
        work.advance(self._slowdown_factor(target, now_ms), now_ms)
        del work.left_ms[grant]
        ends = self._shared_ends.pop(grant)
        # Ending the attempt may start the next one here, which advances the work again.
        ends(is_over, now_ms)
        self._schedule_shared(target, now_ms)

    def _hedge(self, request: _Request, now_ms: float) -> None:
        if request.done or request.running != 1:
            return
        sent = len(request.tried)
        self._request_placement(request, True, now_ms, hedge=True)
        next_hedge_ms = now_ms + HEDGE_RETRY_MS
        if len(request.tried) == sent and next_hedge_ms < request.ends_ms:
            self._at(next_hedge_ms, lambda at: self._hedge(request, at))

    def _attempt_result(
        self, request: _Request, target: int, now_ms: float
    ) -> tuple[AttemptOutcome, float]:
        paths = self._scenario.paths
        if paths is not None and self._path_plan.loses(
            request.entry, target, now_ms, self._rng.random()
        ):
            return AttemptOutcome.UNREACHED, paths.connect_ms
        return self._run_attempt(target, request.route_load, now_ms)

    def _run_attempt(
        self, target: int, route_load: RouteLoad, now_ms: float
    ) -> tuple[AttemptOutcome, float]:
        work_ms = route_load.draw_ms(self._rng)
        if self._scenario.rare_long_fraction:
            long = self._rng.random() < self._scenario.rare_long_fraction
            work_ms *= RARE_LONG_FACTOR if long else 1.0
        work_ms *= self._scenario.speeds[target % len(self._scenario.speeds)]
        gray = self._scenario.gray
        failed = self._rng.random() < route_load.error_fraction
        if gray is not None and self._gray_plan.is_gray(target, now_ms):
            if self._rng.random() >= gray.failure_fraction:
                return AttemptOutcome.ANSWERED, work_ms
            if gray.outcome is AttemptOutcome.ANSWERED:
                return AttemptOutcome.ANSWERED, work_ms * gray.slow
            if gray.outcome is AttemptOutcome.SILENT:
                return AttemptOutcome.SILENT, math.inf
            spans = {AttemptOutcome.ERROR: work_ms}
            return gray.outcome, spans.get(gray.outcome, BROKEN_AFTER_MS)
        return (AttemptOutcome.ERROR if failed else AttemptOutcome.ANSWERED), work_ms

    def _ended(
        self,
        request: _Request,
        placed: PlacementGranted,
        outcome: AttemptOutcome,
        began_ms: float,
        now_ms: float,
    ) -> None:
        request.running -= 1
        self._running[int(placed.target.identity)] -= 1
        if request.done:
            outcome = AttemptOutcome.ABANDONED
        self.placer.ended(
            placed.target.identity,
            placed.grant,
            outcome,
            request.entry,
            now_ms - began_ms,
            now_ms,
        )
        self._serve_queued(now_ms)
        if request.done:
            return
        if outcome is AttemptOutcome.ANSWERED:
            self._answered(request, now_ms)
        elif self._may_retry(request, outcome, now_ms):
            self._request_placement(
                request,
                request.attempts_reached > 0 or outcome is AttemptOutcome.SHED,
                now_ms,
            )
        elif not request.running:
            request.done = True
            self._count_unanswered(request, outcome)

    def _count_unanswered(self, request: _Request, outcome: AttemptOutcome) -> None:
        tally = self.tallies[request.route_load.name]
        if not outcome.may_have_run and not request.attempts_reached:
            tally.refused += 1
        else:
            tally.lost += 1

    def _answered(self, request: _Request, now_ms: float) -> None:
        request.done = True
        tally = self.tallies[request.route_load.name]
        latency_ms = now_ms - request.began_ms
        tally.latencies_ms.append(latency_ms)
        if latency_ms <= request.route_load.aim_ms:
            tally.on_time += 1
        else:
            tally.late += 1

    def _may_retry(
        self, request: _Request, outcome: AttemptOutcome, now_ms: float
    ) -> bool:
        if now_ms >= request.ends_ms or request.running:
            return False
        if not outcome.may_have_run:
            return len(request.tried) < MAX_TARGETS_TRIED
        return (
            request.route_load.idempotent
            and request.attempts_reached < request.route_load.attempts
        )
