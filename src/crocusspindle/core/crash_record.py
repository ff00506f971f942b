"""Record which targets crashed while they ran a request."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest

SAME_CRASH_MS: Final = 1_000.0
"""Reports of one crash arrive within this time; another crash under the same identity
needs a restart in between."""


@dataclass(frozen=True, slots=True)
class Crash:
    """Hold when a target crashed, and whether the request ran there alone."""

    target: TargetIdentity
    at_ms: float
    alone: bool

    def is_same(self, other: "Crash") -> bool:
        """Return True if both report one crash."""
        is_close = abs(self.at_ms - other.at_ms) <= SAME_CRASH_MS
        return is_close and self.target == other.target


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Hold the crashes of one request; a higher generation replaces a lower one.

    `last_ms` is the time of the last crash, trial or response.
    """

    content: ContentDigest
    generation: int = 0
    crashes: frozenset[Crash] = frozenset()
    trials: int = 0
    last_ms: float = 0.0
    was_shared: bool = False

    @property
    def is_shared(self) -> bool:
        """Return True if the record has to be replicated to every host."""
        return self.was_shared or len(self.crashes) > 1

    def with_crash(self, crash: Crash) -> "CrashRecord":
        """Return the record with one more crash, itself if the crash is known."""
        crashes = _union((*self.crashes, crash))
        if crashes == self.crashes:
            return self
        is_new = len(crashes) > len(self.crashes)
        last_ms = max(self.last_ms, crash.at_ms) if is_new else self.last_ms
        return replace(self, crashes=crashes, last_ms=last_ms)

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Return the union of both records, or the one of the higher generation."""
        if self.generation != other.generation:
            return max(self, other, key=lambda record: record.generation)
        return CrashRecord(
            self.content,
            self.generation,
            _union((*self.crashes, *other.crashes)),
            max(self.trials, other.trials),
            max(self.last_ms, other.last_ms),
            self.was_shared or other.was_shared,
        )


def _union(crashes: Iterable[Crash]) -> frozenset[Crash]:
    distinct: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: (crash.target, crash.at_ms)):
        if distinct and distinct[-1].is_same(crash):
            # A report that lists other requests shows that this one did not run alone.
            alone = distinct[-1].alone and crash.alone
            distinct[-1] = replace(distinct[-1], alone=alone)
        else:
            distinct.append(crash)
    return frozenset(distinct)
