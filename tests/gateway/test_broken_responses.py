"""Send responses that are none in the protocol to the client for targets."""

import asyncio

import pytest
import uvloop
from multidict import CIMultiDict

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.gateway.target_client import OutgoingRequest, TargetClient
from crocusspindle.ids import DomainId, ServiceId
from crocusspindle.platform.dialect import dialect
from crocusspindle.response_bounds import SLICE_BYTES
from crocusspindle_standins.on_platform.fleet import HOST, KEY, Fleet
from crocusspindle_standins.raw_server import RawServer

DEADLINE_MS = 5_000.0
BODY = b"whole"
CHUNKS = b"5\r\nwhole\r\n0\r\n\r\n"
LENGTH = b"Content-Length: 5\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UPLOAD_PART = bytes(20_000)


def response(
    fields: bytes = LENGTH,
    body: bytes = BODY,
    status: bytes = b"200",
    version: bytes = b"HTTP/1.1",
) -> bytes:
    """Return a response to the request of the tests, with a target's stamp."""
    start = version + b" " + status + b" Reason\r\n"
    own = b"X-Request-Id: r1\r\nX-Server-Stamp: s\r\n"
    return start + own + fields + b"\r\n" + body


async def upload():
    """Yield a body that takes long to send."""
    for _ in range(100):
        yield UPLOAD_PART
        await asyncio.sleep(0.001)


def outcome_of(sent, method="GET", body=None, **server_options):
    """Return the outcome of a request, its status and its body if that is whole."""

    async def exchange():
        client = TargetClient(dialect())
        await client.start()
        async with RawServer(sent, **server_options) as server:
            target = ListedTarget(
                TargetIdentity("t0"),
                ServiceId("s"),
                server.address,
                DomainId("a"),
                2,
                Readiness.READY,
            )
            headers = CIMultiDict({"X-Request-Id": "r1"})
            outgoing = OutgoingRequest("r1", method, "/p", headers, body)
            result = await client.send(target, outgoing, now_ms() + DEADLINE_MS)
        await client.stop()
        if result.target_response is None:
            return result.outcome, None, None
        content = result.target_response.content
        whole = result.target_response.body if content.is_complete else None
        return result.outcome, result.target_response.status, whole

    return uvloop.run(exchange())


def assert_broken(sent):
    """Check that no caller gets any of a response."""
    assert outcome_of(sent) == (AttemptOutcome.BROKEN, None, None)


@pytest.mark.parametrize("status", [b"000", b"001", b"099", b"101", b"600", b"999"])
def test_a_status_that_no_response_has_is_not_passed_on(status):
    """Guards against a caller that gets a status outside of 200 to 599."""
    assert_broken(response(status=status))


@pytest.mark.parametrize(
    "version", [b"HTTP/0.9", b"HTTP/2.0", b"RTSP/1.0", b"ICE/1.0", b"ICY", b"HTTP/1.11"]
)
def test_a_version_that_was_not_asked_for_is_not_passed_on(version):
    """Guards against a response in a syntax that this client does not read."""
    assert_broken(response(version=version))


def test_an_interim_response_has_a_valid_status():
    """Guards against a status of 000 that ends a request before its response."""
    assert_broken(b"HTTP/1.1 000 Reason\r\n\r\n" + response())


@pytest.mark.parametrize(
    "name",
    [
        b"Transfer-Encoding ",
        b"Transfer-Encoding\t",
        b"Content-Length ",
        b"Connection ",
        b"Upgrade ",
        b"A ",
        b"A b",
        b"A\tb",
        b" A",
        b"\tA",
        b" Transfer-Encoding",
        b"Transfer-Encoding\x01",
        b"A\x00b",
        b"A\x01",
        b"A\x0b",
        b"A\x1b",
        b"A\x7f",
        b"A\rb",
        b"A\xff",
        b"A(b",
        b"",
    ],
)
@pytest.mark.parametrize("is_first", [False, True])
def test_a_field_whose_name_is_no_token_is_not_passed_on(name, is_first):
    """Guards against lines that caller and gateway read as different fields."""
    field = name + b": chunked\r\n"
    sent = response(field, CHUNKS)
    if is_first:
        sent = response(b"", CHUNKS).replace(b"X-Request", field + b"X-Request")
    assert_broken(sent)
    assert_broken(b"HTTP/1.1 103 Early Hints\r\n" + field + b"\r\n" + response())


def test_a_field_that_goes_on_in_the_next_line_is_not_passed_on():
    """Guards against lines that are taken for a part of the stamp before them."""
    assert_broken(response(b"A: b\r\n c\r\n" + LENGTH))
    assert_broken(response(b"Content-Length:\r\n 5\r\n"))
    for size in range(SLICE_BYTES - 80, SLICE_BYTES):
        # The end of what is parsed at once falls into the line's end.
        assert_broken(response(b"A: " + b"x" * size + b"\r\n y\r\n" + LENGTH))


