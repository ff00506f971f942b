import asyncio

import pytest
from aiohttp import web

from crocusspindle.services.caller_server import CallerServer
from crocusspindle.settings_schema import CallerSettings

SETTINGS = CallerSettings(host="127.0.0.1", port=0, slow_sender_ms=300)


@pytest.fixture
async def port():
    async def handle(request):
        if request.path == "/bug":
            raise ValueError("secret detail")
        return web.Response(text="ok")

    runner = web.ServerRunner(CallerServer(handle, SETTINGS))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield site._server.sockets[0].getsockname()[1]
    await runner.cleanup()


async def send(port, content):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(content)
    async with asyncio.timeout(10):
        response = await reader.read()
    writer.close()
    return response


@pytest.mark.parametrize(
    ("content", "status", "outcome"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000, b"400", b"not-run"),
        (b"GET /" + b"x" * 20_000 + b" HTTP/1.1\r\n\r\n", b"400", b"not-run"),
        (b"no http at all\r\n\r\n", b"400", b"not-run"),
        (b"GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n", b"400", b"not-run"),
        (b"GET /bug HTTP/1.1\r\nHost: h\r\n\r\n", b"500", b"unknown"),
    ],
)
async def test_invalid_or_failing_request_has_an_outcome(
    port, content, status, outcome
):
    response = await send(port, content)
    assert response.split()[1] == status
    assert b"Crocusspindle-Outcome: " + outcome in response
    assert b"secret detail" not in response


async def test_incomplete_header_times_out(port):
    """A client opens connections and never completes a request's header.

    Without a timeout they stay open until other callers are refused.
    """
    assert await send(port, b"GET / HTTP/1.1\r\nHost:") == b""


async def test_keep_alive_connection_outlives_the_header_timeout(port):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for _ in range(2):
        writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert b"200 OK" in await reader.readuntil(b"ok")
        await asyncio.sleep(SETTINGS.slow_sender_ms / 1e3 * 1.5)
    writer.close()
