"""Tests of the socket options that decide when a silent connection ends.

A `TCP_USER_TIMEOUT` would also decide when keep-alive probes give up. The product ends
silent connections by its own deadlines, and no library may add another limit.
"""

import asyncio
import socket

import aiohttp
import pytest
import uvloop
from aiohttp import web

from crocusspindle.gateway.strict_connector import single_use_session
from crocusspindle.shielded_connector import ShieldedConnector


def store_session():
    return aiohttp.ClientSession(connector=ShieldedConnector(force_close=True))


def user_timeout_ms(transport) -> int:
    sock = transport.get_extra_info("socket")
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


async def user_timeouts_ms(make_session) -> list[int]:
    """Return the option at both ends of a connection."""
    found, read = [], asyncio.Event()

    async def respond(request):
        found.append(user_timeout_ms(request.transport))
        response = web.StreamResponse()
        await response.prepare(request)
        await read.wait()
        return response

    runner = web.ServerRunner(web.Server(respond))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    url = f"http://127.0.0.1:{site.port}/"
    async with make_session() as session, session.get(url) as response:
        found.append(user_timeout_ms(response.connection.transport))
        read.set()
        await response.read()
    await runner.cleanup()
    return found


@pytest.mark.parametrize("make_session", [single_use_session, store_session])
def test_no_library_limits_how_long_a_connection_is_silent(make_session):
    """Guards against a library that sets a limit the product doesn't know of."""
    assert uvloop.run(user_timeouts_ms(make_session)) == [0, 0]
