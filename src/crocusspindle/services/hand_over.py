"""Hand a caller's request from its entry to a home, and to the next one if needed."""

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
from crocusspindle.services.control import ControlService
from crocusspindle.services.handed_over import GivenUp
from crocusspindle.services.home import HOME_UNFIT, HomeService
from crocusspindle.services.links import EntryLink, LocalLink, RemoteEntryLink
from crocusspindle.services.peers import PEER_FAILURES, Peers
from crocusspindle.settings_schema import TimingSettings
from crocusspindle.wire import fleet_pb2 as wire

CHUNK_BYTES: Final = 65_536
HOMES_TRIED: Final = 3
"""The first home is silent, the second may have died with it in one rack; a third
silent one means that this entry is cut off, and other entries serve better."""

FINAL_GRACE_S: Final = 0.25
"""A home ends every request by its deadline; its word needs a hop or two to here."""

AVOID_MS: Final = 1_000.0
"""A home that failed one request is tried last for so long: a paused one would cost
each request the wait for its word until the heartbeats show that it is silent."""

RANKED: Final = 32
"""Members of an order that are looked at: more than ever are unusable at once, but
in an outage of failure domains, when this entry takes the work itself."""

RETRY_MS: Final = 1_000.0


@dataclass(frozen=True)
class CallerRequest:
    """Hold an admitted request; ``rest`` yields what follows the buffered body."""

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
    rest: AsyncIterator[bytes] | None = None

    @property
    def has_body(self) -> bool:
        """Return True if a body goes with the request."""
        return bool(self.body) or self.rest is not None

    @property
    def needs_claim(self) -> bool:
        """Return True if a home asks before it sends the request to a target."""
        return not self.idempotent or self.has_body

    @property
    def replayable(self) -> bool:
        """Return True if another home may run it after one has begun to."""
        return self.idempotent and self.rest is None


