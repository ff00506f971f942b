"""Send requests through virtual fleets to targets that report a rate limit."""

import asyncio

import logbook
import pytest

from crocusspindle.clock import now_ms
from crocusspindle.core.rate_limit import BURST_S
from crocusspindle.ids import ServiceId
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run
from crocusspindle_standins.virtual.traffic import Arrivals, Callers, ServiceLoad

SERVICE = ServiceId("service-0")
LOAD = ServiceLoad(SERVICE, rate_per_s=170.0)
SIZES = [HostSize(200.0, 2.15)] * 2 + [HostSize(10.0, 0.43)] * 22
TARGETS = 40
LIMIT_PER_S = 3.0
WINDOW_S = 5.0
MOST_IN_WINDOW = LIMIT_PER_S * (WINDOW_S + BURST_S) + 1.0
CALM_S = 10.0
CHANGED_S = 10.0
NOTICED_AFTER_S = 5.0
"""Time after which a limit that a target reports no longer must be out of force."""

UNLIMITED_WINDOW_S = 4.0
LEAST_UNLIMITED = LIMIT_PER_S * UNLIMITED_WINDOW_S + 5.0


@pytest.fixture
def arrivals_after(monkeypatch):
    """Return a function that plays a change; it returns the arrivals and its time."""

    def run_one(change, seed: int) -> tuple[Arrivals, float]:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))
        fleet = VirtualFleet(loop, SIZES, TARGETS, seed)
        callers = Callers(fleet, seed)
        callers.targets.limit_per_s[SERVICE] = LIMIT_PER_S
        times_ms = []

        async def play() -> None:
            await fleet.start_all()
            await asyncio.sleep(6.0)
            length_s = CALM_S + CHANGED_S
            sending = asyncio.create_task(callers.send(LOAD, length_s))
            await asyncio.sleep(CALM_S)
            # The limits are known by now.
            times_ms.append(now_ms())
            change(fleet, callers)
            await sending

        with logbook.NullHandler().applicationbound():
            run(loop, play())
        return callers.arrivals, times_ms[0]

    return run_one


def leave_alone(fleet: VirtualFleet, callers: Callers) -> None:
    """Change nothing."""


def cut_domains(fleet: VirtualFleet, callers: Callers) -> None:
    """Cut two failure domains from the other two; all reach targets and store."""
    sides = {
        node.address.ip: node.address.domain < "c" for node in fleet.nodes.values()
    }
    fleet.network.is_cut = lambda one, other: sides[one] != sides[other]


def lift_limits(fleet: VirtualFleet, callers: Callers) -> None:
    """Let the targets report no limit any more."""
    callers.targets.limit_per_s.clear()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("change", [leave_alone, cut_domains])
def test_hosts_together_keep_to_the_rate_limit_of_a_target(
    arrivals_after, change, seed
):
    """Guards against placers that each use a target's whole limit."""
    arrivals, changed_ms = arrivals_after(change, seed)
    most = arrivals.max_at_targets(changed_ms, WINDOW_S * 1e3)
    assert 0.8 * LIMIT_PER_S * WINDOW_S <= most <= MOST_IN_WINDOW


@pytest.mark.parametrize("seed", range(2))
def test_targets_that_report_no_limit_any_more_get_full_load_again(
    arrivals_after, seed
):
    """Guards against a limit that stays in force after a target stops reporting it."""
    arrivals, lifted_ms = arrivals_after(lift_limits, seed)
    from_ms = lifted_ms + NOTICED_AFTER_S * 1e3
    until_ms = from_ms + UNLIMITED_WINDOW_S * 1e3
    counts = [
        sum(from_ms <= at_ms < until_ms for at_ms in times_ms)
        for times_ms in arrivals.at_target_ms.values()
    ]
    assert min(counts) > LEAST_UNLIMITED
