"""Drain a node's ports while callers still send requests."""

import asyncio
from types import SimpleNamespace

from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.ports import Ports

GRACE_MS = 1_000.0
REQUEST_S = 0.2


def ports_with(entry) -> Ports:
    """Return ports without listeners."""
    bounds = SimpleNamespace(current=SimpleNamespace(grace_ms=GRACE_MS))
    membership = SimpleNamespace(leave=lambda: None)
    return Ports(
        None, Dialect, None, membership, entry, None, bounds, SimpleNamespace()
    )


async def test_request_read_as_the_port_closes_is_answered():
    """Guards against a process that ends with a request that it has read.

    The connection holds the request, and its task has not begun when the port closes.
    """
    entry = SimpleNamespace(running=0, leaving=False)
    ended = asyncio.Event()

    async def run_last_request() -> None:
        entry.running += 1
        await asyncio.sleep(REQUEST_S)
        entry.running -= 1
        ended.set()

    ports = ports_with(entry)
    ports._caller_server = SimpleNamespace(
        connections=[],
        pre_shutdown=lambda: asyncio.get_running_loop().create_task(run_last_request()),
    )
    await ports.drain()
    assert ended.is_set()
