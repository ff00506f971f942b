"""Choose the target of an attempt."""

from collections.abc import Callable, Container, Iterable
from typing import Final, Protocol, TypeAlias

from crocusspindle.core.slots import TargetSlots
from crocusspindle.ids import DomainId, TargetId

PROBATION_WEIGHT: Final = 0.075
"""At or below this weight a target gets only the single trials that health asks
for. It lies between health's weight on probation, 0.05, and that of a cold target,
0.1."""


class Fitness(Protocol):
    """Judge how much work a target is fit for."""

    def weight(self, target: TargetId, now_ms: float) -> float:
        """Return 0 if ejected, little on probation, below 1 while ramping.

        It orders targets and leaves their slots alone: scaled by it, doubtful
        targets would take capacity from a service below its floor.
        """

    def wants_trial(self, target: TargetId, now_ms: float) -> bool:
        """Return True if one idempotent request should try the target."""


Candidate: TypeAlias = tuple[TargetSlots, float]
"""A target with room, and its weight."""


def choose(
    candidates: Iterable[Candidate],
    tried: Container[TargetId],
    domain: DomainId | None,
) -> TargetSlots | None:
    """Return the target with most room for its size, or None.

    Load: many small targets of unlike sizes and health. Harm prevented: a queue
    at one target while another idles. The home's own failure domain saves 1.5 ms
    and counts only among equals; the longest idle one goes first after that, so
    that each target gives evidence.
    """
    best: TargetSlots | None = None
    best_rank: tuple[float, bool, float] | None = None
    for slots, weight in candidates:
        if weight <= PROBATION_WEIGHT or slots.target.target in tried:
            continue
        # What runs, not what would run: an idle target whose limit is still being
        # learnt must not lose to an idle one whose limit is known, or it would
        # never get the requests to learn from.
        rank = (
            (slots.running + 1.0 - min(weight, 1.0)) / (slots.limit * weight),
            slots.target.domain != domain,
            slots.last_dispatch_ms,
        )
        if best_rank is None or rank < best_rank:
            best, best_rank = slots, rank
    return best


def choose_trial(
    candidates: Iterable[Candidate], wants_trial: Callable[[TargetId], bool]
) -> TargetSlots | None:
    """Return an idle target on probation that health wants tried, or None.

    A trial goes before free healthy targets: at low load an ejected target would
    otherwise never come back. One at a time, so a bad target harms one request,
    which is idempotent and can be sent again.
    """
    for slots, weight in candidates:
        on_probation = weight <= PROBATION_WEIGHT and not slots.running
        if on_probation and wants_trial(slots.target.target):
            return slots
    return None
