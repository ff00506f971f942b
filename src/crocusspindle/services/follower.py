"""Follow the platform's ticket log, member view and host list.

A few nodes of each failure domain poll the platform; the others fetch updates from
peers.
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
PAGE_ROWS: Final = 200
VIEWS_KEPT: Final = 64
"""Member lists of views kept to record an outage once the platform is reachable."""

OWN_READ_AGE_FRACTION: Final = 0.5
"""Fraction of the freshness time after which a node that relies on peers reads the
platform itself: all pollers of its domain may fail at once."""


def ticket_key(number: TicketNumber) -> str:
    """Return the row key of a ticket; keys sort in the order of the numbers."""
    return f"{number:012d}"


def target_message(target: Target) -> wire.ListedTarget:
    """Encode a listed target for a peer."""
    return wire.ListedTarget(
        target=target.target,
        service=target.service,
        domain=target.domain,
        slots=target.slots,
        state=target.state.value,
    )


def target_from_message(message: wire.ListedTarget) -> Target:
    """Decode a listed target sent by a peer."""
    return Target(
        target=TargetId(message.target),
        service=ServiceId(message.service),
        domain=DomainId(message.domain),
        slots=message.slots,
        state=TargetState(message.state),
    )


class FollowerService(Service):
    """Poll the platform or fetch from peers, and keep this node in the view."""

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
        self._tail_requests: set[MemberId] = set()
        self._targets_requests: set[MemberId] = set()
        self._members_by_view: dict[ViewNumber, tuple[MemberId, ...]] = {}
        self._stopping = False
        self._logger = Logger("follower")
        control.watch(
            newer_peer=self._start_tail_request,
            view=self._follow_view,
            newer_targets=self._start_targets_request,
        )

    async def start(self) -> None:
        """Load the stored state and start polling."""
        with suppress(PlatformError):
            await self._snapshots.load()
            await self._read_all()
        self.spawn(self._poll())

    async def drain(self) -> None:
        """Announce that this node leaves; ``stop`` removes it from the view."""
        self._control.draining = True

    async def leave(self) -> None:
        """Propose a view without this node."""
        self._stopping = True
        self._control.membership.record_leave(self._control.own_member.member)
        with suppress(PlatformError):
            await self._propose()

    async def stop(self) -> None:
        """Leave the view; a platform outage keeps the next view from being written."""
        await self.leave()

    def _deadline_ms(self) -> float:
        return now_ms() + self._timings.platform_timeout_ms

    def _follow_view(self, view: MemberView) -> None:
        self._members_by_view[view.number] = view.names
        while len(self._members_by_view) > VIEWS_KEPT:
            del self._members_by_view[min(self._members_by_view)]
        self._peers.follow(view.members)

    def _is_poller(self) -> bool:
        """Return True if this node polls the platform for its domain."""
        view, own_member = self._control.view, self._control.own_member
        if view is None or view.find(own_member.member) is None:
            return True
        own_domain = [
            other.member for other in view.members if other.domain == own_member.domain
        ]
        pollers = order(b"poller", own_domain)[: self._limits.pollers_per_domain]
        return own_member.member in pollers

    def _is_timestamp_old(self) -> bool:
        age_ms = self._control.node_eligibility.timestamp_age_ms(now_ms())
        limit_ms = self._timings.freshness_ms * OWN_READ_AGE_FRACTION
        return age_ms is None or age_ms > limit_ms

    async def _poll(self) -> None:
        while True:
            await asyncio.sleep(self._timings.poll_ms * random.uniform(0.8, 1.2) / 1e3)
            if not self._is_poller() and not self._is_timestamp_old():
                continue
            began_ms = now_ms()
            try:
                await self._read_all()
                if not self._stopping:
                    await self._propose()
                    await self._snapshots.save_if_due()
            except PlatformError as error:
                self._control.record_platform_failure(began_ms)
                self._logger.debug(f"platform: {error}")
            except TicketConflictError as error:
                log_state_change(self._logger, "ticket conflict", error=str(error))

    async def _read_all(self) -> None:
        """Read view, tickets and hosts, with a timestamp from before the first read."""
        began_ms = now_ms()
        row, is_complete, hosts = await asyncio.gather(
            self._platform.get(FLEET, VIEW, self._deadline_ms()),
            self._read_tickets(),
            self._platform.hosts(self._deadline_ms()),
        )
        self._apply_view_row(row)
        self._control.update_targets(hosts, began_ms)
        if is_complete:
            self._control.record_platform_read(began_ms)

    async def catch_up(self) -> None:
        """Read the ticket log now, if the platform is reachable."""
        with suppress(PlatformError):
            await self._read_tickets()

    async def _read_tickets(self) -> bool:
        while True:
            after = ticket_key(self._control.log.applied)
            rows = await self._platform.read_range(
                TICKETS, after, PAGE_ROWS, self._deadline_ms()
            )
            self._control.apply_tickets(decode_ticket(row.value) for row in rows)
            if len(rows) < PAGE_ROWS:
                return True

    def _apply_view_row(self, row: Row | None) -> None:
        if row is None:
            return
        self._view_version = max(self._view_version, row.version)
        self._control.adopt_view(decode_view(row.value))

    async def _propose(self) -> None:
        """Write the next view by a conditional put, if one is needed."""
        control, now = self._control, now_ms()
        node_eligibility = control.node_eligibility
        proposer_state = ProposerState(
            eligible=now < node_eligibility.fresh_until_ms(),
            in_majority=now < node_eligibility.contact_until_ms(now),
            confirmed=node_eligibility.confirmed(now),
        )
        proposed = control.membership.propose(
            proposer_state, now, unix_ms(), self._outages(now)
        )
        if isinstance(proposed, NoProposalReason):
            return
        result = await self._platform.put(
            FLEET, VIEW, encode_view(proposed), self._view_version, self._deadline_ms()
        )
        self._apply_view_row(result.current)

    def _outages(self, now: float) -> list[Outage]:
        """Return the views under which members lost the platform."""
        return [
            Outage(number, unix_ms(), self._members_by_view[number])
            for number in self._control.node_eligibility.outage_views(now)
            if number in self._members_by_view
        ]

    def _start_tail_request(self, member: MemberId) -> None:
        if member in self._tail_requests:
            return
        self._tail_requests.add(member)
        self.spawn(self._fetch_tail(member))

    async def _fetch_tail(self, member: MemberId) -> None:
        """Fetch view and tickets from a peer that is ahead."""
        try:
            stub = self._peers.stub(member)
            sent_ms = now_ms()
            async with asyncio.timeout(self._timings.platform_timeout_ms / 1e3):
                reply = await stub.Tail(
                    wire.TailRequest(after=self._control.log.applied, limit=PAGE_ROWS),
                    metadata=self._peers.metadata,
                )
            self._apply_tail(reply, sent_ms)
        except (*PEER_FAILURES, TicketConflictError, ValueError) as error:
            self._logger.debug(f"tail of {member}: {error}")
        finally:
            self._tail_requests.discard(member)

    def _start_targets_request(self, member: MemberId) -> None:
        if member not in self._targets_requests:
            self._targets_requests.add(member)
            self.spawn(self._fetch_targets(member))

    async def _fetch_targets(self, member: MemberId) -> None:
        """Fetch the host list from a peer that has read it later."""
        try:
            sent_ms = now_ms()
            async with asyncio.timeout(self._timings.platform_timeout_ms / 1e3):
                reply = await self._peers.stub(member).Targets(
                    wire.TargetsRequest(), metadata=self._peers.metadata
                )
            targets = [target_from_message(listed) for listed in reply.targets]
            self._control.update_targets(targets, sent_ms - reply.age_ms)
        except (*PEER_FAILURES, ValueError) as error:
            self._logger.debug(f"targets of {member}: {error}")
        finally:
            self._targets_requests.discard(member)

    def _apply_tail(self, reply: wire.TailReply, sent_ms: float) -> None:
        control = self._control
        if reply.view:
            control.adopt_view(decode_view(reply.view))
        control.apply_tickets(decode_ticket(content) for content in reply.tickets)
        caught_up = control.log.applied >= reply.applied_ticket
        if caught_up and reply.has_stamp:
            control.node_eligibility.record_relayed_read(sent_ms, reply.stamp_age_ms)
