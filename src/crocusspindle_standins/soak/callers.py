"""Call gateways on raw connections, and record each request."""

import asyncio
import itertools
import socket
from typing import Final

from crocusspindle_standins.on_platform.fleet import GUEST_KEY, HOST, KEY, Gateway
from crocusspindle_standins.on_platform.target import RESPONSE_BYTES
from crocusspindle_standins.soak.history import (
    NEVER_S,
    NO_RESPONSE,
    TIMED_OUT,
    History,
    Request,
)
from crocusspindle_standins.soak.plan import RUN_S, CallerPlan, Single, Step

DEADLINE_MS: Final = 3_000
PATIENCE_S: Final = 5.0
CONNECT_PAUSE_S: Final = 0.1
SINGLE_STEP: Final = Step(0.0, "GET", 1, 0, 1, 0.0)
RECEIVE_BUFFER_BYTES: Final = 4_096
READ_INTERVAL_S: Final = 0.1

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Response = tuple[int, dict[str, str], bytes]


async def run_caller(
    name: str, plan: CallerPlan, gateway: Gateway, history: History
) -> None:
    """Repeat a caller's steps until the end of the run."""
    connection: Connection | None = None
    for number, step in enumerate(itertools.cycle(plan.steps)):
        while connection is None and history.now_s() < RUN_S:
            connection = await _connect(gateway)
        await asyncio.sleep(step.pause_s)
        if connection is None or history.now_s() >= RUN_S:
            break
        stays_open = False
        if not connection[0].at_eof():
            request_id = f"{name}-{number}"
            stays_open = await _exchange(request_id, plan, step, connection, history)
        if not stays_open or not plan.keeps_connection:
            connection[1].close()
            connection = None
    if connection is not None:
        connection[1].close()


async def _connect(gateway: Gateway) -> Connection | None:
    try:
        async with asyncio.timeout(1.0):
            return await asyncio.open_connection(gateway.ip, gateway.ports[0])
    except (OSError, TimeoutError):
        await asyncio.sleep(CONNECT_PAUSE_S)
        return None


async def _exchange(
    name: str, plan: CallerPlan, step: Step, connection: Connection, history: History
) -> bool:
    """Send a step's requests and record them; return True if more may follow."""
    body = b"x" * step.body_bytes
    folder = "orders" if step.method == "POST" else "pages"
    ids = [f"{name}-{number}" for number in range(step.count)]
    key = GUEST_KEY if plan.is_guest else KEY
    heads = b"".join(_head(step, folder, request_id, key) for request_id in ids)
    began_s = history.now_s()
    sent_s = await _send(heads + body, step, connection, history)
    status, stays_open = NO_RESPONSE, True
    for request_id in ids:
        response: Response | None = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                response = await _read_response(connection[0]) if stays_open else None
        except (EOFError, ConnectionError):
            pass
        except TimeoutError:
            status = TIMED_OUT
        code, headers, answer = response or (status, {}, b"")
        stays_open = response is not None and headers.get("connection") != "close"
        request = Request(
            request_id,
            plan.gateway,
            step.method,
            f"/{folder}/{request_id}",
            body,
            began_s,
            sent_s,
            history.now_s(),
            code,
            headers.get("x-request-id", ""),
            answer,
            is_behind_another=request_id != ids[0],
            is_guest=plan.is_guest,
        )
        history.requests.append(request)
    return stays_open


def key_of(customer: str) -> str:
    """Return the API key of a customer that sends single requests."""
    return KEY if customer == "club" else f"key-of-the-{customer}"


async def send_single(
    name: str, plan: Single, gateway: Gateway, history: History
) -> None:
    """Send one request at its time; record what was read until the end of the run."""
    await asyncio.sleep(plan.at_s)
    connection = await _connect(gateway)
    if connection is None:
        return
    reader, writer = connection
    # Small, so that the gateway holds a response, rather than the caller's kernel.
    own = writer.get_extra_info("socket")
    own.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    size = f"?{RESPONSE_BYTES}{plan.response_bytes}" if plan.response_bytes else ""
    began_s = history.now_s()
    writer.write(_head(SINGLE_STEP, "pages", name, key_of(plan.customer), size))
    status, headers, answer = NO_RESPONSE, dict[str, str](), bytearray()
    try:
        async with asyncio.timeout(max(0.0, RUN_S - began_s)):
            code, headers = await _read_head(reader)
            length = int(headers["content-length"])
            part_bytes = round(plan.read_bytes_per_s * READ_INTERVAL_S)
            while len(answer) < length:
                part = await reader.read(min(length - len(answer), part_bytes))
                if not part:
                    raise EOFError
                answer += part
                await asyncio.sleep(READ_INTERVAL_S if len(answer) < length else 0.0)
            status = code
    except (EOFError, ConnectionError):
        pass
    except TimeoutError:
        status = TIMED_OUT
    writer.close()
    request = Request(
        name,
        plan.gateway,
        SINGLE_STEP.method,
        f"/pages/{name}{size}",
        b"",
        began_s,
        began_s,
        history.now_s(),
        status,
        headers.get("x-request-id", ""),
        bytes(answer),
        customer=plan.customer,
    )
    history.requests.append(request)


def _head(step: Step, folder: str, request_id: str, key: str, query: str = "") -> bytes:
    length = f"Content-Length: {step.body_bytes}\r\n" if step.method == "POST" else ""
    return (
        f"{step.method} /{folder}/{request_id}{query} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{length}X-Request-Id: {request_id}\r\nX-Api-Key: {key}\r\n"
        f"X-Deadline-Milliseconds: {DEADLINE_MS}\r\n\r\n"
    ).encode()


async def _send(
    data: bytes, step: Step, connection: Connection, history: History
) -> float:
    """Send data in parts; return when its last byte was sent, if it was."""
    reader, writer = connection
    part_bytes = -(-len(data) // step.parts)
    try:
        async with asyncio.timeout(PATIENCE_S):
            for at in range(0, len(data), part_bytes):
                if at > 0:
                    await asyncio.sleep(step.part_pause_s)
                if reader.at_eof():
                    return NEVER_S
                writer.write(data[at : at + part_bytes])
                await writer.drain()
    except (ConnectionError, TimeoutError):
        return NEVER_S
    return history.now_s()


async def _read_response(reader: asyncio.StreamReader) -> Response:
    status, headers = await _read_head(reader)
    return status, headers, await reader.readexactly(int(headers["content-length"]))


async def _read_head(reader: asyncio.StreamReader) -> tuple[int, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status_line, *lines = head.rstrip("\r\n").split("\r\n")
    fields = (line.partition(": ") for line in lines)
    headers = {name.lower(): text for name, _, text in fields}
    return int(status_line.split()[1]), headers
