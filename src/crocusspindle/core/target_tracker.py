"""Track the state of one target from the outcomes of the fleet's attempts at it."""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from crocusspindle.core.attempt_outcome import EJECTING_OUTCOMES, AttemptOutcome
from crocusspindle.core.concurrency_limit import ConcurrencyLimit
from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.listed_target import ListedTarget
from crocusspindle.core.rate_limit import RateLimit
from crocusspindle.ids import NO_CONTENT, ContentDigest, GrantId, HostId


class EjectionState(Enum):
    """State what work a target gets; the values are the names used in logs."""

    HEALTHY = "well"
    TRIAL = "trial"
    EJECTED = "ejected"


ERROR_NATS: Final = 3.9
"""ln(0.6 / 0.012), the evidence of an error: a gray target fails most of its work, a
healthy one about one request in eighty."""

ANSWER_NATS: Final = -0.9
"""ln(0.4 / 0.988), the evidence of an answer, in favour of a healthy target."""

EJECT_NATS: Final = 6.0
"""Ejection threshold: two errors with at most two answers between them. A healthy
target reaches it about once in 2,400 requests, and its ejection for some seconds fails
no request."""

EJECTION_MS: Final = 2_500.0
"""Length of the first ejection; each relapse doubles the next. Gray failures last two
to twenty seconds. Ending an ejection early can fail a request that must not be retried;
ending it late costs only capacity, which is spare while a third of it is in use."""

CONFIRM_MS: Final = 200.0
"""Length of an ejection by the word of a single sender whose connection was refused. A
second refusal costs its request some milliseconds, and the request has not run."""

EJECTION_MAX_MS: Final = 10_000.0
RELAPSE_MS: Final = 6_000.0
"""A failure within this time after a passed trial doubles the next ejection."""

UNREACHED_EJECTION_MS: Final = 1_000.0
"""Length of an ejection for failed connections. It is short: if the target is still
unreachable when it ends, one caller loses the time to connect and no request runs."""

MAX_FAILURE_NATS: Final = 9.0
"""Cap on evidence against a target that may not be ejected: ten answers clear it."""

TRIAL_NATS: Final = 2.0
"""Half the evidence of a single error: on trial the first failure ejects again, and so
does unanswered work that has run for longer than 19 in 20 healthy requests."""

HEALTHY_AFTER_MS: Final = 2_000.0
"""Time after its last failure from which a target may count as healthy again."""

TRIAL_ANSWERS: Final = 3
"""Answers that end a trial. A gray target that answers as often as `ANSWER_NATS`
assumes gives three in a row one time in sixteen."""

PATH_AVOIDANCE_MS: Final = 4_000.0
"""How long a sender avoids a target that it could not reach, or where its request had
run for suspiciously long when its deadline passed. An answer ends it earlier."""

AGREEMENT_MS: Final = 2_000.0
"""Time within which failures to connect by several senders, with no answer in between,
count together. If so many senders fail that bad paths are an unlikely cause, the target
is ejected; the failure of a single sender is attributed to its path."""

SHED_PAUSE_MS: Final = 80.0
"""Pause after a full target sheds a request: less than typical work takes."""

SHED_WEIGHT: Final = 0.2
"""Weight of the newest attempt in the shed fraction: about the last five count."""

SHED_MAX: Final = 0.9
"""Cap on the shed fraction: a target that sheds everything counts as accepting one
request in ten, or it would never be tried again."""

LATENCY_WEIGHT: Final = 0.2
SLOW_RATIO: Final = 1.4
"""Ratio of the mean latency to the typical one from which a target counts as slow.
Latencies that spread by their own mean, as exponential ones do, move the mean of the
last answers by a third either way: only a larger ratio makes a target slow."""

LATENCY_DECAY_MS: Final = 3_000.0
"""Time without an answer over which a target's expected latency returns to the typical
one of the service: otherwise a cold or slow target would get no work that shows that it
has become fast."""

SUSPICIOUS_AGE_NATS: Final = 4.0
"""Suspicion from the ages of running work at which a target gets no new work while
others can accept it. One healthy request in fifty reaches it, if it runs alone."""

