"""Detect crashed targets, and the requests that ran there, from attempt outcomes."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.crash_record import SAME_CRASH_MS
from crocusspindle.core.crash_table import CrashReport, CrashTable
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import ContentDigest

MAX_DETECTION_DELAY_MS: Final = 6_000.0
"""The crash of a target that restarts at once shows when the next request meets another
instance at its address; attempts that broke up to this long before belong to it."""


@dataclass(slots=True)
class _Crashed:
    """Hold a target's last crash and the requests that ran there."""

    at_ms: float
    contents: set[ContentDigest] = field(default_factory=set)


class CrashWatch:
    """Detect crashes of the targets of one service."""

    def __init__(self, table: CrashTable) -> None:
        self._table = table
        self._answered: list[ContentDigest] = []
        self._crashed: dict[TargetIdentity, _Crashed] = {}
        self._broken: dict[TargetIdentity, dict[ContentDigest, float]] = {}
        self._reports: list[CrashReport] = []

    def ended(
        self,
        target: TargetIdentity,
        content: ContentDigest,
        running: Iterable[ContentDigest],
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> None:
        """Record an attempt's outcome and the requests that still run at the target."""
        if outcome is AttemptOutcome.ANSWERED:
            if content in self._table:
                self._answered.append(content)
        elif outcome is AttemptOutcome.CRASHED:
            self._record_crash(target, {content, *running}, now_ms)
        elif outcome is AttemptOutcome.BROKEN:
            self._broken.setdefault(target, {})[content] = now_ms
        elif outcome in (AttemptOutcome.CLOSED, AttemptOutcome.MISDIRECTED):
            broken_ms = self._broken.pop(target, {})
            since_ms = now_ms - MAX_DETECTION_DELAY_MS
            recent = {c for c, at in broken_ms.items() if at > since_ms}
            self._record_crash(target, recent, now_ms)

    def _record_crash(
        self, target: TargetIdentity, contents: set[ContentDigest], now_ms: float
    ) -> None:
        # The attempts at a crashed target end one by one. Counted one by one, the last
        # would seem to have run alone. A target may restart under its identity.
        last_crash = self._crashed.get(target)
        if last_crash is None or now_ms - last_crash.at_ms > SAME_CRASH_MS:
            last_crash = self._crashed[target] = _Crashed(now_ms)
        new = {content for content in contents if content} - last_crash.contents
        if new:
            last_crash.contents |= new
            self._reports.append(CrashReport(target, frozenset(last_crash.contents)))

    def keep(self, listed: Iterable[TargetIdentity]) -> None:
        """Forget the targets that are no longer listed."""
        kept = set(listed)
        for by_target in (self._crashed, self._broken):
            for target in by_target.keys() - kept:
                del by_target[target]

    @property
    def has_reports(self) -> bool:
        """Return True if there were crashes since the last call of ``reports``."""
        return bool(self._reports)

    def answered(self) -> list[ContentDigest]:
        """Return the requests on record that got a response since the last call."""
        answered, self._answered = self._answered, []
        return answered

    def reports(self) -> list[CrashReport]:
        """Return the crashes since the last call."""
        reports, self._reports = self._reports, []
        return reports
