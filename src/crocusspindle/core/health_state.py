"""Define the samples, states, changes and settings of health evaluation."""

from dataclasses import dataclass
from enum import Enum

from crocusspindle.ids import TargetId


class Outcome(Enum):
    """Name the end of one attempt of a request on a target."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    SHED = "shed"
    CALLER_ERROR = "caller_error"
    ABANDONED = "abandoned"


class HealthState(Enum):
    """Name how a group uses a target; a ramping target is HEALTHY."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "probation"


class Cause(Enum):
    """Name the strongest kind of evidence against a target."""

    ERRORS = "errors"
    SILENCE = "silence"
    LATENCY = "latency"
    PATH = "path"


@dataclass(frozen=True, slots=True)
class Sample:
    """Report one ended attempt; ``latency_ms`` of ABANDONED is the age so far."""

    target: TargetId
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold the evidence against a target.

    ``nats`` is a log-likelihood ratio. ``loss`` is the fraction of its useful work that
    the target loses by failures and slowness.
    """

    cause: Cause
    nats: float
    error_rate: float
    latency_ms: float
    loss: float


@dataclass(frozen=True, slots=True)
class SecondOpinionWanted:
    """Request a reachability check of a target from another failure domain."""

    target: TargetId
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class Ejected:
    """Report that a target gets no work before ``until_ms``."""

    target: TargetId
    evidence: Evidence
    until_ms: float


@dataclass(frozen=True, slots=True)
class ProbationBegan:
    """Report that an ejected target may take trials."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class Restored:
    """Report that a target is in service again."""

    target: TargetId


@dataclass(frozen=True, slots=True)
class EjectionWithheld:
    """Report that the floor keeps a bad target in service."""

    target: TargetId
    evidence: Evidence


@dataclass(frozen=True, slots=True)
class GroupSuspect:
    """Report that the path or this coordinator seems faulty rather than a target."""

    evidence: Evidence


HealthChange = (
    SecondOpinionWanted
    | Ejected
    | ProbationBegan
    | Restored
    | EjectionWithheld
    | GroupSuspect
)


@dataclass(frozen=True, slots=True)
class TargetHealth:
    """Hold the health of one target as shown by ``status``."""

    target: TargetId
    state: HealthState
    evidence_nats: float
    error_rate: float
    latency_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Hold the limits of health evaluation; docs/design/health.md has the figures."""

    # A quarter of the objective of one per day and service, as a margin for callers'
    # work that the figures do not cover.
    false_ejections_per_day: float = 0.25
    # Bounds of the threshold derived from that. Below the minimum, five errors alone
    # would eject; the maximum suits 20,000 requests/s, more than one coordinator gets.
    min_threshold_nats: float = 12.0
    max_threshold_nats: float = 24.0
    # Fraction of the threshold by which a target must differ from its peers in the same
    # time to rule out a shared cause. Below 1, as it tests the same samples again; at
    # 0.5, bursts of shared errors occasionally eject a target.
    contrast_fraction: float = 0.7
    # Fractions of work lost by a bad target, tested in parallel: 10 % is the minimum
    # worth an ejection, 35 % detects higher losses quickly.
    mild_loss_fraction: float = 0.1
    hard_loss_fraction: float = 0.35
    # Below 1 % a single stray error would contribute too much towards the threshold.
    min_failure_rate: float = 0.01
    # The alternative hypothesis is a target three times as slow. It detects one that is
    # five times as slow as quickly as an alternative of five does.
    slow_factor: float = 3.0
    # A smaller difference to the peers is harmless: in a fast service, a healthy target
    # in another failure domain is twice as slow as its peers.
    min_slow_ratio: float = 2.0
    min_slow_excess_ms: float = 20.0
    # Another failure domain fails to reach one healthy target in 1,000: e^7. The
    # opinion is requested as soon as it can be decisive.
    opinion_nats: float = 7.0
    # A check takes about 25 ms and two hops of 1.5 ms; ten times that is a timeout.
    opinion_timeout_ms: float = 300.0
    # Nearly all work must fail from here before a success elsewhere attributes the
    # failure to the path: a target failing 30 % succeeds in 70 of 100 checks.
    path_failure_rate: float = 0.9
    # Short, since a false ejection costs capacity and a return costs only a few trials.
    ejection_ms: float = 5_000.0
    # Doubled by each relapse up to this, so that a flapping target is mostly ejected.
    max_ejection_ms: float = 300_000.0
    # A target that stays healthy for this long has its relapse count halved.
    relapse_half_life_ms: float = 600_000.0
    # Trials are real requests of callers; ten a second affect few callers.
    trial_interval_ms: float = 100.0
    # About 10 successful trials; a target failing 30 % passes in 3 of 100 cases.
    trial_pass_nats: float = 3.5
    # Two failures, or slow responses without a failure; a single stray error is not
    # enough.
    trial_fail_nats: float = 4.0
    # Also returns a target to service in a group with few idempotent requests.
    max_probation_ms: float = 15_000.0
    # A cold target fills its caches and pools; 10 s at 28 requests/s are 280 requests.
    ramp_ms: float = 10_000.0
    cold_weight: float = 0.1
    probation_weight: float = 0.05
    # A suspect is used mainly when better targets are full.
    suspect_weight: float = 0.25
    # A bad target that the floor keeps in service is used when no other is free. Above
    # the probation weight, which allows trials only and so would amount to an ejection.
    withheld_weight: float = 0.1
    # Coordinators that may evaluate one group at once without contact to each other.
    coordinators_at_once: int = 2
    # Time constant of the learnt failure rate and latencies of healthy work: long
    # compared with detection, short compared with changes of the callers' work.
    reference_ms: float = 20_000.0
    refresh_ms: float = 1_000.0
    # The reference of healthy work is not learnt from targets with more evidence.
    clean_nats: float = 4.0
    # Minimum time between two reports that the group is suspect, or second opinions. A
    # handover takes as long; earlier ones would move the group back and forth.
    report_interval_ms: float = 5_000.0
