"""Send broken responses to what reads them for the command `node`."""

import json

import pytest
import uvloop
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.decisions import AttemptEnd
from crocusspindle.errors import (
    PeerError,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from crocusspindle.exit_codes import ExitCode
from crocusspindle.ids import CustomerId, TargetId
from crocusspindle.operator_client import CommandError, Endpoint, call
from crocusspindle.platform.fleet_platform import Table
from crocusspindle.platform.http import HttpPlatform
from crocusspindle.platform.table_store import TableStore
from crocusspindle.services.hand_over import _response_from
from crocusspindle.services.targets import TargetClient, TargetRequest
from crocusspindle.wire import fleet_pb2 as wire
from crocusspindle_standins.raw_server import RawServer
from tests.gateway.test_broken_responses import (
    BROKEN,
    CHUNKED,
    CHUNKS,
    LENGTH,
    response,
    upload,
)

DEADLINE_MS = 5_000.0
PART = b"a first part"
RECORD = json.dumps({"number": 7}).encode()
STATUS_ZERO = response(b"Content-Length: %d\r\n" % len(RECORD), RECORD, b"000")


def end_of(sent, body=None, **server_options):
    """Return how an attempt ended, and the start of its response if it has one."""

    async def exchange():
        client = TargetClient()
        await client.start()
        request = TargetRequest(
            "r1",
            CustomerId("club"),
            "GET" if body is None else "POST",
            "/p",
            CIMultiDict(),
            now_ms() + DEADLINE_MS,
            body,
        )
        async with RawServer(sent, **server_options) as server:
            result = await client.send(TargetId(server.address), request)
        await client.stop()
        passed_on = result.target_response
        return result.end, passed_on and passed_on.body_start

    return uvloop.run(exchange())


@pytest.mark.parametrize("kind", BROKEN)
def test_a_node_passes_on_no_broken_response(kind):
    """Guards against a caller that takes the response of a target in trouble."""
    assert end_of(BROKEN[kind]) == (AttemptEnd.FAILED, None)


@pytest.mark.parametrize(
    ("fields", "body"), [(LENGTH, b"whole"), (CHUNKED, CHUNKS), (b"", b"whole")]
)
def test_a_node_passes_on_a_sound_response(fields, body):
    expected = (AttemptEnd.ANSWERED, b"whole")
    assert end_of(response(fields, body)) == expected


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("body", [None, bytes(4_000_000), "upload"])
def test_a_node_takes_no_part_before_a_reset_for_a_whole_body(pause_s, body):
    """Guards against a reset that looks like the end of a body without a length."""
    body = upload() if body == "upload" else body
    sent = response(b"", PART)
    end, _ = end_of(sent, body, resets=True, pause_s=pause_s)
    assert end is AttemptEnd.FAILED


@pytest.mark.parametrize("status", [0, 101, 600])
def test_a_status_that_no_response_has_is_not_taken_from_a_peer(status):
    """Guards against a node of an earlier version that passes it on."""
    head = wire.AnswerHead(request="r1", status=status)
    request = TargetRequest("r1", CustomerId("c"), "GET", "/", CIMultiDict(), 0.0)
    with pytest.raises(PeerError):
        _response_from(head, None, request)


async def test_an_object_that_ends_with_a_reset_is_not_read():
    """Guards against a part of a stored object that is taken for all of it."""
    async with RawServer(response(b"", PART), resets=True) as server:
        platform = HttpPlatform(f"http://{server.address}")
        with pytest.raises(PlatformUnavailableError):
            await platform.get_object("directory", now_ms() + DEADLINE_MS)
        await platform.close()


async def test_a_connection_of_the_platform_is_used_again():
    """Guards against bounds of one response that count those before it."""
    body = bytes(70_000)
    sent = response(b"Content-Length: %d\r\n" % len(body), body)
    async with RawServer(sent, keeps_open=True) as server:
        platform = HttpPlatform(f"http://{server.address}")
        for _ in range(8):
            assert await platform.get_object("o", now_ms() + DEADLINE_MS) == body
        server.response = BROKEN["name"]
        with pytest.raises(PlatformUnavailableError):
            await platform.get_object("o", now_ms() + DEADLINE_MS)
        await platform.close()
    assert server.connections == 1


async def test_a_write_whose_response_has_no_status_may_have_been_done():
    """Guards against a write that is repeated, though the store may have done it."""
    async with RawServer(STATUS_ZERO) as server:
        store = TableStore(server.address)
        with pytest.raises(PlatformUnknownError):
            await store.put("nodes", b"{}", None)
        with pytest.raises(PlatformUnavailableError):
            await store.read(Table.TARGETS)
        await store.close()


async def test_a_command_takes_no_broken_response_for_success():
    """Guards against an operator who is told that a call has been done."""
    async with RawServer(STATUS_ZERO) as server:
        endpoint = Endpoint(f"http://{server.address}", "key")
        with pytest.raises(CommandError) as raised:
            await call(endpoint, "POST", "/v1/tickets", b"{}")
    assert raised.value.code is ExitCode.UNKNOWN
