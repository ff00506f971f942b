"""Quarantine the requests that crash the targets that run them.

One request may crash every target that runs it, and its caller retries it at any host.
Each crash also breaks the other requests at the target, and one crash does not show
which request caused it. Each of these requests runs alone the next time: a response
clears it, a second crash while it runs alone puts it into quarantine (the request is
held).
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import Final

from crocusspindle.core.crash_record import Crash, CrashRecord
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest

CRASHES_ALONE: Final = 2
"""Crashes that quarantine a request, at least one of them while it ran alone."""

CRASHES_WITH_OTHERS: Final = 3
FIRST_HOLD_MS: Final = 15_000.0
HOLD_FACTOR: Final = 4.0
MAX_TRIALS: Final = 3
"""Trials of a held request; after the last it is held until its record expires."""

FORGET_MS: Final = 86_400_000.0
RECORDS_MAX: Final = 4_096
SHARED_MAX: Final = 128


class Isolation(Enum):
    """Define how a request is isolated from other requests at a target."""

    NONE = "none"
    PREFERRED = "preferred"
    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report the crash of a target, with all requests that ran there."""

    target: TargetIdentity
    contents: frozenset[ContentDigest]


class CrashTable:
    """Hold the record of each request under which targets have crashed.

    All times are wall-clock times, which hosts share and which survive a restart.
    """

    def __init__(self) -> None:
        self._records: dict[ContentDigest, CrashRecord] = {}

    def __contains__(self, content: ContentDigest) -> bool:
        """Return True if there is a record of a request."""
        return content in self._records

    def record(self, content: ContentDigest) -> CrashRecord | None:
        """Return the record of a request."""
        return self._records.get(content)

    def shared(self) -> list[CrashRecord]:
        """Return the `SHARED_MAX` newest records to replicate, sorted by content."""
        shared = [record for record in self._records.values() if record.is_shared]
        shared.sort(key=lambda record: (-record.last_ms, record.content))
        return sorted(shared[:SHARED_MAX], key=lambda record: record.content)

    def record_crash(self, crash: CrashReport, at_ms: float) -> list[CrashRecord]:
        """Record a crash and return the records that changed."""
        alone = len(crash.contents) == 1
        entry = Crash(crash.target, at_ms, alone)
        changed = [self._add(content, entry) for content in crash.contents]
        self._drop_old(at_ms)
        return [record for record in changed if record is not None]

    def _add(self, content: ContentDigest, crash: Crash) -> CrashRecord | None:
        record = self._records.get(content, CrashRecord(content))
        added = record.with_crash(crash)
        if added == record:
            return None
        self._records[content] = added
        return added

    def clear(self, content: ContentDigest, at_ms: float) -> CrashRecord | None:
        """Clear a request that its target survived; return its record."""
        record = self._records.get(content)
        if record is None or not record.crashes:
            return None
        cleared = CrashRecord(
            content,
            record.generation + 1,
            last_ms=at_ms,
            was_shared=record.is_shared,
        )
        self._records[content] = cleared
        return cleared

    def begin_held_trial(
        self, content: ContentDigest, at_ms: float
    ) -> CrashRecord | None:
        """Count a trial of a held request; return its record."""
        record = self._records.get(content)
        if record is None:
            return None
        record = replace(record, trials=record.trials + 1, last_ms=at_ms)
        self._records[content] = record
        return record

    def merge(self, records: Iterable[CrashRecord], now_ms: float) -> list[CrashRecord]:
        """Merge the records of other hosts and return those that changed."""
        changed: list[CrashRecord] = []
        for received in records:
            current = self._records.get(received.content)
            merged = received if current is None else current.merged(received)
            if merged != current and merged.last_ms > now_ms - FORGET_MS:
                self._records[received.content] = merged
                changed.append(merged)
        self._drop_old(now_ms)
        return changed

    def isolation(self, content: ContentDigest) -> Isolation:
        """Return how a request has to be isolated from other requests."""
        crashes = self._unexplained(content)
        if not crashes:
            return Isolation.NONE
        if len(crashes) == 1:
            return Isolation.PREFERRED
        return Isolation.REQUIRED

    def is_held(self, content: ContentDigest) -> bool:
        """Return True if a request is in quarantine, where it runs in trials only."""
        return _suffice(self._unexplained(content))

    def held_until_ms(self, content: ContentDigest) -> float:
        """Return when the next trial of a held request is due, 0 for other requests."""
        record = self._records.get(content)
        if record is None or not self.is_held(content):
            return 0.0
        return record.last_ms + self.hold_ms(content)

    def hold_ms(self, content: ContentDigest) -> float:
        """Return the wait before the next trial of a held request."""
        record = self._records[content]
        if record.trials >= MAX_TRIALS:
            return FORGET_MS
        return FIRST_HOLD_MS * HOLD_FACTOR**record.trials

    def _unexplained(self, content: ContentDigest) -> frozenset[Crash]:
        """Return the crashes that no held request with more crashes explains."""
        record = self._records.get(content)
        if record is None or not record.crashes:
            return frozenset()
        explained = [
            crash
            for other in self._records.values()
            if len(other.crashes) > len(record.crashes) and _suffice(other.crashes)
            for crash in other.crashes
        ]
        return frozenset(
            crash
            for crash in record.crashes
            if not any(crash.is_same(other) for other in explained)
        )

    def _drop_old(self, now_ms: float) -> None:
        for record in list(self._records.values()):
            if record.last_ms <= now_ms - FORGET_MS:
                del self._records[record.content]
        surplus = len(self._records) - RECORDS_MAX
        if surplus <= 0:
            return
        least_important_first = sorted(
            self._records.values(),
            key=lambda record: (record.is_shared, record.last_ms),
        )
        for record in least_important_first[:surplus]:
            del self._records[record.content]


def _suffice(crashes: frozenset[Crash]) -> bool:
    """Return True if the crashes are enough to quarantine a request."""
    alone = any(crash.alone for crash in crashes)
    return len(crashes) >= (CRASHES_ALONE if alone else CRASHES_WITH_OTHERS)
