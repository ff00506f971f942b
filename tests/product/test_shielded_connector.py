"""Tests of requests that are cancelled while their connection opens."""

import asyncio
import os
import random
import socket
from collections import Counter

import aiohttp
import pytest
import uvloop
from aiohttp import web

from crocusspindle.gateway.strict_connector import single_use_session
from crocusspindle.shielded_connector import ShieldedConnector
from tests.gateway.test_closings_after_pauses import PAUSE_S, Pause, run

ROUNDS = 60
REQUESTS = 60
LONGEST_S = 0.02
CONNECT_TIMEOUT = aiohttp.ClientTimeout(sock_connect=5.0)
"""Longer than the product's, which a connection on a busy machine exceeds by itself."""


async def respond(request):
    await asyncio.sleep(0.002)
    return web.Response(text="whole")


async def cancel_half(make_session) -> Counter[str]:
    """Cancel half of the requests at random; count how the others end."""
    rng = random.Random(1)
    ends: Counter[str] = Counter()
    runner = web.ServerRunner(web.Server(respond))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()

    async def call(session, cancelled):
        task = asyncio.create_task(fetch(session, site.port))
        if cancelled:
            await asyncio.sleep(rng.uniform(0.0, LONGEST_S))
            task.cancel()
        (end,) = await asyncio.gather(task, return_exceptions=True)
        if not cancelled:
            ends["whole" if end == "whole" else repr(end)] += 1

    async with make_session() as session:
        for _ in range(ROUNDS):
            calls = [call(session, rng.random() < 0.5) for _ in range(REQUESTS)]
            await asyncio.gather(*calls)
    await runner.cleanup()
    return ends


async def fetch(session, port):
    url = f"http://127.0.0.1:{port}/"
    async with session.get(url, timeout=CONNECT_TIMEOUT) as response:
        return await response.text()


def shielded_session():
    return aiohttp.ClientSession(connector=ShieldedConnector(force_close=True))


@pytest.mark.parametrize("make_session", [shielded_session, single_use_session])
def test_a_cancelled_request_breaks_no_other_connection(make_session):
    """Guards against a descriptor closed twice, the second time as another one's."""
    ends = uvloop.run(cancel_half(make_session))
    assert set(ends) == {"whole"}


class StoppingLoop:
    """Pass calls on to the event loop, but hold what takes over connected sockets.

    ``take_overs`` has the outcome of each.
    """

    def __init__(self, loop):
        self._loop = loop
        self.reached = asyncio.Event()
        self.released = asyncio.Event()
        self.take_overs: list[str] = []

    def __getattr__(self, name):
        return getattr(self._loop, name)

    async def create_connection(self, *args, **options):
        self.reached.set()
        try:
            await self.released.wait()
            connection = await self._loop.create_connection(*args, **options)
        except asyncio.CancelledError:
            self.take_overs.append("cancelled")
            raise
        self.take_overs.append("done")
        return connection


async def abandon_connected(by_timeout: bool) -> tuple[list[str], bool]:
    """Leave an opening whose socket has connected; return how it went on.

    The second value is True if the server saw the connection end.
    """
    ended = asyncio.Event()

    async def until_closed(reader, writer):
        await reader.read()
        ended.set()
        writer.close()

    server = await asyncio.start_server(until_closed, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with shielded_session() as session:
        loop = StoppingLoop(asyncio.get_running_loop())
        session.connector._loop = loop
        wait_s = 0.05 if by_timeout else 5.0
        timeout = aiohttp.ClientTimeout(sock_connect=wait_s)
        url = f"http://127.0.0.1:{port}/"
        call = asyncio.create_task(session.get(url, timeout=timeout))
        await loop.reached.wait()
        if not by_timeout:
            call.cancel()
        (error,) = await asyncio.gather(call, return_exceptions=True)
        expected = aiohttp.ConnectionTimeoutError if by_timeout else BaseException
        assert isinstance(error, expected)
        loop.released.set()
        async with asyncio.timeout(2):
            await ended.wait()
    server.close()
    return loop.take_overs, ended.is_set()


@pytest.mark.parametrize("by_timeout", [True, False], ids=["timeout", "cancellation"])
@pytest.mark.parametrize("run", [uvloop.run, asyncio.run], ids=["uvloop", "asyncio"])
def test_an_opening_whose_socket_is_connected_is_never_cancelled(run, by_timeout):
    """Guards against responses to other callers' requests on a slow host.

    A descriptor that is closed twice belongs to another connection by then.
    """
    assert run(abandon_connected(by_timeout)) == (["done"], True)


async def abandon_connecting(by_timeout: bool) -> int:
    """Leave an opening that is not answered; return how many descriptors remain."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    fillers = []
    # The kernel ignores what a full queue has no room for.
    for _ in range(8):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        fillers.append(filler)
    await asyncio.sleep(0.05)
    before = len(os.listdir("/proc/self/fd"))
    async with shielded_session() as session:
        timeout = aiohttp.ClientTimeout(sock_connect=0.05 if by_timeout else 5.0)
        url = "http://{}:{}/".format(*listener.getsockname())
        call = asyncio.create_task(session.get(url, timeout=timeout))
        await asyncio.sleep(0.02)
        if not by_timeout:
            call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await asyncio.sleep(0.02)
        after = len(os.listdir("/proc/self/fd"))
    for opened in (listener, *fillers):
        opened.close()
    return after - before


@pytest.mark.parametrize("by_timeout", [True, False], ids=["timeout", "cancellation"])
def test_an_opening_that_nobody_answers_is_closed_when_it_is_left(by_timeout):
    """Guards against descriptors that a host without paths collects for minutes."""
    assert uvloop.run(abandon_connecting(by_timeout)) == 0


class PausingConnector(ShieldedConnector):
    """Let the event loop stand still as soon as a connection begins to open."""

    def __init__(self, pause) -> None:
        super().__init__(force_close=True)
        self._pause = pause

    def _create_socket(self, address):
        self._pause()
        return super()._create_socket(address)


def test_a_connection_that_opened_in_a_pause_is_used():
    """Guards against a busy node that takes targets which it reaches for unreached."""

    async def scenario():
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(web.Server(respond), "127.0.0.1", 0)
        port = listening.sockets[0].getsockname()[1]
        ours, loops = socket.socketpair()
        pause, _ = await loop.connect_accepted_socket(
            lambda: Pause(lambda: None), loops
        )
        connector = PausingConnector(lambda: ours.send(b"now"))
        timeout = aiohttp.ClientTimeout(sock_connect=PAUSE_S / 2)
        async with (
            aiohttp.ClientSession(connector=connector, timeout=timeout) as client,
            client.get(f"http://127.0.0.1:{port}/") as response,
        ):
            text = await response.text()
        pause.close()
        ours.close()
        listening.close()
        return text

    assert run(scenario()) == "whole"
