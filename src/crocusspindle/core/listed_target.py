"""Describe a target as the list of targets names it."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from crocusspindle.ids import DomainId, ServiceId

TargetIdentity = NewType("TargetIdentity", str)
"""One start of one target; its address may be given to another target later."""


class Readiness(Enum):
    """State whether a target accepts new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ListedTarget:
    """Hold one entry of the list of targets."""

    identity: TargetIdentity
    service: ServiceId
    address: str
    domain: DomainId
    slots: int
    readiness: Readiness
