"""Learn how many requests each target runs at a time.

The host list may claim a wrong number and a target may share its slots with a
second home for a moment. Claimed too high, requests are shed or wait at the
target; claimed too low, capacity lies idle while callers are refused.
"""

from typing import Final

from crocusspindle.core.model import Target, TargetState

_FIRST_PROBE_AFTER: Final = 32
"""Successes at the limit before one more is tried: a failed trial costs one shed
request, so at most 3 % of the requests at first."""

_LAST_PROBE_AFTER: Final = 4_096
"""A limit found right again and again is tried once in 4,096 requests, which still
finds a grown target within minutes at 20 requests a second."""

_LIMIT_CEILING: Final = 256
"""Close to the 300 to 350 connections that a target takes today."""

_LONGEST_PAUSE_MS: Final = 1_000.0
"""A target that sheds all is asked once a second: recovery is seen in seconds."""


class TargetSlots:
    """Count what runs on one target and learn its limit.

    Load: more requests queued than slots. Harm prevented: shed requests and
    queues at the target, where nothing is fair, on one side; idle capacity on
    the other.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.running = 0
        self.limit = 1
        self.paused_until_ms = 0.0
        self.last_dispatch_ms = float("-inf")
        self.present = True
        self._ramping = target.slots > 1
        self._sheds_in_a_row = 0
        self._probe_after = _FIRST_PROBE_AFTER
        self._at_limit = _Mean()
        self._probe: _Mean | None = None

    @property
    def takes_new(self) -> bool:
        """Return True if the target is listed and not leaving."""
        return self.present and self.target.state is TargetState.LIVE

    def has_room(self, now_ms: float) -> bool:
        """Return True if the target runs less than its limit and is not paused."""
        return self.running < self.limit and now_ms >= self.paused_until_ms

    def dispatched(self, now_ms: float) -> None:
        """Count a request that is sent to the target."""
        self.running += 1
        self.last_dispatch_ms = now_ms

    def released(self) -> None:
        """Free the slot of a request that says nothing about the limit."""
        self.running -= 1

    def succeeded(self, latency_ms: float, wanted: bool) -> None:
        """Free the slot of an answered request and learn from it.

        ``wanted`` says that requests wait: only then is a higher limit of use.
        """
        at_limit = self.running >= self.limit
        self.running -= 1
        self._sheds_in_a_row = 0
        if not at_limit:
            return
        if self._ramping:
            # A cold target doubles with each round of answers, so that it never
            # meets its full number of slots at once.
            self.limit += 1
            self._ramping = self.limit < self.target.slots
        elif self._probe is not None:
            self._judge_probe(latency_ms)
        else:
            self._at_limit.add(latency_ms)
            if wanted and self._at_limit.count >= self._probe_after:
                self._start_probe()

    def shed(self, now_ms: float, mean_hold_ms: float) -> None:
        """Free the slot of a shed request and lower the limit to what ran."""
        self.running -= 1
        self._sheds_in_a_row += 1
        self._ramping = False
        if self._probe is not None:
            self._end_probe(accepted=False)
        self.limit = max(1, min(self.limit, self.running))
        self._at_limit = _Mean()
        if self.running == 0:
            # Somebody else loads it, and no end of ours will tell when it is free.
            pause_ms = mean_hold_ms * 2.0 ** min(self._sheds_in_a_row - 1, 10)
            self.paused_until_ms = now_ms + min(pause_ms, _LONGEST_PAUSE_MS)

    def _start_probe(self) -> None:
        if self.limit >= _LIMIT_CEILING:
            return
        self.limit += 1
        self._probe = _Mean()

    def _judge_probe(self, latency_ms: float) -> None:
        """Keep a raised limit if the target did more, not just queued more.

        A target that queues inside answers (n + 1) / n times later with one more
        running. Half of that rise is the threshold; 64 n^2 samples put it 2.8
        standard errors from either side for exponential times.
        """
        probe = self._probe
        assert probe is not None
        probe.add(latency_ms)
        before = self.limit - 1
        if self.limit <= self.target.slots:
            if probe.count >= 8 * self.limit:
                self._end_probe(accepted=True)
            return
        if probe.count >= min(64 * before * before, _LAST_PROBE_AFTER):
            rise = probe.mean / max(self._at_limit.mean, 1e-9)
            self._end_probe(accepted=rise < 1.0 + 0.5 / before)

    def _end_probe(self, accepted: bool) -> None:
        self._probe = None
        self._at_limit = _Mean()
        if accepted:
            self._probe_after = _FIRST_PROBE_AFTER
            return
        self.limit -= 1
        self._probe_after = min(self._probe_after * 2, _LAST_PROBE_AFTER)


class _Mean:
    """Average samples."""

    __slots__ = ("count", "total")

    def __init__(self) -> None:
        self.count = 0
        self.total = 0.0

    def add(self, value: float) -> None:
        self.count += 1
        self.total += value

    @property
    def mean(self) -> float:
        return self.total / self.count if self.count else 0.0
