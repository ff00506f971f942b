"""Start the processes of a test fleet on loopback and end them by process id."""

import asyncio
import itertools
import os
import secrets
import signal
import socket
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import aiohttp

HOST: Final = "127.0.0.1"
START_TIMEOUT_S: Final = 20.0
STOP_TIMEOUT_S: Final = 5.0


PORTS: Final = range(11_000, 32_000)
"""Below the ephemeral ports of outgoing connections."""

WORKERS: Final = 8
PORT_SHARE: Final = "CROCUSSPINDLE_PORT_SHARE"
"""Environment variable that numbers the processes that run fleets in parallel."""


def _worker_ports() -> range:
    """Return the port range of this process, disjoint from other test workers'."""
    worker = os.environ.get(PORT_SHARE) or os.environ.get("PYTEST_XDIST_WORKER", "")
    number = int(worker.removeprefix("gw")) if worker else secrets.randbelow(WORKERS)
    ports_per_worker = len(PORTS) // WORKERS
    first = PORTS.start + number % WORKERS * ports_per_worker
    return range(first, first + ports_per_worker)


_port_range: Final = _worker_ports()
_candidates: Final = itertools.cycle(range(len(_port_range)))
_offset: Final = secrets.randbelow(len(_port_range))


def free_ports(count: int) -> list[int]:
    """Return ports that are free now and that this process has not yet handed out."""
    ports: list[int] = []
    while len(ports) < count:
        port = _port_range[(next(_candidates) + _offset) % len(_port_range)]
        with suppress(OSError), socket.create_server((HOST, port)):
            ports.append(port)
    return ports


@dataclass
class RunningProcess:
    """Hold one process of the test fleet and the file of its output."""

    name: str
    process: asyncio.subprocess.Process
    log: Path

    @property
    def alive(self) -> bool:
        """Return True while the process has not ended."""
        return self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process unless it has ended."""
        if self.alive:
            self.process.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process still runs after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self.process.wait()
        except TimeoutError:
            return None


@dataclass
class Processes:
    """Start the processes of one test and end all of them."""

    folder: Path
    running: dict[str, RunningProcess] = field(default_factory=dict)

    async def start(self, name: str, module: str, *arguments: object) -> RunningProcess:
        """Run a module of this project in a new process."""
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *(str(argument) for argument in arguments),
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"UV_USE_IO_URING": "0"},
            )
        running_process = RunningProcess(name, process, log)
        self.running[name] = running_process
        return running_process

    async def stop_all(self) -> None:
        """End every process that this object started."""
        for running_process in self.running.values():
            running_process.signal(signal.SIGCONT)
            running_process.signal(signal.SIGKILL)
        for running_process in self.running.values():
            await running_process.wait(STOP_TIMEOUT_S)


async def until_served(
    session: aiohttp.ClientSession, url: str, running: RunningProcess
) -> None:
    """Wait until a process responds at its URL, with any status.

    Raises ``TimeoutError``, or ``RuntimeError`` with its log if it has ended.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if not running.alive:
                raise RuntimeError(f"{running.name} ended: {running.log.read_text()}")
            try:
                async with session.get(url) as response:
                    await response.read()
                    return
            except (aiohttp.ClientError, OSError):
                await asyncio.sleep(0.05)


async def put_json(session: aiohttp.ClientSession, url: str, content: Any) -> None:
    """Put JSON to a stand-in's control URL."""
    async with session.put(url, json=content) as response:
        response.raise_for_status()


async def get_json(session: aiohttp.ClientSession, url: str) -> Any:
    """Return the JSON of a stand-in's control URL."""
    async with session.get(url) as response:
        response.raise_for_status()
        return await response.json()
