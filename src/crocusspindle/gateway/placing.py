"""Choose a target for a request: through the service's placer, or locally."""

import math
import random
from dataclasses import dataclass, replace
from typing import ClassVar, Final

from crocusspindle.clock import now_ms
from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.fallback_choice import FallbackChoice
from crocusspindle.core.listed_target import ListedTarget, Readiness, TargetIdentity
from crocusspindle.core.placement_request import PlacementRefused, PlacementRequest
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.retry_account import RetryReport
from crocusspindle.core.target_backoffs import TargetBackoffs
from crocusspindle.core.target_signals import TargetSignals
from crocusspindle.core.target_tracker import EJECTION_MS
from crocusspindle.gateway.crash_sharing import CrashSharing
from crocusspindle.gateway.exchange import Address, Exchange
from crocusspindle.gateway.fleet_state import UNCONFIRMED_AGE_MS
from crocusspindle.gateway.messages import (
    ATTEMPT_OUTCOMES,
    EndedNote,
    PlaceAnswer,
    PlaceAsk,
    RefusedAnswer,
)
from crocusspindle.gateway.placer_ranks import MAX_PLACERS
from crocusspindle.gateway.placers import Placers
from crocusspindle.gateway.reload import LiveBounds
from crocusspindle.gateway.reported_limits import ReportedLimits, packed_limits
from crocusspindle.gateway.retry_budgets import RetryAccounts
from crocusspindle.ids import ContentDigest, GrantId, HostId, ServiceId
from crocusspindle.kernel import Service
from crocusspindle.log_lines import Logger, log_state_change

PEER_SILENT_S: Final = 0.09
"""Silence of a peer after which a request is not sent again. By then the exchange has
sent three copies, one every `RESEND_S`: two may be lost, or the peer is down."""

PLACER_SUSPECT_MS: Final = 1_500.0
"""Time for which a placer that did not respond is skipped."""

