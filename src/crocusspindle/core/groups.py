"""Partition a service's targets into groups and choose a group for a request."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Final

from crocusspindle.core.decisions import CoordinatorLoad
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import ServiceId, TargetId

_MEAN_SIZE: Final = 12
"""Mean number of targets of a group.

Larger groups pool better: at 80 % load, requests queued for 2, 4, 8 and 12 targets with
two slots each wait 0.61, 0.21, 0.06 and 0.03 of the service time (virtual time,
exponential service times). Smaller groups limit the effect of a lost or slow group
coordinator: with 12 of 51,000 targets a coordinator handles 165 requests/s at the peak,
which one Python process can do several times over, and its loss makes 0.02 % of the
fleet's requests look for another one. Services of 6 to 15 targets form one or two
groups.
"""

_MAX_TO_MEAN: Final = 1.25
"""Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018):
a limit of a quarter above the mean, so at most 15 targets, keeps a coordinator within
its measured load and moves few targets when one is added or removed."""


@dataclass(frozen=True, slots=True)
class Group:
    """Hold the targets on which one group coordinator places requests."""

    service: ServiceId
    number: int
    targets: tuple[TargetId, ...]

    @property
    def key(self) -> bytes:
        """Return the key by which members are ordered as the group's coordinators."""
        return _key(self.service, self.number)


def partition_targets(
    service: ServiceId, targets: Iterable[TargetId]
) -> tuple[Group, ...]:
    """Return the groups of a service, the same on every node with the same list.

    Hosts are replaced all day. If each replacement changed coordinators, their queues
    and learnt state would be lost. Of 100 targets, a removed one moves 0.1 others on
    average, or about one group's worth if the number of groups changes. All listed
    targets count, healthy or not, so that a gray failure moves no other target.
    """
    listed = sorted(set(targets))
    if not listed:
        return ()
    number = ceil(len(listed) / _MEAN_SIZE)
    max_size = ceil(_MAX_TO_MEAN * len(listed) / number)
    keys = [_key(service, each) for each in range(number)]
    targets_of_group: list[list[TargetId]] = [[] for _ in keys]
    for target in sorted(listed, key=lambda each: score(service.encode(), each)):
        for each in sorted(range(number), key=lambda each: -score(keys[each], target)):
            if len(targets_of_group[each]) < max_size:
                targets_of_group[each].append(target)
                break
    return tuple(
        Group(service, each, tuple(sorted(group_targets)))
        for each, group_targets in enumerate(targets_of_group)
        if group_targets
    )


class GroupChooser:
    """Choose between groups by the loads that their coordinators report in replies.

    Reported loads are stale, and many entries would all choose the group that was idle
    a moment ago. So two groups are drawn, weighted by slots, and the one with the
    shorter wait is taken (power of two choices, Mitzenmacher, 2001); requests sent by
    this entry since the report count as queued.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._loads: dict[Group, CoordinatorLoad] = {}
        self._sent: dict[Group, int] = {}

    def update_load(self, group: Group, load: CoordinatorLoad) -> None:
        """Record the load that a reply of the group's coordinator reported."""
        self._loads[group] = load
        self._sent[group] = 0

    def choose(self, groups: tuple[Group, ...]) -> Group:
        """Return a group for a request and count the request as sent there."""
        if len(groups) > 1:
            self._drop_outdated(groups)
            slots = [self._slots(group) for group in groups]
            drawn = self._random.choices(groups, slots, k=2)
            chosen = min(drawn, key=self._pressure)
        else:
            chosen = groups[0]
        self._sent[chosen] = self._sent.get(chosen, 0) + 1
        return chosen

    def _drop_outdated(self, groups: tuple[Group, ...]) -> None:
        """Drop groups of the service whose targets have changed."""
        service = groups[0].service
        for known in [each for each in self._sent if each not in groups]:
            if known.service == service:
                del self._sent[known]
                self._loads.pop(known, None)

    def _slots(self, group: Group) -> float:
        load = self._loads.get(group)
        # A coordinator whose targets are all ejected still gets a request now and
        # then, since only its replies report that they are back.
        return max(load.slots, 0.1) if load else float(len(group.targets))

    def _pressure(self, group: Group) -> tuple[float, float]:
        load = self._loads.get(group)
        sent = self._sent.get(group, 0)
        if load is None:
            return 0.0, float(sent)
        wait_ms = load.wait_ms_estimate * (1.0 + sent / (load.queued + 1.0))
        running = (load.queued + load.running + sent) / self._slots(group)
        return wait_ms, running


def _key(service: ServiceId, number: int) -> bytes:
    return f"{service}/{number}".encode()
