import asyncio
import json
from typing import Final

from crocusspindle_standins.fleet import TargetGroup

CHECKED_WITHIN_S: Final = 30.0
"""Time in which enough responses must come; a busy machine needs several batches."""


async def test_crossed_and_truncated_responses_reach_no_caller(start_fleet):
    """Targets send another request's response, or close in the middle of one.

    A caller would accept another customer's data, or a partial response, as its own.
    """
    caller = await start_fleet()
    for target in caller.fleet.targets:
        await caller.fleet.target_fault(
            target, cross_fraction=0.2, cut_fraction=0.2, fail_fraction=0.1
        )

    async def send(number):
        name = f"mine-{number}"
        status, outcome, text = await caller.send(number % 3, test_request=name)
        if outcome == "ran":
            assert json.loads(text)["request"] == name
        else:
            assert status in (0, 500, 503, 504)
        return outcome

    checked, sent = 0, 0
    async with asyncio.timeout(CHECKED_WITHIN_S):
        # Fewer than a third of the first batch does not check enough responses.
        while checked <= 66:
            outcomes = await asyncio.gather(*map(send, range(sent, sent + 200)))
            sent += len(outcomes)
            checked += outcomes.count("ran")


async def test_a_truncated_long_response_is_visible_to_the_caller(start_fleet):
    """Targets are killed in the middle of long responses.

    The caller must not read a regular end of a truncated response.
    """
    caller = await start_fleet(group=TargetGroup("desk", 4, 4, 0.0))
    size = 50_000_000
    query = f"?answer_bytes={size}"
    complete = await caller.send(0, query=query)
    assert len(complete[2]) == size
    tasks = [asyncio.create_task(caller.send(n, query=query)) for n in (0, 1, 2)]
    await asyncio.sleep(0.2)
    for target in caller.fleet.targets:
        target.running.process.kill()
    for status, _, text in await asyncio.gather(*tasks):
        assert status in (0, 500, 502, 503, 504) or len(text) == size


async def test_silent_targets_delay_few_callers(start_fleet):
    """One of four targets accepts requests and never responds; its health check passes.

    Without hedges and evaluation of outstanding attempts, a quarter of the callers
    would wait until their timeout.
    """
    caller = await start_fleet()
    await asyncio.gather(*(caller.send(n % 3) for n in range(60)))
    await caller.fleet.target_fault(caller.fleet.targets[0], hang_fraction=1.0)
    responses = []
    for number in range(150):
        responses.append((await caller.send(number % 3))[0])
        await asyncio.sleep(0.02)
    assert responses.count(200) >= 147
    ran = (await caller.fleet.executions())[0]
    before = sum(ran["customers"].values())
    for number in range(60):
        await caller.send(number % 3)
    after = sum((await caller.fleet.executions())[0]["customers"].values())
    assert after - before <= 6


async def test_refused_requests_did_not_run(start_fleet):
    """Demand is several times the capacity, targets shed, and deadlines are short.

    A caller repeats a request that was refused as "not run": if it did run, the
    operation runs twice.
    """
    caller = await start_fleet(
        group=TargetGroup("desk", 2, 2, 50.0, queue=0), timeout_ms=1500
    )

    async def send(first, n):
        await asyncio.sleep(n * 0.004)
        return await caller.send(
            n % 3,
            "POST" if n % 2 else "GET",
            test_request=f"load-{first + n}",
            body=b"x" if n % 2 else None,
            timeout_ms=200 + n % 400,
        )

    responses, refused, served = [], [], 0
    async with asyncio.timeout(CHECKED_WITHIN_S):
        while len(refused) <= 20 or served <= 20:
            first = len(responses)
            batch = await asyncio.gather(*(send(first, n) for n in range(500)))
            responses += batch
            for number, (_, outcome, _) in enumerate(batch, first):
                served += outcome == "ran"
                if outcome == "not-run":
                    refused.append(number)
    executed = await caller.executed()
    assert [n for n in refused if executed.get(f"load-{n}")] == []
    for status, outcome, text in responses:
        if outcome == "not-run" and status == 503:
            assert json.loads(text)["retry_after_ms"] >= 1


async def test_a_leaving_target_gets_no_new_requests(start_fleet):
    """The host list marks a target as leaving, before its operator stops it."""
    caller = await start_fleet()
    target = caller.fleet.targets[0]
    await caller.fleet.mark_leaving(target)
    await asyncio.sleep(3)
    before = sum((await caller.fleet.executions())[0]["customers"].values())
    for number in range(80):
        assert (await caller.send(number % 3))[0] == 200
    after = sum((await caller.fleet.executions())[0]["customers"].values())
    assert after == before