@dataclass
class HomeAnswer:
    """Hold the head of an answer whose parts are still to be read."""

    status: int
    headers: list[tuple[str, str]]
    outcome: Outcome | None
    first: bytes
    whole: bool
    _link: EntryLink
    _request: str

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ``PeerError`` unless the answer came whole."""
        if self.first:
            yield self.first
        while not self.whole:
            frame = await self._link.receive()
            kind = frame.WhichOneof("frame")
            if kind == "chunk":
                yield frame.chunk
            elif kind == "end" and frame.end.request == self._request:
                return
            else:
                raise PeerError("the answer broke off")


@dataclass
class Handling:
    """Follow one request through the homes it was handed to."""

    call: CallerRequest
    dispatch_by_ms: float | None = None
    """Until when a named operation may be sent for the first time."""
    group: Group | None = None
    begun_elsewhere: bool = False
    """Whether a home was lost that may have run the request, or may yet."""
    granted: bool = False
    """Whether a home was allowed to send it: from here it may have run."""
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def close(self) -> None:
        """Release the link to the home; what it still runs is withdrawn."""
        # A connection that broke meanwhile is released all the same.
        with suppress(*PEER_FAILURES):
            await self.stack.aclose()

    @property
    def outcome(self) -> Outcome:
        """Return what is known of the request when its home is lost."""
        unsure = self.granted or self.begun_elsewhere
        return Outcome.UNKNOWN if unsure else Outcome.NOT_RUN

    def lose(self) -> None:
        """Note that a home fell silent or was lost after it had the request.

        A home sends what needs no claim without a word to us. It may be running it,
        or do so when it wakes from a pause, so that no later refusal by another home
        makes "not run" true.
        """
        if self.granted or not self.call.needs_claim:
            self.begun_elsewhere = True


class HandOverService(Service):
    """Choose homes for requests and follow their answers."""

    name = "hand_over"
    needs = ("control", "peers", "home")

    def __init__(
        self,
        control: ControlService,
        peers: Peers,
        home: HomeService,
        timings: TimingSettings,
    ) -> None:
        self._control = control
        self._peers = peers
        self._home = home
        self._timings = timings
        self._avoided_until_ms: dict[MemberId, float] = {}
        self._chooser = GroupChooser(random.Random())
        self._ranked_view = ViewNumber(0)
        self._ranks: dict[bytes, list[MemberId]] = {}

    async def run(self, handling: Handling) -> HomeAnswer | GivenUp:
        """Return the answer's head or the final word, by the deadline.

        A home that is silent, unfit or gone is passed over for the next one, but
        only while the request provably has not begun or may run twice.
        """
        call = handling.call
        last: GivenUp | None = None
        groups = self._control.groups.get(call.service, ())
        if not groups:
            return self._given_up(handling, "no-target")
        handling.group = self._chooser.choose(groups)
        homes = self._homes(handling.group)[:HOMES_TRIED]
        for home in homes:
            if now_ms() >= call.deadline_ms:
                break
            may_move = home != homes[-1]
            try:
                link = await self._open(handling, home)
                found = await self._negotiate(handling, link, may_move)
            except PEER_FAILURES:
                self._avoided_until_ms[home] = now_ms() + AVOID_MS
                handling.lose()
                await handling.close()
                if handling.granted and not call.replayable:
                    return self._given_up(handling, "home-lost")
                continue
            if isinstance(found, GivenUp) and found.reason == HOME_UNFIT:
                last = found
                await handling.close()
                continue
            return self._word(handling, found)
        word = last or self._given_up(handling, "no-home")
        return self._word(handling, word)

    def _word(
        self, handling: Handling, found: HomeAnswer | GivenUp
    ) -> HomeAnswer | GivenUp:
        if not isinstance(found, GivenUp) or not handling.begun_elsewhere:
            return found
        return GivenUp(Outcome.UNKNOWN, found.reason, found.retry_at_ms)

    def _given_up(self, handling: Handling, reason: str) -> GivenUp:
        return GivenUp(handling.outcome, reason, now_ms() + RETRY_MS)

    def _homes(self, group: Group) -> list[MemberId]:
        """Return the nodes that may be the group's home, best first."""
        view, me = self._control.view, self._control.me.member
        if view is None:
            return [me]
        ranked = [
            member
            for member in self._ranked(view, group)
            if (member == me and not self._control.draining)
            or self._peers.usable(member)
        ]
        now = now_ms()
        avoided = self._avoided_until_ms
        ranked.sort(key=lambda member: avoided.get(member, 0.0) > now)
        return ranked or [me]

    def _ranked(self, view: MemberView, group: Group) -> list[MemberId]:
        """Return the members in the group's order, worked out once for a view."""
        if self._ranked_view != view.number:
            self._ranked_view = view.number
            self._ranks.clear()
        found = self._ranks.get(group.key)
        if found is None:
            found = order(group.key, view.names)[:RANKED]
            self._ranks[group.key] = found
        return found

    async def _open(self, handling: Handling, home: MemberId) -> EntryLink:
        if home == self._control.me.member:
            local = LocalLink()
            serving = asyncio.create_task(self._serve_local(local))
            handling.stack.push_async_callback(_cancelled, serving)
            return local.entry
        stub = self._peers.stub(home)
        stream = await handling.stack.enter_async_context(
            stub.HandOver.open(metadata=self._peers.metadata)
        )
        link = RemoteEntryLink(stream)
        handling.stack.push_async_callback(link.close)
        return link

    async def _serve_local(self, local: LocalLink) -> None:
        with suppress(PeerError):
            await self._home.serve(local.home)

    async def _negotiate(
        self, handling: Handling, link: EntryLink, may_move: bool
    ) -> HomeAnswer | GivenUp:
        call = handling.call
        async with asyncio.timeout(self._timings.hand_over_ms / 1e3):
            await link.send(wire.HandOverFrame(head=_head(handling, may_move)))
            frame = await link.receive()
        try:
            async with asyncio.timeout(remaining_s(call.deadline_ms) + FINAL_GRACE_S):
                return await self._await_answer(handling, link, frame)
        except TimeoutError:
            # The home should have ended it by now: it is silent, and the caller
            # gets the word that holds at this moment.
            handling.lose()
            return self._given_up(handling, "home-silent")

    async def _await_answer(
        self, handling: Handling, link: EntryLink, frame: wire.AnswerFrame
    ) -> HomeAnswer | GivenUp:
        call = handling.call
        while True:
            kind = frame.WhichOneof("frame")
            if kind == "head":
                self._note_load(handling, frame.head.load)
                return _answer(frame.head, link, call)
            if kind == "refusal":
                return _refusal(frame.refusal)
            if kind == "claim":
                word = await self._allow(handling, link)
                if word is not None:
                    return word
            elif kind == "queued":
                self._note_load(handling, frame.queued.load)
            else:
                raise PeerError(f"a home must not send {kind} first")
            frame = await link.receive()

    def _note_load(self, handling: Handling, load: wire.Load) -> None:
        if handling.group is not None:
            seen = CoordinatorLoad(load.queued, load.running, load.slots, load.wait_ms)
            self._chooser.update_load(handling.group, seen)

    async def _allow(self, handling: Handling, link: EntryLink) -> GivenUp | None:
        """Let the home send the request, unless there is a word against it."""
        call = handling.call
        by_ms = handling.dispatch_by_ms
        if by_ms is not None and not handling.granted and now_ms() >= by_ms:
            # Its ledger nodes may have given the operation up by now.
            await link.send(wire.HandOverFrame(withdraw=wire.Withdraw()))
            return self._given_up(handling, "operation-too-late")
        handling.granted = True
        grant = wire.Grant()
        if call.rest is None and len(call.body) <= CHUNK_BYTES:
            grant.body = call.body
            grant.body_whole = True
        await link.send(wire.HandOverFrame(grant=grant))
        if call.has_body and not grant.body_whole:
            sending = asyncio.create_task(_send_body(call, link))
            handling.stack.push_async_callback(_cancelled, sending)
        return None


