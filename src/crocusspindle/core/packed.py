"""Keep many small records in few Python objects.

Half a million customers as Python objects take more than 250 MB; a node has 128 MB
for control. Records of a fixed size lie side by side in 4,096 byte arrays, chosen by
hash. At 520,000 records an array holds 127 of them, found by one search at the speed
of C. There is no index to rebuild, so no change ever stops the node for long.
"""

from collections.abc import Callable, Iterator
from typing import Final

BUCKETS: Final = 4_096


class RecordTable:
    """Hold records of a key and a value, both of fixed size."""

    def __init__(self, key_bytes: int, value_bytes: int) -> None:
        self._key_bytes = key_bytes
        self._record_bytes = key_bytes + value_bytes
        self._buckets = [bytearray() for _ in range(BUCKETS)]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def matches(self, place: int, prefix: bytes) -> Iterator[bytes]:
        """Return the records of a bucket that start with these bytes."""
        bucket = self._buckets[place % BUCKETS]
        at = bucket.find(prefix)
        while at >= 0:
            if at % self._record_bytes == 0:
                yield bytes(bucket[at : at + self._record_bytes])
            at = bucket.find(prefix, at + 1)

    def get(self, place: int, key: bytes) -> bytes | None:
        """Return the value of a key."""
        bucket = self._buckets[place % BUCKETS]
        at = self._position(bucket, key)
        if at < 0:
            return None
        return bytes(bucket[at + self._key_bytes : at + self._record_bytes])

    def put(self, place: int, key: bytes, value: bytes) -> None:
        """Add a record or replace its value."""
        bucket = self._buckets[place % BUCKETS]
        at = self._position(bucket, key)
        if at < 0:
            bucket += key + value
            self._count += 1
            return
        bucket[at + self._key_bytes : at + self._record_bytes] = value

    def remove(self, place: int, key: bytes) -> bool:
        """Remove a record and return True if it was there."""
        bucket = self._buckets[place % BUCKETS]
        at = self._position(bucket, key)
        if at >= 0:
            self._cut(bucket, at)
        return at >= 0

    def remove_where(self, unwanted: Callable[[bytes], bool], holding: bytes) -> int:
        """Remove records that hold these bytes and are unwanted; return how many.

        The search for the bytes passes over the buckets without them at the speed
        of C; only records found so are looked at one by one.
        """
        before = self._count
        for bucket in self._buckets:
            at = bucket.find(holding)
            while at >= 0:
                start = at - at % self._record_bytes
                if unwanted(bytes(bucket[start : start + self._record_bytes])):
                    self._cut(bucket, start)
                    at = bucket.find(holding, start)
                else:
                    at = bucket.find(holding, at + 1)
        return before - self._count

    def records(self) -> Iterator[bytes]:
        """Return all records; the table must not change meanwhile."""
        size = self._record_bytes
        for bucket in self._buckets:
            for at in range(0, len(bucket), size):
                yield bytes(bucket[at : at + size])

    def blocks(self) -> Iterator[bytes]:
        """Return the content of each bucket, in order, to be saved."""
        return map(bytes, self._buckets)

    def restore(self, first: int, blocks: list[bytes]) -> None:
        """Put saved buckets back, from the first one on."""
        for place, block in enumerate(blocks, first):
            self._count -= len(self._buckets[place]) // self._record_bytes
            self._buckets[place] = bytearray(block)
            self._count += len(block) // self._record_bytes

    def fits(self, block: bytes) -> bool:
        """Return True if the block holds whole records."""
        return len(block) % self._record_bytes == 0

    def _position(self, bucket: bytearray, key: bytes) -> int:
        at = bucket.find(key)
        while at >= 0 and at % self._record_bytes:
            at = bucket.find(key, at + 1)
        return at

    def _cut(self, bucket: bytearray, at: int) -> None:
        """Move the last record into the place of the removed one."""
        last = len(bucket) - self._record_bytes
        bucket[at : at + self._record_bytes] = bucket[last:]
        del bucket[last:]
        self._count -= 1
