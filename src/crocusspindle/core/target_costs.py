"""Estimate the cost of sending a request to each target that could accept it.

Each term receives the cost so far, in milliseconds, and returns it with its own effect
applied. Terms apply in the order of their registration.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from crocusspindle.core.gray_onset_rate import GrayOnsetRate
from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_tracker import TargetTracker

OTHER_DOMAIN_COST: Final = 3.0
"""Cost factor of a target in another failure domain: traffic between domains is
expensive at some sites. A target with free slots is no faster for being idle, so one in
the local domain is used until its slots are full, or until it takes two to three times
as long."""

COSTLY_BODY_BYTES: Final = 10_000
"""Body length that adds one more typical latency to the cost of a target in another
domain: the traffic of an upload costs more than the few milliseconds it may wait."""

LOSS_WEIGHT: Final = 3.0
"""Cost of a lost request, as a multiple of the time that its caller would have waited:
that time is gone, and so is the result. From 1 to 30 the share of losses differs by
less than a tenth, and more than 3 only moves work to other domains."""

RETRY_WEIGHT: Final = 3.0
"""Cost of a retry, as a multiple of the typical latency: the time and the slots of two
attempts, and a part of the retry budget that another request may need."""

MAX_ODDS_NATS: Final = 20.0


@dataclass(frozen=True, slots=True)
class CostContext:
    """Hold the inputs of the cost that are the same for all targets."""

    request: PlacementRequest
    typical_ms: float
    onset_rate: GrayOnsetRate
    now_ms: float


CostTerm = Callable[[float, TargetTracker, CostContext], float]
_COST_TERMS: Final[dict[Policy, CostTerm]] = {}


def cost_term(policy: Policy) -> Callable[[CostTerm], CostTerm]:
    """Register a cost term under the policy that switches it."""

    def add(cost_function: CostTerm) -> CostTerm:
        _COST_TERMS[policy] = cost_function
        return cost_function

    return add


def active_cost_terms(policies: Policies) -> tuple[CostTerm, ...]:
    """Return the cost terms that are on."""
    return tuple(
        registered for policy, registered in _COST_TERMS.items() if policies.has(policy)
    )


def cost_ms(
    tracker: TargetTracker, context: CostContext, cost_terms: Iterable[CostTerm]
) -> float:
    """Return the cost of sending a request to a target, in milliseconds."""
    load = 1.0 + len(tracker.grants) / tracker.capacity
    cost = context.typical_ms * tracker.expected_slowness(context.now_ms) * load
    for cost_function in cost_terms:
        cost = cost_function(cost, tracker, context)
    return cost


def min_other_domain_cost_ms(context: CostContext) -> float:
    """Return the minimum cost of a target in another failure domain."""
    return context.typical_ms * OTHER_DOMAIN_COST


@cost_term(Policy.REFUSAL_SHARE)
def _shedding(cost: float, tracker: TargetTracker, context: CostContext) -> float:
    # A target that sheds a fraction of its work needs several attempts per request.
    return cost * tracker.attempts_per_request


@cost_term(Policy.LOCAL_DOMAIN_FIRST)
def _distance(cost: float, tracker: TargetTracker, context: CostContext) -> float:
    if tracker.listed.domain == context.request.domain:
        return cost
    return cost * (OTHER_DOMAIN_COST + context.request.body_bytes / COSTLY_BODY_BYTES)


@cost_term(Policy.SUCCESS_AGE)
def _loss_risk(cost: float, tracker: TargetTracker, context: CostContext) -> float:
    # Non-idempotent work and retries are lost at a gray target: neither is sent again.
    # Only idempotent first attempts can risk a target without a recent success.
    request = context.request
    if request.idempotent and not request.retry:
        return cost
    left_ms = max(0.0, request.deadline_ms - context.now_ms)
    return cost + gray_probability(tracker, context) * LOSS_WEIGHT * left_ms


@cost_term(Policy.RETRY_COST)
def _retry_risk(cost: float, tracker: TargetTracker, context: CostContext) -> float:
    # At the same cost, idempotent first attempts try the target with the oldest last
    # success, which is often one that fails.
    request = context.request
    if not tracker.failure_nats or not request.idempotent or request.retry:
        return cost
    share = context.onset_rate.gray_share
    risk = _posterior(share, _recent_failure_nats(tracker, context)) - share
    return cost + risk * RETRY_WEIGHT * context.typical_ms


def gray_probability(tracker: TargetTracker, context: CostContext) -> float:
    """Return the probability that a target is gray.

    It may have turned gray since its last success. Work that runs for longer than
    healthy work would, and failures that do not suffice to eject it, multiply the odds.
    The failures decay over the mean duration of a gray failure: a target that is
    avoided for one gets no work that would clear it.
    """
    probability = context.onset_rate.probability(
        context.now_ms - tracker.last_success_ms
    )
    nats = _recent_failure_nats(tracker, context) + tracker.age_nats(context.now_ms)
    return _posterior(probability, nats)


def _recent_failure_nats(tracker: TargetTracker, context: CostContext) -> float:
    since_ms = context.now_ms - tracker.last_failed_ms
    return tracker.failure_nats * math.exp(-since_ms / context.onset_rate.mean_gray_ms)


def _posterior(probability: float, nats: float) -> float:
    odds = probability / (1.0 - probability) * math.exp(min(MAX_ODDS_NATS, nats))
    return odds / (1.0 + odds)
