"""Close connections and ports right after the process has stood still.

A process that gets no processor time while it reads has timers that are due and
requests that it has not read yet. The event loop runs the timers first.
"""

import asyncio
import socket
import threading
import time

import pytest
import uvloop
from aiohttp import web

from crocusspindle import caller_connections
from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import CallerLimits
from crocusspindle.core.departure import give_up_after_ms
from crocusspindle.gateway import listener
from crocusspindle.gateway.caller_port import CallerServer
from crocusspindle.gateway.listener import Listener
from crocusspindle.gateway.ports import ACCEPTING_FRACTION, REFUSALS_MS
from tests.gateway.test_ports import GRACE_MS, REQUEST, Node, SlowEntry

PAUSE_S = 0.3
IDLE_S = 0.25
READ_BYTES = 1_000
RESPONSE_START = b"HTTP/1.1 200 OK"


class Caller:
    """Send requests from a socket that the event loop does not serve."""

    def __init__(self, port: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), timeout=10)

    def send(self, data: bytes = REQUEST) -> None:
        """Send bytes at once."""
        self.socket.sendall(data)

    async def received(self) -> bytes:
        """Return the first bytes that arrive, none if the connection closes."""
        try:
            return await asyncio.to_thread(self.socket.recv, READ_BYTES)
        except ConnectionError:
            return b""
        finally:
            self.socket.close()


class QuickEntry(SlowEntry):
    """Respond at once."""

    async def handle(self, request, started):
        """Respond."""
        return web.Response(text="done")


class Pause(asyncio.Protocol):
    """Act, and let the event loop stand still, while it reads.

    Requests that arrive then are unread when the loop runs the timers that are due.
    """

    def __init__(self, act) -> None:
        self._act = act

    def data_received(self, data: bytes) -> None:
        """Stand still."""
        self._act()
        time.sleep(PAUSE_S)


async def pause_around(at_s: float, act) -> None:
    """Let the event loop stand still from shortly before a moment until after it."""
    ours, loops = socket.socketpair()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.connect_accepted_socket(lambda: Pause(act), loops)
    await asyncio.sleep(at_s - PAUSE_S / 2)
    ours.send(b"now")
    await asyncio.sleep(PAUSE_S)
    transport.close()
    ours.close()


