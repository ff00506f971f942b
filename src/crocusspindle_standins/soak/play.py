"""Play a plan against a fleet of real processes."""

import asyncio
import signal
import tomllib
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Final

from crocusspindle_standins.on_platform import partitioned
from crocusspindle_standins.on_platform.deployed import deployed_command
from crocusspindle_standins.on_platform.fleet import (
    GUEST_KEY,
    Fleet,
    Gateway,
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
    Stop,
)
from crocusspindle_standins.soak.plan import QUOTAS, TARGETS, Action, Event, Plan

READY_CHECK_S: Final = 0.5
SETTLE_S: Final = 0.5
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
        self._stopping: set[int] = set()
        self._apply_by_action: dict[Action, Callable[[Event], Awaitable[None]]] = {
            Action.STOP: self._stop,
            Action.RELOAD: self._reload,
            Action.KILL: self._kill,
            Action.PAUSE: self._pause,
            Action.CONFIGURE: self._configure,
            Action.DISTURB: self._disturb_target,
            Action.CUT: self._cut,
            Action.RESTORE: self._restore,
            Action.LEAVE: self._leave,
            Action.REVOKE: self._revoke,
        }

    async def play(self) -> None:
        """Run the whole plan; stop all processes at the end."""
        try:
            await self.fleet.start(self._plan.gateways, TARGETS)
            await self.fleet.configure(self._document)
            for target in self.fleet.targets:
                target.work_s = self._plan.work_s
            self.history.begin()
            async with asyncio.TaskGroup() as group:
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
            await asyncio.sleep(SETTLE_S)
            self.history.ended_by_themselves.extend(
                number
                for number, gateway in enumerate(self.fleet.gateways)
                if _running(gateway) is None
            )
        finally:
            await self.fleet.stop()

    async def _apply(self, event: Event) -> None:
        await asyncio.sleep(event.at_s)
        name = f"{event.action.value} {event.subject} {event.detail}".rstrip()
        needs_ready = event.action in (Action.STOP, Action.RELOAD)
        if needs_ready and not await self._is_ready(event.subject):
            self.history.mark(f"{name}: left out, not ready")
            return
        self.history.mark(name)
        await self._apply_by_action[event.action](event)
        self.history.mark(f"{name}: done")

    async def _is_ready(self, number: int) -> bool:
        try:
            async with asyncio.timeout(READY_CHECK_S):
                return await self.fleet.is_ready(self.fleet.gateways[number])
        except TimeoutError:
            return False

    async def _stop(self, event: Event) -> None:
        gateway = self.fleet.gateways[event.subject]
        process = _running(gateway)
        if process is None or event.subject in self._stopping:
            return
        self._stopping.add(event.subject)
        grace_s = tomllib.loads(gateway.settings.read_text())["bounds"]["grace_s"]
        at_s = self.history.now_s()
        process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace_s + KILL_AFTER_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
        exited_s, status = self.history.now_s(), process.returncode
        stop = Stop(event.subject, at_s, grace_s, exited_s, status)
        self.history.stops.append(stop)
        await self.fleet.run(gateway)
        self._stopping.discard(event.subject)

    async def _reload(self, event: Event) -> None:
        gateway = self.fleet.gateways[event.subject]
        name = event.detail.partition(" ")[0]
        lines = gateway.settings.read_text().splitlines()
        changed = [event.detail if line.startswith(name) else line for line in lines]
        gateway.settings.write_text("\n".join(changed))
        process = _running(gateway)
        if process is not None:
            process.send_signal(signal.SIGHUP)

    async def _kill(self, event: Event) -> None:
        gateway = self.fleet.gateways[event.subject]
        process = _running(gateway)
        if process is None:
            return
        at_s = self.history.now_s()
        process.kill()
        self.history.disruptions.append(Disruption(event.subject, at_s, at_s))
        await process.wait()
        if event.subject not in self._stopping:
            await self.fleet.run(gateway)

    async def _pause(self, event: Event) -> None:
        process = _running(self.fleet.gateways[event.subject])
        if process is None:
            return
        began_s = self.history.now_s()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(event.lasts_s)
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        disruption = Disruption(event.subject, began_s, self.history.now_s())
        self.history.disruptions.append(disruption)

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


def _running(gateway: Gateway) -> asyncio.subprocess.Process | None:
    process = gateway.process
    return None if process is None or process.returncode is not None else process
