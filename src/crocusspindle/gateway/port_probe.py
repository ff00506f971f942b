"""Check whether a target's port accepts a connection."""

import asyncio
from enum import Enum
from typing import Final

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
    host, _, port = target.address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionError:
        return PortAnswer.REFUSES
    except (TimeoutError, OSError):
        return PortAnswer.SILENT
    try:
        if hold_s and await _ends_within(reader, hold_s):
            return PortAnswer.REFUSES
        return PortAnswer.ACCEPTS
    finally:
        writer.close()


async def _ends_within(reader: asyncio.StreamReader, hold_s: float) -> bool:
    try:
        async with asyncio.timeout(hold_s):
            await reader.read(1)
    except TimeoutError:
        return False
    except ConnectionError:
        return True
    return True
