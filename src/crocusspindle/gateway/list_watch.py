"""Read the list of targets on this node before the list in force grows too old."""

import asyncio
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


class ListWatch(Service):
    """Read the list of targets whenever the one in force was confirmed too long ago.

    A reader may hang, be lost or be turned away by the store, and hosts find another
    one after several timeouts. Until then they would send to targets that have left.
    """

    name: ClassVar[str] = "list_watch"
    needs: ClassVar[tuple[str, ...]] = ("knowledge", "reading")

    def __init__(
        self, fleet_state: FleetState, platform_reader: PlatformReader
    ) -> None:
        self._fleet_state = fleet_state
        self._platform_reader = platform_reader

    async def start(self) -> None:
        """Begin to watch."""
        self.spawn(self._watch())

    async def _watch(self) -> None:
        await asyncio.sleep(START_DELAY_S)
        retry_at_ms = 0.0
        while True:
            left_ms = LIST_AGE_LIMIT_MS - self._age_ms()
            if left_ms > 0:
                retry_at_ms = 0.0
            elif now_ms() >= retry_at_ms:
                await self._read()
                retry_at_ms = now_ms() + RETRY_S * 1e3
            await asyncio.sleep(max(MIN_PAUSE_MS, left_ms) / 1e3)

    async def _read(self) -> None:
        await self._platform_reader.read_once(ReadReason.OLD_LIST, (Table.TARGETS,))
        if self._platform_reader.active:
            await self._query_peers()

    async def _query_peers(self) -> None:
        # The store may turn away or hang this reader only. The others read now.
        for _ in range(PEER_QUERIES):
            await asyncio.sleep(PEER_QUERY_PAUSE_S)
            await self._platform_reader.query_peers()
            if self._age_ms() < LIST_AGE_LIMIT_MS:
                return

    def _age_ms(self) -> float:
        return self._fleet_state.targets.age_ms(now_ms())
