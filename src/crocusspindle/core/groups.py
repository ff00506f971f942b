"""Cut a service's targets into groups and choose a group for a request."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil
from typing import Final

from crocusspindle.core.decisions import HomeLoad
from crocusspindle.core.rendezvous import score
from crocusspindle.ids import ServiceId, TargetId

_MEAN_SIZE: Final = 12
"""Targets of a group on average.

More pool better: at 80 % load a queue over 2, 4, 8 and 12 two-slot targets waits 0.61,
0.21, 0.06 and 0.03 of the work (virtual time, exponential work). Fewer cost less when
a home is lost or slow: with 12 of 51,000 targets at the peak a home carries 165
requests a second, which one Python process does several times over, and a lost home
makes 0.02 % of the fleet's requests look for another. Today's services of 6 to 15
targets are one or two groups.
"""

_LARGEST_TO_MEAN: Final = 1.25
"""Bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018): a group a quarter above
the mean, so at most 16 targets, keeps a home within what was measured and moves few
targets when one comes or goes."""


@dataclass(frozen=True, slots=True)
class Group:
    """Hold the targets that one home places work on."""

    service: ServiceId
    number: int
    targets: tuple[TargetId, ...]

    @property
    def key(self) -> bytes:
        """Return the key by which members are ordered as the group's homes."""
        return _key(self.service, self.number)


def cut(service: ServiceId, targets: Iterable[TargetId]) -> tuple[Group, ...]:
    """Return the groups of a service, the same on every node with the same list.

    Load: hosts replaced all day. Harm prevented: homes that change with each of
    them, and with a home its queue and what it has learnt. Of 100 targets, one that
    goes moves 0.1 others on average; where the number of groups changes with it,
    about a group's worth. The listed targets count, healthy or not, so that a
    gray one moves nobody.
    """
    listed = sorted(set(targets))
    if not listed:
        return ()
    number = ceil(len(listed) / _MEAN_SIZE)
    most = ceil(_LARGEST_TO_MEAN * len(listed) / number)
    keys = [_key(service, each) for each in range(number)]
    members: list[list[TargetId]] = [[] for _ in keys]
    for target in sorted(listed, key=lambda each: score(service.encode(), each)):
        for each in sorted(range(number), key=lambda each: -score(keys[each], target)):
            if len(members[each]) < most:
                members[each].append(target)
                break
    return tuple(
        Group(service, each, tuple(sorted(found)))
        for each, found in enumerate(members)
        if found
    )


class GroupChooser:
    """Choose between groups by the loads that answers of their homes carry.

    Load: many entries that see old loads. Harm prevented: all of them choosing
    the group that was idle a moment ago. Two groups are drawn by their slots and
    the one with less to wait is taken (Mitzenmacher, 2001); what this entry has
    sent since the load was seen counts as queued.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._loads: dict[Group, HomeLoad] = {}
        self._sent: dict[Group, int] = {}

    def note(self, group: Group, load: HomeLoad) -> None:
        """Take the load that an answer of the group's home carried."""
        self._loads[group] = load
        self._sent[group] = 0

    def choose(self, groups: tuple[Group, ...]) -> Group:
        """Return a group for a request and count it as sent there."""
        if len(groups) > 1:
            self._keep(groups)
            sizes = [self._slots(group) for group in groups]
            drawn = self._random.choices(groups, sizes, k=2)
            chosen = min(drawn, key=self._pressure)
        else:
            chosen = groups[0]
        self._sent[chosen] = self._sent.get(chosen, 0) + 1
        return chosen

    def _keep(self, groups: tuple[Group, ...]) -> None:
        """Forget groups of targets that changed."""
        service = groups[0].service
        for known in [each for each in self._sent if each not in groups]:
            if known.service == service:
                del self._sent[known]
                self._loads.pop(known, None)

    def _slots(self, group: Group) -> float:
        load = self._loads.get(group)
        # A home whose targets are all ejected is still asked now and then, since
        # only its answers tell that they are back.
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
