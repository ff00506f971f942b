import asyncio
import os
import signal

import logbook
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


def make_kernel(*services, drain_ms=1000.0):
    kernel = Kernel(drain_ms)
    for service in services:
        kernel.add(service.name, service)
    return kernel


async def test_services_start_by_needs_and_stop_in_reverse():
    events = []
    kernel = make_kernel(Recorder("b", events, ("a",)), Recorder("a", events))
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await running
    assert events[:2] == ["start a", "start b"]
    assert sorted(events[2:4]) == ["drain a", "drain b"]
    assert events[4:] == ["stop b", "stop a"]


async def test_failed_start_stops_started_services():
    events = []
    broken = Recorder("b", events, ("a",), fails=True)
    kernel = make_kernel(broken, Recorder("a", events))
    with pytest.raises(KernelError, match="service b did not start: no port"):
        await kernel.start()
    assert events == ["start a", "stop b", "stop a"]


async def test_failed_task_stops_the_node():
    """A service's loop fails while its port still accepts connections.

    Callers would never get a response; the node must stop instead.
    """
    events = []
    service = Recorder("a", events)
    kernel = make_kernel(service)

    async def fail():
        raise ValueError("broken loop")

    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    service.spawn(fail())
    with pytest.raises(KernelError, match=r"service a failed.*broken loop"):
        await running
    assert events == ["start a", "stop a"]


async def test_second_stop_request_ends_the_drain():
    events = []
    kernel = make_kernel(Recorder("a", events, drain_s=60), drain_ms=60_000)
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.wait_for(running, 5)
    assert events == ["start a", "stop a"]


async def test_second_stop_request_leaves_the_drain_alone_where_restarts_overlap():
    """Guards against requests that a second SIGTERM drops within the grace period."""
    events = []
    kernel = Kernel(60_000.0, second_stop_ends_drain=False)
    kernel.add("a", Recorder("a", events, drain_s=0.1))
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.sleep(0.02)
    assert not running.done()
    await asyncio.wait_for(running, 5)


async def test_a_service_that_fails_ends_every_drain():
    """Guards against a node that waits for a service that has ended."""
    events = []
    service = Recorder("a", events, drain_s=60)
    kernel = Kernel(60_000.0, second_stop_ends_drain=False)
    kernel.add("a", service)
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    kernel.request_stop()
    await asyncio.sleep(0)

    async def fail():
        raise ValueError("broken loop")

    service.spawn(fail())
    with pytest.raises(KernelError, match=r"service a failed.*broken loop"):
        await asyncio.wait_for(running, 5)


@pytest.mark.parametrize("is_stopping", [False, True])
async def test_a_failed_service_lets_the_others_end_their_work(is_stopping):
    """Guards against a failure that drops the requests which the node has read."""
    events = []
    kernel = Kernel(60_000.0, drains_after_failure=True)
    failing = Recorder("a", events)
    kernel.add("a", failing)
    kernel.add("b", Recorder("b", events, ("a",), drain_s=0.1))
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    if is_stopping:
        kernel.request_stop()
        await asyncio.sleep(0)

    async def fail():
        raise ValueError("broken loop")

    failing.spawn(fail())
    with pytest.raises(KernelError, match=r"service a failed.*broken loop"):
        await asyncio.wait_for(running, 5)
    assert events[2:] == ["drain a", "drain b", "stop b", "stop a"]


@pytest.mark.parametrize("fails", [False, True])
async def test_a_start_that_waits_ends_with_a_stop(fails):
    """Guards against a process that waits for a port, and does not end on SIGTERM.

    A port that it has opened already may hold requests, so it drains.
    """
    events = []
    kernel = Kernel(1_000.0, second_stop_ends_drain=False, drains_after_failure=True)
    started, waiting = Recorder("a", events), Recorder("b", events, ("a",))

    async def wait_for_port():
        await asyncio.Event().wait()

    waiting.start = wait_for_port
    for service in (started, waiting, Recorder("c", events, ("b",))):
        kernel.add(service.name, service)
    running = asyncio.create_task(kernel.run())
    await asyncio.sleep(0)
    if fails:
        started.spawn(fail())
        with pytest.raises(KernelError, match=r"service a failed.*broken loop"):
            await asyncio.wait_for(running, 5)
    else:
        kernel.request_stop()
        kernel.request_stop()
        await asyncio.wait_for(running, 5)
    assert events == ["start a", "drain a", "drain b", "stop b", "stop a"]


async def fail():
    raise ValueError("broken loop")


async def test_a_drain_that_fails_is_logged():
    """Guards against lost requests that leave no line."""
    kernel = make_kernel(Recorder("a", []))
    kernel.get("a", Recorder).drain = fail
    with logbook.TestHandler() as lines:
        await kernel.start()
        await kernel.drain()
        await kernel.stop()
    (record,) = [line for line in lines.records if line.message == "drain failed"]
    assert record.extra["service"] == "a" and "broken loop" in record.extra["error"]


async def test_a_stop_before_the_start_ends_a_start_that_waits():
    """Guards against a process that does not end on an early SIGTERM."""
    kernel = Kernel(1_000.0)
    waiting = Recorder("a", [])
    waiting.start = asyncio.Event().wait
    kernel.add("a", waiting)
    kernel.request_stop()
    await asyncio.wait_for(kernel.run(), 5)
    assert waiting.events == ["drain a", "stop a"]


@pytest.mark.parametrize(
    ("needs_a", "needs_b", "message"),
    [
        (("b",), ("a",), "need each other"),
        (("c",), (), "needs c, which is not registered"),
    ],
)
async def test_unsatisfiable_needs(needs_a, needs_b, message):
    kernel = make_kernel(Recorder("a", [], needs_a), Recorder("b", [], needs_b))
    with pytest.raises(KernelError, match=message):
        kernel.start_order()


async def test_get_checks_name_and_type():
    service = Recorder("a", [])
    kernel = make_kernel(service)
    assert kernel.get("a", Recorder) is service
    with pytest.raises(KernelError, match="is not a Kernel"):
        kernel.get("a", Kernel)
    with pytest.raises(KernelError, match="no service"):
        kernel.get("x", Recorder)
    with pytest.raises(KernelError, match="two services"):
        kernel.add("a", service)


def test_sigterm_starts_a_planned_stop():
    events = []

    class Signals(Recorder):
        async def start(self):
            await super().start()
            os.kill(os.getpid(), signal.SIGTERM)

    kernel_module.run(lambda: make_kernel(Signals("a", events)))
    assert events == ["start a", "drain a", "stop a"]


def test_the_end_of_all_services_is_reported_before_the_loop_is_closed():
    """Guards against a stopped process that waits for threads on a busy machine."""
    events = []

    def record_stopped():
        assert asyncio.get_running_loop().is_running()
        events.append("stopped")

    class Stopping(Recorder):
        async def start(self):
            await super().start()
            os.kill(os.getpid(), signal.SIGTERM)

    kernel_module.run(lambda: make_kernel(Stopping("a", events)), record_stopped)
    assert events == ["start a", "drain a", "stop a", "stopped"]


def test_a_failed_service_is_not_reported_as_a_planned_stop():
    """Guards against an exit status of 0 after a failure."""
    kernel = make_kernel(Recorder("a", [], fails=True))
    with pytest.raises(KernelError, match="did not start"):
        kernel_module.run(lambda: kernel, lambda: pytest.fail("reported"))
