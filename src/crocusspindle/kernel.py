"""Start, look up, drain and stop the named services of one node."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from graphlib import CycleError, TopologicalSorter
from typing import Any, ClassVar, Final, TypeVar

import aiomisc
import uvloop

from crocusspindle.errors import KernelError
from crocusspindle.log_lines import Logger, log_state_change

T = TypeVar("T")

_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
_STOP_TIMEOUT_S: Final = 10.0


class Service:
    """Base class of services: owns their tasks; subclasses set ``name``.

    ``needs`` names the services that start before and stop after this one.
    """

    name: ClassVar[str]
    needs: ClassVar[tuple[str, ...]] = ()

    _tasks: set[asyncio.Task[Any]]
    _on_failure: Callable[[str, BaseException], None] | None = None

    async def start(self) -> None:
        """Begin to serve; return once the service is ready."""

    async def drain(self) -> None:
        """Finish running work before a planned stop; may be cancelled."""

    async def stop(self) -> None:
        """Release all resources; the kernel cancels spawned tasks afterwards."""

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine until the service stops; its failure stops the kernel."""
        task = asyncio.create_task(coroutine)
        self._owned_tasks().add(task)
        task.add_done_callback(self._task_done)
        return task

    async def cancel_tasks(self) -> None:
        """Cancel the spawned tasks and wait until they have ended."""
        tasks = list(self._owned_tasks())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _owned_tasks(self) -> set[asyncio.Task[Any]]:
        if "_tasks" not in self.__dict__:
            self._tasks = set()
        return self._tasks

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._owned_tasks().discard(task)
        if task.cancelled() or (error := task.exception()) is None:
            return
        if self._on_failure is not None:
            self._on_failure(self.name, error)


