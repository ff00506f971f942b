"""List the requests that a fleet quarantines (held requests), and free one."""

import json
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from dataclasses import replace
from typing import Any

from crocusspindle.clock import wall_ms
from crocusspindle.core.crash_record import CrashRecord
from crocusspindle.core.crash_table import CrashTable
from crocusspindle.errors import (
    Finding,
    InvalidInputError,
    MalformedError,
    PlatformUnavailableError,
)
from crocusspindle.gateway.assembly import platform_of
from crocusspindle.gateway.packed_documents import packed_record, unpacked_record
from crocusspindle.gateway.platform_reader import CRASH_PREFIX
from crocusspindle.ids import ContentDigest
from crocusspindle.platform import settings_file, table_store
from crocusspindle.platform.fleet_platform import FleetPlatform, StoredRow, Table
from crocusspindle.typed_values import decode_json

# Importing `table_store` registers its platform.
__all__ = ["free_request", "held_requests", "open_platform", "table_store"]

Rows = Mapping[ContentDigest, tuple[StoredRow, CrashRecord]]


@asynccontextmanager
async def open_platform(settings: str | None) -> AsyncIterator[FleetPlatform]:
    """Open the platform of a settings file; raise ``SettingsError`` with findings."""
    path = settings_file.settings_path(settings)
    platform = platform_of(settings_file.read_settings(path))
    try:
        yield platform
    finally:
        await platform.close()


async def held_requests(platform: FleetPlatform) -> list[dict[str, Any]]:
    """Return the held requests in the platform's store."""
    rows = await _rows(platform)
    table = CrashTable()
    table.merge([record for _, record in rows.values()], wall_ms())
    return [
        {
            "content": content,
            "targets": sorted(crash.target for crash in record.crashes),
            "trials": record.trials,
            "next_trial_in_ms": max(0, round(table.held_until_ms(content) - wall_ms())),
        }
        for content, (_, record) in sorted(rows.items())
        if table.is_held(content)
    ]


async def free_request(platform: FleetPlatform, content: str) -> dict[str, Any]:
    """Free a request on all hosts.

    Raise ``InvalidInputError`` if no crash is recorded for it, and
    ``PlatformUnavailableError`` if its row was changed meanwhile.
    """
    stored = (await _rows(platform)).get(ContentDigest(content))
    if stored is None or not stored[1].crashes:
        message = f"no request with content {content!r} is held"
        raise InvalidInputError([Finding("command line", "content", message)])
    row, record = stored
    freed = replace(
        CrashRecord(record.content, record.generation + 1, was_shared=True),
        last_ms=wall_ms(),
    )
    value = json.dumps(packed_record(freed)).encode()
    if await platform.put(row.key, value, row.version) is None:
        raise PlatformUnavailableError(
            f"{row.key} was changed by another writer; try again"
        )
    return {"content": content, "freed": True}


async def _rows(platform: FleetPlatform) -> Rows:
    changes = await platform.read(Table.FLEET)
    records: dict[ContentDigest, tuple[StoredRow, CrashRecord]] = {}
    for row in changes.rows:
        if row.value is not None and row.key.startswith(CRASH_PREFIX):
            with suppress(MalformedError):
                record = unpacked_record(decode_json(row.value))
                records[record.content] = (row, record)
    return records
