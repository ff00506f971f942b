"""Drain a node's ports while callers still send requests."""

import asyncio
import socket
from types import SimpleNamespace

import pytest
from aiohttp import web

from crocusspindle.caller_connections import HEAD_PART_WAIT_S
from crocusspindle.core.configuration import CallerLimits
from crocusspindle.core.departure import give_up_after_ms
from crocusspindle.gateway.caller_port import CallerServer
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.listener import Listener
from crocusspindle.gateway.ports import ACCEPTING_FRACTION, Ports

GRACE_MS = 1_000.0
REQUEST_S = 0.2
REQUEST = b"GET /pages/1 HTTP/1.1\r\nHost: hall.example\r\n\r\n"
ORDER = b"POST /orders/1 HTTP/1.1\r\nHost: hall.example\r\nContent-Length: 0\r\n\r\n"
HEAD_PART = 20


class SlowEntry:
    """Respond to each request after some time."""

    def __init__(self) -> None:
        self.leaving = False
        self.running = 0

    def give_up(self) -> None:
        """Ignore the end."""

    def leave(self, began_ms, grace_ms) -> None:
        """Say from now on that the node is leaving."""
        self.leaving = True

    def refuse_waiting(self) -> None:
        """Ignore the request to refuse."""

    def end_running(self) -> None:
        """Ignore the request to end."""

    def start_early(self, request):
        """Start no pipelined request early, as a leaving node does."""

    async def handle(self, request, started):
        """Respond after `REQUEST_S`."""
        await asyncio.sleep(REQUEST_S)
        return web.Response(text="done")


class Node:
    """Hold ports with one listener, and act at the moment the listener closes."""

    def __init__(self, entry: SlowEntry | None = None) -> None:
        self.entry = entry or SlowEntry()
        self.server = CallerServer(self.entry, CallerLimits)
        self.bounds = SimpleNamespace(current=SimpleNamespace(grace_ms=GRACE_MS))
        membership = SimpleNamespace(leave=lambda: None)
        self.ports = Ports(
            None,
            Dialect,
            None,
            membership,
            self.entry,
            None,
            self.bounds,
            SimpleNamespace(),
        )
        self.ports._caller_server = self.server
        self.port = 0
        self.at_close = lambda: None

    async def start(self) -> None:
        listener = await Listener.open("127.0.0.1:0", self.server)
        self.port = listener.port
        close_port = listener.close

        def close() -> None:
            close_port()
            self.at_close()

        listener.close = close
        self.ports._caller_listener = listener

    async def connect(self):
        streams = await asyncio.open_connection("127.0.0.1", self.port)
        await asyncio.sleep(0.05)
        return streams


@pytest.fixture
async def node():
    started = Node()
    await started.start()
    yield started
    await started.ports.stop()


async def test_request_read_as_the_port_closes_is_answered(node):
    """Guards against a process that ends with a request that it has read.

    The connection holds the request, and its task has not begun when the port closes.
    """
    reader, writer = await node.connect()
    (connection,) = node.server.connections
    node.at_close = lambda: connection.data_received(REQUEST)
    await node.ports.drain()
    assert not node.server.connections
    assert (await reader.read()).startswith(b"HTTP/1.1 200 OK")
    writer.close()


@pytest.mark.parametrize("behind", [REQUEST, ORDER])
async def test_requests_read_behind_another_are_answered(node, behind):
    """Guards against a leaving node that drops pipelined requests it has read."""
    reader, writer = await node.connect()
    (connection,) = node.server.connections
    node.at_close = lambda: connection.data_received(REQUEST + behind)
    await node.ports.drain()
    assert (await reader.read()).count(b"HTTP/1.1 200 OK") == 2
    writer.close()


async def test_request_whose_head_arrives_in_parts_is_answered(node):
    """Guards against a process that closes a connection in the middle of a head."""
    reader, writer = await node.connect()
    (connection,) = node.server.connections
    node.at_close = lambda: connection.data_received(REQUEST[:HEAD_PART])
    drain = asyncio.create_task(node.ports.drain())
    while node.ports._caller_listener is not None:
        await asyncio.sleep(0.01)
    writer.write(REQUEST[HEAD_PART:])
    await drain
    assert (await reader.read()).startswith(b"HTTP/1.1 200 OK")
    writer.close()


async def test_connection_accepted_as_the_port_closes_is_closed(node):
    """Guards against a connection that the end of the drain leaves open.

    It is accepted when the idle connections have been closed for the first time.
    """
    callers_socket, accepted_socket = socket.socketpair()
    accepting = []

    def accept() -> None:
        loop = asyncio.get_running_loop()
        accepting.append(
            loop.create_task(loop.connect_accepted_socket(node.server, accepted_socket))
        )

    node.at_close = accept
    began_s = asyncio.get_running_loop().time()
    await node.ports.drain()
    took_s = asyncio.get_running_loop().time() - began_s
    assert took_s < give_up_after_ms(GRACE_MS) / 1e3
    assert accepting[0].done() and not node.server.connections
    with callers_socket:
        assert callers_socket.recv(1) == b""


async def test_a_head_that_never_ends_does_not_hold_the_drain(node):
    """Guards against one quiet caller that keeps a leaving process until its bound."""
    node.bounds.current.grace_ms = 4_000.0
    reader, writer = await node.connect()
    (connection,) = node.server.connections
    node.at_close = lambda: connection.data_received(REQUEST[:HEAD_PART])
    began_s = asyncio.get_running_loop().time()
    await node.ports.drain()
    took_s = asyncio.get_running_loop().time() - began_s
    assert took_s < 4.0 * ACCEPTING_FRACTION + 2.0 * HEAD_PART_WAIT_S
    assert await reader.read() == b""
    writer.close()
