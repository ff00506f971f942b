"""An entry that can't be read appears among the upstreams' entries in the store."""

import asyncio
import json
import os
from pathlib import Path

from harness import OK, Client, Fleet, has_trouble, main

BEFORE_S, DURING_S, AFTER_S = 5.0, 15.0, 6.0
CALL_INTERVAL_S = 0.05
MOST_OWN_ENDS = 3
FEWEST_MACHINES = 2
FOREIGN_KEY = "i-foreign"


def foreign_value(kind):
    """Return the entry of another writer."""
    entry = {
        "address": "127.0.0.1:9",
        "born": 1_790_000_000_000,
        "information": {"service": "books", "version": "v1", "zone": "a", "slots": 2},
        "status": {"state": "ready", "sequence": 1, "cold_remaining_s": 0},
    }
    if kind == "text":
        # A text that its writer cut in the middle of a surrogate pair.
        entry["information"]["zone"] = "a \ud83d"
    elif kind == "number":
        entry["born"] = 10**20
    else:
        return b"[" * 2_000
    return json.dumps(entry).encode()


async def send_calls(fleet, client, answers):
    """Send requests to the gateways in turn."""
    running = set()
    number = 0
    try:
        while True:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            method, path = ("POST", "/orders/1") if number % 2 else ("GET", "/pages/1")
            call = client.call(gateway, f"{path}?work_ms=150", method)
            task = asyncio.create_task(call)
            running.add(task)
            task.add_done_callback(lambda done: answers.append(done.result()))
            number += 1
            await asyncio.sleep(CALL_INTERVAL_S)
    finally:
        await asyncio.gather(*running)


async def run():
    """Return True if processes ended by themselves too often."""
    kind = os.environ.get("ENTRY", "text")
    async with Fleet(Path(__file__).parent) as fleet:
        record, answers = fleet.record, []
        client = Client(record)
        calls = asyncio.create_task(send_calls(fleet, client, answers))
        await asyncio.sleep(BEFORE_S)
        if has_trouble():
            await fleet.store.put("servers", FOREIGN_KEY, foreign_value(kind))
            record.line(f"another writer's entry is in the store: {kind}")
        await asyncio.sleep(DURING_S)
        if has_trouble():
            await fleet.store.remove("servers", FOREIGN_KEY)
            record.line("the entry is removed")
        await asyncio.sleep(AFTER_S)
        calls.cancel()
        await asyncio.gather(calls, return_exceptions=True)
        await client.close()
        ends = {gateway.name: len(gateway.own_ends) for gateway in fleet.gateways}
        lost = [a for a in answers if a.status == 0 and fleet.ran(a.request_id)]
        served = sum(answer.status == OK for answer in answers)
        record.line(f"processes that ended by themselves: {ends}")
        record.line(
            f"requests: {len(answers)} sent, {served} served, "
            f"{len(lost)} ran and got no answer"
        )
        for answer in lost:
            record.line(f"lost {answer.request_id} sent at {answer.sent_s:.3f}")
        print(ends, len(answers), served, len(lost))
        often = sum(count >= MOST_OWN_ENDS for count in ends.values())
        return often >= FEWEST_MACHINES


if __name__ == "__main__":
    main(run)
