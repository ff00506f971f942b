import asyncio
import re
import signal
import time

from crocusspindle_standins.fleet import TargetGroup
from tests.fleet.conftest import KEY, children, open_files

UPLOAD = b"photo" * 200_000


async def slow_upload():
    """Yield an upload that takes a second."""
    for first in range(0, len(UPLOAD), 50_000):
        yield UPLOAD[first : first + 50_000]
        await asyncio.sleep(0.05)


async def test_rolling_restart_interrupts_no_request(start_fleet):
    """Nodes restart one after the other while callers use cached addresses.

    Callers keep each list of addresses for its full time to live, and some send long
    uploads. An interrupted request costs the caller a manual repetition of its work.
    """
    caller = await start_fleet(group=TargetGroup("desk", 4, 8, 20.0))
    failures = []
    served = 0
    stopping = asyncio.Event()

    async def keep_calling(kind):
        nonlocal served
        addresses, until_s = (), 0.0
        while not stopping.is_set():
            if time.monotonic() >= until_s:
                addresses = await caller.where_from_any()
                until_s = time.monotonic() + 2.0
            body = slow_upload() if kind == "upload" else None
            method = "POST" if kind == "upload" else "GET"
            status, outcome, text = await caller.send_to(addresses[0], method, body)
            served += status == 200
            if status != 200:
                failures.append((kind, status, outcome, text))
            await asyncio.sleep(0.02)

    callers = [asyncio.create_task(keep_calling("get")) for _ in range(6)]
    callers += [asyncio.create_task(keep_calling("upload")) for _ in range(2)]
    for node in caller.fleet.nodes:
        node.running.signal(signal.SIGTERM)
        assert await node.running.wait(15) == 0
        await caller.fleet.start_node(node)
        await caller.fleet.until_agreed()
        await asyncio.sleep(3)
    stopping.set()
    await asyncio.gather(*callers)
    assert served > 300
    assert failures == []


async def test_node_runs_as_one_process_without_io_uring(start_fleet):
    """Hosts forbid io_uring and child processes, which a library may introduce."""
    caller = await start_fleet()
    pid = caller.fleet.nodes[0].running.process.pid
    await caller.send(0)
    links = await asyncio.to_thread(open_files, pid)
    assert not [link for link in links if "io_uring" in link]
    assert await asyncio.to_thread(children, pid) == []


def head(method: str, length: int = 0) -> bytes:
    framing = f"Content-Length: {length}\r\n" if length else ""
    return (
        f"{method} /desk/item HTTP/1.1\r\nHost: desk.example\r\n{framing}"
        f"Authorization: Bearer {KEY}\r\n\r\n"
    ).encode()


async def connect(node):
    return await asyncio.open_connection("127.0.0.1", node.caller_port)


async def read_response(reader) -> bytes:
    """Return a response's status line and headers, or nothing if there is none."""
    try:
        response_head = await reader.readuntil(b"\r\n\r\n")
        if b"chunked" in response_head:
            await reader.readuntil(b"0\r\n\r\n")
        else:
            length = re.search(rb"(?i)content-length: (\d+)", response_head)
            await reader.readexactly(int(length[1]))
    except (ConnectionError, asyncio.IncompleteReadError):
        return b""
    return response_head


async def test_an_upload_that_the_end_of_the_drain_meets_is_read(start_fleet):
    """Guards against a stopping node that drops the rest of a request's body."""
    caller = await start_fleet(timings={"where_max_age_ms": 500, "drain_ms": 1000})
    node = caller.fleet.nodes[0]
    reader, writer = await connect(node)
    node.running.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    writer.write(head("POST", 2_000) + b"x" * 1_000)
    await asyncio.sleep(1.0)
    writer.write(b"x" * 1_000)
    async with asyncio.timeout(15):
        response_head = await read_response(reader)
    assert response_head.startswith(b"HTTP/1.1 200 ")
    writer.close()
    assert await node.running.wait(15) == 0


async def test_a_stopping_node_announces_that_it_closes_a_connection(start_fleet):
    """Guards against a stopping node that closes a connection which it said to keep.

    Each caller sends its next request as soon as it has a response that allows it.
    """
    caller = await start_fleet(timings={"where_max_age_ms": 500, "drain_ms": 1000})
    node = caller.fleet.nodes[0]
    unanswered = 0

    async def keep_calling():
        nonlocal unanswered
        reader, writer = await connect(node)
        response_head = b""
        while b"connection: close" not in response_head.lower():
            writer.write(head("GET"))
            response_head = await read_response(reader)
            if not response_head:
                unanswered += 1
                break
        writer.close()

    callers = [asyncio.create_task(keep_calling()) for _ in range(8)]
    await asyncio.sleep(0.2)
    node.running.signal(signal.SIGTERM)
    async with asyncio.timeout(15):
        await asyncio.gather(*callers)
    assert unanswered == 0
    assert await node.running.wait(15) == 0
