"""Count lost requests by reason and time, from the log lines of nodes.

Operators need to know first which requests were lost, when and why. Each entry logs one
line per request; this module aggregates them.
"""

import json
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, Final

from crocusspindle.errors import Finding, InvalidInputError

ENDED: Final = "request ended"
REFUSED: Final = "request refused"
RESTORED: Final = "store restored"
SUCCESS_PREFIX: Final = "2"
LATE: Final = "late"
CLIENT_ERRORS: Final = frozenset({"400", "401", "403", "404", "413", "431"})
"""Outcomes of invalid requests, which are counted neither as requests nor as losses."""

MAX_SECONDS_PER_LOSS: Final = 5
"""Seconds listed for each kind of loss, those with the most losses first."""


@dataclass(frozen=True, slots=True)
class Loss:
    """Identify one kind of loss by route, request kind, outcome and reason."""

    route: str
    kind: str
    outcome: str
    reason: str


@dataclass
class LossReport:
    """Count requests by route, and losses by kind and second.

    Seconds count from the first request in the log lines. ``restores`` has for each new
    era of the store the seconds at which nodes learned of it.
    """

    requests_by_route: Counter[str] = field(default_factory=Counter)
    lost: dict[Loss, Counter[int]] = field(default_factory=dict)
    restores: dict[int, list[int]] = field(default_factory=dict)
    unread_lines: int = 0

    @property
    def losses(self) -> list[tuple[Loss, int]]:
        """Return the kinds of loss with their counts, the most frequent first."""
        totals = [(loss, seconds.total()) for loss, seconds in self.lost.items()]
        return sorted(totals, key=lambda entry: -entry[1])

    def table(self) -> dict[str, Any]:
        """Return the report as plain data, the most frequent loss first."""
        return {
            "requests": self.requests_by_route.total(),
            "lines_unread": self.unread_lines,
            "store_restored": [
                {"era": era, "at_s": min(seconds), "nodes": len(seconds)}
                for era, seconds in sorted(self.restores.items())
            ],
            "lost": [
                {
                    "number": number,
                    "outcome": loss.outcome,
                    "reason": loss.reason,
                    "route": loss.route,
                    "kind": loss.kind,
                    "at_s": dict(self.lost[loss].most_common(MAX_SECONDS_PER_LOSS)),
                }
                for loss, number in self.losses
            ],
        }


def count_losses(lines: Iterable[str]) -> LossReport:
    """Count log lines of any nodes, in any order; skip text that precedes the JSON.

    Raise ``InvalidInputError`` if no line describes a request.
    """
    report = LossReport()
    timed_entries: list[tuple[float, dict[str, Any]]] = []
    for line in lines:
        json_start = line.find("{")
        if json_start < 0:
            continue
        try:
            entry = json.loads(line[json_start:])
            if entry["message"] in (ENDED, REFUSED, RESTORED):
                timed_entries.append((_unix_s(entry), entry))
        except (ValueError, KeyError, TypeError):
            report.unread_lines += 1
    if all(entry["message"] == RESTORED for _, entry in timed_entries):
        message = "holds no line of a request that ended or was refused"
        raise InvalidInputError([Finding("logs", ".", message)])
    first_s = min(at_s for at_s, e in timed_entries if e["message"] != RESTORED)
    for at_s, entry in timed_entries:
        second = math.floor(at_s - first_s)
        if entry["message"] == RESTORED:
            report.restores.setdefault(int(entry["era"]), []).append(second)
        else:
            _count(report, entry, second)
    return report


def _unix_s(entry: dict[str, Any]) -> float:
    return datetime.fromisoformat(entry["time"]).timestamp()


def _count(report: LossReport, entry: dict[str, Any], second: int) -> None:
    outcome = str(entry.get("outcome", ""))
    if outcome in CLIENT_ERRORS:
        return
    route = str(entry.get("route", "-"))
    report.requests_by_route[route] += 1
    reason = _reason(entry, outcome)
    if reason is None:
        return
    loss = Loss(route, str(entry.get("kind", "-")), outcome, reason)
    report.lost.setdefault(loss, Counter())[second] += 1


def _reason(entry: dict[str, Any], outcome: str) -> str | None:
    if outcome.startswith(SUCCESS_PREFIX):
        aim_ms = entry.get("aim_ms")
        late = aim_ms is not None and entry.get("took_ms", 0) > aim_ms
        return LATE if late else None
    if entry["message"] == REFUSED:
        return str(entry.get("reason", "-"))
    return "target's own error" if outcome.isdigit() else outcome
