"""Order the queued requests of one service for its free slots."""

from collections.abc import Iterator

from crocusspindle.core.placement_request import QueuedRequest


class WaitQueue:
    """Keep requests in order of arrival; yield them by lateness, then by priority."""

    def __init__(self) -> None:
        self._entries: list[QueuedRequest] = []

    def __len__(self) -> int:
        """Return how many requests are queued."""
        return len(self._entries)

    def add(self, entry: QueuedRequest) -> None:
        """Append a request."""
        self._entries.append(entry)

    def remove(self, entry: QueuedRequest) -> None:
        """Drop a request, whether or not it is queued."""
        self._entries = [other for other in self._entries if other is not entry]

    def ahead_of(self, priority: int, now_ms: float) -> int:
        """Return how many queued requests go before a new one of a priority."""
        return sum(
            entry.request.priority <= priority and now_ms < entry.on_time_until_ms
            for entry in self._entries
        )

    def in_order(self, now_ms: float) -> Iterator[QueuedRequest]:
        """Yield all queued requests, those first that can still be on time."""
        yield from sorted(
            self._entries,
            key=lambda entry: (
                now_ms >= entry.on_time_until_ms,
                entry.request.priority,
            ),
        )

    def drop_settled(self) -> None:
        """Drop the requests that have a decision."""
        self._entries = [entry for entry in self._entries if entry.settled is None]
