"""Tests of the table that keeps callers' connections within bounds."""

import pytest

from crocusspindle.connection_table import ClosingReason, ConnectionTable
from crocusspindle.core.connection_bound import ConnectionBound


class Connection:
    def __init__(self, is_idle=True, has_sent_request=False):
        self.held_bytes = 0
        self.has_sent_request = has_sent_request
        self.is_idle = is_idle
        self.is_closed = False
        self.head_bytes = 0

    def recount(self):
        return self.head_bytes

    def close_if_idle(self):
        self.is_closed = self.is_closed or self.is_idle
        return self.is_idle

    def abort(self):
        self.is_closed = True


@pytest.fixture
def table():
    return ConnectionTable(ConnectionBound(2, 100.0))


def test_an_idle_connection_makes_room_for_a_new_one(table):
    """Guards against a crowd of silent connections that keeps out other callers."""
    kept, silent, new = Connection(has_sent_request=True), Connection(), Connection()
    assert [table.add(each, 0.0) for each in (kept, silent, new)] == [True] * 3
    assert (kept.is_closed, silent.is_closed) == (False, True)
    assert len(table) == 2
    assert table.closed == {ClosingReason.IDLE: 1}


def test_without_an_idle_connection_a_new_one_is_refused(table):
    """Guards against requests that are lost for connections that have none yet."""
    busy = [Connection(is_idle=False) for _ in range(2)]
    assert all(table.add(each, 0.0) for each in busy)
    assert not table.add(Connection(), 0.0)
    assert not any(each.is_closed for each in busy)
    assert table.closed == {ClosingReason.REFUSED: 1}
    table.remove(busy[0])
    assert table.add(Connection(), 0.0)


def test_heads_beyond_the_bound_close_their_connection(table):
    """Guards against heads that together fill the memory, though each is legal."""
    small, large = Connection(is_idle=False), Connection(is_idle=False)
    table.add(small, 0.0)
    table.add(large, 0.0)
    small.head_bytes, large.head_bytes = 30, 90
    table.resize(small, 30, 0.0)
    table.resize(large, 90, 0.0)
    assert (small.is_closed, large.is_closed) == (False, True)
    assert table.held_bytes == 30


def test_counts_that_are_out_of_date_close_nothing(table):
    """Guards against connections that are closed for heads which are served."""
    served, new = Connection(), Connection()
    table.add(served, 0.0)
    table.add(new, 0.0)
    table.resize(served, 80, 0.0)
    new.head_bytes = 80
    table.resize(new, 80, 0.0)
    assert not (served.is_closed or new.is_closed)
    assert table.held_bytes == 80
