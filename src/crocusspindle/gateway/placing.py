"""Place requests for the fleet, and find the placer that does it for this node."""

import asyncio
import random
from dataclasses import dataclass
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.asks import Ask, Placed, Refused, Waiting
from crocusspindle.core.fallback_choice import FallbackChoice
from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.policies import Policies
from crocusspindle.core.rate_limit import LimitSaid
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.target_gauge import EJECTION_MS, Ending, Standing
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.knowledge import Knowledge
from crocusspindle.gateway.messages import (
    Done,
    EjectedNote,
    EndedNote,
    PacedNote,
    PlaceAnswer,
    PlaceAsk,
    RefusedAnswer,
    RepeatsNote,
)
from crocusspindle.gateway.placer_ranks import PLACERS, PlacerRanks
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.repeat_sharing import RepeatSharing
from crocusspindle.gateway.told_limits import (
    ToldLimits,
    packed_limits,
    unpacked_limits,
)
from crocusspindle.ids import ContentDigest, GrantId, HostId, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

SILENT_S: Final = 0.09
"""Two sendings that were lost, or a placer that is gone."""

SUSPECT_MS: Final = 1_500.0
SETTLE_S: Final = 0.02
IDLE_SETTLE_S: Final = 0.1
"""How soon the first that waits is looked at again if no work ends meanwhile."""

FALLBACK_HEDGE_MS: Final = 1_000.0
ENDINGS: Final = tuple(Ending)


@dataclass(frozen=True, slots=True)
class Place:
    """Hold where to send, and the placer to tell how it ended."""

    service: ServiceId
    target: ListedTarget
    hedge_after_ms: float
    grant: GrantId | None = None
    placer: HostId | None = None
    placer_at: Address | None = None


