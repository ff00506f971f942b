"""Count the bodies that this process holds, and carry out the measures at the bound."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from crocusspindle.clock import remaining_s
from crocusspindle.core.memory_bound import HeldKind, Holding, Measure, MemoryBound
from crocusspindle.gateway import instruments
from crocusspindle.ids import CustomerId
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

READ_BUFFER_BYTES: Final = 1 << 16
"""Size of the HTTP library's read buffers while there is a bound. The library pauses a
connection at twice this size; by default that would be 512 KB for each open body."""

PAUSED_BYTES: Final = 2 * READ_BUFFER_BYTES
"""What the library may read from a connection before it pauses it."""

STALL_MS: Final = 500.0
"""How long a body may stand still while others wait for memory."""

RECHECK_S: Final = 1.0
"""How often what waits for released bytes counts its own buffers again."""


class HeldBytes(Holding):
    """Count one body in memory; ``on_drop`` is called when it is dropped."""

    def __init__(
        self,
        memory: "HeldMemory",
        customer: CustomerId | None,
        kind: HeldKind,
        request_id: str,
    ) -> None:
        super().__init__(customer, kind)
        self.memory = memory
        self.request_id = request_id
        self.is_dropped = False
        self.has_waited = False
        self.on_drop: Callable[[], None] | None = None
        memory.bound.add(self)

    def resize(self, size: int) -> None:
        """Set how many bytes are held."""
        self.memory.resize(self, size)

    def finish(self, size: int) -> None:
        """Set the size of a request's body of which no more is to be read."""
        self.is_whole = True
        self.resize(size)
        # The next one may be read although nothing was released.
        self.memory.notify_release()

    def release(self) -> None:
        """End counting; has no effect the second time."""
        self.resize(0)
        self.memory.bound.remove(self)

    @property
    def must_progress(self) -> bool:
        """Return True if a body that stands still has to make room for others."""
        return self.memory.bound.presses_back

    @property
    def may_read_ahead(self) -> bool:
        """Return True if the response may be read faster than its caller takes it."""
        return self.memory.bound.may_read_ahead(self.customer)


class RequestMemory:
    """Count all that one request holds."""

    def __init__(
        self, memory: "HeldMemory", customer: CustomerId | None, request_id: str
    ) -> None:
        self.process = memory
        self._customer = customer
        self._request_id = request_id
        self._body: HeldBytes | None = None
        self._responses: list[HeldBytes] = []

    def body(self) -> HeldBytes:
        """Return the count of the request's body."""
        if self._body is None:
            self._body = self._hold(HeldKind.REQUEST)
        return self._body

    def new_response(self) -> HeldBytes:
        """Return the count of one more response."""
        held = self._hold(HeldKind.RESPONSE)
        self._responses.append(held)
        return held

    def _hold(self, kind: HeldKind) -> HeldBytes:
        return HeldBytes(self.process, self._customer, kind, self._request_id)

    def release_body(self) -> None:
        """End counting the request's body."""
        if self._body is not None:
            self._body.release()

    def release(self) -> None:
        """End counting all that the request holds."""
        self.release_body()
        for held in self._responses:
            held.release()


class HeldMemory:
    """Hold the counter of this process; carry out and report its measures."""

    def __init__(
        self, bound: MemoryBound | None = None, metrics: Metrics | None = None
    ) -> None:
        self.bound = MemoryBound() if bound is None else bound
        self._metrics = metrics
        self._log = Logger("memory")
        self._released: asyncio.Future[None] | None = None
        if metrics is not None:
            metrics.observe(
                instruments.HELD_BYTES, lambda: [(float(self.bound.held_bytes), {})]
            )

    @property
    def read_buffer_bytes(self) -> int | None:
        """Return the size of the library's read buffers, None for its default."""
        return READ_BUFFER_BYTES if self.bound.is_bounded else None

    def request(self, customer: CustomerId | None, request_id: str) -> RequestMemory:
        """Return the count of a new request."""
        return RequestMemory(self, customer, request_id)

    def refuses_body(self, length: int) -> bool:
        """Return True, and count it, if a new request with such a body is refused."""
        refuses = self.bound.refuses_body(length)
        if refuses:
            self._count(Measure.REFUSAL)
        return refuses

    async def may_read_body(self, held: HeldBytes, until_ms: float) -> bool:
        """Wait until more of a body may be read; return False if it may not in time."""
        if self.bound.may_read_body(held):
            return True
        if not held.has_waited:
            held.has_waited = True
            self._count(Measure.BACK_PRESSURE)
        while not self.bound.may_read_body(held):
            left_s = remaining_s(until_ms)
            if left_s <= 0.0:
                return False
            await self.wait_for_release(min(left_s, RECHECK_S))
        return True

    async def wait_for_release(self, wait_s: float = RECHECK_S) -> None:
        """Wait until some bytes are released, or for a time."""
        if self._released is None:
            self._released = asyncio.get_running_loop().create_future()
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await asyncio.shield(self._released)

    def notify_release(self) -> None:
        """Wake what waits for a release."""
        if self._released is not None:
            self._released.set_result(None)
            self._released = None

    def resize(self, held: HeldBytes, size: int) -> None:
        """Set the size of a body; drop responses while the bound is reached."""
        grows = size > held.size
        self.bound.resize(held, size)
        if grows:
            self._drop_to_bound()
        else:
            self.notify_release()
        if self.bound.is_bounded:
            self._log_changes()

    def _drop_to_bound(self) -> None:
        while (dropped := self.bound.response_to_drop()) is not None:
            assert isinstance(dropped, HeldBytes)
            self._count(Measure.DROP)
            self._log_changes()
            log_state_change(
                self._log,
                "response dropped",
                request=dropped.request_id,
                customer=dropped.customer,
                bytes=dropped.size,
            )
            dropped.is_dropped = True
            dropped.release()
            if dropped.on_drop is not None:
                dropped.on_drop()

    def _log_changes(self) -> None:
        for measure, begins in self.bound.changes():
            log_state_change(
                self._log,
                "memory measure begins" if begins else "memory measure ends",
                measure=measure.value,
                held_bytes=self.bound.held_bytes,
                bound_bytes=round(self.bound.bound),
                largest_customer=self.bound.largest_customer,
            )

    def _count(self, measure: Measure) -> None:
        if self._metrics is not None:
            self._metrics.add(instruments.MEMORY_MEASURES, measure=measure.value)


def uncounted() -> RequestMemory:
    """Return the count of a request that nothing bounds."""
    return HeldMemory().request(None, "")
