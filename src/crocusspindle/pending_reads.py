"""Let the event loop read before a decision that drops what it has not read.

The event loop runs timers before it reads. After a pause of the process, a timer that
closes connections is due while requests wait in their sockets.
"""

import asyncio
from collections.abc import Callable
from typing import Final

READ_TURNS: Final = 4
"""Turns of the event loop: a connection that is accepted in one turn is set up in the
next one and read in the one after that."""


async def read_arrived(turns: int = READ_TURNS) -> None:
    """Return once the event loop has accepted and read what has arrived by now."""
    for _ in range(turns):
        await asyncio.sleep(0)


def call_after_reads(callback: Callable[[], None], turns: int = READ_TURNS) -> None:
    """Call once the event loop has read what has arrived by now."""
    if turns == 0:
        callback()
        return
    loop = asyncio.get_running_loop()
    loop.call_soon(call_after_reads, callback, turns - 1)