class Kernel:
    """Start, drain and stop the services of one node.

    ``drain_ms`` bounds the drain of a planned stop; what it is when the drain begins
    counts. A second request to stop ends the drain if ``second_stop_ends_drain``. The
    failure of a service stops the others, after a drain if ``drains_after_failure``.
    """

    def __init__(
        self,
        drain_ms: float = 20_000.0,
        second_stop_ends_drain: bool = True,
        drains_after_failure: bool = False,
    ) -> None:
        self.drain_ms = drain_ms
        self._second_stop_ends_drain = second_stop_ends_drain
        self._drains_after_failure = drains_after_failure
        self._services: dict[str, Service] = {}
        self._started: list[Service] = []
        self._stop_requested = asyncio.Event()
        self._stop_now = asyncio.Event()
        self._start_limit: asyncio.Timeout | None = None
        self._failure: KernelError | None = None
        self._log = Logger("kernel")

    def add(self, name: str, service: Service) -> None:
        """Add a service under a unique name."""
        if name in self._services:
            raise KernelError(f"two services are named {name}")
        service._on_failure = self._service_failed
        self._services[name] = service

    def get(self, name: str, kind: type[T]) -> T:
        """Return a service by name; raise ``KernelError`` unless it has that type."""
        service = self._services.get(name)
        if service is None:
            raise KernelError(f"no service is named {name}")
        if not isinstance(service, kind):
            raise KernelError(f"service {name} is not a {kind.__name__}")
        return service

    def start_order(self) -> tuple[str, ...]:
        """Return the services' names in topological order of their needs."""
        for name, service in self._services.items():
            for need in service.needs:
                if need not in self._services:
                    raise KernelError(
                        f"service {name} needs {need}, which is not registered"
                    )
        graph = {name: service.needs for name, service in self._services.items()}
        try:
            return tuple(TopologicalSorter(graph).static_order())
        except CycleError as error:
            cycle = " -> ".join(error.args[1])
            raise KernelError(f"services need each other: {cycle}") from error

    async def start(self) -> None:
        """Start the services in order; if one fails, stop it and those started."""
        for name in self.start_order():
            service = self._services[name]
            self._started.append(service)
            try:
                await service.start()
            except BaseException as error:
                if self._stop_requested.is_set() and not isinstance(error, Exception):
                    # What has started may hold requests; it drains first.
                    raise
                await self._stop_started()
                if isinstance(error, Exception):
                    message = f"service {name} did not start: {error}"
                    raise KernelError(message) from error
                raise
        log_state_change(self._log, "started", services=len(self._started))

    async def stop(self) -> None:
        """Stop all services in reverse order; raise ``KernelError`` if any failed."""
        failures = await self._stop_started()
        log_state_change(self._log, "stopped")
        if failures:
            raise KernelError("; ".join(failures))

    async def drain(self) -> None:
        """Drain all services, until the bound or an immediate stop."""
        draining = [asyncio.create_task(self._drain(one)) for one in self._started]
        if not draining:
            return
        log_state_change(self._log, "draining", drain_ms=self.drain_ms)
        stop_now = asyncio.create_task(self._stop_now.wait())
        all_drained = asyncio.gather(*draining, return_exceptions=True)
        await asyncio.wait(
            (all_drained, stop_now),
            timeout=self.drain_ms / 1e3,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in (*draining, stop_now):
            task.cancel()
        await asyncio.gather(*draining, stop_now, return_exceptions=True)

    async def _drain(self, service: Service) -> None:
        try:
            await service.drain()
        except Exception as error:
            log_state_change(
                self._log, "drain failed", service=service.name, error=repr(error)
            )

    def request_stop(self) -> None:
        """Request a planned stop; a second call may request an immediate stop."""
        if self._stop_requested.is_set() and self._second_stop_ends_drain:
            self._stop_now.set()
        self._begin_stop()

    def _begin_stop(self) -> None:
        limit = self._start_limit
        if limit is not None and not self._stop_requested.is_set():
            limit.reschedule(asyncio.get_running_loop().time())
        self._stop_requested.set()

    async def _start_until_stop(self) -> None:
        """Start the services; a start may wait for long, and ends with a stop."""
        limit = asyncio.timeout(0.0 if self._stop_requested.is_set() else None)
        try:
            async with limit as self._start_limit:
                await self.start()
        except TimeoutError:
            log_state_change(self._log, "start ended", services=len(self._started))
        finally:
            self._start_limit = None

    async def run(self) -> None:
        """Serve until a stop is requested; raise ``KernelError`` on a failure."""
        await self._start_until_stop()
        await self._stop_requested.wait()
        if self._failure is None or self._drains_after_failure:
            await self.drain()
        await self.stop()
        if self._failure is not None:
            raise self._failure

    async def _stop_started(self) -> list[str]:
        failures = []
        while self._started:
            service = self._started.pop()
            try:
                async with asyncio.timeout(_STOP_TIMEOUT_S):
                    await service.stop()
                    await service.cancel_tasks()
            except Exception as error:
                # A service that fails to stop must not keep the others from
                # releasing their sockets.
                failures.append(f"service {service.name} did not stop: {error!r}")
        return failures

    def _service_failed(self, name: str, error: BaseException) -> None:
        # A node that continues without a failed task looks alive and serves nothing;
        # once the process ends, the fleet detects a lost member. A drain tells callers,
        # and lets the services that work on end the requests that have been read.
        log_state_change(self._log, "service failed", service=name, error=repr(error))
        if self._failure is None:
            self._failure = KernelError(f"service {name} failed: {error!r}")
            self._failure.__cause__ = error
        if self._stop_requested.is_set() and not self._drains_after_failure:
            self._stop_now.set()
        self._begin_stop()


class _KernelRunner(aiomisc.Service):
    """Connect the kernel to the aiomisc entrypoint and its signals."""

    kernel: Kernel

    async def start(self) -> None:
        """Install the signal handlers."""
        for number in _SIGNALS:
            self.loop.add_signal_handler(number, self.kernel.request_stop)

    async def stop(self, exception: Exception | None = None) -> None:
        """Remove the signal handlers."""
        for number in _SIGNALS:
            self.loop.remove_signal_handler(number)


def run(
    build: Callable[[], Kernel], on_stopped: Callable[[], None] | None = None
) -> None:
    """Build a kernel inside the event loop and run it until it is stopped.

    SIGTERM or SIGINT requests a planned stop, as `Kernel.request_stop`. ``on_stopped``
    is called when all services have stopped without a failure, and may end the process
    before the event loop is closed.
    """

    async def serve() -> None:
        kernel = build()
        runner = _KernelRunner(kernel=kernel)
        await entrypoint.start_services(runner)
        await kernel.run()
        if on_stopped is not None:
            on_stopped()

    entrypoint = aiomisc.entrypoint(
        loop_factory=uvloop.new_event_loop, log_config=False, catch_signals=()
    )
    with entrypoint as loop:
        loop.run_until_complete(serve())
