"""Wrap the platform's adapter: measure its calls and close it on stop."""

from collections.abc import Awaitable, Sequence
from typing import TypeVar

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.model import Target
from crocusspindle.errors import PlatformUnavailableError, PlatformUnknownError
from crocusspindle.kernel import Service
from crocusspindle.metrics import Metrics
from crocusspindle.platform.adapter import PlatformAdapter, PutResult, Row

T = TypeVar("T")


class PlatformService(Service):
    """Forward calls to the adapter; ``Platform`` documents them."""

    name = "platform"

    def __init__(self, adapter: PlatformAdapter, metrics: Metrics) -> None:
        self._adapter = adapter
        self._metrics = metrics

    async def stop(self) -> None:
        """Close the adapter's connections."""
        await self._adapter.close()

    async def get(self, table: str, key: str, deadline_ms: float) -> Row | None:
        """Return one row, or None if it does not exist."""
        return await self._measure("get", self._adapter.get(table, key, deadline_ms))

    async def put(
        self,
        table: str,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_ms: float,
    ) -> PutResult:
        """Write a row if its version is the expected one."""
        call = self._adapter.put(table, key, value, expected_version, deadline_ms)
        return await self._measure("put", call)

    async def delete(
        self, table: str, key: str, expected_version: int, deadline_ms: float
    ) -> bool:
        """Delete a row if its version is the expected one; return False if not."""
        call = self._adapter.delete(table, key, expected_version, deadline_ms)
        return await self._measure("delete", call)

    async def read_range(
        self, table: str, after_key: str, limit: int, deadline_ms: float
    ) -> Sequence[Row]:
        """Return at most ``limit`` rows with keys above ``after_key``, in order."""
        call = self._adapter.read_range(table, after_key, limit, deadline_ms)
        return await self._measure("read_range", call)

    async def get_object(self, name: str, deadline_ms: float) -> bytes | None:
        """Return a stored object, or None if it does not exist."""
        call = self._adapter.get_object(name, deadline_ms)
        return await self._measure("get_object", call)

    async def put_object(self, name: str, content: bytes, deadline_ms: float) -> None:
        """Store an object, replacing an older one."""
        call = self._adapter.put_object(name, content, deadline_ms)
        await self._measure("put_object", call)

    async def hosts(self, deadline_ms: float) -> Sequence[Target]:
        """Return the list of live and leaving target hosts, which may lag."""
        return await self._measure("hosts", self._adapter.hosts(deadline_ms))

    async def _measure(self, call: str, work: Awaitable[T]) -> T:
        began_ms = now_ms()
        result = "failed"
        try:
            returned = await work
            result = "ok"
        except PlatformUnavailableError:
            result = "unavailable"
            raise
        except PlatformUnknownError:
            result = "unknown"
            raise
        finally:
            self._metrics.add(instruments.PLATFORM_CALLS, call=call, result=result)
            elapsed_ms = now_ms() - began_ms
            self._metrics.record(instruments.PLATFORM_CALL_MS, elapsed_ms, call=call)
        return returned
