"""Plan the faults and the callers of one run from a seed."""

import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Final

from crocusspindle_standins.on_platform.partitioned import CutMode

RUN_S: Final = 13.0
TARGETS: Final = 5
CALLERS_PER_GATEWAY: Final = 6
STEPS: Final = 12
BETWEEN_STOPS_S: Final = 6.5
"""Time between two stops of one gateway, which restarts in between."""

PAUSES_S: Final = (0.01, 0.05, 0.2, 0.5, 1.0, 2.2)
"""The longest outlasts the open port of a gateway that leaves by the grace period with
which it started."""


class Action(Enum):
    """Select what happens to a gateway, a target or the configuration."""

    STOP = "stop"
    RELOAD = "reload"
    KILL = "kill"
    PAUSE = "pause"
    HANG_UP = "hang up"
    STALL = "stall"
    CONFIGURE = "configure"
    DISTURB = "disturb"
    CUT = "cut"
    RESTORE = "restore"
    LEAVE = "leave"
    REVOKE = "revoke"


MAX_EVENTS: Final[Mapping[Action, int]] = {
    Action.RELOAD: 4,
    Action.KILL: 1,
    Action.PAUSE: 1,
    Action.CONFIGURE: 2,
    Action.DISTURB: 2,
}
GUEST: Final = 1
"""The caller of each gateway that uses the guest's key."""

BUSY: Final = 5
"""The caller of each gateway that uses its connection nearly all the time."""

BUSY_PAUSES_S: Final = (0.01, 0.05, 0.2)
LOADED_S: Final = 0.006
"""Processor time after which a process has loaded its C library. No signal is sent
earlier."""

MAX_HANGUP_S: Final = 0.5
"""Processor time of a start, about."""

PORTS: Final = ("front", "ready", "directory", "peers", "datagrams", "metrics")
STARTS: Final = 3

CLUB: Final = "club"
BURSTING: Final = "bursting"
SMALL: Final = "small"
QUOTAS: Final = {BURSTING: (20.0, 10.0), SMALL: (20.0, 20.0)}
"""Rate and burst of customers beside the club and the guest."""

FIRST_SINGLE_S: Final = 2.5
"""By then the configuration with these customers is in force."""

SMALL_INTERVAL_S: Final = 0.4
SLOW_READERS: Final = 4
LARGE_RESPONSES: Final = (900_000, 1_500_000)
"""Lengths less and more than a gateway holds of one response, in bytes."""

LOST_VERSIONS: Final = ("0", "3", "70", "670")
LASTING: Final = frozenset({Action.PAUSE, Action.DISTURB})
DETAILS: Final[Mapping[Action, tuple[str, ...]]] = {
    Action.RELOAD: (
        "revocation_s = 5",
        "revocation_s = 6",
        "grace_s = 3",
        "grace_s = 4",
    ),
    Action.DISTURB: ("restart", "hangs", "sheds", "resets", "errors", "cuts"),
}


@dataclass(frozen=True, slots=True)
class Event:
    """Plan one event, in seconds after the start of the run.

    A restore of the store lasts from the moment of its copy until the targets and the
    operator write again; ``detail`` is the number of versions that it loses.
    """

    at_s: float
    action: Action
    subject: int
    detail: str = ""
    lasts_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Start:
    """Plan one start of a process.

    ``hangups_s`` are processor times of the process. The settings are written up to
    ``settings_share``, and whole after a pause. An overlapping process starts
    ``overlap_s`` after SIGTERM to the one before, others when that one has ended.
    """

    hangups_s: tuple[float, ...] = ()
    settings_share: float = 1.0
    settings_pause_s: float = 0.0
    held_port: str = ""
    held_s: float = 0.0
    overlap_s: float | None = None


@dataclass(frozen=True, slots=True)
class Step:
    """Plan one exchange: a pause, then ``count`` requests that are sent in parts."""

    pause_s: float
    method: str
    count: int
    body_bytes: int
    parts: int
    part_pause_s: float


@dataclass(frozen=True, slots=True)
class CallerPlan:
    """Plan the steps that a caller repeats with one gateway.

    A guest's key is withdrawn in some runs.
    """

    gateway: int
    keeps_connection: bool
    is_guest: bool
    steps: tuple[Step, ...]


