"""Hold the platform's tables in memory for nodes in virtual time."""

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, Self

from crocusspindle.core.configuration import Configuration
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.errors import PlatformUnavailableError
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.documents import parse_configuration
from crocusspindle.platform.fleet_platform import (
    Changes,
    HistoryLostError,
    StoredRow,
    Table,
)

CALL_S: Final = 0.01
MAX_WRITE_BACKLOG_S: Final = 1.0
MIN_WAIT_S: Final = 1e-6
"""A shorter wait is lost to rounding of the clock and would never end."""

CONFIGURATION_KEY: Final = "config"


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold a store's rows and version as of one moment."""

    version: int
    tables: Mapping[Table, Mapping[str, StoredRow]]


class Store:
    """Hold rows and count the calls of each host."""

    def __init__(self) -> None:
        self.version = 0
        self.era = 1
        self.tables: dict[Table, dict[str, StoredRow]] = {t: {} for t in Table}
        self.calls: Counter[str] = Counter()
        self.call_s = CALL_S
        self.writes_per_s = math.inf
        self.refused_writes = 0
        self.refuses: Callable[[str], bool] = lambda host: False
        self._writes_end_s = 0.0
        self._row_written = asyncio.Event()

    def put(self, table: Table, key: str, value: bytes | None) -> int:
        """Write or remove a row and return the new version."""
        self.version += 1
        self.tables[table][key] = StoredRow(key, self.version, value)
        self._row_written.set()
        self._row_written = asyncio.Event()
        return self.version

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(self.version, {t: dict(r) for t, r in self.tables.items()})

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, their versions are reused."""
        self.era += 1
        self.version = copy.version
        self.tables = {table: dict(rows) for table, rows in copy.tables.items()}
        self._row_written.set()
        self._row_written = asyncio.Event()

    async def admit_write(self) -> None:
        """Wait for earlier writes; refuse this one if over 1 s of them is queued."""
        now_s = asyncio.get_running_loop().time()
        if self._writes_end_s > now_s + MAX_WRITE_BACKLOG_S:
            self.refused_writes += 1
            raise PlatformUnavailableError("too many writes are queued")
        self._writes_end_s = max(now_s, self._writes_end_s) + 1.0 / self.writes_per_s
        await asyncio.sleep(self._writes_end_s - now_s)

    async def wait_for_change(self, wait_s: float) -> None:
        """Wait until a row is written or the wait times out."""
        try:
            await asyncio.wait_for(self._row_written.wait(), wait_s)
        except TimeoutError:
            return


class StoreClient:
    """Call the store as one host."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self._host = host
        self.era = store.era

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build a client of the store in the options."""
        return cls(options["store"], options["host"])

    async def _call(self) -> None:
        self._store.calls[self._host] += 1
        await asyncio.sleep(self._store.call_s)
        self._check_served()

    def _check_served(self) -> None:
        if self._store.refuses(self._host):
            raise PlatformUnavailableError("the store refuses calls")
        self.era = self._store.era

    async def read(self, table: Table) -> Changes:
        """Return all rows of a table."""
        await self._call()
        rows = [r for r in self._store.tables[table].values() if r.value is not None]
        return Changes(rows, self._store.version)

    async def follow(self, table: Table, after: int, wait_ms: float) -> Changes:
        """Return rows changed after a version; wait for a change if there is none."""
        await self._call()
        era = self._store.era
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1e3
        while True:
            if self._store.era != era:
                raise PlatformUnavailableError("the store was restored")
            if after > self._store.version:
                raise HistoryLostError(f"version {after} is not known")
            rows = [r for r in self._store.tables[table].values() if r.version > after]
            remaining_s = deadline_s - loop.time()
            self._check_served()
            if rows or remaining_s <= MIN_WAIT_S:
                rows.sort(key=lambda row: row.version)
                return Changes(rows, self._store.version)
            await self._store.wait_for_change(remaining_s)

    async def put(
        self, key: str, value: bytes, expected_version: int | None
    ) -> int | None:
        """Write a row of the fleet's table; return its version, None on conflict."""
        await self._call()
        await self._store.admit_write()
        stored = self._store.tables[Table.FLEET].get(key)
        if expected_version is not None and expected_version != (
            stored.version if stored else 0
        ):
            return None
        return self._store.put(Table.FLEET, key, value)

    def configuration(self, rows: Sequence[StoredRow]) -> bytes | None:
        """Return the newest value of the configuration's row."""
        values = [row.value for row in rows if row.key == CONFIGURATION_KEY]
        return values[-1] if values else None

    def parse_configuration(self, value: bytes) -> Configuration:
        """Parse a configuration in the platform's format."""
        return parse_configuration(value)

    def evacuated_domain(self, key: str) -> DomainId | None:
        """Return None: the stand-in's operator evacuates nothing."""
        return None

    def parse_target(self, key: str, value: bytes) -> ListedTarget | None:
        """Parse a target's row as ``target_row`` writes it."""
        service, address, domain, slots, readiness, started_ms = json.loads(value)
        return ListedTarget(
            TargetIdentity(key),
            ServiceId(service),
            address,
            DomainId(domain),
            slots,
            Readiness(readiness),
            started_ms=started_ms,
        )

    async def close(self) -> None:
        """Close the client, which holds no resources."""


class UnreachableStoreClient(StoreClient):
    """Fail every call, as for a host cut off from the store."""

    async def _call(self) -> None:
        await asyncio.sleep(1.0)
        raise PlatformUnavailableError("the store is unreachable")


def target_row(target: ListedTarget) -> bytes:
    """Encode the row of a target."""
    fields = (target.service, target.address, target.domain, target.slots)
    return json.dumps([*fields, target.readiness.value, target.started_ms]).encode()
