"""Define the limits of a group coordinator."""

from dataclasses import dataclass

from crocusspindle.ids import DomainId


@dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Hold the limits of a group coordinator.

    ``max_queued`` bounds memory only: a queued request holds a stream of about
    10 KB at its entry and its coordinator, so 2,048 use 20 MB of a node's 128 MB.
    Deadlines bound the waiting time long before.

    ``max_attempts`` includes the first attempt, retries and hedges. Three reach two
    further targets, as two independent gray targets in one group require; a fourth
    would help in under 0.01 % of the cases.

    ``retry_fraction`` is the number of retries allowed per first attempt, so that a
    group that fails completely sees at most 1.1 times its load.
    ``retry_floor_per_s`` lets a group with one request a minute retry at all.

    ``hedge_fraction`` is the extra load that hedging may cause; hedging after the
    95th percentile needs 5 %.

    ``shed_is_not_run`` states that the targets' contract guarantees that a shed
    request was not run; without it a shed request counts as failed.

    ``poll_ms`` is the longest time between two ticks while requests are queued.
    """

    domain: DomainId | None = None
    max_queued: int = 2_048
    max_attempts: int = 3
    retry_fraction: float = 0.1
    retry_floor_per_s: float = 0.5
    hedge_fraction: float = 0.05
    hedge_floor_per_s: float = 0.1
    hedge_quantile: float = 0.95
    shed_is_not_run: bool = True
    poll_ms: float = 20.0
