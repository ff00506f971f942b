"""Keep the connections of callers within the bounds of the process."""

import socket
from collections import Counter
from enum import Enum
from typing import Protocol

from crocusspindle.core.connection_bound import (
    RECEIVE_BUFFER_BYTES,
    BoundConnection,
    ConnectionBound,
)
from crocusspindle.log_lines import Logger, log_state_change

LOG_INTERVAL_S = 1.0


class ClosingReason(Enum):
    """Name why a connection was closed; the values are the names used in metrics."""

    REFUSED = "refused"
    IDLE = "idle"
    HEADS = "heads"


class TableConnection(BoundConnection, Protocol):
    """Describe a connection that the table may close."""

    def recount(self) -> int:
        """Return how much memory its heads take now."""

    def close_if_idle(self) -> bool:
        """Close it unless it holds a request; return True if it is closed."""

    def abort(self) -> None:
        """Close it at once."""


class ConnectionTable:
    """Count open connections and the heads that they hold; close some at a bound."""

    def __init__(self, bound: ConnectionBound | None = None) -> None:
        self.bound = ConnectionBound() if bound is None else bound
        self.closed: Counter[ClosingReason] = Counter()
        self.held_bytes = 0
        self._log = Logger("connections")
        self._next_log_s = 0.0
        # In the order in which they were opened.
        self._connections: dict[TableConnection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: TableConnection, now_s: float) -> bool:
        """Add a connection; return False if there is no room for it.

        At the bound, an idle connection is closed for it.
        """
        if len(self._connections) >= self.bound.connections:
            if not self._close_idle():
                self._record(ClosingReason.REFUSED, now_s)
                return False
            self._record(ClosingReason.IDLE, now_s)
        self._connections[connection] = None
        return True

    def _close_idle(self) -> bool:
        for connection in self.bound.closing_order(self._connections):
            if connection.close_if_idle():
                self.remove(connection)
                return True
        return False

    def remove(self, connection: TableConnection) -> None:
        """Remove a connection; has no effect the second time."""
        if connection in self._connections:
            del self._connections[connection]
            self.held_bytes -= connection.held_bytes

    def resize(
        self, connection: TableConnection, held_bytes: int, now_s: float
    ) -> None:
        """Set what the heads of a connection take; close the largest at the bound."""
        if connection not in self._connections:
            return
        self.held_bytes += held_bytes - connection.held_bytes
        connection.held_bytes = held_bytes
        if self.held_bytes > self.bound.held_bytes:
            self._shed(now_s)

    def _shed(self, now_s: float) -> None:
        for connection in self._connections:
            connection.held_bytes = connection.recount()
        self.held_bytes = sum(each.held_bytes for each in self._connections)
        for connection in self.bound.to_shed(self._connections):
            self.remove(connection)
            connection.abort()
            self._record(ClosingReason.HEADS, now_s)

    def _record(self, reason: ClosingReason, now_s: float) -> None:
        self.closed[reason] += 1
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        log_state_change(
            self._log,
            "connections are closed at a bound",
            reason=reason.value,
            connections=len(self._connections),
            head_bytes=self.held_bytes,
            **{f"closed_{name.value}": count for name, count in self.closed.items()},
        )


def limit_receive_buffer(listening: socket.socket) -> None:
    """Limit what the kernel receives on each connection before it is read.

    Without a limit the kernel grows the buffers of unread connections to megabytes.
    """
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
