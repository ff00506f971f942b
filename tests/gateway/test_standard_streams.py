"""Tests of a gateway process whose output nothing reads."""

import asyncio
import json
import signal
import subprocess
import sys

import pytest

from crocusspindle_standins.on_platform.deployed import deployed_environment
from crocusspindle_standins.on_platform.fleet import Fleet

HANGING_S = 60
CLOSED = ["0", "1", "2", "12", "012"]


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start(gateways=1)
        yield started
    finally:
        await started.stop()


@pytest.mark.parametrize("closed", CLOSED)
async def test_a_process_without_standard_streams_serves(fleet, closed):
    """Guards against a start that fails, or logs to a caller, without a log pipe."""
    gateway = fleet.gateways[0]
    gateway.process.kill()
    await gateway.process.wait()
    redirections = " ".join(f"{descriptor}>&-" for descriptor in closed)
    command = f'exec "$0" -m crocusspindle.gateway "$1" {redirections}'
    gateway.process = await asyncio.create_subprocess_exec(
        *("sh", "-c", command, sys.executable, gateway.settings),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
        env=deployed_environment(),
    )
    await fleet.until_ready()
    assert (await fleet.call("/pages/1"))[0] == 200
    gateway.process.send_signal(signal.SIGTERM)
    assert await asyncio.wait_for(gateway.process.wait(), HANGING_S) == 0


LIBRARY_ERROR = """
import logging
from crocusspindle.gateway.line_log import set_up_lines

set_up_lines()
try:
    raise ValueError("no such row")
except ValueError:
    logging.getLogger("aiohttp.server").exception("request %d failed", 7)
"""


def test_lines_of_libraries_are_written_like_those_of_the_node():
    """Guards against a process that stands still as nothing reads its errors."""
    ended = subprocess.run(
        [sys.executable, "-c", LIBRARY_ERROR],
        env=deployed_environment(),
        capture_output=True,
        timeout=20,
        check=True,
    )
    line = json.loads(ended.stdout)
    assert line["message"] == "request 7 failed"
    assert "no such row" in line["exception"]
    assert not ended.stderr
