"""Define the samples, states, changes and settings of health judging."""

from dataclasses import dataclass
from enum import Enum

from crocusspindle.ids import TargetId


class Outcome(Enum):
    """Tell how one sending of a request to a target ended."""

    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    REFUSED = "refused"
    SHED = "shed"
    CALLER_ERROR = "caller_error"
    ABANDONED = "abandoned"


class HealthState(Enum):
    """Tell how a group uses a target; a ramping target is HEALTHY."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"
    EJECTED = "ejected"
    PROBATION = "probation"


class Cause(Enum):
    """Tell which observation spoke most against a target."""

    ERRORS = "errors"
    SILENCE = "silence"
    LATENCY = "latency"
    PATH = "path"


@dataclass(frozen=True, slots=True)
class Sample:
    """Report one ended sending; ``latency_ms`` of ABANDONED is the age so far."""

    target: TargetId
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Hold what speaks against a target.

    ``nats`` is a log-likelihood ratio; ``loss`` the fraction of its useful work
    that the target loses by failing and by being slow.
    """

    cause: Cause
    nats: float
    error_rate: float
    latency_ms: float
    loss: float


@dataclass(frozen=True, slots=True)
class SecondOpinionWanted:
    """Ask for one try of a target from another failure domain."""

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
    """Report that the path or this home, not a target, looks at fault."""

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
    """Show one target for ``status``."""

    target: TargetId
    state: HealthState
    evidence_nats: float
    error_rate: float
    latency_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Hold the limits of health judging; docs/design/health.md has the figures."""

    # A quarter of the aim of one a day and service, for what the figures do not know
    # of the callers' work.
    false_ejections_per_day: float = 0.25
    # What the work of the group makes of that; docs/design/health.md has the figures.
    # Five errors alone eject nobody below the least; the most suits 20,000 requests
    # a second, beyond any group that one home can see.
    least_threshold_nats: float = 12.0
    most_threshold_nats: float = 24.0
    # What the peers' work over the same time must add: less than the whole, since it
    # is a second look at the same samples that has to rule a shared cause out; at
    # half, bursts of shared errors ejected somebody now and then.
    contrast_fraction: float = 0.7
    # Fractions of work a bad target loses, tested side by side: 10 % is the least
    # worth an ejection, 35 % is quick for all that is worse.
    mild_failure: float = 0.1
    hard_failure: float = 0.35
    # Below 1 % a single stray error would carry too much of the threshold.
    least_failure_rate: float = 0.01
    # Three times as slow is the alternative: it finds x5 as quickly as x5 does.
    slow_factor: float = 3.0
    # Slower than peers by less harms nobody: a target in another failure domain
    # of a quick service is twice as slow as its peers and healthy.
    least_slow_ratio: float = 2.0
    least_slow_excess_ms: float = 20.0
    # Another failure domain fails to reach one healthy target in 1,000: e^7. It is
    # asked as soon as its answer can decide.
    opinion_nats: float = 7.0
    # A try takes about 25 ms and two hops of 1.5 ms; ten times that is no answer.
    opinion_wait_ms: float = 300.0
    # Nearly all work must fail from here before one success elsewhere, which a
    # target failing 30 % gives in 70 of 100 tries, blames the path.
    path_failure_rate: float = 0.9
    # Short, as a false ejection costs capacity and a return costs few trials.
    ejection_ms: float = 5_000.0
    # Doubled by each relapse up to this, so a flapping target is nearly always out.
    longest_ejection_ms: float = 300_000.0
    # A target well for this long has half paid off its relapses.
    relapse_half_life_ms: float = 600_000.0
    # Trials are real requests of callers: ten a second harm few of them.
    trial_interval_ms: float = 100.0
    # Passing takes about 10 good trials; a target failing 30 % passes in 3 of 100.
    trial_pass_nats: float = 3.5
    # Two failures, or one and slow answers; one stray error fails nobody.
    trial_fail_nats: float = 4.0
    # A group with few idempotent requests must get its target back, too.
    longest_probation_ms: float = 15_000.0
    # A cold target fills its caches and pools; 10 s at 28 requests/s is 280.
    ramp_ms: float = 10_000.0
    cold_weight: float = 0.1
    probation_weight: float = 0.05
    # A suspect is used when better targets are full, seldom else.
    suspect_weight: float = 0.25
    # A target known bad that the floor keeps is used when nothing else is free; above
    # the weight on probation, as placement gives that one trials only, and a target
    # that gets nothing more would be ejected in all but name.
    withheld_weight: float = 0.1
    # Homes that may judge one group at once without seeing each other.
    homes_at_once: int = 2
    # The healthy rate and latencies of the group are learnt anew in about 20 s:
    # long against detection, short against a change of the callers' work.
    reference_ms: float = 20_000.0
    refresh_ms: float = 1_000.0
    # A target with this much evidence does not teach what healthy is.
    clean_nats: float = 4.0
    # Before the group is called suspect again, or another domain asked again: a
    # handover takes as long, and sooner would only shuttle the group.
    repeat_interval_ms: float = 5_000.0
