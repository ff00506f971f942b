"""Find the fleet at the start of a process, and have its row written."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from crocusspindle.core.backoff import Backoff
from crocusspindle.core.view import NodeAddress
from crocusspindle.errors import PlatformError
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.gateway.reading import Reading
from crocusspindle.log_lines import Logger, log_state_change

REGISTER_AGAIN_MS: Final = 500.0
REGISTER_MAX_MS: Final = 4_000.0
"""Longest wait between tries while nobody else can be found."""

REGISTER_LATER_MAX_MS: Final = 30_000.0
"""Longest wait between tries of a host that has found the others. They name it without
its row, which serves those that start when nobody reads."""


class Registration:
    """Read who is there, and write this node's own row in the store."""

    def __init__(
        self,
        node: NodeAddress,
        knowledge: Knowledge,
        reading: Reading,
        draw: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._node = node
        self._knowledge = knowledge
        self._reading = reading
        self._draw = draw
        self._spawn = spawn
        self._log = Logger("membership")

    async def find_fleet(self) -> None:
        """Learn who is there, and have this node's row written."""
        backoff = Backoff(REGISTER_AGAIN_MS, REGISTER_MAX_MS, self._draw)
        registered = False
        while True:
            try:
                if self._knowledge.view.content is None:
                    await self._reading.read_fleet()
                if self._knowledge.view.content is not None:
                    # A fleet that comes back has more rows to write than the store
                    # takes in a second, and none of them is needed to find a reader.
                    if not registered:
                        self._spawn(self._register_later())
                    return
                if registered:
                    return
                await self._reading.register(self._node)
                registered = True
            except PlatformError as error:
                log_state_change(self._log, "cannot register", error=str(error))
                await asyncio.sleep(backoff.next_ms() / 1e3)

    async def _register_later(self) -> None:
        backoff = Backoff(REGISTER_MAX_MS, REGISTER_LATER_MAX_MS, self._draw)
        while True:
            try:
                return await self._reading.register(self._node)
            except PlatformError as error:
                log_state_change(self._log, "cannot register", error=str(error))
                await asyncio.sleep(backoff.next_ms() / 1e3)
