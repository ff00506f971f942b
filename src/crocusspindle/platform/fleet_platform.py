"""Define the platform interface of `serve`: rows with a change feed, and their formats.

A new platform needs a module with these classes, registered under the name that the
settings give as ``form``.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final, Protocol, Self, TypeVar

from crocusspindle.core.configuration import Configuration
from crocusspindle.core.listed_target import ListedTarget
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.errors import PlatformUnavailableError
from crocusspindle.ids import DomainId


class HistoryLostError(PlatformUnavailableError):
    """Report that a feed can't resume from its version; read the whole table again."""


class Table(Enum):
    """Tables that a fleet reads."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Hold one row as returned by a feed or read; ``value`` is None once deleted."""

    key: str
    version: StoreVersion
    value: bytes | None


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold rows as of ``version``, the store's newest version when it responded."""

    rows: Sequence[StoredRow]
    version: StoreVersion


class FleetPlatform(Protocol):
    """Read and follow tables, write rows conditionally, and parse row values.

    Calls raise ``PlatformUnavailableError`` when they certainly had no effect and
    ``PlatformUnknownError`` when a write may have taken effect.

    ``era`` is the newest era that the store has named in any response, `FIRST_ERA` if
    it names none, `UNKNOWN_ERA` before the first response.
    """

    era: int

    @classmethod
    def from_config(cls, options: Mapping[str, Any]) -> Self:
        """Build the adapter from the platform section of the settings."""

    async def read(self, table: Table) -> Changes:
        """Return all rows of a table."""

    async def follow(
        self, table: Table, after: StoreVersion, wait_ms: float
    ) -> Changes:
        """Return the changes after a version; wait at most ``wait_ms`` for one.

        Raise ``HistoryLostError`` if the store has begun another era since.
        """

    async def put(
        self,
        key: str,
        value: bytes,
        expected_version: StoreVersion | None,
        removed_keys: Collection[str] = (),
    ) -> StoreVersion | None:
        """Write a row of the fleet's table; return its version, None on conflict.

        Rows with ``removed_keys`` are removed together with it. ``expected_version`` is
        the version that the row must have, that of `absent_row` if it must not exist;
        None writes the row unconditionally. A version of another era than the store's
        is a conflict.
        """

    def configuration(self, rows: Sequence[StoredRow]) -> bytes | None:
        """Return the newest configuration among the rows, or None if absent."""

    def parse_configuration(self, value: bytes) -> Configuration:
        """Parse a configuration; raise ``InvalidInputError`` with all findings."""

    def evacuated_domain(self, key: str) -> DomainId | None:
        """Return the failure domain that a row of the configuration table evacuates.

        Return None if the row evacuates none.
        """

    def parse_target(self, key: str, value: bytes) -> ListedTarget:
        """Parse an entry of the list of targets.

        Raise ``MalformedError`` if it is not a usable target.
        """

    async def close(self) -> None:
        """Release the connections."""


_FORMS: Final[dict[str, type[FleetPlatform]]] = {}
Form = TypeVar("Form", bound=type[Any])


def register_form(name: str) -> Callable[[Form], Form]:
    """Register a platform under the name that settings give as ``form``."""

    def add(form: Form) -> Form:
        _FORMS[name] = form
        return form

    return add


def forms() -> Mapping[str, type[FleetPlatform]]:
    """Return the registered platforms by name."""
    return _FORMS
