"""Send requests through a virtual fleet and record what reaches its targets."""

import asyncio
import random
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, cast

from multidict import CIMultiDict

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.configuration import RequestKind, RouteRule, WeightedService
from crocusspindle.core.departure import Departure
from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_signals import NO_SIGNALS, TargetSignals
from crocusspindle.gateway.attempt_runner import AttemptRunner
from crocusspindle.gateway.hand_over import HandOver
from crocusspindle.gateway.paths import Paths
from crocusspindle.gateway.placing import Placing
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import Refusal
from crocusspindle.gateway.settings import Bounds
from crocusspindle.gateway.target_client import (
    AttemptResult,
    OutgoingRequest,
    TargetClient,
)
from crocusspindle.ids import NO_CONTENT, HostId, ServiceId
from crocusspindle.metrics import Metrics
from crocusspindle_standins.virtual.fleet import Node, VirtualFleet

CONNECT_S: Final = 0.003
CONNECT_TIMEOUT_S: Final = 0.3
SHED_S: Final = 0.001


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Describe the requests for one service."""

    service: ServiceId
    rate_per_s: float
    work_ms: float = 210.0
    aim_ms: float = 1_084.0
    timeout_ms: float = 4_337.0
    kind: RequestKind = RequestKind.UNSAFE
    attempts: int = 2

    def route(self) -> RouteRule:
        """Return the route of the requests."""
        return RouteRule(
            "route",
            "host.example",
            "/",
            self.kind,
            (WeightedService(self.service, 1.0),),
            self.timeout_ms,
            self.aim_ms,
            self.attempts,
        )


@dataclass(frozen=True, slots=True)
class BackedOff:
    """Record that a target refused a host's request with Retry-After, and when."""

    host: HostId
    target: TargetIdentity
    from_ms: float
    until_ms: float


class Arrivals:
    """Record when requests are sent by callers and when they arrive at targets."""

    def __init__(self) -> None:
        self.sent_ms: dict[ServiceId, list[float]] = defaultdict(list)
        self.repeated_ms: dict[ServiceId, list[float]] = defaultdict(list)
        self.outcomes: Counter[str] = Counter()
        self.at_target_ms: dict[TargetIdentity, list[float]] = defaultdict(list)
        self.from_host_ms: dict[tuple[HostId, TargetIdentity], list[float]] = (
            defaultdict(list)
        )
        self.backoffs: list[BackedOff] = []
        self._arrived: set[str] = set()

    def arrived(self, target: ListedTarget, request_id: str, sender: HostId) -> None:
        """Record that an attempt of a request reaches a target."""
        self.at_target_ms[target.identity].append(now_ms())
        self.from_host_ms[sender, target.identity].append(now_ms())
        if request_id in self._arrived:
            self.repeated_ms[target.service].append(now_ms())
        self._arrived.add(request_id)

    def count_in_backoffs(self) -> int:
        """Return how many arrivals came from a host that had to back off."""
        return sum(
            backoff.from_ms < at_ms < backoff.until_ms
            for backoff in self.backoffs
            for at_ms in self.from_host_ms[backoff.host, backoff.target]
        )

    def max_at_targets(self, since_ms: float, length_ms: float) -> int:
        """Return the most arrivals at one target in a window that begins later."""
        return max(
            _count(times_ms, start_ms, length_ms)
            for times_ms in self.at_target_ms.values()
            for start_ms in [since_ms, *times_ms]
            if start_ms >= since_ms
        )

    def max_excess(self, service: ServiceId, bounds: Bounds) -> float:
        """Return by how many repeated arrivals the worst window exceeds the budget.

        The requests are those of the window, of the one before it, or of the one half
        a window before it, whichever has most.
        """
        sent_ms, repeated_ms = self.sent_ms[service], self.repeated_ms[service]
        length_ms = bounds.budget_window_ms

        def excess(start_ms: float) -> float:
            requests = max(
                _count(sent_ms, start_ms - before * length_ms, length_ms)
                for before in (0.0, 0.5, 1.0)
            )
            allowed = bounds.budget_ratio * requests + bounds.budget_extra
            return _count(repeated_ms, start_ms, length_ms) - allowed

        return max(map(excess, repeated_ms), default=-bounds.budget_extra)


def _count(times_ms: list[float], start_ms: float, length_ms: float) -> int:
    return bisect_left(times_ms, start_ms + length_ms) - bisect_left(times_ms, start_ms)


