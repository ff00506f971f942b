"""Learn the concurrency limit of each target.

The host list may state a wrong number of slots, and a second coordinator may use the
same slots for a while. With a limit too high, requests are shed or wait at the target;
with one too low, capacity stays idle while callers are refused.
"""

from typing import Final

from crocusspindle.core.model import Target, TargetState
from crocusspindle.core.throughput_test import Mean, accepts_probe

_INITIAL_PROBE_INTERVAL: Final = 32
"""Number of successes at the limit before a higher one is probed. A failed probe costs
one shed request, so at first at most 3 % of the requests are shed."""

_MAX_PROBE_INTERVAL: Final = 4_096
"""A limit that is confirmed repeatedly is probed once in 4,096 requests, which still
finds a target with more slots within minutes at 20 requests a second."""

_MAX_LIMIT: Final = 256
"""Below the 300 to 350 connections that a target accepts."""

_MIN_GAIN_SHARE: Final = 0.5
"""Share of an added request's throughput that a raised limit must gain."""

_MAX_PAUSE_MS: Final = 1_000.0
"""A target that sheds everything still gets a request a second, so that its recovery is
noticed within seconds."""


class TargetSlots:
    """Count the attempts running on one target and learn its concurrency limit.

    With more requests queued than slots, too high a limit causes shed requests and a
    queue at the target, which is not fair among customers; too low a limit leaves
    capacity idle.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.running = 0
        self.limit = 1
        self.paused_until_ms = 0.0
        self.last_dispatch_ms = float("-inf")
        self.is_listed = True
        self._ramping = target.slots > 1
        self._sheds_in_a_row = 0
        self._probe_interval = _INITIAL_PROBE_INTERVAL
        self._at_limit = Mean()
        self._probe: Mean | None = None

    @property
    def accepts_new(self) -> bool:
        """Return True if the target is listed and not leaving."""
        return self.is_listed and self.target.state is TargetState.LIVE

    def has_room(self, now_ms: float) -> bool:
        """Return True if the target is below its limit and not paused."""
        return self.running < self.limit and now_ms >= self.paused_until_ms

    def dispatched(self, now_ms: float) -> None:
        """Take a slot for a request sent to the target."""
        self.running += 1
        self.last_dispatch_ms = now_ms

    def released(self) -> None:
        """Free the slot of a request that says nothing about the limit."""
        self.running -= 1

    def succeeded(self, latency_ms: float, has_queued: bool) -> None:
        """Free the slot of an answered request and update the limit.

        ``has_queued`` is True if requests wait; only then is a higher limit useful.
        """
        at_limit = self.running >= self.limit
        self.running -= 1
        self._sheds_in_a_row = 0
        if not at_limit:
            return
        if self._ramping:
            # The limit of a cold target doubles with each round of answers, so that
            # it never gets all its slots' work at once.
            self.limit += 1
            self._ramping = self.limit < self.target.slots
        elif self._probe is not None:
            self._evaluate_probe(latency_ms)
        else:
            self._at_limit.add(latency_ms)
            if has_queued and self._at_limit.count >= self._probe_interval:
                self._start_probe()

    def shed(self, now_ms: float, mean_hold_ms: float) -> None:
        """Free the slot of a shed request and lower the limit to the number running."""
        self.running -= 1
        self._sheds_in_a_row += 1
        self._ramping = False
        if self._probe is not None:
            self._end_probe(accepted=False)
        self.limit = max(1, min(self.limit, self.running))
        self._at_limit = Mean()
        if self.running == 0:
            # Another client loads the target, and no attempt of ours will end to show
            # when it has room again.
            pause_ms = mean_hold_ms * 2.0 ** min(self._sheds_in_a_row - 1, 10)
            self.paused_until_ms = now_ms + min(pause_ms, _MAX_PAUSE_MS)

    def _start_probe(self) -> None:
        if self.limit >= _MAX_LIMIT:
            return
        self.limit += 1
        self._probe = Mean()

    def _evaluate_probe(self, latency_ms: float) -> None:
        """Keep a raised limit if it increased throughput, not a queue in the target.

        With one request more, the latency of a target that queues internally is
        (n + 1) / n times as long. Half of that rise is the threshold; with 64 n^2
        samples of exponential times it is 2.8 standard errors from either case. Up to
        the number of slots in the host list, a limit is kept unless a request is shed.
        """
        probe = self._probe
        assert probe is not None
        probe.add(latency_ms)
        previous_limit = self.limit - 1
        if self.limit <= self.target.slots:
            if probe.count >= 8 * self.limit:
                self._end_probe(accepted=True)
            return
        if probe.count >= min(
            64 * previous_limit * previous_limit, _MAX_PROBE_INTERVAL
        ):
            accepted = accepts_probe(
                previous_limit, self._at_limit.mean, probe.mean, _MIN_GAIN_SHARE
            )
            self._end_probe(accepted)

    def _end_probe(self, accepted: bool) -> None:
        self._probe = None
        self._at_limit = Mean()
        if accepted:
            self._probe_interval = _INITIAL_PROBE_INTERVAL
            return
        self.limit -= 1
        self._probe_interval = min(self._probe_interval * 2, _MAX_PROBE_INTERVAL)
