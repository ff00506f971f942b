"""Exchange datagrams that are lost, duplicated or late."""

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
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.metrics import Metrics
from crocusspindle_standins.processes import free_ports


class LossyExchange(Exchange):
    """Drop the sent datagrams with the given indices."""

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
    made = [LossyExchange(("127.0.0.1", port)) for port in free_ports(2)]
    for exchange in made:
        await exchange.start()
    yield made
    for exchange in made:
        await exchange.stop()
        await exchange.cancel_tasks()


def address(exchange):
    return exchange._address


async def test_lost_request_and_response_are_sent_again(pair):
    """The first request between two hosts is lost, and so is the first response."""
    client, server = pair
    client._lost, server._lost = {0}, {0}
    handled = []

    async def spend(message, sender):
        handled.append(message)
        return SpendAnswer(1.0)

    server.handle(SpendAsk, spend)
    response = await client.request(address(server), SpendAsk("club", 10.0), 0.5, 0.5)
    assert response == SpendAnswer(1.0)
    assert len(handled) == 1


async def test_resent_request_spends_one_token(pair):
    """A response is slow, and the request is sent again meanwhile.

    Handled twice, it would spend two of its customer's tokens.
    """
    client, server = pair
    handled = []

    async def spend(message, sender):
        handled.append(sender)
        await asyncio.sleep(0.15)
        return SpendAnswer(0.0)

    server.handle(SpendAsk, spend)
    response = await client.request(address(server), SpendAsk("club", 10.0), 0.09, 1.0)
    assert response == SpendAnswer(0.0)
    assert handled == [address(client)]
    assert client.sent > 1


async def test_request_to_a_silent_peer_times_out(pair):
    client, _ = pair
    loop = asyncio.get_running_loop()
    began = loop.time()
    closed_port = ("127.0.0.1", free_ports(1)[0])
    assert await client.request(closed_port, SpendAsk("club", 10.0), 0.09, 5.0) is None
    assert loop.time() - began < 0.5


async def test_response_to_an_abandoned_request_goes_to_the_late_handler(pair):
    """A caller disconnects during a request; the response may hold a slot."""
    client, server = pair
    late = []
    client.handle_late_response(
        SpendAnswer, lambda content, sender: late.append(sender)
    )

    async def spend(message, sender):
        await asyncio.sleep(0.05)
        return SpendAnswer(0.0)

    server.handle(SpendAsk, spend)
    task = asyncio.create_task(
        client.request(address(server), SpendAsk("club", 10.0), 1.0, 1.0)
    )
    await asyncio.sleep(0.01)
    task.cancel()
    await asyncio.sleep(0.15)
    assert late == [address(server)]


async def test_malformed_datagrams_are_ignored(pair):
    """Other software sends to the port; the node must not stop over it."""
    client, server = pair
    for data in (
        b"",
        b"\xc1",
        encode_datagram([9]),
        encode_datagram([0, 1, 99]),
        encode_datagram([0, 1, 9]),
    ):
        client._send(address(server), data, None)

    async def spend(message, sender):
        return NotMineAnswer()

    server.handle(SpendAsk, spend)
    response = await client.request(address(server), SpendAsk("club", 10.0), 0.5, 0.5)
    assert response == NotMineAnswer()


def test_messages_survive_packing():
    for content in (Done(), SpendAsk("club", 1.5)):
        assert unpack(decode_datagram(encode_datagram(pack(content)))) == content


async def test_large_response_is_not_sent_again_while_it_may_be_in_flight(pair):
    """A full list queues on a narrow link, and its request is sent again meanwhile.

    If each copy of the request got the list again, copies would saturate the link, and
    the whole fleet would count the host as gone.
    """
    client, server = pair
    server._lost = set(range(50))

    async def respond(message, sender):
        return Hello(("x" * 5_000,))

    server.handle(SpendAsk, respond)
    await client.request(address(server), SpendAsk("club", 10.0), 0.2, 0.3)
    lengths = server.lengths
    assert len(lengths) > 1
    assert sum(length > 5_000 for length in lengths) == 1
