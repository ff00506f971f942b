"""Tests of requests that wait while their node stops."""

import asyncio
from types import SimpleNamespace

import pytest

from crocusspindle.gateway.entry import Entry, ProcessedRequest
from crocusspindle.platform.dialect import dialect

NOT_RUN = 503


class Waiting:
    """Admit each request, and wait for a target for ever."""

    def __init__(self) -> None:
        self.context = SimpleNamespace(
            content="c", customer=None, tried_targets=set(), refused=None
        )

    async def admit(self, request, request_id, began_ms):
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
    made = Entry(waiting, dialect(), None, waiting, None, crashes, None)
    made._log_end = lambda context, outcome: None
    return made


async def start(entry) -> asyncio.Task[ProcessedRequest]:
    """Begin to process a request."""
    request = SimpleNamespace(headers={})
    task = asyncio.create_task(entry._process(request))
    await asyncio.sleep(0.01)
    return task


async def test_a_request_that_no_target_got_is_refused_at_the_end(entry):
    """Guards against a process that ends without a word to callers that wait."""
    task = await start(entry)
    entry.refuse_unsent()
    async with asyncio.timeout(1):
        processed = await task
    assert processed.refusal is not None and processed.refusal.status == NOT_RUN
    assert processed.refusal.retry_after_ms is not None
    assert entry.running == 0 and not entry._processing


async def test_a_request_that_arrives_while_unsent_ones_are_refused_is_too(entry):
    """Guards against a late request that waits until the process ends."""
    entry.refuse_unsent()
    task = await start(entry)
    assert task.done() and task.result().refusal.status == NOT_RUN


async def test_a_request_that_a_target_got_is_not_refused(entry, waiting):
    """Guards against a refusal that says "not run" of a request that runs."""
    waiting.context.tried_targets.add("t0")
    task = await start(entry)
    entry.refuse_unsent()
    await asyncio.sleep(0.05)
    assert not task.done()
    task.cancel()
