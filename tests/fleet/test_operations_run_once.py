import asyncio
import signal

from crocusspindle_standins.fleet import TargetGroup
from crocusspindle_standins.relay import Direction

SLOW = TargetGroup("desk", 4, 4, 300.0)


async def order(caller, number, *nodes):
    """Send copies of one order through several entries at once."""
    name = f"order-{number}"
    return await asyncio.gather(
        *(
            caller.send(node, "POST", operation=name, test_request=name, body=b"filter")
            for node in nodes
        )
    )


async def order_until_run(caller, number, *nodes):
    """Repeat an order as callers are advised to, and return the first success.

    A copy that meets another copy, or a holder that is late, gets a retry time. The
    order must never run twice.
    """
    texts_by_round = []
    for _ in range(6):
        copies = await order(caller, number, *nodes)
        texts_by_round.append([text[:90] for _, _, text in copies])
        for status, outcome, text in copies:
            assert outcome in ("ran", "unknown", "not-run")
            if outcome == "ran":
                return status, outcome, text
        await asyncio.sleep(1)
    raise AssertionError(f"order {number} never succeeded: {texts_by_round}")


async def test_an_order_sent_to_every_entry_runs_once(start_fleet):
    """A client repeats an order at other entries before it gets a response.

    Each copy reaches another node, and only one of them may run.
    """
    caller = await start_fleet()
    await asyncio.gather(*(order_until_run(caller, n, 0, 1, 2) for n in range(20)))
    counts = await caller.operations()
    assert len(counts) == 20
    assert set(counts.values()) == {1}
    repeated_responses = [
        await caller.send(1, "POST", operation="order-0", body=b"filter")
    ]
    assert repeated_responses[0][:2] == (200, "ran")
    conflicting = await caller.send(1, "POST", operation="order-0", body=b"another")
    assert conflicting[0] == 422
    assert (await caller.operations())["order-0"] == 1


async def test_an_order_without_a_key_is_not_retried_by_the_fleet(start_fleet):
    """A target closes while it responds to an order without an operation key.

    A second attempt might be a second order, so the outcome is "unknown".
    """
    caller = await start_fleet()
    for target in caller.fleet.targets:
        await caller.fleet.target_fault(target, cut_fraction=1.0)
    results = [
        await caller.send(n % 3, "POST", test_request=f"plain-{n}", body=b"x")
        for n in range(9)
    ]
    executed = await caller.executed()
    assert {outcome for _, outcome, _ in results} == {"unknown"}
    assert all(executed[f"plain-{n}"] == 1 for n in range(9))


async def test_the_coordinator_is_killed_between_attempt_and_response(start_fleet):
    """A node is killed while orders that it has sent to targets are running.

    The entries lose the responses. Callers repeat their orders with the same key, and
    none of them may run again.
    """
    caller = await start_fleet(group=SLOW)
    coordinator = await coordinator_of_service(caller)
    entries = [number for number in range(3) if number != coordinator]
    tasks = [asyncio.create_task(order(caller, n, entries[n % 2])) for n in range(12)]
    await asyncio.sleep(0.15)
    caller.fleet.kill(caller.fleet.nodes[coordinator])
    first = [copies[0] for copies in await asyncio.gather(*tasks)]
    executed = await caller.operations()
    for number, (_, outcome, _) in enumerate(first):
        ran = executed.get(f"order-{number}", 0)
        assert ran <= 1
        assert outcome != "not-run" or ran == 0
    for _ in range(4):
        await asyncio.gather(*(order(caller, n, entries[n % 2]) for n in range(12)))
        await asyncio.sleep(1)
    assert max((await caller.operations()).values()) == 1


