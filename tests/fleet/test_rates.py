import asyncio
import signal
import time

import pytest

from crocusspindle_standins.callers import RequestRecord, Verdict, max_excess_requests


async def send_continuously(caller, nodes, seconds, records, pause_s=0.004):
    """Send to each of these nodes, each request after the previous response."""

    async def send_to_node(node):
        number = 0
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            number += 1
            name = f"{node}-{number}-{len(records)}"
            sent_s = time.monotonic()
            status, _, _ = await caller.send(node, test_request=name)
            records.append(
                RequestRecord(
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

    await asyncio.gather(*(send_to_node(node) for node in nodes))


async def tokens_over_rate(caller, records, rate_per_s, burst):
    executed = await caller.executed()
    return max_excess_requests(records, executed.keys(), rate_per_s, burst)


@pytest.mark.parametrize(
    ("rate_per_s", "burst"), [(20.0, 20), (1.0, 2), (0.2, 1)], ids=str
)
async def test_no_window_exceeds_rate_and_burst(start_fleet, rate_per_s, burst):
    """A customer sends many times its rate through every entry at once.

    If each entry counted on its own, the customer would get three times its rate, and
    others would wait.
    """
    caller = await start_fleet(rate_per_s=rate_per_s, burst=burst)
    records = []
    await send_continuously(caller, range(3), 5, records)
    assert await tokens_over_rate(caller, records, rate_per_s, burst) < 1.0
    served = sum(record.verdict is Verdict.ANSWERED for record in records)
    assert served >= int(rate_per_s * 5 * 0.9)


@pytest.mark.parametrize("kind", ["kill", "pause", "outage"])
async def test_a_lost_holder_adds_no_tokens(start_fleet, kind):
    """A holder of a customer's share is killed or paused past its lease.

    In the case "outage" it is killed while the platform is unreachable. The member that
    receives its share must not spend what the holder may still spend.
    """
    caller = await start_fleet(nodes=5, rate_per_s=20.0, burst=20)
    records = []
    if kind == "outage":
        await caller.fleet.platform(mode="silent")
        await asyncio.sleep(3)
    load = asyncio.create_task(send_continuously(caller, range(4), 14, records, 0.02))
    await asyncio.sleep(2)
    holder = caller.fleet.nodes[await first_holder(caller)]
    if kind == "pause":
        holder.running.signal(signal.SIGSTOP)
        await asyncio.sleep(7)
        holder.running.signal(signal.SIGCONT)
    else:
        caller.fleet.kill(holder)
    await load
    assert await tokens_over_rate(caller, records, 20.0, 20) < 1.0
    served = sum(record.verdict is Verdict.ANSWERED for record in records)
    assert served >= 20 * 14 * 0.4


async def first_holder(caller):
    """Return the number of the node whose address is reported first."""
    addresses = await caller.where(4)
    ports = [node.caller_port for node in caller.fleet.nodes]
    return ports.index(int(addresses[0].rpartition(":")[2]))


async def test_callers_within_the_rate_are_not_refused(start_fleet):
    """A customer keeps to its rate, but uses one entry, which holds a share of it."""
    caller = await start_fleet(rate_per_s=50.0, burst=50)
    await asyncio.sleep(1)
    statuses = []
    for _ in range(300):
        statuses.append((await caller.send(1))[0])
        await asyncio.sleep(0.025)
    assert statuses.count(429) == 0
