"""Hand a request from its entry to a group coordinator, or to the next one."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from typing import Final

from crocusspindle.clock import now_ms, remaining_s
from crocusspindle.core.decisions import CoordinatorLoad, Outcome
from crocusspindle.core.groups import Group, GroupChooser
from crocusspindle.core.members import MemberView
from crocusspindle.core.rendezvous import order
from crocusspindle.errors import PeerError
from crocusspindle.ids import CustomerId, MemberId, ServiceId, ViewNumber
from crocusspindle.kernel import Service
from crocusspindle.response_bounds import FINAL_STATUSES
from crocusspindle.services.control import ControlService
from crocusspindle.services.coordinator import COORDINATOR_UNFIT, CoordinatorService
from crocusspindle.services.handed_over_request import RequestFailure
from crocusspindle.services.links import EntryLink, LocalLink, RemoteEntryLink
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

CHUNK_BYTES: Final = 65_536
MAX_COORDINATORS_TRIED: Final = 3
"""The first two may have failed together in one rack. A third silent coordinator
means that this entry is isolated, and other entries serve the caller better."""

FINAL_FRAME_GRACE_S: Final = 0.25
"""A coordinator ends each request by its deadline; its last frame takes one or two
hops more to this entry."""

AVOIDANCE_MS: Final = 1_000.0
"""A coordinator that failed one request is tried last for this time: a paused one
would delay each request until the heartbeats show that it is silent."""

MAX_RANKED_MEMBERS: Final = 32
"""Ranked members that are considered for a group. More are unusable at once only in
an outage of failure domains, when this entry coordinates the group itself."""

RETRY_MS: Final = 1_000.0


@dataclass(frozen=True)
class CallerRequest:
    """Hold an admitted request; ``body_rest`` yields what follows the buffered body."""

    request: str
    customer: CustomerId
    service: ServiceId
    method: str
    path: str
    headers: list[tuple[str, str]]
    weight: float
    deadline_ms: float
    idempotent: bool
    may_hedge: bool
    credential: bytes
    body: bytes = b""
    body_rest: AsyncIterator[bytes] | None = None

    @property
    def has_body(self) -> bool:
        """Return True if the request has a body."""
        return bool(self.body) or self.body_rest is not None

    @property
    def needs_claim(self) -> bool:
        """Return True if a coordinator needs a grant before it contacts a target."""
        return not self.idempotent or self.has_body

    @property
    def retryable(self) -> bool:
        """Return True if another coordinator may run it after one has started it."""
        return self.idempotent and self.body_rest is None


@dataclass
class CoordinatorResponse:
    """Hold the head of a response whose body is still to be read."""

    status: int
    headers: list[tuple[str, str]]
    outcome: Outcome | None
    body_start: bytes
    complete: bool
    _link: EntryLink
    _request_id: str

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ``PeerError`` if the response is truncated."""
        if self.body_start:
            yield self.body_start
        while not self.complete:
            frame = await self._link.receive()
            kind = frame.WhichOneof("frame")
            if kind == "chunk":
                yield frame.chunk
            elif kind == "end" and frame.end.request == self._request_id:
                return
            else:
                raise PeerError("the response ended early")


@dataclass
class HandOverState:
    """Track one request across the coordinators that it is handed to."""

    call: CallerRequest
    dispatch_by_ms: float | None = None
    """Deadline until which the first attempt of a named operation may begin."""
    group: Group | None = None
    begun_elsewhere: bool = False
    """Whether a lost coordinator may have run the request, or may still run it."""
    granted: bool = False
    """Whether a coordinator has the grant to send it, so that it may have run."""
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def close(self) -> None:
        """Close the link to the coordinator, which withdraws a running request."""
        # The exit stack releases a link that has failed as well.
        with suppress(*PEER_FAILURES):
            await self.stack.aclose()

    @property
    def outcome(self) -> Outcome:
        """Return the outcome of the request if its coordinator is lost."""
        may_have_run = self.granted or self.begun_elsewhere
        return Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN

    def record_loss(self) -> None:
        """Record that a coordinator which may have the request was lost or silent.

        A coordinator sends a request that needs no claim without a further message.
        It may be running it, or run it after a pause, so a later refusal by another
        coordinator does not make the outcome "not run".
        """
        if self.granted or not self.call.needs_claim:
            self.begun_elsewhere = True


