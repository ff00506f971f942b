import io
import json

import pytest
from aiohttp.test_utils import TestClient, TestServer

from crocusspindle.log_lines import REDACTED, Logger, log_state_change
from crocusspindle.logs import set_up_logs
from crocusspindle.metrics import (
    InstrumentKind,
    Metrics,
    declare,
    declared,
    metrics_app,
)
from crocusspindle.settings_schema import LogFormat, LogSettings

SECRET = "k-1234567890"
SEEN = declare(
    "test_seen",
    InstrumentKind.COUNTER,
    unit="requests",
    meaning="Seen.",
    when_rising="Nothing.",
    labels=("customer",),
)
DEPTH = declare(
    "test_depth",
    InstrumentKind.GAUGE,
    unit="requests",
    meaning="Depth.",
    when_rising="Nothing.",
)
WAIT = declare(
    "test_wait_ms",
    InstrumentKind.HISTOGRAM,
    unit="ms",
    meaning="Wait.",
    when_rising="Nothing.",
)


@pytest.mark.parametrize("style", list(LogFormat))
def test_keys_are_redacted_in_logs(style):
    stream = io.StringIO()
    setup = set_up_logs(LogSettings(format=style), stream)
    log_state_change(
        Logger("test"),
        "refused Bearer " + SECRET,
        key=SECRET,
        Authorization=SECRET,
        headers={"operator_key": SECRET, "host": "h"},
        customer="c1",
    )
    setup.pop_application()
    line = stream.getvalue()
    assert SECRET not in line
    assert REDACTED in line
    assert "c1" in line
    if style is LogFormat.JSON:
        fields = json.loads(line)
        assert fields["headers"] == {"operator_key": REDACTED, "host": "h"}
        assert fields["message"] == f"refused Bearer {REDACTED}"


async def test_label_values_are_bounded_in_scrapes():
    metrics = Metrics("a1", "d1", label_values_max=2)
    for customer in ("c1", "c2", "c3", "c4", "c1"):
        metrics.add(SEEN, customer=customer)
    metrics.observe(DEPTH, lambda: [(7, {})])
    metrics.record(WAIT, 4.0)
    async with TestClient(TestServer(metrics_app(metrics))) as client:
        response = await client.get("/metrics")
        text = await response.text()
    metrics.close()
    assert 'crocusspindle_test_seen_total{customer="c1"} 2.0' in text
    assert 'crocusspindle_test_seen_total{customer="other"} 2.0' in text
    assert "c3" not in text
    assert "crocusspindle_test_depth 7.0" in text
    assert 'crocusspindle_test_wait_ms_bucket{le="5"} 1.0' in text


def test_duplicate_declaration_is_rejected():
    assert declared()["test_seen"] is SEEN
    with pytest.raises(ValueError, match="twice"):
        declare("test_seen", InstrumentKind.GAUGE, unit="", meaning="", when_rising="")
