"""Hold one request that an entry handed over to this group coordinator."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, TypeAlias

from crocusspindle.core.decisions import Outcome, RefusalReason
from crocusspindle.errors import PeerError
from crocusspindle.ids import RequestId
from crocusspindle.services.links import MAX_BUFFERED_FRAMES, CoordinatorLink
from crocusspindle.services.targets import TargetResponse
from crocusspindle.wire import fleet_pb2 as wire

CHUNK_BYTES: Final = 65_536
CLAIM_WAIT_S: Final = 1.0
"""An entry grants a claim within a round trip of about 3 ms. One that needs a second
is isolated or paused, and the claim occupies a target's slot meanwhile."""


@dataclass(frozen=True)
class ResponseReceived:
    """Hold a target's response and the outcome reported to the caller."""

    response: TargetResponse
    outcome: Outcome | None
    """None means that the request ran."""


@dataclass(frozen=True)
class RequestFailure:
    """Hold the outcome of a request that has no target's response."""

    outcome: Outcome
    reason: str
    retry_at_ms: float


RequestResult: TypeAlias = ResponseReceived | RequestFailure


def refusal_reason(reason: RefusalReason) -> str:
    """Return the reason of a refusal as callers receive it."""
    return reason.value.replace("_", "-")


class ResponseTransfer(Enum):
    """Name how the transfer of a long response to the entry ended."""

    COMPLETE = "whole"
    TARGET_FAILED = "target broke"
    ENTRY_LOST = "entry gone"


@dataclass
class HandedOverRequest:
    """Hold one request, its body as it arrives and its final result."""

    number: RequestId
    head: wire.RequestHead
    link: CoordinatorLink
    deadline_ms: float
    final_result: asyncio.Future[RequestResult]
    granted: asyncio.Event = field(default_factory=asyncio.Event)
    claimed: bool = False
    withdrawn: bool = False
    _transfer: asyncio.Future[ResponseTransfer] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    _buffered_body: bytearray = field(default_factory=bytearray)
    _body_complete: asyncio.Event = field(default_factory=asyncio.Event)
    _body_chunks: asyncio.Queue[bytes | None] = field(
        default_factory=lambda: asyncio.Queue(MAX_BUFFERED_FRAMES)
    )

    @property
    def needs_claim(self) -> bool:
        """Return True if the entry must grant the first attempt."""
        return not self.head.idempotent or self.head.has_body

    @property
    def retryable(self) -> bool:
        """Return True if the request may have more than one attempt."""
        return self.head.idempotent and (self.head.body_whole or not self.head.has_body)

    async def read_frames(self) -> None:
        """Process frames until the entry withdraws.

        Raises ``PeerError`` if the entry is lost.
        """
        while True:
            frame = await self.link.receive()
            kind = frame.WhichOneof("frame")
            if kind == "chunk":
                await self._add_chunk(frame.chunk)
            elif kind == "body_end":
                await self._finish_body()
            elif kind == "grant":
                await self._apply_grant(frame.grant)
            elif kind == "withdraw":
                self.withdrawn = True
                return

    async def claim(self) -> bool:
        """Claim the request at the entry; return True once it is granted.

        An entry moves a request to another coordinator when this one is silent. A
        coordinator that resumes after a pause would send its copy too, and the
        operation would run twice. Only the entry knows where the request is, so the
        claim comes right before the attempt, and nothing is sent without a grant.
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
        """Return the body: as bytes if the entry has all of it, else as a stream."""
        if not self.head.has_body:
            return None
        if not self.head.body_whole:
            return self._stream_body()
        await self._body_complete.wait()
        return bytes(self._buffered_body)

    async def _apply_grant(self, grant: wire.Grant) -> None:
        if grant.body_whole:
            self._buffered_body += grant.body
            await self._finish_body()
        self.granted.set()

    async def _add_chunk(self, chunk: bytes) -> None:
        if self.head.body_whole:
            self._buffered_body += chunk
        else:
            await self._body_chunks.put(chunk)

    async def _finish_body(self) -> None:
        if self.head.body_whole:
            self._body_complete.set()
        else:
            await self._body_chunks.put(None)

    async def _stream_body(self) -> AsyncIterator[bytes]:
        while (chunk := await self._body_chunks.get()) is not None:
            yield chunk

    async def wait_transferred(self) -> ResponseTransfer:
        """Wait until the response's transfer ends, and return how."""
        return await self._transfer

    def end_transfer(self, transfer: ResponseTransfer) -> None:
        """Record how the transfer to the entry ended, once."""
        if not self._transfer.done():
            self._transfer.set_result(transfer)

    def conclude(self, final_result: RequestResult) -> None:
        """Set the final result, once."""
        if not self.final_result.done():
            self.final_result.set_result(final_result)


async def send_response(
    request: HandedOverRequest, received: ResponseReceived, load: wire.Load
) -> None:
    """Send a response to the entry; raise if the target ends it early.

    A short response is one frame. A longer one is complete only with its last frame:
    an entry that doesn't receive it never reports a truncated response as complete.
    """
    response, link, name = received.response, request.link, request.head.request
    head = wire.AnswerHead(request=name, status=response.status)
    head.outcome = "" if received.outcome is None else received.outcome.value
    head.headers.extend(
        wire.Header(name=header, value=text) for header, text in response.headers
    )
    head.body = response.body_start
    head.whole = response.open_response is None
    head.load.CopyFrom(load)
    await link.send(wire.AnswerFrame(head=head))
    if response.open_response is None:
        return
    async for chunk in response.open_response.content.iter_chunked(CHUNK_BYTES):
        await link.send(wire.AnswerFrame(chunk=chunk))
    await link.send(wire.AnswerFrame(end=wire.AnswerEnd(request=name)))


async def send_refusal(
    request: HandedOverRequest, failure: RequestFailure, now_ms: float
) -> None:
    """Send the failure of a request that has no response."""
    refusal = wire.Refusal(
        request=request.head.request,
        outcome=failure.outcome.value,
        reason=failure.reason,
        retry_after_ms=max(0.0, failure.retry_at_ms - now_ms),
    )
    await request.link.send(wire.AnswerFrame(refusal=refusal))


async def receive_head(link: CoordinatorLink) -> wire.RequestHead:
    """Return a hand-over's first frame; raise ``PeerError`` if it is not a head."""
    frame = await link.receive()
    if frame.WhichOneof("frame") != "head":
        raise PeerError("a hand-over must begin with its head")
    return frame.head
