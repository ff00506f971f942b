"""Encode deltas for peers that hold an older encoding, a different one, or none."""

import msgpack
import pytest

from crocusspindle.gateway.document_deltas import (
    ENCODINGS_KEPT,
    NO_BASE,
    DocumentEncodings,
)


def members(count: int) -> list[list[object]]:
    return [
        [f"front-zone-{host}", f"{host:08x}", f"10.0.0.{host}", 7340, "zone", host]
        for host in range(count)
    ]


def encoded(rows: list[list[object]]) -> bytes:
    return msgpack.packb(rows)


def test_delta_size_depends_on_the_change():
    """A rolling restart of 40 nodes changes the list 80 times, for each of 40 nodes.

    Sent in full each time, it saturates the links between failure domains.
    """
    reader, node = DocumentEncodings(), DocumentEncodings()
    before, after = encoded(members(40)), encoded(members(40)[:17] + members(40)[18:])
    reader.update(1, before)
    node.update(1, node.apply_delta(reader.delta_for(NO_BASE)))
    assert node.newest == before
    reader.update(2, after)
    base, data = reader.delta_for(1)
    assert base == 1
    assert len(data) < len(after) / 20
    assert node.apply_delta((base, data)) == after


def test_peer_that_missed_a_delta_does_not_apply_the_next():
    """A pushed delta is lost, and the next one has it as its base.

    A list decoded with the wrong base would send callers to nodes that are gone. The
    peer must not apply the delta; it requests the state.
    """
    reader, node = DocumentEncodings(), DocumentEncodings()
    for key, count in ((1, 40), (2, 39), (3, 38)):
        reader.update(key, encoded(members(count)))
    node.update(1, encoded(members(40)))
    assert node.apply_delta(reader.delta_for(2)) is None
    assert node.apply_delta(reader.delta_for(1)) == reader.newest


def test_different_base_under_the_same_key_is_detected():
    """Two readers give the same key to different lists."""
    reader, node = DocumentEncodings(), DocumentEncodings()
    reader.update(1, encoded(members(40)))
    reader.update(2, encoded(members(41)))
    node.update(1, encoded(members(39)))
    assert node.apply_delta(reader.delta_for(1)) is None


def test_peer_with_a_dropped_base_gets_the_full_document():
    reader = DocumentEncodings()
    for key in range(ENCODINGS_KEPT + 2):
        reader.update(key, encoded(members(key)))
    base, data = reader.delta_for(0)
    assert base == NO_BASE
    assert DocumentEncodings().apply_delta((base, data)) == reader.newest


@pytest.mark.parametrize("count", [800, 2_000, 6_000])
def test_delta_size_of_a_long_document_depends_on_the_change(count):
    """Guards against sending hundreds of targets in full at each change."""
    reader, node = DocumentEncodings(), DocumentEncodings()
    rows = members(count)
    reader.update(1, encoded(rows))
    node.update(1, encoded(rows))
    gone = count // 2
    after = encoded(rows[:gone] + rows[gone + 1 :])
    reader.update(2, after)
    base, data = reader.delta_for(1)
    assert base == 1
    assert len(data) < len(after) / 20
    assert node.apply_delta((base, data)) == after
