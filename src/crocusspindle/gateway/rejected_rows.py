"""Keep rows of the platform that can't be used from harming the others."""

from collections.abc import Callable
from typing import Final, TypeVar

from crocusspindle.errors import MalformedError
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform.fleet_platform import StoredRow, Table

REJECTED_KEPT: Final = 1_000
"""Rejected rows remembered, so that each is logged once while it stays the same."""

Result = TypeVar("Result")


class RejectedRows:
    """Apply rows one by one; count and log those that can't be used."""

    def __init__(self, log: Logger) -> None:
        self._log = log
        self._reasons: dict[tuple[Table, str], str] = {}

    def __len__(self) -> int:
        """Return how many rows this node can't use."""
        return len(self._reasons)

    def clear(self, table: Table) -> None:
        """Forget the rows of a table that is read as a whole."""
        self._reasons = {
            (of, key): reason
            for (of, key), reason in self._reasons.items()
            if of is not table
        }

    def apply(
        self, table: Table, row: StoredRow, handle: Callable[[StoredRow], Result]
    ) -> Result | None:
        """Return the result of a row's handler, None if the row can't be used."""
        try:
            result = handle(row)
        except MalformedError as error:
            self._reject(table, row, str(error))
        except Exception as error:
            # What another program wrote must not end this process: the next one to
            # read the row would end as well.
            self._reject(table, row, repr(error))
        else:
            self._reasons.pop((table, row.key), None)
            return result
        return None

    def _reject(self, table: Table, row: StoredRow, reason: str) -> None:
        place = (table, row.key)
        if self._reasons.get(place) == reason:
            return
        self._reasons[place] = reason
        while len(self._reasons) > REJECTED_KEPT:
            del self._reasons[next(iter(self._reasons))]
        log_state_change(
            self._log,
            "row rejected",
            table=table.value,
            row=row.key,
            version=row.version,
            reason=reason,
        )
