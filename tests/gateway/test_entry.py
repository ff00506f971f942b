"""Tests of requests that wait while their node stops."""

import asyncio
import gc
import weakref
from contextlib import suppress
from types import SimpleNamespace

import pytest

from crocusspindle.core.departure import Departure
from crocusspindle.core.spend_result import Admitted
from crocusspindle.gateway.entry import Entry, ProcessedRequest
from crocusspindle.gateway.request_context import RequestContext
from crocusspindle.gateway.responses import Refusal
from crocusspindle.platform.dialect import dialect

NOT_RUN = 503
GIVEN_UP = 504


class Waiting:
    """Admit each request, and wait for a target for ever."""

    def __init__(self) -> None:
        self.context = SimpleNamespace(
            content="c",
            customer=None,
            certainly_not_run=True,
            release=lambda: None,
        )

    async def admit(self, request, request_id, began_ms, handed_over):
        """Return the context."""
        return self.context

    async def send(self, context):
        """Wait for ever."""
        await asyncio.Event().wait()


@pytest.fixture
def waiting():
    return Waiting()


@pytest.fixture
def entry(waiting):
    crashes = SimpleNamespace(refusal=lambda content: None)
    hand_over = SimpleNamespace(read_mark=lambda request: None)
    metrics = SimpleNamespace(add=lambda instrument, **labels: None)
    made = Entry(
        waiting,
        dialect(),
        None,
        waiting,
        hand_over,
        None,
        crashes,
        metrics,
        Departure(),
    )
    made._log_end = lambda context, outcome: None
    return made


async def start(entry) -> asyncio.Task[ProcessedRequest]:
    """Begin to process a request."""
    request = SimpleNamespace(headers={})
    task = asyncio.create_task(entry._process(request))
    await asyncio.sleep(0.01)
    return task


async def test_a_request_that_waits_for_a_target_is_refused_at_the_end(entry):
    """Guards against a process that ends without a word to callers that wait."""
    task = await start(entry)
    entry.refuse_waiting()
    async with asyncio.timeout(1):
        processed = await task
    assert processed.refusal is not None and processed.refusal.status == NOT_RUN
    assert processed.refusal.retry_after_ms is not None
    assert entry.running == 0 and not entry._processing


async def test_requests_that_are_refused_already_do_not_end_the_refusals(
    entry, waiting
):
    """Guards against a drain that fails halfway, and drops the requests that run."""
    waiting.context.route, waiting.context.deadline_ms = None, 0.0
    entry._departure.allows = lambda route, deadline_ms, at_ms: False
    tasks = [await start(entry) for _ in range(2)]
    entry.leave(0.0, 0.0)
    # The refusals of late requests have taken effect, and the requests have not ended.
    for _ in range(3):
        await asyncio.sleep(0)
    assert len(entry._processing) == len(tasks)
    entry.refuse_waiting()
    async with asyncio.timeout(1):
        processed = await asyncio.gather(*tasks)
    assert {one.refusal.status for one in processed} == {NOT_RUN}
    await entry.cancel_tasks()


async def test_an_attempt_that_begins_as_late_requests_are_refused_goes_on(
    entry, waiting
):
    """Guards against an order that a leaving node cuts off as it sends it."""
    waiting.context.route, waiting.context.deadline_ms = None, 0.0
    loop = asyncio.get_running_loop()

    def allows(route, deadline_ms, at_ms):
        # The attempt's task has been created, and has not run.
        loop.call_soon(setattr, waiting.context, "certainly_not_run", False)
        return False

    entry._departure.allows = allows
    task = await start(entry)
    entry.leave(0.0, 0.0)
    await asyncio.sleep(0.05)
    assert not task.done()
    task.cancel()
    await entry.cancel_tasks()


async def test_a_caller_that_leaves_as_late_requests_are_refused_ends_no_refusals(
    entry, waiting
):
    """Guards against late requests that are not refused for the rest of a drain."""
    waiting.context.route, waiting.context.deadline_ms = None, 0.0
    left = await start(entry)

    def allows(route, deadline_ms, at_ms):
        left.cancel()
        return False

    entry._departure.allows = allows
    entry.leave(0.0, 0.0)
    for _ in range(5):
        await asyncio.sleep(0)
    assert left.cancelled()
    async with asyncio.timeout(1):
        processed = await (await start(entry))
    assert processed.refusal.status == NOT_RUN
    await entry.cancel_tasks()