FALLBACK_HEDGE_MS: Final = 1_000.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the target of an attempt, and the placer to notify of its outcome."""

    service: ServiceId
    target: ListedTarget
    hedge_after_ms: float
    grant: GrantId | None = None
    placer: HostId | None = None
    placer_address: Address | None = None


class Placing(Service):
    """Request targets from a service's placer; choose locally if none responds."""

    name: ClassVar[str] = "placing"
    needs: ClassVar[tuple[str, ...]] = ("exchange", "placers", "crashes")

    def __init__(
        self,
        exchange: Exchange,
        placers: Placers,
        rng: random.Random,
        crashes: CrashSharing,
        bounds: LiveBounds,
    ) -> None:
        self._exchange = exchange
        self._placers = placers
        self._crashes = crashes
        self._fallback = FallbackChoice(rng)
        self._limits = ReportedLimits()
        self._backoffs = TargetBackoffs()
        self._retries = RetryAccounts(bounds, rng.getrandbits(16))
        self._suspect_until_ms: dict[HostId, float] = {}
        self._log = Logger("placing")

    async def start(self) -> None:
        """Register the callback for ejections and the handler of late responses."""
        self._placers.on_ejected = self._fallback.avoid
        self._exchange.handle_late_response(
            PlaceAnswer,
            lambda response, placer: self._release_grant(
                TargetIdentity(response.target), GrantId(response.grant), placer
            ),
        )

    def list_fields(self) -> dict[str, object]:
        """Return version and age of the list of targets, for a log line."""
        age_ms = min(self._placers.list_age_ms, UNCONFIRMED_AGE_MS)
        return {
            "list_version": self._placers.list_version,
            "list_age_ms": round(age_ms),
        }

    def record_signals(self, target: ListedTarget, signals: TargetSignals) -> None:
        """Record what a target's response tells of it."""
        if signals.is_leaving:
            self._placers.record_leaving(target)
        if signals.retry_after_ms is not None:
            self._backoffs.record(target.identity, signals.retry_after_ms, now_ms())
            log_state_change(
                self._log,
                "backs off from target",
                target=target.identity,
                retry_after_ms=signals.retry_after_ms,
            )

    def _release_grant(
        self, target: TargetIdentity, grant: GrantId, placer: Address
    ) -> None:
        # The request was abandoned or goes elsewhere. Its slot would stay taken until
        # the request's deadline, and other requests would be refused.
        note = EndedNote(
            target,
            grant,
            ATTEMPT_OUTCOMES.index(AttemptOutcome.ABANDONED),
            0,
        )
        self.spawn(self._exchange.request(placer, note, PEER_SILENT_S, PEER_SILENT_S))

    async def place(
        self, service: ServiceId, placement_request: PlacementRequest
    ) -> Placement | PlacementRefused:
        """Return a target for a request, from a placer or chosen locally."""
        await self._placers.wait_until_listed()
        account = self._retries.account(service)
        if not placement_request.retry:
            if not placement_request.counted:
                account.request(now_ms())
            return await self._place_usable(service, placement_request)
        decision: Placement | PlacementRefused | None = None
        account.begin_retry()
        try:
            decision = await self._place_usable(service, placement_request)
            return decision
        finally:
            account.end_retry(isinstance(decision, Placement), now_ms())

    async def _place_usable(
        self, service: ServiceId, placement_request: PlacementRequest
    ) -> Placement | PlacementRefused:
        returned: frozenset[TargetIdentity] = frozenset()
        while True:
            backed_off = self._backoffs.active(self._placers.targets, service, now_ms())
            tried = placement_request.excluded
            first_end_ms = self._first_backoff_end_ms(backed_off - tried)
            if self._backs_off_from_all(service, tried, backed_off):
                return PlacementRefused("backoff", max(0.0, first_end_ms - now_ms()))
            request = replace(
                placement_request,
                excluded=tried | backed_off | returned,
                counted=placement_request.counted or bool(returned),
            )
            decision = await self._place(service, request)
            if isinstance(decision, PlacementRefused):
                return _limit_retry_after(decision, first_end_ms - now_ms())
            if self._is_usable(decision):
                return decision
            self.return_unsent(decision)
            returned |= self._exclusions_after(service, decision)

    def _first_backoff_end_ms(self, backed_off: frozenset[TargetIdentity]) -> float:
        return min(map(self._backoffs.until_ms, backed_off), default=math.inf)

    def _backs_off_from_all(
        self,
        service: ServiceId,
        tried: frozenset[TargetIdentity],
        backed_off: frozenset[TargetIdentity],
    ) -> bool:
        """Return True if this node backs off from all ready targets left to try."""
        if not backed_off:
            return False
        left = {
            target.identity
            for target in self._placers.targets_of(service)
            if target.readiness is Readiness.READY
        } - tried
        return bool(left) and left <= backed_off

    def _is_usable(self, placement: Placement) -> bool:
        # The placer's list may be older than this node's, or the target asked for a
        # backoff while the request was queued.
        return self._accepts(placement.target)

    def _accepts(self, target: ListedTarget) -> bool:
        return (
            target.readiness is Readiness.READY
            and self._backoffs.until_ms(target.identity) <= now_ms()
        )

    def may_send(self, target: ListedTarget) -> bool:
        """Return True if a target still gets work, by this node's list."""
        listed = self._placers.targets.get(target.identity)
        return listed is not None and self._accepts(listed)

    def _exclusions_after(
        self, service: ServiceId, placement: Placement
    ) -> frozenset[TargetIdentity]:
        """Return the targets to exclude after a grant was returned."""
        return frozenset(
            target.identity
            for target in self._placers.targets_of(service)
            if target.readiness is not Readiness.READY
        ) | {placement.target.identity}

    def return_unsent(self, placement: Placement) -> None:
        """Return a grant of which nothing was sent; notify placers if that is due."""
        self._placers.notify_if_leaving(placement.target)
        if placement.grant is None or placement.placer_address is None:
            self._fallback.ended(placement.target.identity)
            return
        self._release_grant(
            placement.target.identity, placement.grant, placement.placer_address
        )

    async def _place(
        self, service: ServiceId, placement_request: PlacementRequest
    ) -> Placement | PlacementRefused:
        contacted = 0
        for host in self._placers.ranks.ranked(service):
            if self._suspect_until_ms.get(host, 0.0) > now_ms():
                continue
            if contacted >= MAX_PLACERS:
                break
            contacted += 1
            counted = placement_request.counted or contacted > 1
            decision = await self._request_from(
                host, service, placement_request, counted
            )
            if decision is not None:
                return decision
        return self._place_locally(service, placement_request)

    async def _request_from(
        self,
        host: HostId,
        service: ServiceId,
        placement_request: PlacementRequest,
        counted: bool,
    ) -> Placement | PlacementRefused | None:
        to = self._placers.ranks.address(host)
        if to is None:
            return None
        left_ms = placement_request.deadline_ms - now_ms()
        retries = self._retry_report(service)
        message = PlaceAsk(
            service,
            placement_request.route,
            placement_request.idempotent,
            placement_request.priority,
            round(placement_request.aim_ms),
            round(left_ms),
            placement_request.body_bytes,
            placement_request.retry,
            placement_request.hedge,
            counted,
            placement_request.content,
            list(placement_request.excluded),
            packed_limits(self._limits_of(service), now_ms()),
            placement_request.customer,
            int(retries.allowed * 100.0),
            retries.used,
            retries.process,
        )
        response = await self._exchange.request(
            to, message, PEER_SILENT_S, left_ms / 1e3
        )
        if isinstance(response, RefusedAnswer):
            return PlacementRefused(response.reason, response.retry_after_ms, host)
        if not isinstance(response, PlaceAnswer):
            self._suspect_until_ms[host] = now_ms() + PLACER_SUSPECT_MS
            log_state_change(
                self._log, "placer passed over", host=host, service=service
            )
            return None
        target = self._placers.targets.get(TargetIdentity(response.target))
        grant = GrantId(response.grant)
        if target is None:
            # The placer's list of targets is newer or older than this node's.
            self._release_grant(TargetIdentity(response.target), grant, to)
            return None
        return Placement(service, target, response.hedge_after_ms, grant, host, to)

    def _retry_report(self, service: ServiceId) -> RetryReport:
        account = self._retries.account(service)
        # Hosts that have left the view since may have used their parts.
        hosts = self._placers.ranks.max_members(now_ms() - account.window_ms)
        return account.report(hosts, now_ms())

    def _limits_of(self, service: ServiceId) -> list[LimitReport]:
        return [
            report
            for report in self._limits.recent(now_ms())
            if (entry := self._placers.targets.get(report.target))
            and entry.service == service
        ]

    def _place_locally(
        self, service: ServiceId, placement_request: PlacementRequest
    ) -> Placement | PlacementRefused:
        if placement_request.retry:
            # Others may have used what this node's account has left.
            return PlacementRefused("repeats", EJECTION_MS)
        if self._crashes.needs_isolation(placement_request.content):
            # What else a target runs, or who else runs this request, is unknown here.
            return PlacementRefused("suspect", EJECTION_MS)
        # How much other nodes send to a rate-limited or cold target is unknown here.
        # Where one target reports a limit, others that this node hasn't used may, too.
        some_limited = bool(self._limits_of(service))
        unlimited = [
            listed
            for listed in self._placers.targets_of(service)
            if listed.identity not in placement_request.excluded
            and not self._placers.may_be_cold(listed)
            and not (some_limited and not self._is_unlimited(listed))
        ]
        target = self._fallback.choose(unlimited, now_ms())
        if target is None:
            return PlacementRefused("no-target", 500.0)
        self._fallback.began(target.identity)
        return Placement(service, target, FALLBACK_HEDGE_MS)

    def _is_unlimited(self, target: ListedTarget) -> bool:
        return self._limits.is_unlimited(target.identity, now_ms())

    async def report_crash(
        self, placement: Placement, content: ContentDigest, latency_ms: float
    ) -> None:
        """Notify a placer of a target's crash before the request is retried."""
        note = EndedNote(
            placement.target.identity,
            placement.grant or 0,
            ATTEMPT_OUTCOMES.index(AttemptOutcome.CRASHED),
            round(latency_ms),
            content,
        )
        self._fallback.avoid(placement.target.identity, now_ms() + EJECTION_MS)
        if placement.grant is None:
            self._fallback.ended(placement.target.identity)
        granting_placer = (
            () if placement.placer_address is None else (placement.placer_address,)
        )
        ranked_placers = (
            self._placers.ranks.address(host)
            for host in self._placers.ranks.ranked(placement.service)
        )
        tried = 0
        for to in dict.fromkeys((*granting_placer, *ranked_placers)):
            if to is None or tried == MAX_PLACERS:
                continue
            tried += 1
            if (
                await self._exchange.request(to, note, PEER_SILENT_S, PEER_SILENT_S)
                is not None
            ):
                return

    def report_outcome(
        self,
        placement: Placement,
        content: ContentDigest,
        outcome: AttemptOutcome,
        latency_ms: float,
        limit_per_s: float | None,
    ) -> None:
        """Notify the placer of the outcome of an attempt, and record it locally."""
        if limit_per_s is not None or outcome is AttemptOutcome.ANSWERED:
            sent_ms = now_ms() - latency_ms
            self._limits.record(
                LimitReport(placement.target.identity, limit_per_s, sent_ms)
            )
        failed = outcome not in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.ABANDONED,
            AttemptOutcome.SHED,
        )
        if failed and outcome is not AttemptOutcome.ERROR:
            self._fallback.avoid(placement.target.identity, now_ms() + EJECTION_MS)
        if placement.placer_address is None or placement.grant is None:
            self._fallback.ended(placement.target.identity)
            return
        note = EndedNote(
            placement.target.identity,
            placement.grant,
            ATTEMPT_OUTCOMES.index(outcome),
            round(latency_ms),
            content if outcome is AttemptOutcome.BROKEN else "",
            limit_per_s,
        )
        # Also notifies a placer that was removed from the view: it keeps placing for a
        # while, and targets would seem to hang if the ends of attempts were missing.
        to = placement.placer_address
        self.spawn(self._exchange.request(to, note, PEER_SILENT_S, PEER_SILENT_S))

    def report_body_failure(self, placement: Placement) -> None:
        """Notify the placer of an attempt whose body failed after its outcome."""
        if placement.placer_address is None:
            return
        outcome = ATTEMPT_OUTCOMES.index(AttemptOutcome.ERROR)
        note = EndedNote(placement.target.identity, 0, outcome, 0)
        to = placement.placer_address
        self.spawn(self._exchange.request(to, note, PEER_SILENT_S, PEER_SILENT_S))


def _limit_retry_after(
    refused: PlacementRefused, usable_in_ms: float
) -> PlacementRefused:
    # A target may be usable again before one that the placer waits for.
    if refused.reason != "no-target" or refused.retry_after_ms <= usable_in_ms:
        return refused
    return replace(refused, retry_after_ms=max(0.0, usable_in_ms))
