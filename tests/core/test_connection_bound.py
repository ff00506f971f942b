"""Tests of the bounds on callers' connections and on the heads that they send."""

from dataclasses import dataclass

import pytest

from crocusspindle.core.connection_bound import (
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    MIN_CONNECTIONS,
    ConnectionBound,
    max_connections,
    max_head_bytes,
)
from crocusspindle.core.memory_bound import IDLE_PROCESS_MB, bound_bytes


@dataclass(eq=False)
class Connection:
    held_bytes: int = 0
    has_sent_request: bool = True


@pytest.mark.parametrize("memory_mb", [152, 200, 300, 552])
def test_bodies_connections_and_heads_fit_into_a_host_together(memory_mb):
    """Guards against bounds that are each kept while the host runs out of memory."""
    connections = max_connections(memory_mb, 8_192)
    total = bound_bytes(memory_mb) + max_head_bytes(memory_mb)
    total += connections * CONNECTION_BYTES
    assert total + IDLE_PROCESS_MB * 1e6 <= memory_mb * 1e6


@pytest.mark.parametrize("descriptors", [500, 2_870, 4_100, 8_192])
def test_connections_of_callers_leave_descriptors_for_the_node(descriptors):
    """Guards against callers that keep a node from its targets and the store."""
    connections = max_connections(1e6, descriptors)
    assert MIN_CONNECTIONS <= connections < descriptors - FILE_DESCRIPTORS


def test_a_host_that_is_too_small_still_serves_some():
    """Guards against a bound of no connections at all."""
    assert max_connections(10.0, 100) == MIN_CONNECTIONS


def test_connections_that_never_sent_a_request_close_first():
    """Guards against kept connections that are closed for those of a crowd."""
    kept, silent, young = Connection(), Connection(0, False), Connection(0, False)
    order = ConnectionBound(2).closing_order([kept, silent, young])
    assert order == [silent, young, kept]


def test_the_largest_heads_are_shed_and_no_more_than_needed():
    """Guards against callers with small heads that pay for those with large ones."""
    small, large, largest = Connection(10), Connection(500), Connection(600)
    bound = ConnectionBound(held_bytes=520.0)
    assert bound.to_shed([large, small, largest]) == [largest]
    assert bound.to_shed([small, large]) == []
