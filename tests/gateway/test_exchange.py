"""Exchange datagrams that get lost, come twice or come late."""

import asyncio
import random

import pytest

from crocusspindle.gateway.exchange import Exchange
from crocusspindle.gateway.messages import (
    Done,
    Hello,
    NotMineAnswer,
    SpendAnswer,
    SpendAsk,
    pack,
    packed,
    unpack,
    unpacked,
)
from crocusspindle.metrics import Metrics
from crocusspindle_standins.processes import free_ports


class Lossy(Exchange):
    """Lose the datagrams whose numbers are named, counted from 0."""

    def __init__(self, address, lost=()):
        super().__init__(address, random.Random(1), Metrics("n1", "a"))
        self.sent = 0
        self._lost = set(lost)
        self.lengths = []

    def _send(self, to, data, kind):
        self.sent += 1
        self.lengths.append(len(data))
        if self.sent - 1 not in self._lost:
            super()._send(to, data, kind)


@pytest.fixture
async def pair():
    made = [Lossy(("127.0.0.1", port)) for port in free_ports(2)]
    for exchange in made:
        await exchange.start()
    yield made
    for exchange in made:
        await exchange.stop()
        await exchange.cancel_tasks()


def address(exchange):
    return exchange._address


async def test_a_lost_ask_is_sent_again(pair):
    """The first datagram between two hosts gets lost, and so does the answer."""
    asker, answerer = pair
    asker._lost, answerer._lost = {0}, {0}
    handled = []

    async def spend(ask, sender):
        handled.append(ask)
        return SpendAnswer(1.0)

    answerer.handle(SpendAsk, spend)
    answer = await asker.ask(address(answerer), SpendAsk("club", 10.0), 0.5, 0.5)
    assert answer == SpendAnswer(1.0)
    assert len(handled) == 1


async def test_a_token_is_taken_once_however_often_it_is_asked_for(pair):
    """An answer is slow, and the ask comes again meanwhile.

    Handled twice, it would take two tokens of its customer.
    """
    asker, answerer = pair
    handled = []

    async def spend(ask, sender):
        handled.append(sender)
        await asyncio.sleep(0.15)
        return SpendAnswer(0.0)

    answerer.handle(SpendAsk, spend)
    answer = await asker.ask(address(answerer), SpendAsk("club", 10.0), 0.09, 1.0)
    assert answer == SpendAnswer(0.0)
    assert handled == [address(asker)]
    assert asker.sent > 1


async def test_a_silent_peer_is_given_up_soon(pair):
    asker, _ = pair
    loop = asyncio.get_running_loop()
    began = loop.time()
    nobody = ("127.0.0.1", free_ports(1)[0])
    assert await asker.ask(nobody, SpendAsk("club", 10.0), 0.09, 5.0) is None
    assert loop.time() - began < 0.5


async def test_an_answer_that_nobody_waits_for_is_handed_on(pair):
    """A caller leaves while its ask is on its way; the answer may hold a slot."""
    asker, answerer = pair
    late = []
    asker.handle_late(SpendAnswer, lambda content, sender: late.append(sender))

    async def spend(ask, sender):
        await asyncio.sleep(0.05)
        return SpendAnswer(0.0)

    answerer.handle(SpendAsk, spend)
    task = asyncio.create_task(
        asker.ask(address(answerer), SpendAsk("club", 10.0), 1.0, 1.0)
    )
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.15)
    assert late == [address(answerer)]


async def test_nonsense_is_ignored(pair):
    """Something else sends to the port; the node must not end over it."""
    asker, answerer = pair
    for data in (b"", b"\xc1", packed([9]), packed([0, 1, 99]), packed([0, 1, 9])):
        asker._send(address(answerer), data, None)

    async def spend(ask, sender):
        return NotMineAnswer()

    answerer.handle(SpendAsk, spend)
    answer = await asker.ask(address(answerer), SpendAsk("club", 10.0), 0.5, 0.5)
    assert answer == NotMineAnswer()


def test_messages_survive_packing():
    for content in (Done(), SpendAsk("club", 1.5)):
        assert unpack(unpacked(packed(pack(content)))) == content


async def test_a_large_answer_is_not_sent_again_while_it_may_be_on_its_way(pair):
    """A whole list goes out over a narrow link behind others, and its ask comes again.

    With each copy of the ask the list went out once more. The link was full of copies
    for as long as anyone asked, and its host was taken for gone by the whole fleet.
    """
    asker, answerer = pair
    answerer._lost = set(range(50))

    async def tell(ask, sender):
        return Hello(("x" * 5_000,))

    answerer.handle(SpendAsk, tell)
    await asker.ask(address(answerer), SpendAsk("club", 10.0), 0.2, 0.3)
    lengths = answerer.lengths
    assert len(lengths) > 1
    assert sum(length > 5_000 for length in lengths) == 1
