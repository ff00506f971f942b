"""Play the requests of one service in virtual time, from their asking to their end.

The real placer decides; entries, targets and faults are played. Entries hedge and
repeat as the product's do. All time is virtual and every run is seeded.
"""

import heapq
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

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
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.ids import DomainId, HostId, ServiceId

BROKEN_AFTER_MS: Final = 1.0
TARGETS_TRIED_MAX: Final = 4
SETTLE_MS: Final = 20.0
HEDGE_AGAIN_MS: Final = 150.0
FLOOR_SHARE: Final = 0.7


@dataclass(frozen=True)
class Work:
    """Describe the requests of one route."""

    name: str
    idempotent: bool
    rate_per_s: float
    work_ms: float
    spread: float
    aim_ms: float
    deadline_ms: float
    error_share: float = 0.012
    priority: int = 1
    attempts: int = 2
    from_ms: float = 0.0
    until_ms: float = math.inf

    def draw_ms(self, draw: random.Random) -> float:
        """Return how long one request works, log-normally distributed."""
        sigma = math.sqrt(math.log(1.0 + self.spread**2))
        return self.work_ms * draw.lognormvariate(-(sigma**2) / 2, sigma)


@dataclass(frozen=True)
class Gray:
    """Say how often targets turn gray, for how long, and what they then do.

    A target is drawn with a chance of `share` in each period. It is gray for a time
    between the two bounds, and then fails a part of its requests by `ending`. Of
    ``ANSWERED`` that means that they take `slow` times as long.
    """

    share: float
    period_ms: float
    shortest_ms: float
    longest_ms: float
    fails: float
    ending: AttemptOutcome
    slow: float = 8.0


@dataclass(frozen=True)
class BadPaths:
    """Say which share of the pairs of entry and target lose connections, and how many.

    A pair is drawn once. A connection that is lost is given up after a time.
    """

    share: float
    loses: float
    from_ms: float = 10_000.0
    until_ms: float = 40_000.0
    connect_ms: float = 300.0


@dataclass(frozen=True)
class Site:
    """Describe one service and the load on it."""

    targets: int
    slots: int
    works: Sequence[Work]
    gray: Gray | None = None
    paths: BadPaths | None = None
    domains: int = 3
    entries: int = 48
    length_ms: float = 60_000.0
    budget_ratio: float = 0.2
    budget_extra: float = 64.0


@dataclass
class Tally:
    """Count how the requests of one route ended."""

    asked: int = 0
    in_aim: int = 0
    late: int = 0
    lost: int = 0
    refused: int = 0
    sendings: int = 0
    far: int = 0
    latencies_ms: list[float] = field(default_factory=list)

    @property
    def served(self) -> float:
        """Return the share that was answered."""
        return (self.in_aim + self.late) / max(1, self.asked)

    @property
    def lost_share(self) -> float:
        """Return the share that neither was answered nor heard that it did not run."""
        return self.lost / max(1, self.asked)

    def credit(self, late_worth: float = 0.3) -> float:
        """Return the worth of the answers, where a late one has a part of it."""
        return (self.in_aim + late_worth * self.late) / max(1, self.asked)


@dataclass
class _Request:
    work: Work
    entry: HostId
    domain: DomainId
    began_ms: float
    ends_ms: float
    tried: set[TargetIdentity] = field(default_factory=set)
    arrived: int = 0
    running: int = 0
    done: bool = False


@dataclass(order=True)
class _Event:
    at_ms: float
    number: int
    act: Callable[[float], None] = field(compare=False)


class GrayPlan:
    """Draw once when each target is gray."""

    def __init__(self, site: Site, draw: random.Random) -> None:
        self._windows: list[list[tuple[float, float]]] = [
            [] for _ in range(site.targets)
        ]
        gray = site.gray
        if gray is None:
            return
        for windows in self._windows:
            period_began_ms = -draw.uniform(0.0, gray.period_ms)
            while period_began_ms < site.length_ms:
                if draw.random() < gray.share:
                    span_ms = draw.uniform(gray.shortest_ms, gray.longest_ms)
                    latest_ms = max(0.0, gray.period_ms - span_ms)
                    at_ms = period_began_ms + draw.uniform(0.0, latest_ms)
                    windows.append((at_ms, at_ms + span_ms))
                period_began_ms += gray.period_ms

    def gray(self, target: int, at_ms: float) -> bool:
        """Return True if the target is gray at a moment."""
        return any(begin <= at_ms < end for begin, end in self._windows[target])


