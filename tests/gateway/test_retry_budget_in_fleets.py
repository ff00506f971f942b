"""Retry requests through virtual fleets and check the budget at the targets."""

import asyncio
import random

import logbook
import pytest

from crocusspindle.clock import now_ms
from crocusspindle.gateway.placer_ranks import MAX_PLACERS
from crocusspindle.gateway.settings import Bounds
from crocusspindle.ids import ServiceId
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run
from crocusspindle_standins.virtual.traffic import Callers, ServiceLoad

SERVICE = ServiceId("service-0")
BOUNDS = Bounds()
LOAD = ServiceLoad(SERVICE, rate_per_s=170.0)
SIZES = [HostSize(200.0, 2.15)] * 2 + [HostSize(10.0, 0.43)] * 22
TARGETS = 150
CALM_S = 12.0
REFUSED_S = 16.0
MIN_USED = 0.8
"""A play that uses less of the budget says nothing about its bound."""


class Play:
    """Send requests to a fleet whose targets start to refuse some of them."""

    def __init__(self, loop: VirtualLoop, seed: int, refused_share: float) -> None:
        self.fleet = VirtualFleet(loop, SIZES, TARGETS, seed)
        self.callers = Callers(self.fleet, seed)
        self.rng = random.Random(f"disturbances {seed}")
        self._refused_share = refused_share
        self._refused_until_ms = 0.0

    @property
    def is_refusing(self) -> bool:
        """Return True while targets refuse requests."""
        return now_ms() < self._refused_until_ms

    def placers(self) -> list[str]:
        """Return the hosts that place, by the view of one member."""
        node = next(iter(self.fleet.nodes.values()))
        ranked = node.placers.ranks.ranked(SERVICE)[:MAX_PLACERS]
        return [name for name in ranked if name in self.fleet.nodes]

    async def play(self, disturb) -> None:
        """Start the fleet, send requests, and disturb it while targets refuse."""
        await self.fleet.start_all()
        await asyncio.sleep(6.0)
        sending = asyncio.create_task(self.callers.send(LOAD, CALM_S + REFUSED_S))
        await asyncio.sleep(CALM_S)
        self._refused_until_ms = now_ms() + REFUSED_S * 1e3
        self.callers.targets.refused_share[SERVICE] = self._refused_share
        disturbing = asyncio.create_task(disturb(self))
        await sending
        await disturbing
        await asyncio.sleep(5.0)

    def assert_within_budget(self) -> None:
        """Check all windows at the targets."""
        arrivals = self.callers.arrivals
        allowed = BOUNDS.budget_ratio * LOAD.rate_per_s * BOUNDS.budget_window_ms / 1e3
        excess = arrivals.max_excess(SERVICE, BOUNDS)
        assert excess <= 0.0
        assert excess >= -(1.0 - MIN_USED) * (allowed + BOUNDS.budget_extra)

    def first_placers(self, count: int) -> list[str]:
        """Return the hosts that one member ranks first."""
        node = next(iter(self.fleet.nodes.values()))
        return list(node.placers.ranks.ranked(SERVICE)[:count])


@pytest.fixture
def run_play(monkeypatch):
    """Return a function that plays one disturbance in virtual time."""

    def run_one(disturb, seed: int, refused_share: float = 0.5) -> None:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))
        play = Play(loop, seed, refused_share)
        with logbook.NullHandler().applicationbound():
            run(loop, play.play(disturb))
        play.assert_within_budget()

    return run_one


async def cut_domains(play: Play) -> None:
    """Cut two failure domains from the other two; all reach targets and store."""
    sides = {
        node.address.ip: node.address.domain < "c" for node in play.fleet.nodes.values()
    }
    play.fleet.network.is_cut = lambda one, other: sides[one] != sides[other]
    await asyncio.sleep(8.0)
    play.fleet.network.is_cut = lambda one, other: False


async def restart_placers(play: Play) -> None:
    """Kill and start the hosts that place, one view after the other."""
    while play.is_refusing:
        names = [name for name in play.placers() if play.rng.random() < 0.5]
        for name in names:
            await play.callers.kill(name)
        await asyncio.sleep(play.rng.uniform(0.1, 0.5))
        for name in names:
            await play.fleet.start(name)
        await asyncio.sleep(play.rng.uniform(0.1, 0.5))


async def slow_placers(play: Play) -> None:
    """Let the hosts that place handle messages too late, by turns."""
    network = play.fleet.network
    while play.is_refusing:
        nodes = play.fleet.nodes
        drawn = (name for name in play.placers() if play.rng.random() < 0.6)
        slow = {nodes[name].address.ip for name in drawn}
        network.delays_s = lambda ip, slow=slow: 0.25 if ip in slow else 0.0
        await asyncio.sleep(0.5)
    network.delays_s = lambda ip: 0.0


async def lose_datagrams(play: Play) -> None:
    """Lose four in ten datagrams."""
    play.fleet.network.is_cut = lambda one, other: play.rng.random() < 0.4
    while play.is_refusing:
        await asyncio.sleep(0.5)
    play.fleet.network.is_cut = lambda one, other: False


@pytest.mark.parametrize("seed", range(2))
def test_placers_that_do_not_hear_each_other_share_one_budget(run_play, seed):
    """Guards against two placers that each spend what all hosts have left unused."""
    run_play(cut_domains, seed)


@pytest.mark.parametrize("disturb", [restart_placers, slow_placers, lose_datagrams])
def test_retries_stay_within_the_budget_while_hosts_change_placers(run_play, disturb):
    """Guards against placers that allow what hosts have used through others."""
    run_play(disturb, seed=1)
