"""Find out by the endings of work which targets crashed, and what ran there."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.core.crash_record import SAME_CRASH_MS
from crocusspindle.core.crash_table import CrashReport, CrashTable
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.target_gauge import Ending
from crocusspindle.ids import ContentDigest

SHOWN_LATER_MS: Final = 6_000.0
"""A process that came back at once broke work this long ago at most, when the next
request meets another instance at its address."""


@dataclass(slots=True)
class _Crashed:
    """Hold a target's last crash and what ran there."""

    at_ms: float
    contents: set[ContentDigest] = field(default_factory=set)


class CrashWatch:
    """Watch the targets of one service."""

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
        ending: Ending,
        now_ms: float,
    ) -> None:
        """Take the end of one sending into account, beside what still runs there."""
        if ending is Ending.ANSWERED:
            if content in self._table:
                self._answered.append(content)
        elif ending is Ending.CRASHED:
            self._note_crash(target, {content, *running}, now_ms)
        elif ending is Ending.BROKEN:
            self._broken.setdefault(target, {})[content] = now_ms
        elif ending in (Ending.CLOSED, Ending.MISDIRECTED):
            lost = self._broken.pop(target, {})
            since_ms = now_ms - SHOWN_LATER_MS
            recent = {c for c, at in lost.items() if at > since_ms}
            self._note_crash(target, recent, now_ms)

    def _note_crash(
        self, target: TargetIdentity, contents: set[ContentDigest], now_ms: float
    ) -> None:
        # All that ran there ends one by one. Counted one by one, the last would seem
        # to have been alone. A target may come back under its identity.
        known = self._crashed.get(target)
        if known is None or now_ms - known.at_ms > SAME_CRASH_MS:
            known = self._crashed[target] = _Crashed(now_ms)
        new = {content for content in contents if content} - known.contents
        if new:
            known.contents |= new
            self._reports.append(CrashReport(target, frozenset(known.contents)))

    def keep(self, listed: Iterable[TargetIdentity]) -> None:
        """Forget targets that have left the list."""
        kept = set(listed)
        for found in (self._crashed, self._broken):
            for target in found.keys() - kept:
                del found[target]

    @property
    def has_reports(self) -> bool:
        """Return True if there were crashes since they were last asked for."""
        return bool(self._reports)

    def answered(self) -> list[ContentDigest]:
        """Return the requests with a record that were answered since the last call."""
        answered, self._answered = self._answered, []
        return answered

    def reports(self) -> list[CrashReport]:
        """Return the crashes since the last call."""
        reports, self._reports = self._reports, []
        return reports
