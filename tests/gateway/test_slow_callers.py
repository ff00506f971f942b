"""Tests of a host's memory while callers read slowly, on one real gateway process."""

import asyncio
import signal
import socket
from collections import Counter
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import pytest

from crocusspindle_standins.on_platform.fleet import (
    GUEST_KEY,
    HOST,
    KEY,
    Fleet,
    configuration,
)
from crocusspindle_standins.on_platform.target import LONG_BYTES, TargetFault

SLOW_CALLERS = 90
SLOW_BYTES = 2_000
RECEIVE_BUFFER_BYTES = 4_096
CALLS_PER_S = 10
OK = 200
NOT_RUN = 503
DEADLINE_S = 2.0
NEVER_DUE_S = 120.0
"""Limit of waits that end with an event."""

ROUNDS = 3
ALL_HELD_BYTES = 30_000_000
"""Held at least while 40 callers read slowly and none of them was refused."""

SAME_COUNTS = 10
"""So many equal counts in a row: the gateway reads no more of what is sent to it."""

STREAM_BYTES = 100_000
"""At least this much is counted of a body that is streamed to its target."""

LEAST_UPLOADS = 8
"""One for each slot of the targets."""

SERVED = 0.99
TENANTS = {
    "club": {"api_keys": [KEY], "per_s": 500, "burst": 500},
    "guest": {"api_keys": [GUEST_KEY], "per_s": 500, "burst": 500},
}


@asynccontextmanager
async def running_fleet(folder, memory_mb, document=None, **options):
    """Run one gateway and four targets."""
    fleet = Fleet(folder, memory_mb=memory_mb, **options)
    try:
        await fleet.start(gateways=1)
        await fleet.configure(document or configuration(2, tenants=TENANTS))
        async with asyncio.timeout(10):
            while (await fleet.call("/pages/a", key=GUEST_KEY))[0] != OK:
                await asyncio.sleep(0.1)
        yield fleet
    finally:
        await fleet.stop()


def resident_bytes(fleet):
    """Return the resident memory of the gateway's process."""
    status = Path(f"/proc/{fleet.gateways[0].process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1024


async def held_bytes(fleet):
    """Return the gateway's own count of held bytes."""
    async with fleet.client.get(f"http://{fleet.gateways[0].ip}:9464") as response:
        lines = (await response.text()).splitlines()
    name = "crocusspindle_gateway_held_bytes"
    line = next(line for line in lines if line.startswith(name))
    return float(line.split()[-1])


class SlowCaller:
    """Ask for a long response, and read 2 KB of it a second."""

    def __init__(self, number):
        self.number = number
        self.received = bytearray()
        self.is_cut = False
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.setblocking(False)

    async def send(self, fleet):
        """Connect and send the request."""
        gateway = fleet.gateways[0]
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.sock, (gateway.ip, gateway.ports[0]))
        head = (
            f"GET /pages/longpage{self.number} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Request-Id: slow{self.number}\r\nX-Api-Key: {GUEST_KEY}\r\n"
            f"X-Deadline-Milliseconds: {DEADLINE_S * 1e3}\r\n\r\n"
        )
        await loop.sock_sendall(self.sock, head.encode())

    async def read(self, pause_s=1.0):
        """Read until the connection ends, with a pause after each part."""
        loop = asyncio.get_running_loop()
        with suppress(ConnectionError):
            while part := await loop.sock_recv(self.sock, SLOW_BYTES):
                self.received += part
                await asyncio.sleep(pause_s)
        self.is_cut = True

    @property
    def body_bytes(self):
        """Return how much of the response's body has arrived."""
        head, _, body = self.received.partition(b"\r\n\r\n")
        return len(body) if head.startswith(b"HTTP/1.1 200") else 0

    def close(self):
        """Leave."""
        self.sock.close()


@asynccontextmanager
async def slow_callers(fleet, number=SLOW_CALLERS):
    """Let slow callers read while the block runs."""
    callers = [SlowCaller(n) for n in range(number)]
    reading = []
    try:
        for caller in callers:
            await caller.send(fleet)
            reading.append(asyncio.create_task(caller.read()))
            await asyncio.sleep(0.02)
        yield callers
    finally:
        for task in reading:
            task.cancel()
        await asyncio.gather(*reading, return_exceptions=True)
        for caller in callers:
            caller.close()


async def until(check, *given, for_s=5.0):
    """Wait until a check holds."""
    async with asyncio.timeout(for_s):
        while not await check(*given):
            await asyncio.sleep(0.05)


