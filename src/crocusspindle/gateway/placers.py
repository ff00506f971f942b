"""Answer placement requests for the services that this node places."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import asdict
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.cold_targets import ColdTargets
from crocusspindle.core.configuration import ServiceRule
from crocusspindle.core.hand_over_choice import nodes_named
from crocusspindle.core.leaving_targets import LeavingTargets
from crocusspindle.core.listed_target import (
    ListedTarget,
    TargetIdentity,
    mark_evacuated,
)
from crocusspindle.core.overload_watch import OverloadChange
from crocusspindle.core.placement_request import (
    PlacementGranted,
    PlacementRefused,
    PlacementRequest,
    QueuedRequest,
)
from crocusspindle.core.policies import Policies
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.retry_account import RetryReport
from crocusspindle.core.service_placer import ServicePlacer
from crocusspindle.core.store_version import StoreVersion
from crocusspindle.core.target_tracker import EjectionState
from crocusspindle.core.view import NodeAddress
from crocusspindle.gateway import instruments
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import FleetState
from crocusspindle.gateway.limit_sharing import LimitSharing
from crocusspindle.gateway.messages import (
    ATTEMPT_OUTCOMES,
    Done,
    EjectedNote,
    EndedNote,
    LeavingNote,
    PacedNote,
    PlaceAnswer,
    PlaceAsk,
    ReachingAnswer,
    ReachingAsk,
    RefusedAnswer,
    TargetLimitNote,
)
from crocusspindle.gateway.placer_ranks import PlacerRanks
from crocusspindle.gateway.rate_sharing import RateSharing
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.reported_limits import packed_limits, unpacked_limits
from crocusspindle.gateway.retry_budgets import RetryBudgets
from crocusspindle.ids import (
    ContentDigest,
    CustomerId,
    DomainId,
    GrantId,
    HostId,
    ServiceId,
)
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change
from crocusspindle.metrics import Metrics

PROCESS_INTERVAL_S: Final = 0.02
"""Interval at which queues are processed while requests wait."""

IDLE_PROCESS_INTERVAL_S: Final = 0.1
"""Interval at which queues are processed while no request waits."""


class Placers(Service):
    """Hold a placer for each service that nodes request targets for."""

    name: ClassVar[str] = "placers"
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
        fleet_state: FleetState,
        policies: Policies,
        crashes: CrashSharing,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._bounds = bounds
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._policies = policies
        self._crashes = crashes
        self.ranks = PlacerRanks(node, exchange, fleet_state)
        self._retry_budgets = RetryBudgets(bounds)
        self._limit_sharing = LimitSharing(self.ranks, metrics)
        self._rate_sharing = RateSharing(node.host, self.ranks, exchange, self.spawn)
        self._placers: dict[ServiceId, ServicePlacer] = {}
        self.targets: dict[TargetIdentity, ListedTarget] = {}
        self._targets_digest = 0
        self._evacuated: frozenset[DomainId] = frozenset()
        self._configuration_version = -1
        self._cold_targets = ColdTargets()
        self._leaving_targets = LeavingTargets()
        self._waiters: dict[int, tuple[QueuedRequest, asyncio.Event]] = {}
        self.on_ejected: Callable[[TargetIdentity, float], None] = _ignore
        self._log = Logger("placing")

    async def start(self) -> None:
        """Register the message handlers."""
        self._exchange.handle(PlaceAsk, self._place_ask)
        self._exchange.handle(EndedNote, self._ended_note)
        self._exchange.handle(EjectedNote, self._ejected_note)
        self._exchange.handle(PacedNote, self._paced_note)
        self._exchange.handle(TargetLimitNote, self._target_limit_note)
        self._exchange.handle(LeavingNote, self._leaving_note)
        self._exchange.handle(ReachingAsk, self._reaching_ask)
        self._fleet_state.add_listener(self._apply_fleet_state)
        self._metrics.observe(instruments.WAITING, self._waiting_by_service)
        self._metrics.observe(instruments.SHORT_SERVICES, self._short_services)

    def _waiting_by_service(self) -> list[tuple[float, Mapping[str, str]]]:
        return [
            (placer.queued, {"service": service})
            for service, placer in self._placers.items()
        ]

    def _short_services(self) -> list[tuple[float, Mapping[str, str]]]:
        short = sum(placer.is_overloaded for placer in self._placers.values())
        return [(short, {})]

    def _apply_fleet_state(self) -> None:
        state = self._fleet_state
        evacuated = state.evacuated.content or frozenset()
        if (state.targets_digest, evacuated) != (self._targets_digest, self._evacuated):
            self._targets_digest = state.targets_digest
            self._evacuated = evacuated
            self._apply_targets()
        elif state.configuration.version != self._configuration_version:
            for service, placer in self._placers.items():
                self._limit_cold_targets(service, placer)
        self._configuration_version = state.configuration.version
        self.ranks.update_view()

    def _apply_targets(self) -> None:
        listed = self._fleet_state.targets.content or ()
        self._leaving_targets.record_listed(listed, now_ms())
        marked = self._leaving_targets.mark(
            mark_evacuated(listed, self._evacuated), now_ms()
        )
        self.targets = {entry.identity: entry for entry in marked}
        self._cold_targets.update(self.targets, now_ms())
        for service, placer in self._placers.items():
            self._update_targets(service, placer)

    def record_leaving(self, target: ListedTarget) -> None:
        """Record that a target says it is leaving, and notify its placers."""
        self._record_leaving(target.identity, target.started_ms)
        self.ranks.notify_others(
            target.service, LeavingNote(target.identity, target.started_ms)
        )

    def notify_if_leaving(self, target: ListedTarget) -> None:
        """Notify the placers of a target that they still grant though it is leaving."""
        if self._leaving_targets.is_leaving(target):
            self.record_leaving(target)

    def _record_leaving(self, target: TargetIdentity, started_ms: int) -> None:
        if self._leaving_targets.record(target, started_ms, now_ms()):
            log_state_change(self._log, "target is leaving", target=target)
            self._apply_targets()

    async def _leaving_note(self, note: LeavingNote, sender: Address) -> None:
        self._record_leaving(TargetIdentity(note.target), note.started_ms)

    @property
    def list_version(self) -> StoreVersion:
        """Return the store's version of the list of targets in force."""
        return self._fleet_state.targets.version

    @property
    def list_age_ms(self) -> float:
        """Return the age of the read that confirmed the list of targets."""
        return self._fleet_state.targets.age_ms(now_ms())

    def targets_of(self, service: ServiceId) -> list[ListedTarget]:
        """Return the listed targets of a service."""
        return [entry for entry in self.targets.values() if entry.service == service]

    def _placer(self, service: ServiceId) -> ServicePlacer:
        placer = self._placers.get(service)
        if placer is None:
            budget = self._retry_budgets.budget(service)
            floor_share = self._bounds.current.floor_share
            placer = ServicePlacer(
                floor_share,
                budget,
                self._policies,
                now_ms(),
                self._fleet_state.crashes,
            )
            self._update_targets(service, placer)
            if not self._placers:
                self.spawn(self._process_regularly())
            self._placers[service] = placer
            log_state_change(self._log, "places for a service", service=service)
        return placer

    def _update_targets(self, service: ServiceId, placer: ServicePlacer) -> None:
        placer.set_targets(self.targets_of(service), now_ms())
        self._limit_cold_targets(service, placer)

    def _limit_cold_targets(self, service: ServiceId, placer: ServicePlacer) -> None:
        rule = self._rule_of(service)
        limited = placer.limits.update_cold(rule, self._cold_targets, now_ms())
        if limited:
            log_state_change(
                self._log,
                "cold targets limited",
                service=service,
                targets=limited,
                limit_per_s=rule.cold_per_s,
                for_ms=rule.warm_up_ms,
            )

    def _rule_of(self, service: ServiceId) -> ServiceRule:
        configuration = self._fleet_state.configuration.content
        services = {} if configuration is None else configuration.services
        return services.get(service, ServiceRule())

    def _weight_of(self, customer: CustomerId) -> float:
        configuration = self._fleet_state.configuration.content
        customers = {} if configuration is None else configuration.customers
        rule = customers.get(customer)
        return 0.0 if rule is None else rule.rate_per_s

    def may_be_cold(self, target: ListedTarget) -> bool:
        """Return True if a target tolerates only a limited rate, as far as known."""
        rule = self._rule_of(target.service)
        since_ms = self._cold_targets.since_ms(target.identity)
        return rule.cold_per_s is not None and now_ms() < since_ms + rule.warm_up_ms

    async def wait_until_listed(self) -> None:
        """Wait a limited time for the first list of targets after the start."""
        await self._fleet_state.wait_for_first_targets()
        # Listeners may be notified only after the other tables have been read as well.
        self._apply_fleet_state()

    async def _place_ask(
        self, message: PlaceAsk, sender: Address
    ) -> PlaceAnswer | RefusedAnswer:
        await self.wait_until_listed()
        at_ms = now_ms()
        content = ContentDigest(message.content)
        refused = self._crashes.refusal(content)
        if refused is not None:
            return RefusedAnswer(refused.reason, refused.retry_after_ms)
        placement_request = PlacementRequest(
            sender=HostId(sender[0]),
            domain=self.ranks.domain_of(sender),
            route=message.route,
            idempotent=message.idempotent,
            priority=message.priority,
            aim_ms=message.aim_ms,
            deadline_ms=at_ms + message.left_ms,
            retry=message.retry,
            hedge=message.hedge,
            counted=message.counted,
            body_bytes=message.body_bytes,
            content=content,
            trial=self._crashes.is_held(content),
            excluded=frozenset(TargetIdentity(name) for name in message.excluded),
            customer=CustomerId(message.customer),
            weight=self._weight_of(CustomerId(message.customer)),
            retries=_retry_report(message),
        )
        placer = self._placer(ServiceId(message.service))
        for report in unpacked_limits(message.limits, at_ms):
            self._apply_limit(placer, report)
        self._rate_sharing.record_request(ServiceId(message.service), placer)
        decision = placer.request_placement(placement_request, at_ms)
        if self._waiters:
            # Requests that were queued before may have got slots.
            self._wake_settled()
        if isinstance(decision, PlacementRefused) and decision.reason == "repeats":
            self._retry_budgets.log_bound(ServiceId(message.service))
        if isinstance(decision, QueuedRequest):
            decision = await self._wait_for_placement(placer, decision)
        self._publish_changes(ServiceId(message.service), placer)
        if isinstance(decision, PlacementGranted):
            if placement_request.trial:
                self._crashes.begin_held_trial(
                    ServiceId(message.service), self.ranks, content
                )
            target = decision.target
            return PlaceAnswer(
                decision.grant, target.identity, round(decision.hedge_after_ms)
            )
        return RefusedAnswer(decision.reason, decision.retry_after_ms)

    async def _reaching_ask(self, ask: ReachingAsk, sender: Address) -> ReachingAnswer:
        placer = self._placers.get(ServiceId(ask.service))
        reaching = [] if placer is None else placer.senders_with_path(now_ms())
        # A placer knows senders by their IP addresses.
        nodes = [
            (node.host, node.domain)
            for ip in reaching
            if (node := self.ranks.member_at(ip)) is not None
        ]
        asking = self.ranks.member_at(sender[0])
        if asking is None:
            return ReachingAnswer([])
        return ReachingAnswer(nodes_named(asking.host, asking.domain, nodes))

    def _apply_limit(self, placer: ServicePlacer, report: LimitReport) -> None:
        if placer.limits.update_reported(report, now_ms()):
            log_state_change(
                self._log,
                "target limit changed",
                target=report.target,
                limit_per_s=report.limit_per_s,
            )

    async def _target_limit_note(self, note: TargetLimitNote, sender: Address) -> None:
        self._limit_sharing.receive(note, self._placer(ServiceId(note.service)))

    async def _paced_note(self, note: PacedNote, sender: Address) -> Done:
        placer = self._placer(ServiceId(note.service))
        for report in unpacked_limits(note.limits, now_ms()):
            placer.limits.count_attempt(report, now_ms())
        return Done()

    async def _wait_for_placement(
        self, placer: ServicePlacer, queued: QueuedRequest
    ) -> PlacementGranted | PlacementRefused:
        settled = asyncio.Event()
        self._waiters[id(queued)] = (queued, settled)
        try:
            await settled.wait()
            assert queued.settled is not None
            return queued.settled
        finally:
            del self._waiters[id(queued)]
            if queued.settled is None:
                placer.abandon(queued)

    def _wake_settled(self) -> None:
        for queued, settled in self._waiters.values():
            if queued.settled is not None:
                settled.set()

    async def _process_regularly(self) -> None:
        # Ends grants of senders that are down, ejections and queue waits. All queued
        # requests share one pass; a pass for each would cost the square of their count.
        while True:
            await asyncio.sleep(
                PROCESS_INTERVAL_S if self._waiters else IDLE_PROCESS_INTERVAL_S
            )
            for service, placer in self._placers.items():
                self._rate_sharing.update(service, placer)
                placer.process_due(now_ms())
                self._publish_changes(service, placer)
            self._wake_settled()

    async def _ended_note(self, note: EndedNote, sender: Address) -> Done:
        target = self.targets.get(TargetIdentity(note.target))
        if target is None or not 0 <= note.ending < len(ATTEMPT_OUTCOMES):
            # The target was removed from the list, and its state with it; or the
            # sender is newer and knows an outcome that this node doesn't.
            return Done()
        placer = self._placer(target.service)
        if (
            note.limit_per_s is not None
            or ATTEMPT_OUTCOMES[note.ending] is AttemptOutcome.ANSWERED
        ):
            sent_ms = now_ms() - note.latency_ms
            report = LimitReport(target.identity, note.limit_per_s, sent_ms)
            self._apply_limit(placer, report)
        placer.ended(
            target.identity,
            GrantId(note.grant),
            ATTEMPT_OUTCOMES[note.ending],
            HostId(sender[0]),
            note.latency_ms,
            now_ms(),
            ContentDigest(note.content),
        )
        crashed = placer.crash_watch.has_reports
        self._crashes.record_crashes(target.service, self.ranks, placer.crash_watch)
        if crashed:
            placer.process_due(now_ms())
        self._wake_settled()
        self._publish_changes(target.service, placer)
        return Done()

    def _publish_changes(self, service: ServiceId, placer: ServicePlacer) -> None:
        for path_change in placer.path_changes():
            log_state_change(
                self._log,
                "sender has a path" if path_change.has_path else "sender has no path",
                service=service,
                sender=path_change.sender,
                targets=path_change.targets,
            )
        for overload_change in placer.overload_changes():
            self._log_overload(service, placer, overload_change)
        limited_attempts = packed_limits(placer.limits.attempts(), now_ms())
        if limited_attempts:
            self.ranks.notify_others(service, PacedNote(service, limited_attempts))
        self._limit_sharing.publish(service, placer)
        for change in placer.changes():
            ejected = change.standing is EjectionState.EJECTED
            left_ms = round(max(0.0, change.until_ms - now_ms()))
            log_state_change(
                self._log,
                "target standing changed",
                service=service,
                target=change.target,
                standing=change.standing.value,
                ending=change.ending.value if change.ending else None,
                sender=change.sender,
                left_ms=left_ms if ejected else None,
                withdrawn=change.withdrawn,
            )
            if ejected or change.withdrawn:
                left_ms = left_ms if ejected else 0
                self._publish_ejection(service, change.target, left_ms)

    def _log_overload(
        self, service: ServiceId, placer: ServicePlacer, change: OverloadChange
    ) -> None:
        if change.overloaded:
            log_state_change(
                self._log, "service overloaded", service=service, waiting=placer.queued
            )
            return
        log_state_change(
            self._log,
            "service no longer overloaded",
            service=service,
            lasted_ms=round(change.lasted_ms),
            requests=change.requests,
            granted=change.granted,
            refused=change.refused,
            largest=[asdict(use) for use in change.largest],
        )

    def _publish_ejection(
        self, service: ServiceId, target: TargetIdentity, left_ms: float
    ) -> None:
        self.ranks.notify_others(service, EjectedNote(service, target, left_ms))

    async def _ejected_note(self, note: EjectedNote, sender: Address) -> None:
        until_ms = now_ms() + note.left_ms
        target = TargetIdentity(note.target)
        self._placer(ServiceId(note.service)).apply_ejection(target, until_ms, now_ms())
        self.on_ejected(target, until_ms)


def _retry_report(message: PlaceAsk) -> RetryReport | None:
    if message.retries_allowed < 0:
        return None
    return RetryReport(
        message.retries_allowed / 100.0,
        message.retries_used,
        process=message.retries_process,
    )


def _ignore(target: TargetIdentity, until_ms: float) -> None:
    """Ignore an ejection sent by another placer."""
