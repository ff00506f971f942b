"""Describe what the placer of a service is asked, and what it answers."""

from dataclasses import dataclass

from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.target_gauge import Ending, Standing
from crocusspindle.ids import NO_CONTENT, ContentDigest, DomainId, GrantId, HostId


@dataclass(frozen=True, slots=True)
class Ask:
    """Ask for a place for one sending.

    `aim_ms` is what is left of the route's aim. A `hedge` is a repeat whose first
    sending still runs. A request that was `counted` was asked of another placer
    before, which may only be slow. A `trial` is a held request's next sending.
    """

    sender: HostId
    domain: DomainId
    route: str
    idempotent: bool
    priority: int
    aim_ms: float
    deadline_ms: float
    repeat: bool = False
    hedge: bool = False
    counted: bool = False
    body_bytes: int = 0
    content: ContentDigest = NO_CONTENT
    trial: bool = False
    excluded: frozenset[TargetIdentity] = frozenset()


@dataclass(frozen=True, slots=True)
class Placed:
    """Name the target of a sending, and when to look for a second one."""

    grant: GrantId
    target: ListedTarget
    hedge_after_ms: float


@dataclass(frozen=True, slots=True)
class Refused:
    """Tell why there is no place, and when to come back."""

    reason: str
    retry_after_ms: float


@dataclass(slots=True)
class Waiting:
    """Hold an ask that waits for a slot, until `settled` has its answer.

    Up to `prompt_until_ms` it can still be served within its aim; up to `give_up_ms`
    within its deadline.
    """

    ask: Ask
    asked_ms: float
    prompt_until_ms: float
    give_up_ms: float
    settled: Placed | Refused | None = None


@dataclass(frozen=True, slots=True)
class StandingChange:
    """Tell that a target's standing changed, and by which ending."""

    target: TargetIdentity
    standing: Standing
    ending: Ending | None
    sender: HostId | None
    until_ms: float
