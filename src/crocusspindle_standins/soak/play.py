"""Play a plan against a fleet of real processes."""

import asyncio
import signal
import tomllib
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Final

from crocusspindle_standins.on_platform import partitioned
from crocusspindle_standins.on_platform.deployed import deployed_command
from crocusspindle_standins.on_platform.fleet import (
    GUEST_KEY,
    Fleet,
    configuration,
)
from crocusspindle_standins.on_platform.partitioned import (
    CutMode,
    end_cut,
    write_cut,
)
from crocusspindle_standins.on_platform.store import StoreMode
from crocusspindle_standins.on_platform.target import TargetFault
from crocusspindle_standins.soak.callers import key_of, run_caller, send_single
from crocusspindle_standins.soak.history import (
    Disruption,
    History,
    Leaving,
    Outage,
    RecordedTarget,
    Stall,
    Stop,
)
from crocusspindle_standins.soak.plan import (
    LOADED_S,
    QUOTAS,
    RUN_S,
    TARGETS,
    Action,
    Event,
    Plan,
)
from crocusspindle_standins.soak.processes import (
    Processes,
    send,
    until_used,
    used_s,
)

SETTLE_S: Final = 0.5
LAG_CHECK_S: Final = 0.05
MAX_LAG_S: Final = 0.15
LEAVES_FOR_S: Final = 4.0
KILL_AFTER_S: Final = 2.0
"""Time past the grace period after which a process that still runs is killed."""


