"""Carry hand-over frames between an entry and a home, near or far."""

import asyncio
from typing import Final, Generic, Protocol, TypeVar

from grpclib.client import Stream as ClientStream
from grpclib.server import Stream as ServerStream

from crocusspindle.errors import PeerError
from crocusspindle.wire import fleet_pb2 as wire

FRAMES_UNDER_WAY: Final = 4
"""Frames of up to 64 KB that one side may be ahead within a process."""

Sent = TypeVar("Sent")
Received = TypeVar("Received")

LAST_FRAMES: Final = ("end", "refusal")


class EntryLink(Protocol):
    """Hold the entry's end of one request."""

    async def send(self, frame: wire.HandOverFrame) -> None:
        """Send a frame to the home."""

    async def receive(self) -> wire.AnswerFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""


class HomeLink(Protocol):
    """Hold the home's end of one request."""

    async def send(self, frame: wire.AnswerFrame) -> None:
        """Send a frame to the entry."""

    async def receive(self) -> wire.HandOverFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""


class RemoteEntryLink:
    """Reach a home on another node."""

    def __init__(
        self, stream: ClientStream[wire.HandOverFrame, wire.AnswerFrame]
    ) -> None:
        self._stream = stream
        self._sent = False
        self._whole = False

    async def send(self, frame: wire.HandOverFrame) -> None:
        """Send a frame to the home."""
        await self._stream.send_message(frame)
        self._sent = True

    async def receive(self) -> wire.AnswerFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""
        frame = await self._stream.recv_message()
        if frame is None:
            raise PeerError("the home ended the stream")
        self._whole = frame.WhichOneof("frame") in LAST_FRAMES or frame.head.whole
        return frame

    async def close(self) -> None:
        """End the stream, or cancel it while the home still works on it."""
        if self._whole:
            await self._stream.end()
        elif self._sent:
            await self._stream.cancel()


class RemoteHomeLink:
    """Reach the entry on another node."""

    def __init__(
        self, stream: ServerStream[wire.HandOverFrame, wire.AnswerFrame]
    ) -> None:
        self._stream = stream

    async def send(self, frame: wire.AnswerFrame) -> None:
        """Send a frame to the entry."""
        await self._stream.send_message(frame)

    async def receive(self) -> wire.HandOverFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""
        frame = await self._stream.recv_message()
        if frame is None:
            raise PeerError("the entry ended the stream")
        return frame


class LocalEnd(Generic[Sent, Received]):
    """Hold one end of a link within one process."""

    def __init__(
        self, sending: asyncio.Queue[Sent], receiving: asyncio.Queue[Received]
    ) -> None:
        self._sending = sending
        self._receiving = receiving

    async def send(self, frame: Sent) -> None:
        """Send a frame to the other end, once it is not too far behind."""
        await self._sending.put(frame)

    async def receive(self) -> Received:
        """Return the next frame."""
        return await self._receiving.get()


class LocalLink:
    """Join an entry and a home of the same process."""

    def __init__(self) -> None:
        to_home: asyncio.Queue[wire.HandOverFrame] = asyncio.Queue(FRAMES_UNDER_WAY)
        to_entry: asyncio.Queue[wire.AnswerFrame] = asyncio.Queue(FRAMES_UNDER_WAY)
        self.entry = LocalEnd(to_home, to_entry)
        self.home = LocalEnd(to_entry, to_home)
