"""Hold the limits of a home, each with its reason."""

from dataclasses import dataclass

from crocusspindle.ids import DomainId


@dataclass(frozen=True, slots=True)
class HomeSettings:
    """Set the limits of a home.

    ``max_queued`` bounds memory only: a queued request holds a stream of about
    10 KB at its entry and its home, so 2,048 are 20 MB of the 128 MB. Waiting is
    bounded by deadlines long before.

    ``max_attempts`` counts every sending. Three reach two other targets, which
    two independent gray targets in one group need; a fourth would help in under
    1 % of 1 % of the cases.

    ``retry_fraction`` is the part of first attempts that may be sent again, so
    that a group that fails altogether sees at most 1.1 times its load.
    ``retry_floor_per_s`` lets a group with a request a minute retry at all.

    ``hedge_fraction`` is the extra load that hedging may cause; hedging after the
    95th percentile asks for 5 %.

    ``shed_is_not_run`` says that the targets' contract promises that a shed
    request was not run; without it a shed one counts as failed.
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
