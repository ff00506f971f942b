"""Choose the target of one request among those of its service."""

from collections.abc import Mapping
from typing import Final

from crocusspindle.core.asks import Ask
from crocusspindle.core.crash_table import CrashTable, Isolation
from crocusspindle.core.floor_watch import FloorWatch
from crocusspindle.core.listed_target import Readiness, TargetIdentity
from crocusspindle.core.policies import Policies, Policy
from crocusspindle.core.target_costs import (
    Weighing,
    cost_ms,
    least_far_cost_ms,
    terms_of,
)
from crocusspindle.core.target_gauge import OVERDUE_NATS, Standing, TargetGauge
from crocusspindle.core.turn_rate import TurnRate
from crocusspindle.ids import ContentDigest, HostId

UNSAFE_TRIAL_AFTER_MS: Final = 1_500.0
"""A trial waits this long for a request that may be repeated before it risks one that
may not."""


class TargetChoice:
    """Choose by what the service's targets owe, have proved and would cost."""

    def __init__(
        self,
        gauges: Mapping[TargetIdentity, TargetGauge],
        floor: FloorWatch,
        turns: TurnRate,
        policies: Policies,
        crashes: CrashTable,
    ) -> None:
        self._crashes = crashes
        self._gauges = gauges
        self._floor = floor
        self._turns = turns
        self._policies = policies
        self._terms = terms_of(policies)
        self._blames_paths = policies.has(Policy.PATH_BLAME)
        self._near_first = policies.has(Policy.NEAR_FIRST)

    def _usable(self, ask: Ask, now_ms: float) -> list[TargetGauge]:
        return [
            gauge
            for gauge in self._gauges.values()
            if gauge.standing is not Standing.EJECTED
            and gauge.free(now_ms)
            and gauge.listed.readiness is Readiness.READY
            and gauge.listed.identity not in ask.excluded
            and (not gauge.paths or self.reachable(gauge, ask.sender, now_ms))
        ]

    def reachable(self, gauge: TargetGauge, sender: HostId, now_ms: float) -> bool:
        """Return True unless a sender's path to a target is in doubt."""
        return not self._blames_paths or gauge.reachable(sender, now_ms)

    def choose(self, ask: Ask, usual_ms: float, now_ms: float) -> TargetGauge | None:
        """Return the target that an ask should go to, if one can take it."""
        isolation = self._crashes.isolation(ask.content)
        if isolation is not Isolation.NONE:
            return self._apart(ask, isolation, usual_ms, now_ms)
        owed = self._owed(ask, now_ms)
        if owed is not None:
            return owed
        usable = self._usable(ask, now_ms)
        trial = None if ask.repeat else self._trial(usable, ask, now_ms)
        if trial is not None:
            return trial
        well = [gauge for gauge in usable if gauge.standing is Standing.WELL]
        if self._policies.has(Policy.DOUBT_BY_AGE):
            well = [
                gauge for gauge in well if gauge.doubt_nats(now_ms) < OVERDUE_NATS
            ] or well
        if well:
            return self._best(well, ask, usual_ms, now_ms)
        trials = [gauge for gauge in usable if gauge.standing is Standing.TRIAL]
        return trials[0] if trials else None

    def _apart(
        self, ask: Ask, isolation: Isolation, usual_ms: float, now_ms: float
    ) -> TargetGauge | None:
        """Return a target for a request that may end it, with others' work there."""
        if self._runs(ask.content):
            return None
        usable = self._usable(ask, now_ms)
        usable = [g for g in usable if g.standing is Standing.WELL] or usable
        idle = [gauge for gauge in usable if not gauge.grants]
        if isolation is Isolation.REQUIRED:
            usable = []
        candidates = idle or usable
        return self._best(candidates, ask, usual_ms, now_ms) if candidates else None

    def _runs(self, content: ContentDigest) -> bool:
        return any(
            grant.content == content
            for gauge in self._gauges.values()
            for grant in gauge.grants.values()
        )

    def _owed(self, ask: Ask, now_ms: float) -> TargetGauge | None:
        """Return a target that is owed work for the sake of the service's floor."""
        if ask.repeat or not self._policies.has(Policy.FLOOR_TRIALS):
            return None
        owed = [
            gauge
            for gauge in self._floor.owed(self._gauges.values(), now_ms)
            if self._has_room(gauge, now_ms)
            and self._may_take_owed(gauge, ask, now_ms)
            and gauge.listed.identity not in ask.excluded
            and self.reachable(gauge, ask.sender, now_ms)
        ]
        if not owed:
            return None
        chosen = min(
            owed,
            key=lambda gauge: (
                gauge.standing is Standing.EJECTED,
                gauge.last_failed_ms,
                gauge.last_used_ms,
            ),
        )
        if chosen.standing is Standing.EJECTED:
            chosen.begin_trial(now_ms)
        return chosen

    def _may_take_owed(self, gauge: TargetGauge, ask: Ask, now_ms: float) -> bool:
        # Callers of its own domain mostly come in time. Taken by whoever comes first,
        # owed work went to another domain three times in four, at the price of its
        # bytes.
        near = gauge.listed.domain == ask.domain
        return near or self._floor.is_pressing(gauge, now_ms)

    @staticmethod
    def _has_room(gauge: TargetGauge, now_ms: float) -> bool:
        if gauge.standing is Standing.EJECTED:
            room = len(gauge.grants) < gauge.listed.slots
            return room and not gauge.is_isolated and gauge.limit.allows(now_ms)
        return gauge.free(now_ms)

    def _trial(
        self, usable: list[TargetGauge], ask: Ask, now_ms: float
    ) -> TargetGauge | None:
        """Return a target that this request should try, if there is one."""
        trials = [gauge for gauge in usable if gauge.standing is Standing.TRIAL]
        if not self._policies.has(Policy.SAFE_FIRST):
            return trials[0] if trials else None
        if not ask.idempotent:
            trials = [
                gauge
                for gauge in trials
                if now_ms - gauge.ejected_until_ms > UNSAFE_TRIAL_AFTER_MS
            ]
        else:
            trials += self._returning(ask, now_ms)
        trials.sort(key=lambda gauge: gauge.listed.domain != ask.domain)
        if not trials:
            return None
        if trials[0].standing is Standing.EJECTED:
            trials[0].begin_trial(now_ms)
        return trials[0]

    def _returning(self, ask: Ask, now_ms: float) -> list[TargetGauge]:
        # What tries an ejected target costs its caller a second sending at most, so
        # the target need not stay out for as long as it would for work that runs once.
        return [
            gauge
            for gauge in self._gauges.values()
            if gauge.may_be_tried(now_ms)
            and gauge.limit.allows(now_ms)
            and gauge.listed.readiness is Readiness.READY
            and gauge.listed.identity not in ask.excluded
            and self.reachable(gauge, ask.sender, now_ms)
        ]

    def _best(
        self,
        targets: list[TargetGauge],
        ask: Ask,
        usual_ms: float,
        now_ms: float,
    ) -> TargetGauge:
        weighing = Weighing(ask, usual_ms, self._turns, now_ms)
        explores = ask.idempotent and not ask.repeat
        explores = explores and self._policies.has(Policy.SAFE_FIRST)
        if explores and self._floor.pressed:
            unused = [gauge for gauge in targets if self._floor.unused(gauge, now_ms)]
            targets = unused or targets

        def rank(gauge: TargetGauge) -> tuple[float, float]:
            since_ms = gauge.proved_ms if explores else gauge.last_used_ms
            return (cost_ms(gauge, weighing, self._terms), since_ms)

        if not self._near_first:
            return min(targets, key=rank)
        near = [gauge for gauge in targets if gauge.listed.domain == ask.domain]
        best = min(near, key=rank, default=None)
        if best is not None and rank(best)[0] < least_far_cost_ms(weighing):
            return best
        return min(targets, key=rank)