def run(scenario):
    """Run a coroutine in the event loop of the product."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(scenario)


@pytest.mark.parametrize("is_new", [False, True], ids=["open", "new"])
def test_a_request_that_arrived_before_the_port_closes_is_answered(is_new):
    """Guards against a leaving node that closes connections with unread requests."""

    async def scenario():
        node = Node(QuickEntry())
        await node.start()
        callers = [] if is_new else [Caller(node.port) for _ in range(3)]
        await asyncio.sleep(0.05)

        def act():
            callers.extend(Caller(node.port) for _ in range(3) if is_new)
            for caller in callers:
                caller.send()

        drain = asyncio.create_task(drain_and_stop(node))
        await pause_around(GRACE_MS * ACCEPTING_FRACTION / 1e3, act)
        received = await asyncio.gather(*(caller.received() for caller in callers))
        await drain
        return received

    for response in run(scenario()):
        assert response.startswith(RESPONSE_START)


@pytest.mark.parametrize("is_first", [False, True], ids=["later", "first"])
def test_a_request_that_arrived_before_the_idle_timeout_is_answered(is_first):
    """Guards against a busy node that closes connections with unread requests."""
    limits = CallerLimits(idle_timeout_ms=IDLE_S * 1e3, header_timeout_ms=IDLE_S * 1e3)

    async def scenario():
        entry = QuickEntry()
        server = CallerServer(entry, lambda: limits)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server, "127.0.0.1", 0)
        caller = Caller(listening.sockets[0].getsockname()[1])
        await asyncio.sleep(0.01)
        if not is_first:
            caller.send()
            reader = asyncio.to_thread(caller.socket.recv, READ_BYTES)
            assert (await reader).startswith(RESPONSE_START)
        await pause_around(IDLE_S, caller.send)
        received = await caller.received()
        listening.close()
        return received

    assert run(scenario()).startswith(RESPONSE_START)


def test_an_idle_connection_is_closed_after_its_timeout():
    limits = CallerLimits(idle_timeout_ms=IDLE_S * 1e3, header_timeout_ms=IDLE_S * 1e3)

    async def scenario():
        server = CallerServer(QuickEntry(), lambda: limits)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server, "127.0.0.1", 0)
        callers = [Caller(listening.sockets[0].getsockname()[1]) for _ in range(3)]
        callers[1].send(REQUEST[:20])
        callers[2].send()
        first = await asyncio.to_thread(callers[2].socket.recv, READ_BYTES)
        assert first.startswith(RESPONSE_START)
        received = await asyncio.gather(*(caller.received() for caller in callers))
        listening.close()
        return received

    assert run(scenario()) == [b"", b"", b""]


async def drain_and_stop(node: Node) -> None:
    """Stop a node as its kernel does."""
    await node.ports.drain()
    await node.ports.stop()


def test_a_response_that_arrived_before_the_end_of_the_drain_is_sent():
    """Guards against a leaving node that gives up a request that has its response."""
    target, node_side = socket.socketpair()

    class WaitingEntry(SlowEntry):
        """Respond with what a target sends."""

        async def handle(self, request, started):
            reader, _ = await asyncio.open_connection(sock=node_side)
            return web.Response(body=await reader.read(READ_BYTES))

    async def scenario():
        node = Node(WaitingEntry())
        await node.start()
        caller = Caller(node.port)
        caller.send()
        await asyncio.sleep(0.05)
        drain = asyncio.create_task(drain_and_stop(node))
        # After waiting requests have been refused.
        at_s = (give_up_after_ms(GRACE_MS) - REFUSALS_MS / 2) / 1e3
        await pause_around(at_s + PAUSE_S / 2, lambda: target.send(b"done"))
        await drain
        return await caller.received()

    with target:
        assert run(scenario()).startswith(RESPONSE_START)


def test_a_caller_that_connects_as_the_port_closes_is_answered(monkeypatch):
    """Guards against connections that the kernel resets with the port."""
    callers = []

    async def scenario():
        server = CallerServer(QuickEntry(), CallerLimits)
        listening = await Listener.open("127.0.0.1:0", server)
        port = listening.port

        async def connect_last() -> None:
            callers.append(Caller(port))
            callers[0].send()

        monkeypatch.setattr(listener, "read_arrived", connect_last)
        assert await listening.accept_and_close() == 1
        with pytest.raises(ConnectionRefusedError):
            Caller(port)
        return await callers[0].received()

    assert run(scenario()).startswith(RESPONSE_START)


def test_a_request_that_arrives_just_before_its_connection_closes_is_answered(
    monkeypatch,
):
    """Guards against a leaving node that reads, then closes what arrived since."""

    async def scenario():
        node = Node(QuickEntry())
        await node.start()
        caller = Caller(node.port)
        await asyncio.sleep(0.05)
        read_arrived = caller_connections.read_arrived
        sent = []

        async def read_and_receive(*turns) -> None:
            await read_arrived(*turns)
            if not sent:
                sent.append(caller.send())

        monkeypatch.setattr(caller_connections, "read_arrived", read_and_receive)
        await drain_and_stop(node)
        return await caller.received()

    assert run(scenario()).startswith(RESPONSE_START)


REJECTION_LIMIT_S = 0.1


@pytest.mark.parametrize("closing", ["drain", "idle timeout", "first timeout"])
def test_a_request_that_crosses_the_close_is_rejected_at_once(monkeypatch, closing):
    """Guards against a closed connection that stays open while the node is busy."""
    idle_ms = IDLE_S * 1e3 if closing != "drain" else 60_000.0
    limits = CallerLimits(idle_timeout_ms=idle_ms, header_timeout_ms=idle_ms)
    took_s = []

    def call_during_pause(port: int, caller: Caller, closed: threading.Event) -> None:
        closed.wait(10)
        began_s = time.monotonic()
        try:
            caller.send()
            received = caller.socket.recv(READ_BYTES)
        except ConnectionError:
            received = b""
        took_s.append(time.monotonic() - began_s)
        assert received == b""
        caller.socket.close()

    async def scenario():
        server = CallerServer(QuickEntry(), lambda: limits)
        listening = await Listener.open("127.0.0.1:0", server)
        caller = Caller(listening.port)
        if closing == "idle timeout":
            caller.send()
            reader = asyncio.to_thread(caller.socket.recv, READ_BYTES)
            assert (await reader).startswith(RESPONSE_START)
        closed = threading.Event()
        shut_down = caller_connections.shut_down

        def close_and_pause(transport) -> None:
            shut_down(transport)
            if transport is not None:
                closed.set()
                time.sleep(PAUSE_S)

        monkeypatch.setattr(caller_connections, "shut_down", close_and_pause)
        calling = asyncio.to_thread(call_during_pause, listening.port, caller, closed)
        task = asyncio.create_task(calling)
        await asyncio.sleep(0.05)
        if closing == "drain":
            until_ms = now_ms() + PAUSE_S * 1e3
            await caller_connections.close_connections(server, until_ms)
        await task
        listening.close()

    run(scenario())
    assert took_s[0] < REJECTION_LIMIT_S
