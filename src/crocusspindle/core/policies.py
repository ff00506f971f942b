"""Name the mechanisms of placing, so that each can be switched off in a test.

The effect of a mechanism shows only in comparison with a fleet that lacks it. In
production all are on; a test names those that are off when it starts a node.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from crocusspindle.errors import Finding, InvalidInputError


class Policy(Enum):
    """Name one mechanism; the values are the names used in settings."""

    HEDGING = "hedging"
    SUCCESS_AGE = "proof-age"
    RETRY_COST = "retry-cost"
    IDEMPOTENT_FIRST = "safe-first"
    HANG_EVIDENCE = "hang-evidence"
    HUNG_EJECTION = "hung-ejection"
    SUSPICION_BY_AGE = "doubt-by-age"
    FLOOR_TRIALS = "floor-trials"
    LOCAL_DOMAIN_FIRST = "near-first"
    PATH_ATTRIBUTION = "path-blame"
    QUEUEING = "queueing"
    LATE_QUEUEING = "late-queueing"
    REFUSAL_SHARE = "refusal-share"
    ROUTE_LATENCIES = "route-latencies"
    LEARNED_LIMITS = "learned-limits"
    HAND_OVER = "hand-over"
    NAMED_HAND_OVER = "named-hand-over"


@dataclass(frozen=True)
class Policies:
    """Hold which mechanisms are off."""

    off: frozenset[Policy] = field(default_factory=frozenset)

    @classmethod
    def from_names(cls, text: str) -> "Policies":
        """Return all policies but those named in a text, separated by commas."""
        return cls.without(name.strip() for name in text.split(",") if name.strip())

    @classmethod
    def without(cls, names: Iterable[str]) -> "Policies":
        """Return all but the named; raise ``InvalidInputError`` for unknown names."""
        names = tuple(names)
        known = {policy.value: policy for policy in Policy}
        findings = [
            Finding("policies", name, f"not a policy; there are {', '.join(known)}")
            for name in names
            if name not in known
        ]
        if findings:
            raise InvalidInputError(findings)
        return cls(frozenset(known[name] for name in names))

    def has(self, policy: Policy) -> bool:
        """Return True if a mechanism is on."""
        return policy not in self.off


ALL_POLICIES: Final = Policies()
