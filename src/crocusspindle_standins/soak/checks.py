"""Check what callers and targets saw in one run."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from signal import SIGKILL
from typing import Final

from crocusspindle_standins.on_platform.fleet import OK
from crocusspindle_standins.on_platform.target import response_body
from crocusspindle_standins.soak.history import (
    NEVER_S,
    NO_RESPONSE,
    History,
    Request,
    Run,
    Stop,
)
from crocusspindle_standins.soak.plan import CLUB, SMALL

SMALL_CUSTOMER: Final = "small customer"
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
UNANSWERED_STATUSES: Final = frozenset({NO_RESPONSE, 502, 504})
"""Endings without the answer of a target that has run the request."""

CLOSING_LIMIT_S: Final = 0.2
CALM_S: Final = 3.0
START_S: Final = 1.5
"""A restarted process takes this long until it can learn of anything."""

DRAIN_S: Final = 2.0
REVOCATION_S: Final = 5.0
AFTER_GRACE_S: Final = 1.0
ROUTE_TIMEOUT_S: Final = 2.0
RESPONSE_MARGIN_S: Final = 0.01
"""A 504 is sent this long before the route's timeout, so that it arrives in time."""

OVER_QUOTA: Final = 429
MIN_SERVED_RATIO: Final = 1 / 4

LAST_FRACTION: Final = 1 / 6
SENT_LIMIT_S: Final = 3.0
"""A request sent later after SIGTERM is answered even if its target is still at work in
the last fraction of the grace period."""

SENT_FRACTION: Final = 1 / 2
"""The same as a fraction of a short grace period."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Report one broken check, and the request or the process that broke it."""

    check: str
    gateway: int
    text: str
    request: Request | None = None


def ran_twice(request: Request, runs: list[Run]) -> str | None:
    """Find a request that is not idempotent and ran more than once."""
    is_broken = request.method == "POST" and len(runs) > 1
    return f"ran {len(runs)} times" if is_broken else None


def refused_and_ran(request: Request, runs: list[Run]) -> str | None:
    """Find a request that ran although its response states that it did not."""
    is_refused = request.method == "POST" and request.status in NOT_RUN_STATUSES
    return f"got {request.status} and ran" if is_refused and runs else None


def wrong_answer(request: Request, _: list[Run]) -> str | None:
    """Find a success that is not the target's own whole answer to the request."""
    whole = response_body(request.path, request.body)
    is_own = request.answer == whole and request.echoed_id == request.request_id
    if request.status != OK or is_own:
        return None
    return f"got the answer {request.answer[:80]!r} of {request.echoed_id!r}"


def wrong_part(request: Request, _: list[Run]) -> str | None:
    """Find a truncated response that is not the beginning of the target's answer."""
    whole = response_body(request.path, request.body)
    is_part = request.status > 0 or whole.startswith(request.answer)
    return None if is_part else f"got the part {request.answer[:80]!r}"


REQUEST_CHECKS: Final[Mapping[str, Callable[[Request, list[Run]], str | None]]] = {
    "at most once": ran_twice,
    "true refusals": refused_and_ran,
    "own answer": wrong_answer,
    "own part": wrong_part,
}


def check(history: History) -> list[Finding]:
    """Return the findings of all checks."""
    findings = [
        Finding(name, request.gateway, text, request)
        for name, find in REQUEST_CHECKS.items()
        for request in history.requests
        if (text := find(request, history.runs_of(request))) is not None
    ]
    return [
        *findings,
        *lost_requests(history),
        *bad_exits(history),
        *late_work(history),
        *withdrawn_keys(history),
        *unserved_small_customer(history),
    ]


def unserved_small_customer(history: History) -> Iterator[Finding]:
    """Find a small customer that suffers from one that exceeds its quota."""
    small = [request for request in history.requests if request.customer == SMALL]
    club = [
        request
        for request in history.requests
        if request.customer == CLUB and not request.is_guest
    ]
    for request in small:
        if request.status == OVER_QUOTA:
            text = "refused as over its quota"
            yield Finding(SMALL_CUSTOMER, request.gateway, text, request)
    if small and _served_share(small) < _served_share(club) * MIN_SERVED_RATIO:
        text = f"served {_served_share(small):.2f}, the club {_served_share(club):.2f}"
        yield Finding(SMALL_CUSTOMER, small[0].gateway, text)


def _served_share(requests: list[Request]) -> float:
    return sum(request.status == OK for request in requests) / max(1, len(requests))


def late_work(history: History) -> Iterator[Finding]:
    """Find requests that a target ran too long after it had said that it leaves."""
    requests = {request.request_id: request for request in history.requests}
    for leaving in history.leavings:
        due_s = leaving.at_s + DRAIN_S
        if _was_store_away(history, leaving.at_s - CALM_S, due_s):
            continue
        for run in history.runs:
            request = requests.get(run.request_id)
            if run.target != leaving.target or run.began_s <= due_s or request is None:
                continue
            since_s = run.began_s - CALM_S - START_S
            if _was_stopped(history, request.gateway, since_s, run.began_s):
                continue
            if _is_disrupted(history, request.gateway, since_s, run.began_s):
                continue
            late_s = run.began_s - due_s
            text = f"reached {run.target} {late_s:.3f} s too late"
            yield Finding("leaving target", request.gateway, text, request)


