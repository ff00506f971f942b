"""Check that the session of test callers sends each request once."""

import asyncio

import aiohttp
import pytest

from crocusspindle_standins.single_attempt import single_attempt_session


async def test_broken_keep_alive_connection_is_reported_and_not_retried():
    """A node is killed during a GET on a reused connection.

    A caller whose library retries silently counts one request where two ran.
    """
    received = []

    async def serve(reader, writer):
        for response_bytes in (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""):
            received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(response_bytes)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with single_attempt_session() as session, server:
        url = f"http://127.0.0.1:{port}/"
        async with session.get(url) as response:
            assert response.status == 200
        with pytest.raises(aiohttp.ClientError):
            await session.get(url)
        assert len(received) == 2
