"""Repeat requests that crash every target that runs them."""

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
CRASHES_BEFORE_DETECTION = 3
"""Targets that a request may crash before the fleet has to quarantine it."""

DETECTION_S = 3.0
MAX_ATTEMPTS_AFTER_DETECTION = 3
"""Attempts that a request may get after detection."""

MIN_SERVED_FRACTION = 0.95
REPEAT_INTERVAL_S = 0.3
CALL_INTERVAL_S = 0.02


@dataclass
class Callers:
    """Send a fleet distinct harmless requests and count the response statuses."""

    fleet: Fleet
    statuses: Counter[int] = field(default_factory=Counter)
    number: int = 0

    async def keep_calling(self) -> None:
        """Send requests at a constant rate."""
        async with asyncio.TaskGroup() as group:
            while True:
                self.number += 1
                group.create_task(self._call(self.number))
                await asyncio.sleep(CALL_INTERVAL_S)

    async def _call(self, number: int) -> None:
        gateway = number % len(self.fleet.gateways)
        status, _, _ = await self.fleet.call(f"/pages/{number}", gateway=gateway)
        self.statuses[status] += 1

    @property
    def served_fraction(self) -> float:
        """Return the fraction of requests that were served."""
        return self.statuses[200] / self.statuses.total()


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start(GATEWAYS, TARGETS)
        yield started
    finally:
        await started.stop()


async def repeat_request(
    fleet: Fleet, path: str, method: str, for_s: float
) -> Counter[int]:
    """Send the same request to one gateway after the other; count the statuses."""
    statuses: Counter[int] = Counter()
    for number in range(round(for_s / REPEAT_INTERVAL_S)):
        status, _, headers = await fleet.call(path, method, number % GATEWAYS)
        statuses[status] += 1
        if status == 503:
            assert float(headers["Retry-After"]) > 0.0
        await asyncio.sleep(REPEAT_INTERVAL_S)
    return statuses


def attempts_after_detection(fleet: Fleet) -> int:
    """Return the number of attempts after the time limit for detection."""
    times = sorted(crash.at_s for t in fleet.targets for crash in t.crashes)
    if len(times) < CRASHES_BEFORE_DETECTION:
        return 0
    detected_s = times[CRASHES_BEFORE_DETECTION - 1] + DETECTION_S
    return sum(at_s > detected_s for at_s in times)


@pytest.mark.parametrize(("prefix", "method"), [("pages", "GET"), ("orders", "POST")])
async def test_a_request_that_crashes_its_targets_is_quarantined(fleet, prefix, method):
    """Guards against a repeated request that crashes one target after the other."""
    callers = Callers(fleet)
    calling = asyncio.create_task(callers.keep_calling())
    await repeat_request(fleet, f"/{prefix}/{CRASHING}", method, for_s=10.0)
    calling.cancel()
    assert attempts_after_detection(fleet) <= MAX_ATTEMPTS_AFTER_DETECTION
    assert callers.served_fraction >= MIN_SERVED_FRACTION


async def test_the_quarantine_survives_a_kill_of_the_whole_fleet(fleet):
    """Guards against crash records held only in memory and lost with all processes."""
    path = f"/pages/{CRASHING}"
    await repeat_request(fleet, path, "GET", for_s=4.0)
    for gateway in fleet.gateways:
        assert gateway.process is not None
        gateway.process.kill()
        await gateway.process.wait()
    for gateway in fleet.gateways:
        await fleet.run(gateway)
    await fleet.until_ready()
    await repeat_request(fleet, path, "GET", for_s=5.0)
    assert attempts_after_detection(fleet) <= MAX_ATTEMPTS_AFTER_DETECTION


async def test_an_operator_lists_held_requests_and_frees_one(fleet):
    path = f"/pages/{CRASHING}"
    await repeat_request(fleet, path, "GET", for_s=2.0)
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
            target.survives_crashing_requests = True
        await free_request(platform, entry["content"])
        assert await held_requests(platform) == []
    async with asyncio.timeout(3.0):
        while (await fleet.call(path))[0] != 200:
            await asyncio.sleep(0.1)
