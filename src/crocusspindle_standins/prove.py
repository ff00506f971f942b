"""Check that the tests of each guarantee fail when its mechanism is disabled.

Each case disables one mechanism in a copy of the sources and runs the tests that cover
it there: they must fail, and must pass in the unmodified sources.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from typing import Final

import fire

from crocusspindle_standins.processes import PORT_SHARE

ROOT: Final = Path(__file__).resolve().parents[2]
TIMEOUT_S: Final = 300.0
PARALLEL_CASES: Final = 4


@dataclass(frozen=True)
class Edit:
    """Replace a text that occurs exactly once in a file."""

    file: str
    text: str
    replacement: str


@dataclass(frozen=True)
class Case:
    """Define a mechanism, how to disable it, and the test that must fail then."""

    name: str
    guarantee: int
    test: str
    edits: tuple[Edit, ...]


CASES: Final = (
    Case(
        "fitness",
        2,
        "tests/fleet/test_keys.py::test_a_withdrawn_key_stops_on_an_isolated_node",
        (
            Edit(
                "src/crocusspindle/services/control.py",
                "        return now_ms() < self.eligible_until_ms()",
                "        return True",
            ),
        ),
    ),
    Case(
        "revoking what is queued",
        2,
        "tests/fleet/test_keys.py::test_a_withdrawn_key_stops_on_queued_requests",
        (
            Edit(
                "src/crocusspindle/services/group_runner.py",
                "or not self._permissions.key_active(\n"
                "            head.credential\n        )",
                "or False",
            ),
            Edit(
                "src/crocusspindle/services/coordinator.py",
                "                runner.revoke(digest)",
                "                pass",
            ),
        ),
    ),
    Case(
        "hiding keys from targets",
        2,
        "tests/fleet/test_keys.py::test_targets_and_logs_never_see_a_key",
        (
            Edit(
                "src/crocusspindle/services/entry.py",
                '        "authorization",\n',
                "",
            ),
        ),
    ),
    Case(
        "shares of the whole fleet",
        3,
        "tests/fleet/test_rates.py::test_no_window_exceeds_rate_and_burst",
        (
            Edit(
                "src/crocusspindle/services/rates.py",
                "        return self._control.directory.customer(customer)",
                "        held = self._control.directory.customer(customer)\n"
                "        many = 4 * held.burst if held else 0\n"
                "        return held and Customer(customer, held.rate_per_s * 4, many)",
            ),
        ),
    ),
    Case(
        "checking the id of an answer",
        4,
        "tests/fleet/test_responses.py::test_crossed_and_truncated_responses_reach_no_caller",
        (
            Edit(
                "src/crocusspindle/services/targets.py",
                "        if echoed is not None and echoed != request.request:",
                "        if False:",
            ),
        ),
    ),
    Case(
        "the word for a request that a lost home may be running",
        5,
        "tests/services/test_hand_over.py",
        (
            Edit(
                "src/crocusspindle/services/hand_over.py",
                "            self.begun_elsewhere = True",
                "            self.begun_elsewhere = False",
            ),
        ),
    ),
    Case(
        "records of operations",
        6,
        "tests/fleet/test_operations_run_once.py::test_an_order_sent_to_every_entry_runs_once",
        (
            Edit(
                "src/crocusspindle/services/entry.py",
                "        if call.idempotent or key is None:",
                "        if True:",
            ),
        ),
    ),
    Case(
        "reading back a row whose answer was lost",
        6,
        "tests/fleet/test_operations_run_once.py::test_the_tables_response_is_lost_after_the_write",
        (
            Edit(
                "src/crocusspindle/services/ledger.py",
                "            return RowResult(RowOutcome.UNKNOWN)",
                "            return RowResult(RowOutcome.UNAVAILABLE)",
            ),
        ),
    ),
    Case(
        "asking the entry before an order is sent",
        6,
        "tests/fleet/test_operations_run_once.py::test_a_paused_coordinator_resumes",
        (
            Edit(
                "src/crocusspindle/services/handed_over_request.py",
                "        if not self.needs_claim:\n            return True",
                "        if True:\n            return True",
            ),
        ),
    ),
    Case(
        "heeding the host list",
        7,
        "tests/fleet/test_responses.py::test_a_leaving_target_gets_no_new_requests",
        (
            Edit(
                "src/crocusspindle/platform/http.py",
                'state=TargetState(entry["state"])',
                "state=TargetState.LIVE",
            ),
        ),
    ),
    Case(
        "serving on while callers keep an address",
        8,
        "tests/fleet/test_stops.py::test_rolling_restart_interrupts_no_request",
        (
            Edit(
                "src/crocusspindle/services/ports.py",
                "        await asyncio.sleep(max(0.0, until_ms - now_ms()) / 1e3)\n",
                "",
            ),
        ),
    ),
    Case(
        "reading back a ticket whose answer was lost",
        9,
        "tests/fleet/test_tickets.py::"
        "test_ticket_with_a_lost_response_is_accepted_once",
        (
            Edit(
                "src/crocusspindle/core/tickets.py",
                "            self._maybe_written = True\n"
                "            self.step = SubmissionStep.READ_BACK\n",
                "            self._end(SubmissionOutcome.NOT_WRITTEN)\n"
                "            return\n",
            ),
        ),
    ),
)


def _copy(folder: Path) -> None:
    for name in ("src", "tests", "benchmarks", "pyproject.toml"):
        source = ROOT / name
        if source.is_dir():
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, folder / name, ignore=ignored)
        else:
            shutil.copy(source, folder / name)


def _disable(case: Case, folder: Path) -> None:
    for edit in case.edits:
        file = folder / edit.file
        text = file.read_text()
        if text.count(edit.text) != 1:
            raise SystemExit(
                f"{case.name}: {edit.file} must hold the text exactly once"
            )
        file.write_text(text.replace(edit.text, edit.replacement))


def _passes(case: Case, folder: Path, port_share: int) -> bool:
    environment = os.environ | {
        "PYTHONPATH": f"{folder / 'src'}{os.pathsep}{folder}",
        PORT_SHARE: str(port_share),
    }
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-x", case.test],
        check=False,
        cwd=folder,
        env=environment,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    return completed.returncode == 0


def _matching_cases(name: str) -> Iterator[Case]:
    matching = [case for case in CASES if name in case.name]
    if not matching:
        names = ", ".join(case.name for case in CASES)
        raise SystemExit(f"{name!r} matches no case name; cases: {names}")
    yield from matching


def _check_case(case: Case, number: int) -> bool:
    """Return True if the test passes with the mechanism and fails without it."""
    port_share = number % PARALLEL_CASES
    with tempfile.TemporaryDirectory(prefix="crocusspindle-") as folder:
        _copy(Path(folder))
        passes_with = _passes(case, Path(folder), port_share)
        _disable(case, Path(folder))
        passes_without = _passes(case, Path(folder), port_share)
    labels = {True: "passes", False: "fails"}
    print(
        f"promise {case.guarantee}, {case.name}: {labels[passes_with]} with it, "
        f"{labels[passes_without]} without it ({case.test})",
        flush=True,
    )
    return passes_with and not passes_without


def main(name: str = "") -> None:
    """Disable mechanisms one by one; exit with 1 unless the tests detect each.

    Parameters
    ----------
    name
        Part of a case's name; all cases run without it.
    """
    cases = list(_matching_cases(name))
    with ThreadPoolExecutor(PARALLEL_CASES) as pool:
        detected_by_case = list(pool.map(_check_case, cases, count()))
    undetected = [
        case.name
        for case, detected in zip(cases, detected_by_case, strict=True)
        if not detected
    ]
    if undetected:
        raise SystemExit(f"not confirmed: {', '.join(undetected)}")


if __name__ == "__main__":
    fire.Fire(main)
