"""Tests of a gateway process that is stopped while callers use their connections."""

import asyncio
import re
import signal
from pathlib import Path

import pytest

from crocusspindle_standins.on_platform.fleet import KEY, Fleet, Gateway, configuration
from crocusspindle_standins.on_platform.target import PlatformTarget

CLOSING_LIMIT_S = 0.2
"""A connection that is closed without a response must close within this time of its
last request."""

WORK_S = 1.9
"""Work that begins while a leaving gateway accepts connections and ends after that."""

BODY = b"x" * 2_000

LONG_FACTOR = 1_000


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start()
        yield started
    finally:
        await started.stop()


def request_head(
    request_id: str, method: str = "GET", length: int = 0, deadline_ms: int = 3_000
) -> bytes:
    path = "/pages/1" if method == "GET" else "/orders/1"
    framing = "" if method == "GET" else f"Content-Length: {length}\r\n"
    return (
        f"{method} {path} HTTP/1.1\r\nHost: hall.example\r\n{framing}"
        f"X-Request-Id: {request_id}\r\nX-Api-Key: {KEY}\r\n"
        f"X-Deadline-Milliseconds: {deadline_ms}\r\n\r\n"
    ).encode()


async def connect(gateway: Gateway):
    return await asyncio.open_connection(gateway.ip, gateway.ports[0])


async def until_port_closes(gateway: Gateway) -> None:
    """Wait until new connections are refused."""
    while True:
        try:
            _, writer = await connect(gateway)
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            # The port closed before it accepted this connection.
            continue
        writer.close()
        await asyncio.sleep(0.01)


async def outcome_of(reader, writer, data: bytes) -> tuple[str, float]:
    """Send a request; return how its connection went on, and after which time."""
    loop = asyncio.get_running_loop()
    sent_at_s = loop.time()
    try:
        writer.write(data)
        await writer.drain()
        received = await reader.read(100)
    except ConnectionError:
        received = b""
    outcome = received.split(b"\r\n")[0].decode() or "closed"
    return outcome, loop.time() - sent_at_s


async def test_a_request_on_an_open_connection_is_answered_or_closed_at_once(fleet):
    """Guards against a leaving process that reads a request and drops it.

    Callers use open connections until the process is gone.
    """
    for target in fleet.targets:
        target.work_s = WORK_S
    gateway = fleet.gateways[0]
    connections = [await connect(gateway) for _ in range(2)]
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.5)
    slow_call = asyncio.create_task(fleet.call("/pages/slow"))
    async with asyncio.timeout(4):
        await until_port_closes(gateway)
    await asyncio.sleep(0.05)
    for number, connection in enumerate(connections):
        async with asyncio.timeout(4):
            outcome, took_s = await outcome_of(
                *connection, request_head(f"late{number}")
            )
        assert outcome == "HTTP/1.1 200 OK" or took_s < CLOSING_LIMIT_S
    assert (await slow_call)[0] == 200


def patient_configuration():
    """Return a configuration whose routes time out after the port has closed."""
    document = configuration(2)
    for route in document["routes"].values():
        route.update(timeout_s=6, target_latency_s=0.2)
    return document


