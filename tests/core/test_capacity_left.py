"""Derive the capacity that hosts have left from the loads that they report."""

import pytest

from crocusspindle.core.capacity_left import (
    CHANGE_INTERVAL_MS,
    LEFT_MAX,
    LEFT_MIN,
    LOAD_MAX,
    RISE_AFTER_MS,
    CapacityLeft,
)
from crocusspindle.core.load_steps import LATE_FRACTION, next_load
from crocusspindle.core.view import NodeAddress
from crocusspindle.ids import DomainId, HostId, Incarnation


def node(number: int, domain: str) -> NodeAddress:
    ip = f"10.0.0.{number}"
    return NodeAddress(
        HostId(f"n{number}"),
        Incarnation(f"{number:08x}"),
        ip,
        7340,
        DomainId(domain),
        f"{ip}:80",
    )


LISTED = {
    node.caller_address: node
    for node in [node(number, "a" if number < 6 else "b") for number in range(8)]
}
FIRST, SECOND = list(LISTED)[:2]


class Reader:
    """Update a reader's steps every 200 ms of virtual time."""

    def __init__(self, listed=None, previous=None):
        self.capacity = CapacityLeft()
        self.listed = dict(LISTED if listed is None else listed)
        self.previously_listed = set(self.listed)
        self.left = dict(previous or {})
        self.loads = {}
        self.at_ms = 0.0
        self.changes = 0

    def run(self, for_ms, **loads):
        end_ms = self.at_ms + for_ms
        self.loads.update(loads)
        while self.at_ms < end_ms:
            for host, load in self.loads.items():
                self.capacity.record(HostId(host), load, self.at_ms)
            left = self.capacity.update(
                self.listed, self.previously_listed, self.left, self.at_ms
            )
            self.changes += left != self.left
            self.left, self.previously_listed = left, set(self.listed)
            self.at_ms += 200.0


@pytest.mark.parametrize("load", range(5))
def test_hosts_up_to_half_of_their_load_are_not_listed_as_loaded(load):
    reader = Reader()
    reader.run(5_000.0, n0=load, n1=0)
    assert reader.left == {}


def test_pressed_host_loses_callers_before_it_is_at_its_limit():
    """Guards against a host that says it is loaded once it is late."""
    reader = Reader()
    reader.run(200.0, n0=5)
    assert reader.left == {FIRST: LEFT_MAX - 1}


def test_steps_change_at_most_once_a_second():
    """Guards against a list that is distributed with each ping."""
    reader = Reader()
    for number in range(100):
        host = f"n{number % 6}"
        reader.run(200.0, **{host: number * 7 % (LOAD_MAX + 1)})
    assert reader.changes <= 20_000.0 / CHANGE_INTERVAL_MS


def test_host_at_its_limit_falls_step_by_step():
    """Guards against callers that all leave a host because of one late second."""
    reader = Reader()
    seen = []
    for _ in range(5):
        reader.run(CHANGE_INTERVAL_MS, n0=LOAD_MAX)
        seen.append(reader.left[FIRST])
    assert seen == [3, 2, 1, LEFT_MIN, LEFT_MIN]


def test_host_gets_callers_back_later_than_it_loses_them():
    """Guards against callers that move with each second of a host's load."""
    reader = Reader(previous={FIRST: 2})
    for _ in range(10):
        reader.run(1_000.0, n0=3)
        reader.run(1_000.0, n0=6)
    assert reader.left == {FIRST: 2}
    reader.run(RISE_AFTER_MS + CHANGE_INTERVAL_MS, n0=0)
    assert reader.left == {FIRST: 3}
    reader.run(2 * RISE_AFTER_MS, n0=0)
    assert reader.left == {}


def test_load_between_two_steps_changes_nothing():
    """Guards against callers that move to and fro with a load between two steps."""
    reader = Reader(previous={FIRST: 2})
    for _ in range(10):
        reader.run(4_000.0, n0=5)
        reader.run(1_000.0, n0=6)
    assert reader.changes == 0


def test_host_without_a_load_counts_as_the_others_of_its_domain():
    """Hosts of an older version report no load.

    While the others are loaded, they must not get the callers of all; while the others
    are not, they count as not loaded either.
    """
    reader = Reader(previous={FIRST: 1})
    reader.run(4 * RISE_AFTER_MS, n0=None, n1=0, n2=None, n6=None)
    assert reader.left == {}
    reader.run(6_000.0, n1=LOAD_MAX, n3=7)
    loaded = [SECOND, "10.0.0.3:80"]
    old = [FIRST, "10.0.0.2:80"]
    assert reader.left == dict.fromkeys([*loaded, *old], LEFT_MIN)
    reader.run(8 * RISE_AFTER_MS, n1=2, n3=2)
    assert reader.left == {}


def test_reader_without_loads_keeps_those_of_the_previous_one():
    """Guards against a herd to the loaded hosts after each change of reader."""
    previous = {FIRST: 1, SECOND: 3}
    reader = Reader(previous=previous)
    reader.run(10_000.0)
    assert reader.left == previous


def test_host_that_joins_a_loaded_fleet_starts_as_the_others():
    """Guards against a new host that gets the callers of all others at once."""
    listed = {address: host for address, host in LISTED.items() if address != FIRST}
    reader = Reader(listed, dict.fromkeys(listed, 1))
    reader.run(1_000.0, n1=LOAD_MAX, n2=LOAD_MAX)
    reader.listed = dict(LISTED)
    reader.run(200.0, n0=None)
    assert reader.left[FIRST] == 1
    del reader.listed[SECOND]
    reader.run(200.0, n0=0)
    assert SECOND not in reader.left
    reader.run(RISE_AFTER_MS + CHANGE_INTERVAL_MS)
    assert reader.left[FIRST] == 2
    reader.run(3 * RISE_AFTER_MS)
    assert FIRST not in reader.left


def test_load_is_reported_in_eighths_with_hysteresis():
    """Guards against a list that changes as a load moves between two steps."""
    load, reported = 0, []
    for used in (0.05, 0.3, 0.32, 0.25, 0.31, 0.5, 0.95, 1.4):
        load = next_load(load, used, 0.0)
        reported.append(load)
    assert reported == [0, 2, 2, 2, 2, 4, 8, 8]


def test_late_event_loop_counts_as_full_load():
    """Guards against a host without processor time that reports little load."""
    assert next_load(1, 0.1, LATE_FRACTION) == LOAD_MAX
    assert next_load(LOAD_MAX, 0.1, 0.5 * LATE_FRACTION) == 1
