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


def left_at(load: int) -> int:
    """Return the eighths of its capacity that a host has left at a load."""
    return min(LEFT_MAX, max(LEFT_MIN, LOAD_MAX - load))


class CapacityLeft:
    """Record the loads of hosts, and derive the capacity that they have left."""

    def __init__(self) -> None:
        self._loads: dict[HostId, int] = {}
        self._reporting: set[HostId] = set()
        self._less_loaded_since_ms: dict[str, float] = {}
        self._changed_ms = -math.inf

    def record(self, host: HostId, load: int) -> None:
        """Record the load that a host reports, in eighths."""
        self._loads[host] = load
        if load > 0:
            self._reporting.add(host)

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

    def _wanted_steps(
        self, steps: Mapping[str, int], listed: Mapping[str, NodeAddress]
    ) -> dict[str, int]:
        """Return the steps by the loads that this reader has received.

        A host that has never reported any load may be of a version that reports none.
        It counts as the others of its domain do: as one that is not loaded, it would
        be the only one to get more callers while they are loaded.
        """
        means = _means(
            {a: steps[a] for a, node in listed.items() if node.host in self._reporting},
            listed,
        )
        wanted = {}
        for address, node in listed.items():
            if node.host in self._reporting:
                wanted[address] = _wanted_step(steps[address], self._loads[node.host])
            elif node.host in self._loads:
                wanted[address] = means.get(node.domain, LEFT_MAX)
        return wanted

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
