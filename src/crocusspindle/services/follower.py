"""Follow the platform's ticket log, member view and host list.

A few nodes of each failure domain read the platform; the others learn from peers.
"""

import asyncio
import random
from contextlib import suppress
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.members import (
    MemberView,
    NoProposalReason,
    Outage,
    ProposerState,
    decode_view,
    encode_view,
)
from crocusspindle.core.model import Target, TargetState
from crocusspindle.core.rendezvous import order
from crocusspindle.core.ticket_schema import decode_ticket
from crocusspindle.errors import PlatformError, TicketConflictError
from crocusspindle.ids import (
    DomainId,
    MemberId,
    ServiceId,
    TargetId,
    TicketNumber,
    ViewNumber,
)
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.platform.adapter import ABSENT, Platform, Row
from crocusspindle.services.control import ControlService, unix_ms
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.services.snapshots import Snapshots
from crocusspindle.settings_schema import LimitSettings, TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

TICKETS: Final = "tickets"
FLEET: Final = "fleet"
VIEW: Final = "view"
PAGE: Final = 200
VIEWS_KEPT: Final = 64
"""Member lists kept to record an outage under them once the platform is back."""

OWN_READ_FRACTION: Final = 0.5
"""A node that learns from peers reads the platform itself once its stamp is this
part of its life old: the pollers of its domain may all be gone at once."""


def ticket_key(number: TicketNumber) -> str:
    """Return the row key of a ticket, in the order of the numbers."""
    return f"{number:012d}"


def target_message(target: Target) -> wire.ListedTarget:
    """Return a listed target as peers send it."""
    return wire.ListedTarget(
        target=target.target,
        service=target.service,
        domain=target.domain,
        slots=target.slots,
        state=target.state.value,
    )


def target_from(message: wire.ListedTarget) -> Target:
    """Return a listed target that a peer sent."""
    return Target(
        target=TargetId(message.target),
        service=ServiceId(message.service),
        domain=DomainId(message.domain),
        slots=message.slots,
        state=TargetState(message.state),
    )


