"""Exchange datagrams with other nodes: requests, responses, notifications."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, ClassVar, Final

from crocusspindle.errors import PeerError
from crocusspindle.gateway import instruments
from crocusspindle.gateway.messages import (
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.gateway.open_ports import open_when_free
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.pending_reads import read_arrived

REQUEST: Final = 0
RESPONSE: Final = 1
BUSY: Final = 2
NOTIFICATION: Final = 3
CURRENT_RESPONSE: Final = 4
"""A response with a `CURRENT_NUMBERS` number. It may have appended fields."""

BUSY_NAME: Final = "Busy"
UNREADABLE_NAME: Final = "unreadable"

CURRENT_NUMBERS: Final = 1 << 48
"""Set in the numbers of requests from versions that ignore unknown trailing fields.
Earlier versions count from 40 random bits, and drop messages with such fields."""

CURRENT_PEERS_KEPT: Final = 8_192
"""Peers known to be of such a version: all nodes of the largest fleet."""

RESEND_S: Final = 0.04
"""Ten times the longest latency between failure domains: a lost datagram is sent again
before a caller notices."""

BUSY_SILENT_S: Final = 0.2
"""Shortest silence after which a peer that has sent a busy signal counts as down. A
long wait takes many signals, so that a lossy link loses several in a row."""

LARGE_BYTES: Final = 1_400
"""A response above this fills more than one packet and may queue for long on a narrow
link. Sent again for each copy of its request, it would saturate the link, so a copy
gets a busy signal while the response may still be in flight."""

LARGE_RESEND_S: Final = 0.5
"""After this a large response counts as lost; the next copy of its request gets it."""

RESPONSES_KEPT: Final = 4_096
"""Responses kept to deduplicate requests: those of some seconds on a busy node."""

Address = tuple[str, int]
Handler = Callable[[Any, Address], Awaitable[Any]]
LateHandler = Callable[[Any, Address], None]


class Exchange(Service):
    """Send typed messages to nodes and dispatch received ones to their handlers.

    A request is sent again until its response arrives, and is handled once: the
    response is kept for later copies. While the handler waits, the request and each
    copy get a busy signal, which shows the sender that the peer is up.

    Fields that were appended to messages are sent only to peers that have shown by a
    request or a response that they understand them.
    """

    name: ClassVar[str] = "exchange"

    def __init__(self, address: Address, rng: random.Random, metrics: Metrics) -> None:
        self._address = address
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._handlers: dict[type[Any], Handler] = {}
        self._late_handlers: dict[type[Any], LateHandler] = {}
        self._last_request = rng.getrandbits(40) | CURRENT_NUMBERS
        self._current_peers: dict[Address, None] = {}
        self._pending: dict[int, _PendingRequest] = {}
        self._responses: dict[tuple[Address, int], _SentResponse | None] = {}
        self._log = Logger("exchange")

    def handle(self, message_type: type[Any], handler: Handler) -> None:
        """Call a handler for each message of a type.

        Its result is the response to a request; if it is None, none is sent.

        Messages do not name their sender: its address identifies it, and names would
        be the longest part of most datagrams.
        """
        self._handlers[message_type] = handler

    def handle_late_response(
        self, message_type: type[Any], handler: LateHandler
    ) -> None:
        """Call a handler for responses whose request is no longer pending."""
        self._late_handlers[message_type] = handler

    async def start(self) -> None:
        """Open the socket."""
        ip, port = self._address
        self._transport = await open_when_free(self._open, f"{ip}:{port}")

    async def _open(self) -> asyncio.DatagramTransport:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._receive), local_addr=self._address
        )
        return transport

    async def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def notify(self, to: Address, content: Any) -> None:
        """Send a message once, without a response."""
        self._send(
            to, encode_datagram([NOTIFICATION, 0, *pack(content)]), type(content)
        )

    async def request(
        self, to: Address, content: Any, silent_s: float, limit_s: float
    ) -> Any | None:
        """Send a message until a response arrives; return None if none does in time.

        Parameters
        ----------
        silent_s
            How long the peer may be silent. A busy signal ends a silence, and the next
            one may last for `BUSY_SILENT_S`.
        limit_s
            How long to wait for the response in total.
        """
        if to == self._address:
            return await self._request_self(content, limit_s)
        self._last_request += 1
        number = self._last_request
        parts = pack(content, with_appended=to in self._current_peers)
        data = encode_datagram([REQUEST, number, *parts])
        loop = asyncio.get_running_loop()
        pending = _PendingRequest(loop.create_future(), loop.time())
        self._pending[number] = pending
        deadline_s = loop.time() + limit_s

        def is_over() -> bool:
            return loop.time() >= min(deadline_s, pending.silent_until_s(silent_s))

        try:
            while not is_over():
                self._send(to, data, type(content))
                await asyncio.wait((pending.response,), timeout=RESEND_S)
                if not pending.response.done() and is_over():
                    # This process may have been paused, and the peer not silent.
                    await read_arrived()
                if pending.response.done():
                    return pending.response.result()
            # A process of an earlier version may have taken its place.
            self._current_peers.pop(to, None)
            return None
        finally:
            del self._pending[number]

    async def _request_self(self, content: Any, limit_s: float) -> Any | None:
        try:
            async with asyncio.timeout(limit_s):
                return await self._handlers[type(content)](content, self._address)
        except TimeoutError:
            return None

    def _send(self, to: Address, data: bytes, message_type: type[Any] | None) -> None:
        name = BUSY_NAME if message_type is None else message_type.__name__
        self._metrics.add(instruments.MESSAGES, type=name)
        self._metrics.add(instruments.MESSAGE_BYTES, len(data), type=name)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, to)

    def _receive(self, data: bytes, sender: Address) -> None:
        try:
            parts = decode_datagram(data)
            frame_type, number = parts[0], parts[1]
            if not isinstance(number, int):
                raise PeerError("a frame without a number")
            if frame_type == BUSY:
                self._receive_busy(number)
                return
            content = unpack(parts[2:])
        except (PeerError, TypeError, IndexError, KeyError):
            self._metrics.add(instruments.REJECTED_MESSAGES, type=UNREADABLE_NAME)
            return
        self._record_version(frame_type, number, sender)
        if frame_type in (RESPONSE, CURRENT_RESPONSE):
            self._receive_response(number, content, sender)
        elif frame_type == NOTIFICATION:
            self.spawn(self._call(content, sender))
        elif frame_type == REQUEST:
            self._receive_request(number, content, sender)

    def _record_version(self, frame_type: Any, number: Any, sender: Address) -> None:
        if frame_type == REQUEST and not _is_current(number):
            self._current_peers.pop(sender, None)
            return
        if frame_type not in (REQUEST, CURRENT_RESPONSE):
            return
        self._current_peers[sender] = None
        if len(self._current_peers) > CURRENT_PEERS_KEPT:
            del self._current_peers[next(iter(self._current_peers))]

    def _receive_busy(self, number: int) -> None:
        pending = self._pending.get(number)
        if pending is not None:
            pending.busy_s = asyncio.get_running_loop().time()

    def _receive_response(self, number: int, content: Any, sender: Address) -> None:
        pending = self._pending.get(number)
        if pending is None:
            late = self._late_handlers.get(type(content))
            if late is not None:
                late(content, sender)
        elif not pending.response.done():
            pending.response.set_result(content)

    def _receive_request(self, number: int, content: Any, sender: Address) -> None:
        key = (sender, number)
        if key in self._responses:
            self._respond_to_copy(key, self._responses[key])
            return
        self._responses[key] = None
        while len(self._responses) > RESPONSES_KEPT:
            del self._responses[next(iter(self._responses))]
        self.spawn(self._respond(key, content))
        # Called after the first step of the handler's task.
        asyncio.get_running_loop().call_soon(self._signal_if_held, key)

    def _signal_if_held(self, key: tuple[Address, int]) -> None:
        if key in self._responses and self._responses[key] is None:
            self._send_busy(key)

    def _send_busy(self, key: tuple[Address, int]) -> None:
        sender, number = key
        self._send(sender, encode_datagram([BUSY, number]), None)

    def _respond_to_copy(
        self, key: tuple[Address, int], sent_response: "_SentResponse | None"
    ) -> None:
        now_s = asyncio.get_running_loop().time()
        if sent_response is None or sent_response.may_be_in_flight(now_s):
            self._send_busy(key)
            return
        sent_response.sent_at_s = now_s
        self._send(key[0], sent_response.data, sent_response.message_type)

    async def _respond(self, key: tuple[Address, int], content: Any) -> None:
        sender, number = key
        response = await self._call(content, sender)
        if response is None:
            self._responses.pop(key, None)
            return
        is_current = _is_current(number)
        frame_type = CURRENT_RESPONSE if is_current else RESPONSE
        parts = pack(response, with_appended=is_current)
        data = encode_datagram([frame_type, number, *parts])
        now_s = asyncio.get_running_loop().time()
        self._responses[key] = _SentResponse(data, type(response), now_s)
        self._send(sender, data, type(response))

    async def _call(self, content: Any, sender: Address) -> Any | None:
        handler = self._handlers.get(type(content))
        if handler is None:
            return None
        try:
            return await handler(content, sender)
        except Exception as error:
            # One message must not end the process, nor that of the next receiver.
            self._reject(type(content).__name__, sender, error)
            return None

    def _reject(self, name: str, sender: Address, error: Exception) -> None:
        self._metrics.add(instruments.REJECTED_MESSAGES, type=name)
        log_state_change(
            self._log,
            "message rejected",
            type=name,
            sender=sender[0],
            reason=repr(error),
        )


@dataclass(slots=True)
class _SentResponse:
    """Keep a response for copies of its request, and when it was last sent."""

    data: bytes
    message_type: type[Any]
    sent_at_s: float

    def may_be_in_flight(self, now_s: float) -> bool:
        return len(self.data) > LARGE_BYTES and now_s - self.sent_at_s < LARGE_RESEND_S


class _PendingRequest:
    """Hold a request until its response arrives."""

    def __init__(self, response: asyncio.Future[Any], began_s: float) -> None:
        self.response = response
        self.busy_s: float | None = None
        self._began_s = began_s

    def silent_until_s(self, silent_s: float) -> float:
        """Return when the peer counts as silent unless it is heard before."""
        if self.busy_s is None:
            return self._began_s + silent_s
        return self.busy_s + max(silent_s, BUSY_SILENT_S)


def _is_current(number: Any) -> bool:
    return isinstance(number, int) and number & CURRENT_NUMBERS != 0


class _Protocol(asyncio.DatagramProtocol):
    """Pass received datagrams to a function; ignore errors of sent ones."""

    def __init__(self, received: Callable[[bytes, Address], None]) -> None:
        self._receive = received

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass one datagram to the function."""
        self._receive(data, addr)

    def error_received(self, exc: Exception) -> None:
        """Ignore the error of a closed port; the request times out."""