def withdrawn_keys(history: History) -> Iterator[Finding]:
    """Find requests that ran too long after their key was withdrawn."""
    for request in history.requests:
        due_s = history.revoked_s + REVOCATION_S
        if request.is_guest and request.began_s > due_s and history.runs_of(request):
            text = f"ran, sent {request.began_s - due_s:.3f} s too late"
            yield Finding("withdrawn key", request.gateway, text, request)


def _was_store_away(history: History, from_s: float, to_s: float) -> bool:
    return any(
        outage.began_s <= to_s and outage.ended_s >= from_s
        for outage in history.outages
    )


def _was_stopped(history: History, gateway: int, from_s: float, to_s: float) -> bool:
    return any(
        stop.gateway == gateway and stop.at_s <= to_s and stop.exited_s >= from_s
        for stop in history.stops
    )


def lost_requests(history: History) -> Iterator[Finding]:
    """Find requests that a stopping process read and did not answer."""
    for stop in history.stops:
        for request in history.requests:
            from_s, to_s = request.began_s - CALM_S, request.ended_s
            if not _ended_around(stop, request):
                continue
            if _is_disrupted(history, stop.gateway, from_s, to_s):
                continue
            text = _loss(stop, request, history.runs_of(request))
            if text is not None:
                yield Finding("planned stop", request.gateway, text, request)


def _ended_around(stop: Stop, request: Request) -> bool:
    after_stop_s = request.ended_s - stop.at_s
    # A caller that reads slowly may not get all of a response within the grace period.
    is_truncated = request.status == NO_RESPONSE and bool(request.answer)
    return (
        request.gateway == stop.gateway
        and request.status in UNANSWERED_STATUSES
        and request.sent_s < NEVER_S
        and not is_truncated
        and 0.0 <= after_stop_s <= stop.grace_s + AFTER_GRACE_S
    )


def _loss(stop: Stop, request: Request, runs: list[Run]) -> str | None:
    """Return how a request was lost, or None if the rules allow it."""
    margin_s = 0.0 if request.status == NO_RESPONSE else RESPONSE_MARGIN_S
    if request.ended_s - request.began_s >= ROUTE_TIMEOUT_S - margin_s:
        return None
    runs = [run for run in runs if run.began_s <= request.ended_s]
    late_s = request.ended_s - request.sent_s
    if runs:
        if _is_excused(stop, request, runs):
            return None
        targets = ", ".join(run.target for run in runs)
        return f"ended with status {request.status}; it ran at {targets}"
    if request.status == NO_RESPONSE and late_s > CLOSING_LIMIT_S:
        return f"closed {late_s:.3f} s after its last byte, without a response"
    return None


def _is_excused(stop: Stop, request: Request, runs: list[Run]) -> bool:
    if all(run.broke_off_s <= request.ended_s for run in runs):
        return True
    last_s = stop.at_s + stop.grace_s * (1 - LAST_FRACTION)
    is_at_work = any(run.ended_s >= last_s for run in runs)
    sent_limit_s = min(SENT_LIMIT_S, stop.grace_s * SENT_FRACTION)
    was_sent_early = request.sent_s <= stop.at_s + sent_limit_s
    return is_at_work and was_sent_early and request.ended_s >= last_s


def bad_exits(history: History) -> Iterator[Finding]:
    """Find processes that did not end by SIGTERM, in time and with status 0.

    A disruption may delay an end, or be the SIGKILL that ends the process.
    """
    for stop in history.stops:
        took_s = stop.exited_s - stop.at_s
        from_s, is_late = stop.at_s - CALM_S, took_s > stop.grace_s
        is_excused = _is_disrupted(history, stop.gateway, from_s, stop.exited_s)
        is_stalled = any(
            stall.gateway == stop.gateway
            and stall.began_s <= stop.exited_s
            and stall.ended_s >= stop.at_s
            for stall in history.stalls
        )
        may_be_late = stop.status == 0 and (is_excused or is_stalled)
        may_be_killed = stop.status == -SIGKILL and is_excused
        is_good = stop.status == 0 and not is_late
        if not is_good and not may_be_late and not may_be_killed:
            text = f"ended with status {stop.status} {took_s:.3f} s after SIGTERM"
            yield Finding("exit", stop.gateway, text)
    for end in history.ended_by_themselves:
        text = f"ended with status {end.status} at {end.at_s:.3f} s without SIGTERM"
        yield Finding("exit", end.gateway, text)


def _is_disrupted(history: History, gateway: int, from_s: float, to_s: float) -> bool:
    return any(
        disruption.gateway == gateway
        and disruption.began_s <= to_s
        and disruption.ended_s >= from_s
        for disruption in history.disruptions
    )
