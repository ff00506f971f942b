"""Learn from the fleet's answers how many requests each target should run at once.

Made for targets that slow down once all their listed slots are taken, so that they
answer fewer requests per second than with one request fewer. A healthy target must not
lose a slot, however its latencies spread, and neither must one that is slow at every
concurrency.
"""

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final, Protocol

from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.throughput_test import (
    accepts_probe,
    loss_in_errors,
    max_rise,
)

BLOCK_MS: Final = 1_000.0
"""Answers are compared only within the same second. A target that turns gray, a cold
one that warms up, work that changes and a typical latency that rises with the slow
answers change all levels of a block alike."""

MAX_RATIO: Final = 8.0
"""Cap on the ratio of a latency to the typical one, so that a single answer from the
tail of the work decides nothing."""

PRIOR_ANSWERS: Final = 8.0
"""Weight, in answers, of the assumption that latencies spread by their own mean. The
spread of a few answers of a heavy-tailed distribution is mostly too small."""

LOWER_ERRORS: Final = 3.0
"""Standard errors by which the upper level must have less throughput before a limit is
lowered. Each target is judged once a second, so a rare event is met often."""

MIN_LOSS: Final = 0.1
"""Fraction of the throughput that the upper level must lose before a limit is lowered.
With many slots, equal throughput is close to equal latency, which healthy targets
have."""

RELAPSE_WEIGHT: Final = 6.0
RELAPSE_ERRORS: Final = 2.0
"""The same for a target whose limit was raised in the last `RELAPSE_MS`: it has shown a
loss before, and its probes were few."""

RELAPSE_MS: Final = 30_000.0

KEEP_ERRORS: Final = 0.0
"""Standard errors below which the evidence for a lowered limit no longer holds."""

MIN_WEIGHT: Final = 12.0
"""Weight of evidence below which no limit is lowered: the error of fewer answers is not
normally distributed."""

OWN_WEIGHT: Final = 12.0
"""Weight from which a target is judged by its own evidence alone; the share of each
target in the prior of its service is capped to the same weight, so that one target that
differs does not decide for the others."""

MEMORY_WEIGHT: Final = 64.0
"""Weight of evidence over which older evidence decays."""

PROBE_MEMORY_WEIGHT: Final = 2.0
"""The same for a level above the limit, whose answers are probes. Four fast probes
then outweigh what led to the limit."""

DECAY_MS: Final = 60_000.0
"""Time over which evidence decays without new answers."""

PROBE_DECAY_MS: Final = 300_000.0
"""The same for a level above the limit, where answers are rare."""

MIN_PROBE_INTERVAL: Final = 32
MAX_PROBE_INTERVAL: Final = 64
"""Number of a target's requests for each probe above its limit, doubled by each round
of probes that shows a loss. A probe is answered slowly and slows down those beside it;
one in 64 finds a target that has become better within some 64 times its latency."""

PROBE_SHARE: Final = 0.5
"""Share of the rise in latency that a probe may show. Where a target does all its
running work more slowly, a probe meets the higher level in about half of its run."""

MAX_RELAPSED_INTERVAL: Final = 512
"""The same for a target that has lost the limit again to which its probes raised it;
doubled by each such relapse."""

RECEIVED_MS: Final = 10_000.0
"""Expiry of a limit received from another placer."""

CONFIRM_WEIGHT: Final = 3.0
CONFIRM_ERRORS: Final = 1.0
"""Evidence that keeps a received limit when it expires: some probes in those seconds,
which do not contradict what the other placer learned from many answers."""

TOP_ROUNDS: Final = 3
"""Consecutive starts in a target's last slot, for each slot, after which it may be held
back for some requests. While requests wait for every slot, all start in the last one,
and no answer shows the latency with one request fewer."""

MIN_HOLD_PAUSE_MS: Final = 100.0
MAX_HOLD_PAUSE_MS: Final = 10_000.0
HOLD_PAUSE_GROWTH: Final = 1.5
"""Pause between two slots held back at one service, doubled each time: the capacity is
short then. Only while there is some evidence of a loss, half of the targets hold back a
slot at once, which finds a slowdown of all targets within seconds."""

