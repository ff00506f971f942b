"""Place the requests of one service on its targets, for the whole fleet.

Made for services of some ten targets with 2 to 6 slots each, at a third to the whole of
their load, some of whose targets fail grayly at any time. The harm prevented: requests
sent to a target that another entry has just seen fail, requests that queue at a full
target while the next one is idle, and callers kept waiting for a refusal.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from crocusspindle.core.asks import Ask, Placed, Refused, StandingChange, Waiting
from crocusspindle.core.crash_table import CrashTable, Isolation
from crocusspindle.core.crash_watch import CrashWatch
from crocusspindle.core.floor_watch import FloorWatch
from crocusspindle.core.hedge_time import hedge_after_ms
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.listed_target import (
    ListedTarget,
    Readiness,
    TargetIdentity,
)
from crocusspindle.core.placement_queue import (
    RETRY_MIN_MS,
    PlacementQueue,
    refused_as_full,
)
from crocusspindle.core.policies import ALL_POLICIES, Policies, Policy
from crocusspindle.core.rate_limit import LimitReport
from crocusspindle.core.repeat_budget import RepeatBudget
from crocusspindle.core.route_latencies import RouteLatencies
from crocusspindle.core.target_choice import TargetChoice
from crocusspindle.core.target_gauge import (
    HUNG_NATS,
    Ending,
    Grant,
    Standing,
    TargetGauge,
    WorkEnd,
)
from crocusspindle.core.turn_rate import TurnRate
from crocusspindle.core.unreached_share import UnreachedShare
from crocusspindle.ids import NO_CONTENT, ContentDigest, GrantId, HostId

REFRESH_MS: Final = 5.0
"""What becomes due by time alone is noticed within this."""


class ServicePlacer:
    """Decide where each request of one service goes."""

    def __init__(
        self,
        floor_share: float,
        budget: RepeatBudget,
        policies: Policies = ALL_POLICIES,
        now_ms: float = 0.0,
        crashes: CrashTable | None = None,
    ) -> None:
        self._crashes = CrashTable() if crashes is None else crashes
        self.crash_watch = CrashWatch(self._crashes)
        self._budget = budget
        self._policies = policies
        self._refreshed_ms = -math.inf
        self._gauges: dict[TargetIdentity, TargetGauge] = {}
        self._latencies = RouteLatencies(policies.has(Policy.ROUTE_LATENCIES))
        self._turns = TurnRate(now_ms)
        self._unreached = UnreachedShare()
        self._floor = FloorWatch(floor_share)
        self._choice = TargetChoice(
            self._gauges, self._floor, self._turns, policies, self._crashes
        )
        self._queue = PlacementQueue(policies, now_ms)
        self._number = 0
        self._changes: list[StandingChange] = []
        self._paced: list[TargetIdentity] = []

    def set_targets(self, listed: Iterable[ListedTarget], now_ms: float) -> None:
        """Take over the list of the service's targets."""
        self._floor.forget_owed()
        entries = {entry.identity: entry for entry in listed}
        self.crash_watch.keep(entries)
        for identity in self._gauges.keys() - entries.keys():
            del self._gauges[identity]
        for identity, entry in entries.items():
            gauge = self._gauges.get(identity)
            if gauge is None:
                # It has just told the platform that it lives, so it counts as proved.
                gauge = TargetGauge(entry, updated_ms=now_ms, proved_ms=now_ms)
                self._gauges[identity] = gauge
            gauge.listed = entry

    def gauges(self) -> Mapping[TargetIdentity, TargetGauge]:
        """Return what is known of each target."""
        return self._gauges

    def adopt(self, target: TargetIdentity, until_ms: float, now_ms: float) -> None:
        """Take over another placer's ejection, as its successor would need it."""
        gauge = self._gauges.get(target)
        if gauge is not None and until_ms > now_ms:
            gauge.standing = Standing.EJECTED
            gauge.ejected_until_ms = max(gauge.ejected_until_ms, until_ms)
            gauge.last_failed_ms = now_ms

    def take_limit(self, report: LimitReport, now_ms: float) -> bool:
        """Take over a limit that a target named; return True if it changed."""
        gauge = self._gauges.get(report.target)
        return gauge is not None and gauge.limit.take(report, now_ms)

    def count_paced(self, report: LimitReport, now_ms: float) -> None:
        """Count a sending of another placer to a target with a limit."""
        gauge = self._gauges.get(report.target)
        if gauge is not None:
            gauge.limit.take(report, now_ms)
            gauge.limit.sent(now_ms)

    def paced(self) -> list[LimitReport]:
        """Return the limits of targets that got work since the last call."""
        paced, self._paced = self._paced, []
        limits = {
            target: self._gauges[target].limit
            for target in paced
            if target in self._gauges
        }
        return [
            LimitReport(target, limits[target].limit_per_s, limits[target].asked_ms)
            for target in paced
            if target in limits
        ]

    def changes(self) -> list[StandingChange]:
        """Return the changes of standing since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def ask(self, ask: Ask, now_ms: float) -> Placed | Refused | Waiting:
        """Place a sending, queue it for a slot, or refuse it at once."""
        if ask.hedge and not self._may_hedge(ask, now_ms):
            return Refused("full", self._usual_ms(ask))
        if ask.repeat:
            if not self._budget.repeat(now_ms):
                return Refused("repeats", self._usual_ms(ask))
        else:
            if not ask.counted:
                self._budget.request(now_ms)
            self._queue.arrived(now_ms)
        self._refresh_if_due(now_ms)
        placed = self._place(ask, now_ms)
        if placed is not None:
            return placed
        if ask.hedge:
            self._budget.give_back()
            return Refused("full", self._usual_ms(ask))
        return self._wait(ask, now_ms)

    def _may_hedge(self, ask: Ask, now_ms: float) -> bool:
        if self._crashes.isolation(ask.content) is not Isolation.NONE:
            return False
        # A second sending takes the slot of someone's first one when slots are short.
        if not self._policies.has(Policy.HEDGING) or len(self._queue):
            return False
        return self._any_free(now_ms)

    def _any_free(self, now_ms: float) -> bool:
        return any(
            gauge.free(now_ms)
            for gauge in self._gauges.values()
            if gauge.standing is not Standing.EJECTED or gauge.may_be_tried(now_ms)
        )

    def _sample(self, ask: Ask) -> LatencySample:
        return self._latencies.judge(ask.route, ask.aim_ms)

    def _usual_ms(self, ask: Ask) -> float:
        return self._sample(ask).usual_ms

    def _wait(self, ask: Ask, now_ms: float) -> Refused | Waiting:
        if ask.trial:
            return Refused("held", RETRY_MIN_MS)
        if not self._any_open_to(ask, now_ms):
            return self._refuse_all_out(ask, now_ms)
        sample = self._sample(ask)
        return self._queue.join(ask, sample, self._open_slots(sample.usual_ms), now_ms)

    def _any_open_to(self, ask: Ask, now_ms: float) -> bool:
        return any(
            gauge.standing is Standing.WELL
            and gauge.listed.readiness is Readiness.READY
            and gauge.listed.identity not in ask.excluded
            and self._choice.reachable(gauge, ask.sender, now_ms)
            for gauge in self._gauges.values()
        )

    def _open_slots(self, work_ms: float) -> float:
        # A limit keeps fewer slots busy than there are, the fewer the shorter the work.
        return sum(
            min(gauge.listed.slots, gauge.limit.carries(work_ms))
            for gauge in self._gauges.values()
            if gauge.standing is Standing.WELL
            and gauge.listed.readiness is Readiness.READY
        )

    def _refuse_all_out(self, ask: Ask, now_ms: float) -> Refused:
        returns_ms = [
            gauge.ejected_until_ms
            for gauge in self._gauges.values()
            if gauge.standing is Standing.EJECTED
        ]
        soonest_ms = min(returns_ms, default=now_ms + self._usual_ms(ask))
        return Refused("no-target", max(RETRY_MIN_MS, soonest_ms - now_ms))

    def _refresh_if_due(self, now_ms: float) -> None:
        # A look at each target with each ask and each end of a sending would take the
        # placer's processor from its callers where there are hundreds of targets.
        if now_ms - self._refreshed_ms >= REFRESH_MS:
            self._refresh(now_ms)

    def _refresh(self, now_ms: float) -> None:
        self._refreshed_ms = now_ms
        well = 0
        ejects_hung = self._policies.has(Policy.HUNG_EJECTION)
        for gauge in self._gauges.values():
            if gauge.standing is Standing.EJECTED:
                gauge.refresh(now_ms)
            well += gauge.standing is Standing.WELL
            if not gauge.grants:
                continue
            gauge.drop_expired(now_ms)
            if ejects_hung:
                self._eject_hung(gauge, now_ms)
        self._turns.pass_time(well, len(self._gauges) - well, now_ms)
        if self._policies.has(Policy.FLOOR_TRIALS):
            self._floor.keep(self._gauges.values(), len(self._queue), now_ms)

    def _eject_hung(self, gauge: TargetGauge, now_ms: float) -> None:
        # A target that takes work and never answers says nothing that could be
        # judged. Its callers would find out one by one when their time is over.
        if gauge.standing is Standing.EJECTED or not gauge.grants:
            return
        if gauge.nats + gauge.doubt_nats(now_ms) < HUNG_NATS:
            return
        if not self._floor.may_eject(self._gauges.values()):
            return
        self._turns.turned(gauge.standing is Standing.WELL)
        newest_ms = max(grant.began_ms for grant in gauge.grants.values())
        gauge.last_failed_ms = max(gauge.last_failed_ms, newest_ms)
        gauge.eject(now_ms)
        self._note_change(gauge, Ending.SILENT, None)

    def _place(self, ask: Ask, now_ms: float) -> Placed | None:
        chosen = self._choice.choose(ask, self._usual_ms(ask), now_ms)
        return None if chosen is None else self._grant(chosen, ask, now_ms)

    def _grant(self, gauge: TargetGauge, ask: Ask, now_ms: float) -> Placed:
        self._number += 1
        sample = self._sample(ask)
        number = GrantId(self._number)
        least_ms = self._latencies.least_ms
        if self._crashes.isolation(ask.content) is not Isolation.NONE:
            gauge.isolated = None if gauge.grants else number
        gauge.grants[number] = Grant(
            number,
            ask.sender,
            now_ms,
            ask.deadline_ms,
            ask.route,
            ask.aim_ms,
            sample,
            least_ms,
            ask.content,
        )
        gauge.last_used_ms = now_ms
        if gauge.limit.holds:
            gauge.limit.sent(now_ms)
            self._paced.append(gauge.listed.identity)
        hedge_ms = max(least_ms, hedge_after_ms(sample, ask.aim_ms))
        return Placed(number, gauge.listed, hedge_ms)

    def ended(
        self,
        target: TargetIdentity,
        grant: GrantId,
        ending: Ending,
        sender: HostId,
        latency_ms: float,
        now_ms: float,
        content: ContentDigest = NO_CONTENT,
    ) -> None:
        """Take the end of a sending into account and place those who wait."""
        gauge = self._gauges.get(target)
        if gauge is None:
            return
        known = gauge.grants.pop(grant, None)
        content = content if known is None else known.content
        running = [other.content for other in gauge.grants.values()]
        self.crash_watch.ended(target, content, running, ending, now_ms)
        self._floor.ended(ending, now_ms)
        before = gauge.standing
        gauge.note(self._work_end(known, ending, sender, latency_ms, now_ms))
        self._unreached.note(ending is Ending.UNREACHED)
        if known is not None and ending is Ending.ANSWERED:
            self._latencies.add(known.route, known.aim_ms, latency_ms)
            self._queue.answered(latency_ms)
        if gauge.standing is not before:
            self._turns.turned(before is Standing.WELL)
            self._note_change(gauge, ending, sender)
        self._refresh_if_due(now_ms)
        # A copy of what has just crashed a target may wait here, and be held by it.
        if not self.crash_watch.has_reports:
            self._serve_queue(now_ms)

    def _work_end(
        self,
        grant: Grant | None,
        ending: Ending,
        sender: HostId,
        latency_ms: float,
        now_ms: float,
    ) -> WorkEnd:
        may_eject = self._floor.may_eject(self._gauges.values())
        nats = self._unreached.nats
        if grant is None:
            began_ms = now_ms - latency_ms
            return WorkEnd(ending, sender, began_ms, now_ms, 1.0, 0.0, nats, may_eject)
        slowness = latency_ms / max(1.0, grant.sample.usual_ms)
        age_nats = grant.age_nats(latency_ms)
        if not self._policies.has(Policy.HANG_EVIDENCE):
            age_nats = 0.0
        began_ms = grant.began_ms
        return WorkEnd(
            ending, sender, began_ms, now_ms, slowness, age_nats, nats, may_eject
        )

    def _note_change(
        self, gauge: TargetGauge, ending: Ending, sender: HostId | None
    ) -> None:
        self._changes.append(
            StandingChange(
                gauge.listed.identity,
                gauge.standing,
                ending,
                sender,
                gauge.ejected_until_ms,
            )
        )

    def settle(self, now_ms: float) -> None:
        """Notice what became due, and place those who wait or give them up."""
        self._refresh(now_ms)
        self._serve_queue(now_ms)

    def _serve_queue(self, now_ms: float) -> None:
        if not len(self._queue):
            return
        slots = self._open_slots(self._queue.work_ms)
        free = self._any_free(now_ms)
        for waiting in self._queue.in_order(now_ms):
            if self._crashes.is_held(waiting.ask.content):
                hold_ms = self._crashes.hold_ms(waiting.ask.content)
                waiting.settled = Refused("held", hold_ms)
                continue
            # Most that wait in a full service find nothing free: a look at each target
            # for each of them would take the placer's processor just when it is short.
            if free and self._queue.may_start(waiting, slots, now_ms):
                waiting.settled = self._place(waiting.ask, now_ms)
                free = waiting.settled is None or self._any_free(now_ms)
            hopeful = self._queue.has_hope(waiting, slots, now_ms)
            if waiting.settled is None and not hopeful:
                waiting.settled = refused_as_full(self._usual_ms(waiting.ask))
        self._queue.drop_settled()

    def abandon(self, waiting: Waiting) -> None:
        """Forget an ask whose caller has left."""
        self._queue.remove(waiting)

    @property
    def queued(self) -> int:
        """Return how many asks wait."""
        return len(self._queue)