class HandOverService(Service):
    """Choose coordinators for requests and return their responses."""

    name = "hand_over"
    needs = ("control", "peers", "home")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        coordinator: CoordinatorService,
        timings: TimingSettings,
    ) -> None:
        self._control = control
        self._peers = peers
        self._local_coordinator = coordinator
        self._timings = timings
        self._avoided_until_ms: dict[MemberId, float] = {}
        self._chooser = GroupChooser(random.Random())
        self._ranked_view = ViewNumber(0)
        self._ranked_members: dict[bytes, list[MemberId]] = {}

    async def run(self, state: HandOverState) -> CoordinatorResponse | RequestFailure:
        """Return the response's head, or the failure, by the deadline.

        The next coordinator is tried after one that is silent or lost, is not eligible
        or declines the group, but only while the request certainly has not started or
        may run twice.
        """
        call = state.call
        last_refusal: RequestFailure | None = None
        groups = self._control.groups.get(call.service, ())
        if not groups:
            return self._failure(state, "no-target")
        state.group = self._chooser.choose(groups)
        coordinators = self._coordinators(state.group)[:MAX_COORDINATORS_TRIED]
        for coordinator in coordinators:
            if now_ms() >= call.deadline_ms:
                break
            may_move = coordinator != coordinators[-1]
            try:
                link = await self._open(state, coordinator)
                result = await self._negotiate(state, link, may_move)
            except PEER_FAILURES:
                self._avoided_until_ms[coordinator] = now_ms() + AVOIDANCE_MS
                state.record_loss()
                await state.close()
                if state.granted and not call.retryable:
                    return self._failure(state, "home-lost")
                continue
            if (
                isinstance(result, RequestFailure)
                and result.reason == COORDINATOR_UNFIT
            ):
                last_refusal = result
                await state.close()
                continue
            return self._final_result(state, result)
        failure = last_refusal or self._failure(state, "no-home")
        return self._final_result(state, failure)

    def _final_result(
        self, state: HandOverState, result: CoordinatorResponse | RequestFailure
    ) -> CoordinatorResponse | RequestFailure:
        if not isinstance(result, RequestFailure) or not state.begun_elsewhere:
            return result
        return RequestFailure(Outcome.UNKNOWN, result.reason, result.retry_at_ms)

    def _failure(self, state: HandOverState, reason: str) -> RequestFailure:
        return RequestFailure(state.outcome, reason, now_ms() + RETRY_MS)

    def _coordinators(self, group: Group) -> list[MemberId]:
        """Return the nodes that may coordinate the group, best first."""
        view, own_member = self._control.view, self._control.own_member.member
        if view is None:
            return [own_member]
        ranked = [
            member
            for member in self._ranked(view, group)
            if (member == own_member and not self._control.draining)
            or self._peers.usable(member)
        ]
        now = now_ms()
        avoided = self._avoided_until_ms
        ranked.sort(key=lambda member: avoided.get(member, 0.0) > now)
        return ranked or [own_member]

    def _ranked(self, view: MemberView, group: Group) -> list[MemberId]:
        """Return the members in the group's rendezvous order, cached for each view."""
        if self._ranked_view != view.number:
            self._ranked_view = view.number
            self._ranked_members.clear()
        ranked = self._ranked_members.get(group.key)
        if ranked is None:
            ranked = order(group.key, view.names)[:MAX_RANKED_MEMBERS]
            self._ranked_members[group.key] = ranked
        return ranked

    async def _open(self, state: HandOverState, coordinator: MemberId) -> EntryLink:
        if coordinator == self._control.own_member.member:
            local = LocalLink()
            serve_task = asyncio.create_task(self._serve_local(local))
            state.stack.push_async_callback(_cancel, serve_task)
            return local.entry
        stub = self._peers.stub(coordinator)
        stream = await state.stack.enter_async_context(
            stub.HandOver.open(metadata=self._peers.metadata)
        )
        link = RemoteEntryLink(stream)
        state.stack.push_async_callback(link.close)
        return link

    async def _serve_local(self, local: LocalLink) -> None:
        with suppress(PeerError):
            await self._local_coordinator.serve(local.coordinator)

    async def _negotiate(
        self, state: HandOverState, link: EntryLink, may_move: bool
    ) -> CoordinatorResponse | RequestFailure:
        call = state.call
        async with asyncio.timeout(self._timings.hand_over_ms / 1e3):
            await link.send(wire.HandOverFrame(head=_request_head(state, may_move)))
            frame = await link.receive()
        try:
            async with asyncio.timeout(
                remaining_s(call.deadline_ms) + FINAL_FRAME_GRACE_S
            ):
                return await self._await_response(state, link, frame)
        except TimeoutError:
            # The coordinator ends requests by their deadline, so it is silent. The
            # caller gets the outcome as this entry knows it.
            state.record_loss()
            return self._failure(state, "home-silent")

    async def _await_response(
        self, state: HandOverState, link: EntryLink, frame: wire.AnswerFrame
    ) -> CoordinatorResponse | RequestFailure:
        call = state.call
        while True:
            kind = frame.WhichOneof("frame")
            if kind == "head":
                self._update_load(state, frame.head.load)
                return _response_from(frame.head, link, call)
            if kind == "refusal":
                return _failure_from(frame.refusal)
            if kind == "claim":
                failure = await self._grant(state, link)
                if failure is not None:
                    return failure
            elif kind == "queued":
                self._update_load(state, frame.queued.load)
            else:
                raise PeerError(f"a coordinator must not send {kind} first")
            frame = await link.receive()

    def _update_load(self, state: HandOverState, load: wire.Load) -> None:
        if state.group is not None:
            reported_load = CoordinatorLoad(
                load.queued, load.running, load.slots, load.wait_ms
            )
            self._chooser.update_load(state.group, reported_load)

    async def _grant(
        self, state: HandOverState, link: EntryLink
    ) -> RequestFailure | None:
        """Grant the coordinator's claim, or return the failure that prevents it."""
        call = state.call
        by_ms = state.dispatch_by_ms
        if by_ms is not None and not state.granted and now_ms() >= by_ms:
            # The operation's grant has expired, so no attempt of it may begin.
            await link.send(wire.HandOverFrame(withdraw=wire.Withdraw()))
            return self._failure(state, "operation-too-late")
        state.granted = True
        grant = wire.Grant()
        if call.body_rest is None and len(call.body) <= CHUNK_BYTES:
            grant.body = call.body
            grant.body_whole = True
        await link.send(wire.HandOverFrame(grant=grant))
        if call.has_body and not grant.body_whole:
            body_task = asyncio.create_task(_send_body(call, link))
            state.stack.push_async_callback(_cancel, body_task)
        return None


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _send_body(call: CallerRequest, link: EntryLink) -> None:
    for offset in range(0, len(call.body), CHUNK_BYTES):
        chunk = call.body[offset : offset + CHUNK_BYTES]
        await link.send(wire.HandOverFrame(chunk=chunk))
    if call.body_rest is not None:
        async for rest_chunk in call.body_rest:
            await link.send(wire.HandOverFrame(chunk=rest_chunk))
    await link.send(wire.HandOverFrame(body_end=wire.BodyEnd()))


