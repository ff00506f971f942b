"""Serialize a directory to bytes and load it again.

A dump is a sequence of msgpack messages: a header, sections, and an end marker with the
section count. Each section has a checksum. Dumps are written and read in parts of a few
hundred kilobytes: a whole dump in memory beside the directory would exceed a node's
memory limit.
"""

import sys
from array import array
from collections.abc import Iterable, Iterator
from itertools import islice
from typing import Any, Final

import msgpack
import xxhash

from crocusspindle.core.directory import Directory
from crocusspindle.core.model import Route, Service
from crocusspindle.core.record_table import BUCKETS, RecordTable
from crocusspindle.errors import Finding, InvalidInputError

MAGIC: Final = "crocusspindle-directory"
VERSION: Final = 2
BUCKETS_PER_SECTION: Final = 64
CHUNK_BYTES: Final = 262_144
MAX_SECTION_BYTES: Final = 64 * 1024 * 1024
"""Larger sections, which no valid dump has, are refused so they can't fill memory."""

COLUMNS: Final = ("starts", "rates", "bursts", "weights", "free")
TABLES: Final = ("index", "keys", "approvals")
MESSAGE_FIELDS: Final = 2


class DumpError(InvalidInputError):
    """Raised if a dump is truncated, damaged or of another version."""

    @classmethod
    def of(cls, message: str) -> "DumpError":
        """Create an error with one finding."""
        return cls([Finding("directory dump", "sections", message)])


def dump(directory: Directory) -> bytes:
    """Return the dump of a directory."""
    return b"".join(dump_parts(directory))


def dump_parts(directory: Directory) -> Iterator[bytes]:
    """Yield a dump in parts; the directory must not change meanwhile."""
    yield msgpack.packb([MAGIC, VERSION])
    count = 0
    for section in _sections(directory):
        payload = msgpack.packb(section)
        yield msgpack.packb([payload, xxhash.xxh3_64_intdigest(payload)])
        count += 1
    yield msgpack.packb([MAGIC, count])


def _sections(directory: Directory) -> Iterator[list[Any]]:
    names = [directory.service_names, directory.approver_names]
    yield ["names", *names]
    yield ["services", [_service(each) for each in directory.services()]]
    routes = iter(directory.route_table)
    while batch := list(islice(routes, BUCKETS_PER_SECTION * BUCKETS_PER_SECTION)):
        yield ["routes", [_route(each) for each in batch]]
    customers = directory.customer_table
    yield ["waste", customers.wasted_bytes]
    for at in range(0, len(customers.ids), CHUNK_BYTES):
        yield ["ids", bytes(customers.ids[at : at + CHUNK_BYTES])]
    for name in COLUMNS:
        column: array[Any] = getattr(customers, name)
        step = CHUNK_BYTES // column.itemsize
        for at in range(0, len(column), step):
            yield [name, _little_endian(column[at : at + step])]
    for name in TABLES:
        blocks = _table(directory, name).blocks()
        for first in range(0, BUCKETS, BUCKETS_PER_SECTION):
            yield [name, first, list(islice(blocks, BUCKETS_PER_SECTION))]


def _service(service: Service) -> list[Any]:
    return [service.service, service.floor_fraction, service.timeout_ms, service.hedge]


def _route(route: Route) -> list[Any]:
    return [route.prefix, route.service, sorted(route.idempotent_methods)]


def _table(directory: Directory, name: str) -> RecordTable:
    return {
        "index": directory.customer_table.index,
        "keys": directory.key_table,
        "approvals": directory.approval_table,
    }[name]


def _little_endian(column: "array[Any]") -> bytes:
    if sys.byteorder == "big":
        column.byteswap()
    return column.tobytes()


def load(content: bytes) -> Directory:
    """Load a directory from a dump; raises `DumpError` if it is damaged."""
    return load_parts([content])


def load_parts(parts: Iterable[bytes]) -> Directory:
    """Load a directory from a dump in parts of any size."""
    directory = Directory()
    messages = _messages(parts)
    if next(messages, None) != [MAGIC, VERSION]:
        raise DumpError.of(f"missing header of version {VERSION}")
    for count, (first, second) in enumerate(messages):
        if first == MAGIC:
            if second != count or next(messages, None) is not None:
                raise DumpError.of(
                    "sections are missing or data follows the end marker"
                )
            _check(directory)
            return directory
        if xxhash.xxh3_64_intdigest(first) != second:
            raise DumpError.of(f"section {count} is damaged")
        _restore(directory, msgpack.unpackb(first))
    raise DumpError.of("end marker is missing")


def _messages(parts: Iterable[bytes]) -> Iterator[list[Any]]:
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_SECTION_BYTES)
    try:
        for part in parts:
            for at in range(0, len(part), CHUNK_BYTES):
                unpacker.feed(part[at : at + CHUNK_BYTES])
                for message in unpacker:
                    if not isinstance(message, list) or len(message) != MESSAGE_FIELDS:
                        raise DumpError.of("message is not a section")
                    yield message
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise DumpError.of(f"invalid msgpack: {error}") from error


def _restore(directory: Directory, section: list[Any]) -> None:
    name, content = section[0], section[1]
    customers = directory.customer_table
    if name == "names":
        directory.restore_names(content, section[2])
    elif name == "services":
        for fields in content:
            directory.put_service(Service(*fields))
    elif name == "routes":
        for prefix, service, methods in content:
            directory.route_table.put(Route(prefix, service, frozenset(methods)))
    elif name == "waste":
        customers.wasted_bytes = content
    elif name == "ids":
        customers.ids += content
    elif name in COLUMNS:
        column: array[Any] = getattr(customers, name)
        added = array(column.typecode, content)
        if sys.byteorder == "big":
            added.byteswap()
        column.extend(added)
    elif name in TABLES:
        table = _table(directory, name)
        blocks: list[bytes] = section[2]
        if content + len(blocks) > BUCKETS or not all(map(table.fits, blocks)):
            raise DumpError.of(f"{name} has truncated records or too many buckets")
        table.restore(content, blocks)
    else:
        raise DumpError.of(f"unknown section {name!r}")


def _check(directory: Directory) -> None:
    customers = directory.customer_table
    sizes = {len(getattr(customers, name)) for name in COLUMNS if name != "free"}
    if sizes != {len(customers) + len(customers.free)}:
        raise DumpError.of("customer columns differ in length")
