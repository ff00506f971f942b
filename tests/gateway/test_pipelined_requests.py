"""Tests of pipelined requests on one connection."""

import asyncio
import signal

import pytest

from crocusspindle_standins.on_platform.fleet import KEY, Fleet
from crocusspindle_standins.on_platform.target import TargetFault

SERVICE_TIME_S = 0.3
PIPELINED = 4


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


def request_bytes(
    number: int, method: str = "GET", path: str = "/pages/", extra_headers: str = ""
) -> bytes:
    headers = extra_headers if method == "GET" else "Content-Length: 0\r\n"
    return (
        f"{method} {path}{number} HTTP/1.1\r\nHost: hall.example\r\n{headers}"
        f"X-Request-Id: q{number}\r\nX-Api-Key: {KEY}\r\n"
        "X-Deadline-Milliseconds: 3000\r\n\r\n"
    ).encode()


async def read_responses(
    reader: asyncio.StreamReader, count: int
) -> list[tuple[int, str]]:
    """Return status and request id of ``count`` responses, in their order."""
    responses = []
    for _ in range(count):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1)
            for line in head.split("\r\n")[1:]
            if ": " in line
        )
        await reader.readexactly(int(fields["content-length"]))
        responses.append((int(head.split()[1]), fields["x-request-id"]))
    return responses


async def connect(fleet: Fleet):
    gateway = fleet.gateways[0]
    return await asyncio.open_connection(gateway.ip, gateway.ports[0])


async def test_pipelined_gets_run_concurrently_and_are_answered_in_order(
    fleet,
):
    """A caller sends four GETs at once, each of which takes 0.3 s.

    Run one after the other, later requests could miss their deadline before they start.
    """
    for target in fleet.targets:
        target.work_s = SERVICE_TIME_S
    reader, writer = await connect(fleet)
    began = asyncio.get_running_loop().time()
    writer.write(b"".join(request_bytes(number) for number in range(PIPELINED)))
    async with asyncio.timeout(3):
        responses = await read_responses(reader, PIPELINED)
    took_s = asyncio.get_running_loop().time() - began
    assert responses == [(200, f"q{number}") for number in range(PIPELINED)]
    assert took_s < 2.5 * SERVICE_TIME_S
    writer.close()


async def test_a_get_behind_a_hanging_one_is_not_delayed(fleet):
    """The first GET meets a target that hangs; the second is sent at the same time."""
    fleet.targets[0].fault = TargetFault.HANGS
    reader, writer = await connect(fleet)
    for round_number in range(3):
        writer.write(
            request_bytes(2 * round_number) + request_bytes(2 * round_number + 1)
        )
        async with asyncio.timeout(3):
            responses = await read_responses(reader, 2)
        assert [status for status, _ in responses] == [200, 200]
    writer.close()


async def test_pipelined_posts_are_not_started_early(fleet):
    """A caller sends two POSTs at once and leaves before the first is answered.

    Started early, the second would run although the caller assumes that it wasn't read.
    """
    for target in fleet.targets:
        target.work_s = SERVICE_TIME_S
    _, writer = await connect(fleet)
    writer.write(
        request_bytes(1, "POST", "/orders/") + request_bytes(2, "POST", "/orders/")
    )
    await asyncio.sleep(SERVICE_TIME_S / 2)
    writer.close()
    await asyncio.sleep(2 * SERVICE_TIME_S)
    assert (fleet.ran("q1"), fleet.ran("q2")) == (1, 0)


async def test_requests_started_early_are_cancelled_when_the_caller_leaves(fleet):
    for target in fleet.targets:
        target.work_s = 2.0
    _, writer = await connect(fleet)
    writer.write(b"".join(request_bytes(number) for number in range(3)))
    await asyncio.sleep(0.2)
    writer.close()
    await asyncio.sleep(0.3)
    lines = [line for line in fleet.gateways[0].lines() if line.get("request")]
    assert [line["outcome"] for line in lines] == ["caller left"] * 3


async def test_a_planned_stop_answers_requests_started_early(fleet):
    """A gateway gets SIGTERM while targets work on three GETs of one connection.

    If it closed the connection after the first response, the others would be lost
    although their requests were already forwarded.
    """
    for target in fleet.targets:
        target.work_s = SERVICE_TIME_S
    reader, writer = await connect(fleet)
    writer.write(b"".join(request_bytes(number) for number in range(3)))
    await asyncio.sleep(SERVICE_TIME_S / 2)
    fleet.gateways[0].process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(3):
        responses = await read_responses(reader, 3)
    assert responses == [(200, f"q{number}") for number in range(3)]
    writer.close()


async def test_nothing_runs_behind_a_request_with_connection_close(fleet):
    """A caller sends "Connection: close" and another request in the same write.

    The second can't be answered on that connection, and the whole input is malformed.
    """
    for target in fleet.targets:
        target.work_s = SERVICE_TIME_S
    reader, writer = await connect(fleet)
    writer.write(
        request_bytes(1, extra_headers="Connection: close\r\n") + request_bytes(2)
    )
    async with asyncio.timeout(3):
        assert b" 400 " in await reader.read()
    assert (fleet.ran("q1"), fleet.ran("q2")) == (0, 0)
    writer.close()
