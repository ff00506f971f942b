"""Hold one request that an entry handed to this home."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeAlias

from crocusspindle.core.decisions import Outcome, RefusalReason
from crocusspindle.errors import PeerError
from crocusspindle.ids import RequestId
from crocusspindle.services.links import FRAMES_UNDER_WAY, HomeLink
from crocusspindle.services.targets import TargetAnswer
from crocusspindle.wire import fleet_pb2 as wire

CHUNK_BYTES: Final = 65_536
CLAIM_WAIT_S: Final = 1.0
"""An entry answers a claim within a round trip of some 3 ms. One that needs a
second is cut off or paused, and a slot is too dear to wait longer for it."""


@dataclass(frozen=True)
class Answered:
    """Hold the answer of a target and what the caller may conclude from it."""

    answer: TargetAnswer
    outcome: Outcome | None
    """None says that the request ran."""


@dataclass(frozen=True)
class GivenUp:
    """Hold the final word on a request without an answer."""

    outcome: Outcome
    reason: str
    retry_at_ms: float


Conclusion: TypeAlias = Answered | GivenUp


def refusal_reason(reason: RefusalReason) -> str:
    """Return the word for a refusal that callers are told."""
    return reason.value.replace("_", "-")


class Through(Enum):
    """Tell how the passing on of a long answer ended."""

    WHOLE = "whole"
    TARGET_BROKE = "target broke"
    ENTRY_GONE = "entry gone"


@dataclass
class HandedOver:
    """Hold one request, its body as it comes and its final answer."""

    number: RequestId
    head: wire.RequestHead
    link: HomeLink
    deadline_ms: float
    final: asyncio.Future[Conclusion]
    granted: asyncio.Event = field(default_factory=asyncio.Event)
    claimed: bool = False
    withdrawn: bool = False
    _through: asyncio.Future[Through] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    _whole: bytearray = field(default_factory=bytearray)
    _whole_here: asyncio.Event = field(default_factory=asyncio.Event)
    _parts: asyncio.Queue[bytes | None] = field(
        default_factory=lambda: asyncio.Queue(FRAMES_UNDER_WAY)
    )

    @property
    def needs_claim(self) -> bool:
        """Return True if the entry must allow the first sending to a target."""
        return not self.head.idempotent or self.head.has_body

    @property
    def repeatable(self) -> bool:
        """Return True if the request may be sent more than once."""
        return self.head.idempotent and (self.head.body_whole or not self.head.has_body)

    async def read(self) -> None:
        """Take frames until the entry withdraws; raise ``PeerError`` on a loss."""
        while True:
            frame = await self.link.receive()
            kind = frame.WhichOneof("frame")
            if kind == "chunk":
                await self._take(frame.chunk)
            elif kind == "body_end":
                await self._finish_body()
            elif kind == "grant":
                await self._take_grant(frame.grant)
            elif kind == "withdraw":
                self.withdrawn = True
                return

    async def claim(self) -> bool:
        """Ask the entry for leave to send; return True once it is given.

        An entry moves a request to another home when this one falls silent. A
        home that was paused would send its copy when it wakes, and the caller
        would pay twice. Only the entry knows, so it is asked at the last moment;
        without its word nothing is sent.
        """
        if not self.needs_claim:
            return True
        if not self.claimed:
            self.claimed = True
            await self.link.send(wire.AnswerFrame(claim=wire.Claim()))
        try:
            async with asyncio.timeout(CLAIM_WAIT_S):
                await self.granted.wait()
        except TimeoutError:
            return False
        return True

    async def body(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body: whole if it may be sent twice, else as it comes."""
        if not self.head.has_body:
            return None
        if not self.head.body_whole:
            return self._stream()
        await self._whole_here.wait()
        return bytes(self._whole)

    async def _take_grant(self, grant: wire.Grant) -> None:
        if grant.body_whole:
            self._whole += grant.body
            await self._finish_body()
        self.granted.set()

    async def _take(self, chunk: bytes) -> None:
        if self.head.body_whole:
            self._whole += chunk
        else:
            await self._parts.put(chunk)

    async def _finish_body(self) -> None:
        if self.head.body_whole:
            self._whole_here.set()
        else:
            await self._parts.put(None)

    async def _stream(self) -> AsyncIterator[bytes]:
        while (part := await self._parts.get()) is not None:
            yield part

    async def answered_through(self) -> Through:
        """Wait for the answer's end and return how it came."""
        return await self._through

    def end_answer(self, through: Through) -> None:
        """Tell how the answer to the entry ended."""
        if not self._through.done():
            self._through.set_result(through)

    def conclude(self, final: Conclusion) -> None:
        """Set the final answer, once."""
        if not self.final.done():
            self.final.set_result(final)


async def send_answer(request: HandedOver, answered: Answered, load: wire.Load) -> None:
    """Send an answer to the entry; raise if the target breaks it off.

    A short answer is one frame. Of a longer one only the last frame makes it whole:
    an entry that misses it never passes the rest off as all of it.
    """
    answer, link, name = answered.answer, request.link, request.head.request
    head = wire.AnswerHead(request=name, status=answer.status)
    head.outcome = "" if answered.outcome is None else answered.outcome.value
    head.headers.extend(
        wire.Header(name=header, value=text) for header, text in answer.headers
    )
    head.body = answer.first
    head.whole = answer.rest is None
    head.load.CopyFrom(load)
    await link.send(wire.AnswerFrame(head=head))
    if answer.rest is None:
        return
    async for part in answer.rest.content.iter_chunked(CHUNK_BYTES):
        await link.send(wire.AnswerFrame(chunk=part))
    await link.send(wire.AnswerFrame(end=wire.AnswerEnd(request=name)))


async def send_refusal(request: HandedOver, given_up: GivenUp, now_ms: float) -> None:
    """Send the final word on a request without an answer."""
    refusal = wire.Refusal(
        request=request.head.request,
        outcome=given_up.outcome.value,
        reason=given_up.reason,
        retry_after_ms=max(0.0, given_up.retry_at_ms - now_ms),
    )
    await request.link.send(wire.AnswerFrame(refusal=refusal))


async def first_frame(link: HomeLink) -> wire.RequestHead:
    """Return the head that opens a hand-over; raise ``PeerError`` for others."""
    frame = await link.receive()
    if frame.WhichOneof("frame") != "head":
        raise PeerError("a hand-over must begin with its head")
    return frame.head
