"""Push what changed to those who ask, and nothing else."""

import random
from types import SimpleNamespace

import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.byte_rate_limiter import ByteRateLimiter
from crocusspindle.core.reader_choice import READER_ROLE, ReaderChoice
from crocusspindle.core.rendezvous import order
from crocusspindle.core.view import View
from crocusspindle.gateway.knowledge import Held
from crocusspindle.gateway.membership import Membership
from crocusspindle.gateway.view_keeper import SETTLE_MS
from tests.gateway.test_knowledge import informed, seat, sent, state_for


class Told:
    """Take down what is told, in place of the exchange."""

    def __init__(self):
        self.messages = []

    def tell(self, to, content):
        self.messages.append(content)


def membership_of(node, exchange, knowledge, reading) -> Membership:
    choice, pace = ReaderChoice(node.host, random.Random(1)), ByteRateLimiter(1e6)
    draw = random.Random(1)
    return Membership(node, exchange, knowledge, reading, set, choice, pace, draw)


def test_a_reader_that_could_not_take_an_update_pushes_nothing_for_it():
    """Two readers at once push to each other, and an update does not fit one of them.

    If that made it push again, the other one's answer would come as fast as the network
    carries it: seven times the worth of all requests went into bytes between failure
    domains within ten seconds.
    """
    reader, other, told = informed(), informed(), Told()
    node, peer = seat(0).node, seat(1).node
    reading = SimpleNamespace(active=True, lost=False)
    membership = membership_of(node, told, reader, reading)
    membership._meet(peer)
    membership._pinged_ms[peer.host] = now_ms()
    membership._push()
    assert len(told.messages) == 1
    for number in (4, 5):
        other.take_view(View(number, tuple(seat(n) for n in range(3))), now_ms())
    update = sent(
        other.state_for(
            Held(-1, other.targets_digest, 4, other.open_digest, other.crash_digest)
        )
    )
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
    membership = membership_of(seat(0).node, told, reader, reading)
    reader.listen(membership._push)
    membership._meet(seat(1).node)
    membership._pinged_ms[seat(1).node.host] = now_ms()
    membership._push()
    other.take_open_nodes([("127.0.0.1:81", "a")])
    await membership._state(state_for(other, reader), ("127.0.0.1", 7340))
    assert reader.open_nodes == [("127.0.0.1:81", "a")]
    assert len(told.messages) == 1


@pytest.mark.parametrize("fenced_rank", [0, 1, 2])
async def test_a_host_that_was_put_out_and_came_back_is_named_again(fenced_rank):
    """A host leaves, and before it is back the whole fleet loses power and starts anew.

    The view has put it out. If it ranks first among the readers, the others must not
    wait for it to write the view: nobody asks it, so it never would, and the customers
    of all hosts that the view names under their former processes have no keeper.
    """
    ranked = order(READER_ROLE, [seat(n).node.host for n in range(3)])
    numbers = {seat(n).node.host: n for n in range(3)}
    back = numbers[ranked[fenced_rank]]
    rest = [numbers[host] for host in ranked if numbers[host] != back]
    written = []

    async def write_view(view):
        written.append(view)
        return True

    knowledge = informed()
    view = View(9, tuple(seat(n) for n in rest), (seat(back),))
    knowledge.take_view(view, now_ms())
    reading = SimpleNamespace(
        active=True,
        lost=False,
        since_ms=now_ms() - 2 * SETTLE_MS,
        nodes={},
        row_versions={},
        view_row_version=0,
        write_view=write_view,
    )
    writer = seat(rest[0]).node
    membership = membership_of(writer, Told(), knowledge, reading)
    for number in (back, rest[1]):
        membership._meet(seat(number).node)
        membership._pinged_ms[seat(number).node.host] = now_ms()
    await membership._views.renew(membership._present())
    (newest,) = written
    assert {s.node.host for s in newest.entries} == set(ranked)