HUNG_NATS: Final = 9.0
"""Evidence of failures and of the ages of running work, together, that ejects a target
before its callers' deadlines: a probability of one in 8,000 for a healthy target. The
age of one request never reaches it alone; two requests that are older than each of the
last two hundred do."""


MAX_BODY_BYTES: Final = 64 << 20
"""Request bodies that the running requests of one target hold together, at most: a
target buffers a body before it runs the request, and long ones would fill its memory
while it has slots left."""

COLD_SLOWNESS: Final = 2.0
"""Expected ratio of a cold target's latency to a warm one's."""


@dataclass(slots=True)
class Grant:
    """Hold one placement whose attempt has not ended.

    `slowness` is the expected ratio of its latency to the typical one. `level` is its
    concurrency level as ``ConcurrencyLimit.record_start`` returns it.
    `sender_lost_path` is True if its sender has lost its path to the service since.
    """

    grant: GrantId
    sender: HostId
    began_ms: float
    until_ms: float
    route: str
    aim_ms: float
    sample: LatencySample
    min_suspicious_ms: float
    content: ContentDigest = NO_CONTENT
    slowness: float = 1.0
    level: int = 0
    sender_lost_path: bool = False
    body_bytes: int = 0

    def age_nats(self, age_ms: float) -> float:
        """Return -ln of the probability that healthy work lasts longer than an age.

        If the sender has lost its path, the age says nothing of the target.
        """
        return 0.0 if self.sender_lost_path else self._suspicion_nats(age_ms)

    def is_over(self, now_ms: float) -> bool:
        """Return True if the target no longer works on it, as far as can be known."""
        if now_ms > self.until_ms:
            return True
        # Its sender may never learn of the response.
        age_nats = self._suspicion_nats(now_ms - self.began_ms)
        return self.sender_lost_path and age_nats >= SUSPICIOUS_AGE_NATS

    def _suspicion_nats(self, age_ms: float) -> float:
        typical_age_ms = age_ms / self.slowness
        return self.sample.suspicion_nats(typical_age_ms, self.min_suspicious_ms)

    def is_typical(self, outcome: AttemptOutcome) -> bool:
        """Return True if an outcome shows the typical latency of the route."""
        return outcome is AttemptOutcome.ANSWERED and self.slowness == 1.0

    def shows_level(self, attempt: "TrackedAttempt") -> bool:
        """Return True if an attempt's latency tells of the target's concurrency.

        An abandoned attempt counts once it has taken longer than typical work: hedges
        are sent where slots are free, and without the long work that they replace, the
        lower levels would seem faster than they are.
        """
        if self.slowness != 1.0 or not self.level:
            return False
        if attempt.outcome is AttemptOutcome.ABANDONED:
            return attempt.slowness > 1.0
        return attempt.outcome is AttemptOutcome.ANSWERED


@dataclass(frozen=True, slots=True)
class TrackedAttempt:
    """Describe how one attempt ended, compared with typical work of its kind.

    `slowness` is the ratio of its latency to the typical one, `age_nats` is -ln of the
    probability that healthy work lasts as long, `unreached_nats` the evidence against a
    target that one sender cannot reach. If `may_eject` is False, suspicion alone ejects
    no target: one more ejection would leave the service below its floor.
    """

    outcome: AttemptOutcome
    sender: HostId
    began_ms: float
    ended_ms: float
    slowness: float = 1.0
    age_nats: float = 0.0
    unreached_nats: float = 0.0
    may_eject: bool = True


@dataclass(frozen=True, slots=True)
class _BeforeEjection:
    """Hold the state of a target before an ejection that may be withdrawn."""

    ejection_state: EjectionState
    ejected_until_ms: float
    ejection_ms: float
    failure_nats: float
    last_failed_ms: float
    trial_answers: int


