"""Tests of connecting to peers and disconnecting from them."""

import asyncio

from grpclib.exceptions import StreamTerminatedError

from crocusspindle.core.members import ViewMember
from crocusspindle.ids import DomainId, MemberId
from crocusspindle.services.peers import Peers
from crocusspindle.settings_schema import TimingSettings


class PeersWithFailingCancellation(Peers):
    """Run until cancelled, then raise the error of a call on a closed connection."""

    streams_opened = 0

    async def _run_heartbeat_stream(self, peer):
        self.streams_opened += 1
        assert self.streams_opened <= 3, (
            "the heartbeat loop continued after its cancellation"
        )
        try:
            await asyncio.sleep(3_600)
        except asyncio.CancelledError:
            raise StreamTerminatedError("connection closed") from None


async def test_heartbeats_to_a_removed_peer_stop():
    """A member leaves, or this node does, during a heartbeat.

    The call raises the library's error instead of the cancellation. If the loop treated
    it as a failure of the peer, it would start the next round: the node would exceed
    the time limit of its stop, and its operator would see a failed exit.
    """
    peers = PeersWithFailingCancellation(
        MemberId("a@1"), "proof", TimingSettings(heartbeat_ms=1), None
    )
    member = ViewMember(
        MemberId("b@1"), DomainId("x"), "r", "127.0.0.1:1", "127.0.0.1:2", 0
    )
    peers.follow([member])
    await asyncio.sleep(0.01)
    assert peers.streams_opened == 1
    peers.follow(())
    async with asyncio.timeout(1):
        await peers.cancel_tasks()
    await asyncio.sleep(0.05)
    assert peers.streams_opened == 1
