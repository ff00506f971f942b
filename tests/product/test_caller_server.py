import asyncio
import socket
import ssl

import pytest
import uvloop
from aiohttp import web

from crocusspindle import caller_connections
from crocusspindle.caller_connections import close_connections
from crocusspindle.clock import now_ms
from crocusspindle.services.caller_server import CallerServer
from crocusspindle.settings_schema import CallerSettings
from tests.product.certificates import make_certificate, write_pem_files

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


REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def connect_securely(port):
    """Return a connection that has exchanged a request and its response."""
    context = ssl.create_default_context()
    context.check_hostname, context.verify_mode = False, ssl.CERT_NONE
    connection = socket.create_connection(("127.0.0.1", port), 10)
    caller = context.wrap_socket(connection)
    caller.sendall(REQUEST)
    assert caller.recv(1_000).startswith(b"HTTP/1.1 200 OK")
    return caller


@pytest.mark.parametrize(
    "make_loop", [asyncio.new_event_loop, uvloop.new_event_loop], ids=["std", "uvloop"]
)
def test_a_secure_request_that_arrives_as_its_connection_closes_is_answered(
    monkeypatch, tmp_path, make_loop
):
    """Guards against a leaving node that reads, then closes what arrived since."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(*write_pem_files(tmp_path, make_certificate("node")))

    async def handle(request):
        return web.Response(text="ok")

    async def scenario():
        server = CallerServer(handle, SETTINGS)
        loop = asyncio.get_running_loop()
        listening = await loop.create_server(server, "127.0.0.1", 0, ssl=context)
        port = listening.sockets[0].getsockname()[1]
        caller = await asyncio.to_thread(connect_securely, port)
        read_arrived = caller_connections.read_arrived
        sent = []

        async def read_and_receive(*turns) -> None:
            await read_arrived(*turns)
            if not sent:
                sent.append(caller.sendall(REQUEST))

        monkeypatch.setattr(caller_connections, "read_arrived", read_and_receive)
        await close_connections(server, now_ms() + 500.0)
        received = await asyncio.to_thread(caller.recv, 1_000)
        listening.close()
        caller.close()
        return received

    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(scenario()).startswith(b"HTTP/1.1 200 OK")


HEAD_LIMIT = SETTINGS.max_header_bytes


@pytest.mark.parametrize(
    ("content", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\n" + b"X-A: %b\r\n" % (b"a" * 900) * 50, b"431"),
        (b"\r\n" * 20_000, b"431"),
        (b"\0" * 30_000, b"400"),
    ],
    ids=["fields", "empty lines", "no request"],
)
async def test_what_never_becomes_a_request_is_refused_as_it_arrives(
    port, content, status
):
    """Guards against heads without end that fill the memory of the node."""
    response = await send(port, content)
    assert response.split()[1] == status
    assert b"Crocusspindle-Outcome: not-run" in response


async def test_long_lines_within_the_limits_are_served(port):
    """Guards against a bound on heads that refuses what the settings allow."""
    path = b"/" + b"p" * (HEAD_LIMIT - 20)
    field = b"X-A: " + b"a" * (HEAD_LIMIT - 200)
    request = b"GET %b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%b\r\n\r\n"
    assert b"200 OK" in await send(port, b"\r\n" + request % (path, field))


async def test_a_malformed_body_is_answered_at_once_and_logged_nowhere(caplog):
    """Guards against readers that wait for a body of which no more can come."""

    async def read(request):
        try:
            await request.content.read()
        except web.RequestPayloadError:
            return web.Response(status=400, text="malformed")
        return web.Response()

    runner = web.ServerRunner(CallerServer(read, SETTINGS))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    number = site._server.sockets[0].getsockname()[1]
    assert b" 400 " in await send(number, head + b"1\r\na\r\nno chunk\r\n")
    assert b" 400 " in await send(number, head + b"1;" + b"e" * 60_000)
    await runner.cleanup()
    assert not caplog.records
