"""Say how a document changed to peers that hold an older form, another, or none."""

import msgpack
import pytest

from crocusspindle.gateway.updates import FORMS_KEPT, WHOLE, Forms


def members(count: int) -> list[list[object]]:
    return [
        [f"front-zone-{host}", f"{host:08x}", f"10.0.0.{host}", 7340, "zone", host]
        for host in range(count)
    ]


def form(rows: list[list[object]]) -> bytes:
    return msgpack.packb(rows)


def test_a_change_costs_what_changed_and_not_the_whole_list():
    """A rolling restart of 40 nodes changes the list 80 times, for each of 40 nodes.

    Sent whole each time, it fills the links between failure domains.
    """
    reader, node = Forms(), Forms()
    before, after = form(members(40)), form(members(40)[:17] + members(40)[18:])
    reader.update(1, before)
    node.update(1, node.unpacked(reader.packed_for(WHOLE)))
    assert node.newest == before
    reader.update(2, after)
    base, data = reader.packed_for(1)
    assert base == 1
    assert len(data) < len(after) / 20
    assert node.unpacked((base, data)) == after


def test_a_peer_that_missed_a_change_is_told_nothing_wrong():
    """A pushed change is lost on its way, and the next one builds on it.

    Taken for the newest, a list made from the wrong base would send callers to nodes
    that are gone. The peer takes nothing, and asks.
    """
    reader, node = Forms(), Forms()
    for key, count in ((1, 40), (2, 39), (3, 38)):
        reader.update(key, form(members(count)))
    node.update(1, form(members(40)))
    assert node.unpacked(reader.packed_for(2)) is None
    assert node.unpacked(reader.packed_for(1)) == reader.newest


def test_another_form_under_the_same_key_is_noticed():
    """Two readers number their lists alike, but the lists are not the same."""
    reader, node = Forms(), Forms()
    reader.update(1, form(members(40)))
    reader.update(2, form(members(41)))
    node.update(1, form(members(39)))
    assert node.unpacked(reader.packed_for(1)) is None


def test_a_peer_that_holds_a_forgotten_form_gets_the_whole():
    reader = Forms()
    for key in range(FORMS_KEPT + 2):
        reader.update(key, form(members(key)))
    base, data = reader.packed_for(0)
    assert base == WHOLE
    assert Forms().unpacked((base, data)) == reader.newest


@pytest.mark.parametrize("count", [800, 2_000, 6_000])
def test_a_change_of_a_long_document_costs_what_changed(count):
    """Guards against sending a list of hundreds of targets whole at each change."""
    reader, node = Forms(), Forms()
    rows = members(count)
    reader.update(1, form(rows))
    node.update(1, form(rows))
    gone = count // 2
    after = form(rows[:gone] + rows[gone + 1 :])
    reader.update(2, after)
    base, data = reader.packed_for(1)
    assert base == 1
    assert len(data) < len(after) / 20
    assert node.unpacked((base, data)) == after
