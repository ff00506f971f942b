import asyncio
import hashlib
import json

import pytest
from aiohttp.test_utils import TestClient, TestServer

from crocusspindle import cli
from crocusspindle.errors import (
    Finding,
    NodeIneligibleError,
    PlatformUnknownError,
    TicketConflictError,
    TicketError,
)
from crocusspindle.exit_codes import ExitCode
from crocusspindle.services.operator_api import (
    AuditEntry,
    SubmitResult,
    TicketRecord,
    TicketSummary,
    Touch,
    TouchKind,
)
from crocusspindle.services.operator_port import operator_app
from crocusspindle.settings_schema import Principal

TOUCHES = {
    b"give": Touch(TouchKind.APPROVAL_GIVEN, "approvals[0]", "s1", 3),
    b"withdraw": Touch(TouchKind.APPROVAL_WITHDRAWN, "approvals[0]", "s1", 3),
    b"foreign": Touch(TouchKind.APPROVAL_GIVEN, "approvals[0]", "s2", 3),
    b"other": Touch(TouchKind.APPROVAL_GIVEN, "x", "s1", approved_by="someone"),
    b"rate": Touch(TouchKind.OTHER, "customers.c1"),
}
FAILURES = {
    b"wrong": TicketError([Finding("ticket", "customers", "is missing", 2)]),
    b"taken": TicketConflictError("ticket 5 holds other content"),
    b"unfit": NodeIneligibleError("no fresh stamp", 2_500),
    b"lost": PlatformUnknownError("answer lost"),
    b"bug": ValueError("secret detail"),
}


class FakeBackend:
    def __init__(self):
        self.reads = 0

    async def validate(self, document):
        if document in FAILURES:
            raise FAILURES[document]
        return TicketSummary(5, "ab", (TOUCHES[document],))

    async def submit(self, document, principal):
        if document == b"withdraw":
            return SubmitResult(6, "ab", repeated=True)
        return SubmitResult(5, "ab", repeated=False)

    async def ticket(self, number):
        self.reads += 1
        waiting = ("a2",) if self.reads == 1 else ()
        record = TicketRecord(number, "ab", "ops", not waiting, waiting, "{}")
        return record if number == 5 else None

    async def tickets(self, after, limit):
        return [TicketRecord(after + 1, "ab", "ops", True, (), "{}")][:limit]

    async def audit(self, after, limit):
        return [
            AuditEntry(after + 1, "ops", 1.0, ("customers.c1",), None, {"r": 1}, True)
        ]

    async def status(self):
        return {"node": "a1", "fit": True, "opens_at_ms": float("inf")}


def make_principal(name, role, services=()):
    digest = hashlib.sha256(name.encode()).hexdigest()
    return Principal(name=name, role=role, services=services, key_sha256=digest)


PRINCIPALS = (
    make_principal("ops", "operator"),
    make_principal("own", "owner", ("s1",)),
    make_principal("see", "viewer"),
)


@pytest.fixture
async def client():
    app = operator_app(FakeBackend(), PRINCIPALS)
    async with TestClient(TestServer(app)) as client:
        yield client


async def call_api(client, method, path, key="ops", body=None):
    headers = {"Authorization": f"Bearer {key}"}
    async with client.request(method, path, headers=headers, data=body) as response:
        return response.status, await response.json(), response.headers


@pytest.mark.parametrize(
    ("key", "document", "status"),
    [
        ("ops", b"rate", 201),
        ("ops", b"withdraw", 200),
        ("ops", b"give", 403),
        ("own", b"give", 201),
        ("own", b"withdraw", 200),
        ("own", b"foreign", 403),
        ("own", b"other", 403),
        ("own", b"rate", 403),
        ("see", b"rate", 403),
        ("nobody", b"rate", 401),
        ("", b"rate", 401),
        ("ops", b"wrong", 400),
        ("ops", b"taken", 409),
        ("ops", b"unfit", 503),
        ("ops", b"lost", 504),
        ("ops", b"bug", 500),
        ("ops", b"x" * 5_000_000, 413),
    ],
)
async def test_submit_status_by_role_and_outcome(client, key, document, status):
    got, body, headers = await call_api(client, "POST", "/v1/tickets", key, document)
    assert got == status
    assert status < 400 or set(body) == {"error", "findings"}
    assert "secret detail" not in json.dumps(body)
    assert headers.get("Retry-After") == ("3" if status == 503 else None)


