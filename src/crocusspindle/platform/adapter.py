"""Define the interface between the fleet and its platform.

A new platform needs one module: a class with these methods, registered with
``@register("name")`` and named in the settings under ``platform.adapter``.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final, Protocol, Self, TypeVar

from crocusspindle.core.model import Target

ABSENT: Final = 0
"""The version of a row that does not exist."""


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one row of a table; ``version`` counts its writes from 1."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True, slots=True)
class PutResult:
    """Report whether a conditional put took effect, and the row's current content."""

    applied: bool
    current: Row | None


class Platform(Protocol):
    """Access the transactional table service, the object store and the host list.

    Every call ends by its ``deadline_ms`` on the monotonic clock. Calls raise
    ``PlatformUnavailableError`` when they certainly had no effect and
    ``PlatformUnknownError`` when a write may have taken effect.
    """

    async def get(self, table: str, key: str, deadline_ms: float) -> Row | None:
        """Return one row, or None if it does not exist."""

    async def put(
        self,
        table: str,
        key: str,
        value: bytes,
        expected_version: int,
        deadline_ms: float,
    ) -> PutResult:
        """Write a row if its version is the expected one."""

    async def delete(
        self, table: str, key: str, expected_version: int, deadline_ms: float
    ) -> bool:
        """Delete a row if its version is the expected one; return False if not."""

    async def read_range(
        self, table: str, after_key: str, limit: int, deadline_ms: float
    ) -> Sequence[Row]:
        """Return at most ``limit`` rows with keys above ``after_key``, in order."""

    async def get_object(self, name: str, deadline_ms: float) -> bytes | None:
        """Return a stored object, or None if it does not exist."""

    async def put_object(self, name: str, content: bytes, deadline_ms: float) -> None:
        """Store an object atomically, replacing an older one."""

    async def hosts(self, deadline_ms: float) -> Sequence[Target]:
        """Return the list of live and leaving target hosts, which may lag."""


class PlatformAdapter(Platform, Protocol):
    """Add construction and closing to ``Platform``; each adapter implements it."""

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build the adapter from the options under ``platform`` in the settings."""

    async def close(self) -> None:
        """Release the connections."""


_ADAPTERS: Final[dict[str, type[PlatformAdapter]]] = {}
Adapter = TypeVar("Adapter", bound=type[Any])


def register(name: str) -> Callable[[Adapter], Adapter]:
    """Register a platform adapter under the name that settings use."""

    def add(adapter: Adapter) -> Adapter:
        _ADAPTERS[name] = adapter
        return adapter

    return add


def adapters() -> Mapping[str, type[PlatformAdapter]]:
    """Return the registered adapters by name."""
    return _ADAPTERS
