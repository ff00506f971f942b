"""Send requests that end each target that runs them, again and again."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import pytest

from crocusspindle.errors import InvalidInputError
from crocusspindle.gateway.held_requests import (
    free_request,
    held_requests,
    open_platform,
)
from crocusspindle_standins.on_platform.fleet import Fleet
from crocusspindle_standins.on_platform.target import CRASHING

GATEWAYS = 4
TARGETS = 12
CRASHES_FREE = 3
"""A request may end as many targets before the fleet has to know it."""

KNOWN_WITHIN_S = 3.0
RETRIES_MOST = 3
"""Sendings allowed to a request from then on."""

SERVED_LEAST = 0.95
AGAIN_S = 0.3
CALL_EACH_S = 0.02


@dataclass
class Callers:
    """Send a fleet other requests, each its own, and count the answers."""

    fleet: Fleet
    statuses: Counter[int] = field(default_factory=Counter)
    number: int = 0

    async def keep_calling(self) -> None:
        """Send requests at an even pace."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.number += 1
                group.create_task(self._call(self.number))
                await asyncio.sleep(CALL_EACH_S)

    async def _call(self, number: int) -> None:
        gateway = number % len(self.fleet.gateways)
        status, _, _ = await self.fleet.call(f"/pages/{number}", gateway=gateway)
        self.statuses[status] += 1

    @property
    def served(self) -> float:
        """Return the part that was served."""
        return self.statuses[200] / self.statuses.total()


@pytest.fixture
async def fleet(tmp_path):
    made = Fleet(tmp_path)
    try:
        await made.start(GATEWAYS, TARGETS)
        yield made
    finally:
        await made.stop()


async def repeat(fleet: Fleet, path: str, method: str, for_s: float) -> Counter[int]:
    """Send the same request at ever another gateway; count the answers."""
    statuses: Counter[int] = Counter()
    for number in range(round(for_s / AGAIN_S)):
        status, _, headers = await fleet.call(path, method, number % GATEWAYS)
        statuses[status] += 1
        if status == 503:
            assert float(headers["Retry-After"]) > 0.0
        await asyncio.sleep(AGAIN_S)
    return statuses


def retries(fleet: Fleet) -> int:
    """Return how many sendings came after the fleet had to know the request."""
    times = sorted(crash.at_s for t in fleet.targets for crash in t.crashes)
    if len(times) < CRASHES_FREE:
        return 0
    known_s = times[CRASHES_FREE - 1] + KNOWN_WITHIN_S
    return sum(at_s > known_s for at_s in times)


@pytest.mark.parametrize(("prefix", "method"), [("pages", "GET"), ("orders", "POST")])
async def test_a_request_that_crashes_its_targets_is_not_sent_for_ever(
    fleet, prefix, method
):
    """Guards against a repeated request that ends one target after the other."""
    callers = Callers(fleet)
    calling = asyncio.create_task(callers.keep_calling())
    await repeat(fleet, f"/{prefix}/{CRASHING}", method, for_s=10.0)
    calling.cancel()
    assert retries(fleet) <= RETRIES_MOST
    assert callers.served >= SERVED_LEAST


async def test_a_fleet_that_was_killed_still_knows_the_request(fleet):
    """Guards against what only processes knew, and forgot with the whole fleet."""
    path = f"/pages/{CRASHING}"
    await repeat(fleet, path, "GET", for_s=4.0)
    for gateway in fleet.gateways:
        assert gateway.process is not None
        gateway.process.kill()
        await gateway.process.wait()
    for gateway in fleet.gateways:
        await fleet.run(gateway)
    await fleet.until_ready()
    await repeat(fleet, path, "GET", for_s=5.0)
    assert retries(fleet) <= RETRIES_MOST


async def test_an_operator_lists_held_requests_and_frees_one(fleet):
    path = f"/pages/{CRASHING}"
    await repeat(fleet, path, "GET", for_s=2.0)
    settings = str(fleet.gateways[0].settings)
    async with open_platform(settings) as platform:
        async with asyncio.timeout(3.0):
            while not (held := await held_requests(platform)):
                await asyncio.sleep(0.1)
        (entry,) = held
        assert len(entry["targets"]) >= 2
        with pytest.raises(InvalidInputError, match="nothing-like-it"):
            await free_request(platform, "nothing-like-it")
        for target in fleet.targets:
            target.withstands = True
        await free_request(platform, entry["content"])
        assert await held_requests(platform) == []
    async with asyncio.timeout(3.0):
        while (await fleet.call(path))[0] != 200:
            await asyncio.sleep(0.1)
