"""Stand in for the platform's table store, including its outages.

Rows, feeds and conditional writes follow the platform's specification. ``mode`` selects
a fault: refuse with 503, reset, never respond, or apply writes and lose the responses.
The store can be restored from a copy, as in a drill.
"""

import asyncio
import base64
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from aiohttp import web

HISTORY_S: Final = 20.0
PAGE_ROWS: Final = 500
HANG_S: Final = 3600.0

Key = tuple[str, str, str]
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoreMode(Enum):
    """Select how the store handles calls."""

    HEALTHY = "well"
    BUSY = "busy"
    RESETS = "resets"
    SILENT = "silent"
    LOSES_ANSWERS = "loses answers"


@dataclass
class TableRow:
    """Hold one row, removed or not, as of its last change."""

    key: Key
    value: str
    version: int
    changed_s: float
    removed: bool = False


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold a store's rows and version as of one moment."""

    version: int
    rows: dict[Key, TableRow]


@dataclass
class TableStore:
    """Hold all tables and count the calls.

    ``era`` is named in each response, unless it is None. It rises with each restore.
    """

    mode: StoreMode = StoreMode.HEALTHY
    era: int | None = 1
    version: int = 0
    rows: dict[Key, TableRow] = field(default_factory=dict)
    calls: int = 0
    oldest_feed_version: int = 0
    _changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def app(self) -> web.Application:
        """Build the application of the store."""
        app = web.Application(middlewares=[self._name_era])
        app.router.add_post("/-/rows-tx", self._transact)
        app.router.add_get("/-/rows-get", self._get)
        app.router.add_get("/-/rows-feed", self._feed)
        return app

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row as an operator or a target does."""
        text = base64.b64encode(value).decode()
        await self._apply([((table, "", key), text)], [])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row as an operator or a target does."""
        await self._apply([], [(table, "", key)])

    def drop_history(self) -> None:
        """Drop the history: a feed from an earlier version gets 410."""
        self.oldest_feed_version = self.version

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from."""
        return StoreCopy(self.version, dict(self.rows))

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy: later writes are lost, their versions are reused."""
        async with self._changed:
            if self.era is not None:
                self.era += 1
            self.version, self.rows = copy.version, dict(copy.rows)
            self._changed.notify_all()

    async def _apply(self, puts: list[tuple[Key, str]], removes: list[Key]) -> int:
        async with self._changed:
            self.version += 1
            now_s = time.monotonic()
            for key, text in puts:
                self.rows[key] = TableRow(key, text, self.version, now_s)
            for key in removes:
                self.rows[key] = TableRow(key, "", self.version, now_s, removed=True)
            self._changed.notify_all()
            return self.version

    async def _admit(self) -> None:
        self.calls += 1
        if self.mode is StoreMode.SILENT:
            await asyncio.sleep(HANG_S)
        if self.mode is StoreMode.BUSY:
            raise web.HTTPServiceUnavailable
        if self.mode is StoreMode.RESETS:
            raise ConnectionResetError

    @web.middleware
    async def _name_era(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        try:
            response = await handler(request)
        except web.HTTPException as refusal:
            self._add_era(refusal)
            raise
        except ConnectionResetError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response()
        self._add_era(response)
        return response

    def _add_era(self, response: web.StreamResponse) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    async def _transact(self, request: web.Request) -> web.Response:
        await self._admit()
        body = await request.json()
        for condition in body["expected"]:
            stored = self.rows.get(_key(condition))
            current_version = 0 if stored is None or stored.removed else stored.version
            if current_version != condition["schema_version"]:
                return self._respond([], status=412)
        puts = [(_key(row), row["value"]) for row in body["puts"]]
        await self._apply(puts, [_key(row) for row in body["remove"]])
        if self.mode is StoreMode.LOSES_ANSWERS and request.transport is not None:
            request.transport.abort()
        return self._respond([])

    async def _get(self, request: web.Request) -> web.Response:
        await self._admit()
        query = request.query
        matching_rows = sorted(
            (
                row
                for row in self.rows.values()
                if row.key[:2] == (query["table"], query.get("part", ""))
                and not row.removed
                and row.key[2] >= query.get("range_start", "")
            ),
            key=lambda row: row.key[2],
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        return self._respond(matching_rows[:limit], has_more=len(matching_rows) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        await self._admit()
        table, after = request.query["table"], int(request.query["after"])
        wait_s = min(30.0, int(request.query.get("wait_ms", 0)) / 1e3)
        if not self.oldest_feed_version <= after <= self.version:
            raise web.HTTPGone
        era = self.era
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.era != era or self._rows_since(table, after)
                )
        except TimeoutError:
            pass
        if self.era != era or self.mode is StoreMode.RESETS:
            raise ConnectionResetError
        return self._respond(self._rows_since(table, after))

    def _rows_since(self, table: str, after: int) -> list[TableRow]:
        newer_rows = [
            row
            for row in self.rows.values()
            if row.key[0] == table and row.version > after
        ]
        return sorted(newer_rows, key=lambda row: row.version)

    def _respond(
        self, rows: list[TableRow], status: int = 200, has_more: bool = False
    ) -> web.Response:
        body: dict[str, Any] = {
            "rows": [_row(row) for row in rows],
            "has_more": has_more,
            "schema_version": self.version,
            "current_time_s": time.monotonic(),
        }
        return web.json_response(body, status=status)


def _key(row: dict[str, Any]) -> Key:
    return (row["table"], row["part"], row["key"])


def _row(table_row: TableRow) -> dict[str, Any]:
    table, part, key = table_row.key
    row_fields = {
        "table": table,
        "part": part,
        "key": key,
        "schema_version": table_row.version,
    }
    return (
        {**row_fields, "deleted": True}
        if table_row.removed
        else {**row_fields, "value": table_row.value}
    )