class Placing(Service):
    """Answer asks for places, and ask the placer of a service."""

    name: ClassVar[str] = "placing"
    needs: ClassVar[tuple[str, ...]] = (
        "exchange",
        "knowledge",
        "membership",
        "crashes",
    )

    def __init__(
        self,
        node: NodeAddress,
        bounds: LiveBounds,
        exchange: Exchange,
        knowledge: Knowledge,
        draw: random.Random,
        policies: Policies,
        crashes: CrashSharing,
    ) -> None:
        self._crashes = crashes
        self._node = node
        self._bounds = bounds
        self._exchange = exchange
        self._knowledge = knowledge
        self._policies = policies
        self._ranks = PlacerRanks(node, exchange, knowledge)
        self._repeats = RepeatSharing(node, bounds, self._ranks)
        self._fallback = FallbackChoice(draw)
        self._told = ToldLimits()
        self._placers: dict[ServiceId, ServicePlacer] = {}
        self._targets: dict[TargetIdentity, ListedTarget] = {}
        self._targets_digest = 0
        self._suspect_until_ms: dict[HostId, float] = {}
        self._settled: dict[int, tuple[Waiting, asyncio.Event]] = {}
        self._log = Logger("placing")

    async def start(self) -> None:
        """Begin to answer."""
        self._exchange.handle(PlaceAsk, self._place_ask)
        self._exchange.handle(EndedNote, self._ended_note)
        self._exchange.handle(EjectedNote, self._ejected_note)
        self._exchange.handle(RepeatsNote, self._repeats_note)
        self._exchange.handle(PacedNote, self._paced_note)
        self._exchange.handle_late(PlaceAnswer, self._give_back)
        self._knowledge.listen(self._learn)

    def _give_back(self, answer: PlaceAnswer, placer: Address) -> None:
        # The asker has left or went to another placer. Its slot would stay taken
        # until the request's deadline, and others would be refused for want of it.
        note = EndedNote(
            answer.target,
            answer.grant,
            ENDINGS.index(Ending.ABANDONED),
            0,
        )
        self.spawn(self._exchange.ask(placer, note, SILENT_S, SILENT_S))

    def _learn(self) -> None:
        known = self._knowledge
        if known.targets_digest != self._targets_digest:
            self._targets_digest = known.targets_digest
            listed = known.targets.content or ()
            self._targets = {entry.identity: entry for entry in listed}
            for service, placer in self._placers.items():
                placer.set_targets(self._of(service), now_ms())
        if self._ranks.take_view():
            self._repeats.take_ranks()

    def _of(self, service: ServiceId) -> list[ListedTarget]:
        return [entry for entry in self._targets.values() if entry.service == service]

    def _placer(self, service: ServiceId) -> ServicePlacer:
        placer = self._placers.get(service)
        if placer is None:
            budget = self._repeats.budget(service)
            floor_share = self._bounds.now.floor_share
            placer = ServicePlacer(
                floor_share,
                budget,
                self._policies,
                now_ms(),
                self._knowledge.crashes,
            )
            placer.set_targets(self._of(service), now_ms())
            if not self._placers:
                self.spawn(self._settle_regularly())
            self._placers[service] = placer
            log_state_change(self._log, "places for a service", service=service)
        return placer

    async def _repeats_note(self, note: RepeatsNote, sender: Address) -> None:
        self._repeats.hear(note)

    async def _place_ask(
        self, message: PlaceAsk, sender: Address
    ) -> PlaceAnswer | RefusedAnswer:
        at_ms = now_ms()
        content = ContentDigest(message.content)
        refused = self._crashes.refusal(content)
        if refused is not None:
            return RefusedAnswer(refused.reason, refused.retry_after_ms)
        ask = Ask(
            sender=HostId(sender[0]),
            domain=self._ranks.domain_of(sender),
            route=message.route,
            idempotent=message.idempotent,
            priority=message.priority,
            aim_ms=message.aim_ms,
            deadline_ms=at_ms + message.left_ms,
            repeat=message.repeat,
            hedge=message.hedge,
            counted=message.counted,
            body_bytes=message.body_bytes,
            content=content,
            trial=self._crashes.is_held(content),
            excluded=frozenset(TargetIdentity(name) for name in message.excluded),
        )
        placer = self._placer(ServiceId(message.service))
        for said in unpacked_limits(message.limits, at_ms):
            self._hear_limit(placer, said)
        answer = placer.ask(ask, at_ms)
        self._repeats.tell_if_due(ServiceId(message.service))
        if isinstance(answer, Refused) and answer.reason == "repeats":
            self._repeats.log_bound(ServiceId(message.service))
        if isinstance(answer, Waiting):
            answer = await self._wait(placer, answer)
        self._tell_changes(ServiceId(message.service), placer)
        if isinstance(answer, Placed):
            if ask.trial:
                self._crashes.begin_trial(
                    ServiceId(message.service), self._ranks, content
                )
            target = answer.target
            return PlaceAnswer(
                answer.grant, target.identity, round(answer.hedge_after_ms)
            )
        return RefusedAnswer(answer.reason, answer.retry_after_ms)

    def _hear_limit(self, placer: ServicePlacer, said: LimitSaid) -> None:
        if placer.hear_limit(said, now_ms()):
            log_state_change(
                self._log,
                "target limit changed",
                target=said.target,
                limit_per_s=said.limit_per_s,
            )

    async def _paced_note(self, note: PacedNote, sender: Address) -> None:
        placer = self._placer(ServiceId(note.service))
        for said in unpacked_limits(note.limits, now_ms()):
            placer.hear_paced(said, now_ms())

    async def _wait(self, placer: ServicePlacer, waiting: Waiting) -> Placed | Refused:
        settled = asyncio.Event()
        self._settled[id(waiting)] = (waiting, settled)
        try:
            await settled.wait()
            assert waiting.settled is not None
            return waiting.settled
        finally:
            del self._settled[id(waiting)]
            if waiting.settled is None:
                placer.abandon(waiting)

    def _wake_settled(self) -> None:
        for waiting, settled in self._settled.values():
            if waiting.settled is not None:
                settled.set()

    async def _settle_regularly(self) -> None:
        # Lets grants of dead senders end, and ejections and waits with them. One look
        # for all that wait: one for each would grow with the square of their number.
        while True:
            await asyncio.sleep(SETTLE_S if self._settled else IDLE_SETTLE_S)
            for service, placer in self._placers.items():
                placer.settle(now_ms())
                self._tell_changes(service, placer)
            self._wake_settled()

    async def _ended_note(self, note: EndedNote, sender: Address) -> Done:
        target = self._targets.get(TargetIdentity(note.target))
        if target is None:
            # It left the list, and what was known of it with it.
            return Done()
        placer = self._placer(target.service)
        if note.limit_per_s is not None or ENDINGS[note.ending] is Ending.ANSWERED:
            asked_ms = now_ms() - note.latency_ms
            said = LimitSaid(target.identity, note.limit_per_s, asked_ms)
            self._hear_limit(placer, said)
        placer.ended(
            target.identity,
            GrantId(note.grant),
            ENDINGS[note.ending],
            HostId(sender[0]),
            note.latency_ms,
            now_ms(),
            ContentDigest(note.content),
        )
        crashed = placer.crash_watch.has_seen
        self._crashes.take(target.service, self._ranks, placer.crash_watch)
        if crashed:
            placer.settle(now_ms())
        self._wake_settled()
        self._tell_changes(target.service, placer)
        return Done()

    def _tell_changes(self, service: ServiceId, placer: ServicePlacer) -> None:
        paced = packed_limits(placer.paced(), now_ms())
        if paced:
            self._ranks.tell_others(service, PacedNote(service, paced))
        for change in placer.changes():
            ejected = change.standing is Standing.EJECTED
            left_ms = round(change.until_ms - now_ms())
            log_state_change(
                self._log,
                "target standing changed",
                service=service,
                target=change.target,
                standing=change.standing.value,
                ending=change.ending.value if change.ending else None,
                sender=change.sender,
                left_ms=left_ms if ejected else None,
            )
            if ejected:
                self._tell_successors(service, change.target, left_ms)

    def _tell_successors(
        self, service: ServiceId, target: TargetIdentity, left_ms: float
    ) -> None:
        self._ranks.tell_others(service, EjectedNote(service, target, left_ms))

    async def _ejected_note(self, note: EjectedNote, sender: Address) -> None:
        until_ms = now_ms() + note.left_ms
        target = TargetIdentity(note.target)
        self._placer(ServiceId(note.service)).adopt(target, until_ms, now_ms())
        self._fallback.avoid(target, until_ms)

    async def place(self, service: ServiceId, ask: Ask) -> Place | Refused:
        """Return where to send a request, from its placer or by own choice."""
        asked = 0
        for host in self._ranks.ranked(service):
            if self._suspect_until_ms.get(host, 0.0) > now_ms():
                continue
            if asked >= PLACERS:
                break
            asked += 1
            answer = await self._ask_placer(host, service, ask, counted=asked > 1)
            if answer is not None:
                return answer
        return self._place_alone(service, ask)

    async def _ask_placer(
        self, host: HostId, service: ServiceId, ask: Ask, counted: bool
    ) -> Place | Refused | None:
        to = self._ranks.address(host)
        if to is None:
            return None
        left_ms = ask.deadline_ms - now_ms()
        message = PlaceAsk(
            service,
            ask.route,
            ask.idempotent,
            ask.priority,
            round(ask.aim_ms),
            round(left_ms),
            ask.body_bytes,
            ask.repeat,
            ask.hedge,
            counted,
            ask.content,
            list(ask.excluded),
            packed_limits(self._told_of(service), now_ms()),
        )
        answer = await self._exchange.ask(to, message, SILENT_S, left_ms / 1e3)
        if isinstance(answer, RefusedAnswer):
            return Refused(answer.reason, answer.retry_after_ms)
        if not isinstance(answer, PlaceAnswer):
            self._suspect_until_ms[host] = now_ms() + SUSPECT_MS
            log_state_change(
                self._log, "placer passed over", host=host, service=service
            )
            return None
        target = self._targets.get(TargetIdentity(answer.target))
        if target is None:
            # The placer knows a target that has not been told here yet, or no more.
            self._give_back(answer, to)
            return None
        return Place(
            service, target, answer.hedge_after_ms, GrantId(answer.grant), host, to
        )

    def _told_of(self, service: ServiceId) -> list[LimitSaid]:
        return [
            said
            for said in self._told.recent(now_ms())
            if (entry := self._targets.get(said.target)) and entry.service == service
        ]

    def _place_alone(self, service: ServiceId, ask: Ask) -> Place | Refused:
        if ask.repeat:
            return Refused("repeats", EJECTION_MS)
        if self._crashes.is_suspect(ask.content):
            # Nobody sees here what else runs at a target, or runs this request.
            return Refused("suspect", EJECTION_MS)
        # How much the others send to a target with a limit is not known here.
        limited = {said.target for said in self._told_of(service)}
        open_to_all = [e for e in self._of(service) if e.identity not in limited]
        target = self._fallback.choose(open_to_all, now_ms())
        if target is None:
            return Refused("no-target", 500.0)
        self._fallback.began(target.identity)
        return Place(service, target, FALLBACK_HEDGE_MS)

    async def crashed(
        self, place: Place, content: ContentDigest, latency_ms: float
    ) -> None:
        """Tell a placer that a target crashed, before its request is sent again."""
        note = EndedNote(
            place.target.identity,
            place.grant or 0,
            ENDINGS.index(Ending.CRASHED),
            round(latency_ms),
            content,
        )
        self._fallback.avoid(place.target.identity, now_ms() + EJECTION_MS)
        if place.grant is None:
            self._fallback.ended(place.target.identity)
        first = () if place.placer_at is None else (place.placer_at,)
        others = (self._ranks.address(h) for h in self._ranks.ranked(place.service))
        tried = 0
        for to in dict.fromkeys((*first, *others)):
            if to is None or tried == PLACERS:
                continue
            tried += 1
            if await self._exchange.ask(to, note, SILENT_S, SILENT_S) is not None:
                return

    def ended(
        self,
        place: Place,
        content: ContentDigest,
        ending: Ending,
        latency_ms: float,
        limit_per_s: float | None,
    ) -> None:
        """Tell the placer how a sending ended."""
        if limit_per_s is not None or ending is Ending.ANSWERED:
            asked_ms = now_ms() - latency_ms
            self._told.hear(LimitSaid(place.target.identity, limit_per_s, asked_ms))
        failed = ending not in (Ending.ANSWERED, Ending.ABANDONED, Ending.SHED)
        if failed and ending is not Ending.ERROR:
            self._fallback.avoid(place.target.identity, now_ms() + EJECTION_MS)
        if place.placer_at is None or place.grant is None:
            self._fallback.ended(place.target.identity)
            return
        note = EndedNote(
            place.target.identity,
            place.grant,
            ENDINGS.index(ending),
            round(latency_ms),
            content if ending is Ending.BROKEN else "",
            limit_per_s,
        )
        # Also to a placer that the view names no more: it goes on placing for a while,
        # and work whose end it does not hear of would look like targets that hang.
        to = place.placer_at
        self.spawn(self._exchange.ask(to, note, SILENT_S, SILENT_S))
