"""Start gateways' processes, disturb their starts, and record how each one ends."""

import asyncio
import os
import socket
from asyncio.subprocess import Process
from collections import defaultdict
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from itertools import cycle
from pathlib import Path
from signal import SIGHUP
from typing import Final

from crocusspindle_standins.on_platform.fleet import Fleet
from crocusspindle_standins.soak.history import End, History
from crocusspindle_standins.soak.plan import LOADED_S, Plan, Start

POLL_S: Final = 0.0005
PEER_PORT: Final = 7340
METRICS_PORT: Final = 9464


class Processes:
    """Hold the processes and the settings of a fleet's gateways.

    Background tasks join ``group``.
    """

    def __init__(
        self, plan: Plan, fleet: Fleet, history: History, group: asyncio.TaskGroup
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._group = group
        self._starts = [cycle(starts) for starts in plan.starts]
        self._all: defaultdict[int, list[Process]] = defaultdict(list)
        self._told_to_end: set[Process] = set()
        self._watchers: list[asyncio.Task[None]] = []
        self.settings = [g.settings.read_text() for g in fleet.gateways]
        for number in range(len(fleet.gateways)):
            self._watch(number)

    def live(self, number: int) -> list[Process]:
        """Return a gateway's processes that run, the newest last."""
        return [p for p in self._all[number] if p.returncode is None]

    def newest(self, number: int) -> Process | None:
        """Return a gateway's newest process if it runs."""
        process = self._all[number][-1]
        return process if process.returncode is None else None

    def tell_to_end(self, process: Process, signal_number: int) -> None:
        """Send a signal that ends a process by plan."""
        self._told_to_end.add(process)
        send(process, signal_number)

    def next_start(self, number: int) -> Start:
        """Return the plan of a gateway's next start."""
        return next(self._starts[number])

    async def start(self, number: int, start: Start) -> None:
        """Start a gateway's next process by its plan."""
        gateway = self._fleet.gateways[number]
        share = round(start.settings_share * len(self.settings[number]))
        gateway.settings.write_text(self.settings[number][:share])
        if start.held_port:
            self._group.create_task(self._hold_port(number, start))
        # The port is held before the process starts.
        await asyncio.sleep(0)
        await self._fleet.run(gateway)
        self._watch(number)
        self._history.mark(f"g{number} started: {start}")
        self._group.create_task(self._write_settings(number, start.settings_pause_s))
        process = self._all[number][-1]
        for after_s in start.hangups_s:
            self._group.create_task(self._hang_up(process, after_s))

    def write_settings(self, number: int) -> None:
        """Write a gateway's settings file as a whole."""
        self._fleet.gateways[number].settings.write_text(self.settings[number])

    async def _write_settings(self, number: int, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        self.write_settings(number)

    async def _hang_up(self, process: Process, after_s: float) -> None:
        if await until_used(process, after_s):
            send(process, SIGHUP)

    async def _hold_port(self, number: int, start: Start) -> None:
        gateway = self._fleet.gateways[number]
        port, kind = {
            "front": (gateway.ports[0], socket.SOCK_STREAM),
            "ready": (gateway.ports[1], socket.SOCK_STREAM),
            "directory": (gateway.ports[2], socket.SOCK_STREAM),
            "peers": (PEER_PORT, socket.SOCK_STREAM),
            "datagrams": (PEER_PORT, socket.SOCK_DGRAM),
            "metrics": (METRICS_PORT, socket.SOCK_STREAM),
        }[start.held_port]
        # The process before may hold the port by itself.
        with suppress(OSError), held_port(gateway.ip, port, kind):
            await asyncio.sleep(start.held_s)

    def _watch(self, number: int) -> None:
        process = self._fleet.gateways[number].process
        assert process is not None
        self._all[number].append(process)
        watcher = asyncio.create_task(self._record_end(number, process))
        self._watchers.append(watcher)

    async def _record_end(self, number: int, process: Process) -> None:
        status = await process.wait()
        if process not in self._told_to_end:
            end = End(number, self._history.now_s(), status)
            self._history.ended_by_themselves.append(end)

    async def close(self) -> None:
        """Stop recording, and kill what runs."""
        for watcher in self._watchers:
            watcher.cancel()
        for processes in self._all.values():
            for process in processes:
                if process.returncode is None:
                    process.kill()
                    await process.wait()


@contextmanager
def held_port(ip: str, port: int, kind: socket.SocketKind) -> Iterator[None]:
    """Hold a port, without accepting connections, so that none else can bind it."""
    with socket.socket(socket.AF_INET, kind) as holder:
        if kind == socket.SOCK_STREAM:
            # Closed connections of the process before must not prevent this.
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        holder.bind((ip, port))
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        yield


def send(process: Process, signal_number: int) -> None:
    """Send a signal to a process if it runs.

    The library's own function reads the status of a process that has just ended, which
    is then unknown to the library's watcher.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal_number)


def used_s(process: Process) -> float:
    """Return the processor time of a process, which a busy host does not stretch."""
    try:
        text = Path(f"/proc/{process.pid}/schedstat").read_text()
    except OSError:
        return 0.0
    return int(text.split()[0]) / 1e9


async def until_used(process: Process, after_s: float = LOADED_S) -> bool:
    """Wait until a process has used this much time; return False if it has ended."""
    while process.returncode is None and used_s(process) < after_s:
        await asyncio.sleep(POLL_S)
    return process.returncode is None
