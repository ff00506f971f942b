"""Carry hand-over frames between an entry and a coordinator, local or remote."""

import asyncio
from typing import Final, Generic, Protocol, TypeVar

from grpclib.client import Stream as ClientStream
from grpclib.server import Stream as ServerStream

from crocusspindle.errors import PeerError
from crocusspindle.wire import fleet_pb2 as wire

MAX_BUFFERED_FRAMES: Final = 4
"""Frames of up to 64 KB that are buffered in each direction within a process."""

Sent = TypeVar("Sent")
Received = TypeVar("Received")

FINAL_FRAMES: Final = ("end", "refusal")


class EntryLink(Protocol):
    """Hold the entry's end of one request."""

    async def send(self, frame: wire.HandOverFrame) -> None:
        """Send a frame to the coordinator."""

    async def receive(self) -> wire.AnswerFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""


class CoordinatorLink(Protocol):
    """Hold the coordinator's end of one request."""

    async def send(self, frame: wire.AnswerFrame) -> None:
        """Send a frame to the entry."""

    async def receive(self) -> wire.HandOverFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""


class RemoteEntryLink:
    """Link an entry to a coordinator on another node."""

    def __init__(
        self, stream: ClientStream[wire.HandOverFrame, wire.AnswerFrame]
    ) -> None:
        self._stream = stream
        self._sent = False
        self._complete = False

    async def send(self, frame: wire.HandOverFrame) -> None:
        """Send a frame to the coordinator."""
        await self._stream.send_message(frame)
        self._sent = True

    async def receive(self) -> wire.AnswerFrame:
        """Return the next frame; raise ``PeerError`` when there is none."""
        frame = await self._stream.recv_message()
        if frame is None:
            raise PeerError("the coordinator ended the stream")
        self._complete = frame.WhichOneof("frame") in FINAL_FRAMES or frame.head.whole
        return frame

    async def close(self) -> None:
        """End the stream, or cancel it while the coordinator is not finished."""
        if self._complete:
            await self._stream.end()
        elif self._sent:
            await self._stream.cancel()


class RemoteCoordinatorLink:
    """Link a coordinator to an entry on another node."""

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
        self, outgoing: asyncio.Queue[Sent], incoming: asyncio.Queue[Received]
    ) -> None:
        self._outgoing = outgoing
        self._incoming = incoming

    async def send(self, frame: Sent) -> None:
        """Send a frame to the other end; wait while the buffer is full."""
        await self._outgoing.put(frame)

    async def receive(self) -> Received:
        """Return the next frame; wait for it even if the other end has stopped."""
        return await self._incoming.get()


class LocalLink:
    """Link an entry and a coordinator of the same process."""

    def __init__(self) -> None:
        to_coordinator: asyncio.Queue[wire.HandOverFrame] = asyncio.Queue(
            MAX_BUFFERED_FRAMES
        )
        to_entry: asyncio.Queue[wire.AnswerFrame] = asyncio.Queue(MAX_BUFFERED_FRAMES)
        self.entry = LocalEnd(to_coordinator, to_entry)
        self.coordinator = LocalEnd(to_entry, to_coordinator)
