"""Store the rate limits that targets have reported to this node."""

import math
from collections.abc import Iterable
from typing import Final

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitReport

RETENTION_MS: Final = 10_000.0
"""A target that still has a limit and gets requests reports it again within this."""

KEPT_UNLIMITED: Final = 5_000
"""Targets without a limit that are kept; the one recorded first is dropped first."""


class ReportedLimits:
    """Hold limits for placers that may not know them.

    A new placer has received no outcome yet. It learns the limits from the first
    placement requests.
    """

    def __init__(self) -> None:
        self._reports: dict[TargetIdentity, LimitReport] = {}
        self._unlimited_ms: dict[TargetIdentity, float] = {}

    def record(self, report: LimitReport) -> None:
        """Record the limit that a target's response reported, or that it had none."""
        previous = self._reports.get(report.target)
        if previous is not None and previous.sent_ms > report.sent_ms:
            return
        if self._unlimited_ms.get(report.target, -math.inf) > report.sent_ms:
            return
        self._unlimited_ms.pop(report.target, None)
        if report.limit_per_s is not None:
            self._reports[report.target] = report
            return
        self._reports.pop(report.target, None)
        self._unlimited_ms[report.target] = report.sent_ms
        if len(self._unlimited_ms) > KEPT_UNLIMITED:
            del self._unlimited_ms[next(iter(self._unlimited_ms))]

    def is_unlimited(self, target: TargetIdentity, now_ms: float) -> bool:
        """Return True if a target reported no limit within the retention time."""
        sent_ms = self._unlimited_ms.get(target)
        return sent_ms is not None and sent_ms > now_ms - RETENTION_MS

    def recent(self, now_ms: float) -> list[LimitReport]:
        """Return the limits reported within the retention time."""
        if not self._reports:
            return []
        since_ms = now_ms - RETENTION_MS
        self._reports = {t: r for t, r in self._reports.items() if r.sent_ms > since_ms}
        return list(self._reports.values())


PackedLimit = tuple[str, float | None, int]


def packed_limits(limits: Iterable[LimitReport], now_ms: float) -> list[PackedLimit]:
    """Return limits as tuples with their age in ms, 0 without a reported limit."""
    return [
        (
            report.target,
            report.limit_per_s,
            0 if report.limit_per_s is None else round(now_ms - report.sent_ms),
        )
        for report in limits
    ]


def unpacked_limits(packed: Iterable[PackedLimit], now_ms: float) -> list[LimitReport]:
    """Convert the output of `packed_limits` back."""
    return [
        LimitReport(TargetIdentity(target), limit_per_s, now_ms - age_ms)
        for target, limit_per_s, age_ms in packed
    ]
