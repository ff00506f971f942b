import asyncio
import signal
import time

import pytest

from crocusspindle_standins.callers import Sent, Verdict, most_over_rate


async def hammer(caller, nodes, seconds, records, pause_s=0.004):
    """Send from each of these nodes as fast as answers come."""

    async def one(node):
        number = 0
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            number += 1
            name = f"{node}-{number}-{len(records)}"
            sent_s = time.monotonic()
            status, _, _ = await caller.send(node, test_request=name)
            records.append(
                Sent(
                    name,
                    "ward",
                    "",
                    "desk",
                    "GET",
                    sent_s,
                    time.monotonic(),
                    Verdict.ANSWERED if status == 200 else Verdict.OVER_RATE,
                )
            )
            await asyncio.sleep(pause_s)

    await asyncio.gather(*(one(node) for node in nodes))


async def over(caller, records, rate_per_s, burst):
    executed = await caller.executed()
    return most_over_rate(records, executed.keys(), rate_per_s, burst)


@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(20.0, 20), (1.0, 2), (0.2, 1)], ids=str
)
async def test_no_window_sees_more_than_rate_and_burst(start_fleet, rate_per_s, burst):
    """A tenant sends many times its rate through every entry at once.

    Were each entry to count on its own, it would get three times its rate, and
    others would wait.
    """
    caller = await start_fleet(rate_per_s=rate_per_s, burst=burst)
    records = []
    await hammer(caller, range(3), 5, records)
    assert await over(caller, records, rate_per_s, burst) < 1.0
    served = sum(one.verdict is Verdict.ANSWERED for one in records)
    assert served >= int(rate_per_s * 5 * 0.9)


@pytest.mark.parametrize("kind", ["kill", "pause", "outage"])
async def test_a_lost_holder_makes_no_tokens(start_fleet, kind):
    """A holder of a customer's share is killed, is paused past its lease, or is
    killed while the platform is away.

    Whoever takes its share over must not spend what it may still spend.
    """
    caller = await start_fleet(nodes=5, rate_per_s=20.0, burst=20)
    records = []
    if kind == "outage":
        await caller.fleet.platform(mode="silent")
        await asyncio.sleep(3)
    sending = asyncio.create_task(hammer(caller, range(4), 14, records, 0.02))
    await asyncio.sleep(2)
    lost = caller.fleet.nodes[await first_holder(caller)]
    if kind == "pause":
        lost.running.signal(signal.SIGSTOP)
        await asyncio.sleep(7)
        lost.running.signal(signal.SIGCONT)
    else:
        caller.fleet.kill(lost)
    await sending
    assert await over(caller, records, 20.0, 20) < 1.0
    served = sum(one.verdict is Verdict.ANSWERED for one in records)
    assert served >= 20 * 14 * 0.4


async def first_holder(caller):
    """Return the number of the node that the system names first."""
    addresses = await caller.where(4)
    ports = [node.caller_port for node in caller.fleet.nodes]
    return ports.index(int(addresses[0].rpartition(":")[2]))


async def test_callers_within_the_rate_are_not_refused(start_fleet):
    """A tenant keeps to its rate but uses one entry only, which holds a part of it."""
    caller = await start_fleet(rate_per_s=50.0, burst=50)
    await asyncio.sleep(1)
    found = []
    for _ in range(300):
        found.append((await caller.send(1))[0])
        await asyncio.sleep(0.025)
    assert found.count(429) == 0
