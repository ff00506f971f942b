"""Drain and stop a node's ports while callers still use their connections."""

import asyncio
import socket
from types import SimpleNamespace

import pytest
from aiohttp import web

from crocusspindle.services.ports import CallerPort, HttpPort
from crocusspindle.settings_schema import CallerSettings

WHERE_MAX_AGE_MS = 200.0
REQUEST_S = 0.2
REQUEST = b"GET /pages/1 HTTP/1.1\r\nHost: hall.example\r\n\r\n"
HEAD_PART = 20


class SlowEntry:
    """Respond to each request after some time, and not at once as a whole."""

    def __init__(self) -> None:
        self.running = 0

    async def handle(self, request):
        """Start a response, and complete it after `REQUEST_S`."""
        self.running += 1
        try:
            response = web.StreamResponse()
            await response.prepare(request)
            await asyncio.sleep(REQUEST_S)
            await response.write_eof(b"done")
            return response
        finally:
            self.running -= 1


class Node:
    """Hold one caller port and its drain, which is followed by its stop."""

    def __init__(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.port = listening.getsockname()[1]
        self.caller_port = CallerPort(
            listening,
            CallerSettings(host="127.0.0.1", port=0),
            SlowEntry(),
            SimpleNamespace(busy=False),
            WHERE_MAX_AGE_MS,
        )

    async def connect(self):
        streams = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(0.05)
        return streams

    async def leave(self) -> None:
        """Drain and stop as the kernel does."""
        await self.caller_port.drain()
        await self.caller_port.stop()

    async def until_port_closes(self) -> None:
        """Wait until new connections are refused."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except ConnectionRefusedError:
                return
            except ConnectionResetError:
                # The port closed before it accepted this connection.
                continue
            writer.close()
            await asyncio.sleep(0.01)


@pytest.fixture
async def node():
    started = Node()
    await started.caller_port.start()
    yield started
    await started.caller_port.stop()


async def test_request_whose_head_arrives_in_parts_is_answered(node):
    """Guards against a node that closes a connection in the middle of a head."""
    reader, writer = await node.connect()
    writer.write(REQUEST[:HEAD_PART])
    leaving = asyncio.create_task(node.leave())
    async with asyncio.timeout(5):
        await node.until_port_closes()
        writer.write(REQUEST[HEAD_PART:])
        assert (await reader.read()).startswith(b"HTTP/1.1 200 OK")
        await leaving
    writer.close()


async def test_connections_without_a_request_close_with_the_port(node):
    """Guards against a stop that idle connections delay, and that leaves them open."""
    streams = [await node.connect() for _ in range(3)]
    async with asyncio.timeout(WHERE_MAX_AGE_MS / 1e3 + 1.0):
        await node.leave()
        for reader, writer in streams:
            assert await reader.read() == b""
            writer.close()
    assert node.caller_port.connections == 0


async def test_response_of_a_leaving_node_announces_the_close(node):
    """Guards against a node that says to keep a connection which it then closes.

    The response starts before its handler returns.
    """
    reader, writer = await node.connect()
    leaving = asyncio.create_task(node.leave())
    await asyncio.sleep(0)
    writer.write(REQUEST)
    async with asyncio.timeout(5):
        response = await reader.read()
        await leaving
    writer.close()
    assert b"connection: close" in response.lower()
    assert response.endswith(b"done\r\n0\r\n\r\n")


async def test_stop_without_a_drain_completes_running_requests(node):
    """Guards against a stop that cuts a request which a longer stop completes."""
    reader, writer = await node.connect()
    writer.write(REQUEST)
    await asyncio.sleep(REQUEST_S / 2)
    async with asyncio.timeout(5):
        await node.caller_port.stop()
        assert (await reader.read()).endswith(b"done\r\n0\r\n\r\n")
    writer.close()


TICKET = b"x" * 2_000
TICKET_HEAD = (
    f"POST / HTTP/1.1\r\nHost: node.example\r\nContent-Length: {len(TICKET)}\r\n\r\n"
).encode()


async def echo_length(request):
    return web.Response(text=f"{len(await request.read())}")


async def build_app():
    app = web.Application()
    app.router.add_post("/", echo_length)
    return app


@pytest.fixture
async def operators():
    """Return the port number of an HTTP port, and the port."""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    port = HttpPort(listening, build_app)
    await port.start()
    yield listening.getsockname()[1], port
    await port.stop()


async def test_ticket_that_arrives_as_the_operator_port_closes_is_read(operators):
    """Guards against a stop that drops the rest of a ticket and waits for it."""
    number, port = operators
    reader, writer = await asyncio.open_connection("127.0.0.1", number)
    idle_reader, idle_writer = await asyncio.open_connection("127.0.0.1", number)
    writer.write(TICKET_HEAD + TICKET[:1_000])
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(port.stop())
    async with asyncio.timeout(5):
        assert await idle_reader.read() == b""
        writer.write(TICKET[1_000:])
        response = await reader.read()
        await stopping
    assert response.startswith(b"HTTP/1.1 200 OK")
    assert b"connection: close" in response.lower()
    assert response.endswith(b"2000")
    writer.close()
    idle_writer.close()