async def call_others(fleet, for_s, largest):
    """Send other callers' requests, one in five for a long response; count statuses.

    Add the process's largest resident memory to ``largest``.
    """
    statuses = Counter()

    async def call(number):
        path = f"/pages/longpage-{number}" if number % 5 == 0 else f"/pages/{number}"
        with suppress(OSError):
            status, body, _ = await fleet.call(path)
            if number % 5 or len(body) == LONG_BYTES:
                statuses[status] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(round(for_s * CALLS_PER_S)):
            group.create_task(call(number))
            await asyncio.sleep(1.0 / CALLS_PER_S)
            largest.append(resident_bytes(fleet))
    return statuses


async def is_released(fleet):
    """Return True if the gateway holds nothing."""
    return await held_bytes(fleet) == 0


async def has_free_targets(fleet):
    """Return True if no target runs a request or sends a response."""
    return all(target.in_flight == 0 for target in fleet.targets)


async def has_free_targets_and_holds(fleet, least_bytes):
    """Return True if targets are free while the gateway holds their responses."""
    return await has_free_targets(fleet) and await held_bytes(fleet) > least_bytes


@pytest.mark.parametrize("memory_mb", [120, 200])
async def test_slow_readers_leave_memory_slots_and_other_callers_alone(
    tmp_path, memory_mb
):
    """Guards against 90 callers that read 2 KB/s of 900 KB and use up the host."""
    async with running_fleet(tmp_path, memory_mb) as fleet:
        largest = [resident_bytes(fleet)]
        async with slow_callers(fleet):
            statuses = await call_others(fleet, 5.0, largest)
            assert await has_free_targets(fleet)
            assert await held_bytes(fleet) > 0
        assert max(largest) < memory_mb * 1e6, largest
        assert statuses[OK] >= SERVED * 5.0 * CALLS_PER_S
        await until(is_released, fleet)
        messages = Counter(
            (line["message"], line["measure"])
            for line in fleet.gateways[0].lines()
            if line["message"].startswith("memory measure")
        )
        assert messages and set(messages.values()) == {1}


async def test_slow_callers_within_the_bound_keep_no_slot(tmp_path):
    """Guards against slots that are busy until the deadlines of slow callers."""
    async with running_fleet(tmp_path, 300) as fleet:
        for target in fleet.targets:
            target.long_bytes = 3_000_000
        async with slow_callers(fleet, 12):
            # Targets are also free before the last requests arrive.
            await until(has_free_targets_and_holds, fleet, 12 * 2_500_000, for_s=1.0)


async def test_a_ready_response_is_delivered_after_the_deadline(tmp_path):
    """Guards against responses of slow callers that are cut though they are ready."""
    async with running_fleet(tmp_path, 300) as fleet:
        caller = SlowCaller(0)
        await caller.send(fleet)
        await asyncio.sleep(DEADLINE_S + 0.5)
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, LONG_BYTES)
        reading = asyncio.create_task(caller.read(0.0))

        async def has_all():
            return caller.body_bytes == LONG_BYTES

        await until(has_all)
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)
        caller.close()
        await until(is_released, fleet)