async def test_a_request_that_arrives_while_waiting_ones_are_refused_is_too(entry):
    """Guards against a late request that waits until the process ends."""
    entry.refuse_waiting()
    task = await start(entry)
    assert task.done() and task.result().refusal.status == NOT_RUN


async def test_a_request_that_may_run_is_not_refused(entry, waiting):
    """Guards against a refusal that says "not run" of a request that runs."""
    waiting.context.certainly_not_run = False
    task = await start(entry)
    entry.refuse_waiting()
    await asyncio.sleep(0.05)
    assert not task.done()
    task.cancel()


async def test_a_request_that_runs_is_ended_without_saying_that_it_has_not(
    entry, waiting
):
    """Guards against a caller that waits until its connection is cut."""
    waiting.context.certainly_not_run = False
    task = await start(entry)
    entry.end_running()
    async with asyncio.timeout(1):
        processed = await task
    assert processed.refusal is not None and processed.refusal.status == GIVEN_UP
    assert processed.refusal.retry_after_ms is None


@pytest.mark.parametrize(
    ("running", "may_have_run", "certainly_not_run"),
    [(0, False, True), (1, False, False), (0, True, False)],
)
def test_a_request_that_was_only_shed_has_certainly_not_run(
    running, may_have_run, certainly_not_run
):
    """Guards against a refused attempt that counts as one that may have run."""
    context = RequestContext("r", None, None, None, "c", 0.0, 0.0)
    context.tried_targets.add("t0")
    context.running_attempts, context.may_have_run = running, may_have_run
    assert context.certainly_not_run is certainly_not_run


async def test_an_attempt_that_begins_as_its_request_is_refused_is_not_denied(
    entry, waiting
):
    """Guards against a 503 for a request that was sent before it took effect."""
    task = await start(entry)
    entry.refuse_waiting()
    waiting.context.certainly_not_run = False
    async with asyncio.timeout(1):
        processed = await task
    assert processed.refusal is not None and processed.refusal.status != NOT_RUN


async def test_a_result_that_arrives_as_the_caller_leaves_is_released(entry):
    """Guards against held memory that is never released: a host would fill with it."""
    released = []

    async def process():
        await asyncio.sleep(0.01)
        return SimpleNamespace(release=lambda: released.append(True))

    started = asyncio.create_task(process())
    handling = asyncio.create_task(entry.handle(None, started))
    # Before the handler waits, so that it is cancelled before it has the result.
    started.add_done_callback(lambda _: handling.cancel())
    with suppress(asyncio.CancelledError):
        await handling
    await asyncio.sleep(0)
    assert handling.cancelled() and released == [True]


@pytest.mark.parametrize(("deadline_ms", "longest_ms"), [(900.0, 400.0), (4e3, 3.2e3)])
async def test_callers_of_a_starting_fleet_wait_while_a_late_response_helps(
    entry, deadline_ms, longest_ms
):
    """Guards against refusals of all callers until the first keepers have started."""
    waited = []

    async def spend(customer, wait_limit_ms, wait_until_ms, priority):
        waited.append(wait_until_ms)
        return Admitted()

    entry._quota = SimpleNamespace(spend=spend)
    route = SimpleNamespace(aim_ms=800.0)
    context = SimpleNamespace(
        route=route, began_ms=0.0, deadline_ms=deadline_ms, priority=1
    )
    await entry._spend(context, None)
    assert waited == [longest_ms]


async def test_a_refused_request_keeps_nothing_of_what_it_read(entry, waiting):
    """Guards against bodies of refused requests that stay until garbage collection."""

    class Body(bytearray):
        """Can be referenced weakly."""

    bodies = []

    async def admit(request, request_id, began_ms, handed_over):
        body = Body(b"read")
        bodies.append(weakref.ref(body))
        try:
            raise TimeoutError
        except TimeoutError as error:
            raise Refusal(NOT_RUN, "memory", 1.0) from error

    waiting.admit = admit
    gc.disable()
    try:
        processed = await entry._process(SimpleNamespace(headers={}))
        assert processed.refusal is not None
        assert bodies[0]() is None
    finally:
        gc.enable()
