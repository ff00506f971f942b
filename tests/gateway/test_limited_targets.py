"""Send a fleet more than some of its targets say that they take."""

import asyncio
from bisect import bisect_left
from collections import Counter

import pytest

from crocusspindle_standins.on_platform.fleet import Fleet

GATEWAYS = 4
CALLS_PER_S = 40.0
LIMITED = 2
LIMIT_PER_S = 1.0
TOLD_S = 3.0
"""From then on after its first limit, a target gets no more than it allows."""

WINDOW_S = 4.0
MOST = 1.5 * LIMIT_PER_S * WINDOW_S + 5.0
SERVED_LEAST = 0.98


@pytest.fixture
async def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        await made.start(GATEWAYS, targets=4)
        yield made
    finally:
        await made.stop()


async def call_for(fleet: Fleet, for_s: float) -> Counter[int]:
    """Send requests through all gateways that run; count the answers."""
    statuses: Counter[int] = Counter()

    async def call(number: int) -> None:
        running = [
            place
            for place, gateway in enumerate(fleet.gateways)
            if gateway.process is not None and gateway.process.returncode is None
        ]
        gateway = running[number % len(running)]
        statuses[(await fleet.call(f"/pages/{number}", gateway=gateway))[0]] += 1

    async with asyncio.TaskGroup() as group:
        for number in range(round(for_s * CALLS_PER_S)):
            group.create_task(call(number))
            await asyncio.sleep(1.0 / CALLS_PER_S)
    return statuses


def limit(fleet: Fleet, text: str | None) -> None:
    """Let some targets name a limit, or none."""
    for target in fleet.targets[:LIMITED]:
        target.limit = text


def most_in_a_window(fleet: Fleet, from_s: float) -> int:
    """Return the most that a limited target got in a window that begins later."""
    most = 0
    for target in fleet.targets[:LIMITED]:
        times = target.arrived_s
        for place in range(bisect_left(times, from_s), len(times)):
            most = max(most, bisect_left(times, times[place] + WINDOW_S) - place)
    return most


async def test_targets_get_no_more_than_they_say_that_they_take(fleet):
    """Guards against a limit that nobody reads, or each host for itself."""
    limit(fleet, str(LIMIT_PER_S))
    began_s = asyncio.get_running_loop().time()
    statuses = await call_for(fleet, for_s=12.0)
    assert most_in_a_window(fleet, began_s + TOLD_S) <= MOST
    assert statuses[200] >= SERVED_LEAST * statuses.total()


async def test_a_limit_outlives_the_host_that_kept_it(fleet):
    """Guards against a placer that takes over and starts from nothing."""
    limit(fleet, str(LIMIT_PER_S))
    began_s = asyncio.get_running_loop().time()
    await call_for(fleet, for_s=5.0)
    placer = next(
        gateway
        for gateway in fleet.gateways
        if any(line["message"] == "places for a service" for line in gateway.lines())
    )
    assert placer.process is not None
    placer.process.kill()
    await placer.process.wait()
    await call_for(fleet, for_s=7.0)
    assert most_in_a_window(fleet, began_s + TOLD_S) <= MOST


async def test_a_target_that_names_no_limit_any_more_gets_its_part_again(fleet):
    """Guards against a limit that holds for ever."""
    limit(fleet, str(LIMIT_PER_S))
    await call_for(fleet, for_s=4.0)
    limit(fleet, None)
    await call_for(fleet, for_s=5.0)
    counts = [len(target.arrived_s) for target in fleet.targets]
    await call_for(fleet, for_s=4.0)
    got = [len(t.arrived_s) - n for t, n in zip(fleet.targets, counts, strict=True)]
    assert min(got) > LIMIT_PER_S * 4.0 + 5.0
