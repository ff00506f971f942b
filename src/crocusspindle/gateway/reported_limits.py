"""Remember the limits that targets have named to this node."""

from collections.abc import Iterable
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitReport

REMEMBERED_MS: Final = 10_000.0
"""A target that still has a limit has named it again within this, if it gets work."""


class ReportedLimits:
    """Hold limits, for placers that may not know them.

    A placer that has just taken over has heard no answer yet. Its first asks tell it.
    """

    def __init__(self) -> None:
        self._reports: dict[TargetIdentity, LimitReport] = {}

    def take(self, report: LimitReport) -> None:
        """Take over what an answer named, which this node has passed on."""
        known = self._reports.get(report.target)
        if known is not None and known.sent_ms > report.sent_ms:
            return
        if report.limit_per_s is None:
            self._reports.pop(report.target, None)
        else:
            self._reports[report.target] = report

    def recent(self, now_ms: float) -> list[LimitReport]:
        """Return the limits that are not forgotten yet."""
        if not self._reports:
            return []
        since_ms = now_ms - REMEMBERED_MS
        self._reports = {t: s for t, s in self._reports.items() if s.sent_ms > since_ms}
        return list(self._reports.values())


def packed_limits(
    limits: Iterable[LimitReport], now_ms: float
) -> list[tuple[str, float, int]]:
    """Return limits as plain lists; what says nothing is left out."""
    return [
        (report.target, report.limit_per_s, round(now_ms - report.sent_ms))
        for report in limits
        if report.limit_per_s is not None
    ]


def unpacked_limits(
    parts: Iterable[tuple[str, float, int]], now_ms: float
) -> list[LimitReport]:
    """Return the limits of `packed_limits`."""
    return [
        LimitReport(TargetIdentity(target), limit_per_s, now_ms - age_ms)
        for target, limit_per_s, age_ms in parts
    ]
