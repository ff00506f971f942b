"""Run the soak from the command line, and write one report for each seed."""

import asyncio
import json
import logging
import sys
import tempfile
from collections import Counter
from contextlib import suppress
from datetime import datetime
from pathlib import Path
from typing import Final

import fire

from crocusspindle_standins.on_platform.fleet import Gateway
from crocusspindle_standins.soak.checks import Finding, check
from crocusspindle_standins.soak.history import History
from crocusspindle_standins.soak.plan import Plan, make_plan
from crocusspindle_standins.soak.play import Player

DRAIN_LOGGERS: Final = frozenset({"kernel", "ports", "reload"})


def report(plan: Plan, player: Player, findings: list[Finding]) -> str:
    """Return the plan, the timeline and the findings of one run."""
    history = player.history
    statuses = Counter(request.status for request in history.requests)
    lines = [
        f"seed {plan.seed}: {plan.gateways} gateways, "
        f"work {plan.work_s} s, {len(history.stops)} planned stops, "
        f"{len(history.requests)} requests, {len(findings)} findings",
        f"statuses: {dict(sorted(statuses.items()))} (0 closed, -1 timed out)",
        "plan:",
        *(f"  {event}" for event in plan.events),
        "timeline:",
        *(f"  {at_s:7.3f} {text}" for at_s, text in sorted(history.timeline)),
        *(f"  {stop}" for stop in history.stops),
    ]
    unanswered = [request for request in history.requests if request.status < 1]
    lines += ["without a response, allowed or not:"] if unanswered else []
    lines += [f"  {request}" for request in unanswered]
    for finding in findings:
        gateway = player.fleet.gateways[finding.gateway]
        lines += _finding_lines(finding, gateway, history)
    return "\n".join(lines) + "\n"


def _finding_lines(finding: Finding, gateway: Gateway, history: History) -> list[str]:
    request_id = finding.request.request_id if finding.request else None
    lines = [f"finding: {finding.check}: {request_id or gateway.name}: {finding.text}"]
    if finding.request is not None:
        lines.append(f"  {finding.request}")
        lines += [f"  {run}" for run in history.runs_of(finding.request)]
    for text in gateway.log().splitlines():
        # A killed process leaves an incomplete line.
        with suppress(ValueError, KeyError):
            line = json.loads(text)
            at_s = datetime.fromisoformat(line["time"]).timestamp()
            is_of_drain = line["logger"] in DRAIN_LOGGERS
            if is_of_drain or (request_id and line.get("request") == request_id):
                lines.append(f"  log {at_s - history.began_epoch_s:7.3f} {text}")
    return lines


def main(seed: int = 1, runs: int = 1, folder: str = "", gateways: int = 0) -> None:
    """Play one plan for each of ``runs`` seeds; exit with 1 if there are findings.

    Parameters
    ----------
    seed
        First seed; the others follow it.
    folder
        Folder for the reports and the gateways' logs; a temporary one by default.
    gateways
        Number of gateways; drawn by the seed by default.
    """
    # Targets abort connections on purpose; aiohttp would log each of them.
    logging.disable(logging.ERROR)
    path = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="soak-"))
    has_findings = False
    for number in range(int(seed), int(seed) + int(runs)):
        plan = make_plan(number, int(gateways))
        run_folder = path / f"seed-{number}"
        run_folder.mkdir(parents=True, exist_ok=True)
        for log in run_folder.glob("g*.log"):
            log.unlink()
        player = Player(plan, run_folder)
        asyncio.run(player.play())
        findings = check(player.history)
        text = report(plan, player, findings)
        (run_folder / "report.txt").write_text(text)
        print(text if findings else "\n".join(text.splitlines()[:2]), flush=True)
        has_findings |= bool(findings)
    print(f"reports: {path}")
    sys.exit(1 if has_findings else 0)


if __name__ == "__main__":
    fire.Fire(main)