@pytest.mark.parametrize(
    "codings",
    [
        b"gzip, chunked",
        b"chunked, gzip",
        b"gzip",
        b"xchunked",
        b"identity",
        b"chunked, chunked",
        b"chunked\r\nTransfer-Encoding: chunked",
        b"chunked, identity",
        b"\x0bchunked",
        b"",
    ],
)
def test_a_transfer_coding_that_was_not_asked_for_is_not_passed_on(codings):
    """Guards against coded or framed bytes that a caller takes for the body."""
    assert_broken(response(b"Transfer-Encoding: " + codings + b"\r\n", CHUNKS))


def test_a_version_without_transfer_codings_has_none():
    """Guards against chunks of a target that does not know them."""
    assert_broken(response(CHUNKED, CHUNKS, version=b"HTTP/1.0"))


@pytest.mark.parametrize(
    ("status", "fields", "body"),
    [
        (204, LENGTH, BODY),
        (304, LENGTH, BODY),
        (200, LENGTH + b"Content-Length: 3\r\n", BODY),
        (200, b"Content-Length: 5, 3\r\n", BODY),
        (200, LENGTH + CHUNKED, CHUNKS),
        (200, CHUNKED + LENGTH, CHUNKS),
        (200, CHUNKED, b"5\r\nwhole\r\n0\r\nA b: c\r\n\r\n"),
    ],
)
def test_a_body_whose_end_is_in_doubt_is_not_passed_on(status, fields, body):
    """Guards against bytes that caller and gateway count to different responses."""
    assert_broken(response(fields, body, b"%d" % status))


@pytest.mark.parametrize("octet", [*range(9), *range(10, 32), 127])
def test_a_field_whose_value_holds_a_control_byte_is_not_passed_on(octet):
    """Guards against values that are invalid in any field."""
    assert_broken(response(b"A: b" + bytes([octet]) + b"c\r\n" + LENGTH))


@pytest.mark.parametrize(
    "fields",
    [
        b"!#$%&'*+-.^_`|~09azAZ: v\r\n" + LENGTH,
        b"A:\r\nB: \r\nC:c\r\nD: d\t e \r\n" + LENGTH,
        b"A: \x80\xff\xc3\xa9\r\n" + LENGTH,
        LENGTH + b"A: " + b"x" * 8_000 + b"\r\n",
        b"A: b\r\n" * 100 + LENGTH,
        b"connection: close\r\ncontent-length: 5\r\n",
        b"",
    ],
)
@pytest.mark.parametrize("version", [b"HTTP/1.0", b"HTTP/1.1"])
def test_a_sound_head_is_passed_on(fields, version):
    """Guards against a check that refuses what targets may send."""
    expected = (AttemptOutcome.ANSWERED, 200, BODY)
    assert outcome_of(response(fields, version=version)) == expected


@pytest.mark.parametrize("body", [BODY, b"\n a\n\tb\r\n c\n\n d"])
def test_lines_of_a_body_are_not_taken_for_fields(body):
    """Guards against a check of heads that reads on into the body."""
    length = b"Content-Length: %d\r\n" % len(body)
    interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    expected = (AttemptOutcome.ANSWERED, 200, body)
    for count in range(3):
        assert outcome_of(interim * count + response(length, body)) == expected
        assert outcome_of(interim * count + response(b"", body)) == expected


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b" chunked "])
def test_chunks_are_passed_on(coding):
    fields = b"Transfer-Encoding: " + coding + b"\r\n"
    body = b"5;a=b\r\nwhole\r\n0\r\nTrailer: t\r\n\r\n"
    expected = (AttemptOutcome.ANSWERED, 200, BODY)
    assert outcome_of(response(fields, body)) == expected


@pytest.mark.parametrize("status", [200, 206, 299, 301, 399, 404, 451, 499, 500, 599])
def test_a_sound_status_is_passed_on(status):
    outcome = AttemptOutcome.ERROR if status >= 500 else AttemptOutcome.ANSWERED
    sent = response(status=b"%d" % status)
    assert outcome_of(sent) == (outcome, status, BODY)


@pytest.mark.parametrize(
    ("status", "fields", "method"),
    [
        (204, b"", "GET"),
        (304, b"", "GET"),
        (200, LENGTH, "HEAD"),
        (200, CHUNKED, "HEAD"),
        (200, b"", "HEAD"),
    ],
)
def test_a_response_without_a_body_is_passed_on(status, fields, method):
    sent = response(fields, b"", b"%d" % status)
    assert outcome_of(sent, method) == (AttemptOutcome.ANSWERED, status, b"")


