"""Decide whether a failed attempt speaks of its target or of its sender's path.

An outcome is evidence about a pair: a sender and a target. Made for senders that lose
their paths to targets while all else works. Their failures look like failures of the
targets, and would eject sound targets for the senders that still reach them.

A sender that fails at several targets in a row, with a response from none, has lost
its path, and its word says nothing against any target. What it said before is
withdrawn. Once it gets a response, its other failures count against their targets
again, unless somebody else got a response from them meanwhile.
"""

import math
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from crocusspindle.core.attempt_outcome import AttemptOutcome
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.ids import HostId

SUSPICIOUS_FAILURES: Final = 2
"""Targets at which a sender fails in a row until its path is at fault. A sender that
meets two crashed targets in a row is taken for one until its next response."""

FAILURE_KEPT_MS: Final = 10_000.0
"""Time after which a sender's failure is forgotten."""

PENDING_MS: Final = 2_000.0
"""Age up to which failures count against their targets once their sender has a path."""

CONTRADICTED_MS: Final = 10_000.0
"""How long a sender's failures to connect count as its path's after a target that it
could not reach has responded to another sender."""

CONTRADICTION_MS: Final = 1_500.0
"""Age up to which a failure to connect is contradicted by a response to another."""

SENDER_KEPT_MS: Final = 60_000.0
REACHED_MS: Final = 2_000.0
"""How long after its last response a sender counts as one that reaches the service."""

CONNECTION_FAILURES: Final = frozenset(
    {AttemptOutcome.CLOSED, AttemptOutcome.CRASHED, AttemptOutcome.UNREACHED}
)
"""Outcomes that a response to another sender contradicts: the target's process runs."""


REFUSALS: Final = frozenset({AttemptOutcome.CLOSED, AttemptOutcome.CRASHED})
"""Outcomes that another sender can confirm at the cost of some milliseconds."""


class Fault(Enum):
    """Name what a failed attempt speaks of."""

    TARGET = "target"
    PATH = "path"


@dataclass(slots=True)
class _Sender:
    """Hold what one sender's attempts show of its path.

    ``failed_ms`` has the targets at which it failed since its last response.
    """

    failed_ms: dict[TargetIdentity, float] = field(default_factory=dict)
    reached_ms: float = -math.inf
    contradicted_until_ms: float = -math.inf
    has_lost_path: bool = False
    last_ms: float = -math.inf


@dataclass(frozen=True, slots=True)
class _Word:
    """Hold what a sender said against a target."""

    outcome: AttemptOutcome
    at_ms: float

    @property
    def denies_connection(self) -> bool:
        """Return True if the sender said that it could not connect."""
        return self.outcome in CONNECTION_FAILURES


@dataclass(frozen=True, slots=True)
class SenderPathChange:
    """Report that a sender has lost its path to a service, or has one again."""

    sender: HostId
    has_path: bool
    targets: tuple[TargetIdentity, ...]


