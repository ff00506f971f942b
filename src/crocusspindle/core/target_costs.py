"""Weigh the targets that could take a request against one another.

Each term takes the cost so far, in milliseconds, and returns it with its own part. The
terms apply in the order of their registration.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.asks import Ask
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_gauge import TargetGauge
from crocusspindle.core.turn_rate import TurnRate

OTHER_DOMAIN_COST: Final = 3.0
"""A target in another failure domain costs bytes between domains, which some sites pay
dearly. One with free slots works no quicker for being idle, so a near one is taken
until its slots are full, or until it takes twice to three times as long."""

COSTLY_BODY_BYTES: Final = 10_000
"""A body of this length costs another domain's target one more time of its work: the
bytes of an upload between domains cost more than the few milliseconds it may wait."""

LOSS_WEIGHT: Final = 3.0
"""What a lost request costs, in times of all that its caller would have waited: its
time is gone, and so is what it asked for. From 1 to 30 the share of losses differs by
less than a tenth, and more than 3 only moves work to other domains."""

CERTAIN_NATS: Final = 20.0


@dataclass(frozen=True, slots=True)
class Weighing:
    """Hold what a request and its service say, for all targets alike."""

    ask: Ask
    usual_ms: float
    turns: TurnRate
    now_ms: float


Term = Callable[[float, TargetGauge, Weighing], float]
_TERMS: Final[dict[Policy, Term]] = {}


def term(policy: Policy) -> Callable[[Term], Term]:
    """Register a term under the policy that switches it."""

    def add(function: Term) -> Term:
        _TERMS[policy] = function
        return function

    return add


def terms_of(policies: Policies) -> tuple[Term, ...]:
    """Return the terms that are on."""
    return tuple(found for policy, found in _TERMS.items() if policies.has(policy))


def cost_ms(gauge: TargetGauge, weighing: Weighing, terms: Iterable[Term]) -> float:
    """Return what sending a request to a target costs."""
    load = 1.0 + len(gauge.grants) / gauge.listed.slots
    cost = weighing.usual_ms * gauge.expected_slowness(weighing.now_ms) * load
    for function in terms:
        cost = function(cost, gauge, weighing)
    return cost


def least_far_cost_ms(weighing: Weighing) -> float:
    """Return what a target in another failure domain costs at the least."""
    return weighing.usual_ms * OTHER_DOMAIN_COST


@term(Policy.REFUSAL_SHARE)
def _refusals(cost: float, gauge: TargetGauge, weighing: Weighing) -> float:
    # A target that refuses a part of its work takes several sendings a request.
    return cost * gauge.sendings_each


@term(Policy.NEAR_FIRST)
def _distance(cost: float, gauge: TargetGauge, weighing: Weighing) -> float:
    if gauge.listed.domain == weighing.ask.domain:
        return cost
    return cost * (OTHER_DOMAIN_COST + weighing.ask.body_bytes / COSTLY_BODY_BYTES)


@term(Policy.PROOF_AGE)
def _risk(cost: float, gauge: TargetGauge, weighing: Weighing) -> float:
    # The load is a service some of whose targets turn gray at any time. Work that may
    # run once and meets one is lost; work that may be repeated is sent again, once. So
    # the one and the repeat go where the last answer is freshest; the rest finds out.
    ask = weighing.ask
    if ask.idempotent and not ask.repeat:
        return cost
    left_ms = max(0.0, ask.deadline_ms - weighing.now_ms)
    return cost + gray_chance(gauge, weighing) * LOSS_WEIGHT * left_ms


def gray_chance(gauge: TargetGauge, weighing: Weighing) -> float:
    """Return the chance that a target is gray by its last proof and its running work.

    From its last proof on it may have turned. Work that runs for longer than sound work
    would, and failures that do not suffice to eject it, speak for that as odds. They
    fade within the time for which targets are gray: one that is avoided for a failure
    gets no work that would clear it.
    """
    chance = weighing.turns.chance(weighing.now_ms - gauge.proved_ms)
    since_ms = weighing.now_ms - gauge.last_failed_ms
    nats = gauge.nats * math.exp(-since_ms / weighing.turns.gray_ms)
    nats += gauge.age_nats(weighing.now_ms)
    odds = chance / (1.0 - chance) * math.exp(min(CERTAIN_NATS, nats))
    return odds / (1.0 + odds)