async def _cancelled(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _send_body(call: CallerRequest, link: EntryLink) -> None:
    for first in range(0, len(call.body), CHUNK_BYTES):
        chunk = call.body[first : first + CHUNK_BYTES]
        await link.send(wire.HandOverFrame(chunk=chunk))
    if call.rest is not None:
        async for part in call.rest:
            await link.send(wire.HandOverFrame(chunk=part))
    await link.send(wire.HandOverFrame(body_end=wire.BodyEnd()))


def _head(handling: Handling, may_move: bool) -> wire.RequestHead:
    call = handling.call
    head = wire.RequestHead(
        request=call.request,
        customer=call.customer,
        service=call.service,
        group=0 if handling.group is None else handling.group.number,
        method=call.method,
        path=call.path,
        weight=call.weight,
        remaining_ms=max(0.0, call.deadline_ms - now_ms()),
        idempotent=call.idempotent,
        may_hedge=call.may_hedge,
        credential=call.credential,
        body_whole=call.rest is None,
        has_body=call.has_body,
        may_move=may_move,
    )
    head.headers.extend(
        wire.Header(name=name, value=text) for name, text in call.headers
    )
    return head


def _answer(head: wire.AnswerHead, link: EntryLink, call: CallerRequest) -> HomeAnswer:
    # An answer under another request's id must not reach this caller.
    if head.request != call.request:
        raise PeerError("the home answered another request")
    return HomeAnswer(
        status=head.status,
        headers=[(header.name, header.value) for header in head.headers],
        outcome=Outcome(head.outcome) if head.outcome else None,
        first=head.body,
        whole=head.whole,
        _link=link,
        _request=call.request,
    )


def _refusal(refusal: wire.Refusal) -> GivenUp:
    return GivenUp(
        outcome=Outcome(refusal.outcome),
        reason=refusal.reason,
        retry_at_ms=now_ms() + refusal.retry_after_ms,
    )
