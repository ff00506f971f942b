"""Read configuration and targets on this node before those in force grow too old."""

import asyncio
from collections.abc import Mapping
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.platform_reader import PlatformReader, ReadReason
from crocusspindle.kernel import Service
from crocusspindle.platform.fleet_platform import Table

LIST_AGE_LIMIT_MS: Final = 1_650.0
"""Age of a list at which a node reads it for itself. While reader and store respond, a
list is younger. The rest of the two seconds in which a leaving target must be known is
for the read and for sending a request."""

CONFIGURATION_AGE_LIMIT_MS: Final = 1_750.0
"""The same for the configuration. It may be confirmed later than the list, since its
table changes rarely and each call waits for a change. The rest of the two seconds is
for the read only: what counts is when a request arrives, not when it is sent on."""

AGE_LIMITS_MS: Final[Mapping[Table, float]] = {
    Table.TARGETS: LIST_AGE_LIMIT_MS,
    Table.CONFIGURATION: CONFIGURATION_AGE_LIMIT_MS,
}
"""Both tables are read together, in this order, once either reaches its limit. The
other one would reach its own soon after, and a store that does not respond is called
only once."""

MIN_PAUSE_MS: Final = 50.0
PEER_QUERIES: Final = 2
PEER_QUERY_PAUSE_S: Final = 0.05
START_DELAY_S: Final = 2.5
"""Time after its start in which a node does not read for itself: the documents of a
whole fleet that starts leave the reader one after the other. Its first list was read
about when it started."""

RETRY_S: Final = 10.0
"""Pause after a read that confirmed nothing. In an outage of the store all hosts make
one, and learn of its end from one another."""


class AgeWatch(Service):
    """Read configuration and targets whenever they were confirmed too long ago.

    A reader may hang, be lost or be turned away by the store, and hosts find another
    one after several timeouts. Until then they would send to targets that have left,
    and serve routes and keys that were replaced.
    """

    name: ClassVar[str] = "age_watch"
    needs: ClassVar[tuple[str, ...]] = ("knowledge", "reading")

    def __init__(
        self, fleet_state: FleetState, platform_reader: PlatformReader
    ) -> None:
        self._fleet_state = fleet_state
        self._platform_reader = platform_reader
        self._retry_at_ms: dict[Table, float] = {}

    async def start(self) -> None:
        """Begin to watch."""
        self.spawn(self._watch())

    async def _watch(self) -> None:
        await asyncio.sleep(START_DELAY_S)
        while True:
            old = self._old_tables()
            if not old:
                self._retry_at_ms.clear()
            elif any(now_ms() >= self._retry_at_ms.get(table, 0.0) for table in old):
                await self._refresh()
            left_ms = min(map(self._left_ms, AGE_LIMITS_MS))
            await asyncio.sleep(max(MIN_PAUSE_MS, left_ms) / 1e3)

    async def _refresh(self) -> None:
        began_ms = now_ms()
        await asyncio.gather(
            self._platform_reader.read_once(ReadReason.OLD_STATE, tuple(AGE_LIMITS_MS)),
            self._query_peers(),
        )
        # Also a table that has not reached its limit yet: it was due in the same read.
        retry_at_ms = now_ms() + RETRY_S * 1e3
        for table in AGE_LIMITS_MS:
            if self._age_ms(table) > now_ms() - began_ms:
                self._retry_at_ms[table] = retry_at_ms

    async def _query_peers(self) -> None:
        # The store may turn away or hang this node only. The others read now.
        for _ in range(PEER_QUERIES):
            await asyncio.sleep(PEER_QUERY_PAUSE_S)
            if not self._old_tables():
                return
            await self._platform_reader.query_peers()

    def _old_tables(self) -> list[Table]:
        return [table for table in AGE_LIMITS_MS if self._left_ms(table) <= 0.0]

    def _left_ms(self, table: Table) -> float:
        return AGE_LIMITS_MS[table] - self._age_ms(table)

    def _age_ms(self, table: Table) -> float:
        if table is Table.TARGETS:
            return self._fleet_state.targets.age_ms(now_ms())
        return self._fleet_state.configuration.age_ms(now_ms())
