import asyncio
from contextlib import suppress

from crocusspindle_standins.fleet import TargetGroup

SLOW = TargetGroup("desk", 4, 4, 300.0)


async def test_a_disconnected_caller_gets_the_response_when_it_repeats(start_fleet):
    """A caller loses its connection while a named operation is running.

    The operation runs on, and a repeat with the same key has to get its response.
    With the outcome "unknown" the caller would start another operation.
    """
    caller = await start_fleet(group=SLOW)
    tasks = [
        asyncio.create_task(
            caller.send(n % 3, "POST", operation=f"order-{n}", body=b"filter")
        )
        for n in range(6)
    ]
    await asyncio.sleep(0.15)
    for task in tasks:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    await asyncio.sleep(1)
    repeated = [
        await caller.send(n % 3, "POST", operation=f"order-{n}", body=b"filter")
        for n in range(6)
    ]
    assert [response[:2] for response in repeated] == [(200, "ran")] * 6
    assert set((await caller.operations()).values()) == {1}
