"""Tests of the helpers of the benchmark of demanding loads, without processes."""

import asyncio
from collections import Counter
from dataclasses import replace

import aiohttp
import pytest

from benchmarks.hard_load import LOADS, missed_bounds, rows_of
from benchmarks.hard_load_callers import Outcome, arrivals
from crocusspindle_standins.on_platform.target import PlatformTarget, response_body

SERVED = Outcome("small", "small-0", 200, "", 0.3, 0.8)
REFUSED = replace(SERVED, status=503, reason="full")
LATE = replace(SERVED, customer="small-1", latency_s=0.9)
LOAD = LOADS[1]


def test_a_seed_always_gives_the_same_arrivals_at_the_planned_rates():
    planned = arrivals(LOAD, 100.0, seed=1)
    assert planned == arrivals(LOAD, 100.0, seed=1) != arrivals(LOAD, 100.0, seed=2)
    sent = Counter(arrival.stream.customer for arrival in planned)
    for stream in LOAD.streams:
        due = stream.rate_per_s * 100.0
        assert abs(sent[stream.customer] - due) < 5 * due**0.5


def test_a_late_or_refused_request_does_not_count_as_on_time():
    (row,) = rows_of("c", "load", [SERVED, SERVED, REFUSED, LATE], 50.0)
    assert (row.requests, row.on_time, row.worst_on_time) == (4, 0.5, 0.0)
    assert (row.served, row.late, row.not_served) == (0.75, 1, "503 full: 1")


@pytest.mark.parametrize(
    ("bound", "load", "missed"),
    [(0.5, "load", 0), (0.51, "load", 1), (0.1, "not played", 1)],
)
def test_a_bound_that_is_missed_or_not_measured_is_reported(bound, load, missed):
    rows = rows_of("c", "load", [SERVED, REFUSED], 50.0)
    assert len(missed_bounds(rows, {load: {"small": bound}})) == missed


def test_a_run_with_a_late_load_generator_is_reported():
    rows = rows_of("c", "load", [replace(SERVED, lag_s=0.2)], 50.0)
    assert len(missed_bounds(rows, {"load": {"small": 0.5}})) == 1


def test_a_response_body_has_the_length_that_its_path_names():
    assert response_body("/pages/1", b"x") == b"answer to /pages/1 x"
    assert len(response_body("/pages/1?response_bytes=900000", b"")) == 900_000


async def _run_times_s(target: PlatformTarget, requests: int) -> list[float]:
    """Return when each of some requests that are sent at once was answered."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def call(session: aiohttp.ClientSession, number: int) -> float:
        headers = {"X-Expected-Instance": "t0", "X-Request-Id": f"r{number}"}
        url = f"http://{target.address}/"
        async with session.get(url, headers=headers) as response:
            assert response.status == 200
            await response.read()
        return loop.time() - began_s

    await target.start("127.0.0.1")
    try:
        async with aiohttp.ClientSession() as session:
            calls = (call(session, number) for number in range(requests))
            return sorted(await asyncio.gather(*calls))
    finally:
        await target.stop()


async def test_a_target_slows_down_only_when_its_last_slot_is_taken():
    free = PlatformTarget("t0", "s", "a", slots=2, work_s=0.05, full_slowdown=1_000.0)
    assert max(await _run_times_s(free, 1)) < 25.0
    full = PlatformTarget("t0", "s", "a", slots=1, work_s=0.05, full_slowdown=4.0)
    assert max(await _run_times_s(full, 1)) > 0.19


async def test_a_target_that_limits_runs_serves_no_more_at_once_than_its_slots():
    """Guards against a fleet that gains capacity by sending more than the slots."""
    target = PlatformTarget("t0", "s", "a", slots=2, work_s=0.1, limits_runs=True)
    assert (await _run_times_s(target, 6))[-1] > 0.29
