"""Push what changed to those who ask, and nothing else."""

from types import SimpleNamespace

from crocusspindle.clock import now_ms
from crocusspindle.core.view import View
from crocusspindle.gateway.knowledge import Held
from crocusspindle.gateway.membership import Membership
from tests.gateway.test_knowledge import informed, seat, sent, state_for


class Told:
    """Take down what is told, in place of the exchange."""

    def __init__(self):
        self.messages = []

    def tell(self, to, content):
        self.messages.append(content)


def test_a_reader_that_could_not_take_an_update_pushes_nothing_for_it():
    """Two readers at once push to each other, and an update does not fit one of them.

    If that made it push again, the other one's answer would come as fast as the network
    carries it: seven times the worth of all requests went into bytes between failure
    domains within ten seconds.
    """
    reader, other, told = informed(), informed(), Told()
    node, peer = seat(0).node, seat(1).node
    reading = SimpleNamespace(active=True, lost=False)
    membership = Membership(node, told, reader, reading, set)
    membership._meet(peer)
    membership._pinged_ms[peer.host] = now_ms()
    membership._push()
    assert len(told.messages) == 1
    for number in (4, 5):
        other.take_view(View(number, tuple(seat(n) for n in range(3))), now_ms())
    update = sent(other.state_for(Held(-1, other.targets_digest, 4, other.open_digest)))
    assert not reader.take_state(update, now_ms())
    membership._push()
    assert len(told.messages) == 1
    assert reader.take_state(state_for(other, reader), now_ms())
    membership._push()
    assert len(told.messages) == 2


async def test_what_was_pushed_to_a_reader_is_not_pushed_on():
    """Two readers at once have different lists, and push them to each other.

    Each takes the other's. If that counted as news they would swap for ever: 280,000
    datagrams between failure domains in five seconds.
    """
    reader, other, told = informed(), informed(), Told()
    reading = SimpleNamespace(active=True, lost=False)
    membership = Membership(seat(0).node, told, reader, reading, set)
    reader.listen(membership._push)
    membership._meet(seat(1).node)
    membership._pinged_ms[seat(1).node.host] = now_ms()
    membership._push()
    other.take_open_nodes([("127.0.0.1:81", "a")])
    await membership._state(state_for(other, reader), ("127.0.0.1", 7340))
    assert reader.open_nodes == [("127.0.0.1:81", "a")]
    assert len(told.messages) == 1