@pytest.mark.parametrize(
    ("deadline_ms", "status", "runs"),
    [(2_400, "HTTP/1.1 200 OK", 1), (3_000, "HTTP/1.1 503 Service Unavailable", 0)],
)
async def test_a_body_that_arrives_as_the_port_closes_is_read(
    fleet, deadline_ms, status, runs
):
    """Guards against a leaving process that drops the rest of a request's body."""
    gateway = fleet.gateways[0]
    await fleet.configure(patient_configuration())
    await asyncio.sleep(2.0)
    reader, writer = await connect(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    head = request_head("upload", "POST", len(BODY), deadline_ms)
    writer.write(head + BODY[:100])
    async with asyncio.timeout(4):
        await until_port_closes(gateway)
        await asyncio.sleep(0.05)
        outcome, _ = await outcome_of(reader, writer, BODY[100:])
    assert outcome == status
    assert fleet.ran("upload") == runs


async def test_a_request_that_outlasts_the_grace_period_is_logged_as_given_up(fleet):
    """Guards against a log that blames the caller for what the node did."""
    for target in fleet.targets:
        target.work_s = 10.0
    gateway = fleet.gateways[0]
    reader, writer = await connect(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.8)
    async with asyncio.timeout(5):
        outcome, _ = await outcome_of(reader, writer, request_head("long"))
        await gateway.process.wait()
    assert outcome == "HTTP/1.1 504 Gateway Timeout"
    (line,) = [line for line in gateway.lines() if line.get("request") == "long"]
    assert line["reason"] == "given-up" and line["waited_for"] == "response"
    assert 700 < line["after_stop_ms"] < 1_300
    for attempt in line["sends"]:
        assert attempt["target"]
        assert attempt["expected_ms"] < attempt["until_give_up_ms"]


async def test_a_grace_period_that_a_reload_raised_is_used_in_full(fleet):
    """Guards against a drain that the grace period at the start cuts short."""
    gateway = fleet.gateways[0]
    settings = gateway.settings.read_text()
    gateway.settings.write_text(settings.replace("grace_s = 3", "grace_s = 6"))
    gateway.process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.4)
    for target in fleet.targets:
        target.work_s = 1.5
    reader, writer = await connect(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(7):
        await asyncio.sleep(2.5)
        outcome, _ = await outcome_of(reader, writer, request_head("late"))
        assert outcome == "HTTP/1.1 200 OK"
        assert await gateway.process.wait() == 0
    writer.close()


def ignores_reload_signal(gateway: Gateway) -> bool:
    """Return True if the process ignores or handles SIGHUP, which has the first bit."""
    assert gateway.process is not None
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    fields = dict(line.split(":\t") for line in status.splitlines() if ":\t" in line)
    return bool((int(fields["SigIgn"], 16) | int(fields["SigCgt"], 16)) & 1)


async def test_a_signal_to_reload_during_the_start_does_not_end_the_process(fleet):
    """Guards against a settings change that kills a node that is just starting."""
    gateway = fleet.gateways[0]
    gateway.process.kill()
    await gateway.process.wait()
    await fleet.run(gateway)
    async with asyncio.timeout(4):
        while not ignores_reload_signal(gateway):
            await asyncio.sleep(0.01)
    for _ in range(4):
        gateway.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.15)
    await fleet.until_ready()
    assert gateway.process.returncode is None