async def test_a_response_that_a_leaving_process_holds_is_delivered(tmp_path):
    """Guards against a process that ends with responses which callers still read."""
    async with running_fleet(tmp_path, 300) as fleet:
        gateway = fleet.gateways[0]
        callers = [SlowCaller(n) for n in range(LEAST_UPLOADS)]
        for caller in callers:
            await caller.send(fleet)
        await until(has_free_targets_and_holds, fleet, len(callers) * LONG_BYTES // 2)
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(NEVER_DUE_S):
            assert await gateway.process.wait() == 0
            for caller in callers:
                await caller.read(pause_s=0.0)
                caller.close()
        assert {caller.body_bytes >= LONG_BYTES for caller in callers} == {True}


async def test_callers_that_leave_release_what_they_held(tmp_path):
    """Guards against memory that stays counted, or used, for callers that are gone."""
    async with running_fleet(tmp_path, 200) as fleet:
        largest = []
        async with asyncio.timeout(NEVER_DUE_S):
            while len(largest) < ROUNDS:
                async with slow_callers(fleet, 40) as callers:
                    while not all(caller.received for caller in callers):
                        await asyncio.sleep(0.05)
                    await until(has_free_targets, fleet, for_s=NEVER_DUE_S)
                    held = await held_bytes(fleet)
                await until(is_released, fleet, for_s=NEVER_DUE_S)
                # A round that a pause of this process cut short used less memory.
                if held > ALL_HELD_BYTES:
                    largest.append(resident_bytes(fleet))
        assert max(largest) - largest[0] < 10_000_000, largest


async def test_a_response_that_stops_midway_is_cut_and_released(tmp_path):
    """Guards against a truncated response that looks complete or is held for ever."""
    async with running_fleet(tmp_path, 200) as fleet:
        for target in fleet.targets:
            target.fault, target.long_bytes = TargetFault.STOPS, 3_000_000
        caller = SlowCaller(0)
        await caller.send(fleet)
        async with asyncio.timeout(DEADLINE_S + 2.0):
            await caller.read(0.0)
        assert caller.is_cut and 0 < caller.body_bytes < 3_000_000
        caller.close()
        await until(is_released, fleet)


async def test_hedges_and_retries_release_their_responses(tmp_path):
    """Guards against responses that no caller gets and that stay counted."""
    async with running_fleet(tmp_path, 200) as fleet:
        for target, fault in zip(
            fleet.targets,
            (TargetFault.STOPS, TargetFault.CUTS, TargetFault.ERRORS),
            strict=False,
        ):
            target.fault = fault
        calls = [fleet.call(f"/pages/longpage{n}") for n in range(20)]
        statuses = Counter(status for status, _, _ in await asyncio.gather(*calls))
        assert statuses[OK] > 0
        await until(is_released, fleet)


async def test_long_uploads_are_refused_and_short_ones_served(tmp_path):
    """Guards against uploads that use up a host which slow readers have filled."""
    async with running_fleet(tmp_path, 120) as fleet, slow_callers(fleet):
        statuses = Counter()
        for size in (100, 60_000, 70_000, 2_000_000):
            status, body, headers = await fleet.call(
                "/orders/1", "POST", data=bytes(size)
            )
            statuses[status] += 1
            if status == NOT_RUN:
                assert body == b"memory\n" and float(headers["Retry-After"]) > 0
        assert statuses == {OK: 2, NOT_RUN: 2}


def patient_configuration():
    """Return a configuration whose requests may wait for an event."""
    document = configuration(2, tenants=TENANTS)
    times = {"timeout_s": NEVER_DUE_S, "target_latency_s": NEVER_DUE_S / 2}
    document["routes"]["orders"] |= times
    return document


async def until_full(fleet):
    """Wait until the gateway holds all that it reads while no body is released."""
    counts = [0.0]
    async with asyncio.timeout(NEVER_DUE_S):
        while counts[-1] == 0 or len(set(counts[-SAME_COUNTS:])) > 1:
            counts.append(await held_bytes(fleet))


@pytest.mark.parametrize("memory_mb", [120, 200])
async def test_uploads_to_slow_targets_stay_within_the_bound(tmp_path, memory_mb):
    """Guards against bodies that use up the host while they wait for slow targets."""
    patient = {"document": patient_configuration(), "revocation_s": NEVER_DUE_S}
    async with running_fleet(tmp_path, memory_mb, **patient) as fleet:
        gate = asyncio.Event()
        for target in fleet.targets:
            target.gate = gate
        data, deadline_s = bytes(LONG_BYTES), NEVER_DUE_S
        uploads = [
            asyncio.create_task(
                fleet.call(f"/orders/{n}", "POST", data=data, deadline_s=deadline_s)
            )
            for n in range(SLOW_CALLERS)
        ]
        filling = asyncio.create_task(until_full(fleet))
        filling.add_done_callback(lambda _: gate.set())
        largest = []
        while not all(upload.done() for upload in uploads):
            largest.append(resident_bytes(fleet))
            await asyncio.sleep(0.05)
        await filling
        statuses = Counter(upload.result()[0] for upload in uploads)
        assert statuses[OK] >= LEAST_UPLOADS, statuses
        assert set(statuses) <= {OK, NOT_RUN}, statuses
        assert max(largest) < memory_mb * 1e6, largest
        await until(is_released, fleet)


async def test_uploads_that_are_abandoned_release_what_they_held(tmp_path):
    """Guards against bodies that stay counted when their callers leave midway."""
    async with running_fleet(tmp_path, 200) as fleet:
        gateway = fleet.gateways[0]
        for size, least in ((500_000, 400_000), (2_500_000, STREAM_BYTES)):
            _, writer = await asyncio.open_connection(gateway.ip, gateway.ports[0])
            writer.write(
                f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: up{size}"
                f"\r\nX-Api-Key: {KEY}\r\nContent-Length: {size}\r\n\r\n".encode()
            )
            writer.write(bytes(size - 100_000))

            async def is_held(least=least):
                return await held_bytes(fleet) >= least

            await until(is_held)
            writer.transport.abort()
            await until(is_released, fleet)
