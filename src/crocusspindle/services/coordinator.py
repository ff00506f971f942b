"""Coordinate groups of targets: one runner for each group."""

import asyncio
import random
from contextlib import suppress
from dataclasses import asdict
from itertools import count
from typing import Any, Final

import aiohttp

from crocusspindle import instruments
from crocusspindle.clock import now_ms
from crocusspindle.core.coordinator_settings import CoordinatorSettings
from crocusspindle.core.decisions import CoordinatorLoad, CoordinatorStatus, Outcome
from crocusspindle.core.health import GroupHealth
from crocusspindle.core.health_state import (
    Ejected,
    EjectionWithheld,
    GroupSuspect,
    HealthChange,
    HealthSettings,
    Restored,
    TargetHealth,
)
from crocusspindle.core.model import Service as ServiceLimits
from crocusspindle.core.model import Target
from crocusspindle.errors import PeerError
from crocusspindle.ids import MemberId, RequestId, ServiceId, TargetId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics
from crocusspindle.services.control import AppliedTicket, ControlService
from crocusspindle.services.group_meter import GroupMeter
from crocusspindle.services.group_runner import GroupRunner
from crocusspindle.services.handed_over_request import (
    HandedOverRequest,
    RequestFailure,
    ResponseReceived,
    ResponseTransfer,
    receive_head,
    send_refusal,
    send_response,
)
from crocusspindle.services.links import CoordinatorLink
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.services.targets import TargetClient
from crocusspindle.settings_schema import LimitSettings
from crocusspindle.wire import fleet_pb2 as wire

GroupId = tuple[ServiceId, int]

COORDINATOR_UNFIT: Final = "home-unfit"
QUEUED_FRAME_DELAY_S: Final = 0.02
"""A request that ends sooner needs no queued frame, which saves a message. Far below
the 150 ms after which an entry tries the next coordinator."""

SECOND_OPINION_TIMEOUT_MS: Final = 250.0
"""A connection attempt from another failure domain takes about 25 ms and two hops of
1.5 ms."""


