"""Send each request of a test's caller once."""

import asyncio

import aiohttp
import pytest

from crocusspindle_standins.calling import calling_session


async def test_a_broken_kept_connection_is_reported_and_not_tried_again():
    """A node is killed while a GET is under way on a connection that was used before.

    A caller that sends again without knowing counts one request where two ran.
    """
    seen = []

    async def serve(reader, writer):
        for answer in (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""):
            seen.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with calling_session() as session, server:
        url = f"http://127.0.0.1:{port}/"
        async with session.get(url) as response:
            assert response.status == 200
        with pytest.raises(aiohttp.ClientError):
            await session.get(url)
        assert len(seen) == 2
