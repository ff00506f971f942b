"""A machine is stopped while clients that know its address still send it requests."""

import asyncio
import signal
from pathlib import Path

import aiohttp
from harness import HOST, OK, Client, Fleet, has_trouble, main

GRACE_S = 6.0
EXCUSED_UNTIL_S = 3.0
FIRST_AT_S, LAST_AT_S, STEP_S = 3.45, 3.65, 0.05
WORK_MS = 1_900
SETTLE_S = 5.0
TTL_FACTOR = 3


async def send(client, gateway, at_s, stopped_s):
    """Send one request some time after the stop."""
    await asyncio.sleep(stopped_s + at_s - asyncio.get_running_loop().time())
    return await client.call(gateway, f"/orders/1?work_ms={WORK_MS}", "POST")


async def known_for_s(gateway):
    """Return for how long clients may use the gateway's address, by the directory."""
    url = f"http://{gateway.directory}/-/resolve?name={HOST}&region=r&zone=a"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        answer = await response.json()
    if gateway.front not in answer["addresses"]:
        raise RuntimeError("the directory doesn't name the gateway")
    return answer["ttl_s"]


def is_lost(fleet, answer):
    """Return True if a request ran and its client has no answer of its upstream."""
    is_passed_on = fleet.ran(answer.request_id) > 0
    return is_passed_on and (answer.stamp is None or answer.body != b"whole body")


async def run():
    """Return True if a request that was passed on ended without its answer."""
    async with Fleet(Path(__file__).parent) as fleet:
        record = fleet.record
        # Each request on a new connection, to the address that the directory gave
        # before the stop.
        client = Client(record, keeps_connections=False)
        await asyncio.sleep(SETTLE_S)
        gateway = fleet.gateways[0]
        ttl_s = await known_for_s(gateway)
        record.line(f"the directory names {gateway.name}, with ttl_s {ttl_s}")
        if TTL_FACTOR * ttl_s < LAST_AT_S:
            raise RuntimeError("no client may use the address for so long")
        stopped_s, stopped_at_s = asyncio.get_running_loop().time(), record.now_s()
        if has_trouble():
            gateway.send(signal.SIGTERM)
        steps = round((LAST_AT_S - FIRST_AT_S) / STEP_S)
        answers = await asyncio.gather(
            *(
                send(client, gateway, FIRST_AT_S + STEP_S * step, stopped_s)
                for step in range(steps + 1)
            )
        )
        await client.close()
        lost = [
            answer
            for answer in answers
            if is_lost(fleet, answer)
            and answer.sent_s > stopped_at_s + EXCUSED_UNTIL_S
            and answer.ended_s < stopped_at_s + GRACE_S
        ]
        for answer in lost:
            record.line(
                f"lost {answer.request_id}: sent {answer.sent_s - stopped_at_s:.2f} s "
                f"after the SIGTERM, ended {answer.ended_s - stopped_at_s:.2f} s after "
                f"it, status {answer.status}"
            )
        served = sum(answer.status == OK for answer in answers)
        record.line(f"{len(answers)} sent, {served} served, {len(lost)} lost")
        print(len(answers), served, len(lost))
        return bool(lost)


if __name__ == "__main__":
    main(run)
