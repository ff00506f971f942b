"""Tests of targets that send Retry-After, or say that they are leaving."""

import asyncio
import time
from collections import Counter

import logbook
import pytest

from crocusspindle.core.configuration import RequestKind
from crocusspindle.ids import ServiceId
from crocusspindle_standins.on_platform.fleet import Fleet
from crocusspindle_standins.on_platform.separate_targets import TargetProcess
from crocusspindle_standins.on_platform.target import PlatformTarget, TargetFault
from crocusspindle_standins.virtual.fleet import HostSize, VirtualFleet
from crocusspindle_standins.virtual.loop import VirtualLoop, VirtualTime, run
from crocusspindle_standins.virtual.traffic import Arrivals, Callers, ServiceLoad

GATEWAYS = 4
CALLERS = 8
OK = 200
NOT_RUN = 503

RETRY_AFTER_S = 3.0
BACKOFF_BEGINS_S = 0.5
"""Time after a refusal from which its Retry-After binds the host that got it."""

LEAVING_KNOWN_S = 1.0
"""Time after the first response that says so in which the fleet learns that a target
is leaving."""


@pytest.fixture
async def fleet(tmp_path):
    with TargetProcess() as process:
        started = Fleet(tmp_path, make_target=process.target)
        try:
            await started.start(GATEWAYS, targets=4)
            yield started
        finally:
            await started.stop()


def refuse_with_retry_after(
    target: PlatformTarget, retry_after_s: float = RETRY_AFTER_S
) -> None:
    """Let a target refuse all requests with Retry-After."""
    target.fault, target.retry_after_s = TargetFault.SHEDS, retry_after_s


def running(fleet: Fleet) -> list[int]:
    """Return the numbers of the gateways whose process runs."""
    return [
        number
        for number, gateway in enumerate(fleet.gateways)
        if gateway.process is not None and gateway.process.returncode is None
    ]


def assert_refused(targets: list[PlatformTarget]) -> None:
    """Check that each target has refused a request with Retry-After."""
    for target in targets:
        assert any(arrival.retry_after_s is not None for arrival in target.arrivals)


async def call_steadily(fleet: Fleet, for_s: float) -> Counter[int]:
    """Let callers send one request after the other; count the response statuses."""
    statuses: Counter[int] = Counter()
    until_s = time.monotonic() + for_s

    async def call(caller: int) -> None:
        number = caller
        while time.monotonic() < until_s:
            gateways = running(fleet)
            gateway = gateways[number % len(gateways)]
            status, _, _ = await fleet.call(f"/pages/{number}", gateway=gateway)
            statuses[status] += 1
            number += CALLERS + 1

    await asyncio.gather(*(call(caller) for caller in range(CALLERS)))
    return statuses


def logged_senders(fleet: Fleet, target: PlatformTarget) -> dict[str, set[str]]:
    """Return which gateways sent each request to a target, by their logs.

    A request that was handed over is not sent by the gateway that its caller used.
    """
    senders: dict[str, set[str]] = {}
    for gateway in fleet.gateways:
        for line in gateway.lines():
            if line["message"] != "request ended":
                continue
            if any(send.get("target") == target.identity for send in line["sends"]):
                senders.setdefault(line["request"], set()).add(gateway.name)
    return senders


def most_in_a_backoff(fleet: Fleet, target: PlatformTarget) -> int:
    """Return the most requests that one gateway sent within one backoff."""
    most = 0
    by_gateway: dict[str, list[tuple[float, float | None]]] = {}
    senders = logged_senders(fleet, target)
    for arrival in target.arrivals:
        used = fleet.sent_through[arrival.request_id]
        for gateway in senders.get(arrival.request_id, {used}):
            times = (arrival.at_s, arrival.retry_after_s)
            by_gateway.setdefault(gateway, []).append(times)
    for arrivals in by_gateway.values():
        for began_s, retry_after_s in arrivals:
            if retry_after_s is None:
                continue
            from_s, to_s = began_s + BACKOFF_BEGINS_S, began_s + retry_after_s
            most = max(most, sum(from_s < at_s < to_s for at_s, _ in arrivals))
    return most


async def test_a_target_gets_nothing_from_a_host_before_its_retry_after_ends(fleet):
    """Guards against a Retry-After that is ignored or soon forgotten."""
    for target in fleet.targets[:2]:
        refuse_with_retry_after(target)
    statuses = await call_steadily(fleet, 10.0)
    assert_refused(fleet.targets[:2])
    assert [most_in_a_backoff(fleet, target) for target in fleet.targets[:2]] == [0, 0]
    assert statuses[OK] >= 0.98 * statuses.total()


