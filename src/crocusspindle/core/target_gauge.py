"""Judge one target by the endings of the work that the fleet sends to it."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from crocusspindle.core.latency_sample import LatencySample
from crocusspindle.core.listed_target import ListedTarget
from crocusspindle.core.rate_limit import RateLimit
from crocusspindle.ids import NO_CONTENT, ContentDigest, GrantId, HostId


class Ending(Enum):
    """Tell how one sending ended, as the sender saw it."""

    ANSWERED = "answered"
    ERROR = "error"
    BROKEN = "broken"
    SILENT = "silent"
    UNREACHED = "unreached"
    CLOSED = "closed"
    SHED = "shed"
    MISDIRECTED = "misdirected"
    ABANDONED = "abandoned"
    CRASHED = "crashed"

    @property
    def arrived(self) -> bool:
        """Return True if the request may have reached the target."""
        return self not in (Ending.UNREACHED, Ending.CLOSED)

    @property
    def may_have_run(self) -> bool:
        """Return True unless the target certainly did not run the request."""
        return self.arrived and self not in (Ending.SHED, Ending.MISDIRECTED)


BROKEN_OFF: Final = frozenset(
    {Ending.BROKEN, Ending.CRASHED, Ending.CLOSED, Ending.MISDIRECTED}
)
"""Endings that a sound target hardly ever gives."""


class Standing(Enum):
    """Tell what work a target gets."""

    WELL = "well"
    TRIAL = "trial"
    EJECTED = "ejected"


ERROR_NATS: Final = 3.9
"""ln(0.6 / 0.012): an error speaks for a gray target, which fails most of its work,
against a sound one, which fails about one request in eighty."""

ANSWER_NATS: Final = -0.9
"""ln(0.4 / 0.988): an answer speaks as much for a sound target."""

EJECT_NATS: Final = 6.0
"""Two errors with at most one answer between. A sound target shows that about once
in 4,000 requests, and one ejection of some seconds costs nobody a request."""

EJECTION_MS: Final = 2_500.0
"""The first ejection. Gray windows last from two to twenty seconds, so it doubles with
each return that meets the target still gray: such a return can cost a request that must
not be repeated, and a longer wait costs only room that a third of the load leaves."""

EJECTION_MAX_MS: Final = 10_000.0
RELAPSE_MS: Final = 6_000.0
"""A failure this soon after a return doubles the next ejection."""

UNREACHED_EJECTION_MS: Final = 1_000.0
"""An ejection since nobody reached the target. A return that meets it still out of
reach costs one caller the time to connect and runs nothing, so it comes soon."""

SUSPECT_MAX_NATS: Final = 9.0
"""More is not kept against a target that may not be ejected: ten answers clear it."""

TRIAL_NATS: Final = 2.0
"""Half of what a single error says: on trial the first failure ejects again, and so
does work that one sound request in twenty outlasts."""

SOUND_AGAIN_MS: Final = 2_000.0
"""How long after its last failure a target may be counted as sound again."""

TRIALS: Final = 3
"""Answers in a row that end a trial. A gray target passes one request in seven, three
in a row one time in 300."""

PATH_MS: Final = 4_000.0
"""How long a sender avoids a target that it could not reach while others could."""

AGREEING_MS: Final = 2_000.0
"""Senders that cannot reach a target within this, with no answer between, agree. As
many blame the target as it takes to outweigh bad paths; one alone blames its path."""

SHED_PAUSE_MS: Final = 80.0
"""A target that refuses for want of room gets no more for a part of its usual work."""

SHED_STEP: Final = 0.2
"""Weight of the newest sending in the part that a target refuses: five tell."""

SHED_MAX: Final = 0.9
"""A target that refuses all counts as taking one in ten, or it would never be asked."""

LATENCY_STEP: Final = 0.2
SLOW: Final = 1.4
"""Work that spreads by its own mean, as exponential work does, moves the mean of the
last answers by a third either way: only what is beyond that makes a target slow."""

FORGET_MS: Final = 3_000.0
"""A latency not renewed for this long gives way to the group's: a cold or slow target
must get the chance to show that it has become quick."""

OVERDUE_NATS: Final = 4.0
"""Running work as old as this is rare, one time in fifty with one request running: the
target gets no new work while others can take it."""

HUNG_NATS: Final = 9.0
"""Of sound targets one in 8,000 looks like this; two requests older than all of the
last two hundred do. It takes the target out before its callers' time is over."""