@dataclass(slots=True)
class TargetTracker:
    """Track the health, load and rate limit of one target."""

    listed: ListedTarget
    latency_updated_ms: float
    last_success_ms: float
    slowness: float = 1.0
    shed_fraction: float = 0.0
    grants: dict[GrantId, Grant] = field(default_factory=dict)
    ejection_state: EjectionState = EjectionState.HEALTHY
    failure_nats: float = 0.0
    last_failed_ms: float = float("-inf")
    last_used_ms: float = float("-inf")
    ejected_until_ms: float = float("-inf")
    trial_passed_ms: float = float("-inf")
    ejection_ms: float = EJECTION_MS
    trial_answers: int = 0
    full_until_ms: float = float("-inf")
    unreached_at_ms: dict[HostId, float] = field(default_factory=dict)
    avoid_until_ms: dict[HostId, float] = field(default_factory=dict)
    isolated_grant: GrantId | None = None
    limit: RateLimit = field(default_factory=RateLimit)
    may_have_restarted_ms: float | None = None
    learned: ConcurrencyLimit = field(init=False)
    _before_ejection: _BeforeEjection | None = None

    def __post_init__(self) -> None:
        """Start without evidence about the concurrency."""
        self.learned = ConcurrencyLimit(self.listed)

    def update_listed(self, entry: ListedTarget, now_ms: float) -> None:
        """Apply a new entry; another start or number of slots is learned anew."""
        previous = self.listed
        self.listed = entry
        if (entry.started_ms, entry.slots) != (previous.started_ms, previous.slots):
            self.learned = ConcurrencyLimit(entry, now_ms)

    @property
    def is_isolated(self) -> bool:
        """Return True while an isolated request runs, which may crash the target."""
        return self.isolated_grant is not None and self.isolated_grant in self.grants

    def has_free_slot(self, now_ms: float) -> bool:
        """Return True if the target has a slot for one more request."""
        if now_ms < self.full_until_ms or self.is_isolated:
            return False
        return len(self.grants) < self.concurrency_limit and self.limit.allows(now_ms)

    def has_room(self, body_bytes: int) -> bool:
        """Return True if a body fits beside those of the running requests."""
        return not body_bytes or body_bytes <= self.room_bytes

    @property
    def room_bytes(self) -> float:
        """Return the length of the longest body that fits, at least 0.

        One that alone is too long fits beside requests without a body.
        """
        running = sum(grant.body_bytes for grant in self.grants.values())
        return max(0.0, MAX_BODY_BYTES - running) if running else math.inf

    @property
    def concurrency_limit(self) -> int:
        """Return how many requests the target may run at once."""
        if self.ejection_state is not EjectionState.TRIAL:
            return self.learned.allowed
        # Each answer is evidence for the target and admits one more request at a time.
        return min(self.learned.allowed, 1 + self.trial_answers)

    @property
    def capacity(self) -> int:
        """Return how many requests the target runs at once when it is healthy."""
        return self.learned.limit

    def suspicion_nats(self, now_ms: float) -> float:
        """Return the evidence of a hang from the ages of the running work."""
        if not self.grants:
            return 0.0
        # Typical work adds one nat a request.
        return self.age_nats(now_ms) - max(0, len(self.grants) - 1)

    def age_nats(self, now_ms: float) -> float:
        """Return the sum of ``Grant.age_nats`` over the running work."""
        if not self.grants:
            return 0.0
        return sum(
            grant.age_nats(now_ms - grant.began_ms) for grant in self.grants.values()
        )

    def expected_slowness(self, now_ms: float) -> float:
        """Return the expected ratio of the target's latency to the typical one.

        It returns to 1 over `LATENCY_DECAY_MS` without an answer.

        A ratio within the spread of healthy targets counts as 1: following it would
        send all work to the target that happened to be the fastest last.
        """
        if self.slowness < SLOW_RATIO:
            return 1.0
        fraction = min(1.0, (now_ms - self.latency_updated_ms) / LATENCY_DECAY_MS)
        return self.slowness + (1.0 - self.slowness) * fraction

    def reachable(self, sender: HostId, now_ms: float) -> bool:
        """Return True unless the sender's path to the target failed recently."""
        return now_ms >= self.avoid_until_ms.get(sender, float("-inf"))

    def end_due_ejection(self, now_ms: float) -> None:
        """Begin a trial if the ejection is over."""
        if (
            self.ejection_state is EjectionState.EJECTED
            and now_ms >= self.ejected_until_ms
        ):
            self.begin_trial(now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Drop grants whose senders crashed or whose outcome reports were lost."""
        expired = [
            grant_id for grant_id, grant in self.grants.items() if grant.is_over(now_ms)
        ]
        for grant_id in expired:
            del self.grants[grant_id]

    def record_result(self, result: TrackedAttempt) -> None:
        """Update the state with the result of one attempt."""
        before = self._before()
        self._record_result(result)
        is_ejected = self.ejection_state is EjectionState.EJECTED
        if is_ejected and before.ejection_state is not EjectionState.EJECTED:
            self._before_ejection = before if result.outcome.fails_path else None

    def _before(self) -> _BeforeEjection:
        return _BeforeEjection(
            self.ejection_state,
            self.ejected_until_ms,
            self.ejection_ms,
            self.failure_nats,
            self.last_failed_ms,
            self.trial_answers,
        )

    def withdraw_ejection(self) -> bool:
        """Undo an ejection that the senders' paths explain; return True if undone."""
        before = self._before_ejection
        if self.ejection_state is not EjectionState.EJECTED or before is None:
            return False
        self.ejection_state = before.ejection_state
        self.ejected_until_ms = before.ejected_until_ms
        self.ejection_ms = before.ejection_ms
        self.failure_nats = before.failure_nats
        self.last_failed_ms = before.last_failed_ms
        self.trial_answers = before.trial_answers
        self._before_ejection = None
        return True

    def confirm_soon(self, previous_state: EjectionState, now_ms: float) -> None:
        """Shorten a new ejection, so that another sender tries the target soon.

        It lasts as long as any other once the port has refused three senders.
        """
        if previous_state is EjectionState.HEALTHY and self.ejection_ms <= EJECTION_MS:
            self.ejection_ms = EJECTION_MS / 4
        if self.ejection_ms <= EJECTION_MS / 2:
            self.ejected_until_ms = now_ms + CONFIRM_MS

    def avoid_path(self, sender: HostId, now_ms: float) -> None:
        """Give the target no work of a sender whose path to it has failed."""
        self.avoid_until_ms[sender] = now_ms + PATH_AVOIDANCE_MS
        self.unreached_at_ms.pop(sender, None)

    def _record_result(self, result: TrackedAttempt) -> None:
        now_ms = result.ended_ms
        if result.outcome is AttemptOutcome.ANSWERED:
            self._record_answer(result, now_ms)
        elif result.outcome is AttemptOutcome.ERROR:
            self._add_failure_evidence(ERROR_NATS, result, now_ms)
        elif result.outcome in EJECTING_OUTCOMES:
            # A healthy target hardly ever breaks a connection; a gray one breaks all.
            self.last_failed_ms = now_ms
            self.eject(now_ms)
        elif result.outcome is AttemptOutcome.UNREACHED:
            self._record_unreached(result, now_ms)
        elif result.outcome in (AttemptOutcome.SILENT, AttemptOutcome.ABANDONED):
            self._record_missing_answer(result, now_ms)
        elif result.outcome is AttemptOutcome.SHED:
            self._record_shed(now_ms)

    def _record_answer(self, result: TrackedAttempt, now_ms: float) -> None:
        self.failure_nats = max(0.0, self.failure_nats + ANSWER_NATS)
        self.slowness += LATENCY_WEIGHT * (result.slowness - self.slowness)
        self.shed_fraction -= SHED_WEIGHT * self.shed_fraction
        self.latency_updated_ms = now_ms
        self.last_success_ms = max(self.last_success_ms, result.began_ms)
        self.unreached_at_ms.clear()
        self.avoid_until_ms.pop(result.sender, None)
        if self.ejection_state is EjectionState.TRIAL:
            self.trial_answers += 1
            if self.trial_answers >= TRIAL_ANSWERS:
                self.ejection_state = EjectionState.HEALTHY
                self.trial_passed_ms = now_ms
                self.failure_nats = 0.0

    def _record_missing_answer(self, result: TrackedAttempt, now_ms: float) -> None:
        # The request may hang: its caller's deadline passed, or another target answered
        # first. If it were ignored, the next request would hang as well.
        if (
            result.age_nats >= SUSPICIOUS_AGE_NATS
            and result.outcome is AttemptOutcome.SILENT
        ):
            self.avoid_until_ms[result.sender] = now_ms + PATH_AVOIDANCE_MS
        if result.age_nats > 1.0:
            self._add_failure_evidence(result.age_nats - 1.0, result, result.began_ms)

    def _record_shed(self, now_ms: float) -> None:
        if len(self.grants) + 1 >= self.capacity:
            self.full_until_ms = now_ms + SHED_PAUSE_MS
            return
        # It sheds work while it has idle slots, so it is not full.
        self.shed_fraction += SHED_WEIGHT * (1.0 - self.shed_fraction)

    @property
    def attempts_per_request(self) -> float:
        """Return the expected number of attempts per request at this target."""
        return 1.0 / (1.0 - min(SHED_MAX, self.shed_fraction))

    def _record_unreached(self, result: TrackedAttempt, now_ms: float) -> None:
        self.avoid_until_ms[result.sender] = now_ms + PATH_AVOIDANCE_MS
        self.unreached_at_ms[result.sender] = now_ms
        since_ms = now_ms - AGREEMENT_MS
        recent = [at_ms for at_ms in self.unreached_at_ms.values() if at_ms > since_ms]
        if len(recent) < 2 or self.ejection_state is EjectionState.EJECTED:  # noqa: PLR2004 - two senders
            return
        if len(recent) * result.unreached_nats >= EJECT_NATS:
            self.last_failed_ms = now_ms
            self._eject_for(UNREACHED_EJECTION_MS, now_ms)

    def _add_failure_evidence(
        self, failure_nats: float, result: TrackedAttempt, failed_ms: float
    ) -> None:
        self.last_failed_ms = max(self.last_failed_ms, failed_ms)
        if self.ejection_state is EjectionState.EJECTED:
            return
        self.failure_nats = min(MAX_FAILURE_NATS, self.failure_nats + failure_nats)
        limit_nats = (
            TRIAL_NATS if self.ejection_state is EjectionState.TRIAL else EJECT_NATS
        )
        if self.failure_nats >= limit_nats and result.may_eject:
            self.eject(result.ended_ms)

    def eject(self, now_ms: float) -> None:
        """Eject the target for a while, longer after each relapse.

        A failure during an ejection, of work that was running before, is no relapse.
        """
        if self.ejection_state is EjectionState.EJECTED:
            return
        relapsed = (
            self.ejection_state is EjectionState.TRIAL
            or now_ms - self.trial_passed_ms < RELAPSE_MS
        )
        doubled_ms = min(EJECTION_MAX_MS, self.ejection_ms * 2)
        self.ejection_ms = doubled_ms if relapsed else EJECTION_MS
        self._eject_for(self.ejection_ms, now_ms)

    def _eject_for(self, length_ms: float, now_ms: float) -> None:
        self.ejection_state = EjectionState.EJECTED
        self.ejected_until_ms = now_ms + length_ms
        self.failure_nats = 0.0

    def may_be_tried(self, now_ms: float) -> bool:
        """Return True if an idempotent request may try the ejected target."""
        if self.ejection_state is not EjectionState.EJECTED:
            return False
        return now_ms - self.last_failed_ms >= HEALTHY_AFTER_MS

    def begin_trial(self, now_ms: float) -> None:
        """End the ejection; the target has to pass a trial."""
        self.ejection_state = EjectionState.TRIAL
        self._before_ejection = None
        self.trial_answers = 0
        self.failure_nats = 0.0
        self.ejected_until_ms = min(self.ejected_until_ms, now_ms)