@pytest.mark.parametrize("pause_s", [0.0, 0.001, 0.02])
@pytest.mark.parametrize("body", [bytes(4_000_000), "upload"])
@pytest.mark.parametrize("size", [5, 70_000, 400_000])
def test_a_part_before_a_reset_is_never_whole(pause_s, body, size):
    """Guards against a reset during an upload that looks like the end of a body."""
    sent = response(b"", bytes(size))
    body = upload() if body == "upload" else body
    outcome, _, whole = outcome_of(sent, "POST", body, resets=True, pause_s=pause_s)
    assert outcome is AttemptOutcome.BROKEN and whole is None


@pytest.mark.parametrize("body", [bytes(4_000_000), "upload"])
def test_a_whole_body_before_the_end_of_an_upload_is_passed_on(body):
    """Guards against a target that may not respond before it has read a request."""
    body = upload() if body == "upload" else body
    expected = (AttemptOutcome.ANSWERED, 200, BODY)
    assert outcome_of(response(b""), "POST", body) == expected


BROKEN = {
    "status": response(status=b"000"),
    "name": response(b"Transfer-Encoding : chunked\r\n", CHUNKS),
    "line": response(b" Transfer-Encoding: chunked\r\n", CHUNKS),
    "coding": response(b"Transfer-Encoding: chunked, gzip\r\n", CHUNKS),
    "value": response(b"A: b\x01c\r\n" + LENGTH),
}


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start(gateways=1)
        yield started
    finally:
        await started.stop()


def let_targets_send(fleet, sent, count=None):
    """Let targets of a fleet send a response, with the id of each request."""
    for target in fleet.targets[:count]:
        target.raw_response = sent.replace(b" r1", b" {id}")


async def raw_call(fleet, request_id, method="GET", path="/pages/1"):
    """Return all bytes that a caller gets for one request."""
    gateway = fleet.gateways[0]
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\n"
        f"X-Api-Key: {KEY}\r\nConnection: close\r\n{length}\r\n"
    )
    writer.write(head.encode())
    async with asyncio.timeout(DEADLINE_MS / 1e3):
        received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize("kind", BROKEN)
async def test_callers_get_no_broken_response(fleet, kind):
    """Guards against a caller that takes the response of a target in trouble."""
    let_targets_send(fleet, BROKEN[kind])
    for number in range(4):
        received = await raw_call(fleet, f"p{number}", "POST", "/orders/1")
        assert received.startswith((b"HTTP/1.1 502 ", b"HTTP/1.1 503 "))
        assert BODY not in received and b"X-Server-Stamp" not in received
        ran = fleet.ran(f"p{number}")
        assert ran == (1 if received.startswith(b"HTTP/1.1 502 ") else 0)


@pytest.mark.parametrize("kind", BROKEN)
async def test_a_get_that_meets_a_broken_response_is_served_elsewhere(fleet, kind):
    """Guards against callers that lose what a sound target would have sent."""
    let_targets_send(fleet, BROKEN[kind], 1)
    for number in range(40):
        received = await raw_call(fleet, f"g{number}")
        assert received.startswith(b"HTTP/1.1 200 ") and b"answer to" in received
    assert 1 <= fleet.targets[0].ran.total() <= 3


@pytest.mark.parametrize(
    "sent",
    [
        response(b"Empty: \r\nTab: a\tb\r\nTwice: 1\r\nTwice: 2\r\n" + LENGTH),
        response("Name: caf\u00e9\r\n".encode() + LENGTH),
        response(status=b"299"),
        response(status=b"451"),
        response(status=b"599"),
        response(b"", version=b"HTTP/1.0"),
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + response(CHUNKED, CHUNKS),
    ],
)
async def test_callers_get_a_sound_response_as_it_is(fleet, sent):
    """Guards against a check that changes or refuses what targets may send."""
    let_targets_send(fleet, sent)
    final = sent.rpartition(b"HTTP/")[2]
    status, _, *fields = final.partition(b"\r\n\r\n")[0].split(b"\r\n")
    received = await raw_call(fleet, "g1")
    assert received.startswith(b"HTTP/1.1 " + status.split()[1])
    assert received.endswith(b"\r\n\r\n" + BODY)
    assert set(fields) - {CHUNKED.strip()} <= set(received.split(b"\r\n"))


async def test_callers_get_a_value_that_is_not_utf_8_as_it_is(fleet):
    """Guards against bytes of a value that are dropped on the way."""
    let_targets_send(fleet, response(b"Name: caf\xe9.txt\r\n" + LENGTH))
    assert b"\r\nName: caf\xe9.txt\r\n" in await raw_call(fleet, "g1")


async def test_a_part_before_a_reset_reaches_no_caller_of_an_upload(fleet):
    """Guards against a reset during an upload that ends the caller's response."""
    let_targets_send(fleet, response(b"", b"a first part"))
    for target in fleet.targets:
        target.resets_early = True
    for _ in range(8):
        upload_body = bytes(2_900_000)
        status, body, _ = await fleet.call("/orders/1", "POST", data=upload_body)
        assert status in (502, 503) and b"part" not in body
