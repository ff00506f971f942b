"""Tests that callers' idle connections are closed at the idle timeout."""

import asyncio
from types import SimpleNamespace

import uvloop

from crocusspindle.core.configuration import CallerLimits
from crocusspindle.gateway.caller_port import CallerProtocol, CallerServer

CONNECTIONS = 40
IDLE_MS = 50.4


def test_closing_idle_connections_does_not_spin_on_early_timers():
    """Callers keep connections open and send nothing more.

    The event loop fires a timer up to a millisecond early. Set again for the same time,
    it fires early again and again, which uses up processor time.
    """
    timer_calls = uvloop.run(_close_idle_connections())
    assert timer_calls <= 3 * CONNECTIONS


async def _close_idle_connections() -> int:
    timer_calls = 0

    class CountingProtocol(CallerProtocol):
        def _process_keepalive(self) -> None:
            nonlocal timer_calls
            timer_calls += 1
            super()._process_keepalive()

    entry = SimpleNamespace(leaving=False)
    limits = CallerLimits(idle_timeout_ms=IDLE_MS)
    server = CallerServer(entry, lambda: limits)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: CountingProtocol(server, entry, limits), "127.0.0.1", 0
    )
    port = listener.sockets[0].getsockname()[1]
    connections = []
    for number in range(CONNECTIONS):
        connections.append(await asyncio.open_connection("127.0.0.1", port))
        await asyncio.sleep(0.0013 + number * 1e-5)
    for reader, writer in connections:
        assert await asyncio.wait_for(reader.read(), 2.0) == b""
        writer.close()
    listener.close()
    return timer_calls
