"""Send one request until it is answered or may not be sent again."""

import asyncio
import random
from typing import Final

from crocusspindle.clock import now_ms
from crocusspindle.core.configuration import LOWEST_PRIORITY, choose_service
from crocusspindle.core.placement_request import PlacementRequest
from crocusspindle.core.target_tracker import AttemptOutcome
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway import instruments
from crocusspindle.gateway.answers import Refusal
from crocusspindle.gateway.case import Case
from crocusspindle.gateway.dialect import Dialect
from crocusspindle.gateway.placing import Place, Placing
from crocusspindle.gateway.sender import Sender, Sent
from crocusspindle.ids import ServiceId
from crocusspindle.metrics import Metrics

HEDGE_AGAIN_MS: Final = 150.0
"""A second sending that found no room is tried again after this: slots come free often
enough, and a request whose target hangs has nothing else to hope for."""

TARGETS_TRIED_MAX: Final = 4
"""Targets that may refuse a request, or not be reached, before its caller hears that it
was not run. Of targets half of which refuse, one request in sixteen meets four."""


class Sending:
    """Have requests placed, send them, repeat and hedge what may be repeated."""

    def __init__(
        self,
        node: NodeAddress,
        dialect: Dialect,
        placing: Placing,
        metrics: Metrics,
        draw: random.Random,
    ) -> None:
        self._node = node
        self._placing = placing
        self._metrics = metrics
        self._draw = draw
        self._sender = Sender(dialect)

    async def start(self) -> None:
        """Open the connections to targets."""
        await self._sender.start()

    async def stop(self) -> None:
        """Close the connections to targets."""
        await self._sender.stop()

    async def send(self, case: Case) -> Sent:
        """Return how the last sending ended; raise ``Refusal`` if none took place."""
        service = choose_service(case.route.weighted_services, self._draw.random())
        retry = False
        last: Sent | None = None
        while True:
            place = await self._place(case, service, retry, last)
            if isinstance(place, Sent):
                return place
            last = await self._send_watched(case, place, service)
            if not self._again(case, last):
                return last
            retry = case.arrived > 0

    async def _place(
        self,
        case: Case,
        service: ServiceId,
        retry: bool,
        last: Sent | None,
        hedge: bool = False,
    ) -> Place | Sent:
        ask = PlacementRequest(
            sender=self._node.host,
            domain=self._node.domain,
            route=case.route.name,
            idempotent=case.route.kind.idempotent,
            priority=min(case.priority, LOWEST_PRIORITY),
            aim_ms=max(0.0, case.route.aim_ms - (now_ms() - case.began_ms)),
            deadline_ms=case.ends_ms,
            retry=retry,
            hedge=hedge,
            body_bytes=case.body_bytes,
            content=case.content,
            excluded=frozenset(case.tried),
        )
        place = await self._placing.place(service, ask)
        if isinstance(place, Place):
            return place
        if last is not None and last.ending.may_have_run:
            return last
        raise Refusal(503, place.reason, place.retry_after_ms)

    def _again(self, case: Case, sent: Sent) -> bool:
        """Return True if the request should be sent to another target."""
        if sent.ending is AttemptOutcome.ANSWERED:
            return False
        streamed = not isinstance(case.outgoing.body, bytes | None)
        if streamed or now_ms() >= case.ends_ms:
            return False
        if not sent.ending.may_have_run:
            return len(case.tried) < TARGETS_TRIED_MAX
        return case.route.kind.idempotent and case.arrived < case.route.attempts

    async def _send_watched(self, case: Case, place: Place, service: ServiceId) -> Sent:
        """Send; if a repeatable request stays unanswered, try a second target."""
        first = asyncio.create_task(self._send_once(case, place))
        second: asyncio.Task[Sent] | None = None
        try:
            wait_ms = place.hedge_after_ms
            while second is None and self._may_hedge(case, wait_ms):
                done, _ = await asyncio.wait((first,), timeout=wait_ms / 1e3)
                if done:
                    break
                second = await self._hedge(case, service)
                wait_ms = HEDGE_AGAIN_MS
            if second is None:
                return await first
            return await _first_answer(first, second)
        finally:
            left = [task for task in (first, second) if task is not None]
            for task in left:
                task.cancel()
            # Their endings belong to the placer and to this request's log line.
            await asyncio.gather(*left, return_exceptions=True)

    def _may_hedge(self, case: Case, wait_ms: float) -> bool:
        return (
            now_ms() + wait_ms < case.ends_ms
            and case.route.kind.idempotent
            and case.arrived == 0
            and case.route.attempts > 1
            and isinstance(case.outgoing.body, bytes | None)
        )

    async def _hedge(self, case: Case, service: ServiceId) -> asyncio.Task[Sent] | None:
        try:
            place = await self._place(case, service, True, None, hedge=True)
        except Refusal:
            return None
        if isinstance(place, Sent):
            return None
        return asyncio.create_task(self._send_once(case, place))

    async def _send_once(self, case: Case, place: Place) -> Sent:
        began_ms = now_ms()
        case.tried.add(place.target.identity)
        ending, sent = AttemptOutcome.ABANDONED, None
        try:
            sent = await self._sender.send(place.target, case.outgoing, case.ends_ms)
            ending = sent.ending
            if ending is AttemptOutcome.CRASHED:
                await self._placing.crashed(place, case.content, sent.latency_ms)
            return sent
        finally:
            latency_ms = now_ms() - began_ms
            if ending is not AttemptOutcome.CRASHED:
                limit_per_s = sent.limit_per_s if sent else None
                self._placing.ended(
                    place, case.content, ending, latency_ms, limit_per_s
                )
            case.arrived += ending.arrived
            case.may_have_run |= ending.may_have_run
            case.sends.append(
                {
                    "target": place.target.identity,
                    "domain": place.target.domain,
                    "placer": place.placer,
                    "ending": ending.value,
                    "after_ms": round(began_ms - case.began_ms),
                    "latency_ms": round(latency_ms),
                    "detail": sent.detail if sent else "",
                    "limit_per_s": sent.limit_per_s if sent else None,
                }
            )
            self._metrics.add(instruments.SENDINGS, ending=ending.value)


async def _first_answer(first: asyncio.Task[Sent], second: asyncio.Task[Sent]) -> Sent:
    running = {first, second}
    sent: Sent | None = None
    while running:
        done, running = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            sent = task.result()
            if sent.ending is AttemptOutcome.ANSWERED:
                return sent
    assert sent is not None
    return sent
