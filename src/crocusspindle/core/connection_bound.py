"""Decide how many connections a process keeps, and what one may hold.

Sized for hosts of 150 to 550 MB. Guards against callers that open connections without
end, or send requests that never end on many of them: the process would run out of
descriptors or memory, and all its callers would lose their requests.
"""

import math
from collections.abc import Iterable
from typing import Final, Protocol, TypeVar

from crocusspindle.core.memory_bound import BYTES_PER_MB, IDLE_PROCESS_MB

CONNECTIONS_FRACTION: Final = 0.25
"""Fraction of the memory beside an idle process that connections may take."""

HEADS_FRACTION: Final = 0.1
"""Fraction of the memory beside an idle process that heads of requests may take."""

RECEIVE_BUFFER_BYTES: Final = 1 << 15
"""Receive buffer asked of the kernel, which allows itself twice as much memory."""

CONNECTION_BYTES: Final = 2 * RECEIVE_BUFFER_BYTES + (1 << 14)
"""Memory of a connection without bodies and heads."""

MIN_HEAD_BYTES: Final = 4 * BYTES_PER_MB
MIN_CONNECTIONS: Final = 32

FILE_DESCRIPTORS: Final = 200
"""Descriptors of a host that are not for connections."""

CALLER_DESCRIPTORS_FRACTION: Final = 0.75
"""Fraction of the remaining descriptors for callers. The rest is for connections to
targets, to other nodes and to the store."""

HEAD_COPIES: Final = 3
"""How often the HTTP library keeps the bytes of a head, about."""

FIELD_BYTES: Final = 350
"""Memory of a field besides its bytes."""


def max_connections(memory_mb: float, file_descriptors: float) -> float:
    """Return how many connections of callers a host may have."""
    spare_bytes = (memory_mb - IDLE_PROCESS_MB) * BYTES_PER_MB
    by_memory = spare_bytes * CONNECTIONS_FRACTION / CONNECTION_BYTES
    by_descriptors = (file_descriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTORS_FRACTION
    return max(MIN_CONNECTIONS, min(by_memory, by_descriptors))


def max_head_bytes(memory_mb: float) -> float:
    """Return how much memory the heads of all requests may take."""
    spare_bytes = (memory_mb - IDLE_PROCESS_MB) * BYTES_PER_MB
    return max(float(MIN_HEAD_BYTES), spare_bytes * HEADS_FRACTION)


def head_cost_bytes(length: int, fields: int) -> int:
    """Return about how much memory a head takes."""
    return length * HEAD_COPIES + fields * FIELD_BYTES


class BoundConnection(Protocol):
    """Describe what decides whether a connection is closed at a bound."""

    held_bytes: int
    has_sent_request: bool


AnyConnection = TypeVar("AnyConnection", bound=BoundConnection)


class ConnectionBound:
    """Hold the limits of a group of connections."""

    def __init__(
        self, connections: float = math.inf, held_bytes: float = math.inf
    ) -> None:
        self.connections = connections
        self.held_bytes = held_bytes

    @staticmethod
    def closing_order(connections: Iterable[AnyConnection]) -> list[AnyConnection]:
        """Return the connections in the order in which to close idle ones.

        Those that have never sent a request are first. ``connections`` are in the order
        in which they were opened, and remain so otherwise.
        """
        return sorted(connections, key=lambda connection: connection.has_sent_request)

    def to_shed(self, connections: Iterable[AnyConnection]) -> list[AnyConnection]:
        """Return the connections to close, those that hold most, to be in bounds."""
        by_size = sorted(connections, key=lambda connection: connection.held_bytes)
        held = sum(connection.held_bytes for connection in by_size)
        shed: list[AnyConnection] = []
        while held > self.held_bytes and by_size:
            shed.append(by_size.pop())
            held -= shed[-1].held_bytes
        return shed