MAX_HELD_BLOCKS: Final = 10
"""Blocks after which a slot is no longer held back, although its target got too little
work to end that."""

HELD_ROUNDS: Final = 2
MIN_HELD_STARTS: Final = 8
"""Starts that are counted while a slot is held back: for each slot that is left, and at
least. Those of one more round meet the higher level during their run."""

SUSPECT_WEIGHT: Final = 6.0
SUSPECT_ERRORS: Final = 0.5
"""Standard errors of less throughput that count as some evidence of a loss."""

NEGLIGIBLE_WEIGHT: Final = 1e-6
"""Weight below which evidence counts as none. A limit without probes ends after about
73 minutes; after some 31 hours, the squares of its weights would be 0."""

UNCOUNTED: Final = 0


class LevelAnswers:
    """Sum up the answers of one block at one level."""

    __slots__ = ("count", "squares", "total")

    def __init__(self) -> None:
        self.count = 0
        self.total = 0.0
        self.squares = 0.0

    @property
    def mean(self) -> float:
        """Return the mean ratio."""
        return self.total / self.count

    def add(self, ratio: float) -> None:
        """Add the ratio of a latency to the typical one."""
        self.count += 1
        self.total += ratio
        self.squares += ratio * ratio


@dataclass(slots=True)
class LevelEvidence:
    """Hold weighted sums of one of two compared levels.

    ``variance_weight`` is the sum of the variances of the block means, as multiples of
    the variance of one answer.
    """

    total: float = 0.0
    squares: float = 0.0
    variance_weight: float = 0.0

    def add(self, answers: LevelAnswers, weight: float) -> None:
        """Add a block."""
        self.total += weight * answers.mean
        self.squares += weight * answers.squares / answers.count
        self.variance_weight += weight * weight / answers.count

    def scale(self, factor: float, variance_factor: float) -> None:
        """Reduce the weight of all blocks so far."""
        self.total *= factor
        self.squares *= factor
        self.variance_weight *= variance_factor

    def merge(self, other: "LevelEvidence", factor: float) -> None:
        """Add another target's evidence with its weight scaled by a factor."""
        self.total += other.total * factor
        self.squares += other.squares * factor
        self.variance_weight += other.variance_weight * factor

    def mean_and_error(self, weight: float) -> tuple[float, float]:
        """Return the mean ratio and its standard error."""
        mean = self.total / weight
        spread = max(0.0, self.squares / weight - mean * mean)
        answers = weight * weight / self.variance_weight
        variance = (spread * answers + mean * mean * PRIOR_ANSWERS) / (
            answers + PRIOR_ANSWERS
        )
        return mean, math.sqrt(variance / answers)


