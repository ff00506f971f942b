"""Tests of sending learned concurrency limits to the other placers of a service."""

import pytest

from crocusspindle.core.concurrency_limit import LimitChange
from crocusspindle.core.listed_target import TargetIdentity
from crocusspindle.gateway import limit_sharing
from crocusspindle.gateway.limit_sharing import LimitSharing
from crocusspindle.gateway.messages import TargetLimitNote
from crocusspindle.ids import DomainId, HostId, ServiceId
from crocusspindle.metrics import Metrics

SERVICE = ServiceId("katalog")
TARGET = TargetIdentity("t0")


class Ranks:
    """Collect the notes to other placers."""

    def __init__(self):
        self.notes = []

    def notify_others(self, service, note):
        self.notes.append(note)


class Placer:
    """Hold limits and their unpublished changes."""

    def __init__(self):
        self.limits = {}
        self.pending = []

    def set_limit(self, limit):
        self.limits = {TARGET: limit} if limit < 4 else {}
        self.pending.append(LimitChange(TARGET, limit, 4, 1.0, 3.0))

    def limit_changes(self):
        changes, self.pending = self.pending, []
        return changes

    def lowered_limits(self):
        return dict(self.limits)


@pytest.fixture
def clock(monkeypatch):
    time = {"ms": 0.0}
    monkeypatch.setattr(limit_sharing, "now_ms", lambda: time["ms"])
    return time


def test_limits_are_sent_when_they_change_and_renewed_before_they_expire(clock):
    """Guards against a successor without limits, and against a note per answer."""
    ranks, placer = Ranks(), Placer()
    sharing = LimitSharing(ranks, Metrics(HostId("h"), DomainId("a")))
    sharing.publish(SERVICE, placer)
    assert ranks.notes == []
    placer.set_limit(3)
    sharing.publish(SERVICE, placer)
    placer.set_limit(2)
    clock["ms"] = 500.0
    sharing.publish(SERVICE, placer)
    assert ranks.notes == [TargetLimitNote(SERVICE, [(TARGET, 3)])]
    clock["ms"] = 1_000.0
    sharing.publish(SERVICE, placer)
    assert ranks.notes[1:] == [TargetLimitNote(SERVICE, [(TARGET, 2)])]
    for at_ms in range(1_100, 10_000, 100):
        clock["ms"] = float(at_ms)
        sharing.publish(SERVICE, placer)
    assert ranks.notes[2:] == 2 * [TargetLimitNote(SERVICE, [(TARGET, 2)])]
    placer.set_limit(4)
    sharing.publish(SERVICE, placer)
    clock["ms"] = 10_100.0
    sharing.publish(SERVICE, placer)
    assert ranks.notes[4:] == [TargetLimitNote(SERVICE, [])]
    clock["ms"] = 60_000.0
    sharing.publish(SERVICE, placer)
    assert len(ranks.notes) == 5
