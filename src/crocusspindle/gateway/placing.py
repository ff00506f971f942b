"""Find a place for a request, from the placer of its service or by own choice."""

import random
from dataclasses import dataclass
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.fallback_choice import FallbackChoice
from crocusspindle.core.listed_target import ListedTarget, TargetIdentity
from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.target_tracker import EJECTION_MS, AttemptOutcome
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.messages import (
    ENDINGS,
    EndedNote,
    PlaceAnswer,
    PlaceAsk,
    RefusedAnswer,
)
from crocusspindle.gateway.placer_ranks import PLACERS
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.reported_limits import ReportedLimits, packed_limits
from crocusspindle.ids import ContentDigest, GrantId, HostId, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

SILENT_S: Final = 0.09
"""Two sendings that were lost, or a placer that is gone."""

SUSPECT_MS: Final = 1_500.0
FALLBACK_HEDGE_MS: Final = 1_000.0


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
    """Ask the placer of a service, or place alone if none answers."""

    name: ClassVar[str] = "placing"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "placers", "crashes")

    def __init__(
        self,
        exchange: Exchange,
        placers: Placers,
        draw: random.Random,
        crashes: CrashSharing,
    ) -> None:
        self._exchange = exchange
        self._placers = placers
        self._crashes = crashes
        self._fallback = FallbackChoice(draw)
        self._limits = ReportedLimits()
        self._suspect_until_ms: dict[HostId, float] = {}
        self._log = Logger("placing")

    async def start(self) -> None:
        """Listen for answers that come late."""
        self._placers.on_ejected = self._fallback.avoid
        self._exchange.handle_late(PlaceAnswer, self._give_back)

    def _give_back(self, answer: PlaceAnswer, placer: Address) -> None:
        # The asker has left or went to another placer. Its slot would stay taken
        # until the request's deadline, and others would be refused for want of it.
        note = EndedNote(
            answer.target,
            answer.grant,
            ENDINGS.index(AttemptOutcome.ABANDONED),
            0,
        )
        self.spawn(self._exchange.ask(placer, note, SILENT_S, SILENT_S))

    async def place(
        self, service: ServiceId, ask: PlacementRequest
    ) -> Place | PlacementRefused:
        """Return where to send a request, from its placer or by own choice."""
        await self._placers.until_listed()
        asked = 0
        for host in self._placers.ranks.ranked(service):
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
        self, host: HostId, service: ServiceId, ask: PlacementRequest, counted: bool
    ) -> Place | PlacementRefused | None:
        to = self._placers.ranks.address(host)
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
            ask.retry,
            ask.hedge,
            counted,
            ask.content,
            list(ask.excluded),
            packed_limits(self._limits_of(service), now_ms()),
        )
        answer = await self._exchange.ask(to, message, SILENT_S, left_ms / 1e3)
        if isinstance(answer, RefusedAnswer):
            return PlacementRefused(answer.reason, answer.retry_after_ms)
        if not isinstance(answer, PlaceAnswer):
            self._suspect_until_ms[host] = now_ms() + SUSPECT_MS
            log_state_change(
                self._log, "placer passed over", host=host, service=service
            )
            return None
        target = self._placers.targets.get(TargetIdentity(answer.target))
        if target is None:
            # The placer knows a target that has not been told here yet, or no more.
            self._give_back(answer, to)
            return None
        return Place(
            service, target, answer.hedge_after_ms, GrantId(answer.grant), host, to
        )

    def _limits_of(self, service: ServiceId) -> list[LimitReport]:
        return [
            report
            for report in self._limits.recent(now_ms())
            if (entry := self._placers.targets.get(report.target))
            and entry.service == service
        ]

    def _place_alone(
        self, service: ServiceId, ask: PlacementRequest
    ) -> Place | PlacementRefused:
        if ask.retry:
            return PlacementRefused("repeats", EJECTION_MS)
        if self._crashes.is_suspect(ask.content):
            # Nobody sees here what else runs at a target, or runs this request.
            return PlacementRefused("suspect", EJECTION_MS)
        # How much the others send to a target with a limit is not known here.
        limited = {report.target for report in self._limits_of(service)}
        open_to_all = [
            e for e in self._placers.targets_of(service) if e.identity not in limited
        ]
        target = self._fallback.choose(open_to_all, now_ms())
        if target is None:
            return PlacementRefused("no-target", 500.0)
        self._fallback.began(target.identity)
        return Place(service, target, FALLBACK_HEDGE_MS)

    async def crashed(
        self, place: Place, content: ContentDigest, latency_ms: float
    ) -> None:
        """Tell a placer that a target crashed, before its request is sent again."""
        note = EndedNote(
            place.target.identity,
            place.grant or 0,
            ENDINGS.index(AttemptOutcome.CRASHED),
            round(latency_ms),
            content,
        )
        self._fallback.avoid(place.target.identity, now_ms() + EJECTION_MS)
        if place.grant is None:
            self._fallback.ended(place.target.identity)
        first = () if place.placer_at is None else (place.placer_at,)
        others = (
            self._placers.ranks.address(h)
            for h in self._placers.ranks.ranked(place.service)
        )
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
        ending: AttemptOutcome,
        latency_ms: float,
        limit_per_s: float | None,
    ) -> None:
        """Tell the placer how a sending ended."""
        if limit_per_s is not None or ending is AttemptOutcome.ANSWERED:
            sent_ms = now_ms() - latency_ms
            self._limits.take(LimitReport(place.target.identity, limit_per_s, sent_ms))
        failed = ending not in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.ABANDONED,
            AttemptOutcome.SHED,
        )
        if failed and ending is not AttemptOutcome.ERROR:
            self._fallback.avoid(place.target.identity, now_ms() + EJECTION_MS)
        if place.placer_at is None or place.grant is None:
            self._fallback.ended(place.target.identity)
            return
        note = EndedNote(
            place.target.identity,
            place.grant,
            ENDINGS.index(ending),
            round(latency_ms),
            content if ending is AttemptOutcome.BROKEN else "",
            limit_per_s,
        )
        # Also to a placer that the view names no more: it goes on placing for a while,
        # and work whose end it does not hear of would look like targets that hang.
        to = place.placer_at
        self.spawn(self._exchange.ask(to, note, SILENT_S, SILENT_S))
