import asyncio
import os
import signal

import pytest

from crocusspindle import kernel as kernel_module
from crocusspindle.errors import KernelError
from crocusspindle.kernel import Kernel, Service


class Recorder(Service):
    def __init__(self, name, events, needs=(), fails=False, drain_s=0.0):
        self.name = name
        self.needs = needs
        self.events = events
        self.fails = fails
        self.drain_s = drain_s

    async def start(self):
        if self.fails:
            raise RuntimeError("no port")
        self.events.append(f"start {self.name}")

    async def drain(self):
        await asyncio.sleep(self.drain_s)
        self.events.append(f"drain {self.name}")

    async def stop(self):
        self.events.append(f"stop {self.name}")


def kernel_of(*services, drain_ms=1000.0):
    kernel = Kernel(drain_ms)
    for service in services:
        kernel.add(service.name, service)
    return kernel


async def test_starts_by_needs_drains_and_stops_in_reverse():
    events = []
    kernel = kernel_of(Recorder("b", events, ("a",)), Recorder("a", events))
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await running
    assert events[:2] == ["start a", "start b"]
    assert sorted(events[2:4]) == ["drain a", "drain b"]
    assert events[4:] == ["stop b", "stop a"]


async def test_failure_while_starting_stops_what_was_started():
    events = []
    broken = Recorder("b", events, ("a",), fails=True)
    kernel = kernel_of(broken, Recorder("a", events))
    with pytest.raises(KernelError, match="service b did not start: no port"):
        await kernel.start()
    assert events == ["start a", "stop b", "stop a"]


async def test_a_task_that_dies_ends_the_node():
    """A service's loop ends with an error while its port still accepts.

    Callers would be taken in and never answered; the node must end instead.
    """
    events = []
    service = Recorder("a", events)
    kernel = kernel_of(service)

    async def dies():
        raise ValueError("broken loop")

    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    service.spawn(dies())
    with pytest.raises(KernelError, match=r"service a failed.*broken loop"):
        await running
    assert events == ["start a", "stop a"]


async def test_second_request_cuts_the_draining_short():
    events = []
    kernel = kernel_of(Recorder("a", events, drain_s=60), drain_ms=60_000)
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.wait_for(running, 5)
    assert events == ["start a", "stop a"]


@pytest.mark.parametrize(
    ("needs_a", "needs_b", "message"),
    [(("b",), ("a",), "need each other"), (("c",), (), "needs c, which is not here")],
)
async def test_needs_that_cannot_be_met(needs_a, needs_b, message):
    kernel = kernel_of(Recorder("a", [], needs_a), Recorder("b", [], needs_b))
    with pytest.raises(KernelError, match=message):
        kernel.start_order()


async def test_lookup_is_typed():
    service = Recorder("a", [])
    kernel = kernel_of(service)
    assert kernel.get("a", Recorder) is service
    with pytest.raises(KernelError, match="is no Kernel"):
        kernel.get("a", Kernel)
    with pytest.raises(KernelError, match="no service"):
        kernel.get("x", Recorder)
    with pytest.raises(KernelError, match="two services"):
        kernel.add("a", service)


def test_a_signal_leads_to_a_planned_stop():
    events = []

    class Signals(Recorder):
        async def start(self):
            await super().start()
            os.kill(os.getpid(), signal.SIGTERM)

    kernel_module.run(lambda: kernel_of(Signals("a", events)))
    assert events == ["start a", "drain a", "stop a"]