@dataclass(frozen=True, slots=True)
class Single:
    """Plan one request on a connection of its own; 0 is the usual response length."""

    at_s: float
    gateway: int
    customer: str
    response_bytes: int = 0
    read_bytes_per_s: int = 10_000_000


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold all that is decided before a run."""

    seed: int
    gateways: int
    work_s: float
    events: tuple[Event, ...]
    callers: tuple[CallerPlan, ...]
    singles: tuple[Single, ...]
    starts: tuple[tuple[Start, ...], ...]


def make_plan(seed: int, gateways: int = 0) -> Plan:
    """Return the plan of a seed; ``gateways`` is their number, drawn if it is 0."""
    rng = random.Random(seed)
    gateways = gateways or rng.randint(3, 6)
    stops = _stops(rng, gateways)
    events = stops + _other_events(rng, gateways)
    events += _signals(random.Random(f"{seed} signals"), gateways, stops)
    events += _hangs(random.Random(f"{seed} hangs"), stops)
    events += _cuts(random.Random(f"{seed} cuts"), gateways)
    events += _restores(random.Random(f"{seed} restores"))
    callers = tuple(
        CallerPlan(
            gateway,
            keeps_connection=number > 0,
            is_guest=number == GUEST,
            steps=tuple(
                _step(rng, BUSY_PAUSES_S if number == BUSY else PAUSES_S)
                for _ in range(STEPS)
            ),
        )
        for gateway in range(gateways)
        for number in range(CALLERS_PER_GATEWAY)
    )
    in_order = tuple(sorted(events, key=lambda event: event.at_s))
    work_s = rng.choice((0.02, 0.1, 0.4, 0.8))
    singles = tuple(_singles(random.Random(f"{seed} singles"), gateways))
    starts_rng = random.Random(f"{seed} starts")
    starts = tuple(
        tuple(_start(starts_rng) for _ in range(STARTS)) for _ in range(gateways)
    )
    return Plan(seed, gateways, work_s, in_order, callers, singles, starts)


def _start(rng: random.Random) -> Start:
    is_early, is_cut, is_held = (rng.random() < 1 / 2 for _ in range(3))
    latest_s = rng.choice((0.01, 0.03, MAX_HANGUP_S))
    return Start(
        hangups_s=tuple(
            round(rng.uniform(LOADED_S, latest_s), 4)
            for _ in range(rng.randint(1, 4) if is_early else 0)
        ),
        settings_share=round(rng.random(), 2) if is_cut else 1.0,
        settings_pause_s=round(rng.uniform(0.1, 3.0), 3) if is_cut else 0.0,
        held_port=rng.choice(PORTS) if is_held else "",
        held_s=round(rng.uniform(0.2, 3.0), 3) if is_held else 0.0,
        overlap_s=round(rng.uniform(0.0, 2.5), 3) if rng.random() < 1 / 3 else None,
    )


def _signals(rng: random.Random, gateways: int, stops: list[Event]) -> list[Event]:
    """Send signals in any state, many of them around planned stops.

    A second SIGTERM meets a stop, a drain, a start or the steady state.
    """
    signals = []
    for stop in stops:
        moments_s = [round(stop.at_s + rng.uniform(0.02, 4.0), 3) for _ in range(3)]
        lasts_s = round(rng.uniform(0.1, 0.5), 3)
        drawn = (
            Event(moments_s[0], Action.STOP, stop.subject),
            _hang_up(rng, moments_s[1], stop.subject),
            Event(moments_s[2], Action.STALL, stop.subject, lasts_s=lasts_s),
        )
        signals += [event for event in drawn if rng.random() < 1 / 2]
    for _ in range(rng.randint(0, 3)):
        at_s = round(rng.uniform(0.5, RUN_S - 3), 3)
        signals.append(_hang_up(rng, at_s, rng.randrange(gateways)))
    return [event for event in signals if event.at_s < RUN_S - 1]


def _hang_up(rng: random.Random, at_s: float, gateway: int) -> Event:
    """Send SIGHUP each so many milliseconds for a time."""
    lasts_s = round(rng.uniform(0.0, 2.0), 3)
    interval_ms = rng.choice(("1", "20", "200"))
    return Event(at_s, Action.HANG_UP, gateway, interval_ms, lasts_s)


def _hangs(rng: random.Random, stops: list[Event]) -> list[Event]:
    """Let targets stop responding around some of the planned stops."""
    return [
        Event(
            round(max(0.1, stop.at_s + rng.uniform(-1.0, 1.5)), 3),
            Action.DISTURB,
            target,
            "hangs",
            round(rng.uniform(1.0, 3.0), 3),
        )
        for stop in stops
        if rng.random() < 1 / 2
        for target in rng.sample(range(TARGETS), 2)
    ]


def _singles(rng: random.Random, gateways: int) -> Iterator[Single]:
    """Let one customer send 4 to 7 times its quota at drawn moments, beside others."""
    at_s = FIRST_SINGLE_S
    while at_s < RUN_S - 1:
        yield Single(round(at_s, 3), rng.randrange(gateways), SMALL)
        at_s += SMALL_INTERVAL_S * rng.uniform(0.5, 1.5)
    for _ in range(rng.randint(1, 2)):
        at_s = rng.uniform(FIRST_SINGLE_S, RUN_S - 3)
        rate_per_s = QUOTAS[BURSTING][0] * rng.uniform(4.0, 7.0)
        for number in range(round(rate_per_s * rng.uniform(0.5, 1.5))):
            sent_s = round(at_s + number / rate_per_s, 3)
            yield Single(sent_s, rng.randrange(gateways), BURSTING)
    for _ in range(SLOW_READERS):
        yield Single(
            round(rng.uniform(FIRST_SINGLE_S, RUN_S - 5), 3),
            rng.randrange(gateways),
            CLUB,
            rng.choice(LARGE_RESPONSES),
            rng.choice((2_000, 100_000)),
        )


def _stops(rng: random.Random, gateways: int) -> list[Event]:
    order = rng.sample(range(gateways), rng.randint(2, gateways))
    first_s, interval_s = rng.uniform(0.5, 2.0), rng.uniform(0.1, 1.0)
    stops = []
    for number, gateway in enumerate(order):
        at_s = round(first_s + number * interval_s, 3)
        stops.append(Event(at_s, Action.STOP, gateway))
        again_s = round(at_s + BETWEEN_STOPS_S, 3)
        if again_s < RUN_S - 1 and rng.random() < 1 / 2:
            stops.append(Event(again_s, Action.STOP, gateway))
    return stops


def _other_events(rng: random.Random, gateways: int) -> list[Event]:
    return [
        Event(
            round(rng.uniform(0.5, RUN_S - 3), 3),
            action,
            rng.randrange(TARGETS if action is Action.DISTURB else gateways),
            rng.choice(DETAILS.get(action, ("",))),
            round(rng.uniform(0.3, 3.0), 3) if action in LASTING else 0.0,
        )
        for action, most in MAX_EVENTS.items()
        for _ in range(rng.randint(0, most))
    ]


def _cuts(rng: random.Random, gateways: int) -> list[Event]:
    """Cut some gateways off from all targets, or all of them, once or twice."""
    return [
        Event(
            at_s,
            Action.CUT,
            gateway,
            rng.choice(list(CutMode)).value,
            round(rng.uniform(0.5, 4.0), 3),
        )
        for _ in range(rng.randint(0, 2))
        if (at_s := round(rng.uniform(0.5, RUN_S - 4), 3))
        for gateway in rng.sample(range(gateways), rng.randint(1, gateways))
    ]


def _restores(rng: random.Random) -> list[Event]:
    """Restore the store up to twice, and let targets leave and a key be withdrawn."""
    restores = [
        Event(
            round(rng.uniform(0.5, RUN_S - 6), 3),
            Action.RESTORE,
            0,
            rng.choice(LOST_VERSIONS),
            round(rng.uniform(1.5, 5.0), 3),
        )
        for _ in range(rng.randint(0, 2))
    ]
    leavings = [
        Event(round(rng.uniform(0.5, RUN_S - 5), 3), Action.LEAVE, target)
        for target in rng.sample(range(TARGETS), rng.randint(0, 2))
    ]
    revokes = [
        Event(round(rng.uniform(0.5, RUN_S - 6), 3), Action.REVOKE, 0)
        for _ in range(rng.randint(0, 1))
    ]
    return restores + leavings + revokes


def _step(rng: random.Random, pauses_s: tuple[float, ...]) -> Step:
    pause_s, is_post = rng.choice(pauses_s), rng.random() < 1 / 2
    return Step(
        pause_s,
        method="POST" if is_post else "GET",
        count=1 if is_post else rng.randint(1, 2),
        body_bytes=rng.choice((0, 10, 2_000, 100_000)) if is_post else 0,
        parts=rng.choice((1, 1, 2, 3)),
        part_pause_s=rng.choice((0.02, 0.3, 0.9)),
    )