class FollowerService(Service):
    """Read the platform or ask peers, and keep this node in the view."""

    name = "follower"
    needs = ("platform", "control", "peers")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        platform: Platform,
        timings: TimingSettings,
        limits: LimitSettings,
    ) -> None:
        self._control = control
        self._peers = peers
        self._platform = platform
        self._timings = timings
        self._limits = limits
        self._snapshots = Snapshots(control, platform, timings)
        self._view_version = ABSENT
        self._asking: set[MemberId] = set()
        self._asking_targets: set[MemberId] = set()
        self._names: dict[ViewNumber, tuple[MemberId, ...]] = {}
        self._stopping = False
        self._logger = Logger("follower")
        control.watch(
            behind=self._ask, view=self._follow, old_targets=self._ask_targets
        )

    async def start(self) -> None:
        """Read what there is and begin to follow it."""
        with suppress(PlatformError):
            await self._snapshots.load()
            await self._read_all()
        self.spawn(self._poll())

    async def drain(self) -> None:
        """Say that this node leaves, and take it out of the view at the end."""
        self._control.draining = True

    async def leave(self) -> None:
        """Take this node out of the view by its own word."""
        self._stopping = True
        self._control.membership.record_leave(self._control.me.member)
        with suppress(PlatformError):
            await self._propose()

    async def stop(self) -> None:
        """Leave the view; a platform that is away will not hear of it."""
        await self.leave()

    def _deadline_ms(self) -> float:
        return now_ms() + self._timings.platform_timeout_ms

    def _follow(self, view: MemberView) -> None:
        self._names[view.number] = view.names
        while len(self._names) > VIEWS_KEPT:
            del self._names[min(self._names)]
        self._peers.follow(view.members)

    def _polls(self) -> bool:
        """Return True if this node is one of its domain's readers."""
        view, me = self._control.view, self._control.me
        if view is None or view.find(me.member) is None:
            return True
        own = [one.member for one in view.members if one.domain == me.domain]
        first = order(b"poller", own)[: self._limits.pollers_per_domain]
        return me.member in first

    def _stamp_old(self) -> bool:
        age_ms = self._control.fitness.stamp_age_ms(now_ms())
        limit_ms = self._timings.freshness_ms * OWN_READ_FRACTION
        return age_ms is None or age_ms > limit_ms

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(self._timings.poll_ms * random.uniform(0.8, 1.2) / 1e3)
            if not self._polls() and not self._stamp_old():
                continue
            began_ms = now_ms()
            try:
                await self._read_all()
                if not self._stopping:
                    await self._propose()
                    await self._snapshots.save_if_due()
            except PlatformError as error:
                self._control.platform_failed(began_ms)
                self._logger.debug(f"platform: {error}")
            except TicketConflictError as error:
                log_state_change(self._logger, "ticket conflict", error=str(error))

    async def _read_all(self) -> None:
        """Read view, tickets and hosts; a stamp counts from before the first read."""
        began_ms = now_ms()
        row, tickets_done, hosts = await asyncio.gather(
            self._platform.get(FLEET, VIEW, self._deadline_ms()),
            self._read_tickets(),
            self._platform.hosts(self._deadline_ms()),
        )
        self._take_view_row(row)
        self._control.take_targets(hosts, began_ms)
        if tickets_done:
            self._control.stamped(began_ms)

    async def catch_up(self) -> None:
        """Read the ticket log now, if the platform answers."""
        with suppress(PlatformError):
            await self._read_tickets()

    async def _read_tickets(self) -> bool:
        while True:
            after = ticket_key(self._control.log.applied)
            rows = await self._platform.read_range(
                TICKETS, after, PAGE, self._deadline_ms()
            )
            self._control.take_tickets(decode_ticket(row.value) for row in rows)
            if len(rows) < PAGE:
                return True

    def _take_view_row(self, row: Row | None) -> None:
        if row is None:
            return
        self._view_version = max(self._view_version, row.version)
        self._control.adopt_view(decode_view(row.value))

    async def _propose(self) -> None:
        """Write the next view on condition, when there is a reason for one."""
        control, now = self._control, now_ms()
        fitness = control.fitness
        standing = ProposerState(
            eligible=now < fitness.fresh_until_ms(),
            in_majority=now < fitness.contact_until_ms(now),
            confirmed=fitness.confirmed(now),
        )
        proposed = control.membership.propose(
            standing, now, unix_ms(), self._outages(now)
        )
        if isinstance(proposed, NoProposalReason):
            return
        result = await self._platform.put(
            FLEET, VIEW, encode_view(proposed), self._view_version, self._deadline_ms()
        )
        self._take_view_row(result.current)

    def _outages(self, now: float) -> list[Outage]:
        """Return the views under which members acted without the platform."""
        return [
            Outage(number, unix_ms(), self._names[number])
            for number in self._control.fitness.away_views(now)
            if number in self._names
        ]

    def _ask(self, member: MemberId) -> None:
        if member in self._asking:
            return
        self._asking.add(member)
        self.spawn(self._learn(member))

    async def _learn(self, member: MemberId) -> None:
        """Learn view and tickets from a peer that is ahead."""
        try:
            stub = self._peers.stub(member)
            asked_ms = now_ms()
            async with asyncio.timeout(self._timings.platform_timeout_ms / 1e3):
                reply = await stub.Tail(
                    wire.TailRequest(after=self._control.log.applied, limit=PAGE),
                    metadata=self._peers.metadata,
                )
            self._take_tail(reply, asked_ms)
        except (*PEER_FAILURES, TicketConflictError, ValueError) as error:
            self._logger.debug(f"tail of {member}: {error}")
        finally:
            self._asking.discard(member)

    def _ask_targets(self, member: MemberId) -> None:
        if member not in self._asking_targets:
            self._asking_targets.add(member)
            self.spawn(self._learn_targets(member))

    async def _learn_targets(self, member: MemberId) -> None:
        """Learn the host list from a peer that has read it later."""
        try:
            asked_ms = now_ms()
            async with asyncio.timeout(self._timings.platform_timeout_ms / 1e3):
                reply = await self._peers.stub(member).Targets(
                    wire.TargetsRequest(), metadata=self._peers.metadata
                )
            targets = [target_from(one) for one in reply.targets]
            self._control.take_targets(targets, asked_ms - reply.age_ms)
        except (*PEER_FAILURES, ValueError) as error:
            self._logger.debug(f"targets of {member}: {error}")
        finally:
            self._asking_targets.discard(member)

    def _take_tail(self, reply: wire.TailReply, asked_ms: float) -> None:
        control = self._control
        if reply.view:
            control.adopt_view(decode_view(reply.view))
        control.take_tickets(decode_ticket(content) for content in reply.tickets)
        caught_up = control.log.applied >= reply.applied_ticket
        if caught_up and reply.has_stamp:
            control.fitness.record_relayed_read(asked_ms, reply.stamp_age_ms)
