"""Decide when a reader calls a store that it could not reach."""

import asyncio
import math
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.backoff import Backoff

RETRY_MS: Final = 250.0
RETRY_MAX_MS: Final = 1_000.0
"""Longest wait between two probes of an unreachable store. Several hosts of a fleet
probe it, so that one of them notices the end of an outage earlier."""


class StoreProbe:
    """Let one call at a time probe an unreachable store, with growing waits.

    Calls for the other tables would fail, too, and each has a price.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._turn = asyncio.Lock()
        self._reached = asyncio.Event()
        self._reached.set()
        self._backoff = self._new_backoff()
        self._probe_at_ms = -math.inf

    def _new_backoff(self) -> Backoff:
        return Backoff(RETRY_MS, RETRY_MAX_MS, self._rng)

    @property
    def is_reached(self) -> bool:
        """Return True unless the last call failed."""
        return self._reached.is_set()

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[None]:
        """Wait until the next probe is due, or until another call succeeds.

        The lock is fair: tables take turns if only some of them are unreachable.
        """
        async with self._turn:
            wait_s = (self._probe_at_ms - now_ms()) / 1e3
            with suppress(TimeoutError):
                await asyncio.wait_for(self._reached.wait(), max(0.0, wait_s))
            yield

    def record_success(self) -> None:
        """Record that the store responded, or that another node reaches it."""
        self._reached.set()
        self._backoff = self._new_backoff()

    def record_failure(self) -> None:
        """Record a failed call."""
        self._reached.clear()
        self._probe_at_ms = now_ms() + self._backoff.next_ms()
