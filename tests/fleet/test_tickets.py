import asyncio
import signal

from crocusspindle_standins.fleet import sha256

CUSTOMER = {"rate_per_s": 5.0, "burst": 5}


def document(number, name):
    return {
        "number": number,
        "author": "operator",
        "reason": "race",
        "customers": {name: CUSTOMER},
    }


async def status_of(caller, node, content):
    try:
        await caller.fleet.submit(caller.fleet.nodes[node], content)
    except RuntimeError as error:
        return int(str(error).split(":")[0])
    return 200


async def test_two_operators_submit_one_number_concurrently(start_fleet):
    """Two operators submit different tickets under one number concurrently.

    One must be accepted on every node; the other must be refused, not lost silently.
    """
    caller = await start_fleet()
    for number in range(3, 9):
        statuses = await asyncio.gather(
            *(
                status_of(caller, node, document(number, f"rival-{number}-{node}"))
                for node in range(3)
            )
        )
        assert statuses.count(200) == 1
        assert all(status in (200, 409, 503) for status in statuses)
    await caller.fleet.until_applied(8, caller.fleet.nodes)
    counts = {
        (await caller.fleet.status(node))["counts"]["customers"]
        for node in caller.fleet.nodes
    }
    assert counts == {1 + 6}


async def test_ticket_with_a_lost_response_is_accepted_once(start_fleet):
    """The platform writes a ticket, and the connection breaks before the response.

    The operator submits it again and must not get a conflict with its own ticket.
    """
    caller = await start_fleet()
    await caller.fleet.platform(mode="lose_answers")
    first = await status_of(caller, 0, document(3, "late"))
    again = await status_of(caller, 1, document(3, "late"))
    other = await status_of(caller, 2, document(3, "other"))
    await caller.fleet.platform(mode="up")
    assert (first, again) == (200, 200)
    assert other == 409


async def test_resumed_node_neither_serves_nor_spreads_stale_state(
    start_fleet,
):
    """A node is paused until its timestamp is stale, and a key is withdrawn meanwhile.

    When it resumes, it could serve the key and send the old state to its peers.
    """
    caller = await start_fleet()
    paused = caller.fleet.nodes[2]
    paused.running.signal(signal.SIGSTOP)
    number = await caller.fleet.ticket(
        caller.fleet.nodes[0],
        keys={sha256("key-of-the-caller"): {"customer": "ward", "state": "withdrawn"}},
    )
    await caller.fleet.until_applied(number, caller.fleet.nodes[:2])
    await asyncio.sleep(4)
    paused.running.signal(signal.SIGCONT)
    statuses = [(await caller.send(2))[0] for _ in range(20)]
    assert 200 not in statuses
    await caller.fleet.until_applied(number, caller.fleet.nodes)
    for node in range(3):
        assert (await caller.send(node))[0] == 401


async def test_new_node_starts_from_a_peer_during_a_platform_outage(start_fleet):
    """A host is replaced during an outage; the new node must not serve empty state."""
    caller = await start_fleet()
    await caller.fleet.platform(mode="silent")
    await asyncio.sleep(3)
    node = caller.fleet.nodes[2]
    caller.fleet.kill(node)
    await node.running.wait(5)
    await caller.fleet.start_node(node)
    statuses = {(await caller.send(2))[0] for _ in range(5)}
    assert statuses <= {401, 503}
    await caller.fleet.platform(mode="up")
    await caller.until_served(2)
