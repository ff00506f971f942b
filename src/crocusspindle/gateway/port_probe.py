"""Check whether a target's port accepts a connection."""

import asyncio
import socket
from enum import Enum
from typing import Final

from crocusspindle.connected_socket import connected_socket
from crocusspindle.core.listed_target import ListedTarget

PROBE_TIMEOUT_S: Final = 0.1
"""A running target accepts a connection within a few milliseconds."""


class PortAnswer(Enum):
    """State how a port answered a new connection."""

    ACCEPTS = "accepts"
    REFUSES = "refuses"
    SILENT = "silent"


async def probe(target: ListedTarget, hold_s: float = 0.0) -> PortAnswer:
    """Open a connection to a target, and close it after a time.

    A connection that the other end closes within that time counts as refused.
    """
    try:
        async with connected_socket(target.address, PROBE_TIMEOUT_S) as connected:
            if hold_s and await _ends_within(connected, hold_s):
                return PortAnswer.REFUSES
            return PortAnswer.ACCEPTS
    except ConnectionError:
        return PortAnswer.REFUSES
    except OSError:
        return PortAnswer.SILENT


async def _ends_within(connected: socket.socket, hold_s: float) -> bool:
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(hold_s):
            await loop.sock_recv(connected, 1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    return True
