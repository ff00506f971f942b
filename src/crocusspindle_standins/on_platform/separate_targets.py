"""Run stand-in targets in a process of their own, apart from callers and store.

A target that shares the process of a test stands still with it on a busy machine, and
the fleet then ejects it with good reason.
"""

import asyncio
import os
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from multiprocessing.connection import Connection, Pipe
from types import TracebackType
from typing import Any, Final, Self

from crocusspindle_standins.on_platform.target import PlatformTarget

REPLY_TIMEOUT_S: Final = 60.0
STOP_TIMEOUT_S: Final = 10.0

RECORDS: Final = frozenset({"arrivals", "arrival_times_s", "in_flight", "ran", "seen"})
"""What the process knows of a target."""

SETTINGS: Final = frozenset(
    {
        "fault",
        "full_slowdown",
        "is_chunked",
        "is_leaving",
        "limit",
        "limits_runs",
        "long_bytes",
        "retry_after_s",
        "slots",
        "work_s",
    }
)
"""What a test may change while a target runs."""


class SeparateTarget(PlatformTarget):
    """Control a target that runs in another process.

    Settings take effect there, and records are read there, whole, at each use. The
    heartbeat is the test's own. It can't be restarted, and has no ``gate``.
    """

    def __init__(
        self, process: "TargetProcess", identity: str, service: str, zone: str
    ) -> None:
        self._process = process
        self._is_running = False
        super().__init__(identity, service, zone)

    def __getattribute__(self, name: str) -> Any:
        """Read a record from the process, and all else here."""
        if name in RECORDS and self._is_running:
            return self._process.call("read", self.identity, name)
        return super().__getattribute__(name)

    def __setattr__(self, name: str, value: Any) -> None:
        """Change a setting here and in the process."""
        if name == "gate" and value is not None:
            raise NotImplementedError
        super().__setattr__(name, value)
        if name in SETTINGS and self._is_running:
            self._process.call("change", self.identity, name, value)

    @property
    def is_listening(self) -> bool:
        """Return True while the target listens."""
        return self._is_running

    async def start(self, host: str, port: int = 0) -> None:
        """Start the target in the process, with the settings made until now."""
        settings = {name: getattr(self, name) for name in SETTINGS}
        names = (self.identity, self.service, self.zone)
        self.address, self.started_ms = self._process.call(
            "start", names, settings, host, port
        )
        self.starts += 1
        self._is_running = True

    async def stop(self) -> None:
        """Abort all connections and stop listening, as a crash does."""
        if self._is_running:
            for name in RECORDS - {"in_flight"}:
                super().__setattr__(name, getattr(self, name))
            self._is_running = False
            self._process.call("stop", self.identity)

    async def restart(self) -> None:
        """Refuse: the process does not report new instances."""
        raise NotImplementedError


class TargetProcess:
    """Start the process of targets, talk to it, and end it.

    A call blocks the caller's loop until the process has replied.
    """

    def __enter__(self) -> Self:
        """Start the process."""
        self._connection, other = Pipe()
        with other:
            self._process = subprocess.Popen(
                [sys.executable, "-m", __name__, str(other.fileno())],
                stdin=subprocess.DEVNULL,
                pass_fds=[other.fileno()],
            )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """End the process."""
        # It ends by itself when its connection ends.
        self._connection.close()
        try:
            self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    @property
    def returncode(self) -> int | None:
        """Return the status of the process once it has ended."""
        return self._process.returncode

    def target(self, identity: str, service: str, zone: str) -> SeparateTarget:
        """Return a target that will run in the process."""
        return SeparateTarget(self, identity, service, zone)

    def call(self, name: str, *arguments: Any) -> Any:
        """Call a function in the process and return its result.

        Raises ``TimeoutError`` without a reply, and what the function raised.
        """
        self._connection.send((name, arguments))
        if not self._connection.poll(REPLY_TIMEOUT_S):
            raise TimeoutError(f"the process of the targets didn't reply to {name}")
        error, result = self._connection.recv()
        if error is not None:
            raise error
        return result


class _Targets:
    """Run the targets, as the calls of a test ask for."""

    def __init__(self) -> None:
        self._targets: dict[str, PlatformTarget] = {}

    async def start(
        self,
        names: tuple[str, str, str],
        settings: dict[str, Any],
        host: str,
        port: int,
    ) -> tuple[str, int]:
        """Start a target; return its address and when it was started."""
        target = PlatformTarget(*names, **settings)
        await target.start(host, port)
        self._targets[target.identity] = target
        return target.address, target.started_ms

    async def stop(self, identity: str) -> None:
        """Stop a target."""
        await self._targets.pop(identity).stop()

    async def read(self, identity: str, name: str) -> Any:
        """Return a record of a target."""
        return getattr(self._targets[identity], name)

    async def change(self, identity: str, name: str, value: Any) -> None:
        """Change a setting of a target."""
        setattr(self._targets[identity], name, value)


async def _serve(connection: Connection) -> None:
    """Run calls one after the other until the connection ends."""
    targets, arrived = _Targets(), asyncio.Event()
    asyncio.get_running_loop().add_reader(connection.fileno(), arrived.set)
    with suppress(EOFError, ConnectionError):
        while True:
            await arrived.wait()
            arrived.clear()
            while connection.poll():
                name, arguments = connection.recv()
                connection.send(await _result(getattr(targets, name), arguments))


async def _result(
    function: Callable[..., Any], arguments: tuple[Any, ...]
) -> tuple[Exception | None, Any]:
    try:
        return None, await function(*arguments)
    except Exception as error:
        return error, None


if __name__ == "__main__":
    asyncio.run(_serve(Connection(int(sys.argv[1]))))
    os._exit(0)
