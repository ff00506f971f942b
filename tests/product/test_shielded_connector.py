"""Tests of requests that are cancelled while their connection opens."""

import asyncio
import random
from collections import Counter

import aiohttp
import pytest
import uvloop
from aiohttp import web

from crocusspindle.gateway.strict_connector import single_use_session
from crocusspindle.shielded_connector import ShieldedConnector

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
