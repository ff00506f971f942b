"""Hold customers in packed columns, found by id or by row number."""

from array import array
from collections.abc import Iterator
from typing import Final

import xxhash

from crocusspindle.core.model import Customer
from crocusspindle.core.packed import RecordTable
from crocusspindle.ids import CustomerId

MAX_ID_BYTES: Final = 255
"""Ids are stored with their length in one byte."""

ROW_BYTES: Final = 4
TAG_BYTES: Final = 4
HOLE: Final = 0xFFFF_FFFF
"""Start of a row that holds no customer."""

MIN_WASTE_BYTES: Final = 65_536
"""Removed ids are cleared away when they fill this much and a quarter of all.

That copies all ids, 318.7 ms at 520,000 (benchmarks/directory.py), once in 130,000
removals.
"""


def row_bytes(row: int) -> bytes:
    """Return a row number as stored in records."""
    return row.to_bytes(ROW_BYTES, "little")


class CustomerTable:
    """Keep rate, burst and weight of each customer."""

    def __init__(self) -> None:
        self.index = RecordTable(TAG_BYTES + ROW_BYTES, 0)
        self.ids = bytearray()
        self.starts = array("I")
        self.rates = array("d")
        self.bursts = array("I")
        self.weights = array("d")
        self.free = array("I")
        self.wasted_bytes = 0

    def __len__(self) -> int:
        return len(self.index)

    def __iter__(self) -> Iterator[Customer]:
        for row, start in enumerate(self.starts):
            if start != HOLE:
                yield self.at(row)

    def row(self, customer: CustomerId) -> int | None:
        """Return the row of a customer."""
        name = customer.encode()
        place, tag = self._place(name)
        for record in self.index.matches(place, tag):
            row = int.from_bytes(record[TAG_BYTES:], "little")
            if self._name(row) == name:
                return row
        return None

    def at(self, row: int) -> Customer:
        """Return the customer of a row."""
        return Customer(
            CustomerId(self._name(row).decode()),
            self.rates[row],
            self.bursts[row],
            self.weights[row],
        )

    def id_at(self, row: int) -> CustomerId:
        """Return the id of a row's customer."""
        return CustomerId(self._name(row).decode())

    def put(self, customer: Customer) -> None:
        """Add a customer or replace its settings."""
        row = self.row(customer.customer)
        if row is None:
            row = self._add(customer.customer.encode())
        self.rates[row] = customer.rate_per_s
        self.bursts[row] = customer.burst
        self.weights[row] = customer.weight

    def remove(self, customer: CustomerId) -> int | None:
        """Remove a customer and return the row that is free again.

        The caller first removes what refers to the row: a new customer that gets
        it would else be reached with the keys of the former one.
        """
        row = self.row(customer)
        if row is None:
            return None
        name = customer.encode()
        place, tag = self._place(name)
        self.index.remove(place, tag + row_bytes(row))
        self.wasted_bytes += 1 + len(name)
        self.starts[row] = HOLE
        self.free.append(row)
        if self.wasted_bytes > max(MIN_WASTE_BYTES, len(self.ids) // 4):
            self.compact()
        return row

    def _add(self, name: bytes) -> int:
        if self.free:
            row = self.free.pop()
        else:
            row = len(self.starts)
            self.starts.append(HOLE)
            self.rates.append(0.0)
            self.bursts.append(0)
            self.weights.append(0.0)
        self.starts[row] = len(self.ids)
        self.ids.append(len(name))
        self.ids += name
        place, tag = self._place(name)
        self.index.put(place, tag + row_bytes(row), b"")
        return row

    def _name(self, row: int) -> bytes:
        start = self.starts[row]
        return bytes(self.ids[start + 1 : start + 1 + self.ids[start]])

    def compact(self) -> None:
        """Clear removed ids away; see `MIN_WASTE_BYTES` for what it costs."""
        kept = bytearray()
        for row, start in enumerate(self.starts):
            if start != HOLE:
                end = start + 1 + self.ids[start]
                self.starts[row] = len(kept)
                kept += self.ids[start:end]
        self.ids = kept
        self.wasted_bytes = 0

    @staticmethod
    def _place(name: bytes) -> tuple[int, bytes]:
        digest = xxhash.xxh3_64_digest(name)
        return int.from_bytes(digest[TAG_BYTES:], "little"), digest[:TAG_BYTES]
