"""Store many small records in few Python objects.

Half a million customers as Python objects take more than 250 MB; a node has 128 MB for
the control state. Fixed-size records are stored contiguously in 4,096 byte arrays,
chosen by hash. At 520,000 records an array holds 127 of them, found by one search in C.
There is no index to rebuild, so no change blocks the node for long.
"""

from collections.abc import Callable, Iterator
from typing import Final

BUCKETS: Final = 4_096


class RecordTable:
    """Hold records with a key and a value of fixed size."""

    def __init__(self, key_bytes: int, value_bytes: int) -> None:
        self._key_bytes = key_bytes
        self._record_bytes = key_bytes + value_bytes
        self._buckets = [bytearray() for _ in range(BUCKETS)]
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def matches(self, bucket_hash: int, prefix: bytes) -> Iterator[bytes]:
        """Return the records of a bucket that start with these bytes."""
        bucket = self._buckets[bucket_hash % BUCKETS]
        offset = bucket.find(prefix)
        while offset >= 0:
            if offset % self._record_bytes == 0:
                yield bytes(bucket[offset : offset + self._record_bytes])
            offset = bucket.find(prefix, offset + 1)

    def get(self, bucket_hash: int, key: bytes) -> bytes | None:
        """Return the value of a key."""
        bucket = self._buckets[bucket_hash % BUCKETS]
        offset = self._position(bucket, key)
        if offset < 0:
            return None
        return bytes(bucket[offset + self._key_bytes : offset + self._record_bytes])

    def put(self, bucket_hash: int, key: bytes, value: bytes) -> None:
        """Add a record or replace its value."""
        bucket = self._buckets[bucket_hash % BUCKETS]
        offset = self._position(bucket, key)
        if offset < 0:
            bucket += key + value
            self._count += 1
            return
        bucket[offset + self._key_bytes : offset + self._record_bytes] = value

    def remove(self, bucket_hash: int, key: bytes) -> bool:
        """Remove a record and return True if it was there."""
        bucket = self._buckets[bucket_hash % BUCKETS]
        offset = self._position(bucket, key)
        if offset >= 0:
            self._remove_at(bucket, offset)
        return offset >= 0

    def remove_where(self, unwanted: Callable[[bytes], bool], contained: bytes) -> int:
        """Remove unwanted records that contain these bytes; return how many.

        Buckets without the bytes are skipped by a search in C; only records that
        contain them are tested one by one.
        """
        count_before = self._count
        for bucket in self._buckets:
            offset = bucket.find(contained)
            while offset >= 0:
                start = offset - offset % self._record_bytes
                if unwanted(bytes(bucket[start : start + self._record_bytes])):
                    self._remove_at(bucket, start)
                    offset = bucket.find(contained, start)
                else:
                    offset = bucket.find(contained, offset + 1)
        return count_before - self._count

    def records(self) -> Iterator[bytes]:
        """Return all records; the table must not change during the iteration."""
        size = self._record_bytes
        for bucket in self._buckets:
            for offset in range(0, len(bucket), size):
                yield bytes(bucket[offset : offset + size])

    def blocks(self) -> Iterator[bytes]:
        """Return the content of each bucket in order, for a snapshot."""
        return map(bytes, self._buckets)

    def restore(self, first: int, blocks: list[bytes]) -> None:
        """Restore consecutive buckets, starting with bucket ``first``."""
        for index, block in enumerate(blocks, first):
            self._count -= len(self._buckets[index]) // self._record_bytes
            self._buckets[index] = bytearray(block)
            self._count += len(block) // self._record_bytes

    def fits(self, block: bytes) -> bool:
        """Return True if the block consists of complete records."""
        return len(block) % self._record_bytes == 0

    def _position(self, bucket: bytearray, key: bytes) -> int:
        offset = bucket.find(key)
        while offset >= 0 and offset % self._record_bytes:
            offset = bucket.find(key, offset + 1)
        return offset

    def _remove_at(self, bucket: bytearray, offset: int) -> None:
        """Remove a record by moving the last one into its place."""
        last = len(bucket) - self._record_bytes
        bucket[offset : offset + self._record_bytes] = bucket[last:]
        del bucket[last:]
        self._count -= 1
