"""Provide fakes and builders for tests of a group coordinator."""

import random

from crocusspindle.core.group_coordinator import (
    Arrival,
    CoordinatorSettings,
    GroupCoordinator,
)
from crocusspindle.core.model import Target, TargetState
from crocusspindle.ids import CustomerId, DomainId, RequestId, ServiceId, TargetId


class FakeTargetWeights:
    """Give every target weight 1 and no trial, unless a test sets them."""

    def __init__(self):
        self.weights = {}
        self.trials = set()

    def weight(self, target, now_ms):
        return self.weights.get(target, 1.0)

    def needs_trial(self, target, now_ms):
        return target in self.trials


def targets(number, slots=2, state=TargetState.LIVE):
    return [
        Target(
            TargetId(f"10.0.0.{index}:80"),
            ServiceId("bayaran"),
            DomainId(f"domain-{index % 4}"),
            slots,
            state,
        )
        for index in range(number)
    ]


def make_coordinator(number=2, slots=1, fake_weights=None, **settings):
    coordinator = GroupCoordinator.from_config(
        CoordinatorSettings(**settings),
        fake_weights or FakeTargetWeights(),
        random.Random(1),
    )
    coordinator.set_targets(targets(number, slots), 0.0)
    return coordinator


def arrival(
    request,
    customer="club",
    *,
    deadline_ms=1_000.0,
    idempotent=True,
    weight=1.0,
    credential=b"",
):
    return Arrival(
        RequestId(request),
        CustomerId(customer),
        weight,
        deadline_ms,
        idempotent,
        idempotent,
        credential,
    )
