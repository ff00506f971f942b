"""Place requests without a group coordinator, as baselines for it."""

import random
from collections.abc import Callable, Iterable
from functools import partial
from heapq import heappop, heappush

from benchmarks.virtual import EventLoop, Job, Verdict, VirtualTarget
from crocusspindle.core.group_coordinator import AttemptEnd

_SHED_RETRY_MS = 10.0


def serve_by_one_queue(jobs: Iterable[Job], slots: int) -> None:
    """Serve jobs in order of arrival from one ideal queue for all slots."""
    free_ms = [0.0] * slots
    for job in jobs:
        began_ms = max(heappop(free_ms), job.arrived_ms)
        job.work_began_ms = began_ms
        job.answered_ms = began_ms + job.work_ms
        job.verdict = Verdict.ANSWERED
        heappush(free_ms, job.answered_ms)


class EntryPicker:
    """Pick at each entry the less loaded of two random targets.

    An entry counts only its own outstanding requests. A full target queues a request,
    or sheds it and the entry retries.
    """

    def __init__(
        self,
        loop: EventLoop,
        targets: list[VirtualTarget],
        entries: int,
        target_hop_ms: float,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._targets = targets
        self._sent = [[0] * len(targets) for _ in range(entries)]
        self._hop_ms = target_hop_ms
        self._rng = rng

    def submit(self, jobs: Iterable[Job]) -> None:
        """Schedule the arrival of each job at a random entry."""
        for job in jobs:
            entry = self._rng.randrange(len(self._sent))
            self._loop.at(
                job.arrived_ms,
                partial(self._send, job, entry),
            )

    def _send(self, job: Job, entry: int) -> None:
        counts = self._sent[entry]
        pair = self._rng.sample(range(len(counts)), 2)
        index = min(pair, key=lambda each: counts[each])
        counts[index] += 1
        job.sent += 1

        def report(end: AttemptEnd) -> None:
            self._loop.after(self._hop_ms, lambda: self._ended(job, entry, index, end))

        self._loop.after(
            self._hop_ms, lambda: self._accept(self._targets[index], job, report)
        )

    @staticmethod
    def _accept(
        target: VirtualTarget, job: Job, report: Callable[[AttemptEnd], None]
    ) -> None:
        target.accept(job, report)

    def _ended(self, job: Job, entry: int, index: int, end: AttemptEnd) -> None:
        self._sent[entry][index] -= 1
        if end is AttemptEnd.SHED:
            self._loop.after(_SHED_RETRY_MS, lambda: self._send(job, entry))
            return
        job.verdict = Verdict.ANSWERED
        job.answered_ms = self._loop.now_ms
