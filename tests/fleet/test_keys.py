import asyncio
import time

import pytest

from crocusspindle_standins.fleet import TargetGroup, sha256
from crocusspindle_standins.relay import Direction
from tests.fleet.conftest import KEY

OBSERVATION_S = 6.0


async def withdraw(caller, node=0):
    await caller.fleet.ticket(
        caller.fleet.nodes[node],
        keys={sha256(KEY): {"customer": "ward", "state": "withdrawn"}},
    )


async def served_until(caller, node, limit_s):
    """Return how many seconds requests were still served after now."""
    began_s = time.monotonic()
    last_s = 0.0
    while time.monotonic() - began_s < limit_s:
        sent_s = time.monotonic() - began_s
        status, _, _ = await caller.send(node)
        if status == 200:
            last_s = sent_s
        await asyncio.sleep(0.05)
    return last_s


async def test_a_withdrawn_key_stops_on_connections_that_stay_open(start_fleet):
    """A leaked key is withdrawn while a client keeps connections to every node open."""
    caller = await start_fleet()
    await withdraw(caller)
    served = await asyncio.gather(
        *(served_until(caller, node, OBSERVATION_S) for node in range(3))
    )
    assert max(served) < 3.0
    assert (await caller.send(1))[0] == 401


async def withdraw_approval(caller):
    await caller.fleet.ticket(
        caller.fleet.nodes[0], "owner", approvals={"desk": {"ward": None}}
    )


@pytest.mark.parametrize("withdraw_access", [withdraw, withdraw_approval])
async def test_a_withdrawn_key_stops_on_queued_requests(start_fleet, withdraw_access):
    """Requests are queued when their key, or the owner's approval, is withdrawn.

    None of them may run later.
    """
    group = TargetGroup("desk", 1, 1, 1000.0)
    caller = await start_fleet(group=group, timeout_ms=20000)
    for target in caller.fleet.targets:
        await caller.fleet.target_fault(target, slow_factor=3.0)
    tasks = [
        asyncio.create_task(caller.send(n % 3, test_request=f"queued-{n}"))
        for n in range(6)
    ]
    await asyncio.sleep(0.3)
    await withdraw_access(caller)
    responses = await asyncio.gather(*tasks)
    refused = [n for n, (_, outcome, _) in enumerate(responses) if outcome == "not-run"]
    assert len(refused) >= 4
    executed = await caller.executed()
    assert not [n for n in refused if executed.get(f"queued-{n}")]


async def test_a_withdrawn_key_stops_on_an_isolated_node(start_fleet):
    """A node is isolated from peers and platform while callers still reach it.

    It can't receive the withdrawal. It must refuse requests once its state is stale,
    or the key works there until the partition ends.
    """
    caller = await start_fleet(relayed=True)
    name = caller.fleet.nodes[2].name
    caller.fleet.platform_relays[name].cut(Direction.TO_CLIENT)
    caller.fleet.peer_relays[name].cut(*Direction)
    for node in caller.fleet.nodes[:2]:
        caller.fleet.peer_relays[node.name].silence_open_connections()
        caller.fleet.peer_relays[node.name].cut(Direction.TO_CLIENT)
    await withdraw(caller)
    last_s = await served_until(caller, 2, OBSERVATION_S)
    assert last_s < 4.0
    status, outcome, text = await caller.send(2)
    assert (status, outcome) == (503, "not-run")
    assert "other addresses" in text


async def test_a_key_withdrawn_before_an_outage_stays_withdrawn(start_fleet):
    """The platform becomes unreachable right after a withdrawal, and stays so."""
    caller = await start_fleet()
    await withdraw(caller)
    await caller.fleet.platform(mode="silent")
    served = await asyncio.gather(
        *(served_until(caller, node, OBSERVATION_S) for node in range(3))
    )
    assert max(served) < 3.0


async def test_targets_and_logs_never_see_a_key(start_fleet):
    """Others can read a target's access log, so a key in it is compromised."""
    caller = await start_fleet()
    for node in range(3):
        await caller.send(node, "POST", operation="one", body=b"x")
    executions = await caller.fleet.executions()
    assert sum(execution["keys_seen"] for execution in executions) == 0
    for log in caller.fleet.folder.glob("*.log"):
        assert KEY not in log.read_text()
    audit = await caller.fleet.audit(caller.fleet.nodes[0])
    assert KEY not in audit
    assert sha256(KEY) in audit