class Player:
    """Hold the fleet of one run and apply the events of its plan."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self.history = History()
        make_target = partial(RecordedTarget, history=self.history)
        self.fleet = Fleet(
            folder,
            make_target=make_target,
            command=deployed_command(folder / "bin", Path(partitioned.__file__)),
        )
        # The fleet starts with version 1; a document of the same version has no effect.
        self._version = 2
        self._document = configuration(self._version)
        self._document["tenants"]["guest"] = {"api_keys": [GUEST_KEY]}
        for customer, (rate_per_s, burst) in QUOTAS.items():
            keys = [key_of(customer)]
            tenant = {"api_keys": keys, "per_s": rate_per_s, "burst": burst}
            self._document["tenants"][customer] = tenant
        self._stopping: dict[int, Process] = {}
        self._processes: Processes | None = None
        self._apply_by_action: dict[Action, Callable[[Event], Awaitable[None]]] = {
            Action.STOP: self._stop,
            Action.RELOAD: self._reload,
            Action.KILL: self._kill,
            Action.PAUSE: self._pause,
            Action.HANG_UP: self._hang_up,
            Action.STALL: self._stall,
            Action.CONFIGURE: self._configure,
            Action.DISTURB: self._disturb_target,
            Action.CUT: self._cut,
            Action.RESTORE: self._restore,
            Action.LEAVE: self._leave,
            Action.REVOKE: self._revoke,
        }

    async def play(self) -> None:
        """Run the whole plan; stop all processes at the end."""
        # Gateways would inherit that this process ignores it, but no handler.
        signal.signal(signal.SIGHUP, lambda *_: None)
        try:
            await self.fleet.start(self._plan.gateways, TARGETS)
            await self.fleet.configure(self._document)
            for target in self.fleet.targets:
                target.work_s = self._plan.work_s
            self.history.begin()
            async with asyncio.TaskGroup() as group:
                self._processes = Processes(self._plan, self.fleet, self.history, group)
                for event in self._plan.events:
                    group.create_task(self._apply(event))
                for number, caller in enumerate(self._plan.callers):
                    gateway = self.fleet.gateways[caller.gateway]
                    name = f"s{self._plan.seed}-c{number}"
                    group.create_task(run_caller(name, caller, gateway, self.history))
                for number, single in enumerate(self._plan.singles):
                    gateway = self.fleet.gateways[single.gateway]
                    name = f"s{self._plan.seed}-{single.customer}{number}"
                    group.create_task(send_single(name, single, gateway, self.history))
                group.create_task(self._record_lags())
            await asyncio.sleep(SETTLE_S)
        finally:
            if self._processes is not None:
                await self._processes.close()
            await self.fleet.stop()

    async def _record_lags(self) -> None:
        """Record when this process itself stood still, and saw ends of others late."""
        while (began_s := self.history.now_s()) < RUN_S:
            await asyncio.sleep(LAG_CHECK_S)
            ended_s = self.history.now_s()
            if ended_s - began_s > LAG_CHECK_S + MAX_LAG_S:
                self.history.mark(f"soak stood still for {ended_s - began_s:.3f} s")
                self.history.stalls.extend(
                    Stall(number, began_s, ended_s)
                    for number in range(self._plan.gateways)
                )

    async def _apply(self, event: Event) -> None:
        await asyncio.sleep(event.at_s)
        name = f"{event.action.value} {event.subject} {event.detail}".rstrip()
        self.history.mark(name)
        await self._apply_by_action[event.action](event)
        self.history.mark(f"{name}: done")

    @property
    def processes(self) -> Processes:
        """Return the gateways' processes; the fleet must be started."""
        assert self._processes is not None
        return self._processes

    async def _stop(self, event: Event) -> None:
        """Stop a gateway and start the next process, or send SIGTERM again."""
        number = event.subject
        if number in self._stopping:
            self.processes.tell_to_end(self._stopping[number], signal.SIGTERM)
            return
        process = self.processes.newest(number)
        if process is None:
            return
        self._stopping[number] = process
        is_running = await until_used(process)
        start = self.processes.next_start(number)
        async with asyncio.TaskGroup() as group:
            if is_running:
                group.create_task(self._end(number, process))
            if start.overlap_s is not None:
                await asyncio.sleep(start.overlap_s)
                await self.processes.start(number, start)
        del self._stopping[number]
        if self.processes.newest(number) is None:
            await self.processes.start(number, start)

    async def _end(self, number: int, process: Process) -> None:
        grace_s = tomllib.loads(self.processes.settings[number])["bounds"]["grace_s"]
        at_s = self.history.now_s()
        self.processes.tell_to_end(process, signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s + KILL_AFTER_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        exited_s, status = self.history.now_s(), process.returncode
        self.history.stops.append(Stop(number, at_s, grace_s, exited_s, status))

    async def _reload(self, event: Event) -> None:
        name = event.detail.partition(" ")[0]
        lines = self.processes.settings[event.subject].splitlines()
        changed = [event.detail if line.startswith(name) else line for line in lines]
        self.processes.settings[event.subject] = "\n".join(changed)
        self.processes.write_settings(event.subject)
        await self._hang_up(event)

    async def _hang_up(self, event: Event) -> None:
        until_s = self.history.now_s() + event.lasts_s
        while True:
            for process in self.processes.live(event.subject):
                if used_s(process) >= LOADED_S:
                    send(process, signal.SIGHUP)
            if self.history.now_s() >= until_s:
                return
            await asyncio.sleep(int(event.detail) / 1e3)

    async def _kill(self, event: Event) -> None:
        process = self.processes.newest(event.subject)
        if process is None:
            return
        at_s = self.history.now_s()
        self.processes.tell_to_end(process, signal.SIGKILL)
        self.history.disruptions.append(Disruption(event.subject, at_s, at_s))
        await process.wait()
        if event.subject not in self._stopping:
            start = self.processes.next_start(event.subject)
            await self.processes.start(event.subject, start)

    async def _pause(self, event: Event) -> None:
        began_s, ended_s = await self._stand_still(event)
        disruption = Disruption(event.subject, began_s, ended_s)
        self.history.disruptions.append(disruption)

    async def _stall(self, event: Event) -> None:
        began_s, ended_s = await self._stand_still(event)
        self.history.stalls.append(Stall(event.subject, began_s, ended_s))

    async def _stand_still(self, event: Event) -> tuple[float, float]:
        began_s = self.history.now_s()
        processes = self.processes.live(event.subject)
        for process in processes:
            send(process, signal.SIGSTOP)
        await asyncio.sleep(event.lasts_s)
        for process in processes:
            send(process, signal.SIGCONT)
        return began_s, self.history.now_s()

    async def _configure(self, event: Event) -> None:
        added = {"prefix": f"/added-{self._version}/"}
        pages = self._document["routes"]["pages"]
        self._document["routes"]["added"] = {**pages, **added}
        await self._write_next_document()

    async def _write_next_document(self) -> None:
        self._version += 1
        self._document["version"] = f"{self._version:08x}"
        await self.fleet.configure(self._document)

    async def _revoke(self, event: Event) -> None:
        del self._document["tenants"]["guest"]
        await self._write_next_document()
        self.history.revoked_s = self.history.now_s()

    async def _leave(self, event: Event) -> None:
        target = self.fleet.targets[event.subject]
        if not target.is_listening:
            return
        identity = target.identity
        await target.write_entry(self.fleet.store, "draining")
        self.history.leavings.append(Leaving(identity, self.history.now_s()))
        await asyncio.sleep(LEAVES_FOR_S)
        if target.identity == identity:
            await target.restart()

    async def _restore(self, event: Event) -> None:
        store = self.fleet.store
        copy = store.copy()
        for number in range(int(event.detail)):
            await store.put("notes", f"note-{number}", b"")
        await asyncio.sleep(event.lasts_s / 2)
        began_s = self.history.now_s()
        store.mode = StoreMode.RESETS
        await asyncio.sleep(event.lasts_s / 4)
        self.fleet.writes_entries = False
        await store.restore(copy)
        store.mode = StoreMode.HEALTHY
        self.history.outages.append(Outage(began_s, self.history.now_s()))
        await asyncio.sleep(event.lasts_s / 4)
        await self.fleet.configure(self._document)
        self.fleet.writes_entries = True

    async def _cut(self, event: Event) -> None:
        settings = self.fleet.gateways[event.subject].settings
        began_s = self.history.now_s()
        addresses = [target.address for target in self.fleet.targets]
        write_cut(settings, CutMode(event.detail), addresses)
        await asyncio.sleep(event.lasts_s)
        end_cut(settings)
        disruption = Disruption(event.subject, began_s, self.history.now_s())
        self.history.disruptions.append(disruption)

    async def _disturb_target(self, event: Event) -> None:
        target = self.fleet.targets[event.subject]
        if event.detail == "restart":
            await target.restart()
            return
        target.fault = TargetFault(event.detail)
        await asyncio.sleep(event.lasts_s)
        target.fault = TargetFault.NONE
