"""Follow peers, and stop to."""

import asyncio

from grpclib.exceptions import StreamTerminatedError

from crocusspindle.core.members import ViewMember
from crocusspindle.ids import DomainId, MemberId
from crocusspindle.services.peers import Peers
from crocusspindle.settings_schema import TimingSettings


class StubbornPeers(Peers):
    """Beat until cancelled, and then fail as a call on a closed connection does."""

    beating = 0

    async def _beat_on_one_connection(self, peer):
        self.beating += 1
        assert self.beating <= 3, "the loop goes on after it was cancelled"
        try:
            await asyncio.sleep(3_600)
        except asyncio.CancelledError:
            raise StreamTerminatedError("connection closed") from None


async def test_a_peer_that_left_is_beaten_to_no_more():
    """A member leaves, or this node does, while a heartbeat is under way.

    The call ends with the library's error instead of the cancellation. Taken for one
    more failure of the peer, it would start the next round: the node would not end
    within the time for its stop, and its operator would see a failed exit.
    """
    peers = StubbornPeers(
        MemberId("a@1"), "proof", TimingSettings(heartbeat_ms=1), None
    )
    member = ViewMember(
        MemberId("b@1"), DomainId("x"), "r", "127.0.0.1:1", "127.0.0.1:2", 0
    )
    peers.follow([member])
    await asyncio.sleep(0.01)
    assert peers.beating == 1
    peers.follow(())
    async with asyncio.timeout(1):
        await peers.cancel_tasks()
    await asyncio.sleep(0.05)
    assert peers.beating == 1