class VirtualTargets:
    """Run requests for their work time on targets with limited slots.

    ``refused_share`` is the share of requests that a target refuses, by service, and
    ``lost_share`` that of connections that time out. ``limit_per_s`` is the rate limit
    that each target of a service reports. Targets with a ``retry_after_ms`` refuse all
    requests with it.
    """

    def __init__(self, arrivals: Arrivals, rng: random.Random) -> None:
        self._arrivals = arrivals
        self._rng = rng
        self._running: Counter[TargetIdentity] = Counter()
        self.refused_share: dict[ServiceId, float] = defaultdict(float)
        self.lost_share: dict[ServiceId, float] = defaultdict(float)
        self.limit_per_s: dict[ServiceId, float] = {}
        self.retry_after_ms: dict[TargetIdentity, float] = {}
        self.work_ms = 210.0

    async def run(
        self,
        target: ListedTarget,
        request_id: str,
        sender: HostId,
        may_send: Callable[[ListedTarget], bool],
    ) -> AttemptOutcome:
        """Run one attempt and return its outcome."""
        if self._rng.random() < self.lost_share[target.service]:
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return AttemptOutcome.UNREACHED
        await asyncio.sleep(CONNECT_S)
        if not may_send(target):
            return AttemptOutcome.WITHHELD
        self._arrivals.arrived(target, request_id, sender)
        refuses = self._rng.random() < self.refused_share[target.service]
        if target.identity in self.retry_after_ms:
            return await self._refuse_with_retry_after(target.identity, sender)
        if refuses or self._running[target.identity] >= target.slots:
            await asyncio.sleep(SHED_S)
            return AttemptOutcome.SHED
        self._running[target.identity] += 1
        try:
            await asyncio.sleep(self._rng.expovariate(1e3 / self.work_ms))
        finally:
            self._running[target.identity] -= 1
        return AttemptOutcome.ANSWERED

    async def _refuse_with_retry_after(
        self, target: TargetIdentity, sender: HostId
    ) -> AttemptOutcome:
        await asyncio.sleep(SHED_S)
        from_ms = now_ms()
        until_ms = from_ms + self.retry_after_ms[target]
        backoff = BackedOff(sender, target, from_ms, until_ms)
        self._arrivals.backoffs.append(backoff)
        return AttemptOutcome.SHED


class _VirtualClient:
    """Send the requests of one host to virtual targets."""

    def __init__(
        self, targets: VirtualTargets, sender: HostId, placing: Placing
    ) -> None:
        self._targets = targets
        self._sender = sender
        self._placing = placing

    async def send(
        self, target: ListedTarget, outgoing: OutgoingRequest, deadline_ms: float
    ) -> AttemptResult:
        began_ms = now_ms()
        try:
            async with asyncio.timeout(remaining_s(deadline_ms)):
                outcome = await self._targets.run(
                    target, outgoing.request_id, self._sender, self._placing.may_send
                )
        except TimeoutError:
            outcome = AttemptOutcome.SILENT
        signals = NO_SIGNALS
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.SHED):
            limit_per_s = self._targets.limit_per_s.get(target.service)
            retry_after_ms = None
            if outcome is AttemptOutcome.SHED:
                retry_after_ms = self._targets.retry_after_ms.get(target.identity)
            signals = TargetSignals(limit_per_s, retry_after_ms)
            self._placing.record_signals(target, signals)
        return AttemptResult(outcome, now_ms() - began_ms, signals=signals)


class _WorkingPaths(Paths):
    def record(
        self, target: ListedTarget, outcome: AttemptOutcome, began_ms: float
    ) -> None:
        """Ignore the outcome: no path is lost, and probes would need sockets."""


class Callers:
    """Send requests to random hosts of a fleet."""

    def __init__(self, fleet: VirtualFleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(f"callers {seed}")
        self.arrivals = Arrivals()
        self.targets = VirtualTargets(self.arrivals, self._rng)
        self._runners: dict[Node, AttemptRunner] = {}
        self._tasks: dict[Node, set[asyncio.Task[None]]] = defaultdict(set)
        self._last_request = 0
        self.factor = 1.0

    async def send(self, load: ServiceLoad, for_s: float) -> None:
        """Send requests at a rate, at random times."""
        until_ms = now_ms() + for_s * 1e3
        route = load.route()
        while now_ms() < until_ms:
            rate_per_s = load.rate_per_s * self.factor
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            names = sorted(self._fleet.nodes)
            if not names:
                continue
            node = self._fleet.nodes[self._rng.choice(names)]
            self.arrivals.sent_ms[load.service].append(now_ms())
            runner = self._runners.get(node) or await self._runner_of(node)
            self._last_request += 1
            context = _context(f"{self._last_request}", route)
            task = asyncio.create_task(self._run(runner, context))
            self._tasks[node].add(task)
            task.add_done_callback(self._tasks[node].discard)

    async def kill(self, name: str) -> None:
        """Kill the process on a host, and with it the requests it serves."""
        node = self._fleet.nodes[name]
        tasks = list(self._tasks.pop(node, ()))
        for task in tasks:
            task.cancel()
        await self._fleet.kill(name)

    async def _run(self, runner: AttemptRunner, context: RequestContext) -> None:
        try:
            result = await runner.send(context)
            self.arrivals.outcomes[result.outcome.value] += 1
        except Refusal as refusal:
            self.arrivals.outcomes[refusal.reason] += 1

    async def _runner_of(self, node: Node) -> AttemptRunner:
        rng = random.Random(self._rng.random())
        metrics = Metrics(node.address.host, node.address.domain)
        placing = Placing(
            node.exchange, node.placers, rng, node.crashes, LiveBounds(Bounds())
        )
        runner = AttemptRunner(
            node.address,
            cast(
                TargetClient, _VirtualClient(self.targets, node.address.host, placing)
            ),
            placing,
            _WorkingPaths(node.placers, metrics, rng),
            cast(HandOver, None),
            Policies(frozenset({Policy.HAND_OVER})),
            metrics,
            rng,
            Departure(),
        )
        await placing.start()
        self._runners[node] = runner
        return runner


def _context(request_id: str, route: RouteRule) -> RequestContext:
    headers: CIMultiDict[Any] = CIMultiDict()
    outgoing = OutgoingRequest(request_id, "POST", "/", headers, b"")
    began_ms = now_ms()
    return RequestContext(
        request_id,
        route,
        None,
        outgoing,
        NO_CONTENT,
        began_ms,
        began_ms + route.timeout_ms,
    )
