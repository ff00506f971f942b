"""Hold the platform's tables in memory for nodes in virtual time."""

import asyncio
import json
import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Any, Final, Self

from crocusspindle.core.configuration import Configuration
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.store_version import UNKNOWN_ERA, StoreVersion
from crocusspindle.errors import PlatformUnavailableError, PlatformUnknownError
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.documents import parse_configuration
from crocusspindle.platform.fleet_platform import (
    Changes,
    HistoryLostError,
    StoredRow,
    Table,
)

CALL_S: Final = 0.01
CALL_TIMEOUT_S: Final = 1.0
MAX_WRITE_BACKLOG_S: Final = 1.0
MIN_WAIT_S: Final = 1e-6
"""A shorter wait is lost to rounding of the clock and would never end."""

CONFIGURATION_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"


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
        self.hangs: Callable[[str], bool] = lambda host: False
        self.delays_writes_s: Callable[[str], float] = lambda host: 0.0
        self._writes_end_s = 0.0
        self._row_written = asyncio.Event()

    @property
    def newest(self) -> StoreVersion:
        """Return the newest version."""
        return StoreVersion(self.era, self.version)

    def put(self, table: Table, key: str, value: bytes | None) -> StoreVersion:
        """Write or remove a row and return the new version."""
        self.version += 1
        self.tables[table][key] = StoredRow(key, self.newest, value)
        self._row_written.set()
        self._row_written = asyncio.Event()
        return self.newest

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(self.version, {t: dict(r) for t, r in self.tables.items()})

    def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, their versions are reused."""
        self.era += 1
        self.version = copy.version
        self.tables = {
            table: {
                key: replace(row, version=StoreVersion(self.era, row.version.number))
                for key, row in rows.items()
            }
            for table, rows in copy.tables.items()
        }
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
        self.era = UNKNOWN_ERA

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build a client of the store in the options."""
        return cls(options["store"], options["host"])

    async def _call(self) -> None:
        self._store.calls[self._host] += 1
        if self._store.hangs(self._host):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailableError("the store does not respond")
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
        return Changes(rows, self._store.newest)

    async def follow(
        self, table: Table, after: StoreVersion, wait_ms: float
    ) -> Changes:
        """Return rows changed after a version; wait for a change if there is none."""
        await self._call()
        era = self._store.era
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + wait_ms / 1e3
        while True:
            if self._store.era != era:
                raise PlatformUnavailableError("the store was restored")
            if after.era != era or after.number > self._store.version:
                raise HistoryLostError(f"version {after} is not known")
            rows = [
                row
                for row in self._store.tables[table].values()
                if row.version.number > after.number
            ]
            remaining_s = deadline_s - loop.time()
            self._check_served()
            if rows or remaining_s <= MIN_WAIT_S:
                rows.sort(key=lambda row: row.version.number)
                return Changes(rows, self._store.newest)
            await self._store.wait_for_change(remaining_s)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_version: StoreVersion | None,
        removed_keys: Collection[str] = (),
    ) -> StoreVersion | None:
        """Write a row of the fleet's table; return its version, None on conflict."""
        apply = partial(
            self._apply_put, key, value, expected_version, sorted(removed_keys)
        )
        await self._call()
        await self._store.admit_write()
        delay_s = self._store.delays_writes_s(self._host)
        if delay_s > 0.0:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, apply)
            raise PlatformUnknownError("the response is lost")
        return apply()

    def _apply_put(
        self,
        key: str,
        value: bytes,
        expected_version: StoreVersion | None,
        removed_keys: Sequence[str],
    ) -> StoreVersion | None:
        if expected_version is None:
            return self._store.put(Table.FLEET, key, value)
        stored = self._store.tables[Table.FLEET].get(key)
        # The store compares numbers, which it may have given out in an earlier era.
        if expected_version.number != (stored.version.number if stored else 0):
            return None
        for removed in removed_keys:
            self._store.put(Table.FLEET, removed, None)
        version = self._store.put(Table.FLEET, key, value)
        return version if expected_version.era == version.era else None

    def configuration(self, rows: Sequence[StoredRow]) -> bytes | None:
        """Return the newest value of the configuration's row."""
        values = [row.value for row in rows if row.key == CONFIGURATION_KEY]
        return values[-1] if values else None

    def parse_configuration(self, value: bytes) -> Configuration:
        """Parse a configuration in the platform's format."""
        return parse_configuration(value)

    def evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a row evacuates."""
        domain = key.removeprefix(EVACUATION_PREFIX)
        return DomainId(domain) if domain != key else None

    def parse_target(self, key: str, value: bytes) -> ListedTarget:
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
