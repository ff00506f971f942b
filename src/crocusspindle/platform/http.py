"""Access a platform over HTTP, with the API of this project's stand-in."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final, Self
from urllib.parse import quote

import aiohttp
import msgpack

from crocusspindle.clock import remaining_s
from crocusspindle.core.model import Target, TargetState
from crocusspindle.errors import (
    Finding,
    PlatformUnavailableError,
    PlatformUnknownError,
    SettingsError,
)
from crocusspindle.ids import DomainId, ServiceId, TargetId
from crocusspindle.platform.adapter import PutResult, Row, register
from crocusspindle.shielded_connector import ShieldedConnector

HTTP_OK: Final = 200
HTTP_NOT_FOUND: Final = 404
HTTP_CONFLICT: Final = 409


def _row(fields: Sequence[Any] | None) -> Row | None:
    return None if fields is None else Row(*fields)


@register("http")
class HttpPlatform:
    """HTTP client of the platform's table service, object store and host list."""

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build the adapter; ``url`` is the platform's base address."""
        findings = [
            Finding("settings", f"platform.{name}", "unknown key")
            for name in options
            if name != "url"
        ]
        if "url" not in options:
            findings.append(Finding("settings", "platform.url", "is missing"))
        if findings:
            raise SettingsError(findings)
        return cls(str(options["url"]))

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            # Connections to an unreachable platform break silently; a short
            # keep-alive bounds how long a broken one may be reused.
            connector = ShieldedConnector(limit=16, keepalive_timeout=5)
            self._session = aiohttp.ClientSession(
                connector=connector, auto_decompress=False
            )
        return self._session

    async def _call(
        self, method: str, path: str, deadline_ms: float, **options: Any
    ) -> tuple[int, bytes]:
        # A failed read had no effect. A write whose response is lost may have taken
        # effect; only a failed connection shows that it did not.
        timeout_s = remaining_s(deadline_ms)
        if timeout_s <= 0:
            raise PlatformUnavailableError(f"no time left for {method} {path}")
        error_type = (
            PlatformUnknownError if method != "GET" else PlatformUnavailableError
        )
        try:
            async with asyncio.timeout(timeout_s):
                async with self._client().request(
                    method, self._url + path, **options
                ) as response:
                    return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise PlatformUnavailableError(f"{method} {path}: {error}") from error
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise error_type(f"{method} {path}: {error!r}") from error

    async def _read(
        self, path: str, deadline_ms: float, **options: Any
    ) -> tuple[int, bytes]:
        status, content = await self._call("GET", path, deadline_ms, **options)
        if status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise PlatformUnavailableError(f"GET {path}: status {status}")
        return status, content

    async def get(self, table: str, key: str, deadline_ms: float) -> Row | None:
        """Return one row, or None if it does not exist."""
        path = f"/v1/tables/{table}/rows/{quote(key, safe='')}"
        status, content = await self._read(path, deadline_ms)
        return None if status == HTTP_NOT_FOUND else _row(msgpack.unpackb(content))

    async def put(
        self,
        table: str,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_ms: float,
    ) -> PutResult:
        """Write a row if its version is the expected one."""
        status, content = await self._call(
            "PUT",
            f"/v1/tables/{table}/rows/{quote(key, safe='')}",
            deadline_ms,
            data=value,
            headers={"If-Version": str(expected_version)},
        )
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise PlatformUnknownError(f"PUT {table}/{key}: status {status}")
        return PutResult(status == HTTP_OK, _row(msgpack.unpackb(content)))

    async def delete(
        self, table: str, key: str, expected_version: int, deadline_ms: float
    ) -> bool:
        """Delete a row if its version is the expected one; return False if not."""
        status, _ = await self._call(
            "DELETE",
            f"/v1/tables/{table}/rows/{quote(key, safe='')}",
            deadline_ms,
            headers={"If-Version": str(expected_version)},
        )
        if status not in (HTTP_OK, HTTP_CONFLICT):
            raise PlatformUnknownError(f"DELETE {table}/{key}: status {status}")
        return status == HTTP_OK

    async def read_range(
        self, table: str, after_key: str, limit: int, deadline_ms: float
    ) -> Sequence[Row]:
        """Return at most ``limit`` rows with keys above ``after_key``, in order."""
        _, content = await self._read(
            f"/v1/tables/{table}/rows",
            deadline_ms,
            params={"after": after_key, "limit": str(limit)},
        )
        return [Row(*fields) for fields in msgpack.unpackb(content)]

    async def get_object(self, name: str, deadline_ms: float) -> bytes | None:
        """Return a stored object, or None if it does not exist."""
        path = f"/v1/objects/{quote(name, safe='')}"
        status, content = await self._read(path, deadline_ms)
        return None if status == HTTP_NOT_FOUND else content

    async def put_object(self, name: str, content: bytes, deadline_ms: float) -> None:
        """Store an object atomically, replacing an older one."""
        path = f"/v1/objects/{quote(name, safe='')}"
        status, _ = await self._call("PUT", path, deadline_ms, data=content)
        if status != HTTP_OK:
            raise PlatformUnknownError(f"PUT object {name}: status {status}")

    async def hosts(self, deadline_ms: float) -> Sequence[Target]:
        """Return the list of live and leaving target hosts, which may lag."""
        _, content = await self._read("/v1/hosts", deadline_ms)
        return [
            Target(
                target=TargetId(entry["target"]),
                service=ServiceId(entry["service"]),
                domain=DomainId(entry["domain"]),
                slots=int(entry["slots"]),
                state=TargetState(entry["state"]),
            )
            for entry in msgpack.unpackb(content)
        ]

    async def close(self) -> None:
        """Release the connections."""
        if self._session is not None:
            await self._session.close()