class PathEvidence:
    """Attribute the failures of one service's attempts to targets or to paths."""

    def __init__(self) -> None:
        self._senders: dict[HostId, _Sender] = {}
        self._reached_ms: dict[TargetIdentity, float] = {}
        self._witnesses: dict[TargetIdentity, dict[HostId, _Word]] = {}
        self._changes: list[SenderPathChange] = []

    def record_failure(
        self,
        target: TargetIdentity,
        sender: HostId,
        outcome: AttemptOutcome,
        now_ms: float,
    ) -> Fault:
        """Record a failed attempt and return what it speaks of."""
        state = self._senders.setdefault(sender, _Sender())
        state.failed_ms = {
            other: at_ms
            for other, at_ms in state.failed_ms.items()
            if at_ms > now_ms - FAILURE_KEPT_MS
        }
        state.failed_ms[target] = state.last_ms = now_ms
        if (
            outcome is AttemptOutcome.DISCONNECTED
            or len(state.failed_ms) >= SUSPICIOUS_FAILURES
        ):
            self._set_path(sender, state, has_path=False)
            return Fault.PATH
        is_doubtful = now_ms < state.contradicted_until_ms
        if state.has_lost_path or (is_doubtful and outcome in CONNECTION_FAILURES):
            return Fault.PATH
        self._witnesses.setdefault(target, {})[sender] = _Word(outcome, now_ms)
        return Fault.TARGET

    def is_sole_witness(self, target: TargetIdentity, sender: HostId) -> bool:
        """Return True if an ejection rests on one sender that the port refused."""
        witnesses = self._witnesses.get(target, {})
        word = witnesses.get(sender)
        return len(witnesses) == 1 and word is not None and word.outcome in REFUSALS

    def has_lost_path(self, sender: HostId) -> bool:
        """Return True if a sender reaches no target of the service."""
        state = self._senders.get(sender)
        return state is not None and state.has_lost_path

    def is_failing(self, sender: HostId, now_ms: float) -> bool:
        """Return True if a sender has failed recently, with no response since."""
        state = self._senders.get(sender)
        if state is None:
            return False
        last_failed_ms = max(state.failed_ms.values(), default=-math.inf)
        return state.has_lost_path or last_failed_ms > now_ms - PENDING_MS

    def failing(self, sender: HostId) -> list[TargetIdentity]:
        """Return the targets at which a sender failed since its last response."""
        state = self._senders.get(sender)
        return [] if state is None else list(state.failed_ms)

    def withdraw(self, sender: HostId) -> list[TargetIdentity]:
        """Withdraw what a sender said; return the targets with no other witness."""
        withdrawn = []
        for target, witnesses in self._witnesses.items():
            if witnesses.pop(sender, None) is not None and not witnesses:
                withdrawn.append(target)
        for target in withdrawn:
            del self._witnesses[target]
        return withdrawn

    def record_response(
        self, target: TargetIdentity, sender: HostId, began_ms: float, now_ms: float
    ) -> list[TargetIdentity]:
        """Record a response; return the targets that its sender's failures speak of.

        A response to an attempt that began before the last failure shows only that an
        old connection lives on.
        """
        state = self._senders.setdefault(sender, _Sender())
        state.last_ms = now_ms
        last_failed_ms = max(state.failed_ms.values(), default=-math.inf)
        if began_ms <= last_failed_ms:
            return []
        state.reached_ms = now_ms
        if not state.failed_ms and not state.has_lost_path:
            return []
        failed_ms, state.failed_ms = state.failed_ms, {}
        had_lost_path = state.has_lost_path
        self._set_path(sender, state, has_path=True)
        if not had_lost_path or now_ms < state.contradicted_until_ms:
            return []
        return [
            other
            for other, at_ms in failed_ms.items()
            if other != target
            and at_ms > now_ms - PENDING_MS
            and self._reached_ms.get(other, -math.inf) < at_ms
        ]

    def record_alive(
        self, target: TargetIdentity, sender: HostId, now_ms: float
    ) -> bool:
        """Record that a target responded to a sender.

        Return True if that contradicts all who failed to connect to the target.
        """
        self._reached_ms[target] = now_ms
        witnesses = self._witnesses.get(target)
        if not witnesses or sender in witnesses:
            return False
        if not all(word.denies_connection for word in witnesses.values()):
            return False
        for witness, word in witnesses.items():
            if word.at_ms <= now_ms - CONTRADICTION_MS:
                # The target may have come back since.
                continue
            contradicted = self._senders.setdefault(witness, _Sender())
            contradicted.contradicted_until_ms = now_ms + CONTRADICTED_MS
        del self._witnesses[target]
        return True

    def end_ejection(self, target: TargetIdentity) -> None:
        """Forget who caused an ejection that is over."""
        self._witnesses.pop(target, None)

    def reaching(self, now_ms: float) -> list[HostId]:
        """Return the senders that reach the service, as far as known."""
        return [
            sender
            for sender, state in self._senders.items()
            if not state.has_lost_path and state.reached_ms > now_ms - REACHED_MS
        ]

    def keep(self, targets: set[TargetIdentity], now_ms: float) -> None:
        """Forget targets that are no longer listed, and senders that send no more."""
        self._senders = {
            sender: state
            for sender, state in self._senders.items()
            if now_ms - state.last_ms < SENDER_KEPT_MS
        }
        for by_target in (self._reached_ms, self._witnesses):
            for target in by_target.keys() - targets:
                del by_target[target]

    def changes(self) -> list[SenderPathChange]:
        """Return the changes of senders' paths since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def _set_path(self, sender: HostId, state: _Sender, has_path: bool) -> None:
        if state.has_lost_path is not has_path:
            return
        state.has_lost_path = not has_path
        self._changes.append(SenderPathChange(sender, has_path, tuple(state.failed_ms)))
