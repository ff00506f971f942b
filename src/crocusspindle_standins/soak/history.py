"""Record what callers and targets saw in one run, in seconds since its start."""

import time
from dataclasses import dataclass, field
from typing import Final

from aiohttp import web

from crocusspindle_standins.on_platform.target import PlatformTarget, TargetFault

NO_RESPONSE: Final = 0
"""Status of a request whose connection closed without a complete response."""

TIMED_OUT: Final = -1
"""Status of a request whose caller stopped waiting."""

NEVER_S: Final = float("inf")


@dataclass(frozen=True, slots=True)
class Request:
    """Record one request; ``sent_s`` is infinite unless it was wholly sent."""

    request_id: str
    gateway: int
    method: str
    path: str
    body: bytes = field(repr=False)
    began_s: float
    sent_s: float
    ended_s: float
    status: int
    echoed_id: str = ""
    answer: bytes = field(default=b"", repr=False)
    is_behind_another: bool = False
    is_guest: bool = False
    customer: str = "club"


@dataclass(frozen=True, slots=True)
class Run:
    """Record one run of a request at a target."""

    request_id: str
    target: str
    began_s: float
    ended_s: float
    broke_off_s: float = NEVER_S


@dataclass(frozen=True, slots=True)
class Stop:
    """Record a SIGTERM and how the process ended."""

    gateway: int
    at_s: float
    grace_s: float
    exited_s: float
    status: int | None


@dataclass(frozen=True, slots=True)
class End:
    """Record the end of a process that no SIGTERM and no SIGKILL had told to end."""

    gateway: int
    at_s: float
    status: int


@dataclass(frozen=True, slots=True)
class Disruption:
    """Record a kill or a pause of a gateway."""

    gateway: int
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Stall:
    """Record a pause of a gateway that is too short to excuse a lost request."""

    gateway: int
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class Leaving:
    """Record when the store acknowledged that a target leaves."""

    target: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Record when the store was away."""

    began_s: float
    ended_s: float


@dataclass
class History:
    """Hold the records of one run."""

    began_s: float = 0.0
    began_epoch_s: float = 0.0
    requests: list[Request] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    disruptions: list[Disruption] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    revoked_s: float = NEVER_S
    stalls: list[Stall] = field(default_factory=list)
    ended_by_themselves: list[End] = field(default_factory=list)
    timeline: list[tuple[float, str]] = field(default_factory=list)

    def begin(self) -> None:
        """Set the start of the run to now."""
        self.began_s, self.began_epoch_s = time.monotonic(), time.time()

    def now_s(self) -> float:
        """Return the time since the start of the run, in whole milliseconds."""
        return round(time.monotonic() - self.began_s, 3)

    def mark(self, text: str) -> None:
        """Add a line to the timeline."""
        self.timeline.append((self.now_s(), text))

    def runs_of(self, request: Request) -> list[Run]:
        """Return all runs of a request."""
        return [run for run in self.runs if run.request_id == request.request_id]


@dataclass
class RecordedTarget(PlatformTarget):
    """Record when requests run, beside what the stand-in counts."""

    history: History = field(default_factory=History)
    _stopped_s: list[float] = field(default_factory=list)

    async def _stop_listening(self) -> None:
        self._stopped_s.append(self.history.now_s())
        await super()._stop_listening()

    async def _run(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id, identity = request.headers["X-Request-Id"], self.identity
        ran_before, began_s = self.ran[request_id], self.history.now_s()
        breaking_fault = TargetFault.RESETS
        try:
            response = await super()._run(request)
            breaking_fault = TargetFault.CUTS
            return response
        finally:
            ended_s = self.history.now_s()
            breaks_s = [at_s for at_s in self._stopped_s if at_s >= began_s]
            if self.fault is breaking_fault:
                breaks_s.append(ended_s)
            broke_off_s = min(breaks_s, default=NEVER_S)
            if self.ran[request_id] > ran_before:
                run = Run(request_id, identity, began_s, ended_s, broke_off_s)
                self.history.runs.append(run)
