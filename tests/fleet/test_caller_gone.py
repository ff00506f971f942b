import asyncio
from contextlib import suppress

from crocusspindle_standins.fleet import TargetGroup

SLOW = TargetGroup("desk", 4, 4, 300.0)


async def test_a_caller_that_hung_up_finds_its_answer_when_it_repeats(start_fleet):
    """A caretaker's phone loses its connection while an order is running.

    The order runs on. When the phone repeats it with the same key it has to get the
    one answer; told "unknown", the caretaker would order anew.
    """
    caller = await start_fleet(group=SLOW)
    sending = [
        asyncio.create_task(
            caller.send(n % 3, "POST", operation=f"order-{n}", body=b"filter")
        )
        for n in range(6)
    ]
    await asyncio.sleep(0.15)
    for task in sending:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task
    await asyncio.sleep(1)
    again = [
        await caller.send(n % 3, "POST", operation=f"order-{n}", body=b"filter")
        for n in range(6)
    ]
    assert [found[:2] for found in again] == [(200, "ran")] * 6
    assert set((await caller.operations()).values()) == {1}