@dataclass(slots=True)
class Grant:
    """Hold one placement that has not ended."""

    grant: GrantId
    sender: HostId
    began_ms: float
    until_ms: float
    route: str
    aim_ms: float
    sample: LatencySample
    least_ms: float
    content: ContentDigest = NO_CONTENT

    def age_nats(self, age_ms: float) -> float:
        """Return how unusual it is for sound work to last for an age."""
        return self.sample.doubt_nats(age_ms, self.least_ms)


@dataclass(frozen=True, slots=True)
class WorkEnd:
    """Tell how one sending ended, against what is usual of its kind.

    `slowness` is how many times the usual an answer took, `age_nats` how unusual it is
    for sound work to last as long, `unreached_nats` how much it says of a target that
    one sender does not reach it. Without `may_eject`, mere suspicion ejects nobody: so
    many are out that the rest would be short.
    """

    ending: Ending
    sender: HostId
    began_ms: float
    ended_ms: float
    slowness: float = 1.0
    age_nats: float = 0.0
    unreached_nats: float = 0.0
    may_eject: bool = True


@dataclass(slots=True)
class TargetGauge:
    """Hold what is known of one target."""

    listed: ListedTarget
    updated_ms: float
    proved_ms: float
    slowness: float = 1.0
    refusing: float = 0.0
    grants: dict[GrantId, Grant] = field(default_factory=dict)
    standing: Standing = Standing.WELL
    nats: float = 0.0
    last_failed_ms: float = float("-inf")
    last_used_ms: float = float("-inf")
    ejected_until_ms: float = float("-inf")
    returned_ms: float = float("-inf")
    ejection_ms: float = EJECTION_MS
    trial_answers: int = 0
    full_until_ms: float = float("-inf")
    unreached: dict[HostId, float] = field(default_factory=dict)
    paths: dict[HostId, float] = field(default_factory=dict)
    isolated: GrantId | None = None
    limit: RateLimit = field(default_factory=RateLimit)

    @property
    def is_isolated(self) -> bool:
        """Return True while a request runs here that may end the target."""
        return self.isolated is not None and self.isolated in self.grants

    def free(self, now_ms: float) -> bool:
        """Return True if the target has a slot for one more request."""
        if now_ms < self.full_until_ms or self.is_isolated:
            return False
        return len(self.grants) < self.room and self.limit.allows(now_ms)

    @property
    def room(self) -> int:
        """Return how many requests the target gets at once."""
        if self.standing is not Standing.TRIAL:
            return self.listed.slots
        # Each answer speaks for the target, and lets it take one more at a time.
        return min(self.listed.slots, 1 + self.trial_answers)

    def doubt_nats(self, now_ms: float) -> float:
        """Return how unusual the ages of its running work are, taken together."""
        if not self.grants:
            return 0.0
        # Usual work adds one nat a request.
        return self.age_nats(now_ms) - max(0, len(self.grants) - 1)

    def age_nats(self, now_ms: float) -> float:
        """Return -ln of the chance that sound work runs for as long as all of its."""
        if not self.grants:
            return 0.0
        return sum(
            grant.age_nats(now_ms - grant.began_ms) for grant in self.grants.values()
        )

    def expected_slowness(self, now_ms: float) -> float:
        """Return how many times the usual its work takes, nearer to 1 the older it is.

        What is within the spread of sound targets' own work counts as usual: chasing
        it would send all work to whichever target was lucky last.
        """
        if self.slowness < SLOW:
            return 1.0
        part = min(1.0, (now_ms - self.updated_ms) / FORGET_MS)
        return self.slowness + (1.0 - self.slowness) * part

    def reachable(self, sender: HostId, now_ms: float) -> bool:
        """Return True unless the sender's path to the target failed lately."""
        return now_ms >= self.paths.get(sender, float("-inf"))

    def refresh(self, now_ms: float) -> None:
        """Let an ejection end in a trial."""
        if self.standing is Standing.EJECTED and now_ms >= self.ejected_until_ms:
            self.begin_trial(now_ms)

    def drop_expired(self, now_ms: float) -> None:
        """Drop placements whose senders died, or whose word was lost."""
        over = [key for key, grant in self.grants.items() if now_ms > grant.until_ms]
        for key in over:
            del self.grants[key]

    def note(self, end: WorkEnd) -> None:
        """Take the end of one sending into account."""
        now_ms = end.ended_ms
        if end.ending is Ending.ANSWERED:
            self._answered(end, now_ms)
        elif end.ending is Ending.ERROR:
            self._suspect(ERROR_NATS, end, now_ms)
        elif end.ending in BROKEN_OFF:
            # Sound targets hardly ever break a connection; a gray one breaks all.
            self.last_failed_ms = now_ms
            self.eject(now_ms)
        elif end.ending is Ending.UNREACHED:
            self._not_reached(end, now_ms)
        elif end.ending in (Ending.SILENT, Ending.ABANDONED):
            self._not_answered(end, now_ms)
        elif end.ending is Ending.SHED:
            self._refused_work(now_ms)

    def _answered(self, end: WorkEnd, now_ms: float) -> None:
        self.nats = max(0.0, self.nats + ANSWER_NATS)
        self.slowness += LATENCY_STEP * (end.slowness - self.slowness)
        self.refusing -= SHED_STEP * self.refusing
        self.updated_ms = now_ms
        self.proved_ms = max(self.proved_ms, end.began_ms)
        self.unreached.clear()
        self.paths.pop(end.sender, None)
        if self.standing is Standing.TRIAL:
            self.trial_answers += 1
            if self.trial_answers >= TRIALS:
                self.standing = Standing.WELL
                self.returned_ms = now_ms
                self.nats = 0.0

    def _not_answered(self, end: WorkEnd, now_ms: float) -> None:
        # Nobody waits any more for work that may hang: its caller's time is over, or
        # another target was quicker. Forgotten, the next request would meet the same.
        if end.age_nats >= OVERDUE_NATS and end.ending is Ending.SILENT:
            self.paths[end.sender] = now_ms + PATH_MS
        if end.age_nats > 1.0:
            self._suspect(end.age_nats - 1.0, end, end.began_ms)

    def _refused_work(self, now_ms: float) -> None:
        if len(self.grants) + 1 >= self.listed.slots:
            self.full_until_ms = now_ms + SHED_PAUSE_MS
            return
        # It has slots that idle, so it refuses a part of its work and is not full.
        self.refusing += SHED_STEP * (1.0 - self.refusing)

    @property
    def sendings_each(self) -> float:
        """Return how many sendings one request takes at this target."""
        return 1.0 / (1.0 - min(SHED_MAX, self.refusing))

    def _not_reached(self, end: WorkEnd, now_ms: float) -> None:
        self.paths[end.sender] = now_ms + PATH_MS
        self.unreached[end.sender] = now_ms
        since_ms = now_ms - AGREEING_MS
        recent = [at for at in self.unreached.values() if at > since_ms]
        if len(recent) < 2 or self.standing is Standing.EJECTED:  # noqa: PLR2004 - one
            return
        if len(recent) * end.unreached_nats >= EJECT_NATS:
            self.last_failed_ms = now_ms
            self._eject_for(UNREACHED_EJECTION_MS, now_ms)

    def _suspect(self, nats: float, end: WorkEnd, failed_ms: float) -> None:
        self.last_failed_ms = max(self.last_failed_ms, failed_ms)
        if self.standing is Standing.EJECTED:
            return
        self.nats = min(SUSPECT_MAX_NATS, self.nats + nats)
        limit_nats = TRIAL_NATS if self.standing is Standing.TRIAL else EJECT_NATS
        if self.nats >= limit_nats and end.may_eject:
            self.eject(end.ended_ms)

    def eject(self, now_ms: float) -> None:
        """Give the target no work for a while, longer after each relapse.

        Work that was running at its ejection ends after it, and is no relapse.
        """
        if self.standing is Standing.EJECTED:
            return
        relapsed = (
            self.standing is Standing.TRIAL or now_ms - self.returned_ms < RELAPSE_MS
        )
        longer_ms = min(EJECTION_MAX_MS, self.ejection_ms * 2)
        self.ejection_ms = longer_ms if relapsed else EJECTION_MS
        self._eject_for(self.ejection_ms, now_ms)

    def _eject_for(self, length_ms: float, now_ms: float) -> None:
        self.standing = Standing.EJECTED
        self.ejected_until_ms = now_ms + length_ms
        self.nats = 0.0

    def may_be_tried(self, now_ms: float) -> bool:
        """Return True if a request that may be repeated can try the ejected target."""
        if self.standing is not Standing.EJECTED:
            return False
        return now_ms - self.last_failed_ms >= SOUND_AGAIN_MS

    def begin_trial(self, now_ms: float) -> None:
        """End the ejection; the target has to prove itself."""
        self.standing = Standing.TRIAL
        self.trial_answers = 0
        self.nats = 0.0
        self.ejected_until_ms = min(self.ejected_until_ms, now_ms)
