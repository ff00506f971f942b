"""Read the platform's tables for this node and for the nodes that ping it."""

import asyncio
import json
import math
import random
from collections.abc import Awaitable, Callable, Collection, Mapping
from enum import Enum
from functools import partial
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.crash_record import CrashRecord
from crocusspindle.core.evacuated_domains import EvacuatedDomains
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.store_version import (
    FIRST_ERA,
    NO_VERSION,
    UNKNOWN_ERA,
    StoreVersion,
    absent_row,
)
from crocusspindle.core.target_list import Entry, KnownBefore, NoEntry, TargetList
from crocusspindle.core.view import NodeAddress, View
from crocusspindle.errors import PlatformError, PlatformUnavailableError
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.packed_documents import (
    encode_document,
    packed_node,
    packed_record,
    packed_targets,
    packed_view,
    unpacked_node,
    unpacked_record,
    unpacked_view,
)
from crocusspindle.gateway.rejected_rows import RejectedRows
from crocusspindle.gateway.store_probe import StoreProbe
from crocusspindle.ids import ContentDigest, HostId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform.fleet_platform import (
    Changes,
    FleetPlatform,
    HistoryLostError,
    StoredRow,
    Table,
)
from crocusspindle.typed_values import decode_json

VIEW_PREFIX: Final = "view"
HOST_PREFIX: Final = "host/"
CRASH_PREFIX: Final = "crash/"
READ_AFTER_PING_MS: Final = 3_000.0
"""How long a reader continues after the last ping: a few pings may be lost."""

OWN_READ_MS: Final = 700.0
"""How long a node continues to read for itself after it last found no reader."""

LONG_POLL_MS: Final = 500.0
"""Long-poll timeout. A response confirms the state as of the call's start, so its age
is one to two timeouts; relayed twice a second it stays below 1.6 s, well under
`STALE_STATE_MS` of the view keeper."""

POLL_INTERVAL_S: Final = 0.5
"""Minimum time between calls for a table. Each target writes about every 1.5 s, so the
feed of targets always has changes, which one call then batches. The reader still
receives the row of a leaving target within a quarter of the two seconds allowed."""

STORE_LOST_AFTER_MS: Final = 600.0
"""Calls that fail for this long are more than one lost response: another node may
still reach the store."""

OUTAGE_AFTER_MS: Final = 2_000.0
"""A list unconfirmed for this long may lack entries of running targets. Confirmations
are younger than 1.6 s while the store is reachable, and an entry expires only after
three missed writes."""


def view_key(era: int) -> str:
    """Return the key of the view's row in an era of the store.

    A condition names a number, which a restored store may have given out again. A write
    that was decided before the restore can't replace the view of a row that only writes
    of a later era name.
    """
    return f"{VIEW_PREFIX}/{era}"


RowHandler = Callable[[Changes, bool, float], Awaitable[None]]
"""Applies changes of a table. Arguments: the changes, True if they hold all rows, and
the time (ms) at which the call began."""


class ReadReason(Enum):
    """Reason for which a node reads the platform."""

    PINGED = "another node asked"
    NO_READER = "no reader answered"
    DOCUMENTS_DEFERRED = "the reader has no room for whole contents"
    OLD_STATE = "configuration or targets were confirmed too long ago"


