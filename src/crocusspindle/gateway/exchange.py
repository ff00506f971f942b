"""Exchange datagrams with other nodes: ask, answer, tell."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Final

from crocusspindle.errors import PeerError
from crocusspindle.gateway import instruments
from crocusspindle.gateway.messages import pack, packed, unpack, unpacked
from crocusspindle.kernel import Service
from crocusspindle.metrics import Metrics

ASK: Final = 0
ANSWER: Final = 1
BUSY: Final = 2
TELL: Final = 3
BUSY_NAME: Final = "Busy"

RESEND_S: Final = 0.04
"""Ten times the longest way between failure domains: a datagram that was lost is sent
again before a caller would notice."""

LARGE_BYTES: Final = 1_400
"""An answer that fills more than one packet may be on its way for long on a narrow
link, behind others of its kind. Sent again for each copy of its ask it would fill the
link for good: a copy hears that the peer is at work while the answer may still come."""

LARGE_AGAIN_S: Final = 0.5
"""After this a large answer that was not heard is taken for lost."""

ANSWERS_KEPT: Final = 4_096
"""Answers kept for asks that come again: some seconds of a busy node's."""

Address = tuple[str, int]
Handler = Callable[[Any, Address], Awaitable[Any]]
LateHandler = Callable[[Any, Address], None]


class Exchange(Service):
    """Send typed messages to nodes and hand those that come to their handlers.

    An ask is sent again until it is answered, and is handled once: the answer is
    kept for a copy that comes later. While a handler works, a copy is told so, and
    the asker knows that the peer lives.
    """

    name: ClassVar[str] = "exchange"

    def __init__(self, address: Address, draw: random.Random, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type[Any], Handler] = {}
        self._late: dict[type[Any], LateHandler] = {}
        self._next_ask = draw.getrandbits(40)
        self._asks: dict[int, _Pending] = {}
        self._handled: dict[tuple[Address, int], _Answered | None] = {}

    def handle(self, kind: type[Any], handler: Handler) -> None:
        """Call a handler for each message of a type; what it returns is the answer.

        Messages do not name their sender: its address tells, and names would be the
        longest part of most datagrams.
        """
        self._handlers[kind] = handler

    def handle_late(self, kind: type[Any], handler: LateHandler) -> None:
        """Call a handler for answers that nobody waits for any more."""
        self._late[kind] = handler

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._received), local_addr=self._address
        )

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def tell(self, to: Address, content: Any) -> None:
        """Send a message once, without an answer."""
        self._send(to, packed([TELL, 0, *pack(content)]), type(content))

    async def ask(
        self, to: Address, content: Any, silent_s: float, limit_s: float
    ) -> Any | None:
        """Send a message until it is answered; return None if the peer is silent.

        Parameters
        ----------
        silent_s
            How long the peer may be silent. A peer that says it is at work is not.
        limit_s
            How long to wait for the answer at all.
        """
        if to == self._address:
            return await self._ask_self(content, limit_s)
        self._next_ask += 1
        number = self._next_ask
        data = packed([ASK, number, *pack(content)])
        loop = asyncio.get_running_loop()
        pending = _Pending(loop.create_future(), loop.time())
        self._asks[number] = pending
        ends = loop.time() + limit_s
        try:
            while loop.time() < min(ends, pending.heard + silent_s):
                self._send(to, data, type(content))
                if await _settled(pending.answer, RESEND_S):
                    return pending.answer.result()
            return None
        finally:
            del self._asks[number]

    async def _ask_self(self, content: Any, limit_s: float) -> Any | None:
        try:
            async with asyncio.timeout(limit_s):
                return await self._handlers[type(content)](content, self._address)
        except TimeoutError:
            return None

    def _send(self, to: Address, data: bytes, kind: type[Any] | None) -> None:
        name = BUSY_NAME if kind is None else kind.__name__
        self._metrics.add(instruments.MESSAGES, type=name)
        self._metrics.add(instruments.MESSAGE_BYTES, len(data), type=name)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, to)

    def _received(self, data: bytes, sender: Address) -> None:
        try:
            parts = unpacked(data)
            form, number = parts[0], parts[1]
            if form == BUSY:
                self._heard(number)
                return
            content = unpack(parts[2:])
        except (PeerError, TypeError, IndexError, KeyError):
            return
        if form == ANSWER:
            self._answered(number, content, sender)
        elif form == TELL:
            self.spawn(self._call(content, sender))
        elif form == ASK:
            self._asked(number, content, sender)

    def _heard(self, number: int) -> None:
        pending = self._asks.get(number)
        if pending is not None:
            pending.heard = asyncio.get_running_loop().time()

    def _answered(self, number: int, content: Any, sender: Address) -> None:
        pending = self._asks.get(number)
        if pending is None:
            late = self._late.get(type(content))
            if late is not None:
                late(content, sender)
        elif not pending.answer.done():
            pending.answer.set_result(content)

    def _asked(self, number: int, content: Any, sender: Address) -> None:
        key = (sender, number)
        if key in self._handled:
            self._answer_copy(key, self._handled[key])
            return
        self._handled[key] = None
        while len(self._handled) > ANSWERS_KEPT:
            del self._handled[next(iter(self._handled))]
        self.spawn(self._answer(key, content))

    def _answer_copy(
        self, key: tuple[Address, int], answered: "_Answered | None"
    ) -> None:
        sender, number = key
        now = asyncio.get_running_loop().time()
        if answered is None or answered.may_still_come(now):
            self._send(sender, packed([BUSY, number]), None)
            return
        answered.sent = now
        self._send(sender, answered.data, answered.kind)

    async def _answer(self, key: tuple[Address, int], content: Any) -> None:
        sender, number = key
        answer = await self._call(content, sender)
        if answer is None:
            self._handled.pop(key, None)
            return
        data = packed([ANSWER, number, *pack(answer)])
        now = asyncio.get_running_loop().time()
        self._handled[key] = _Answered(data, type(answer), now)
        self._send(sender, data, type(answer))

    async def _call(self, content: Any, sender: Address) -> Any | None:
        handler = self._handlers.get(type(content))
        return None if handler is None else await handler(content, sender)


@dataclass(slots=True)
class _Answered:
    """Keep an answer for copies of its ask, and when it was last sent."""

    data: bytes
    kind: type[Any]
    sent: float

    def may_still_come(self, now: float) -> bool:
        return len(self.data) > LARGE_BYTES and now - self.sent < LARGE_AGAIN_S


class _Pending:
    """Hold one ask until its answer is here."""

    def __init__(self, answer: asyncio.Future[Any], heard: float) -> None:
        self.answer = answer
        self.heard = heard


async def _settled(future: asyncio.Future[Any], wait_s: float) -> bool:
    await asyncio.wait((future,), timeout=wait_s)
    return future.done()


class _Protocol(asyncio.DatagramProtocol):
    """Hand datagrams on; errors of single ones are no matter."""

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self._received = received

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Hand one datagram on."""
        self._received(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore that nobody listens there: the silence tells it."""