async def test_a_paused_coordinator_resumes(start_fleet):
    """A node is paused by the system while orders are queued in it, and resumes later.

    Meanwhile the entries move the orders to another coordinator. After it resumes it
    must not send its own copies.
    """
    caller = await start_fleet(group=SLOW)
    coordinator = await coordinator_of_service(caller)
    entries = [number for number in range(3) if number != coordinator]
    tasks = [asyncio.create_task(order(caller, n, entries[n % 2])) for n in range(24)]
    await asyncio.sleep(0.1)
    caller.fleet.nodes[coordinator].running.signal(signal.SIGSTOP)
    first = [copies[0] for copies in await asyncio.gather(*tasks)]
    caller.fleet.nodes[coordinator].running.signal(signal.SIGCONT)
    await asyncio.sleep(2)
    executed = await caller.operations()
    assert max(executed.values()) == 1
    for number, (_, outcome, _) in enumerate(first):
        assert outcome != "not-run" or executed.get(f"order-{number}", 0) == 0
        assert outcome != "ran" or executed.get(f"order-{number}", 0) == 1


async def test_the_tables_response_is_lost_after_the_write(start_fleet):
    """The platform writes an order's row, and the connection fails before its response.

    Treated as a failure, the order would be lost. If the row counted as another
    attempt's, the order would be refused as running for ever.
    """
    caller = await start_fleet()
    await caller.fleet.platform(mode="lose_answers")
    results = [
        copies[0] for copies in [await order(caller, n, n % 3) for n in range(9)]
    ]
    assert [outcome for _, outcome, _ in results] == ["ran"] * 9
    await caller.fleet.platform(mode="up")
    repeated = [
        copies[0] for copies in [await order(caller, n, n % 3) for n in range(9)]
    ]
    assert [outcome for _, outcome, _ in repeated] == ["ran"] * 9
    assert set((await caller.operations()).values()) == {1}


async def test_orders_continue_while_the_platform_is_unreachable(start_fleet):
    """The platform is silent for long. Orders must neither stop nor run twice.

    The two holders of each order's record decide from memory, and write their
    records to the table when it is reachable again.
    """
    caller = await start_fleet()
    await order(caller, 0, 0)
    await until_table_loaded(caller)
    await caller.fleet.platform(mode="silent")
    await asyncio.sleep(6)
    for number in range(1, 13):
        await order_until_run(caller, number, 0, 1, 2)
    earlier = (await order(caller, 0, 1))[0]
    assert earlier[1] in ("ran", "unknown")
    await caller.fleet.platform(mode="up")
    await asyncio.sleep(5)
    after = [(await order(caller, n, n % 3))[0] for n in range(13)]
    assert {outcome for _, outcome, _ in after} <= {"ran", "unknown"}
    counts = await caller.operations()
    assert len(counts) == 13
    assert set(counts.values()) == {1}


async def test_a_coordinator_that_can_send_but_not_receive(start_fleet):
    """A one-way partition: a node can send messages, but receives none.

    Orders handed to it get no response. They move to another coordinator or fail, and
    run at most once.
    """
    caller = await start_fleet(relayed=True, group=SLOW)
    coordinator = await coordinator_of_service(caller)
    entries = [number for number in range(3) if number != coordinator]
    name = caller.fleet.nodes[coordinator].name
    tasks = [asyncio.create_task(order(caller, n, entries[n % 2])) for n in range(12)]
    await asyncio.sleep(0.1)
    caller.fleet.peer_relays[name].cut(Direction.TO_SERVER)
    first = [copies[0] for copies in await asyncio.gather(*tasks)]
    executed = await caller.operations()
    assert max(executed.values()) == 1
    for number, (_, outcome, _) in enumerate(first):
        assert outcome != "not-run" or executed.get(f"order-{number}", 0) == 0
    served = [(await caller.send(node))[0] for node in entries for _ in range(5)]
    assert served == [200] * 10


async def until_table_loaded(caller) -> None:
    """Wait until every node has loaded the table since the last change of members."""
    async with asyncio.timeout(20):
        for node in caller.fleet.nodes:
            while not (await caller.fleet.status(node))["operations_whole"]:
                await asyncio.sleep(0.1)


async def coordinator_of_service(caller) -> int:
    """Return the number of the node that coordinates the service's group."""
    await caller.send(0)
    for number, node in enumerate(caller.fleet.nodes):
        if (await caller.fleet.status(node))["groups"]:
            return number
    raise AssertionError("no node coordinates a group")
