"""Tests of stand-in targets that run in a process of their own."""

from http.client import HTTPConnection

import pytest

from crocusspindle_standins.on_platform.separate_targets import TargetProcess
from crocusspindle_standins.on_platform.target import TargetFault

TIMEOUT_S = 30.0


@pytest.fixture
async def target():
    with TargetProcess() as process:
        started = process.target("t0", "books", "a")
        started.work_s = 0.01
        await started.start("127.0.0.1")
        yield started
        await started.stop()


def call(target, request_id):
    """Send a request while the loop of the test stands still; return the response."""
    connection = HTTPConnection(target.address, timeout=TIMEOUT_S)
    headers = {"X-Expected-Instance": target.identity, "X-Request-Id": request_id}
    try:
        connection.request("GET", "/pages/1", headers=headers)
        response = connection.getresponse()
        response.read()
        return response
    finally:
        connection.close()


async def test_a_target_answers_while_the_test_stands_still(target):
    """Guards against sound targets that look silent because the test is busy."""
    assert call(target, "r1").status == 200
    assert target.ran == {"r1": 1}
    assert [arrival.request_id for arrival in target.arrivals] == ["r1"]


async def test_a_setting_is_in_force_from_the_next_request(target):
    """Guards against a fault that a test sets and that never happens."""
    target.fault, target.retry_after_s = TargetFault.SHEDS, 3.0
    response = call(target, "r1")
    assert (response.status, response.headers["Retry-After"]) == (503, "3.0")
    target.fault = TargetFault.NONE
    assert call(target, "r2").status == 200
    assert target.ran == {"r2": 1}


async def test_records_outlast_the_target(target):
    """Guards against checks after the end of a fleet that find no records."""
    call(target, "r1")
    await target.stop()
    assert not target.is_listening
    assert target.ran == {"r1": 1}


def test_the_process_ends_with_its_test():
    """Guards against processes that outlast their test."""
    with TargetProcess() as process:
        pass
    assert process.returncode == 0


async def test_a_call_that_fails_raises_in_the_test():
    """Guards against a target that isn't there and is taken for a quiet one."""
    with TargetProcess() as process, pytest.raises(KeyError):
        process.call("read", "t9", "ran")
