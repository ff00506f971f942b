"""See a node remember the limits that its targets have named."""

from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.core.rate_limit import LimitSaid
from crocusspindle.gateway.told_limits import (
    REMEMBERED_MS,
    ToldLimits,
    packed_limits,
    unpacked_limits,
)

TARGET = TargetIdentity("t0")


def test_a_limit_is_told_until_an_answer_comes_without_it():
    told = ToldLimits()
    said = LimitSaid(TARGET, 1.5, 100.0)
    told.hear(said)
    assert told.recent(200.0) == [said]
    told.hear(LimitSaid(TARGET, None, 50.0))
    assert told.recent(200.0) == [said]
    told.hear(LimitSaid(TARGET, None, 150.0))
    assert told.recent(200.0) == []


def test_a_limit_that_nothing_renewed_is_forgotten():
    """Guards against a target that stays limited after it has left or changed."""
    told = ToldLimits()
    told.hear(LimitSaid(TARGET, 1.5, 0.0))
    assert told.recent(REMEMBERED_MS + 1.0) == []


def test_limits_travel_as_ages():
    said = [LimitSaid(TARGET, 1.5, 100.0)]
    assert unpacked_limits(packed_limits(said, 300.0), 1_300.0) == [
        LimitSaid(TARGET, 1.5, 1_100.0)
    ]