@dataclass(slots=True)
class StepEvidence:
    """Compare the level `lower_level` with the next higher one.

    The weight of a block is the harmonic mean of its answers at both levels, halved: a
    block with answers at only one of them compares nothing.
    """

    lower_level: int
    weight: float = 0.0
    lower: LevelEvidence = field(default_factory=LevelEvidence)
    upper: LevelEvidence = field(default_factory=LevelEvidence)

    def add(self, lower: LevelAnswers, upper: LevelAnswers, memory: float) -> None:
        """Add the answers of one block; older ones decay by their weight."""
        weight = lower.count * upper.count / (lower.count + upper.count)
        decay = math.exp(-weight / memory)
        self._scale(decay, decay * decay)
        self.weight += weight
        self.lower.add(lower, weight)
        self.upper.add(upper, weight)

    def forget(self, factor: float) -> None:
        """Reduce the evidence to a fraction, as if it came from fewer answers.

        Reducing the weights alone would keep the errors of the means.
        """
        self._scale(factor, factor)

    def _scale(self, factor: float, variance_factor: float) -> None:
        self.weight *= factor
        self.lower.scale(factor, variance_factor)
        self.upper.scale(factor, variance_factor)

    def merge(self, other: "StepEvidence", max_weight: float) -> None:
        """Add another target's evidence, with at most a given weight."""
        if not other.weight:
            return
        factor = min(1.0, max_weight / other.weight)
        self.weight += other.weight * factor
        self.lower.merge(other.lower, factor)
        self.upper.merge(other.upper, factor)

    def means(self) -> tuple[float, float]:
        """Return the mean ratios of latency at both levels, 0 without evidence."""
        if not self.weight:
            return 0.0, 0.0
        return self.lower.total / self.weight, self.upper.total / self.weight

    def loss_in_errors(self, min_loss: float = 0.0, share: float = 1.0) -> float:
        """Return by how many errors the higher level has less throughput."""
        if self.weight < NEGLIGIBLE_WEIGHT:
            return -math.inf
        return loss_in_errors(
            self.lower_level,
            *self.lower.mean_and_error(self.weight),
            *self.upper.mean_and_error(self.weight),
            min_loss,
            share,
        )


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Report a target's new limit, and the mean ratios that led to it.

    `lower_mean` belongs to the smaller of the old and the new limit.
    """

    target: TargetIdentity
    limit: int
    slots: int
    lower_mean: float
    upper_mean: float


class ConcurrencyLimit:
    """Learn the concurrency limit of one target.

    `limit` is its capacity. `allowed` is how many requests may run now: one fewer while
    a slot is held back.
    """

    __slots__ = (
        "_block",
        "_block_starts",
        "_calm",
        "_held_blocks",
        "_held_starts",
        "_max_probe_interval",
        "_probe_interval",
        "_probes_left",
        "_raised_ms",
        "_received",
        "_received_until_ms",
        "_since_ms",
        "_starts",
        "_top_starts",
        "allowed",
        "is_suspect",
        "learned",
        "limit",
        "listed",
        "seems_slow",
        "steps",
    )

    def __init__(self, listed: ListedTarget, now_ms: float = -math.inf) -> None:
        self.listed = listed
        self._since_ms = now_ms
        self.steps: dict[int, StepEvidence] = {}
        self.learned = self.limit = self.allowed = listed.slots
        self._block: dict[int, LevelAnswers] = {}
        self._block_starts = 0
        self._starts = 0
        self._top_starts = 0
        self._held_starts = 0
        self._held_blocks = 0
        self.is_suspect = self.seems_slow = False
        self._probe_interval = MIN_PROBE_INTERVAL
        self._max_probe_interval = MAX_PROBE_INTERVAL
        self._probes_left = 0
        self._raised_ms = -math.inf
        self._calm: LevelAnswers | None = None
        self._received = listed.slots
        self._received_until_ms = -math.inf

    @property
    def is_lowered(self) -> bool:
        """Return True if the limit is below the listed slots."""
        return self.limit < self.listed.slots

    @property
    def probe_due(self) -> bool:
        """Return True if the next request above the limit may be a probe."""
        if not self.is_lowered:
            return False
        return self._probes_left > 0 or self._starts >= self._round_interval

    @property
    def probe_overdue(self) -> bool:
        """Return True if no request of the target's own domain has probed in time."""
        return self._starts >= 2 * self._round_interval

    @property
    def _round_interval(self) -> int:
        # Where a target does all its running work more slowly, a single probe meets
        # the higher level only until the next request ends.
        return self._probe_interval * (self.limit + 1)

    @property
    def is_holding(self) -> bool:
        """Return True while a slot is held back."""
        return self._held_starts > 0

    def record_start(self, running: int, holds: "HoldBacks", now_ms: float) -> int:
        """Record a start; return the level to which the answer belongs.

        ``running`` counts this request. The level is negative if a slot is held back,
        and `UNCOUNTED` if the number of running requests will soon be another.
        """
        self._starts += 1
        self._block_starts += 1
        if running > self.limit:
            self._record_probe()
            return running
        if self._held_starts:
            return self._record_held_start(running)
        if running < self.limit:
            self._top_starts = 0
            return running
        self._top_starts += 1
        if self._top_starts < TOP_ROUNDS * self.limit or self.limit == 1:
            return running
        # A raised limit is on trial, and costs most if it was raised wrongly.
        if self.was_raised(now_ms) or holds.begin(now_ms):
            self._hold_back()
        return running

    def _record_probe(self) -> None:
        if not self._probes_left:
            self._starts -= MIN_PROBE_INTERVAL * (self.limit + 1)
            self._probes_left = self.limit + 1
        self._probes_left -= 1

    def _record_held_start(self, running: int) -> int:
        self._held_starts -= 1
        if not self._held_starts:
            self.allowed = self.limit
        is_last_round = self._held_starts < self.limit - 1
        if running != self.limit - 1 or is_last_round:
            return UNCOUNTED
        return -running

    def _hold_back(self) -> None:
        self._top_starts = 0
        self._held_blocks = 0
        self.allowed = self.limit - 1
        counted = max(MIN_HELD_STARTS, HELD_ROUNDS * self.allowed)
        self._held_starts = counted + self.allowed

    def record_answer(self, level: int, ratio: float, began_ms: float) -> None:
        """Record the ratio of a request's latency to the typical one.

        Work of the target's previous start says nothing of this one.

        ``level`` is the number of requests that ran when it started. Later ones change
        its latency as well, but a level taken during the run would depend on the length
        of the work: long work meets the highest level more often than short work.
        """
        if began_ms < self._since_ms:
            return
        answers = self._block.get(level)
        if answers is None:
            answers = self._block[level] = LevelAnswers()
        answers.add(min(ratio, MAX_RATIO))

    def end_block(self, elapsed_ms: float) -> None:
        """Add the answers of a block to the evidence."""
        block, self._block = self._block, {}
        starts, self._block_starts = self._block_starts, 0
        answers = sum(level.count for level in block.values())
        for lower_level, step in self.steps.items():
            is_probed = lower_level == self.learned
            decay_ms = PROBE_DECAY_MS if is_probed else DECAY_MS
            step.forget(math.exp(-elapsed_ms / decay_ms))
        self._end_overdue_hold()
        self.seems_slow = self._is_slow_at(block.get(self.limit))
        if starts < answers / 2:
            # Of a target that gets less work than before, mostly long work ends.
            return
        for level, upper in block.items():
            if level > self.learned:
                self._compare_probes(level, block.get(self.learned), upper)
            elif level > 1:
                self._compare(level - 1, block.get(level - 1), upper)
                self._compare(1 - level, block.get(1 - level), upper)
        if self.is_lowered and self.learned + 1 not in block:
            self._calm = block.get(self.learned, self._calm)

    def _end_overdue_hold(self) -> None:
        self._held_blocks += 1
        if self._held_starts and self._held_blocks > MAX_HELD_BLOCKS:
            self._held_starts = 0
            self.allowed = self.limit

    def _compare(
        self, source: int, lower: LevelAnswers | None, upper: LevelAnswers
    ) -> None:
        if lower is not None:
            step = self.steps.setdefault(source, StepEvidence(abs(source)))
            step.add(lower, upper, MEMORY_WEIGHT)

    def _compare_probes(
        self, level: int, beside: LevelAnswers | None, probes: LevelAnswers
    ) -> None:
        # Probes may slow down the work beside them.
        lower = beside if self._calm is None else self._calm
        if lower is None or level != self.learned + 1:
            return
        step = self.steps.setdefault(self.learned, StepEvidence(self.learned))
        step.add(lower, probes, PROBE_MEMORY_WEIGHT)
        if accepts_probe(self.learned, lower.mean, probes.mean, share=1.0):
            self._probe_interval = MIN_PROBE_INTERVAL
            return
        self._probe_interval = min(2 * self._probe_interval, self._max_probe_interval)
        self._starts = min(self._starts, 0)

    def _is_slow_at(self, top: LevelAnswers | None) -> bool:
        # The typical latency has not yet followed the slow answers.
        if top is None or self.limit == 1 or top.count < MIN_WEIGHT:
            return False
        noise = 1.0 + 2.0 / math.sqrt(top.count)
        return top.mean > max_rise(self.limit - 1) * noise

    def probe_soon(self) -> None:
        """Probe again as soon as the number of probes allows."""
        self._probe_interval = MIN_PROBE_INTERVAL

    def receive(self, limit: int, now_ms: float) -> None:
        """Use another placer's limit as a prior until it expires."""
        self._received = max(1, min(limit, self.listed.slots))
        self._received_until_ms = now_ms + RECEIVED_MS
        limit = min(self._received, self.learned)
        if limit != self.limit:
            self._set_limit(limit)

    def evaluate(
        self, prior: Mapping[int, StepEvidence], now_ms: float
    ) -> LimitChange | None:
        """Raise or lower the limit by the evidence; return the change, if any."""
        previous = self.learned
        step = self._confirm_received(prior, now_ms)
        if step is None:
            step = self._change_learned(prior, now_ms)
        limit = self.learned
        if now_ms < self._received_until_ms:
            limit = min(limit, self._received)
        if limit != self.limit:
            self._set_limit(limit)
        if self.learned == previous:
            return None
        lower_mean, upper_mean = (0.0, 0.0) if step is None else step.means()
        return LimitChange(
            self.listed.identity,
            self.learned,
            self.listed.slots,
            lower_mean,
            upper_mean,
        )

    def _confirm_received(
        self, prior: Mapping[int, StepEvidence], now_ms: float
    ) -> StepEvidence | None:
        """Learn a received limit when it expires, if the evidence confirms it."""
        if now_ms < self._received_until_ms or self._received >= self.learned:
            return None
        received, self._received = self._received, self.listed.slots
        evidence = self._judged_by(received, OWN_WEIGHT, prior, now_ms)
        if evidence is None or evidence.weight < CONFIRM_WEIGHT:
            return None
        if evidence.loss_in_errors(share=PROBE_SHARE) < CONFIRM_ERRORS:
            return None
        self.learned = received
        self._keep(evidence)
        return evidence

    def _set_limit(self, limit: int) -> None:
        self.limit = self.allowed = limit
        self._starts = self._top_starts = self._held_starts = self._probes_left = 0

    def _change_learned(
        self, prior: Mapping[int, StepEvidence], now_ms: float
    ) -> StepEvidence | None:
        """Change the learned limit by one; return the evidence that decided."""
        lower_level = self.learned - 1
        self.is_suspect = False
        for source in (lower_level, -lower_level):
            lowering = self._judged_by(source, OWN_WEIGHT, prior, now_ms)
            if lowering is None or lowering.weight < SUSPECT_WEIGHT:
                continue
            errors = lowering.loss_in_errors(MIN_LOSS)
            suffices = lowering.weight >= self._min_weight(now_ms)
            if suffices and errors >= self._lower_errors(now_ms):
                self._lower(lowering, now_ms)
                return lowering
            self.is_suspect = self.is_suspect or errors >= SUSPECT_ERRORS
        if self.learned >= self.listed.slots:
            return None
        raising = self.steps.get(self.learned)
        if (
            raising is not None
            and raising.loss_in_errors(share=PROBE_SHARE) >= KEEP_ERRORS
        ):
            return None
        self.learned += 1
        self._raised_ms = now_ms
        return raising

    def was_raised(self, now_ms: float) -> bool:
        """Return True if the limit was raised a short time ago."""
        return now_ms < self._raised_ms + RELAPSE_MS

    def _lower_errors(self, now_ms: float) -> float:
        return RELAPSE_ERRORS if self.was_raised(now_ms) else LOWER_ERRORS

    def _min_weight(self, now_ms: float) -> float:
        return RELAPSE_WEIGHT if self.was_raised(now_ms) else MIN_WEIGHT

    def _lower(self, evidence: StepEvidence, now_ms: float) -> None:
        relapses = self.was_raised(now_ms)
        self._max_probe_interval = (
            min(2 * self._max_probe_interval, MAX_RELAPSED_INTERVAL)
            if relapses
            else MAX_PROBE_INTERVAL
        )
        # The target's probes are compared with what decided, whatever its source.
        self.learned -= 1
        self._calm = None
        self._probe_interval = (
            self._max_probe_interval if relapses else MIN_PROBE_INTERVAL
        )
        self._keep(evidence)

    def _keep(self, evidence: StepEvidence) -> None:
        kept = StepEvidence(self.learned)
        kept.merge(evidence, PROBE_MEMORY_WEIGHT)
        self.steps[self.learned] = kept
        self.steps.pop(-self.learned, None)

    def _judged_by(
        self,
        source: int,
        own_weight: float,
        prior: Mapping[int, StepEvidence],
        now_ms: float,
    ) -> StepEvidence | None:
        own = self.steps.get(source)
        if own is not None and own.weight >= own_weight:
            return own
        if self.was_raised(now_ms):
            # Its probes differ from the prior.
            return own
        return prior.get(source, own)