def _request_head(state: HandOverState, may_move: bool) -> wire.RequestHead:
    call = state.call
    head = wire.RequestHead(
        request=call.request,
        customer=call.customer,
        service=call.service,
        group=0 if state.group is None else state.group.number,
        method=call.method,
        path=call.path,
        weight=call.weight,
        remaining_ms=max(0.0, call.deadline_ms - now_ms()),
        idempotent=call.idempotent,
        may_hedge=call.may_hedge,
        credential=call.credential,
        body_whole=call.body_rest is None,
        has_body=call.has_body,
        may_move=may_move,
    )
    head.headers.extend(
        wire.Header(name=name, value=text) for name, text in call.headers
    )
    return head


def _response_from(
    head: wire.AnswerHead, link: EntryLink, call: CallerRequest
) -> CoordinatorResponse:
    # A response with another request's id must not reach this caller.
    if head.request != call.request:
        raise PeerError("the coordinator responded to another request")
    if head.status not in FINAL_STATUSES:
        raise PeerError(f"the coordinator responded with status {head.status}")
    return CoordinatorResponse(
        status=head.status,
        headers=[(header.name, header.value) for header in head.headers],
        outcome=Outcome(head.outcome) if head.outcome else None,
        body_start=head.body,
        complete=head.whole,
        _link=link,
        _request_id=call.request,
    )


def _failure_from(refusal: wire.Refusal) -> RequestFailure:
    return RequestFailure(
        outcome=Outcome(refusal.outcome),
        reason=refusal.reason,
        retry_at_ms=now_ms() + refusal.retry_after_ms,
    )
