import json

import pytest

from crocusspindle import cli
from crocusspindle.errors import InvalidInputError
from crocusspindle.exit_codes import ExitCode
from crocusspindle.losses import Loss, count_losses


def line(second: int, message: str, **fields) -> str:
    entry = {"time": f"2026-05-12T19:53:{second:02}.500Z", "message": message}
    return json.dumps({**entry, "route": "pay", "kind": "unsafe", **fields})


def test_losses_are_counted_by_reason_and_second():
    lines = [
        line(10, "request ended", outcome="200", took_ms=120, aim_ms=600),
        line(12, "request ended", outcome="200", took_ms=720, aim_ms=600),
        line(12, "request ended", outcome="500", took_ms=90, aim_ms=600),
        line(13, "request refused", outcome="504", reason="target-silent"),
        "  13.9 front-1 "
        + line(13, "request refused", outcome="504", reason="target-silent"),
        line(14, "request ended", outcome="caller left", took_ms=50),
        line(15, "request refused", outcome="404", reason="no-route"),
        line(15, "target standing changed"),
        "no JSON",
        '{"message": ',
    ]
    report = count_losses(lines)
    assert report.requests_by_route == {"pay": 6}
    assert report.unread_lines == 1
    assert report.losses[0] == (Loss("pay", "unsafe", "504", "target-silent"), 2)
    assert dict(report.losses) == {
        Loss("pay", "unsafe", "504", "target-silent"): 2,
        Loss("pay", "unsafe", "200", "late"): 1,
        Loss("pay", "unsafe", "500", "target's own error"): 1,
        Loss("pay", "unsafe", "caller left", "caller left"): 1,
    }
    most_frequent = report.table()["lost"][0]
    assert most_frequent["number"] == 2 and most_frequent["at_s"] == {3: 2}


def test_losses_tell_when_the_store_was_restored():
    lines = [
        line(10, "request ended", outcome="200", took_ms=120, aim_ms=600),
        line(12, "store restored", previous=1, era=2),
        line(13, "store restored", previous=1, era=2),
    ]
    restored = count_losses(lines).table()["store_restored"]
    assert restored == [{"era": 2, "at_s": 2, "nodes": 2}]


def test_logs_without_requests_are_an_error():
    with pytest.raises(InvalidInputError, match="no line of a request"):
        count_losses(["nothing", line(1, "started")])


def test_losses_command_reads_files_and_reports_a_missing_one(tmp_path, capsys):
    log = tmp_path / "node.log"
    log.write_text(line(1, "request refused", outcome="503", reason="full"))
    assert cli.run(["--output", "json", "losses", str(log)]) == ExitCode.DONE
    assert json.loads(capsys.readouterr().out)["lost"][0]["reason"] == "full"
    missing = str(tmp_path / "none.log")
    assert cli.run(["losses", missing]) == ExitCode.FINDINGS
    assert missing in capsys.readouterr().err