async def test_a_backoff_survives_the_loss_of_the_placer(fleet):
    """Guards against a successor placer that knows of no backoff."""
    for target in fleet.targets[:2]:
        refuse_with_retry_after(target)
    await call_steadily(fleet, 4.0)
    placer = next(
        gateway
        for gateway in fleet.gateways
        if any(line["message"] == "places for a service" for line in gateway.lines())
    )
    assert placer.process is not None
    assert_refused(fleet.targets[:2])
    placer.process.kill()
    await placer.process.wait()
    await call_steadily(fleet, 6.0)
    assert [most_in_a_backoff(fleet, target) for target in fleet.targets[:2]] == [0, 0]


async def test_a_target_gets_work_again_after_a_backoff(fleet):
    """Guards against a backoff that never ends."""
    refuse_with_retry_after(fleet.targets[0], 1.0)
    await call_steadily(fleet, 2.0)
    fleet.targets[0].fault = TargetFault.NONE
    await call_steadily(fleet, 2.0)
    before = len(fleet.targets[0].arrivals)
    await call_steadily(fleet, 3.0)
    assert len(fleet.targets[0].arrivals) - before >= 10


async def test_a_request_is_refused_at_once_while_all_targets_want_a_backoff(fleet):
    """Guards against requests that wait for targets they may not use."""
    for target in fleet.targets:
        refuse_with_retry_after(target)
    for number in range(12):
        await fleet.call(f"/pages/{number}")
    before = [len(target.arrivals) for target in fleet.targets]
    began_s = time.monotonic()
    status, _, headers = await fleet.call("/pages/late")
    assert status == NOT_RUN
    assert time.monotonic() - began_s < 0.3
    assert 0.0 < float(headers["Retry-After"]) <= RETRY_AFTER_S
    assert [len(target.arrivals) for target in fleet.targets] == before


async def test_a_target_that_says_it_is_leaving_gets_no_new_work(fleet):
    """Guards against a fleet that goes by the list alone, which says "ready" longer."""
    leaving = fleet.targets[0]
    await call_steadily(fleet, 1.0)
    leaving.is_leaving = True
    said_from_s = time.monotonic()
    statuses = await call_steadily(fleet, 5.0)
    times_s = [at_s for at_s in leaving.arrival_times_s if at_s >= said_from_s]
    assert times_s
    assert not [at_s for at_s in times_s if at_s > times_s[0] + LEAVING_KNOWN_S]
    assert set(statuses) == {OK}


VIRTUAL_SERVICE = ServiceId("service-0")
VIRTUAL_TARGETS = 12
"""Of three services: four each."""

VIRTUAL_LOAD = ServiceLoad(
    VIRTUAL_SERVICE,
    rate_per_s=100.0,
    aim_ms=800.0,
    timeout_ms=2_000.0,
    kind=RequestKind.SAFE,
)


@pytest.fixture
def play(monkeypatch):
    """Return a function that plays ten virtual seconds and returns the arrivals.

    Two of four targets refuse with Retry-After.
    """

    def run_one(seed: int) -> Arrivals:
        loop = VirtualLoop()
        monkeypatch.setattr("crocusspindle.clock.time", VirtualTime(loop))
        fleet = VirtualFleet(loop, [HostSize(100.0)] * GATEWAYS, VIRTUAL_TARGETS, seed)
        callers = Callers(fleet, seed)
        callers.targets.work_ms = 20.0
        names = [
            target.identity
            for target in fleet.listed.values()
            if target.service == VIRTUAL_SERVICE
        ]
        for name in names[:2]:
            callers.targets.retry_after_ms[name] = RETRY_AFTER_S * 1e3

        async def scenario() -> None:
            await fleet.start_all()
            await asyncio.sleep(6.0)
            await callers.send(VIRTUAL_LOAD, 10.0)
            await asyncio.sleep(2.0)

        with logbook.NullHandler().applicationbound():
            run(loop, scenario())
        return callers.arrivals

    return run_one


@pytest.mark.parametrize("seed", range(8))
def test_callers_are_served_while_targets_want_a_backoff(play, seed):
    """Guards against a Retry-After that is forgotten, or that refuses callers."""
    arrivals = play(seed)
    assert len({backoff.target for backoff in arrivals.backoffs}) == 2
    assert arrivals.count_in_backoffs() == 0
    assert set(arrivals.outcomes) == {"answered"}
