"""HTTP client of the platform's table store."""

import asyncio
import base64
import binascii
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, Self

import aiohttp

from crocusspindle.core.configuration import Configuration
from crocusspindle.core.listed_target import ListedTarget
from crocusspindle.core.store_version import (
    FIRST_ERA,
    UNKNOWN_ERA,
    StoreVersion,
    absent_row,
)
from crocusspindle.errors import (
    MalformedError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from crocusspindle.ids import DomainId
from crocusspindle.platform import documents
from crocusspindle.platform.fleet_platform import (
    Changes,
    HistoryLostError,
    StoredRow,
    Table,
    register_form,
)
from crocusspindle.shielded_connector import ShieldedConnector
from crocusspindle.typed_values import (
    as_mapping,
    as_sequence,
    as_whole,
    decode_json,
    is_encodable,
)

HTTP_OK: Final = 200
HTTP_GONE: Final = 410
HTTP_CONFLICT: Final = 412
TABLES: Final = {
    Table.CONFIGURATION: "op",
    Table.TARGETS: "servers",
    Table.FLEET: "fleet",
}
ERA_HEADER: Final = "Store-Era"
MAX_ERA_DIGITS: Final = 18
CONFIGURATION_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"
PAGE_ROWS: Final = 500
CALL_TIMEOUT_S: Final = 1.0
"""Responses typically take 4 ms. An unresponsive store is detected within the bound
of two seconds for changes, with time left for another reader."""


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Hold a response of the store and the era in which it was given.

    ``version`` is the newest version at the time of the response. A refused write has
    no rows.
    """

    status: int
    era: int
    version: StoreVersion
    rows: Sequence[StoredRow]
    has_more: bool

    @classmethod
    def from_bytes(cls, status: int, era: int, content: bytes) -> Self:
        """Decode a response; raise ``MalformedError`` if it is none of the store's."""
        document = as_mapping(decode_json(content))
        number = as_whole(document.get("schema_version"))
        rows = as_sequence(document.get("rows", ()))
        return cls(
            status,
            era,
            StoreVersion(era, number),
            [row for value in rows if (row := _row(value, era)) is not None],
            bool(document.get("has_more")),
        )


def _row(value: Any, era: int) -> StoredRow | None:
    """Return a row of a response; None if it has no key or version."""
    try:
        row = as_mapping(value)
        key = row.get("key")
        number = as_whole(row.get("schema_version", 0))
    except MalformedError:
        return None
    if not isinstance(key, str) or not is_encodable(key):
        return None
    content = None if row.get("deleted") else _value(row.get("value"))
    return StoredRow(key, StoreVersion(era, number), content)


@register_form("table")
class TableStore:
    """Read, follow and write rows, each call on a new connection.

    A kept-alive connection can break silently while new ones work; at one call per
    second, new connections are cheap enough.
    """

    def __init__(self, address: str) -> None:
        self._url = f"http://{address}"
        self.era = UNKNOWN_ERA
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build the store from the platform section of the settings."""
        return cls(str(options["address"]))

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=ShieldedConnector(force_close=True),
                cookie_jar=aiohttp.DummyCookieJar(),
            )
            # By default aiohttp repeats a failed read, and each call has a cost.
            self._session._retry_connection = False
        return self._session

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        params: Mapping[str, str] | None = None,
        body: Mapping[str, Any] | None = None,
    ) -> StoreResponse:
        error_type = (
            PlatformUnavailableError if method == "GET" else PlatformUnknownError
        )
        try:
            async with asyncio.timeout(timeout_s):
                async with self._client().request(
                    method, self._url + path, params=params, json=body
                ) as response:
                    text = await response.read()
                    status = response.status
                    era = self._era_of(response)
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise error_type(f"{method} {path}: {error!r}") from error
        if era < self.era:
            # What it says or acknowledges, a restore of the store has undone.
            raise error_type(f"{method} {path}: response of era {era}")
        if status == HTTP_GONE:
            raise HistoryLostError(f"{method} {path}: history is gone")
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise PlatformUnavailableError(f"{method} {path}: status {status}")
        if status == HTTP_CONFLICT:
            return StoreResponse(status, era, absent_row(era), (), False)
        try:
            return StoreResponse.from_bytes(status, era, text)
        except MalformedError as error:
            raise error_type(f"{method} {path}: response {error}") from error

    def _era_of(self, response: aiohttp.ClientResponse) -> int:
        text = response.headers.get(ERA_HEADER, "")
        if len(text) > MAX_ERA_DIGITS or not (text.isascii() and text.isdigit()):
            self.era = max(self.era, FIRST_ERA)
            return self.era
        self.era = max(self.era, int(text))
        return int(text)

    async def read(self, table: Table) -> Changes:
        """Return all rows of a table, page by page."""
        rows: list[StoredRow] = []
        version: StoreVersion | None = None
        params = {"table": TABLES[table], "part": "", "limit": str(PAGE_ROWS)}
        while True:
            response = await self._call(
                "GET", "/-/rows-get", CALL_TIMEOUT_S, params=params
            )
            rows += response.rows
            # Later pages are read later; following from the first page's version
            # repeats the changes made between pages.
            version = response.version if version is None else version
            if version.era != response.era:
                raise HistoryLostError("the store was restored between two pages")
            if not response.has_more or not response.rows:
                return Changes(rows, version)
            params["range_start"] = rows[-1].key + "\0"

    async def follow(
        self, table: Table, after: StoreVersion, wait_ms: float
    ) -> Changes:
        """Return the changes after a version; wait at most ``wait_ms`` for one."""
        params = {
            "table": TABLES[table],
            "after": str(after.number),
            "wait_ms": str(int(wait_ms)),
        }
        timeout_s = wait_ms / 1e3 + CALL_TIMEOUT_S
        response = await self._call("GET", "/-/rows-feed", timeout_s, params=params)
        if response.era != after.era:
            raise HistoryLostError(f"version {after} is of another era")
        return Changes(response.rows, response.version)

    async def put(
        self,
        key: str,
        value: bytes,
        expected_version: StoreVersion | None,
        removed_keys: Collection[str] = (),
    ) -> StoreVersion | None:
        """Write a row of the fleet's table; return its version, None on conflict."""
        row_key = _fleet_row(key)
        body: dict[str, Any] = {
            "expected": [],
            "puts": [{**row_key, "value": base64.b64encode(value).decode()}],
            "remove": [_fleet_row(removed) for removed in sorted(removed_keys)],
        }
        if expected_version is not None:
            if expected_version.era != self.era or self.era == UNKNOWN_ERA:
                return None
            condition = {**row_key, "schema_version": expected_version.number}
            body["expected"] = [condition]
        response = await self._call("POST", "/-/rows-tx", CALL_TIMEOUT_S, body=body)
        if response.status != HTTP_OK:
            return None
        if expected_version is not None and expected_version.era != response.era:
            # The version was given out again, maybe for another value of the row.
            return None
        return response.version

    def configuration(self, rows: Sequence[StoredRow]) -> bytes | None:
        """Return the newest configuration among the rows, or None if absent."""
        values = [row.value for row in rows if row.key == CONFIGURATION_KEY]
        return values[-1] if values else None

    def parse_configuration(self, value: bytes) -> Configuration:
        """Parse a configuration; raise ``InvalidInputError`` with all findings."""
        return documents.parse_configuration(value)

    def evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a row evacuates, None if it evacuates none.

        The key alone counts: a row with an unreadable value is an operator's request,
        too.
        """
        domain = key.removeprefix(EVACUATION_PREFIX)
        is_domain = domain and domain != key and is_encodable(domain)
        return DomainId(domain) if is_domain else None

    def parse_target(self, key: str, value: bytes) -> ListedTarget:
        """Parse an entry of the list of targets, or raise ``MalformedError``."""
        return documents.parse_target(key, value)

    async def close(self) -> None:
        """Release the connections."""
        if self._session is not None:
            await self._session.close()


def _fleet_row(key: str) -> dict[str, Any]:
    return {"table": TABLES[Table.FLEET], "part": "", "key": key}


def _value(text: Any) -> bytes:
    # Other programs' rows may hold any value; one that cannot be decoded becomes
    # empty, and an empty entry is not a target.
    try:
        return base64.b64decode(text or "", validate=True)
    except (binascii.Error, TypeError, ValueError):
        return b""
