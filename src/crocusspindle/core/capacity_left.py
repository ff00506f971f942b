"""Track which part of its capacity each host has left, in steps with hysteresis.

Made for callers who follow the load: they keep an address for two to six seconds, so
the load that a host reports shows the effect of earlier steps late. Without hysteresis,
callers would move from host to host with each answer, and each move costs connections.
"""

import math
from collections.abc import Collection, Mapping
from typing import Final

from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId

LOAD_MAX: Final = 8
"""Load of a host that uses its whole processor share, in eighths of it."""

LEFT_MAX: Final = 4
"""Eighths of its capacity that a host has left at most. Up to half of its load a host
counts as not loaded: moving its callers would cost more than it gains."""

LEFT_MIN: Final = 1
"""Eighths of its capacity that a host has left at least. A fully loaded host keeps a
quarter of the callers of one that is not loaded; with none, it would look idle once
they have left, and all would return at once."""

CHANGE_INTERVAL_MS: Final = 1_000.0
"""Steps change at most this often, each host by at most one."""

HYSTERESIS: Final = 2
"""Eighths by which a host's load is below that of its step before the step rises. With
one, alike hosts at 0.7 of their load moved three times as many connections, at the same
balance."""

RISE_AFTER_MS: Final = 3_000.0
"""Time for which a host reports less load before it gets more callers. Most callers use
an answer for two seconds, and the load is measured over the last second."""

LOAD_VALID_MS: Final = 1_200.0
"""Time for which a reported load is used: two intervals of pings, and some more."""


def left_at(load: int) -> int:
    """Return the eighths of its capacity that a host has left at a load."""
    return min(LEFT_MAX, max(LEFT_MIN, LOAD_MAX - load))


class CapacityLeft:
    """Record the loads of hosts, and derive the capacity that they have left."""

    def __init__(self) -> None:
        self._loads: dict[HostId, int | None] = {}
        self._reported_ms: dict[HostId, float] = {}
        self._less_loaded_since_ms: dict[str, float] = {}
        self._changed_ms = -math.inf

    def record(self, host: HostId, load: int | None, now_ms: float) -> None:
        """Record the load that a host reports, in eighths; None if it reports none."""
        self._loads[host] = load
        self._reported_ms[host] = now_ms

    def update(
        self,
        listed: Mapping[str, NodeAddress],
        previously_listed: Collection[str],
        previous: Mapping[str, int],
        now_ms: float,
    ) -> dict[str, int]:
        """Return the eighths left by address, for the hosts below `LEFT_MAX`.

        ``listed`` has the hosts by address. ``previous`` is the last result, of this
        or of the previous reader. A host that was not listed before starts with the
        mean of its domain: one idle host in a loaded domain would get most callers.
        """
        self._drop_outdated(now_ms)
        steps = {
            address: previous.get(address, LEFT_MAX)
            for address in listed
            if address in previously_listed
        }
        means = _means(steps, listed)
        for address, node in listed.items():
            steps.setdefault(address, means.get(node.domain, LEFT_MAX))
        wanted = self._wanted_steps(steps, listed)
        self._less_loaded_since_ms = {
            address: self._less_loaded_since_ms.get(address, now_ms)
            for address, step in wanted.items()
            if step > steps[address]
        }
        if now_ms - self._changed_ms >= CHANGE_INTERVAL_MS:
            changed = self._changed_steps(steps, wanted, now_ms)
            if changed:
                self._changed_ms = now_ms
                steps.update(changed)
        return {address: step for address, step in steps.items() if step < LEFT_MAX}

    def _drop_outdated(self, now_ms: float) -> None:
        # The process that sent them may have ended, or pings another reader.
        for host, reported_ms in list(self._reported_ms.items()):
            if now_ms - reported_ms >= LOAD_VALID_MS:
                del self._reported_ms[host]
                del self._loads[host]

    def _wanted_steps(
        self, steps: Mapping[str, int], listed: Mapping[str, NodeAddress]
    ) -> dict[str, int]:
        """Return the steps by the loads that this reader has received.

        A host that reports no load, since its version has none, counts as the others of
        its domain do: as one that is not loaded, it would be the only one to get more
        callers while they are loaded.
        """
        own_steps = {
            address: _wanted_step(steps[address], load)
            for address, node in listed.items()
            if (load := self._loads.get(node.host)) is not None
        }
        means = _means({a: steps[a] for a in own_steps}, listed)
        of_others = {
            address: means.get(node.domain, LEFT_MAX)
            for address, node in listed.items()
            if node.host in self._loads
        }
        return of_others | own_steps

    def _changed_steps(
        self, steps: Mapping[str, int], wanted: Mapping[str, int], now_ms: float
    ) -> dict[str, int]:
        changed = {}
        for address, target in wanted.items():
            step = steps[address]
            if target < step:
                changed[address] = step - 1
            elif (
                target > step
                and now_ms - self._less_loaded_since_ms[address] >= RISE_AFTER_MS
            ):
                changed[address] = step + 1
                self._less_loaded_since_ms[address] = now_ms
        return changed


def _wanted_step(step: int, load: int) -> int:
    """Return the step for a load, or the present one if it differs too little."""
    return min(left_at(load), max(step, left_at(load + HYSTERESIS)))


def _means(
    steps: Mapping[str, int], listed: Mapping[str, NodeAddress]
) -> dict[DomainId, int]:
    """Return the mean step of each domain, rounded to a step."""
    by_domain: dict[DomainId, list[int]] = {}
    for address, step in steps.items():
        by_domain.setdefault(listed[address].domain, []).append(step)
    return {domain: round(sum(v) / len(v)) for domain, v in by_domain.items()}
