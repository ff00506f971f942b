"""Find the fleet at the start of a process and write the node's row."""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.backoff import Backoff
from crocusspindle.core.view import NodeAddress
from crocusspindle.errors import PlatformError
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.platform_reader import PlatformReader
from crocusspindle.log_lines import Logger, log_state_change

REGISTER_RETRY_MS: Final = 500.0
REGISTER_MAX_MS: Final = 4_000.0
"""Maximum delay between tries while no other node is known."""

LEFT_OUT_MS: Final = 4_000.0
"""How long a node waits to be added to the view until it writes its row again. One that
pings the reader of the others is added within a second."""

TOLD_SPREAD_S: Final = 0.2
"""Time over which the nodes spread their calls that learn of the store's return."""

REGISTER_LATER_MAX_MS: Final = 30_000.0
"""Maximum delay between tries of a host that has found the others. They add it to the
view without its row, which only serves nodes that start while there is no reader."""


class Registration:
    """Read the fleet's table and write this node's own row in the store."""

    def __init__(
        self,
        node: NodeAddress,
        fleet_state: FleetState,
        platform_reader: PlatformReader,
        rng: random.Random,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:
        self._node = node
        self._fleet_state = fleet_state
        self._platform_reader = platform_reader
        self._rng = rng
        self._spawn = spawn
        self._store_found_by_other = asyncio.Event()
        self._left_out_since_ms = math.inf
        self._writing: asyncio.Task[None] | None = None
        self._log = Logger("membership")

    def retry_soon(self) -> None:
        """Stop waiting to find the fleet: another node has, so the store responds."""
        self._store_found_by_other.set()

    async def find_fleet(self) -> bool:
        """Read the members and write this node's row, in the background if possible.

        Return True if calls have failed before and no other node has told of the
        store's return.
        """
        backoff = Backoff(REGISTER_RETRY_MS, REGISTER_MAX_MS, self._rng)
        registered = has_failed = False
        while True:
            try:
                if self._fleet_state.view.content is None:
                    await self._platform_reader.read_fleet()
                if self._fleet_state.view.content is not None:
                    # A restarted fleet has more rows to write than the store accepts
                    # in a second, and none of them is needed to find a reader.
                    if not registered:
                        self._spawn(self._register_later())
                    return has_failed and not self._store_found_by_other.is_set()
                if registered:
                    return False
                await self._platform_reader.register(self._node)
                registered = True
            except PlatformError as error:
                has_failed = True
                log_state_change(self._log, "cannot register", error=str(error))
                await self._wait_to_retry(backoff.next_ms() / 1e3)

    async def _wait_to_retry(self, wait_s: float) -> None:
        self._store_found_by_other.clear()
        # The store may turn away this node only, while others go on telling it.
        first_s = min(wait_s, REGISTER_RETRY_MS / 1e3)
        await asyncio.sleep(first_s)
        try:
            await asyncio.wait_for(self._store_found_by_other.wait(), wait_s - first_s)
        except TimeoutError:
            return
        await asyncio.sleep(self._rng.uniform(0.0, TOLD_SPREAD_S))

    def register_if_left_out(self) -> None:
        """Write this node's row again if the view hasn't named it for a while.

        After a cut, this node may ping another reader than the others do. Only theirs
        writes the view, and it adds the nodes that it reads of.
        """
        view = self._fleet_state.view.content
        entry = None if view is None else view.by_host.get(self._node.host)
        is_named = (
            entry is not None and entry.node.incarnation == self._node.incarnation
        )
        if view is None or is_named:
            self._left_out_since_ms = math.inf
            return
        self._left_out_since_ms = min(self._left_out_since_ms, now_ms())
        is_writing = self._writing is not None and not self._writing.done()
        if now_ms() - self._left_out_since_ms >= LEFT_OUT_MS and not is_writing:
            self._left_out_since_ms = now_ms()
            log_state_change(self._log, "left out of the view", view=view.number)
            self._writing = self._spawn(self._register_later())

    def register_again(self) -> None:
        """Write this node's row again, since a restored store may lack it."""
        self._spawn(self._register_again())

    async def _register_again(self) -> None:
        # All nodes of the fleet do so, and the store accepts few rows in a second.
        await asyncio.sleep(self._rng.uniform(0.0, REGISTER_MAX_MS) / 1e3)
        await self._register_later()
        log_state_change(self._log, "row written again")

    async def _register_later(self) -> None:
        backoff = Backoff(REGISTER_MAX_MS, REGISTER_LATER_MAX_MS, self._rng)
        while True:
            try:
                return await self._platform_reader.register(self._node)
            except PlatformError as error:
                log_state_change(self._log, "cannot register", error=str(error))
                await asyncio.sleep(backoff.next_ms() / 1e3)
