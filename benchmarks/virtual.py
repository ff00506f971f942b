"""Drive the deciding code of a group coordinator in virtual time.

Provides an event loop, targets that run, shed, fail, slow down or stop answering, and a
driver that executes a coordinator's decisions. Everything is seeded: runs give the same
figures on any machine.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from heapq import heappop, heappush
from itertools import count

from crocusspindle.core.group_coordinator import (
    Arrival,
    AttemptEnd,
    Cancel,
    Decision,
    Dispatch,
    Fail,
    Finish,
    GroupCoordinator,
    Outcome,
)
from crocusspindle.core.model import Target
from crocusspindle.ids import (
    AttemptId,
    CustomerId,
    DomainId,
    RequestId,
    ServiceId,
    TargetId,
)


class EventLoop:
    """Run callbacks in order of their virtual times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def at(self, when_ms: float, callback: Callable[[], None]) -> None:
        """Schedule the callback at a time, or now if that has passed."""
        due_ms = max(when_ms, self.now_ms)
        heappush(self._heap, (due_ms, next(self._sequence), callback))

    def after(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule the callback after a delay."""
        self.at(self.now_ms + delay_ms, callback)

    def run(self, until_ms: float = float("inf")) -> None:
        """Run callbacks until none remains or the time is reached."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, callback = heappop(self._heap)
            callback()


class Verdict(Enum):
    """Name the result of a request for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, eq=False)
class Job:
    """Hold one request as seen by its caller."""

    request: RequestId
    customer: CustomerId
    arrived_ms: float
    deadline_ms: float
    work_ms: float
    weight: float = 1.0
    idempotent: bool = True
    verdict: Verdict | None = None
    answered_ms: float = 0.0
    work_began_ms: float | None = None
    retry_at_ms: float = 0.0
    sent: int = 0
    executions: int = 0
    done: Callable[["Job"], None] | None = None

    @property
    def in_time(self) -> bool:
        """Return True if the caller got its answer before the deadline."""
        answered = self.verdict is Verdict.ANSWERED
        return answered and self.answered_ms <= self.deadline_ms

    @property
    def wait_ms(self) -> float:
        """Return the time from arrival until the request first began to run."""
        assert self.work_began_ms is not None
        return self.work_began_ms - self.arrived_ms


@dataclass(slots=True, eq=False)
class _Work:
    job: Job
    report: Callable[[AttemptEnd], None]
    finished: bool = False


@dataclass(slots=True, eq=False)
class VirtualTarget:
    """Run requests on a number of slots, with the faults that the fields name."""

    loop: EventLoop
    target: Target
    slots: int
    rng: random.Random
    queues_inside: bool = False
    slowness: float = 1.0
    fail_fraction: float = 0.0
    mute: bool = False
    overruns: int = 0
    busy: int = 0
    executions: int = 0
    waiting: deque[_Work] = field(default_factory=deque)

    def accept(self, job: Job, report: Callable[[AttemptEnd], None]) -> _Work:
        """Begin, queue or shed a request; ``report`` is called with how it ended."""
        work = _Work(job, report)
        if self.busy < self.slots:
            self._begin(work)
            return work
        self.overruns += 1
        if self.queues_inside:
            self.waiting.append(work)
        else:
            work.finished = True
            report(AttemptEnd.SHED)
        return work

    def cancel(self, work: _Work) -> None:
        """Cancel a queued or running request and free its slot."""
        if work in self.waiting:
            self.waiting.remove(work)
        elif not work.finished:
            work.finished = True
            self._free()

    def _begin(self, work: _Work) -> None:
        self.busy += 1
        self.executions += 1
        work.job.executions += 1
        if work.job.work_began_ms is None:
            work.job.work_began_ms = self.loop.now_ms
        if not self.mute:
            fails = self.rng.random() < self.fail_fraction
            end = AttemptEnd.FAILED if fails else AttemptEnd.ANSWERED
            work_ms = work.job.work_ms * self.slowness
            self.loop.after(work_ms, lambda: self._end(work, end))

    def _end(self, work: _Work, end: AttemptEnd) -> None:
        if work.finished:
            return
        work.finished = True
        self._free()
        work.report(end)

    def _free(self) -> None:
        self.busy -= 1
        assert self.busy >= 0, "a slot was freed twice"
        if self.waiting:
            self._begin(self.waiting.popleft())


@dataclass(slots=True, eq=False)
class _Attempt:
    job: Job
    sent_ms: float
    target: VirtualTarget
    work: _Work | None = None
    finished: bool = False


class CoordinatorDriver:
    """Execute a coordinator's decisions on virtual targets."""

    def __init__(
        self,
        loop: EventLoop,
        coordinator: GroupCoordinator,
        targets: Iterable[VirtualTarget],
        entry_hop_ms: float = 0.0,
        target_hop_ms: float = 0.0,
    ) -> None:
        self._loop = loop
        self.coordinator = coordinator
        self.targets = {each.target.target: each for each in targets}
        self._entry_hop_ms = entry_hop_ms
        self._target_hop_ms = target_hop_ms
        self._jobs: dict[RequestId, Job] = {}
        self._sent: dict[AttemptId, _Attempt] = {}
        self._tick_at_ms: float | None = None
        coordinator.set_targets(
            [each.target for each in self.targets.values()], loop.now_ms
        )

    def submit(self, jobs: Iterable[Job]) -> None:
        """Schedule the arrival of each job."""
        for job in jobs:
            self._loop.at(
                job.arrived_ms + self._entry_hop_ms,
                partial(self._arrive, job),
            )

    def _arrive(self, job: Job) -> None:
        self._jobs[job.request] = job
        arrival = Arrival(
            request=job.request,
            customer=job.customer,
            weight=job.weight,
            deadline_ms=job.deadline_ms - self._entry_hop_ms,
            idempotent=job.idempotent,
            may_hedge=job.idempotent,
        )
        self.carry_out(self.coordinator.arrive(arrival, self._loop.now_ms))

    def carry_out(self, decisions: Iterable[Decision]) -> None:
        """Execute decisions and schedule the coordinator's next tick."""
        for decision in decisions:
            if isinstance(decision, Dispatch):
                self._dispatch(decision)
            elif isinstance(decision, Cancel):
                self._cancel(decision.attempt)
            else:
                self._answer(decision)
        due_ms = self.coordinator.next_tick_ms()
        if due_ms is not None and (self._tick_at_ms or float("inf")) > due_ms:
            self._tick_at_ms = due_ms
            self._loop.at(due_ms, lambda: self._tick(due_ms))

    def _tick(self, due_ms: float) -> None:
        if self._tick_at_ms != due_ms:
            return
        self._tick_at_ms = None
        self.carry_out(self.coordinator.tick(self._loop.now_ms))

    def _dispatch(self, decision: Dispatch) -> None:
        job = self._jobs[decision.request]
        job.sent += 1
        attempt = decision.attempt
        sent = _Attempt(job, self._loop.now_ms, self.targets[decision.target])
        self._sent[attempt] = sent
        self._loop.after(self._target_hop_ms, lambda: self._deliver(attempt, sent))
        self._loop.at(decision.deadline_ms, lambda: self._time_out(attempt, sent))

    def _deliver(self, attempt: AttemptId, sent: _Attempt) -> None:
        if sent.finished:
            return

        def report(end: AttemptEnd) -> None:
            self._loop.after(
                self._target_hop_ms, lambda: self._ended(attempt, sent, end)
            )

        sent.work = sent.target.accept(sent.job, report)

    def _ended(self, attempt: AttemptId, sent: _Attempt, end: AttemptEnd) -> None:
        if sent.finished:
            return
        sent.finished = True
        self._sent.pop(attempt, None)
        now_ms = self._loop.now_ms
        latency_ms = now_ms - sent.sent_ms
        self.carry_out(self.coordinator.ended(attempt, end, latency_ms, now_ms))

    def _time_out(self, attempt: AttemptId, sent: _Attempt) -> None:
        if not sent.finished:
            self._cancel(attempt)

    def _cancel(self, attempt: AttemptId) -> None:
        sent = self._sent.pop(attempt, None)
        if sent is None:
            return  # already cancelled; its end is scheduled
        if sent.work is not None:
            sent.target.cancel(sent.work)
        self._loop.after(0.0, lambda: self._ended(attempt, sent, AttemptEnd.SILENT))

    def _answer(self, decision: Decision) -> None:
        assert not isinstance(decision, Dispatch | Cancel)
        job = self._jobs.pop(decision.request)
        job.answered_ms = self._loop.now_ms + self._entry_hop_ms
        if isinstance(decision, Finish):
            job.verdict = Verdict.ANSWERED
        else:
            job.retry_at_ms = decision.retry_at_ms
            job.verdict = Verdict.REFUSED
        if isinstance(decision, Fail):
            not_run = decision.outcome is Outcome.NOT_RUN
            job.verdict = Verdict.NOT_RUN if not_run else Verdict.UNKNOWN
        if job.done is not None:
            job.done(job)


class ConstantTargetWeights:
    """Give all targets full weight and no trials."""

    def weight(self, target: TargetId, now_ms: float) -> float:
        """Return 1."""
        return 1.0

    def needs_trial(self, target: TargetId, now_ms: float) -> bool:
        """Return False."""
        return False


def make_targets(
    loop: EventLoop, number: int, slots: int, rng: random.Random
) -> list[VirtualTarget]:
    """Return healthy targets spread over four failure domains."""
    return [
        VirtualTarget(
            loop,
            Target(
                TargetId(f"10.0.0.{index}:80"),
                ServiceId("katalog"),
                DomainId(f"domain-{index % 4}"),
                slots,
            ),
            slots,
            rng,
        )
        for index in range(number)
    ]


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe the Poisson arrivals of one customer.

    ``patience_ms`` is the time from the arrival of a request to its deadline.
    """

    customer: CustomerId
    rate_per_s: float
    weight: float
    patience_ms: float = 1_000.0
    idempotent: bool = True


def make_jobs(
    demands: Iterable[Demand],
    until_ms: float,
    work_ms: Callable[[random.Random], float],
    rng: random.Random,
) -> list[Job]:
    """Return the jobs of all customers in order of arrival."""
    jobs: list[Job] = []
    for demand in demands:
        now_ms = rng.expovariate(demand.rate_per_s) * 1_000.0
        while now_ms < until_ms:
            jobs.append(
                Job(
                    RequestId(0),
                    demand.customer,
                    now_ms,
                    now_ms + demand.patience_ms,
                    work_ms(rng),
                    demand.weight,
                    demand.idempotent,
                )
            )
            now_ms += rng.expovariate(demand.rate_per_s) * 1_000.0
    jobs.sort(key=lambda job: job.arrived_ms)
    for number, job in enumerate(jobs, start=1):
        job.request = RequestId(number)
    return jobs


def quantile(values: Iterable[float], fraction: float) -> float:
    """Return a quantile by rank; 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]