class PlatformReader(Service):
    """Follow the three tables while reads are requested.

    Registered in the kernel as ``reading``.
    """

    name: ClassVar[str] = "reading"
    needs: ClassVar[tuple[str, ...]] = ("knowledge",)

    def __init__(
        self, platform: FleetPlatform, fleet_state: FleetState, rng: random.Random
    ) -> None:
        self._platform = platform
        self._fleet_state = fleet_state
        self._log = Logger("reading")
        self._requested_until_ms = -math.inf
        self._requested = asyncio.Event()
        self.active_since_ms = math.inf
        self.view_row_version = absent_row(FIRST_ERA)
        self._view_keys: set[str] = set()
        self.nodes: dict[HostId, NodeAddress] = {}
        self.row_versions: dict[HostId, StoreVersion] = {}
        self._written_crashes: dict[ContentDigest, CrashRecord] = {}
        self._target_list = TargetList()
        self._evacuated = EvacuatedDomains()
        self._positions: dict[Table, StoreVersion] = {}
        self._call_ms: dict[Table, float] = {}
        self._newest_version = NO_VERSION
        self._era = UNKNOWN_ERA
        self._calls = 0
        self._reads_once = asyncio.Lock()
        self._failing_since_ms: dict[Table, float] = {}
        self._was_lost = False
        self._period = 0
        self._probe = StoreProbe(rng)
        self._rejected_rows = RejectedRows(self._log)
        self._row_handlers: Mapping[Table, RowHandler] = {
            Table.CONFIGURATION: self._apply_configuration_rows,
            Table.TARGETS: self._apply_target_rows,
            Table.FLEET: self._apply_fleet_rows,
        }
        self.query_peers: Callable[[], Awaitable[None]] = _query_no_peers
        self.on_store_regained: Callable[[], None] = _ignore

    async def start(self) -> None:
        """Start the loops; they are idle until reads are requested."""
        for table in self._row_handlers:
            self.spawn(self._follow(table))

    async def stop(self) -> None:
        """Close the connections to the platform."""
        await self._platform.close()

    def request_reads(self, for_ms: float, reason: ReadReason) -> None:
        """Read the platform for at least ``for_ms`` from now."""
        if not self._requested.is_set():
            self.active_since_ms = now_ms()
            self._calls = 0
            self._reset()
            log_state_change(self._log, "reads the platform", reason=reason.value)
        self._requested_until_ms = max(self._requested_until_ms, now_ms() + for_ms)
        self._requested.set()

    def _reset(self) -> None:
        # A call of an earlier period may still run. Its changes and its position belong
        # to another list.
        self._period += 1
        self._positions.clear()
        self._target_list.reset(self._fleet_state.targets.content or ())
        self._evacuated = EvacuatedDomains(self._fleet_state.evacuated.content or ())
        self._failing_since_ms.clear()

    @property
    def is_store_lost(self) -> bool:
        """Return True if reads of a table have failed for `STORE_LOST_AFTER_MS`."""
        failing_since_ms = min(self._failing_since_ms.values(), default=math.inf)
        return now_ms() - failing_since_ms > STORE_LOST_AFTER_MS

    @property
    def active(self) -> bool:
        """Return True while this node reads the platform."""
        return self._requested.is_set()

    async def wait_until_active(self) -> None:
        """Wait until this node reads the platform."""
        await self._requested.wait()

    async def _wait_until_requested(self) -> None:
        if now_ms() > self._requested_until_ms and self._requested.is_set():
            self._requested.clear()
            self._positions.clear()
            # Without calls, earlier failures do not show if the store is reachable now.
            self._failing_since_ms.clear()
            self._was_lost = False
            log_state_change(self._log, "rests from reading", calls=self._calls)
        await self._requested.wait()

    async def _follow(self, table: Table) -> None:
        while True:
            await self._wait_until_requested()
            self._adopt_era()
            position, period = self._positions.get(table), self._period
            try:
                began_ms, changes, complete = await self._call_or_probe(table)
            except HistoryLostError:
                log_state_change(
                    self._log, "history lost", table=table.value, after=position
                )
                self._positions.pop(table, None)
                # The store responded.
                self._probe.record_success()
                continue
            except PlatformError as error:
                self._record_failure(table, error)
                continue
            self._probe.record_success()
            if period != self._period:
                continue
            self._was_lost |= self.is_store_lost
            if self._failing_since_ms.pop(table, None) is not None:
                log_state_change(
                    self._log,
                    "store regained",
                    table=table.value,
                    era=self._platform.era,
                    version=changes.version,
                    after=None if complete else position,
                    rows=len(changes.rows),
                )
            if not await self._may_apply(table, changes, complete):
                continue
            await self._apply_rows(table, changes, complete, began_ms)
            self._positions[table] = changes.version
            self._fleet_state.notify()
            if self._was_lost and not self.is_store_lost:
                self._was_lost = False
                self.on_store_regained()
            spent_s = (now_ms() - began_ms) / 1e3
            await asyncio.sleep(max(0.0, POLL_INTERVAL_S - spent_s))

    async def _may_apply(self, table: Table, changes: Changes, complete: bool) -> bool:
        if table is Table.TARGETS and self._targets_are_unconfirmed():
            await self._check_outage_scope()
            if not complete:
                # Some node may keep a target that has no row any more. No change of a
                # row would end that, here or at any node that adopted its list.
                log_state_change(
                    self._log,
                    "reads the whole table",
                    table=table.value,
                    after=self._positions.pop(table, None),
                    list_version=self._fleet_state.targets.version,
                )
                return False
            if self._fleet_state.targets.version > changes.version:
                # Peers hold a newer list; the next call returns what this one lacks.
                return False
        self._newest_version = max(self._newest_version, changes.version)
        return True

    async def read_once(
        self, reason: ReadReason, tables: Collection[Table] = tuple(Table)
    ) -> None:
        """Read tables once, in order, unless this node follows them already.

        Stop at the first one that can't be read.
        """
        async with self._reads_once:
            if not self.active:
                await self._read_once(reason, tables)

    async def _read_once(self, reason: ReadReason, tables: Collection[Table]) -> None:
        self._reset()
        log_state_change(self._log, "reads the platform once", reason=reason.value)
        for table in tables:
            began_ms = now_ms()
            if (
                table is Table.FLEET
                and self._fleet_state.view.age_ms(began_ms) < OWN_READ_MS
            ):
                # A host that starts has just read this table.
                continue
            newest_version = max(
                self._newest_version, self._fleet_state.targets.version
            )
            try:
                changes = await self._platform.read(table)
                self._adopt_era()
                self._check_not_stale(changes, newest_version)
            except PlatformError as error:
                log_state_change(
                    self._log, "not read", table=table.value, error=str(error)
                )
                return
            if self.active:
                # A ping has started the loops meanwhile; they read from now on.
                return
            if await self._may_apply(table, changes, complete=True):
                await self._apply_rows(table, changes, True, began_ms)
        self._fleet_state.notify()

    async def _call_or_probe(self, table: Table) -> tuple[float, Changes, bool]:
        """Return when the call began (ms), its changes, and if they hold all rows."""
        if self._probe.is_reached and table not in self._failing_since_ms:
            # With a slow store, a full wait would let confirmations grow so old that
            # all nodes read it for themselves.
            wait_ms = max(0.0, LONG_POLL_MS - self._call_ms.get(table, 0.0))
            began_ms, changes, complete = await self._call_checked(table, wait_ms)
            if not changes.rows and not complete:
                spent_ms = now_ms() - began_ms
                self._call_ms[table] = max(0.0, spent_ms - wait_ms)
            return began_ms, changes, complete
        async with self._probe.turn():
            return await self._call_checked(table, 0.0)

    async def _call_checked(
        self, table: Table, wait_ms: float
    ) -> tuple[float, Changes, bool]:
        began_ms, era = now_ms(), self._era
        newest_version = max(self._newest_version, self._fleet_state.targets.version)
        try:
            changes, complete = await self._call(table, wait_ms)
        finally:
            self._adopt_era()
        if changes.version.era != self._era != era:
            raise HistoryLostError("the store was restored during the call")
        self._check_not_stale(changes, newest_version)
        return began_ms, changes, complete

    @property
    def era(self) -> int:
        """Return the era of the store in which this node reads."""
        return self._era

    def _adopt_era(self) -> None:
        """Begin again with whole tables if the store or a peer names a newer era."""
        newest = max(self._platform.era, self._fleet_state.store_era)
        if newest == self._era:
            return
        self._era = newest
        self._positions.clear()
        # Rows of before the restore may be gone, and their versions given out again.
        self.nodes.clear()
        self.row_versions.clear()
        self.view_row_version = absent_row(newest)
        self._view_keys.clear()
        self._written_crashes.clear()
        self._fleet_state.advance_era(newest)

    def _check_not_stale(self, changes: Changes, newest_version: StoreVersion) -> None:
        # A store that lost its history may return a version older than one known before
        # the call: a leaving target would be ready again, and a withdrawn key accepted.
        if changes.version < newest_version or changes.version.era < self._era:
            self._fleet_state.stale_responses += 1
            raise PlatformUnavailableError(
                f"response of {changes.version}, {newest_version} was seen before, "
                f"and era {self._era}"
            )

    def probe_now(self) -> None:
        """Stop waiting for the next probe: another node reaches the store again."""
        if self._failing_since_ms:
            self._probe.record_success()

    async def _call(self, table: Table, wait_ms: float) -> tuple[Changes, bool]:
        position = self._positions.get(table)
        self._calls += 1
        if position is None:
            return await self._platform.read(table), True
        return await self._platform.follow(table, position, wait_ms), False

    def _record_failure(self, table: Table, error: PlatformError) -> None:
        self._probe.record_failure()
        if table not in self._failing_since_ms:
            self._failing_since_ms[table] = now_ms()
            log_state_change(
                self._log, "store lost", table=table.value, error=str(error)
            )

    def _targets_are_unconfirmed(self) -> bool:
        targets = self._fleet_state.targets
        return (
            targets.content is not None and targets.age_ms(now_ms()) > OUTAGE_AFTER_MS
        )

    async def _check_outage_scope(self) -> None:
        # This node may be the only one that lost the store. Then targets that left
        # meanwhile look like expired entries; kept, they would get work ten seconds
        # after they left.
        await self.query_peers()
        if self._targets_are_unconfirmed():
            self._fleet_state.store_regained_at_ms = now_ms()
            log_state_change(self._log, "the store was away from the whole fleet")
            return
        self._target_list.adopt(self._fleet_state.targets.content or ())

    async def _apply_rows(
        self, table: Table, changes: Changes, complete: bool, began_ms: float
    ) -> None:
        if complete:
            self._rejected_rows.clear(table)
        await self._row_handlers[table](changes, complete, began_ms)
        self._fleet_state.rejected_rows = len(self._rejected_rows)

    async def _apply_configuration_rows(
        self, changes: Changes, complete: bool, began_ms: float
    ) -> None:
        # Before the configuration, with which a node that has just started begins to
        # serve.
        self._apply_evacuation_rows(changes, complete, began_ms)
        value = self._platform.configuration(changes.rows)
        state = self._fleet_state.configuration
        is_valid = value is None or self._fleet_state.update_configuration(
            value, began_ms
        )
        # A restored store may hold an older one, or none. It shows that no newer one
        # than that in force was acknowledged since.
        if state.content is not None and is_valid:
            state.confirm(state.version, began_ms)

    def _apply_evacuation_rows(
        self, changes: Changes, complete: bool, began_ms: float
    ) -> None:
        rows = {
            domain: row.value is not None
            for row in changes.rows
            if (domain := self._platform.evacuated_domain(row.key)) is not None
        }
        state = self._fleet_state
        if complete:
            evacuated = [
                domain for domain, is_evacuated in rows.items() if is_evacuated
            ]
            ended = [
                domain
                for domain, era in state.ended_evacuations.items()
                if era < self._era
            ]
            self._evacuated.replace(evacuated, ended, state.era_began_ms)
        else:
            self._evacuated.update(rows)
        in_force = self._evacuated.in_force(now_ms())
        state.update_evacuated(in_force, changes.version, began_ms)

    async def _apply_target_rows(
        self, changes: Changes, complete: bool, began_ms: float
    ) -> None:
        state = self._fleet_state
        entries = {TargetIdentity(row.key): self._entry(row) for row in changes.rows}
        known = KnownBefore(
            state.targets.content or (),
            state.departed_targets,
            state.store_regained_at_ms,
            state.era_began_ms,
        )
        if complete:
            self._target_list.replace_all(entries, self._era, known, now_ms())
        else:
            self._target_list.update(entries, known, now_ms())
        state.update_targets(self._target_list.targets, changes.version, began_ms)

    def _entry(self, row: StoredRow) -> Entry:
        entry = self._rejected_rows.apply(Table.TARGETS, row, self._listed_target)
        return entry or NoEntry.UNUSABLE

    def _listed_target(self, row: StoredRow) -> Entry:
        if row.value is None:
            return NoEntry.REMOVED
        target = self._platform.parse_target(row.key, row.value)
        # A target that peers can't be told of would keep the whole list from them.
        encode_document(packed_targets([target]))
        return target

    async def _apply_fleet_rows(
        self, changes: Changes, complete: bool, began_ms: float
    ) -> None:
        for row in changes.rows:
            self._rejected_rows.apply(
                Table.FLEET, row, partial(self._apply_fleet_row, began_ms=began_ms)
            )
        state = self._fleet_state.view
        state.confirm(state.version, began_ms)

    def _apply_fleet_row(self, row: StoredRow, began_ms: float) -> None:
        if row.value is None:
            self._view_keys.discard(row.key)
        elif row.key.startswith(VIEW_PREFIX):
            self._apply_view_row(row, row.value, began_ms)
        elif row.key.startswith(HOST_PREFIX):
            node = unpacked_node(decode_json(row.value))
            self.nodes[node.host] = node
            self.row_versions[node.host] = row.version
        elif row.key.startswith(CRASH_PREFIX):
            record = unpacked_record(decode_json(row.value))
            self._written_crashes[record.content] = record
            self._fleet_state.merge_crashes([record])

    def _apply_view_row(self, row: StoredRow, value: bytes, began_ms: float) -> None:
        self._view_keys.add(row.key)
        if row.key == view_key(self._era):
            # Known also for a row that can't be used, which the next view replaces.
            self.view_row_version = row.version
        self._fleet_state.update_view(unpacked_view(decode_json(value)), began_ms)

    async def write_view(self, view: View, row_version: StoreVersion) -> bool:
        """Replace the view of a row version; return False if another was first."""
        self._adopt_era()
        if row_version.era != self._era:
            return False
        value = json.dumps(packed_view(view)).encode()
        began_ms, key = now_ms(), view_key(row_version.era)
        earlier = self._view_keys - {key}
        version = await self._platform.put(key, value, row_version, earlier)
        if version is None:
            return False
        self.view_row_version = version
        self._view_keys = {key}
        self._fleet_state.update_view(view, began_ms)
        return True

    async def write_crashes(self) -> None:
        """Write the crash records that the store does not hold yet."""
        for record in self._fleet_state.crashes.shared():
            if self._written_crashes.get(record.content) != record:
                value = json.dumps(packed_record(record)).encode()
                await self._platform.put(CRASH_PREFIX + record.content, value, None)
                self._written_crashes[record.content] = record

    async def register(self, node: NodeAddress) -> None:
        """Write this node's own row."""
        value = json.dumps(packed_node(node)).encode()
        await self._platform.put(HOST_PREFIX + node.host, value, None)

    async def read_fleet(self) -> None:
        """Read the registered nodes, the view and the crash records."""
        began_ms = now_ms()
        changes = await self._platform.read(Table.FLEET)
        self._adopt_era()
        await self._apply_rows(Table.FLEET, changes, True, began_ms)


def _ignore() -> None:
    """Ignore that the store is reachable again; the default."""


async def _query_no_peers() -> None:
    """Query no peers; the default until membership sets the callback."""
