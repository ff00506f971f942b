"""Tests of targets whose bodies never end, and of long bodies that do."""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager
from datetime import datetime
from pathlib import Path

import aiohttp
import pytest

from crocusspindle_standins.on_platform.fleet import Fleet
from crocusspindle_standins.on_platform.target import ENDLESS
from tests.gateway.test_slow_callers import DEADLINE_S, SlowCaller

OK = 200
CALLS = 200
CALLS_PER_S = 20.0
SERVED = 0.97
EJECTED_WITHIN_S = 2.0
ADDED_BYTES = 20_000_000
LONG_BYTES = 64 << 20
WORK_S = 0.2
"""Four of the eight slots are taken, so that each target is used."""

TRIED_WITHIN_S = 40.0
"""Requests that run once avoid a target for some seconds after its first failure."""

MAX_SHARE = 0.1
"""Part of the requests that an ejected target may still get, in trials."""


@asynccontextmanager
async def running_fleet(folder, gateways=3):
    """Run gateways and four targets that each request may meet."""
    fleet = Fleet(folder)
    try:
        await fleet.start(gateways)
        for target in fleet.targets:
            target.work_s = WORK_S
        yield fleet
    finally:
        await fleet.stop()


class Calls:
    """Send requests through all gateways; count how many were served whole."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.served = Counter()
        self.sent = Counter()
        self.largest_bytes = 0
        self.orders = []
        self.failures = Counter()

    async def run(self, calls=CALLS, methods=("GET", "POST")):
        """Send requests at a steady rate, with each method in turn."""
        async with asyncio.TaskGroup() as group:
            for number in range(calls):
                method = methods[number % len(methods)]
                group.create_task(self._call(number, method))
                await asyncio.sleep(1.0 / CALLS_PER_S)
                self.largest_bytes = max(self.largest_bytes, resident_bytes(self.fleet))

    async def _call(self, number, method):
        path = f"/pages/{number}" if method == "GET" else f"/orders/{number}"
        gateway = number % len(self.fleet.gateways)
        self.sent[method] += 1
        if method == "POST":
            self.orders.append(f"r{self.fleet.requests + 1}")
        try:
            status, body, _ = await self.fleet.call(path, method, gateway)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            self.failures[method, type(error).__name__] += 1
            return
        self.served[method] += status == OK
        if status != OK:
            self.failures[method, status, body[:40]] += 1

    def share(self, method):
        """Return the part of the requests with a method that were served."""
        return self.served[method] / self.sent[method]


def resident_bytes(fleet):
    """Return the resident memory of the gateway that has most."""
    largest = 0
    for gateway in fleet.gateways:
        status = Path(f"/proc/{gateway.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmRSS:"))
        largest = max(largest, int(line.split()[1]) * 1024)
    return largest


def lines(fleet, message):
    """Return the lines of all gateways with a message."""
    return [
        line
        for gateway in fleet.gateways
        for line in gateway.lines()
        if line["message"] == message
    ]


def ejections_s(fleet, target=None):
    """Return when targets were ejected, by the log, in seconds of the epoch."""
    return sorted(
        datetime.fromisoformat(line["time"]).timestamp()
        for line in lines(fleet, "target standing changed")
        if line["standing"] == "ejected"
        and (target is None or line["target"] == target.identity)
    )


async def exceeded(fleet):
    """Return how many responses exceeded each bound, by the metrics of all hosts."""
    counts = Counter()
    for gateway in fleet.gateways:
        async with fleet.client.get(f"http://{gateway.ip}:9464") as response:
            text = await response.text()
        for line in text.splitlines():
            if line.startswith("crocusspindle_gateway_exceeded_bounds_total{"):
                bound = line.partition('bound="')[2].partition('"')[0]
                counts[bound] += float(line.split()[-1])
    return counts


def assert_ejected_in_time(fleet, target, since_s):
    """Check that the third response without end ejects its target soon."""
    arrived_s = [at_s for at_s in target.arrival_times_s if at_s >= since_s]
    third_s = arrived_s[:3][-1] + time.time() - time.monotonic()
    ejected_s = ejections_s(fleet, target)
    assert ejected_s, f"not ejected after {len(arrived_s)} responses"
    assert ejected_s[0] - third_s < EJECTED_WITHIN_S


async def run_until_ejection_is_due(calls, target, since_s):
    """Send requests until a target is ejected, or was due to be after its third."""
    async with asyncio.timeout(TRIED_WITHIN_S):
        while not ejections_s(calls.fleet, target):
            arrived_s = [at_s for at_s in target.arrival_times_s if at_s >= since_s]
            due_s = [at_s + EJECTED_WITHIN_S for at_s in arrived_s[2:3]]
            if due_s and time.monotonic() >= due_s[0]:
                return
            await calls.run(20, ("POST",))


@pytest.mark.parametrize("fault", ENDLESS)
async def test_a_target_whose_bodies_never_end_costs_few_requests(tmp_path, fault):
    """Guards against a target that gets a quarter of the requests and ends none."""
    async with running_fleet(tmp_path) as fleet:
        calm, calls = Calls(fleet), Calls(fleet)
        await calm.run(40)
        endless, since_s = fleet.targets[0], time.monotonic()
        endless.fault = fault
        await calls.run()
        assert calls.share("GET") >= SERVED, calls.failures
        assert calls.largest_bytes - calm.largest_bytes < ADDED_BYTES
        arrived = sum(at_s >= since_s for at_s in endless.arrival_times_s)
        assert arrived <= MAX_SHARE * CALLS
        assert_ejected_in_time(fleet, endless, since_s)
        assert max(map(fleet.ran, calls.orders)) == 1
        assert (await exceeded(fleet)).total() >= arrived / 2


@pytest.mark.parametrize("fault", ENDLESS)
async def test_endless_bodies_of_requests_that_run_once_eject_their_target(
    tmp_path, fault
):
    """Guards against bodies without end that no other target's body shows as such."""
    async with running_fleet(tmp_path) as fleet:
        endless, since_s = fleet.targets[0], time.monotonic()
        endless.fault = fault
        calls = Calls(fleet)
        await calls.run(120, ("POST",))
        await run_until_ejection_is_due(calls, endless, since_s)
        assert_ejected_in_time(fleet, endless, since_s)
        assert max(map(fleet.ran, calls.orders)) == 1


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_long_bodies_pass_and_eject_no_target(tmp_path, is_chunked):
    """Guards against bounds that cut honest bodies, or eject who sends them."""
    async with running_fleet(tmp_path, gateways=1) as fleet:
        await Calls(fleet).run(20)
        for target in fleet.targets:
            target.is_chunked, target.long_bytes = is_chunked, LONG_BYTES
        for number in range(3):
            status, body, _ = await fleet.call(f"/pages/longpage{number}")
            assert (status, len(body)) == (OK, LONG_BYTES)
        assert not ejections_s(fleet)


@pytest.mark.parametrize("is_chunked", [False, True])
async def test_slow_callers_eject_no_target(tmp_path, is_chunked):
    """Guards against callers whose slow reading counts against their targets."""
    async with running_fleet(tmp_path, gateways=1) as fleet:
        await Calls(fleet).run(20)
        for target in fleet.targets:
            target.is_chunked, target.long_bytes = is_chunked, 8 << 20
        callers = [SlowCaller(number) for number in range(12)]
        for caller in callers:
            await caller.send(fleet)
        async with asyncio.timeout(DEADLINE_S + 20.0):
            await asyncio.gather(*(caller.read(0.05) for caller in callers))
        assert all(caller.is_cut for caller in callers)
        assert not ejections_s(fleet)
        counts = await exceeded(fleet)
        assert not counts["body-time"] and not counts["body-bytes"]
