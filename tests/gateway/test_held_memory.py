"""Tests of how held bodies wait, are released and are dropped."""

import asyncio

import pytest
from aiohttp import web
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.memory_bound import LARGE_BODY_BYTES, HeldKind, MemoryBound
from crocusspindle.gateway.entry import ProcessedRequest, release_result
from crocusspindle.gateway.held_memory import HeldBytes, HeldMemory
from crocusspindle.gateway.responses import HeldResponse, send_target_response
from crocusspindle.gateway.target_client import OutgoingRequest, TargetClient
from crocusspindle.platform.dialect import dialect
from crocusspindle_standins.on_platform.target import PlatformTarget, TargetFault
from tests.gateway.test_target_client import listed_target

MB = 1_000_000
LONG = "/pages/longpage"


@pytest.fixture
def memory():
    return HeldMemory(MemoryBound(10 * MB))


@pytest.fixture
async def target():
    started = PlatformTarget("t0", "books", "a")
    await started.start("127.0.0.1")
    yield started
    await started.stop()


async def ask(memory, target, deadline_ms=2_000.0):
    """Send a request for a long response, and return the result."""
    client = TargetClient(dialect())
    await client.start()
    headers = CIMultiDict({"X-Request-Id": "r1"})
    request_memory = memory.request(None, "r1")
    outgoing = OutgoingRequest("r1", "GET", LONG, headers, None, request_memory)
    try:
        return await client.send(
            listed_target(target), outgoing, now_ms() + deadline_ms
        )
    finally:
        if target.long_bytes <= MB:
            await client.stop()


async def serve(memory, target, deadline_ms=2_000.0):
    """Return a server that forwards one long response, and its port."""

    async def handle(request):
        result = await ask(memory, target)
        response = await send_target_response(
            request, result.target_response, now_ms() + deadline_ms
        )
        if isinstance(response, HeldResponse):
            await response.send(request)
        return response

    runner = web.ServerRunner(web.Server(handle), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return runner, site.port


async def until_held(memory, least):
    """Wait until at least so much is held."""
    async with asyncio.timeout(5):
        while memory.bound.held_bytes < least:
            await asyncio.sleep(0.01)


async def read_all(reader):
    """Read a response to the end of its connection; return its body."""
    response = b""
    try:
        while part := await reader.read(1 << 16):
            response += part
    except ConnectionError:
        pass
    return response.partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("long_bytes", [900_000, 6_000_000])
async def test_a_dropped_response_is_cut_and_never_looks_complete(
    memory, target, long_bytes
):
    """Guards against a truncated response that its caller takes for a whole one."""
    target.long_bytes = long_bytes
    runner, port = await serve(memory, target)
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 12)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await until_held(memory, long_bytes // 3)
    filling = HeldBytes(memory, None, HeldKind.REQUEST, "r2")
    filling.resize(10 * MB)
    assert len(await read_all(reader)) < long_bytes
    filling.release()
    await runner.cleanup()
    assert memory.bound.held_bytes == 0


@pytest.mark.parametrize("long_bytes", [100, 65_536, 900_000, 6_000_000])
async def test_a_response_arrives_whole_in_parts(memory, target, long_bytes):
    """Guards against parts that are lost or doubled as they are freed."""
    target.long_bytes = long_bytes
    runner, port = await serve(memory, target)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    body = await read_all(reader)
    assert len(body) == long_bytes and body.startswith(b"answer to " + LONG.encode())
    await runner.cleanup()
    assert memory.bound.held_bytes == 0


@pytest.mark.parametrize("fault", [TargetFault.CUTS, TargetFault.STOPS])
async def test_an_attempt_without_a_whole_response_holds_nothing(memory, target, fault):
    """Guards against memory that stays counted when a target stops midway."""
    target.fault = fault
    result = await ask(memory, target, 300.0)
    assert result.target_response is None and memory.bound.held_bytes == 0


async def test_a_discarded_response_holds_nothing(memory, target):
    """Guards against a hedge's response that stays counted when it loses."""
    result = await ask(memory, target)
    assert memory.bound.held_bytes == target.long_bytes
    result.discard()
    assert memory.bound.held_bytes == 0 and result.target_response.body == b""


async def test_a_response_started_early_for_a_caller_that_left_is_freed(memory, target):
    """Guards against pipelined requests whose results nobody takes."""
    result = await ask(memory, target)

    async def process():
        return ProcessedRequest("r1", 0.0, result=result)

    task = asyncio.create_task(process())
    await task
    task.add_done_callback(release_result)
    await asyncio.sleep(0)
    assert memory.bound.held_bytes == 0


async def test_an_upload_waits_until_another_request_ends(memory):
    """Guards against uploads that are all read at once above half of the bound."""
    first = HeldBytes(memory, None, HeldKind.REQUEST, "r1")
    first.resize(6 * MB)
    waiting = HeldBytes(memory, None, HeldKind.REQUEST, "r2")
    waiting.resize(LARGE_BODY_BYTES + 1)
    reading = asyncio.create_task(memory.may_read_body(waiting, now_ms() + 5_000.0))
    await asyncio.sleep(0.02)
    assert not reading.done()
    first.release()
    async with asyncio.timeout(0.5):
        assert await reading


async def test_an_upload_that_waits_is_refused_at_its_deadline(memory):
    """Guards against callers that wait for ever for a host without memory."""
    first = HeldBytes(memory, None, HeldKind.REQUEST, "r1")
    first.resize(6 * MB)
    waiting = HeldBytes(memory, None, HeldKind.REQUEST, "r2")
    waiting.resize(LARGE_BODY_BYTES + 1)
    assert not await memory.may_read_body(waiting, now_ms() + 50.0)


async def test_a_response_dropped_while_it_waits_frees_its_memory(memory, target):
    """Guards against dropped bodies that stay in memory but are not counted.

    A pipelined response waits for those ahead of it.
    """
    result = await ask(memory, target)
    filling = HeldBytes(memory, None, HeldKind.REQUEST, "r2")
    filling.resize(10 * MB)
    assert result.target_response.content.held.is_dropped
    assert result.target_response.body == b""
    filling.release()
