"""Exchange datagrams that are lost, duplicated or late."""

import asyncio
import random
import socket
from dataclasses import fields

import pytest

from crocusspindle.core.configuration import LOWEST_PRIORITY
from crocusspindle.gateway.exchange import BUSY, REQUEST, RESPONSE, Exchange
from crocusspindle.gateway.messages import (
    Done,
    Hello,
    NotMineAnswer,
    Ping,
    PlaceAsk,
    SpendAnswer,
    SpendAsk,
    decode_datagram,
    encode_datagram,
    pack,
    unpack,
)
from crocusspindle.metrics import Metrics
from crocusspindle_standins.processes import free_ports
from tests.gateway.test_closings_after_pauses import (
    PAUSE_S,
    READ_BYTES,
    pause_around,
    run,
)


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


@pytest.mark.parametrize("is_busy", [False, True], ids=["response", "busy"])
def test_what_arrived_in_a_pause_is_received(is_busy):
    """Guards against a busy node that takes a peer for silent which has responded."""
    silent_s = 0.8 * PAUSE_S

    async def scenario():
        client = LossyExchange(("127.0.0.1", free_ports(1)[0]))
        await client.start()
        request, expected = SpendAsk("club", 10.0), SpendAnswer(1.0)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
            peer.bind(("127.0.0.1", 0))
            asking = asyncio.create_task(
                client.request(peer.getsockname(), request, silent_s, 5.0)
            )
            number = 0

            def respond() -> None:
                nonlocal number
                data, sender = peer.recvfrom(READ_BYTES)
                number = decode_datagram(data)[1]
                frame = [BUSY, number] if is_busy else response()
                peer.sendto(encode_datagram(frame), sender)

            def response() -> list:
                return [RESPONSE, number, *pack(expected)]

            await pause_around(0.0, respond)
            if is_busy:
                peer.sendto(encode_datagram(response()), client._address)
            received = await asking
        await client.stop()
        return received == expected

    assert run(scenario())


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


PREVIOUS_FIELDS = {Ping: 4, SpendAsk: 2, SpendAnswer: 1, PlaceAsk: 13}
"""Number of fields in version 1f26318, which drops messages with more."""


class PreviousVersion(asyncio.DatagramProtocol):
    """Exchange messages as version 1f26318 does."""

    def __init__(self, response=None):
        self.response = response
        self.received = asyncio.Queue()

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        frame_type, number, *parts = decode_datagram(data)
        if frame_type not in (REQUEST, RESPONSE):
            return
        content = unpack(parts)
        if len(parts) - 1 > PREVIOUS_FIELDS[type(content)]:
            return
        self.received.put_nowait(content)
        if frame_type == REQUEST:
            self.send(addr, RESPONSE, number, self.response)

    def send(self, to, frame_type, number, content):
        """Send a message with all fields that the version knows."""
        names = [f.name for f in fields(content)][: PREVIOUS_FIELDS[type(content)]]
        parts = [pack(content)[0], *(getattr(content, name) for name in names)]
        self.transport.sendto(encode_datagram([frame_type, number, *parts]), to)


@pytest.fixture
async def previous():
    loop, (port,) = asyncio.get_running_loop(), free_ports(1)
    transport, protocol = await loop.create_datagram_endpoint(
        PreviousVersion, ("127.0.0.1", port)
    )
    protocol.address = ("127.0.0.1", port)
    yield protocol
    transport.close()


PLACE_FIELDS = ("s", "r", True, 1, 800, 900, 0, False, False, False, "c", [], [])


@pytest.mark.parametrize(
    "asked",
    [
        Ping("0000", (1, 2, 3, 4, 5), True, False, 3, 9),
        SpendAsk("club", 10.0, 2),
        PlaceAsk(*PLACE_FIELDS, "club"),
    ],
)
async def test_previous_version_understands_requests(pair, previous, asked):
    """Guards against a rolling upgrade in which nodes that remain seem silent.

    No host would get the fleet's state from them, or a token or target.
    """
    previous.response = SpendAnswer(0.0)
    for _ in range(2):
        response = await pair[0].request(previous.address, asked, 0.1, 0.1)
        assert response == SpendAnswer(0.0)
        assert type(previous.received.get_nowait()) is type(asked)


async def test_previous_version_understands_responses(pair, previous):
    """Guards against tokens that are spent for a node that can't read the answer."""

    async def spend(message, sender):
        return SpendAnswer(0.0, 77)

    pair[0].handle(SpendAsk, spend)
    previous.send(address(pair[0]), REQUEST, 5, SpendAsk("club", 10.0))
    async with asyncio.timeout(1):
        assert await previous.received.get() == SpendAnswer(0.0)


async def test_appended_fields_reach_a_peer_that_has_shown_its_version(pair):
    """Guards against fields that are left out although both nodes know them."""
    client, server = pair
    seen = []

    async def spend(message, sender):
        seen.append(message.priority)
        return SpendAnswer(0.0, 77)

    server.handle(SpendAsk, spend)
    for _ in range(2):
        response = await client.request(
            address(server), SpendAsk("club", 10.0, 2), 0.5, 0.5
        )
        assert response == SpendAnswer(0.0, 77)
    assert seen == [LOWEST_PRIORITY, 2]


async def test_peer_that_goes_back_to_the_previous_version_is_understood(
    pair, previous
):
    """Guards against a peer that stays silent after its version was taken back."""
    previous.response = SpendAnswer(0.0)
    pair[0]._current_peers[previous.address] = None
    asked = SpendAsk("club", 10.0, 2)
    assert await pair[0].request(previous.address, asked, 0.1, 0.1) is None
    response = await pair[0].request(previous.address, asked, 0.1, 0.1)
    assert response == SpendAnswer(0.0)
