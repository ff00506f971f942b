"""Describe a target as the list of targets names it."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from enum import Enum
from typing import NewType

from crocusspindle.ids import DomainId, ServiceId

TargetIdentity = NewType("TargetIdentity", str)
"""One start of one target; its address may be given to another target later."""


class Readiness(Enum):
    """State whether a target accepts new work.

    A target is ``EVACUATED`` while the operator evacuates its failure domain.
    """

    READY = "ready"
    DRAINING = "draining"
    EVACUATED = "evacuated"


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Hold one entry of the list of targets.

    ``cold`` is True if the entry says so. ``started_ms`` is the Unix time at which the
    target started, 0 if the entry doesn't tell.
    """

    identity: TargetIdentity
    service: ServiceId
    address: str
    domain: DomainId
    slots: int
    readiness: Readiness
    cold: bool = False
    started_ms: int = 0


def mark_evacuated(
    listed: Iterable[ListedTarget], evacuated: Collection[DomainId]
) -> list[ListedTarget]:
    """Return the targets; those in an evacuated failure domain accept no work."""
    return [
        replace(target, readiness=Readiness.EVACUATED)
        if target.domain in evacuated
        else target
        for target in listed
    ]
