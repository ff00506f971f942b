"""Hold which targets ended while they ran a request."""

from dataclasses import dataclass, replace

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest


@dataclass(frozen=True, slots=True)
class Crash:
    """Name a target that ended, and tell whether it ran nothing else."""

    target: TargetIdentity
    alone: bool


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Hold what is known of one request; a higher generation replaces a lower one.

    `last_ms` is the time of the last crash, trial or answer.
    """

    content: ContentDigest
    generation: int = 0
    crashes: frozenset[Crash] = frozenset()
    trials: int = 0
    last_ms: float = 0.0
    was_shared: bool = False

    @property
    def is_shared(self) -> bool:
        """Return True if every host has to know the record."""
        return self.was_shared or len(self.crashes) > 1

    def with_crash(self, crash: Crash, at_ms: float) -> "CrashRecord":
        """Return the record with one more crash, itself if it knows it."""
        crashes = _union(self.crashes, frozenset((crash,)))
        if crashes == self.crashes:
            return self
        is_new = len(crashes) > len(self.crashes)
        last_ms = max(self.last_ms, at_ms) if is_new else self.last_ms
        return replace(self, crashes=crashes, last_ms=last_ms)

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Return what both records together say."""
        if self.generation != other.generation:
            return max(self, other, key=lambda record: record.generation)
        return CrashRecord(
            self.content,
            self.generation,
            _union(self.crashes, other.crashes),
            max(self.trials, other.trials),
            max(self.last_ms, other.last_ms),
            self.was_shared or other.was_shared,
        )


def _union(first: frozenset[Crash], second: frozenset[Crash]) -> frozenset[Crash]:
    # Whoever saw more at the target knows that the request was not alone.
    alone: dict[TargetIdentity, bool] = {}
    for crash in (*first, *second):
        alone[crash.target] = alone.get(crash.target, True) and crash.alone
    return frozenset(Crash(target, value) for target, value in alone.items())