@pytest.mark.parametrize(
    ("path", "status"),
    [
        ("/v1/tickets?after=3", 200),
        ("/v1/tickets?limit=0", 400),
        ("/v1/tickets/5", 200),
        ("/v1/tickets/6", 404),
        ("/v1/tickets/x", 400),
        ("/v1/tickets/" + "9" * 5000, 400),
        ("/v1/audit?after=-1", 400),
        ("/v1/audit", 200),
        ("/v1/status", 200),
        ("/v1/none", 404),
    ],
)
async def test_viewer_may_read(client, path, status):
    got, body, _ = await call_api(client, "GET", path, "see")
    assert got == status
    assert ("error" in body) == (status >= 400)


@pytest.mark.parametrize(
    ("arguments", "document", "code", "text"),
    [
        (["ticket", "submit", "FILE", "--wait_ms", "5000"], b"rate", 0, '"in_force"'),
        (["ticket", "submit", "FILE", "--wait_ms", "1"], b"withdraw", 9, "recorded"),
        (["ticket", "validate", "FILE"], b"rate", 0, '"touches"'),
        (["ticket", "submit", "FILE"], b"wrong", 3, "is missing"),
        (["ticket", "submit", "FILE"], b"give", 4, "only the owner of s1"),
        (["ticket", "submit", "FILE"], b"taken", 5, "other content"),
        (["ticket", "submit", "FILE"], b"unfit", 7, "retry in 3 s"),
        (["ticket", "submit", "FILE"], b"lost", 8, "same ticket again"),
        (["ticket", "submit", "nowhere"], b"", 3, "cannot be read"),
        (["ticket", "show", "6"], b"", 6, "no ticket 6"),
        (["ticket", "list"], b"", 0, '"tickets"'),
        (["audit"], b"", 0, "customers.c1"),
        (["status"], b"", 0, '"fit": true, "opens_at_ms": null'),
        (["version"], b"", 0, '"version"'),
        (["status", "--wrong"], b"", 2, "--wrong"),
    ],
)
async def test_commands_and_exit_codes(
    client, tmp_path, capfd, arguments, document, code, text
):
    key, ticket = tmp_path / "key", tmp_path / "ticket.yaml"
    key.write_text("ops\n")
    ticket.write_bytes(document)
    given = [str(ticket) if word == "FILE" else word for word in arguments]
    given += ["--operator", str(client.make_url("/")), "--operator_key_file", str(key)]
    got = await asyncio.to_thread(cli.run, [*given, "--output", "json"])
    output = capfd.readouterr()
    assert got == code
    assert text in output.out + output.err
    assert bool(output.out) == (code == ExitCode.DONE)


async def test_lost_response_is_an_unknown_outcome(tmp_path):
    """The connection ends after the ticket is sent and before the response.

    The command must not report a failure: the ticket may be recorded.
    """

    async def close_without_response(reader, writer):
        await reader.read(65536)
        writer.close()

    server = await asyncio.start_server(close_without_response, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    file = tmp_path / "file"
    file.write_text("ops")
    flags = ["--operator", url, "--operator_key_file", str(file)]
    submit = ["ticket", "submit", str(file), *flags]
    assert await asyncio.to_thread(cli.run, submit) == ExitCode.UNKNOWN
    assert await asyncio.to_thread(cli.run, ["status", *flags]) == ExitCode.RETRY_LATER
    server.close()
