"""Tests of gateways that lose their paths to targets and still reach all else."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import pytest

from crocusspindle_standins.on_platform.fleet import Fleet
from crocusspindle_standins.on_platform.partitioned import (
    CutMode,
    end_cut,
    write_cut,
)
from crocusspindle_standins.on_platform.separate_targets import TargetProcess

GATEWAYS = 6
CUT_OFF = 4
TARGETS = 8
CALLS_PER_S = 80.0
CATCH_UP_S = 0.1
FAST_S = 3.0
"""Time after a cut began from which its callers must be served nearly as often."""

OK = 200
MIN_SERVED = 2 / 3
WELL_SERVED = 0.97


@dataclass
class Served:
    """Count responses by gateway and status."""

    statuses: dict[int, Counter[int]] = field(default_factory=dict)

    def add(self, gateway: int, status: int) -> None:
        """Count one response."""
        self.statuses.setdefault(gateway, Counter())[status] += 1

    def fraction(self, gateways) -> float:
        """Return the fraction of requests through some gateways that were served."""
        total: Counter[int] = Counter()
        for gateway in gateways:
            total += self.statuses.get(gateway, Counter())
        return total[OK] / max(1, total.total())


@pytest.fixture
async def fleet(tmp_path):
    program = "crocusspindle_standins.on_platform.partitioned"
    with TargetProcess() as process:
        started = Fleet(tmp_path, program=program, make_target=process.target)
        try:
            await started.start(GATEWAYS, TARGETS)
            for target in started.targets:
                target.work_s = 0.05
            yield started
        finally:
            await started.stop()


def cut_off(fleet: Fleet, gateways, mode: CutMode, targets=None) -> None:
    """Cut gateways off from some targets, by default from all."""
    addresses = [target.address for target in targets or fleet.targets]
    for gateway in gateways:
        write_cut(fleet.gateways[gateway].settings, mode, addresses)


def heal(fleet: Fleet) -> None:
    """End all cuts."""
    for gateway in fleet.gateways:
        end_cut(gateway.settings)


async def call_steadily(fleet: Fleet, for_s: float, method="GET", **options) -> Served:
    """Send requests through all gateways in turn; count the responses."""
    served = Served()
    path = "/pages/" if method == "GET" else "/orders/"

    async def call(number: int) -> None:
        gateway = number % len(fleet.gateways)
        status, _, _ = await fleet.call(
            f"{path}{number}", method, gateway=gateway, **options
        )
        served.add(gateway, status)

    due_s = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(round(for_s * CALLS_PER_S)):
            group.create_task(call(number))
            # Callers that stood still don't send all that is due in one burst.
            due_s = max(due_s, time.monotonic() - CATCH_UP_S) + 1.0 / CALLS_PER_S
            await asyncio.sleep(due_s - time.monotonic())
    return served


def assert_each_ran_once(fleet: Fleet) -> None:
    """Check that no request ran twice."""
    ran: Counter[str] = Counter()
    for target in fleet.targets:
        ran += target.ran
    assert not [request for request, times in ran.items() if times > 1]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("mode", list(CutMode))
async def test_a_gateway_with_paths_keeps_its_targets(fleet, mode, method):
    """Guards against hosts without paths that eject all targets for the others."""
    await call_steadily(fleet, 1.0, method)
    cut_off(fleet, range(CUT_OFF), mode)
    first = await call_steadily(fleet, FAST_S, method)
    served = await call_steadily(fleet, 2.0, method)
    assert served.fraction(range(CUT_OFF, GATEWAYS)) >= WELL_SERVED
    assert first.fraction(range(CUT_OFF, GATEWAYS)) >= MIN_SERVED


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("mode", list(CutMode))
async def test_callers_of_a_gateway_without_paths_are_served(fleet, mode, method):
    """Guards against hosts without paths that refuse what other hosts could serve."""
    await call_steadily(fleet, 1.0, method)
    cut_off(fleet, range(CUT_OFF), mode)
    await call_steadily(fleet, FAST_S, method)
    served = await call_steadily(fleet, 3.0, method)
    heal(fleet)
    assert served.fraction(range(CUT_OFF)) >= WELL_SERVED
    if method == "POST":
        assert_each_ran_once(fleet)
    await asyncio.sleep(1.5)
    healed = await call_steadily(fleet, 1.0, method)
    assert healed.fraction(range(GATEWAYS)) >= WELL_SERVED
