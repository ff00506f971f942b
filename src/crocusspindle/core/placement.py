"""Choose the target of an attempt."""

from collections.abc import Callable, Container, Iterable
from typing import Final, Protocol, TypeAlias

from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import DomainId, TargetId

PROBATION_WEIGHT: Final = 0.075
"""At or below this weight a target gets only trials, and only when one is due.
It lies between the weight on probation, 0.05, and that of a cold target, 0.1."""


class TargetWeights(Protocol):
    """Provide the weight of each target and whether it needs a trial."""

    def weight(self, target: TargetId, now_ms: float) -> float:
        """Return 0 if ejected, a small weight on probation, below 1 while ramping.

        Weights order targets and do not scale their slots: scaling would reduce the
        capacity of a service below its floor.
        """

    def needs_trial(self, target: TargetId, now_ms: float) -> bool:
        """Return True if the target should get one idempotent request as a trial."""


Candidate: TypeAlias = tuple[TargetSlots, float]
"""A target with a free slot, and its weight."""


def choose(
    candidates: Iterable[Candidate],
    tried: Container[TargetId],
    domain: DomainId | None,
) -> TargetSlots | None:
    """Return the target with the lowest utilisation for its weight, or None.

    With many small targets of different size and health, no target may have a queue
    while another idles. The coordinator's own failure domain saves only 1.5 ms, so it
    breaks ties; next comes the longest idle target, so that each gives evidence.
    """
    best: TargetSlots | None = None
    best_rank: tuple[float, bool, float] | None = None
    for slots, weight in candidates:
        if weight <= PROBATION_WEIGHT or slots.target.target in tried:
            continue
        # Count running requests without this one: otherwise an idle target whose limit
        # is still being learnt would rank behind idle ones and never get work.
        rank = (
            (slots.running + 1.0 - min(weight, 1.0)) / (slots.limit * weight),
            slots.target.domain != domain,
            slots.last_dispatch_ms,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = slots, rank
    return best


def choose_trial(
    candidates: Iterable[Candidate], needs_trial: Callable[[TargetId], bool]
) -> TargetSlots | None:
    """Return an idle target on probation that needs a trial, or None.

    Trials take precedence over free healthy targets, since at low load an ejected
    target would otherwise never return to service. They run one at a time, so that a
    bad target harms one request, which is idempotent and can be retried.
    """
    for slots, weight in candidates:
        is_idle = weight <= PROBATION_WEIGHT and not slots.running
        if is_idle and needs_trial(slots.target.target):
            return slots
    return None