class PathPlan:
    """Draw once which entries lose connections to which targets."""

    def __init__(self, site: Site, draw: random.Random) -> None:
        self._paths = site.paths
        share = 0.0 if site.paths is None else site.paths.share
        self._bad = {
            (str(entry), target)
            for entry in range(site.entries)
            for target in range(site.targets)
            if draw.random() < share
        }

    def loses(self, entry: HostId, target: int, at_ms: float, draw: float) -> bool:
        """Return True if a connection is lost, by a draw from [0, 1)."""
        paths = self._paths
        if paths is None or not paths.from_ms <= at_ms < paths.until_ms:
            return False
        return (entry, target) in self._bad and draw < paths.loses


class PlacingTrial:
    """Play one service under one load with one seed."""

    def __init__(
        self,
        site: Site,
        seed: int,
        oracle: bool = False,
        policies: Policies = ALL_POLICIES,
    ) -> None:
        self._site = site
        self._draw = random.Random(seed)
        self._plan = GrayPlan(site, random.Random(seed + 1))
        self._paths = PathPlan(site, random.Random(seed + 2))
        self._oracle = oracle
        self._events: list[_Event] = []
        self._number = 0
        self._held: list[tuple[_Request, QueuedRequest, bool]] = []
        self._budget = RetryBudget(site.budget_ratio, site.budget_extra, 10_000.0)
        # It is the only placer that the service ever had.
        self._budget.set_known_since(-math.inf)
        self.placer = ServicePlacer(FLOOR_SHARE, self._budget, policies)
        self.placer.set_targets(self._listed(), 0.0)
        self.tallies = {work.name: Tally() for work in site.works}

    def _listed(self) -> list[ListedTarget]:
        return [
            ListedTarget(
                TargetIdentity(str(number)),
                ServiceId("service"),
                f"host-{number}:80",
                DomainId(str(number % self._site.domains)),
                self._site.slots,
                Readiness.READY,
            )
            for number in range(self._site.targets)
        ]

    def run(self) -> dict[str, Tally]:
        """Return how the requests of each route ended."""
        for work in self._site.works:
            self._plan_arrival(work, work.from_ms)
        self._at(SETTLE_MS, self._settle)
        while self._events:
            event = heapq.heappop(self._events)
            event.act(event.at_ms)
        return self.tallies

    def _at(self, at_ms: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, _Event(at_ms, self._number, act))

    def _settle(self, now_ms: float) -> None:
        self.placer.process_due(now_ms)
        self._serve_held(now_ms)
        if now_ms < self._site.length_ms:
            self._at(now_ms + SETTLE_MS, self._settle)

    def _plan_arrival(self, work: Work, now_ms: float) -> None:
        at_ms = now_ms + self._draw.expovariate(work.rate_per_s / 1e3)
        if at_ms < min(work.until_ms, self._site.length_ms):
            self._at(at_ms, lambda at: self._arrive(work, at))

    def _arrive(self, work: Work, now_ms: float) -> None:
        self._plan_arrival(work, now_ms)
        entry = self._draw.randrange(self._site.entries)
        domain = DomainId(str(entry % self._site.domains))
        ends_ms = now_ms + work.deadline_ms
        request = _Request(work, HostId(str(entry)), domain, now_ms, ends_ms)
        self.tallies[work.name].asked += 1
        self._ask(request, False, now_ms)

    def _ask(
        self, request: _Request, retry: bool, now_ms: float, hedge: bool = False
    ) -> None:
        work = request.work
        spent_ms = now_ms - request.began_ms
        placement_request = PlacementRequest(
            sender=request.entry,
            domain=request.domain,
            route=work.name,
            idempotent=work.idempotent,
            priority=work.priority,
            aim_ms=max(0.0, work.aim_ms - spent_ms),
            deadline_ms=request.ends_ms,
            retry=retry,
            hedge=hedge,
            excluded=frozenset(request.tried) | self._known_gray(now_ms),
        )
        answer = self.placer.request_placement(placement_request, now_ms)
        if isinstance(answer, QueuedRequest):
            self._held.append((request, answer, retry))
        else:
            self._follow(request, answer, now_ms)

    def _known_gray(self, now_ms: float) -> frozenset[TargetIdentity]:
        if not self._oracle:
            return frozenset()
        return frozenset(
            TargetIdentity(str(number))
            for number in range(self._site.targets)
            if self._plan.gray(number, now_ms)
        )

    def _serve_held(self, now_ms: float) -> None:
        held, self._held = self._held, []
        for request, waiting, retry in held:
            if waiting.settled is None:
                self._held.append((request, waiting, retry))
            else:
                self._follow(request, waiting.settled, now_ms)

    def _follow(
        self,
        request: _Request,
        answer: PlacementGranted | PlacementRefused,
        now_ms: float,
    ) -> None:
        if isinstance(answer, PlacementGranted):
            self._send(request, answer, now_ms)
        elif not request.running and not request.done:
            request.done = True
            tally = self.tallies[request.work.name]
            if request.arrived:
                tally.lost += 1
            else:
                tally.refused += 1

    def _send(self, request: _Request, placed: PlacementGranted, now_ms: float) -> None:
        target = placed.target.identity
        tally = self.tallies[request.work.name]
        tally.sendings += 1
        tally.far += placed.target.domain != request.domain
        request.tried.add(target)
        request.running += 1
        ending, span_ms = self._outcome(request, int(target), now_ms)
        ends_ms = min(now_ms + span_ms, request.ends_ms)
        if ends_ms < now_ms + span_ms:
            ending = AttemptOutcome.SILENT
        self._at(ends_ms, lambda at: self._ended(request, placed, ending, now_ms, at))
        first = request.arrived == 0
        request.arrived += ending not in (AttemptOutcome.SHED, AttemptOutcome.UNREACHED)
        if first and request.work.idempotent and request.work.attempts > 1:
            hedge_ms = now_ms + placed.hedge_after_ms
            if hedge_ms < request.ends_ms:
                self._at(hedge_ms, lambda at: self._hedge(request, at))

    def _hedge(self, request: _Request, now_ms: float) -> None:
        if request.done or request.running != 1:
            return
        sent = len(request.tried)
        self._ask(request, True, now_ms, hedge=True)
        again_ms = now_ms + HEDGE_AGAIN_MS
        if len(request.tried) == sent and again_ms < request.ends_ms:
            self._at(again_ms, lambda at: self._hedge(request, at))

    def _outcome(
        self, request: _Request, target: int, now_ms: float
    ) -> tuple[AttemptOutcome, float]:
        paths = self._site.paths
        if paths is not None and self._paths.loses(
            request.entry, target, now_ms, self._draw.random()
        ):
            return AttemptOutcome.UNREACHED, paths.connect_ms
        return self._play(target, request.work, now_ms)

    def _play(
        self, target: int, work: Work, now_ms: float
    ) -> tuple[AttemptOutcome, float]:
        work_ms = work.draw_ms(self._draw)
        gray = self._site.gray
        failed = self._draw.random() < work.error_share
        if gray is not None and self._plan.gray(target, now_ms):
            if self._draw.random() >= gray.fails:
                return AttemptOutcome.ANSWERED, work_ms
            if gray.ending is AttemptOutcome.ANSWERED:
                return AttemptOutcome.ANSWERED, work_ms * gray.slow
            if gray.ending is AttemptOutcome.SILENT:
                return AttemptOutcome.SILENT, math.inf
            spans = {AttemptOutcome.ERROR: work_ms}
            return gray.ending, spans.get(gray.ending, BROKEN_AFTER_MS)
        return (AttemptOutcome.ERROR if failed else AttemptOutcome.ANSWERED), work_ms

    def _ended(
        self,
        request: _Request,
        placed: PlacementGranted,
        ending: AttemptOutcome,
        began_ms: float,
        now_ms: float,
    ) -> None:
        request.running -= 1
        if request.done:
            ending = AttemptOutcome.ABANDONED
        self.placer.ended(
            placed.target.identity,
            placed.grant,
            ending,
            request.entry,
            now_ms - began_ms,
            now_ms,
        )
        self._serve_held(now_ms)
        if request.done:
            return
        if ending is AttemptOutcome.ANSWERED:
            self._answered(request, now_ms)
        elif self._again(request, ending, now_ms):
            self._ask(
                request, request.arrived > 0 or ending is AttemptOutcome.SHED, now_ms
            )
        elif not request.running:
            request.done = True
            self._count_unanswered(request, ending)

    def _count_unanswered(self, request: _Request, ending: AttemptOutcome) -> None:
        tally = self.tallies[request.work.name]
        if (
            ending in (AttemptOutcome.SHED, AttemptOutcome.UNREACHED)
            and not request.arrived
        ):
            tally.refused += 1
        else:
            tally.lost += 1

    def _answered(self, request: _Request, now_ms: float) -> None:
        request.done = True
        tally = self.tallies[request.work.name]
        latency_ms = now_ms - request.began_ms
        tally.latencies_ms.append(latency_ms)
        if latency_ms <= request.work.aim_ms:
            tally.in_aim += 1
        else:
            tally.late += 1

    def _again(self, request: _Request, ending: AttemptOutcome, now_ms: float) -> bool:
        if now_ms >= request.ends_ms or request.running:
            return False
        if ending in (AttemptOutcome.SHED, AttemptOutcome.UNREACHED):
            return len(request.tried) < TARGETS_TRIED_MAX
        return request.work.idempotent and request.arrived < request.work.attempts
