"""Tests of parsing what a target's response tells of the target."""

import pytest

from crocusspindle.core.target_signals import NO_SIGNALS, TargetSignals
from crocusspindle.platform.dialect import dialect

OK = 200
REFUSED = 503


@pytest.mark.parametrize(
    ("headers", "limit_per_s"),
    [({}, None), ({"Server-Limit": "1.5"}, 1.5), ({"Server-Limit": " 20 "}, 20.0)],
)
def test_valid_limit_is_parsed(headers, limit_per_s):
    expected = TargetSignals(limit_per_s=limit_per_s)
    assert dialect().target_signals(OK, headers) == expected


@pytest.mark.parametrize(
    "text",
    ["", "-1", "nan", "inf", "some", "1,5", "1/s", "1e308", "1_0", "\u0661", "9" * 20],
)
@pytest.mark.parametrize("name", ["Server-Limit", "Retry-After"])
def test_invalid_amount_is_a_finding_and_has_no_effect(name, text):
    """Guards against a malformed value that keeps all requests from a target."""
    signals = dialect().target_signals(REFUSED, {name: text})
    assert (signals.limit_per_s, signals.retry_after_ms) == (None, None)
    assert [finding.path for finding in signals.refused] == [name]


@pytest.mark.parametrize(
    ("status", "text", "retry_after_ms"),
    [(503, "3", 3_000.0), (503, "0.25", 250.0), (429, "1", None), (200, "3", None)],
)
def test_retry_after_is_parsed_from_refusals_only(status, text, retry_after_ms):
    signals = dialect().target_signals(status, {"Retry-After": text})
    assert signals == TargetSignals(retry_after_ms=retry_after_ms)


@pytest.mark.parametrize(("text", "is_leaving"), [("1", True), ("0", False)])
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_leaving_is_parsed_from_every_response(status, text, is_leaving):
    signals = dialect().target_signals(status, {"Server-Leaving": text})
    assert signals == TargetSignals(is_leaving=is_leaving)


def test_unknown_signals_are_named():
    """Guards against signals of targets that nobody notices."""
    headers = {"Server-Mood": "1", "Server": "x", "X-Server-Stamp": "s"}
    assert dialect().target_signals(OK, headers).unknown == ("Server-Mood",)
    assert dialect().target_signals(OK, {"Server": "x"}) == NO_SIGNALS


def test_malformed_leaving_is_a_finding():
    signals = dialect().target_signals(OK, {"Server-Leaving": "soon"})
    assert not signals.is_leaving
    assert [finding.path for finding in signals.refused] == ["Server-Leaving"]