async def test_a_long_response_of_a_leaving_gateway_announces_the_close(fleet):
    """Guards against a leaving process that says to keep a connection and closes it.

    The headers of a long response are sent before the whole response is there.
    """
    gateway = fleet.gateways[0]
    reader, writer = await connect(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(0.1)
    body = BODY * LONG_FACTOR
    writer.write(request_head("long", "POST", len(body)) + body)
    async with asyncio.timeout(4):
        received = await reader.read()
    response_head, _, echoed = received.partition(b"\r\n\r\n")
    assert response_head.startswith(b"HTTP/1.1 200 OK") and echoed.endswith(body)
    assert b"connection: close" in response_head.lower()


GRACE_S = 3.0
"""Grace period of the stand-in fleet's settings."""

LONG_WORK_S = 1.2
SHORT_WORK_S = 0.05


async def call_late(
    gateway: Gateway, work_s: float, at_s: float, deadline_ms: int = 3_000
) -> tuple[str, float]:
    """Send an order on a new connection some time from now; return what came of it."""
    await asyncio.sleep(at_s)
    reader, writer = await connect(gateway)
    head = request_head(f"{work_s}-{at_s}", "POST", deadline_ms=deadline_ms)
    outcome = await outcome_of(reader, writer, head)
    writer.close()
    return outcome


async def test_a_late_request_runs_and_is_answered_or_does_not_run(fleet):
    """Guards against orders that a leaving process passes on and then drops.

    Callers that know its address from before connect while it accepts connections.
    """
    gateway = fleet.gateways[0]
    for target in fleet.targets:
        target.work_s = LONG_WORK_S
    gateway.process.send_signal(signal.SIGTERM)
    times_s = [GRACE_S * share for share in (0.54, 0.56, 0.58, 0.6)]
    outcomes = await asyncio.gather(
        *(call_late(gateway, LONG_WORK_S, at_s) for at_s in times_s)
    )
    for at_s, (outcome, took_s) in zip(times_s, outcomes, strict=True):
        ran = fleet.ran(f"{LONG_WORK_S}-{at_s}")
        assert (outcome, ran) in {
            ("HTTP/1.1 200 OK", 1),
            ("HTTP/1.1 503 Service Unavailable", 0),
        }
        # What can't be served is refused at once.
        assert ran or took_s < CLOSING_LIMIT_S


async def learn(gateway: Gateway) -> None:
    """Let a gateway see that its work takes milliseconds."""
    learned = [call_late(gateway, SHORT_WORK_S, n * 0.01) for n in range(60)]
    await asyncio.gather(*learned)


@pytest.mark.parametrize(
    ("shares", "deadline_ms"), [((0.1, 0.2, 0.35), 3_000), ((0.3, 0.5, 0.6), 500)]
)
async def test_a_late_request_that_ends_in_time_is_served(fleet, shares, deadline_ms):
    """Guards against a leaving process that refuses work which it can end.

    Until late in the grace period, recent work tells; then the deadline does.
    """
    gateway = fleet.gateways[0]
    for target in fleet.targets:
        target.work_s = SHORT_WORK_S
    await learn(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    times_s = [GRACE_S * share for share in shares]
    outcomes = await asyncio.gather(
        *(call_late(gateway, SHORT_WORK_S, at_s, deadline_ms) for at_s in times_s)
    )
    assert [outcome for outcome, _ in outcomes] == ["HTTP/1.1 200 OK"] * 3


async def test_a_late_order_is_not_sent_to_a_target_that_may_hang(fleet):
    """Guards against orders that a leaving process starts on a guess and cuts off.

    Recent work was short, and the targets stop responding as the process leaves.
    """
    gateway = fleet.gateways[0]
    for target in fleet.targets:
        target.work_s = SHORT_WORK_S
    await learn(gateway)
    gateway.process.send_signal(signal.SIGTERM)
    for target in fleet.targets:
        target.work_s = 10.0
    times_s = [GRACE_S * share for share in (0.5, 0.52, 0.55, 0.58, 0.6)]
    outcomes = await asyncio.gather(
        *(call_late(gateway, SHORT_WORK_S, at_s) for at_s in times_s)
    )
    for at_s, (outcome, took_s) in zip(times_s, outcomes, strict=True):
        assert outcome == "HTTP/1.1 503 Service Unavailable"
        assert fleet.ran(f"{SHORT_WORK_S}-{at_s}") == 0 and took_s < CLOSING_LIMIT_S


async def test_a_second_stop_signal_drops_no_request(fleet):
    """Guards against requests that overlapping restarts cut off."""
    gateway = fleet.gateways[0]
    for target in fleet.targets:
        target.work_s = LONG_WORK_S
    running = asyncio.create_task(call_late(gateway, LONG_WORK_S, 0.0))
    await asyncio.sleep(0.3)
    for _ in range(2):
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
    assert (await running)[0] == "HTTP/1.1 200 OK"


class HoldingTarget(PlatformTarget):
    """Never respond to some requests."""

    async def _run(self, request):
        if "held" in request.path:
            await asyncio.sleep(60.0)
        return await super()._run(request)


@pytest.fixture
async def holding_fleet(tmp_path):
    started = Fleet(tmp_path, make_target=HoldingTarget)
    try:
        await started.start()
        await started.configure(patient_configuration())
        await asyncio.sleep(2.0)
        yield started
    finally:
        await started.stop()


@pytest.mark.parametrize("after_stop_s", [-0.2, 0.3])
async def test_responses_behind_a_request_that_hangs_are_sent(
    holding_fleet, after_stop_s
):
    """Guards against a leaving process that drops responses which are ready.

    A pipelined request ahead of them never gets a response.
    """
    gateway = holding_fleet.gateways[0]
    for target in holding_fleet.targets:
        target.work_s = SHORT_WORK_S
    reader, writer = await connect(gateway)
    heads = [request_head(f"r{n}", deadline_ms=6_000) for n in range(3)]
    heads[0] = heads[0].replace(b"/pages/1", b"/pages/held")
    if after_stop_s > 0:
        gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(abs(after_stop_s))
    writer.write(b"".join(heads))
    await asyncio.sleep(0.2)
    if after_stop_s < 0:
        gateway.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(6):
        received = await reader.read()
        assert await gateway.process.wait() == 0
    writer.close()
    statuses = re.findall(rb"HTTP/1.1 (\d+)", received)
    is_run = [holding_fleet.ran(f"r{n}") > 0 for n in range(3)]
    assert statuses == [b"504", *(b"200" if ran else b"503" for ran in is_run[1:])]
    assert received.lower().count(b"connection: close") == 1
