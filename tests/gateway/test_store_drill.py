"""Restore the store from a copy while real processes serve callers."""

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import pytest

from crocusspindle_standins.on_platform.fleet import (
    GUEST_KEY,
    KEY,
    Fleet,
    configuration,
)
from crocusspindle_standins.on_platform.store import StoreCopy, StoreMode

GATEWAYS = 6
TARGETS = 6
CALLS_PER_S = 60.0
AWAY_S = 0.8
SERVED_FROM_S = 1.0
"""Time after the store's return from which callers are served as before."""

WELL_SERVED = 0.98
READ_S = 1.2
"""Time in which hosts learn the store's newest version."""

CHANGES_AFTER_S = 3.2
VIEW_CHANGES_S = 3.5
"""Time in which killed hosts are removed from the view."""

SETTLED_S = 4.0
"""Time after the store's return in which the fence of a previous keeper ends."""

PER_S, BURST = 20.0, 20.0
WELL_SERVED_QUOTA = 0.9
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
DRAIN_S = 2.0
REVOCATION_S = 5.0
OK = 200


@dataclass(frozen=True, slots=True)
class Call:
    """Record when a request was sent, with which key, and its status."""

    sent_s: float
    key: str
    status: int


@dataclass
class Callers:
    """Send requests steadily, one in seven of them with the guest's key.

    Gateways before ``from_gateway`` get none.
    """

    fleet: Fleet
    from_gateway: int = 0
    guest_share: int = 7
    calls: list[Call] = field(default_factory=list)

    async def run(self, for_s: float) -> None:
        """Send requests through all gateways in turn."""
        began_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(round(for_s * CALLS_PER_S)):
                group.create_task(self._call(number))
                due_s = began_s + (number + 1) / CALLS_PER_S
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _call(self, number: int) -> None:
        sent_s = time.monotonic()
        is_guest = self.guest_share and number % self.guest_share == 0
        key = GUEST_KEY if is_guest else KEY
        gateway = self.from_gateway + number % (GATEWAYS - self.from_gateway)
        status, _, _ = await self.fleet.call(
            f"/pages/{number}", gateway=gateway, key=key
        )
        self.calls.append(Call(sent_s, key, status))

    def served(self, since_s: float) -> float:
        """Return the fraction of the club's requests since a time that were served."""
        statuses = Counter(
            call.status
            for call in self.calls
            if call.sent_s >= since_s and call.key == KEY
        )
        return statuses[OK] / max(1, statuses.total())

    def last_served(self, key: str) -> float:
        """Return when the last request with a key was sent that was served."""
        return max(c.sent_s for c in self.calls if c.key == key and c.status == OK)


def document(version: int, with_guest: bool = True):
    """Return a configuration with or without the guest's key."""
    found = configuration(version)
    if with_guest:
        limits = {"per_s": 500, "burst": 500}
        found["tenants"]["guest"] = {"api_keys": [GUEST_KEY], **limits}
    return found


@pytest.fixture
async def fleet(tmp_path):
    started = Fleet(tmp_path)
    try:
        await started.start(GATEWAYS, TARGETS)
        await started.configure(document(2))
        yield started
    finally:
        await started.stop()


async def lose_versions(fleet: Fleet, count: int) -> StoreCopy:
    """Copy the store, then write so many rows that the copy lacks, all read."""
    copy = fleet.store.copy()
    for number in range(count):
        await fleet.store.put("notes", f"note-{number}", b"")
    await asyncio.sleep(READ_S)
    return copy


async def drill(fleet: Fleet, copy: StoreCopy) -> float:
    """Let the store be away and come back from a copy; return when it came back."""
    fleet.store.mode = StoreMode.RESETS
    await asyncio.sleep(AWAY_S)
    await fleet.store.restore(copy)
    fleet.store.mode = StoreMode.HEALTHY
    return time.monotonic()


async def count_ready(fleet: Fleet) -> int:
    """Return how many gateways say that they are ready."""
    return sum([await fleet.is_ready(gateway) for gateway in fleet.gateways])