class HoldBacks:
    """Bound how many targets of a service hold back a slot.

    `is_full` is True while requests are queued and no target is ejected. Without a
    queue the load itself changes the number of running requests; without the ejected
    targets every slot of the others is needed.
    """

    def __init__(self) -> None:
        self._holding = 0
        self._max_holding = 1
        self._pause_ms = MIN_HOLD_PAUSE_MS
        self._next_ms = -math.inf
        self.is_full = True

    def begin(self, now_ms: float) -> bool:
        """Return True if a target may hold back a slot now, and count it."""
        if now_ms < self._next_ms or not (self.is_full or self._max_holding > 1):
            return False
        if self._holding >= self._max_holding:
            return False
        self._holding += 1
        if self._max_holding == 1:
            self._next_ms = now_ms + self._pause_ms
            self._pause_ms = min(HOLD_PAUSE_GROWTH * self._pause_ms, MAX_HOLD_PAUSE_MS)
        return True

    def update(self, limits: Collection[ConcurrencyLimit]) -> None:
        """Update the bound by the evidence of a service's targets."""
        self._holding = sum(limit.is_holding for limit in limits)
        slow = sum(limit.seems_slow for limit in limits)
        self._max_holding = 1
        if 2 * slow > len(limits) or any(limit.is_suspect for limit in limits):
            self._max_holding = max(1, len(limits) // 2)
            self._pause_ms = MIN_HOLD_PAUSE_MS
            self._next_ms = -math.inf


class LimitedTarget(Protocol):
    """Hold the concurrency limit of one target."""

    learned: ConcurrencyLimit


class ConcurrencyLimits:
    """Learn the limits of a service's targets, which share a prior."""

    def __init__(self, now_ms: float) -> None:
        self._block_began_ms = now_ms
        self._changes: list[LimitChange] = []
        self.lowered: list[ConcurrencyLimit] = []
        self.holds = HoldBacks()

    def evaluate_if_due(self, targets: Iterable[LimitedTarget], now_ms: float) -> None:
        """End a block and judge each target, at most once in `BLOCK_MS`."""
        elapsed_ms = now_ms - self._block_began_ms
        if elapsed_ms < BLOCK_MS:
            return
        self._block_began_ms = now_ms
        limits = [target.learned for target in targets]
        judged = [limit for limit in limits if limit.listed.slots > 1]
        for limit in judged:
            limit.end_block(elapsed_ms)
        priors = _priors(judged)
        for limit in judged:
            change = limit.evaluate(priors.get(limit.listed.slots, {}), now_ms)
            if change is not None:
                self._changes.append(change)
        self.holds.update(judged)
        self.lowered = [limit for limit in judged if limit.is_lowered]
        raised = [limit for limit in judged if limit.was_raised(now_ms)]
        if len(raised) > len(self.lowered):
            # What made most targets better may have made the others better.
            for limit in self.lowered:
                limit.probe_soon()

    def update_lowered(self, targets: Iterable[LimitedTarget]) -> None:
        """Find the targets below their listed slots, which are to be probed."""
        limits = [target.learned for target in targets]
        self.lowered = [limit for limit in limits if limit.is_lowered]

    def changes(self) -> list[LimitChange]:
        """Return the changes of limits since the last call."""
        changes, self._changes = self._changes, []
        return changes


def _priors(
    limits: Iterable[ConcurrencyLimit],
) -> dict[int, dict[int, StepEvidence]]:
    """Return the evidence of targets with the same slots, by slots and lower level.

    A single target is no prior for others.
    """
    priors: dict[int, dict[int, StepEvidence]] = {}
    sources: dict[tuple[int, int], int] = {}
    for limit in limits:
        slots = limit.listed.slots
        for level, step in limit.steps.items():
            if step.weight < 1.0:
                continue
            prior = priors.setdefault(slots, {})
            merged = prior.setdefault(level, StepEvidence(abs(level)))
            merged.merge(step, OWN_WEIGHT)
            sources[slots, level] = sources.get((slots, level), 0) + 1
    for (slots, level), count in sources.items():
        if count < 2:  # noqa: PLR2004 - one target is no prior
            del priors[slots][level]
    return priors