class CoordinatorService(Service):
    """Queue, place and dispatch requests that entries hand over.

    Registered in the kernel as ``home``.
    """

    name = "home"
    needs = ("control", "peers")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        limits: LimitSettings,
        metrics: Metrics,
    ) -> None:
        self._control = control
        self._peers = peers
        self._limits = limits
        self._metrics = metrics
        self._client = TargetClient()
        self._runners: dict[GroupId, GroupRunner] = {}
        self._request_numbers = count(1)
        self._logger = Logger("home")
        control.watch(change=self._apply_change, targets=self._update_targets)

    async def start(self) -> None:
        """Start the target client."""
        await self._client.start()

    async def stop(self) -> None:
        """Close every group and the client."""
        for runner in self._runners.values():
            await runner.close()
        await self._client.stop()

    @property
    def busy(self) -> bool:
        """Return True while requests are queued or running here."""
        return any(runner.busy for runner in self._runners.values())

    async def serve(self, link: CoordinatorLink) -> None:
        """Receive one request from its entry and send its final result."""
        head = await receive_head(link)
        request = HandedOverRequest(
            number=RequestId(next(self._request_numbers)),
            head=head,
            link=link,
            deadline_ms=now_ms() + head.remaining_ms,
            final_result=asyncio.get_running_loop().create_future(),
        )
        if not self._control.is_eligible():
            refusal = RequestFailure(Outcome.NOT_RUN, COORDINATOR_UNFIT, now_ms())
            await send_refusal(request, refusal, now_ms())
            return
        runner = self._get_runner((ServiceId(head.service), head.group))
        if now_ms() < runner.declines_until_ms and head.may_move:
            refusal = RequestFailure(Outcome.NOT_RUN, COORDINATOR_UNFIT, now_ms())
            await send_refusal(request, refusal, now_ms())
            return
        runner.arrive(request)
        try:
            await self._await_result(runner, request)
        finally:
            runner.withdraw(request)
            runner.forget(request)

    async def _await_result(
        self, runner: GroupRunner, request: HandedOverRequest
    ) -> None:
        read_task = asyncio.create_task(request.read_frames())
        pending: set[asyncio.Future[Any]] = {read_task, request.final_result}
        first_completed = asyncio.FIRST_COMPLETED
        try:
            await asyncio.wait(
                pending, timeout=QUEUED_FRAME_DELAY_S, return_when=first_completed
            )
            if not request.final_result.done() and not read_task.done():
                queued = wire.Queued(load=load_message(runner.load()))
                await request.link.send(wire.AnswerFrame(queued=queued))
                await asyncio.wait(pending, return_when=first_completed)
            if request.final_result.done():
                await self._send_final(runner, request, request.final_result.result())
        finally:
            read_task.cancel()
            with suppress(asyncio.CancelledError, *PEER_FAILURES):
                await read_task

    async def _send_final(
        self,
        runner: GroupRunner,
        request: HandedOverRequest,
        final_result: ResponseReceived | RequestFailure,
    ) -> None:
        if isinstance(final_result, RequestFailure):
            await send_refusal(request, final_result, now_ms())
            return
        transfer = ResponseTransfer.ENTRY_LOST
        try:
            await send_response(request, final_result, load_message(runner.load()))
            transfer = ResponseTransfer.COMPLETE
        except aiohttp.ClientError:
            # The stream to the entry ends without its last frame, so that the caller
            # sees a truncated response.
            transfer = ResponseTransfer.TARGET_FAILED
            raise PeerError("the target ended the response early") from None
        finally:
            request.end_transfer(transfer)

    async def try_target(self, target: TargetId, remaining_ms: float) -> bool:
        """Return True if this node can connect to a target, as a second opinion."""
        return await self._client.try_target(target, now_ms() + remaining_ms)

    def groups(
        self,
    ) -> list[tuple[ServiceId, CoordinatorStatus, tuple[TargetHealth, ...]]]:
        """Return the status and target health of each group coordinated here."""
        return [
            (service, *runner.status())
            for (service, _), runner in self._runners.items()
        ]

    def status(self) -> list[dict[str, Any]]:
        """Return the groups coordinated here as operators see them."""
        groups_status = []
        for (service, group), runner in self._runners.items():
            coordinator, health = runner.status()
            groups_status.append(
                {
                    "service": service,
                    "group": group,
                    "home": asdict(coordinator),
                    "targets": [asdict(target) for target in health],
                }
            )
        return groups_status

    def _get_runner(self, group: GroupId) -> GroupRunner:
        runner = self._runners.get(group)
        if runner is not None:
            return runner
        service = self._control.directory.service(group[0]) or ServiceLimits(group[0])
        health = GroupHealth.from_config(HealthSettings(), service.floor_fraction)
        settings = CoordinatorSettings(
            domain=self._control.own_member.domain,
            retry_fraction=self._limits.retry_fraction,
            hedge_fraction=self._limits.hedge_fraction,
        )
        runner = GroupRunner(
            name=f"{group[0]}/{group[1]}",
            settings=settings,
            health=health,
            client=self._client,
            permissions=self._control,
            rng=random.Random(),
            on_health=self._report_health_change,
            second_opinion=self._second_opinion,
            meter=GroupMeter(group[0], self._metrics),
        )
        self._runners[group] = runner
        runner.set_targets(self._targets_of(group))
        return runner

    def _targets_of(self, group: GroupId) -> tuple[Target, ...]:
        service, number = group
        groups = self._control.groups.get(service, ())
        if number >= len(groups):
            return ()
        target_ids = set(groups[number].targets)
        listed = self._control.targets[service]
        return tuple(target for target in listed if target.target in target_ids)

    def _update_targets(self) -> None:
        for group, runner in self._runners.items():
            runner.set_targets(self._targets_of(group))

    def _apply_change(self, change: AppliedTicket) -> None:
        # A request may be queued up to its deadline, and its key withdrawn meanwhile.
        for runner in self._runners.values():
            for digest in change.withdrawn:
                runner.revoke(digest)

    async def _second_opinion(self, target: TargetId) -> bool:
        """Return whether a node of another failure domain can connect to a target."""
        for member in self._opinion_candidates():
            with suppress(*PEER_FAILURES):
                async with asyncio.timeout(SECOND_OPINION_TIMEOUT_MS / 1e3):
                    reply = await self._peers.stub(member).TryTarget(
                        wire.TryTargetRequest(
                            target=target, remaining_ms=SECOND_OPINION_TIMEOUT_MS / 2
                        ),
                        metadata=self._peers.metadata,
                    )
                return bool(reply.reached)
        raise PeerError("no node of another failure domain responded")

    def _opinion_candidates(self) -> list[MemberId]:
        own = self._control.own_member.domain
        candidates = [
            member.member
            for member in self._peers.members()
            if member.domain != own and self._peers.usable(member.member)
        ]
        random.shuffle(candidates)
        return candidates[:2]

    def _report_health_change(self, runner: GroupRunner, change: HealthChange) -> None:
        kind = type(change).__name__
        service = runner.name.rpartition("/")[0]
        self._metrics.add(instruments.HEALTH_CHANGES, service=service, change=kind)
        if isinstance(change, Ejected | EjectionWithheld | Restored | GroupSuspect):
            fields = asdict(change)
            log_state_change(self._logger, kind, group=runner.name, **fields)


def load_message(load: CoordinatorLoad) -> wire.Load:
    """Return a group's load as the message for entries."""
    return wire.Load(
        queued=load.queued,
        running=load.running,
        slots=load.slots,
        wait_ms=load.wait_ms_estimate,
    )