@pytest.mark.parametrize("era", [1, 1_795_000_000])
@pytest.mark.parametrize("lost_versions", [3, 70, 670])
async def test_fleet_serves_after_the_store_was_restored(fleet, lost_versions, era):
    """Guards against hosts that refuse the store's answers until its versions have
    passed the old ones, and miss what is written under versions given out again.
    """
    fleet.store.era = era
    callers = Callers(fleet)
    copy = await lose_versions(fleet, lost_versions)
    running = asyncio.create_task(callers.run(AWAY_S + 14.0))
    back_s = await drill(fleet, copy)
    await asyncio.sleep(CHANGES_AFTER_S)
    leaving = fleet.targets[0]
    await leaving.write_entry(fleet.store, "draining")
    left_s = time.monotonic()
    await fleet.configure(document(3, with_guest=False))
    revoked_s = time.monotonic()
    await running
    assert callers.served(back_s + SERVED_FROM_S) >= WELL_SERVED
    assert max(leaving.arrival_times_s) <= left_s + DRAIN_S
    assert callers.last_served(GUEST_KEY) <= revoked_s + REVOCATION_S
    assert await count_ready(fleet) == GATEWAYS


async def test_fleet_serves_after_two_restores(fleet):
    """Guards against a second restore that is taken for the first one."""
    callers = Callers(fleet)
    running = asyncio.create_task(callers.run(14.0))
    for _ in range(2):
        back_s = await drill(fleet, await lose_versions(fleet, 300))
        await asyncio.sleep(4.0)
        assert callers.served(back_s + SERVED_FROM_S) >= WELL_SERVED
    await running
    assert callers.served(back_s + SERVED_FROM_S) >= WELL_SERVED
    assert await count_ready(fleet) == GATEWAYS


async def test_lost_writes_stay_in_force_until_they_are_written_again(fleet):
    """Guards against a copy that takes back a withdrawn key or a leaving target.

    The operator and the target write again only seconds later.
    """
    callers = Callers(fleet)
    running = asyncio.create_task(callers.run(12.0))
    await asyncio.sleep(0.5)
    copy = fleet.store.copy()
    leaving = fleet.targets[0]
    await leaving.write_entry(fleet.store, "draining")
    left_s = time.monotonic()
    await fleet.configure(document(3, with_guest=False))
    revoked_s = time.monotonic()
    await asyncio.sleep(1.0)
    fleet.writes_entries = False
    back_s = await drill(fleet, copy)
    await asyncio.sleep(3.0)
    await fleet.configure(document(3, with_guest=False))
    await leaving.write_entry(fleet.store)
    await running
    assert callers.served(back_s + SERVED_FROM_S) >= WELL_SERVED
    assert max(leaving.arrival_times_s) <= left_s + DRAIN_S
    assert callers.last_served(GUEST_KEY) <= revoked_s + REVOCATION_S
    assert await count_ready(fleet) == GATEWAYS


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Return the largest number of times within any window."""
    times_s, first, most = sorted(times_s), 0, 0
    for number, time_s in enumerate(times_s):
        while times_s[first] <= time_s - window_s:
            first += 1
        most = max(most, number - first + 1)
    return most


@pytest.mark.parametrize("killed", [0, 1, 3])
async def test_quota_holds_over_a_restore_in_the_middle_of_a_change_of_view(
    fleet, killed
):
    """Guards against two hosts that keep one customer, or buckets that fill twice.

    Hosts are killed between the copy and the restore, so that the store loses the views
    without them, and come back while it is away.
    """
    limited = document(3)
    limited["tenants"]["club"] |= {"per_s": PER_S, "burst": BURST}
    await fleet.configure(limited)
    await asyncio.sleep(WINDOW_S + READ_S)
    for target in fleet.targets:
        target.arrival_times_s.clear()
    callers = Callers(fleet, from_gateway=killed, guest_share=0)
    running = asyncio.create_task(callers.run(14.0))
    await asyncio.sleep(1.0)
    copy = await lose_versions(fleet, 5)
    for gateway in fleet.gateways[:killed]:
        gateway.process.kill()
        await gateway.process.wait()
    await asyncio.sleep(VIEW_CHANGES_S if killed else 0.0)
    for gateway in fleet.gateways[:killed]:
        await fleet.run(gateway)
    back_s = await drill(fleet, copy)
    await running
    settled_s = back_s + SETTLED_S
    arrivals = [at_s for target in fleet.targets for at_s in target.arrival_times_s]
    quota = PER_S * WINDOW_S + BURST
    assert most_in_window(arrivals, WINDOW_S) <= quota * (1 + OVERSHOOT) + SLACK
    settled = [call for call in callers.calls if call.sent_s >= settled_s]
    length_s = callers.calls[-1].sent_s - settled_s
    served = sum(call.status == OK for call in settled)
    assert served >= WELL_SERVED_QUOTA * PER_S * length_s
